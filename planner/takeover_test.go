package planner

import (
	"strconv"
	"testing"

	"github.com/frankban/quicktest"
)

// Attempts that an earlier owner counted hold for the next one, although it reads
// its journal before it knows the queues.
func TestAttemptsOutlastOwner(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("j", newStep(1))
	b.listEnd(b.starts()[0], 1, RunFailed)
	b.listEnd(b.starts()[0], 2, RunFailed)
	b.assertState("j", Failed)
	b.takeOver(0)
	b.addWorker("w0")
	b.now += second
	b.Assert(b.starts(), quicktest.HasLen, 0)
	b.Assert(b.p.Verdict("j"), quicktest.Equals, Failed)
}

// A job restored from a snapshot goes on after the steps that are done.
func TestSnapshotKeepsFinishedSteps(t *testing.T) {
	b := newFixture(t, 1)
	next := newStep(1)
	next.After = []int{0}
	b.submit("j", newStep(1), next)
	b.listEnd(b.starts()[0], 1, Done)
	state, err := b.p.Snapshot(b.now, wall)
	b.Assert(err, quicktest.IsNil)
	config := b.p.config
	b.p = New()
	b.Assert(b.p.Restore(state, nil, b.now, wall, second), quicktest.IsNil)
	b.p.Configure(config, b.now)
	b.addWorker("w0")
	b.now += second
	b.Assert(b.starts(), quicktest.HasLen, 0) // the worker has not been heard
	b.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 1, Asked: b.now}, b.now)
	starts := b.starts()
	b.Assert(starts, quicktest.HasLen, 1)
	b.Assert(starts[0].Task, quicktest.Equals, "j.0.1.0")
}

// A new owner starts nothing twice: a task whose start the journal holds waits
// until its worker was heard or its lease has lapsed; other tasks start at once.
func TestTakeover(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("known", newStep(1))
	b.Assert(b.starts(), quicktest.HasLen, 1)
	b.submit("waiting", newStep(1))
	b.takeOver(6 * second)
	b.addWorker("w1")
	starts := b.starts()
	b.Assert(starts, quicktest.HasLen, 1)
	b.Assert(starts[0].Task, quicktest.Equals, "waiting.0.0.0")
	b.now = 5 * second
	b.Assert(b.starts(), quicktest.HasLen, 0)
	b.now = 7 * second
	lapsed := b.starts()
	b.Assert(lapsed, quicktest.HasLen, 1)
	b.Assert(lapsed[0].Task, quicktest.Equals, "known.0.0.0")
	b.Assert(lapsed[0].Number, quicktest.Equals, 2)
}

// A gang whose members run on is done as a whole by the end of one, also when a
// new owner replays that from the journal; members still on the books must not
// hang the replay.
func TestGangDoneInReplay(t *testing.T) {
	b := newFixture(t, 1)
	gang := newStep(3)
	gang.Gang = true
	b.submit("j", gang)
	starts := b.starts()
	b.Assert(starts, quicktest.HasLen, 3)
	b.Assert(starts[0].Number, quicktest.Equals, starts[2].Number)
	b.listEnd(starts[0], 1, Done)
	b.assertState("j", Completed)
	b.takeOver(6 * second)
	b.Assert(b.p.Verdict("j"), quicktest.Equals, Completed)
}

// A worker that left the list and came back may be dropped in the journal after its
// return was kept. What was started there lapses for the next owner all the same.
func TestTakeoverWithDroppedWorker(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("j", newStep(1))
	b.Assert(b.starts(), quicktest.HasLen, 1)
	b.record(Record{Drop: "w0"})
	b.takeOver(6 * second)
	b.addWorker("w1")
	b.Assert(b.starts(), quicktest.HasLen, 0)
	b.now = 7 * second
	again := b.starts()
	b.Assert(again, quicktest.HasLen, 1)
	b.Assert(again[0].Number, quicktest.Equals, 2)
}

// TestSlowTakeover replays a takeover that took longer than any lease: the journal
// was read over a slow link. A worker that can be asked is asked before its runs
// count as lapsed; it may list their ends yet.
func TestSlowTakeover(t *testing.T) {
	takeOver := func(t *testing.T) (*fixture, Action) {
		b := newFixture(t, 2)
		b.submit("j", newStep(1))
		first := b.starts()
		b.Assert(first, quicktest.HasLen, 1)
		b.now = 30 * second
		b.takeOver(12 * second)
		b.addWorker("w0")
		b.addWorker("w1")
		for _, id := range []string{"w0", "w1"} {
			if id != first[0].Worker {
				b.p.HandleStatus(WorkerStatus{Worker: id, Incarnation: 1, Asked: b.now}, b.now)
			}
		}
		b.Assert(b.starts(), quicktest.HasLen, 0)
		return b, first[0]
	}
	t.Run("the end is listed", func(t *testing.T) {
		b, first := takeOver(t)
		b.listEnd(first, 1, Done)
		b.Assert(b.starts(), quicktest.HasLen, 0)
		b.assertState("j", Completed)
	})
	t.Run("no answer", func(t *testing.T) {
		b, first := takeOver(t)
		b.p.HeartbeatMissed(first.Worker)
		again := b.starts()
		b.Assert(again, quicktest.HasLen, 1)
		b.Assert(again[0].Number, quicktest.Equals, 2)
	})
	t.Run("not listed any more", func(t *testing.T) {
		b, first := takeOver(t)
		b.p.Deregister(first.Worker)
		b.Assert(b.starts(), quicktest.HasLen, 1)
	})
}

// An end of a run that an earlier owner began tells nothing of its length.
func TestLearnFromOwnRunsOnly(t *testing.T) {
	b := newFixture(t, 1)
	b.now = 1000 * second
	b.submit("j", newStep(1))
	first := b.starts()[0]
	b.takeOver(1006 * second)
	b.addWorker("w0")
	b.listEnd(first, 1, Done)
	b.assertState("j", Completed)
	b.Assert(b.p.runTimeRatio("q"), quicktest.Equals, 1.0)
}

// TestCutOffAfterTakeover replays a takeover while a data centre is cut off: its
// workers were silent after 0.1 s, before the others had answered, and the new owner
// made way at once. So did an owner next to a data centre that was out of service,
// whose workers run nothing and are not called.
func TestCutOffAfterTakeover(t *testing.T) {
	b := newFixture(t, 12)
	b.takeOver(6 * second)
	for n := range 12 {
		b.addWorker("w" + strconv.Itoa(n))
	}
	for n := range 6 {
		b.p.HeartbeatMissed("w" + strconv.Itoa(n))
	}
	b.Assert(b.p.Partitioned(), quicktest.IsFalse)
	for n := 6; n < 9; n++ {
		b.p.HandleStatus(WorkerStatus{Worker: "w" + strconv.Itoa(n), Incarnation: 1, Asked: b.now}, b.now)
	}
	b.now += 10 * second
	b.Assert(b.p.Partitioned(), quicktest.IsFalse)
	b.p.HeartbeatMissed("w9")
	b.Assert(b.p.Partitioned(), quicktest.IsTrue)
}
