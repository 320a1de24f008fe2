package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// newLastingFixture has a lasting task whose start on w0 was ordered by an earlier owner and got no
// answer. The worker has answered the new owner without it.
func newLastingFixture(t *testing.T, snapshot bool) *inheritedFixture {
	t.Helper()
	step := newStep(1)
	step.LongRunning = true
	f := newInheritedFixtureOf(t, step, false, Unknown, snapshot)
	f.answer(1, f.now)
	return f
}

// repeat checks that the start is ordered again, and reports its outcome.
func (f *inheritedFixture) repeat(outcome Outcome) {
	f.Helper()
	starts := f.decide()
	f.Assert(starts, quicktest.HasLen, 1)
	a := starts[0]
	f.Assert([]any{a.Worker, a.Task, a.Number, a.Repeated}, quicktest.DeepEquals, []any{"w0", f.start.Task, f.start.Number, true})
	f.p.ReportStart(a, outcome, f.now)
}

// list lets the worker list the run, and renews its lease.
func (f *inheritedFixture) list(incarnation int64) {
	f.p.ExtendLease("w0", f.now+6*second)
	f.answer(incarnation, f.now, RunningEntry{Task: f.start.Task, Number: f.start.Number})
}

// assertHeld checks that the task starts nowhere until the order of the first owner can't be executed
// any more, and then does. The worker's incarnation does not have it.
func (f *inheritedFixture) assertHeld(incarnation int64) {
	f.Helper()
	for f.now < f.tookOverAt+maxOrderDelay {
		f.answer(incarnation, f.now)
		f.assertNoStart()
		f.now += second
	}
	f.answer(incarnation, f.now)
	starts := f.restarts()
	f.Assert(starts, quicktest.HasLen, 1)
	f.Assert(starts[0].Repeated, quicktest.IsFalse)
}

// TestLastingTaskIsOrderedAgain checks that a lasting task whose start an earlier owner may have ordered
// is ordered again at once, as the same run at the same worker: it would have nothing running for
// 15 s (LOST). Elsewhere it must not start as long as that worker may execute the earlier order (TWICE).
func TestLastingTaskIsOrderedAgain(t *testing.T) {
	for name, snapshot := range map[string]bool{"replayed": false, "from a snapshot": true} {
		t.Run("it runs, "+name, func(t *testing.T) {
			f := newLastingFixture(t, snapshot)
			f.repeat(Accepted)
			for range 30 {
				f.now += second
				f.list(1)
				f.Assert(f.decide(), quicktest.HasLen, 0)
			}
			f.assertState("j", Running)
			f.restartWorker("w0", 2)
			f.answer(2, f.now)
			f.Assert(f.restarts(), quicktest.HasLen, 1) // the earlier order can't be executed any more
		})
	}
	t.Run("its worker restarts", func(t *testing.T) {
		f := newLastingFixture(t, false)
		f.repeat(Accepted)
		f.now += second
		f.list(1)
		f.restartWorker("w0", 2)
		f.assertNoStart()
		f.assertHeld(2)
	})
	t.Run("the next incarnation executes the earlier order", func(t *testing.T) {
		f := newLastingFixture(t, false)
		f.repeat(Accepted)
		f.now += second
		f.list(1)
		f.restartWorker("w0", 2)
		for range 30 {
			f.now += second
			f.list(2)
			f.Assert(f.decide(), quicktest.HasLen, 0) // it goes on
		}
	})
	t.Run("it fails", func(t *testing.T) {
		f := newLastingFixture(t, false)
		f.repeat(Accepted)
		f.now += second
		f.listEnd(f.start, 1, RunFailed)
		f.assertNoStart()
		f.assertHeld(1)
	})
	t.Run("it is refused", func(t *testing.T) {
		f := newLastingFixture(t, false)
		f.repeat(Refused)
		f.assertHeld(1)
	})
	t.Run("the order is not executed", func(t *testing.T) {
		f := newLastingFixture(t, false)
		f.repeat(Accepted)
		f.now += second
		f.answer(1, f.now)
		f.assertHeld(1)
	})
}

