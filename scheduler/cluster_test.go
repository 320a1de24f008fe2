package scheduler_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
	"github.com/hashicorp/go-hclog"
)

const (
	workersPerShard = 4
	workerCPU       = 4000  // thousandths of a processor
	teamLimit       = 12000 // thousandths of a processor; limit of the team "limited"
	drainGrace      = 2 * time.Second
)

// guards selects the safeguards that a test disables.
type guards struct {
	noFence          bool // workers accept any term
	noPause          bool // a new owner assumes that its predecessor stopped cleanly
	noLeaseWait      bool // an owner counts leases as expired far too early
	noStartRecord    bool // a task starts before its record is persisted
	noOwnershipProof bool // the first owner of each shard needs no fresh proof of ownership
}

// cluster is a simulation of two shards with their workers, owners and one key-value
// service.
type cluster struct {
	guards       guards
	store        *emulator.Store
	checker      *emulator.InvariantChecker
	shards       map[string]*clusterShard
	shardNames   []string
	jobs         map[string]placer.JobSpec // accepted, by id
	notRun       []string                  // names of jobs whose Submit reported that nothing was accepted
	jobByRequest map[string]string         // ids of jobs, by shard and request id
	urgentRuns   map[string]int            // runs of claimed requests, by shard and request id
	violations   []string                  // of invariants
	serial       int                       // makes names unique, and decides which responses are lost
	mu           sync.Mutex                // guards the fields from jobs to serial
	calls        sync.WaitGroup            // calls in flight
}

// clusterShard is a shard of a cluster.
type clusterShard struct {
	name        string
	workers     []*emulator.Worker
	mu          sync.Mutex // guards owners
	owners      []*owner   // by term; the last is the newest
	term        uint64
	removed     map[string]bool // ids of workers that the platform no longer lists
	unreachable string          // id of a worker that new owners don't reach
	drained     bool
}

// newCluster returns a cluster without owners. A run fails if fails returns true for it.
func newCluster(g guards, fails func(dispatcher.Attempt) bool) *cluster {
	cl := &cluster{
		guards: g, store: emulator.NewStore(), checker: emulator.NewInvariantChecker(),
		shards: map[string]*clusterShard{}, shardNames: []string{"a.0", "b.0"},
		jobs: map[string]placer.JobSpec{}, jobByRequest: map[string]string{}, urgentRuns: map[string]int{},
	}
	cl.checker.SetLimit("limited", teamLimit)
	for _, name := range cl.shardNames {
		s := &clusterShard{name: name, removed: map[string]bool{}}
		for i := range workersPerShard {
			s.workers = append(s.workers, emulator.NewWorker(fmt.Sprintf("%s-w%d", name, i), placer.NewResources(workerCPU, 16384, 0),
				emulator.WithInvariantChecker(cl.checker), emulator.WithDataCentre(name),
				emulator.WithRunTime(func(attempt dispatcher.Attempt, spec dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome) {
					if fails(attempt) {
						return time.Second, dispatcher.Failed
					}
					return max(spec.Estimate(), time.Millisecond), dispatcher.Done
				})))
		}
		for _, worker := range s.workers {
			worker.SetUnfenced(g.noFence)
		}
		cl.shards[name] = s
	}
	return cl
}

