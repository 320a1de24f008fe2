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
	workerCPU       = 4000 // thousandths of a processor
	teamLimit       = 12000
	drainGrace      = 2 * time.Second
)

// guards are the protections that a variant of the world leaves out.
type guards struct {
	noFence  bool // workers take any term
	noHold   bool // a new owner takes its predecessor's end for an orderly one
	noLapse  bool // an owner doesn't wait for the leases of workers
	noRecord bool // starts go out before their records hold
	noProof  bool // an owner needs no fresh proof of ownership
}

// world is two shards with their workers, owners and one key-value service.
type world struct {
	guards  guards
	store   *emulator.Store
	witness *emulator.Witness
	shards  map[string]*shardWorld
	names   []string
	jobs    map[string]placer.JobSpec // accepted, by id
	refused []string                  // names of jobs that were told not-run
	byID    map[string]string         // job by request id
	urgent  map[string]int            // runs of claimed requests
	broken  []string
	serial  int
	mu      sync.Mutex
	pending sync.WaitGroup
}

// shardWorld is one shard.
type shardWorld struct {
	name    string
	workers []*emulator.Worker
	mu      sync.Mutex // guards owners
	owners  []*owner   // by term; the last is the newest
	term    uint64
	gone    map[string]bool
	hidden  string // worker that the next owner doesn't reach
	drained bool
}

func newWorld(g guards, failing func(dispatcher.Attempt) bool) *world {
	w := &world{
		guards: g, store: emulator.NewStore(), witness: emulator.NewWitness(),
		shards: map[string]*shardWorld{}, names: []string{"a.0", "b.0"},
		jobs: map[string]placer.JobSpec{}, byID: map[string]string{}, urgent: map[string]int{},
	}
	w.witness.SetLimit("limited", teamLimit)
	for _, name := range w.names {
		s := &shardWorld{name: name, gone: map[string]bool{}}
		for i := range workersPerShard {
			s.workers = append(s.workers, emulator.NewWorker(fmt.Sprintf("%s-w%d", name, i), placer.NewResources(workerCPU, 16384, 0),
				emulator.WithWitness(w.witness), emulator.WithDataCentre(name),
				emulator.WithRunTime(func(attempt dispatcher.Attempt, launch dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome) {
					if failing(attempt) {
						return time.Second, dispatcher.Failed
					}
					return max(launch.Estimate(), time.Millisecond), dispatcher.Done
				})))
		}
		for _, worker := range s.workers {
			worker.SetUnfenced(g.noFence)
		}
		w.shards[name] = s
	}
	return w
}

// takeOver makes a new entry VM the owner of a shard, under the next term.
func (w *world) takeOver(s *shardWorld) *owner {
	s.term++
	o := &owner{
		world: w, shard: s, term: s.term, client: w.store.Client(fmt.Sprintf("%s-%d", s.name, s.term)),
		deaf: map[string]bool{}, mute: map[string]bool{}, ended: make(chan error, 1),
	}
	if s.hidden != "" {
		o.cut(s.hidden, true, true)
	}
	journal, err := journaler.New(o.client.Seam(), s.name)
	w.must(err)
	o.journal = journal
	lease, margin := scheduler.DefaultLease, scheduler.DefaultClockSkew
	if w.guards.noLapse {
		margin = -lease + 100*time.Millisecond
	}
	contact := scheduler.DefaultOwnershipTimeout
	if w.guards.noProof && s.term == 1 {
		contact = 24 * time.Hour
	}
	logger := hclog.NewNullLogger()
	if *logs {
		logger = hclog.New(&hclog.LoggerOptions{Name: fmt.Sprintf("%s-%d", s.name, s.term)})
	}
	o.sched, err = scheduler.New(s.name, s.term,
		scheduler.WithLogger(logger),
		scheduler.WithJournal(o.seam(scheduler.NewJournal(journal))),
		scheduler.WithDispatcher(dispatcher.New(dispatcher.WithTransport(o.deliver))),
		scheduler.WithLease(lease, margin),
		scheduler.WithOwnershipTimeout(contact),
		scheduler.WithQuota(func(team string) int64 {
			if team == "limited" {
				return teamLimit / int64(len(w.names))
			}
			return -1
		}),
		scheduler.WithDrained(s.drained),
		scheduler.WithTransfer(w.target(s), w.transfer),
	)
	w.must(err)
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
		o.ended <- err
	}()
	o.list()
	return o
}

// newest returns the newest owner of a shard.
func (s *shardWorld) newest() *owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[len(s.owners)-1]
}

func (w *world) target(from *shardWorld) func(placer.JobSpec) (string, bool) {
	return func(placer.JobSpec) (string, bool) {
		for _, name := range w.names {
			if name != from.name {
				return name, true
			}
		}
		return "", false
	}
}

// transfer hands a job over; every third answer gets lost.
func (w *world) transfer(ctx context.Context, t scheduler.Transfer) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	err := w.shards[t.Target()].newest().sched.Accept(ctx, t)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	if w.serial%3 == 0 {
		return scheduler.ErrOutcomeUnknown
	}
	return err
}

