package planner

import (
	"testing"
	"time"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

// restartWorker makes the platform's list show that a worker has restarted under its id.
func (f *fixture) restartWorker(id string, incarnation int64) {
	f.p.Register(Registration{ID: id, Centre: "c", Service: "s", Incarnation: incarnation, Capacity: placer.NewResources(4000, 4096, 0), Labels: []string{"a", "r1"}}, f.now)
}

// assertNoStart checks that the next decision starts nothing.
func (f *fixture) assertNoStart() {
	f.Helper()
	for _, a := range f.decide() {
		f.Assert(a.Kind, quicktest.Not(quicktest.Equals), Start)
	}
}

// TestStartAnsweredBeforeRestartIsNoticed checks a start that a restarted worker may have
// executed before the platform's list shows the restart: its answer names no incarnation.
// Counted as lost with the earlier incarnation, the task would run twice (TWICE).
func TestStartAnsweredBeforeRestartIsNoticed(t *testing.T) {
	setUp := func(t *testing.T) (*fixture, Action) {
		f := newFixture(t, 1)
		f.submit("j", newStep(1))
		first := f.starts()
		f.Assert(first, quicktest.HasLen, 1)
		f.addWorker("w1")
		f.now += second / 10
		f.restartWorker("w0", 2)
		f.assertNoStart()
		return f, first[0]
	}
	answer := func(f *fixture, running []RunningEntry, ended []EndEntry) {
		f.now += second / 10
		f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 2, SentAt: f.now, Running: running, Ended: ended}, f.now)
	}
	t.Run("the new incarnation runs it", func(t *testing.T) {
		f, first := setUp(t)
		answer(f, []RunningEntry{{Task: first.Task, Number: 1}}, nil)
		f.assertNoStart()
	})
	t.Run("it has ended there", func(t *testing.T) {
		f, first := setUp(t)
		answer(f, nil, []EndEntry{{1, End{Task: first.Task, Number: 1, Result: Done}}})
		f.assertNoStart()
		f.Assert(f.p.FinalState("j"), quicktest.Equals, Completed)
	})
	t.Run("the new incarnation does not list it", func(t *testing.T) {
		f, _ := setUp(t)
		answer(f, nil, nil)
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
	t.Run("the earlier incarnation has listed it", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("j", newStep(1))
		first := f.starts()[0]
		f.now += second / 10
		f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: first.Task, Number: 1}}}, f.now)
		f.addWorker("w1")
		f.restartWorker("w0", 2)
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
}

// TestNoStartOnUnheardIncarnation checks that no start is decided on a worker that has
// restarted until it has answered. Its clock is not known, so that each start would be
// withdrawn and decided anew, also if other workers have room (LOST).
func TestNoStartOnUnheardIncarnation(t *testing.T) {
	f := newFixture(t, 2)
	f.restartWorker("w0", 2)
	f.Assert(f.p.NeedsHeartbeat("w0"), quicktest.IsTrue)
	f.submit("j", newStep(1))
	starts := f.starts()
	f.Assert(starts, quicktest.HasLen, 1)
	f.Assert(starts[0].Worker, quicktest.Equals, "w1")
	f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: f.now}, f.now)
	f.Assert(f.p.NeedsHeartbeat("w0"), quicktest.IsTrue)
	f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 2, SentAt: f.now}, f.now)
	f.Assert(f.p.NeedsHeartbeat("w0"), quicktest.IsFalse)
	wide := newStep(2)
	wide.CPU = 3500
	f.submit("wide", wide)
	f.Assert(f.starts(), quicktest.HasLen, 1)
	f.Assert(f.actions[0].Worker, quicktest.Equals, "w0")
}

// answer passes a list of worker w0 that names the incarnation, to a heartbeat sent at sentAt.
func (f *fixture) answer(incarnation int64, sentAt time.Duration, running ...RunningEntry) {
	f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: incarnation, SentAt: sentAt, Running: running}, f.now)
}