// takeOver makes a new entry VM the owner of a shard, under the next term.
func (cl *cluster) takeOver(s *clusterShard) *owner {
	s.term++
	o := &owner{
		cluster: cl, shard: s, term: s.term, client: cl.store.Client(fmt.Sprintf("%s-%d", s.name, s.term)),
		dropRequests: map[string]bool{}, dropResponses: map[string]bool{}, runResult: make(chan error, 1),
	}
	if s.unreachable != "" {
		o.partition(s.unreachable, true, true)
	}
	journal, err := journaler.New(o.client.KV(), s.name)
	cl.must(err)
	o.journal = journal
	lease, clockSkew := scheduler.DefaultLease, scheduler.DefaultClockSkew
	if cl.guards.noLeaseWait {
		clockSkew = -lease + 100*time.Millisecond
	}
	ownershipTimeout := scheduler.DefaultOwnershipTimeout
	if cl.guards.noOwnershipProof && s.term == 1 {
		ownershipTimeout = 24 * time.Hour
	}
	logger := hclog.NewNullLogger()
	if *printLogs {
		logger = hclog.New(&hclog.LoggerOptions{Name: fmt.Sprintf("%s-%d", s.name, s.term)})
	}
	o.sched, err = scheduler.New(s.name, s.term,
		scheduler.WithLogger(logger),
		scheduler.WithJournal(o.wrapJournal(scheduler.NewJournal(journal))),
		scheduler.WithDispatcher(dispatcher.New(dispatcher.WithTransport(o.deliver))),
		scheduler.WithLease(lease, clockSkew),
		scheduler.WithOwnershipTimeout(ownershipTimeout),
		scheduler.WithQuota(func(team string) int64 {
			if team == "limited" {
				return teamLimit / int64(len(cl.shardNames))
			}
			return -1
		}),
		scheduler.WithUsageReporter(o.setUsage),
		scheduler.WithDraining(s.drained),
		scheduler.WithTransfer(cl.target(s), cl.transfer),
	)
	cl.must(err)
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	s.mu.Lock()
	s.owners = append(s.owners, o)
	s.mu.Unlock()
	go func() {
		err := o.sched.Run(ctx)
		select {
		case <-o.sched.Ready():
			o.journal.Abort()
		default:
		}
		o.runResult <- err
	}()
	o.listWorkers()
	return o
}

// newest returns the newest owner of a shard.
func (s *clusterShard) newest() *owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[len(s.owners)-1]
}

// target returns a function that chooses another shard than from for each job.
func (cl *cluster) target(from *clusterShard) func(placer.JobSpec) (string, bool) {
	return func(placer.JobSpec) (string, bool) {
		for _, name := range cl.shardNames {
			if name != from.name {
				return name, true
			}
		}
		return "", false
	}
}

// transfer hands a job over. About every third response is lost, though the target may
// have accepted the job.
func (cl *cluster) transfer(ctx context.Context, t scheduler.Transfer) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	err := cl.shards[t.Target()].newest().sched.Accept(ctx, t)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.serial++
	if cl.serial%3 == 0 {
		return scheduler.ErrOutcomeUnknown
	}
	return err
}

// submit submits a job to the shard's newest owner in the background and records the
// response.
func (cl *cluster) submit(s *clusterShard, spec placer.JobSpec, request string) {
	o := s.newest()
	cl.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		receipt, err := o.sched.Submit(ctx, spec, request)
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.recordSubmit(s, spec, request, receipt, err)
	})
}

// recordSubmit stores the response to a Submit, and adds a violation if the request id
// was accepted as another job before.
func (cl *cluster) recordSubmit(s *clusterShard, spec placer.JobSpec, request string, receipt scheduler.Receipt, err error) {
	if err != nil {
		if scheduler.IsNotRun(err) && request == "" {
			cl.notRun = append(cl.notRun, spec.Name())
		}
		return
	}
	cl.jobs[receipt.JobID()] = spec
	if request == "" {
		return
	}
	key := s.name + "/" + request
	if first, ok := cl.jobByRequest[key]; ok && first != receipt.JobID() {
		cl.violations = append(cl.violations, fmt.Sprintf("request %s gave jobs %s and %s", key, first, receipt.JobID()))
	}
	cl.jobByRequest[key] = receipt.JobID()
}

// jobStatus returns the status of a job, wherever it has moved to.
func (cl *cluster) jobStatus(id string) (scheduler.Status, error) {
	shard := scheduler.ShardOf(id)
	for range 2 * len(cl.shardNames) {
		status, err := cl.shards[shard].newest().sched.Job(id)
		if err != nil || status.State() != scheduler.Moved {
			return status, err
		}
		shard = status.Target()
	}
	return scheduler.Status{}, scheduler.ErrNotFound
}

// accepted returns the ids of accepted jobs, in order.
func (cl *cluster) accepted() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ids := make([]string, 0, len(cl.jobs))
	for id := range cl.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// heal removes all faults, restarts dead workers and ensures that each shard has an owner
