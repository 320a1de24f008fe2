package planner

import (
	"strconv"
	"testing"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

// TestAttemptsSurviveTakeover checks that a job that used up its attempts under an
// earlier owner is still failed, although the new owner reads the journal before it
// knows the queues and their attempts.
func TestAttemptsSurviveTakeover(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", newStep(1))
	f.listEnd(f.starts()[0], 1, RunFailed)
	f.listEnd(f.starts()[0], 2, RunFailed)
	f.assertState("j", Failed)
	f.takeOver(0)
	f.addWorker("w0")
	f.now += second
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.Assert(f.p.FinalState("j"), quicktest.Equals, Failed)
}

// TestSnapshotKeepsFinishedSteps checks that a job restored from a snapshot continues
// with the step after those that are done.
func TestSnapshotKeepsFinishedSteps(t *testing.T) {
	f := newFixture(t, 1)
	next := newStep(1)
	next.After = []int{0}
	f.submit("j", newStep(1), next)
	f.listEnd(f.starts()[0], 1, Done)
	state, err := f.p.Snapshot(f.now, wall)
	f.Assert(err, quicktest.IsNil)
	config := f.p.config
	f.p = New()
	f.Assert(f.p.Restore(state, nil, f.now, wall, second), quicktest.IsNil)
	f.p.Configure(config, f.now)
	f.addWorker("w0")
	f.now += second
	f.Assert(f.starts(), quicktest.HasLen, 0) // the worker has not answered yet
	f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: f.now}, f.now)
	starts := f.starts()
	f.Assert(starts, quicktest.HasLen, 1)
	f.Assert(starts[0].Task, quicktest.Equals, "j.0.1.0")
}

// TestSnapshotKeepsNewestRun checks that the next owner neither starts a task beside its newest
// run (TWICE) nor gives a run number again, although an earlier run, which was given up, has been
// listed again.
func TestSnapshotKeepsNewestRun(t *testing.T) {
	for _, newestEnds := range []bool{false, true} {
		t.Run("newest run ends "+strconv.FormatBool(newestEnds), func(t *testing.T) {
			f := newFixture(t, 2)
			f.submit("j", newStep(1))
			first := f.starts()[0]
			f.p.ExtendLease(first.Worker, f.now+second)
			f.p.HeartbeatMissed(first.Worker)
			f.now += 2 * second
			newest := f.starts()[0]
			f.Assert(newest.Worker, quicktest.Not(quicktest.Equals), first.Worker)
			f.p.HandleStatus(WorkerStatus{Worker: first.Worker, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: first.Task, Number: 1}}}, f.now)
			if newestEnds {
				f.listEnd(newest, 1, RunFailed)
			}
			state, err := f.p.Snapshot(f.now, wall+f.now.Milliseconds())
			f.Assert(err, quicktest.IsNil)
			config := f.p.config
			f.p = New()
			f.Assert(f.p.Restore(state, nil, f.now, wall+f.now.Milliseconds(), f.now+6*second), quicktest.IsNil)
			f.p.Configure(config, f.now)
			f.addWorker("w0")
			f.addWorker("w1")
			f.listEnd(first, 1, Stopped)
			starts := f.starts()
			if newestEnds {
				f.Assert(starts, quicktest.HasLen, 1)
				f.Assert(starts[0].Number, quicktest.Equals, 3)
			} else {
				f.Assert(starts, quicktest.HasLen, 0)
			}
		})
	}
}

// TestTakeover checks that a new owner starts nothing twice. A task whose start the
// journal holds waits while its worker doesn't answer, until the lease has expired.
// Other tasks start at once.
func TestTakeover(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("known", newStep(1))
	f.Assert(f.starts(), quicktest.HasLen, 1)
	f.submit("waiting", newStep(1))
	f.takeOver(6 * second)
	f.addWorker("w1")
	starts := f.starts()
	f.Assert(starts, quicktest.HasLen, 1)
	f.Assert(starts[0].Task, quicktest.Equals, "waiting.0.0.0")
	f.now = 5 * second
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.now = 7 * second
	restarts := f.starts()
	f.Assert(restarts, quicktest.HasLen, 1)
	f.Assert(restarts[0].Task, quicktest.Equals, "known.0.0.0")
	f.Assert(restarts[0].Number, quicktest.Equals, 2)
}

