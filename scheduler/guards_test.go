package scheduler_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/emulator"
	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

const fillTime = 10 * time.Second

// TestGuards shows for each guard a run that keeps all promises with it, and
// that breaks one without.
func TestGuards(t *testing.T) {
	for _, test := range []struct {
		name   string
		guards guards
		run    func(w *world, s *shardWorld)
		breach string // what breaks without the guard
	}{
		{"fence", guards{noFence: true}, twoOwners, "in two places"},
		{"hold until all workers are fenced", guards{noHold: true}, unrecordedStart, "in two places"},
		{"wait for the lease", guards{noLapse: true}, unreachableWorker, "in two places"},
		{"record before the start", guards{noRecord: true}, lostStart, "started 2 times"},
		{"proof of ownership", guards{noProof: true}, disjointOwners, "in two places"},
	} {
		t.Run(test.name+"/on", func(t *testing.T) {
			qt.New(t).Assert(runDirected(t, guards{}, test.run), qt.HasLen, 0)
		})
		t.Run(test.name+"/off", func(t *testing.T) {
			qt.New(t).Assert(breaks(t, test.guards, test.run, test.breach), qt.IsTrue)
		})
	}
}

// breakTries is how often a run without a guard is tried: which owner's order comes
// first depends on the order of goroutines, which no seed fixes.
const breakTries = 10

// breaks reports whether one of several runs broke the promise.
func breaks(t *testing.T, g guards, run func(*world, *shardWorld), breach string) bool {
	for range breakTries {
		if strings.Contains(strings.Join(runDirected(t, g, run), "\n"), breach) {
			return true
		}
	}
	return false
}

// runDirected returns the promises that a run broke.
func runDirected(t *testing.T, g guards, run func(*world, *shardWorld)) (broken []string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(g, func(dispatcher.Attempt) bool { return false })
		for _, name := range w.names {
			w.takeOver(w.shards[name])
		}
		time.Sleep(time.Second)
		run(w, w.shards["a.0"])
		w.heal()
		time.Sleep(healTime)
		broken = w.verdict()
		w.stop()
	})
	return broken
}

// one submits a job of that many tasks, each as large as a worker.
func (w *world) one(s *shardWorld, name string, tasks int, d time.Duration, options ...placer.JobOption) {
	options = append([]placer.JobOption{placer.WithName(name), placer.WithTasks(tasks), placer.WithEstimate(d)}, options...)
	w.submit(s, placer.NewJobSpec(name, "free", placer.NewResources(workerCPU, 1024, 0), options...), "")
	time.Sleep(time.Second)
}

// busy returns the first worker that runs something.
func (s *shardWorld) busy() *emulator.Worker {
	for _, worker := range s.workers {
		if worker.Running() > 0 {
			return worker
		}
	}
	return s.workers[0]
}

// twoOwners leaves an owner at work that lacks the key-value service, when
// another has taken over.
func twoOwners(w *world, s *shardWorld) {
	w.one(s, "filler", workersPerShard, fillTime)
	w.one(s, "job", 2, time.Minute)
	s.newest().client.SetFaults(emulator.Down())
	time.Sleep(2 * time.Second)
	w.takeOver(s)
	time.Sleep(2 * fillTime)
}

// unrecordedStart kills an owner that has started a task while the service was
// down, and hides the worker from its successor.
func unrecordedStart(w *world, s *shardWorld) {
	w.one(s, "filler", workersPerShard, fillTime)
	w.one(s, "job", 1, time.Minute)
	s.newest().client.SetFaults(emulator.Down())
	time.Sleep(2 * fillTime)
	hideBusy(w, s)
}

// unreachableWorker hides a worker with a task from the next owner.
func unreachableWorker(w *world, s *shardWorld) {
	w.one(s, "job", 1, time.Minute)
	hideBusy(w, s)
}

// hideBusy kills the owner; its successor doesn't reach the busy worker.
func hideBusy(w *world, s *shardWorld) {
	s.hidden = s.busy().ID()
	s.newest().kill()
	w.takeOver(s)
	time.Sleep(3 * fillTime)
}

// lostStart kills an owner and the worker of a non-idempotent task that was due
// while the service was down.
func lostStart(w *world, s *shardWorld) {
	w.one(s, "filler", workersPerShard, fillTime)
	w.one(s, "job", 1, time.Minute, placer.WithNonIdempotent())
	s.newest().client.SetFaults(emulator.Down())
	time.Sleep(2 * fillTime)
	worker := s.busy()
	s.newest().kill()
	worker.Restart()
	w.takeOver(s)
	time.Sleep(fillTime)
}

// disjointOwners leaves an owner at work with one worker, when another has taken
// over with all others.
func disjointOwners(w *world, s *shardWorld) {
	w.one(s, "job", 1, time.Minute)
	s.hidden = s.busy().ID()
	old := s.newest()
	old.client.SetFaults(emulator.Down())
	for _, worker := range s.workers {
		old.cut(worker.ID(), worker.ID() != s.hidden, false)
	}
	w.takeOver(s)
	time.Sleep(3 * fillTime)
}

// TestAcknowledgement pauses an owner until its workers have given up, lets it
// read them back while its journal hangs, and has another take over: what the
// journal lacks the workers must still remember.
func TestAcknowledgement(t *testing.T) {
	broken := runDirected(t, guards{}, func(w *world, s *shardWorld) {
		w.one(s, "job", 1, time.Minute, placer.WithNonIdempotent())
		old := s.newest()
		old.client.SetFaults(emulator.Down())
		for _, worker := range s.workers {
			old.cut(worker.ID(), true, true)
		}
		time.Sleep(2 * fillTime)
		for _, worker := range s.workers {
			old.cut(worker.ID(), false, false)
		}
		time.Sleep(fillTime)
		w.takeOver(s)
		time.Sleep(fillTime)
	})
	qt.New(t).Assert(broken, qt.HasLen, 0)
}