// that serves.
func (cl *cluster) heal() {
	cl.store.SetFaults()
	for _, name := range cl.shardNames {
		s := cl.shards[name]
		clear(s.removed)
		s.unreachable = ""
		for _, worker := range s.workers {
			worker.SetFailing(false)
			worker.SetUnreachable(false, false)
			worker.SetDelay(0)
			worker.Resume()
			if worker.Dead() {
				worker.Restart()
			}
		}
		for _, o := range s.owners {
			o.resume()
			o.client.SetFaults()
			for _, worker := range s.workers {
				o.partition(worker.ID(), false, false)
			}
		}
		cl.ensureOwner(s)
		s.newest().listWorkers()
		cl.undrain(s)
	}
	cl.calls.Wait()
}

// drain drains a shard through each of its owners.
func (cl *cluster) drain(s *clusterShard) {
	s.drained = true
	for _, o := range s.owners {
		_ = o.sched.Drain(context.Background())
	}
	cl.checker.SetDrained(s.name, time.Now().Add(drainGrace))
}

// undrain ends the drain of a shard through each of its owners.
func (cl *cluster) undrain(s *clusterShard) {
	s.drained = false
	cl.checker.ClearDrained(s.name)
	for _, o := range s.owners {
		_ = o.sched.Resume(context.Background())
	}
}

// ensureOwner waits until the newest owner of a shard serves, and replaces it if its
// term has ended.
func (cl *cluster) ensureOwner(s *clusterShard) {
	for range 10 {
		if s.newest().hasEnded() {
			cl.takeOver(s)
		}
		select {
		case <-s.newest().sched.Ready():
			return
		case err := <-s.newest().runResult:
			s.newest().runResult <- err
			cl.violations = append(cl.violations, fmt.Sprintf("owner %d of %s ended: %v", s.term, s.name, err))
		case <-time.After(time.Minute):
			cl.violations = append(cl.violations, fmt.Sprintf("owner %d of %s not ready in a minute", s.term, s.name))
			return
		}
	}
}

// stop ends all owners and workers.
func (cl *cluster) stop() {
	for _, name := range cl.shardNames {
		for _, o := range cl.shards[name].owners {
			o.resume()
			o.kill()
			<-o.runResult
		}
		for _, worker := range cl.shards[name].workers {
			worker.Close()
		}
	}
}

// findViolations returns the invariant violations so far, and one for each accepted job
// that is lost, has not ended or counts as done without a run, and for each team that
// counts as running tasks although all jobs must have ended.
func (cl *cluster) findViolations() []string {
	found := append(cl.checker.Violations(), cl.violations...)
	for _, id := range cl.accepted() {
		status, err := cl.jobStatus(id)
		switch {
		case err != nil:
			found = append(found, fmt.Sprintf("job %s lost: %v", id, err))
		case !status.State().Final():
			found = append(found, fmt.Sprintf("job %s did not end: %s, %d of %d tasks ended, %d run: %s",
				id, status.State(), status.Ended(), status.Tasks(), status.Running(), cl.explain(id)))
		case status.State() == scheduler.Done:
			found = append(found, cl.tasksNeverDone(id, status)...)
		}
	}
	for _, name := range cl.shardNames {
		for _, usage := range cl.shards[name].newest().lastUsage() {
			if usage.RunningTasks() != 0 {
				found = append(found, fmt.Sprintf("%d tasks of team %s count as running in %s", usage.RunningTasks(), usage.Team(), name))
			}
		}
	}
	for _, name := range cl.notRun {
		if n := cl.checker.StartsByName(name); n > 0 {
			found = append(found, fmt.Sprintf("job %s was reported as not run and started %d times", name, n))
		}
	}
	return found
}

// explain returns what a job waits for, according to each shard that knows the job.
func (cl *cluster) explain(id string) string {
	texts := make([]string, 0, len(cl.shardNames))
	for _, name := range cl.shardNames {
		if text, err := cl.shards[name].newest().sched.Explain(id); err == nil {
			texts = append(texts, name+": "+text)
		}
	}
	return fmt.Sprint(texts)
}

// tasksNeverDone returns a violation for each task of a done job that no worker has
// completed.
func (cl *cluster) tasksNeverDone(id string, status scheduler.Status) []string {
	var found []string
	for i := range status.Tasks() {
		if cl.checker.DoneRuns(placer.NewTaskID(id, i)) == 0 {
			found = append(found, fmt.Sprintf("task %s/%d counts as done, but no worker completed it", id, i))
		}
	}
	return found
}

func (cl *cluster) must(err error) {
	if err != nil {
		panic(err)
	}
}