// TestGangDoneInReplay checks that the end of one member completes a gang whose other
// members still run, also when a new owner replays that end from the journal. The
// replay must not hang on members that are still allocated.
func TestGangDoneInReplay(t *testing.T) {
	f := newFixture(t, 1)
	gang := newStep(3)
	gang.Gang = true
	f.submit("j", gang)
	starts := f.starts()
	f.Assert(starts, quicktest.HasLen, 3)
	f.Assert(starts[0].Number, quicktest.Equals, starts[2].Number)
	f.listEnd(starts[0], 1, Done)
	f.assertState("j", Completed)
	f.takeOver(6 * second)
	f.Assert(f.p.FinalState("j"), quicktest.Equals, Completed)
}

// TestTakeoverWithDroppedWorker checks a worker that left the list and came back. The
// record that drops it may follow the one that adds it again. Its runs must still expire
// for the next owner.
func TestTakeoverWithDroppedWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", newStep(1))
	f.Assert(f.starts(), quicktest.HasLen, 1)
	f.record(Record{RemovedWorker: "w0"})
	f.takeOver(6 * second)
	f.addWorker("w1")
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.now = 7 * second
	restarts := f.starts()
	f.Assert(restarts, quicktest.HasLen, 1)
	f.Assert(restarts[0].Number, quicktest.Equals, 2)
}

// TestTakeoverAfterLostWorker checks a task whose worker is lost. Its run expires, and the
// worker is removed from the journal before the task can start elsewhere. The journal still
// holds the start of the run, which must expire for the next owner too.
func TestTakeoverAfterLostWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", newStep(1))
	f.Assert(f.starts(), quicktest.HasLen, 1)
	f.p.ExtendLease("w0", 6*second)
	f.p.Deregister("w0")
	f.now = 7 * second
	f.Assert(f.starts(), quicktest.HasLen, 0)
	pruned, stored := f.p.PruneWorkers(f.now)
	f.Assert(pruned, quicktest.DeepEquals, []string{"w0"})
	f.Assert(stored, quicktest.DeepEquals, pruned)
	f.record(Record{RemovedWorker: "w0"})
	f.takeOver(13 * second)
	f.addWorker("w1")
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.now = 14 * second
	restarts := f.starts()
	f.Assert(restarts, quicktest.HasLen, 1)
	f.Assert(restarts[0].Number, quicktest.Equals, 2)
}

// TestSlowTakeover checks a takeover that takes longer than any lease, for instance over
// a slow link. The runs of a listed worker must not count as expired before the worker
// was called, since it may still list their ends.
func TestSlowTakeover(t *testing.T) {
	setUp := func(t *testing.T) (*fixture, Action) {
		f := newFixture(t, 2)
		f.submit("j", newStep(1))
		first := f.starts()
		f.Assert(first, quicktest.HasLen, 1)
		f.now = 30 * second
		f.takeOver(12 * second)
		f.addWorker("w0")
		f.addWorker("w1")
		for _, id := range []string{"w0", "w1"} {
			if id != first[0].Worker {
				f.p.HandleStatus(WorkerStatus{Worker: id, Incarnation: 1, SentAt: f.now}, f.now)
			}
		}
		f.Assert(f.starts(), quicktest.HasLen, 0)
		return f, first[0]
	}
	t.Run("the end is listed", func(t *testing.T) {
		f, first := setUp(t)
		f.listEnd(first, 1, Done)
		f.Assert(f.starts(), quicktest.HasLen, 0)
		f.assertState("j", Completed)
	})
	t.Run("no answer", func(t *testing.T) {
		f, first := setUp(t)
		f.p.HeartbeatMissed(first.Worker)
		restarts := f.starts()
		f.Assert(restarts, quicktest.HasLen, 1)
		f.Assert(restarts[0].Number, quicktest.Equals, 2)
	})
	t.Run("not listed any more", func(t *testing.T) {
		f, first := setUp(t)
		f.p.Deregister(first.Worker)
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
}

// TestLearnFromOwnRunsOnly checks that no run time is learned from a run that an earlier
// owner started, since its start time is not known.
func TestLearnFromOwnRunsOnly(t *testing.T) {
	f := newFixture(t, 1)
	f.now = 1000 * second
	f.submit("j", newStep(1))
	first := f.starts()[0]
	f.takeOver(1006 * second)
	f.addWorker("w0")
	f.listEnd(first, 1, Done)
	f.assertState("j", Completed)
	f.Assert(f.p.statsOf("q").runTimeRatio(), quicktest.Equals, 1.0)
}

// TestPartitionedAfterTakeover checks that a new owner does not count as partitioned too
// early. Calls to the workers of a disconnected data centre fail after 0.1 s, before the
// other workers have answered. Workers that were not called, such as those of a data
// centre out of service, must not count as unresponsive.
func TestPartitionedAfterTakeover(t *testing.T) {
	f := newFixture(t, 12)
	f.takeOver(6 * second)
	for n := range 12 {
		f.addWorker("w" + strconv.Itoa(n))
	}
	for n := range 6 {
		f.p.HeartbeatMissed("w" + strconv.Itoa(n))
	}
	f.Assert(f.p.Partitioned(f.now), quicktest.IsFalse)
	for n := 6; n < 9; n++ {
		f.p.HandleStatus(WorkerStatus{Worker: "w" + strconv.Itoa(n), Incarnation: 1, SentAt: f.now}, f.now)
	}
	f.now += 10 * second
	f.Assert(f.p.Partitioned(f.now), quicktest.IsFalse)
	f.p.HeartbeatMissed("w9")
	f.Assert(f.p.Partitioned(f.now), quicktest.IsTrue)
}

// TestMalformedTaskNames checks that runs that a worker lists under names that no task has
// are stopped under these names, and that none of them, such as one with a huge index, takes
// the process down.
func TestMalformedTaskNames(t *testing.T) {
	for _, name := range []string{"x.0.0.4000000000000", "0123456789abcdef.0.99999.3", "", "x", "...", "j.0.0.4000000000000", "j.0.7.0", "j.5.0.0"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.submit("j", newStep(1))
			f.starts()
			f.p.HandleStatus(WorkerStatus{
				Worker: "w0", Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: name, Number: 3}},
				Ended: []EndEntry{{1, End{Task: name, Number: 2, Result: Done}}},
			}, f.now)
			stops := f.decide()
			f.Assert(stops, quicktest.HasLen, 1)
			f.Assert(stops[0].Kind, quicktest.Equals, Stop)
			f.Assert(stops[0].Task, quicktest.Equals, name)
			f.p.ReportStop(stops[0], true, f.now)
			f.now += second
			f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: f.now}, f.now)
			f.Assert(f.p.workers["w0"].allocated.CPU(), quicktest.Equals, int64(0))
		})
	}
}