// submit offers a job; the answer is noted when it comes.
func (w *world) submit(s *shardWorld, spec placer.JobSpec, request string) {
	o := s.newest()
	w.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		receipt, err := o.sched.Submit(ctx, spec, request)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.note(s, spec, request, receipt, err)
	})
}

func (w *world) note(s *shardWorld, spec placer.JobSpec, request string, receipt scheduler.Receipt, err error) {
	if err != nil {
		if scheduler.IsNotRun(err) && request == "" {
			w.refused = append(w.refused, spec.Name())
		}
		return
	}
	w.jobs[receipt.JobID()] = spec
	if request == "" {
		return
	}
	key := s.name + "/" + request
	if first, ok := w.byID[key]; ok && first != receipt.JobID() {
		w.broken = append(w.broken, fmt.Sprintf("request %s gave jobs %s and %s", key, first, receipt.JobID()))
	}
	w.byID[key] = receipt.JobID()
}

// job asks the newest owners for a job, wherever it has moved to.
func (w *world) job(id string) (scheduler.Status, error) {
	shard := scheduler.ShardOf(id)
	for range 2 * len(w.names) {
		status, err := w.shards[shard].newest().sched.Job(id)
		if err != nil || status.State() != scheduler.Moved {
			return status, err
		}
		shard = status.Target()
	}
	return scheduler.Status{}, scheduler.ErrNotFound
}

// accepted returns the ids of accepted jobs, in order.
func (w *world) accepted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := make([]string, 0, len(w.jobs))
	for id := range w.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// heal takes all faults away and gives each shard a living owner.
func (w *world) heal() {
	w.store.SetFaults()
	for _, name := range w.names {
		s := w.shards[name]
		clear(s.gone)
		s.hidden = ""
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
				o.cut(worker.ID(), false, false)
			}
		}
		w.revive(s)
		s.newest().list()
		w.giveBack(s)
	}
	w.pending.Wait()
}

// drain takes a shard out of service; all its owners learn it.
func (w *world) drain(s *shardWorld) {
	s.drained = true
	for _, o := range s.owners {
		_ = o.sched.Drain(context.Background())
	}
	w.witness.SetDrained(s.name, time.Now().Add(drainGrace))
}

// giveBack takes a shard into service again.
func (w *world) giveBack(s *shardWorld) {
	s.drained = false
	w.witness.SetReturned(s.name)
	for _, o := range s.owners {
		_ = o.sched.Resume(context.Background())
	}
}

// revive gives a shard an owner that serves.
func (w *world) revive(s *shardWorld) {
	for range 10 {
		if s.newest().over() {
			w.takeOver(s)
		}
		select {
		case <-s.newest().sched.Ready():
			return
		case err := <-s.newest().ended:
			s.newest().ended <- err
			w.broken = append(w.broken, fmt.Sprintf("owner %d of %s ended: %v", s.term, s.name, err))
		case <-time.After(time.Minute):
			w.broken = append(w.broken, fmt.Sprintf("owner %d of %s not ready in a minute", s.term, s.name))
			return
		}
	}
}

// stop ends all owners and workers.
func (w *world) stop() {
	for _, name := range w.names {
		for _, o := range w.shards[name].owners {
			o.resume()
			o.kill()
			<-o.ended
		}
		for _, worker := range w.shards[name].workers {
			worker.Close()
		}
	}
}

// verdict returns what speaks against the run, after healing.
func (w *world) verdict() []string {
	broken := append(w.witness.Broken(), w.broken...)
	for _, id := range w.accepted() {
		status, err := w.job(id)
		switch {
		case err != nil:
			broken = append(broken, fmt.Sprintf("job %s lost: %v", id, err))
		case !status.State().Final():
			broken = append(broken, fmt.Sprintf("job %s did not end: %s, %d of %d tasks ended, %d run: %s",
				id, status.State(), status.Ended(), status.Tasks(), status.Running(), w.explain(id)))
		case status.State() == scheduler.Done:
			broken = append(broken, w.undone(id, status)...)
		}
	}
	for _, name := range w.refused {
		if n := w.witness.StartsOf(name); n > 0 {
			broken = append(broken, fmt.Sprintf("job %s was told not-run and started %d times", name, n))
		}
	}
	return broken
}

// explain tells why a job waits, from whichever shard knows.
func (w *world) explain(id string) string {
	texts := make([]string, 0, len(w.names))
	for _, name := range w.names {
		if text, err := w.shards[name].newest().sched.Explain(id); err == nil {
			texts = append(texts, name+": "+text)
		}
	}
	return fmt.Sprint(texts)
}

// undone returns the tasks of a done job that no worker has done.
func (w *world) undone(id string, status scheduler.Status) []string {
	var broken []string
	for i := range status.Tasks() {
		if w.witness.Done(placer.NewTaskID(id, i)) == 0 {
			broken = append(broken, fmt.Sprintf("task %s/%d counts as done, but never was", id, i))
		}
	}
	return broken
}

func (w *world) must(err error) {
	if err != nil {
		panic(err)
	}
}