// TestTimeOfDayJumpsBack checks a worker that restarts after the time of day of its machine
// has jumped back, so that its new incarnation seems to be earlier than the known one. Not
// listened to, it would keep the runs of the earlier one for ever (LOST). A late answer
// or entry of the earlier one must not end what the new one runs (TWICE).
func TestTimeOfDayJumpsBack(t *testing.T) {
	const earlier, next = 9000, 5000
	// setUp returns a fixture with a run on incarnation earlier.
	setUp := func(t *testing.T) (*fixture, RunningEntry) {
		f := newFixture(t, 1)
		f.restartWorker("w0", earlier)
		f.now += second
		f.answer(earlier, f.now)
		f.submit("j", newStep(1))
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 1)
		f.now += second
		entry := RunningEntry{Task: starts[0].Task, Number: starts[0].Number}
		f.answer(earlier, f.now, entry)
		f.now += second
		return f, entry
	}
	// restart makes the next incarnation known, with the task started on it.
	restart := func(t *testing.T) (*fixture, RunningEntry) {
		f, _ := setUp(t)
		f.restartWorker("w0", next)
		f.now += second
		f.answer(next, f.now)
		f.now += second
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 1)
		entry := RunningEntry{Task: starts[0].Task, Number: starts[0].Number}
		f.answer(next, f.now+1, entry)
		f.now += second
		f.addWorker("w1")
		return f, entry
	}
	t.Run("its entry is read first", func(t *testing.T) {
		f, _ := setUp(t)
		f.restartWorker("w0", next)
		f.Assert(f.p.NeedsHeartbeat("w0"), quicktest.IsTrue)
		f.submit("k", newStep(1))
		f.assertNoStart()
		f.now += second
		f.answer(next, f.now)
		f.Assert(f.starts(), quicktest.HasLen, 2)
	})
	t.Run("it answers first", func(t *testing.T) {
		f, _ := setUp(t)
		f.answer(next, f.now)
		f.assertNoStart() // it may be of another kind
		f.restartWorker("w0", next)
		f.Assert(f.starts(), quicktest.HasLen, 1)
		f.Assert(f.p.Busy("w0"), quicktest.IsTrue)
	})
	t.Run("the entry is old", func(t *testing.T) {
		f, entry := setUp(t)
		f.restartWorker("w0", next)
		f.now += second
		f.answer(earlier, f.now, entry)
		f.assertNoStart()
		f.Assert(f.p.Busy("w0"), quicktest.IsTrue)
		f.restartWorker("w0", next)
		f.Assert(f.p.acceptsTasks("w0", f.now), quicktest.IsTrue)
	})
	t.Run("a call was sent before the entry was read", func(t *testing.T) {
		f, entry := setUp(t)
		sentAt := f.now - second/2
		f.restartWorker("w0", next)
		f.answer(earlier, sentAt, entry)
		f.Assert(f.p.NeedsHeartbeat("w0"), quicktest.IsTrue)
		f.submit("k", newStep(1))
		f.assertNoStart()
		f.now += second
		f.answer(next, f.now)
		f.Assert(f.starts(), quicktest.HasLen, 2)
	})
	t.Run("the earlier incarnation answers late", func(t *testing.T) {
		f, entry := restart(t)
		f.answer(earlier, 2*second+second/2)
		f.assertNoStart()
		f.answer(next, f.now, entry)
		f.assertNoStart()
	})
	t.Run("the earlier incarnation's entry comes late", func(t *testing.T) {
		f, entry := restart(t)
		f.restartWorker("w0", earlier)
		f.assertNoStart()
		f.answer(next, f.now, entry)
		f.assertNoStart()
	})
	t.Run("it restarts again", func(t *testing.T) {
		f, _ := restart(t)
		f.restartWorker("w0", next+1)
		f.now += second
		f.answer(next+1, f.now)
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
}

// acceptsTasks reports whether the worker's own state lets tasks start on it.
func (p *Planner) acceptsTasks(id string, now time.Duration) bool {
	return p.workers[id].acceptsTasks(now)
}

// TestNextIncarnationOfAnotherKind checks that nothing starts on a restarted worker that has answered
// before its new entry is read: it may be smaller than before (LIMIT).
func TestNextIncarnationOfAnotherKind(t *testing.T) {
	register := func(f *fixture, incarnation, cpu int64) {
		f.p.Register(Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: incarnation, Capacity: placer.NewResources(cpu, 4096, 0), Labels: []string{"a", "r1"}}, f.now)
	}
	f := newFixture(t, 1)
	f.now += second
	f.answer(2, f.now)
	f.submit("j", newStep(1))
	f.assertNoStart()
	f.Assert(f.p.Accepts("w0"), quicktest.IsFalse)
	register(f, 1, 4000) // late, of the earlier incarnation
	f.assertNoStart()
	register(f, 2, 500)
	f.assertNoStart()
	register(f, 2, 1000)
	f.Assert(f.p.Accepts("w0"), quicktest.IsTrue)
	f.Assert(f.starts(), quicktest.HasLen, 1)
}
