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
	seeds = flag.Int("seeds", 20, "number of fuzz seeds")
	first = flag.Int("seed", 1, "first fuzz seed")
	logs  = flag.Bool("logs", false, "print the logs of all owners")
	steps = flag.Int("steps", 60, "steps of each fuzz seed")
)

// healTime is what the world has to end all jobs once it is whole again.
const healTime = 10 * time.Minute

// kind is what a step of a scenario does.
type kind int

const (
	submitJob kind = iota
	submitAgain
	cancelWave
	claimRequest
	killWorker
	restartWorker
	pauseWorker
	resumeWorker
	breakWorker
	mendWorker
	slowWorker
	dropWorker
	killOwner
	pauseOwner
	resumeOwner
	takeOver
	closeOwner
	cutOwner
	joinOwner
	storeDown
	storeUp
	storeLossy
	storeSlow
	storeCut
	drainShard
	returnShard
	kinds
)

// step is one thing that happens, after a while.
type step struct {
	kind  kind
	shard int
	pick  int
	flags int
	wait  time.Duration
}

// scenarios generates lists of steps; work is as frequent as all faults.
func scenarios(n int) *rapid.Generator[[]step] {
	kindOf := rapid.OneOf(
		rapid.SampledFrom([]kind{submitJob, submitJob, submitJob, submitAgain, cancelWave, claimRequest}),
		rapid.Map(rapid.IntRange(0, int(kinds)-1), func(k int) kind { return kind(k) }),
	)
	wait := rapid.OneOf(rapid.IntRange(0, 50), rapid.IntRange(0, 3000), rapid.IntRange(0, 20000))
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  kindOf.Draw(t, "kind"),
			shard: rapid.IntRange(0, 1).Draw(t, "shard"),
			pick:  rapid.IntRange(0, 999).Draw(t, "pick"),
			flags: rapid.IntRange(0, 63).Draw(t, "flags"),
			wait:  time.Duration(wait.Draw(t, "wait")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, n, n)
}

// TestFuzz runs random scenarios on real schedulers, placers and journals with
// stand-ins around them.
func TestFuzz(t *testing.T) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			c := qt.New(t)
			broken := runScenario(t, guards{}, scenarios(*steps).Example(seed))
			c.Assert(broken, qt.HasLen, 0)
		})
	}
}

// runScenario returns what went wrong in one scenario.
func runScenario(t *testing.T, g guards, scenario []step) (broken []string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(g, fails)
		for _, name := range w.names {
			w.takeOver(w.shards[name])
		}
		time.Sleep(time.Second)
		for _, s := range scenario {
			w.do(s)
			time.Sleep(s.wait)
		}
		w.heal()
		for range int(healTime / (10 * time.Second)) {
			time.Sleep(10 * time.Second)
			if broken = w.verdict(); len(broken) == 0 {
				break
			}
		}
		w.stop()
	})
	return broken
}

// fails makes every seventh run of a task fail.
func fails(attempt dispatcher.Attempt) bool {
	h := fnv.New32a()
	fmt.Fprint(h, attempt.Task().String(), attempt.Number())
	return h.Sum32()%7 == 0
}