// TestLastingTaskIsOrderedUntilAnswered checks the same with an order of the present owner: it is
// repeated each time that the worker has answered without the run, and held no longer than needed.
func TestLastingTaskIsOrderedUntilAnswered(t *testing.T) {
	newUnanswered := func(t *testing.T) *inheritedFixture {
		f := &inheritedFixture{lateFixture: &lateFixture{fixture: newFixture(t, 1)}}
		f.now = second
		step := newStep(1)
		step.LongRunning = true
		f.submit("j", step)
		f.start = f.decide()[0]
		f.addWorker("w1")
		f.p.MarkOrdered(f.start, f.now)
		f.p.ReportStart(f.start, Unknown, f.now)
		f.tookOverAt = f.now
		f.assertNoStart()
		f.now += second
		return f
	}
	t.Run("it is repeated twice", func(t *testing.T) {
		f := newUnanswered(t)
		f.answer(1, f.now)
		f.repeat(Unknown)
		f.assertNoStart()
		f.now += second
		f.answer(1, f.now)
		f.repeat(Accepted)
		f.tookOverAt = f.now - second // of the last order without an answer
		f.list(1)
		f.restartWorker("w0", 2)
		f.assertHeld(2)
	})
	t.Run("no order is answered", func(t *testing.T) {
		f := newUnanswered(t)
		for range maxRepeats {
			f.answer(1, f.now)
			f.repeat(Unknown)
			f.now += second
		}
		f.answer(1, f.now)
		f.tookOverAt = f.now - second
		for _, a := range f.decide() {
			f.Assert(a.Kind, quicktest.Equals, Stop)
			f.p.ReportStop(a, true, f.now)
		}
		f.now++
		f.assertHeld(1)
	})
	t.Run("the order was executed", func(t *testing.T) {
		f := newUnanswered(t)
		f.list(1)
		f.Assert(f.decide(), quicktest.HasLen, 0)
		f.listEnd(f.start, 1, RunFailed)
		starts := f.restarts()
		f.Assert(starts, quicktest.HasLen, 1)
		f.Assert(starts[0].Repeated, quicktest.IsFalse)
	})
}

// TestRepeatedStartUnderNextOwner checks that the next owner knows of both orders: that a worker lists
// the run does not tell which of them it has executed (TWICE).
func TestRepeatedStartUnderNextOwner(t *testing.T) {
	for name, snapshot := range map[string]bool{"replayed": false, "from a snapshot": true} {
		for name, ended := range map[string]bool{"it runs, " + name: false, "it has failed, " + name: true} {
			t.Run(name, func(t *testing.T) {
				f := newLastingFixture(t, false)
				f.repeat(Accepted)
				f.now += second
				f.list(1)
				if ended {
					f.listEnd(f.start, 1, RunFailed)
				}
				f.now += second
				if snapshot {
					f.restoreSnapshot(f.now + 6*second)
				} else {
					f.takeOver(f.now + 6*second)
				}
				f.tookOverAt = f.now
				f.addWorker("w0")
				f.addWorker("w1")
				f.p.HandleStatus(WorkerStatus{Worker: "w1", Incarnation: 1, SentAt: f.now}, f.now)
				if !ended {
					f.list(1)
				}
				f.Assert(f.decide(), quicktest.HasLen, 0)
				f.now += second
				f.restartWorker("w0", 2)
				f.assertNoStart()
				f.now += time.Millisecond
				f.answer(2, f.now)
				for _, a := range f.decide() {
					f.Assert(a.Repeated, quicktest.IsTrue, quicktest.Commentf("%+v", a)) // at the same worker, or nowhere
					f.Assert(a.Worker, quicktest.Equals, "w0")
				}
			})
		}
	}
}