// TestInheritedStartOnRestartedWorker checks that a new owner starts a task anew only when
// the order of the earlier owner can't arrive any more. That owner got no answer, and the
// worker has restarted since: the new incarnation knows neither the fence nor the run.
func TestInheritedStartOnRestartedWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", newStep(1))
	f.Assert(f.decide(), quicktest.HasLen, 1)
	f.takeOver(6 * second)
	f.addWorker("w0")
	f.addWorker("w1")
	restarted := f.p.workers["w0"].reg
	restarted.Incarnation = 2
	f.p.Register(restarted, f.now)
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.now = 2 * maxOrderDelay
	f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 2, SentAt: f.now}, f.now)
	f.Assert(f.starts(), quicktest.HasLen, 1)
}

// TestRunsOfCancelledJobCountAfterTakeover checks that the runs of a cancelled job, whose worker is
// cut off, count towards their team's limit for the next owners too, until they have ended: the
// team would have more running than its limit (QUOTA).
func TestRunsOfCancelledJobCountAfterTakeover(t *testing.T) {
	f := newFixture(t, 2)
	f.p.Configure(Config{Version: 2, Queues: f.p.config.Queues, Teams: []Team{{Name: "team", Weight: 1, Limit: placer.NewResources(2000, 0, 0)}}}, f.now)
	f.submit("cancelled", newStep(2))
	starts := f.starts()
	f.Assert(starts, quicktest.HasLen, 2)
	at := starts[0].Worker
	f.Assert(starts[1].Worker, quicktest.Equals, at)
	f.p.Cancel("cancelled", "team", f.now)
	f.record(Record{Cancel: "cancelled"})
	f.p.MarkEndStored("cancelled")
	f.submit("j", newStep(2))
	for range 2 { // owners
		f.restoreSnapshot(f.now + 6*second)
		f.addWorker("w0")
		f.addWorker("w1")
		for _, w := range []string{"w0", "w1"} {
			if w != at {
				f.p.HandleStatus(WorkerStatus{Worker: w, Incarnation: 1, SentAt: f.now}, f.now)
			}
		}
		f.p.HeartbeatMissed(at)
		stops := f.decide()
		f.Assert(stops, quicktest.HasLen, 2)
		f.Assert(stops[0].Kind, quicktest.Equals, Stop)
		f.now += second
		f.assertNoStart()
	}
	f.p.HandleStatus(WorkerStatus{Worker: at, Incarnation: 1, SentAt: f.now, Ended: []EndEntry{
		{1, End{Task: starts[0].Task, Number: 1, Result: Stopped}}, {2, End{Task: starts[1].Task, Number: 1, Result: Stopped}},
	}}, f.now)
	f.Assert(f.starts(), quicktest.HasLen, 2)
}
