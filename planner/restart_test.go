package planner

import (
	"testing"

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
