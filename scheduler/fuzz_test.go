package scheduler_test

import (
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/emulator"
	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var (
	seedCount = flag.Int("seeds", 20, "number of fuzz seeds")
	firstSeed = flag.Int("seed", 1, "first fuzz seed")
	printLogs = flag.Bool("logs", false, "print the logs of all owners")
	stepCount = flag.Int("steps", 60, "steps of each fuzz seed")
)

// recoveryTime is the simulated time in which all jobs must end after heal.
const recoveryTime = 10 * time.Minute

// stepKind is what a step of a scenario does.
type stepKind int

const (
	submitJob stepKind = iota
	resubmitJob
	cancelJobs
	claimRequest
	killWorker
	restartWorker
	pauseWorker
	resumeWorker
	failWorker
	repairWorker
	degradeWorker
	removeWorker
	killOwner
	pauseOwner
	resumeOwner
	takeOver
	closeOwner
	partitionOwner
	reconnectOwner
	storeDown
	storeUp
	storeLossy
	storeSlow
	storePartitioned
	drainShard
	undrainShard
	stepKinds
)

// step is one event of a scenario.
type step struct {
	kind  stepKind
	shard int           // index in cluster.shardNames
	pick  int           // chooses a worker, a job or a request
	flags int           // bits that choose a variant of the event, such as its target or delay
	wait  time.Duration // before the next step
}

// scenarios generates lists of steps: half are work, half are of any kind.
func scenarios(n int) *rapid.Generator[[]step] {
	kindOf := rapid.OneOf(
		rapid.SampledFrom([]stepKind{submitJob, submitJob, submitJob, resubmitJob, cancelJobs, claimRequest}),
		rapid.Map(rapid.IntRange(0, int(stepKinds)-1), func(k int) stepKind { return stepKind(k) }),
	)
	wait := rapid.OneOf(rapid.IntRange(0, 50), rapid.IntRange(0, 3000), rapid.IntRange(0, 20000))
	stepOf := rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  kindOf.Draw(t, "kind"),
			shard: rapid.IntRange(0, 1).Draw(t, "shard"),
			pick:  rapid.IntRange(0, 999).Draw(t, "pick"),
			flags: rapid.IntRange(0, 63).Draw(t, "flags"),
			wait:  time.Duration(wait.Draw(t, "wait")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(stepOf, n, n)
}

// TestFuzz runs random scenarios on real schedulers, placers and journals. The workers
// and the key-value service are fakes.
func TestFuzz(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			c := qt.New(t)
			violations := runScenario(t, guards{}, scenarios(*stepCount).Example(seed))
			c.Assert(violations, qt.HasLen, 0)
		})
	}
}

// runScenario runs a scenario, heals the cluster, and returns the violations that are left
// when all jobs have ended or recoveryTime is over.
func runScenario(t *testing.T, g guards, scenario []step) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(g, failEverySeventh)
		for _, name := range cl.shardNames {
			cl.takeOver(cl.shards[name])
		}
		time.Sleep(time.Second)
		for _, s := range scenario {
			cl.apply(s)
			time.Sleep(s.wait)
		}
		cl.heal()
		for range int(recoveryTime / (10 * time.Second)) {
			time.Sleep(10 * time.Second)
			if violations = cl.findViolations(); len(violations) == 0 {
				break
			}
		}
		cl.stop()
	})
	return violations
}

// failEverySeventh reports whether a run fails. About one of seven does, by a hash of the
// attempt.
func failEverySeventh(attempt dispatcher.Attempt) bool {
	h := fnv.New32a()
	fmt.Fprint(h, attempt.Task().String(), attempt.Number())
	return h.Sum32()%7 == 0
}

// apply executes one step.
func (cl *cluster) apply(s step) {
	shard := cl.shards[cl.shardNames[s.shard]]
	worker := shard.workers[s.pick%len(shard.workers)]
	o := shard.owners[max(0, len(shard.owners)-1-s.flags%2)]
	switch s.kind {
	case submitJob:
		cl.submit(shard, cl.spec(s), "")
	case resubmitJob:
		cl.submit(shard, cl.repeated(s), fmt.Sprintf("request%d", s.pick%5))
	case cancelJobs:
		cl.cancelThird(s)
	case claimRequest:
		cl.claim(o, s)
	case killWorker, restartWorker, pauseWorker, resumeWorker, failWorker, repairWorker, degradeWorker:
		changeWorker(worker, s)
	case removeWorker:
		worker.Kill()
		shard.removed[worker.ID()] = true
		shard.newest().listWorkers()
	case killOwner:
		o.kill()
		time.Sleep(s.wait / 4)
		cl.takeOver(shard)
	case pauseOwner:
		o.pause()
	case resumeOwner:
		o.resume()
	case takeOver:
		cl.takeOver(shard)
	case closeOwner:
		cl.closeOwner(shard, o)
	case partitionOwner:
		o.partition(worker.ID(), s.flags&2 != 0, s.flags&4 != 0)
	case reconnectOwner:
		for _, worker := range shard.workers {
			o.partition(worker.ID(), false, false)
		}
	case storeDown, storeUp, storeLossy, storeSlow, storePartitioned:
		cl.changeStore(o, s)
	case drainShard:
		cl.drain(shard)
	case undrainShard:
		cl.undrain(shard)
	}
}