// do carries out one step.
func (w *world) do(s step) {
	shard := w.shards[w.names[s.shard]]
	worker := shard.workers[s.pick%len(shard.workers)]
	o := shard.owners[max(0, len(shard.owners)-1-s.flags%2)]
	switch s.kind {
	case submitJob:
		w.submit(shard, w.spec(s), "")
	case submitAgain:
		w.submit(shard, w.repeated(s), fmt.Sprintf("request%d", s.pick%5))
	case cancelWave:
		w.cancelWave(s)
	case claimRequest:
		w.claim(o, s)
	case killWorker, restartWorker, pauseWorker, resumeWorker, breakWorker, mendWorker, slowWorker:
		changeWorker(worker, s)
	case dropWorker:
		worker.Kill()
		shard.gone[worker.ID()] = true
		shard.newest().list()
	case killOwner:
		o.kill()
		time.Sleep(s.wait / 4)
		w.takeOver(shard)
	case pauseOwner:
		o.pause()
	case resumeOwner:
		o.resume()
	case takeOver:
		w.takeOver(shard)
	case closeOwner:
		w.closeOwner(shard, o)
	case cutOwner:
		o.cut(worker.ID(), s.flags&2 != 0, s.flags&4 != 0)
	case joinOwner:
		for _, worker := range shard.workers {
			o.cut(worker.ID(), false, false)
		}
	case storeDown, storeUp, storeLossy, storeSlow, storeCut:
		w.changeStore(o, s)
	case drainShard:
		w.drain(shard)
	case returnShard:
		w.giveBack(shard)
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
	case breakWorker:
		worker.SetFailing(true)
	case mendWorker:
		worker.SetFailing(false)
		worker.SetUnreachable(false, false)
		worker.SetDelay(0)
	case slowWorker:
		worker.SetUnreachable(s.flags&2 != 0, s.flags&4 != 0)
		worker.SetDelay(time.Duration(s.flags) * 50 * time.Millisecond)
	}
}

func (w *world) changeStore(o *owner, s step) {
	change := o.client.SetFaults
	if s.flags&2 != 0 {
		change = w.store.SetFaults
	}
	switch s.kind {
	case storeDown:
		change(emulator.Down())
	case storeUp:
		w.store.SetFaults()
		o.client.SetFaults()
	case storeLossy:
		change(emulator.LoseAnswers(0.4), emulator.LateWrites(0.2, time.Second))
	case storeSlow:
		change(emulator.Slow(time.Duration(s.flags) * 20 * time.Millisecond))
	case storeCut:
		change(emulator.Cut())
	}
}

// spec returns a job that the step describes.
func (w *world) spec(s step) placer.JobSpec {
	w.mu.Lock()
	w.serial++
	name := fmt.Sprintf("job%d", w.serial)
	w.mu.Unlock()
	return specOf(name, s)
}

// repeated returns one of a few jobs, the same for the same request.
func (w *world) repeated(s step) placer.JobSpec {
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
	together := int64(1+s.pick%6) * 500 * int64(1+s.pick%4)
	if s.flags&12 == 12 && together <= teamLimit/2 {
		options = append(options, placer.WithGang())
	}
	return placer.NewJobSpec(name, team, placer.NewResources(500*int64(1+s.pick%4), 1024, 0), options...)
}

// claim lets an entry VM claim one of a few urgent requests and, if it is
// granted, run it or find that it can't.
func (w *world) claim(o *owner, s step) {
	id := fmt.Sprintf("urgent%d", s.pick%6)
	w.mu.Lock()
	w.serial++
	holder := fmt.Sprintf("vm%d", w.serial)
	w.mu.Unlock()
	w.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		claim, err := o.sched.Claim(ctx, "free", id, holder, 1)
		if err != nil || !claim.Granted() {
			return
		}
		outcome := scheduler.NotRun
		if s.flags&2 != 0 {
			outcome = scheduler.Ran
			w.ran(o.shard.name + "/" + id)
		}
		_ = o.sched.Settle(ctx, "free", id, holder, outcome)
	})
}

// ran notes that an urgent request has run, which must happen once at most.
func (w *world) ran(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.urgent[id]++
	if n := w.urgent[id]; n > 1 {
		w.broken = append(w.broken, fmt.Sprintf("urgent request %s ran %d times", id, n))
	}
}

// cancelWave cancels some of the accepted jobs at once.
func (w *world) cancelWave(s step) {
	for i, id := range w.accepted() {
		if i%3 != s.pick%3 {
			continue
		}
		o := w.shards[id[:3]].newest()
		w.pending.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = o.sched.Cancel(ctx, id)
		})
	}
}

// closeOwner stops an owner in order; another follows.
func (w *world) closeOwner(shard *shardWorld, o *owner) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_ = o.sched.Close(ctx)
	w.takeOver(shard)
}
