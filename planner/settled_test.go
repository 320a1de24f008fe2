package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// inheritedFixture has a job whose start on w0 was ordered by an earlier owner, and another
// worker.
type inheritedFixture struct {
	*lateFixture
	tookOverAt time.Duration
}

// newInheritedFixture changes the owner after the start, which got that outcome, if any. The
// journal has a record that was written after it.
func newInheritedFixture(t *testing.T, ticket bool, outcome Outcome, snapshot bool) *inheritedFixture {
	t.Helper()
	return newInheritedFixtureOf(t, newStep(1), ticket, outcome, snapshot)
}

// newInheritedFixtureOf does the same with a job of that step.
func newInheritedFixtureOf(t *testing.T, step StepSpec, ticket bool, outcome Outcome, snapshot bool) *inheritedFixture {
	t.Helper()
	queue := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second}
	if ticket {
		queue.AdviceCost = &AdviceCost{Base: time.Millisecond, TicketValidity: time.Hour}
	}
	f := &inheritedFixture{lateFixture: &lateFixture{fixture: newFixture(t, 1, queue)}}
	f.now = second
	f.submit("j", step)
	if ticket {
		f.advise()
	}
	f.start = f.decide()[0]
	f.Assert(f.start.Ticket != "", quicktest.Equals, ticket)
	if outcome != Unknown {
		f.p.ReportStart(f.start, outcome, f.now)
	}
	f.record(Record{})
	f.now += 2 * second
	if snapshot {
		f.restoreSnapshot(f.now + 6*second)
	} else {
		f.takeOver(f.now + 6*second)
	}
	f.tookOverAt = f.now
	f.addWorker("w0")
	f.addWorker("w1")
	f.p.HandleStatus(WorkerStatus{Worker: "w1", Incarnation: 1, SentAt: f.now}, f.now)
	return f
}

// restoreSnapshot replaces the planner by one that restores its snapshot.
func (f *fixture) restoreSnapshot(leaseExpiry time.Duration) {
	state, err := f.p.Snapshot(f.now, wall+f.now.Milliseconds())
	f.Assert(err, quicktest.IsNil)
	config, options := f.p.config, f.p.settings
	f.p = New(func(s *settings) { *s = options })
	f.Assert(f.p.Restore(state, nil, f.now, wall+f.now.Milliseconds(), leaseExpiry), quicktest.IsNil)
	f.p.Configure(config, f.now)
}

// restarts returns the starts of a decision, once new workers have got advice.
func (f *inheritedFixture) restarts() []Action {
	if f.start.Ticket != "" {
		f.advise()
	}
	return f.starts()
}

// assertCrashes checks how many crashes of workers count under the task.
func (f *inheritedFixture) assertCrashes(want int) {
	f.Helper()
	s, index := f.p.stepOf(f.start.Task)
	f.Assert(s.tasks[index].crashes.count(), quicktest.Equals, want)
}

// TestEarlierOwnersStartOnNextIncarnation checks a start of an earlier owner that is executed late.
// Its worker has answered the new owner without it, and refuses it by the new fence, but
// the worker's next incarnation executes it: the task would run in two places (TWICE).
func TestEarlierOwnersStartOnNextIncarnation(t *testing.T) {
	for name, snapshot := range map[string]bool{"replayed": false, "from a snapshot": true} {
		t.Run(name, func(t *testing.T) {
			f := newInheritedFixture(t, false, Unknown, snapshot)
			f.answer(1, f.now)
			f.assertNoStart()
			f.now += 5 * second
			f.restartWorker("w0", 2)
			f.assertNoStart()
			f.answer(2, f.now)
			f.assertNoStart()
			f.now = f.tookOverAt + maxOrderDelay
			f.answer(2, f.now-1)
			f.assertNoStart()
			f.answer(2, f.now)
			f.Assert(f.restarts(), quicktest.HasLen, 1)
			f.assertCrashes(0) // the earlier incarnation did not have it
		})
	}
	t.Run("the next incarnation executes it", func(t *testing.T) {
		f := newInheritedFixture(t, false, Unknown, false)
		f.answer(1, f.now)
		f.now += 5 * second
		f.answer(2, f.now, RunningEntry{Task: f.start.Task, Number: 1})
		f.p.ExtendLease("w0", f.tookOverAt+time.Hour)
		f.now = f.tookOverAt + 2*maxOrderDelay
		f.answer(2, f.now, RunningEntry{Task: f.start.Task, Number: 1})
		f.Assert(f.decide(), quicktest.HasLen, 0) // it goes on
		f.assertState("j", Running)
	})
	t.Run("its worker is lost", func(t *testing.T) {
		f := newInheritedFixture(t, false, Unknown, false)
		f.answer(1, f.now)
		f.p.HeartbeatMissed("w0")
		f.now = f.tookOverAt + 6*second + maxOrderDelay - 1
		f.assertNoStart()
		f.now++
		f.Assert(f.restarts(), quicktest.HasLen, 1)
	})
	t.Run("its worker has crashed since", func(t *testing.T) {
		f := newInheritedFixture(t, false, Unknown, false)
		f.restartWorker("w0", 2)
		f.answer(2, f.now)
		f.assertNoStart()
		f.now = f.tookOverAt + maxOrderDelay
		f.answer(2, f.now)
		f.Assert(f.restarts(), quicktest.HasLen, 1)
		f.assertCrashes(1)
	})
	t.Run("the owner changes again", func(t *testing.T) {
		f := newInheritedFixture(t, false, Unknown, false)
		f.answer(1, f.now)
		f.now += 10 * second
		f.takeOver(f.now + 6*second)
		f.addWorker("w0")
		f.addWorker("w1")
		f.answer(1, f.now)
		f.now += maxOrderDelay - 1
		f.answer(1, f.now)
		f.assertNoStart()
	})
}