func changeWorker(worker *emulator.Worker, s step) {
	switch s.kind {
	case killWorker:
		worker.Kill()
	case restartWorker:
		worker.Restart()
	case pauseWorker:
		worker.Pause()
	case resumeWorker:
		worker.Resume()
	case failWorker:
		worker.SetFailing(true)
	case repairWorker:
		worker.SetFailing(false)
		worker.SetUnreachable(false, false)
		worker.SetDelay(0)
	case degradeWorker:
		worker.SetUnreachable(s.flags&2 != 0, s.flags&4 != 0)
		worker.SetDelay(time.Duration(s.flags) * 50 * time.Millisecond)
	}
}

func (cl *cluster) changeStore(o *owner, s step) {
	change := o.client.SetFaults
	if s.flags&2 != 0 {
		change = cl.store.SetFaults
	}
	switch s.kind {
	case storeDown:
		change(emulator.Down())
	case storeUp:
		cl.store.SetFaults()
		o.client.SetFaults()
	case storeLossy:
		change(emulator.LoseResponses(0.4), emulator.LateWrites(0.2, time.Second))
	case storeSlow:
		change(emulator.Slow(time.Duration(s.flags) * 20 * time.Millisecond))
	case storePartitioned:
		change(emulator.Partition())
	}
}

// spec returns the job that a step describes, under a new name.
func (cl *cluster) spec(s step) placer.JobSpec {
	cl.mu.Lock()
	cl.serial++
	name := fmt.Sprintf("job%d", cl.serial)
	cl.mu.Unlock()
	return specOf(name, s)
}

// repeated returns one of five fixed jobs, one for each request id of resubmitJob.
func (cl *cluster) repeated(s step) placer.JobSpec {
	s.flags = s.pick % 5
	return specOf(fmt.Sprintf("repeated%d", s.pick%5), s)
}

func specOf(name string, s step) placer.JobSpec {
	team := []string{"limited", "free"}[s.flags&1]
	options := []placer.JobOption{
		placer.WithName(name),
		placer.WithTasks(1 + s.pick%6),
		placer.WithEstimate(time.Duration(1+s.pick%25) * time.Second),
		placer.WithClass([]placer.Class{placer.Urgent, placer.Deferred, placer.BestEffort}[s.pick%3]),
	}
	if s.flags&2 != 0 {
		options = append(options, placer.WithNonIdempotent())
	}
	gangCPU := int64(1+s.pick%6) * 500 * int64(1+s.pick%4)
	if s.flags&12 == 12 && gangCPU <= teamLimit/2 {
		options = append(options, placer.WithGang())
	}
	return placer.NewJobSpec(name, team, placer.NewResources(500*int64(1+s.pick%4), 1024, 0), options...)
}

// claim lets an entry VM claim one of six urgent requests and, if the claim is granted,
// settle it as run or not run.
func (cl *cluster) claim(o *owner, s step) {
	id := fmt.Sprintf("urgent%d", s.pick%6)
	cl.mu.Lock()
	cl.serial++
	holder := fmt.Sprintf("vm%d", cl.serial)
	cl.mu.Unlock()
	cl.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		claim, err := o.sched.Claim(ctx, "free", id, holder, 1)
		if err != nil || !claim.Granted() {
			return
		}
		outcome := scheduler.NotRun
		if s.flags&2 != 0 {
			outcome = scheduler.Ran
			cl.recordUrgentRun(o.shard.name + "/" + id)
		}
		_ = o.sched.Settle(ctx, "free", id, holder, outcome)
	})
}

// recordUrgentRun counts the runs of an urgent request; more than one is a violation.
func (cl *cluster) recordUrgentRun(id string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.urgentRuns[id]++
	if n := cl.urgentRuns[id]; n > 1 {
		cl.violations = append(cl.violations, fmt.Sprintf("urgent request %s ran %d times", id, n))
	}
}

// cancelThird cancels a third of the accepted jobs at once.
func (cl *cluster) cancelThird(s step) {
	for i, id := range cl.accepted() {
		if i%3 != s.pick%3 {
			continue
		}
		o := cl.shards[id[:3]].newest()
		cl.calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = o.sched.Cancel(ctx, id)
		})
	}
}

// closeOwner stops an owner cleanly, and makes a new one take over.
func (cl *cluster) closeOwner(shard *clusterShard, o *owner) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_ = o.sched.Close(ctx)
	cl.takeOver(shard)
}
