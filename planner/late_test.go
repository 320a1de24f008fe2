package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// lateFixture has a job of one task, whose start on w0 gets no answer, and another worker
// that was added later.
type lateFixture struct {
	*fixture
	start Action
}

// newLateFixture orders the start at 1 s, with a ticket or without.
func newLateFixture(t *testing.T, ticket bool) *lateFixture {
	t.Helper()
	queue := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second}
	if ticket {
		queue.AdviceCost = &AdviceCost{Base: time.Millisecond, TicketValidity: time.Hour}
	}
	f := &lateFixture{fixture: newFixture(t, 1, queue)}
	f.now = second
	f.submit("j", newStep(1))
	if ticket {
		f.advise()
	}
	f.start = f.decide()[0]
	f.Assert(f.start.Kind, quicktest.Equals, Start)
	f.Assert(f.start.Ticket != "", quicktest.Equals, ticket)
	f.p.ExtendLease("w0", f.now+6*second)
	f.p.MarkOrdered(f.start, f.now)
	f.now += second
	f.p.ReportStart(f.start, Unknown, f.now)
	f.addWorker("w1")
	return f
}

// advise answers the requests for advice of a decision: each worker may run the step.
func (f *lateFixture) advise() {
	for _, a := range f.decide() {
		if a.Kind == RequestAdvice {
			tickets := map[string]string{}
			for _, id := range a.Workers {
				tickets[id] = "ticket"
			}
			f.p.ReportAdvice(AdviceResult{Step: a.Step, Workers: a.Workers, Urgent: a.Urgent, Tickets: tickets, Until: time.Hour})
		}
	}
}

// stop answers the stop of the start, which the decision orders.
func (f *lateFixture) stop() {
	f.Helper()
	stops := f.decide()
	f.Assert(stops, quicktest.HasLen, 1)
	f.Assert(stops[0].Kind, quicktest.Equals, Stop)
	f.now++
	f.p.ReportStop(stops[0], true, f.now)
	f.now++
}

// TestStartCarriedOutByNextIncarnation checks a start without an answer and without a ticket.
// The worker's next incarnation, which knows neither its stop nor the end of its lease, may
// carry it out late: the task would run in two places (TWICE).
func TestStartCarriedOutByNextIncarnation(t *testing.T) {
	const orderedAt = second
	t.Run("its stop was answered", func(t *testing.T) {
		f := newLateFixture(t, false)
		f.stop()
		f.answer(1, f.now)
		f.assertNoStart()
		f.now = orderedAt + maxOrderDelay
		f.answer(1, f.now-1)
		f.assertNoStart()
		f.answer(1, f.now)
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
	t.Run("the worker restarts after its stop", func(t *testing.T) {
		f := newLateFixture(t, false)
		f.stop()
		f.answer(1, f.now)
		f.now += second
		f.restartWorker("w0", 2)
		f.Assert(f.p.workers["w0"].orderedRuns()[0].crash, quicktest.IsNil) // the earlier one did not have it
		f.stop()                                                            // again, at the new incarnation
		f.answer(2, f.now)
		f.assertNoStart()
		f.now = orderedAt + maxOrderDelay
		f.answer(2, f.now)
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
	t.Run("the next incarnation carries it out", func(t *testing.T) {
		f := newLateFixture(t, false)
		f.stop()
		f.answer(1, f.now)
		f.now += 4 * second
		f.answer(2, f.now, RunningEntry{Task: f.start.Task, Number: 1})
		f.stop()
		f.assertNoStart()
		f.answer(2, f.now)
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
	t.Run("its lease expires first", func(t *testing.T) {
		f := newLateFixture(t, false)
		f.p.HeartbeatMissed("w0")
		f.now = orderedAt + maxOrderDelay + 6*second - 1
		f.assertNoStart()
		f.now++
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
	t.Run("its lease expires after its stop", func(t *testing.T) {
		f := newLateFixture(t, false)
		f.stop()
		f.p.HeartbeatMissed("w0")
		f.now = orderedAt + maxOrderDelay + 6*second - 1
		f.assertNoStart()
		f.now++
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
	t.Run("the worker is lost after its stop", func(t *testing.T) {
		f := newLateFixture(t, false)
		f.stop()
		f.answer(1, f.now)
		f.p.ObserveClosed("w0", f.now)
		f.now = orderedAt + maxOrderDelay + 6*second
		f.Assert(f.starts(), quicktest.HasLen, 1)
		s, index := f.p.stepOf(f.start.Task)
		f.Assert(s.tasks[index].crashes.count(), quicktest.Equals, 0) // it did not have the run
	})
	t.Run("the room stays taken", func(t *testing.T) {
		f := newLateFixture(t, false)
		f.stop()
		f.answer(1, f.now)
		f.Assert(f.p.workers["w0"].allocated.CPU(), quicktest.Equals, int64(1000))
		f.Assert(f.p.NeedsHeartbeat("w0"), quicktest.IsTrue)
	})
	t.Run("it has a ticket", func(t *testing.T) {
		f := newLateFixture(t, true)
		f.stop()
		f.answer(1, f.now)
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
}

// TestLateLeaseOfNextIncarnation checks that the runs of a restarted worker which is cut off are
// given up only when a lease that it was given late has expired too: a call to its earlier
// incarnation that got no answer, by this owner or an earlier one. The task would run in two
// places (TWICE).
func TestLateLeaseOfNextIncarnation(t *testing.T) {
	const lease = 6 * second
	// cut starts a task on incarnation 2 of w0, which is cut off, and returns when its own lease
	// has expired.
	cut := func(f *fixture) time.Duration {
		f.restartWorker("w0", 2)
		f.answer(2, f.now)
		f.Assert(f.starts(), quicktest.HasLen, 1)
		f.p.ExtendLease("w0", f.now+lease)
		f.p.HeartbeatMissed("w0")
		f.addWorker("w1")
		return f.now + lease
	}
	assertGivenUpAt := func(f *fixture, expiry time.Duration) {
		f.Helper()
		f.now = expiry - 1
		f.assertNoStart()
		f.now++
		f.Assert(f.starts(), quicktest.HasLen, 1)
	}
	t.Run("a heartbeat got no answer", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("j", newStep(1))
		f.p.ExtendLease("w0", f.now+lease)
		f.p.HeartbeatMissed("w0")
		f.now += second
		cut(f)
		assertGivenUpAt(f, lease+maxOrderDelay)
	})
	t.Run("the owner has changed", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("j", newStep(1))
		f.takeOver(lease)
		f.addWorker("w0")
		f.now += second
		cut(f)
		assertGivenUpAt(f, lease+maxOrderDelay)
	})
	t.Run("all calls were answered", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("j", newStep(1))
		f.p.ExtendLease("w0", f.now+lease)
		f.now += second
		assertGivenUpAt(f, cut(f))
	})
}