// TestSettledStartIsNotHeld checks that a task whose run is lost starts again at once under the
// next owner if its order can't be executed any more. A lasting task would otherwise have
// nothing running for too long (LOST).
func TestSettledStartIsNotHeld(t *testing.T) {
	for _, test := range []struct {
		name     string
		ticket   bool
		outcome  Outcome
		snapshot bool
	}{
		{"it was answered", false, Accepted, false},
		{"it was answered, from a snapshot", false, Accepted, true},
		{"it was refused", false, Refused, false},
		{"it was not sent", false, NotSent, false},
		{"it carries a ticket", true, Unknown, false},
		{"it carries a ticket, from a snapshot", true, Unknown, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newInheritedFixture(t, test.ticket, test.outcome, test.snapshot)
			f.answer(1, f.now)
			f.Assert(f.restarts(), quicktest.HasLen, 1)
		})
	}
	t.Run("it was listed", func(t *testing.T) {
		f := newInheritedFixture(t, false, Unknown, false)
		f.answer(1, f.now, RunningEntry{Task: f.start.Task, Number: 1})
		f.record(Record{})
		f.now += second
		f.takeOver(f.now + 6*second)
		f.addWorker("w0")
		f.answer(1, f.now)
		f.Assert(f.restarts(), quicktest.HasLen, 1)
	})
	t.Run("it was written long ago", func(t *testing.T) {
		f := newInheritedFixture(t, false, Unknown, false)
		f.now += 2 * maxStartAge
		f.takeOver(f.now + 6*second)
		f.addWorker("w0")
		f.answer(1, f.now)
		f.Assert(f.restarts(), quicktest.HasLen, 1)
	})
}

// TestGangWithUnsettledStart checks that the members of an earlier owner's gang that run are
// stopped at once if another member is held: they would wait for it in vain. If the next
// incarnation of that member's worker executes its start all the same, it is stopped too.
func TestGangWithUnsettledStart(t *testing.T) {
	f := &lateFixture{fixture: newFixture(t, 2)}
	f.now = second
	f.submit("j", newWideGang())
	starts := f.decide()
	f.Assert(starts, quicktest.HasLen, 2)
	onW0, onW1 := starts[0], starts[1]
	if onW0.Worker != "w0" {
		onW0, onW1 = onW1, onW0
	}
	f.takeOver(f.now + 6*second)
	f.addWorker("w0")
	f.addWorker("w1")
	f.p.HandleStatus(WorkerStatus{Worker: "w1", Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: onW1.Task, Number: 1}}}, f.now)
	f.answer(1, f.now)
	stops := f.decide()
	f.Assert(stops, quicktest.HasLen, 2)
	for _, a := range stops {
		f.Assert(a.Kind, quicktest.Equals, Stop)
		if a.Worker == "w0" {
			f.p.ReportStop(a, true, f.now)
		}
	}
	f.now += 5 * second
	f.answer(2, f.now, RunningEntry{Task: onW0.Task, Number: 1})
	stops = f.decide()
	f.Assert(stops, quicktest.HasLen, 1)
	f.Assert(stops[0].Kind, quicktest.Equals, Stop)
	f.Assert(stops[0].Worker, quicktest.Equals, "w0")
}
