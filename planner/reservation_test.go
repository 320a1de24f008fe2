package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// newReservationFixture returns a fixture with three workers that are full for 4 s, and for one
// decision less with a gang that waits for two of them.
func newReservationFixture(t *testing.T) (f *fixture, full []Action) {
	f = newFixture(t, 3, Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 9, Objective: 100 * second, Priority: 1})
	f.p.settings.backfill = true
	f.now = second
	filler := newStep(3)
	filler.CPU, filler.Estimate = 3900, 4000
	f.submit("filler", filler)
	full = f.starts()
	f.submit("gang", newWideGang())
	f.now += second
	f.starts()
	return f, full
}

// assertReserved checks which workers the newest decision has reserved.
func (f *fixture) assertReserved(want ...string) {
	f.Helper()
	var got []string
	for _, w := range f.p.fleet {
		if w.reservedFor != nil {
			got = append(got, w.reg.ID)
		}
	}
	f.Assert(got, quicktest.DeepEquals, want)
}

// TestBackfillEndsBeforeGang guards against backfill that delays the gang: a task that is not
// expected to end, with a margin, before the gang starts may only use what the gang leaves.
func TestBackfillEndsBeforeGang(t *testing.T) {
	for name, tc := range map[string]struct {
		estimate, cpu int64
		want          int
	}{
		"ends before":             {2000, 3000, 1},
		"ends within the margin":  {2500, 3000, 0},
		"ends after":              {6000, 3000, 0},
		"fits beside the gang":    {6000, 1000, 1},
		"no expected end":         {0, 1000, 0},
		"on the free worker only": {2000, 1000, 4},
	} {
		t.Run(name, func(t *testing.T) {
			f, full := newReservationFixture(t)
			f.starts()
			f.assertReserved("w0", "w1")
			f.listEnd(full[0], 1, Done) // of w0; the gang can start when w1 is free too, in 3 s
			small := newStep(4)
			small.Estimate, small.CPU = tc.estimate, tc.cpu
			f.submit("small", small)
			starts := f.starts()
			f.Assert(starts, quicktest.HasLen, tc.want)
			for _, a := range starts {
				f.Assert(a.Worker, quicktest.Equals, "w0")
				f.Assert(a.Backfill, quicktest.IsTrue)
				f.Assert(a.Reason, quicktest.Equals, "backfill")
			}
		})
	}
}

// TestReservedWorkerIsReplaced guards against a gang that waits for a worker on which nothing
// may start.
func TestReservedWorkerIsReplaced(t *testing.T) {
	for name, lose := range map[string]func(f *fixture){
		"silent":   func(f *fixture) { f.p.HeartbeatMissed("w0") },
		"draining": func(f *fixture) { r := f.p.workers["w0"].reg; r.Draining = true; f.p.Register(r, f.now) },
		"restarted": func(f *fixture) {
			f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 2, SentAt: f.now}, f.now)
			f.p.HeartbeatMissed("w0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, full := newReservationFixture(t)
			f.starts()
			f.assertReserved("w0", "w1")
			f.listEnd(full[0], 1, Done)
			lose(f)
			f.now += second / 10
			f.starts()
			f.assertReserved("w1", "w2")
			f.listEnd(full[1], 1, Done)
			f.listEnd(full[2], 1, Done)
			f.Assert(f.starts(), quicktest.HasLen, 2)
			f.starts()
			f.assertReserved()
		})
	}
}

// TestReservationsAfterTakeover guards against a new owner that reserves nothing, or keeps what
// an earlier one has reserved: reservations are made anew, in the second decision.
func TestReservationsAfterTakeover(t *testing.T) {
	f, full := newReservationFixture(t)
	f.starts()
	f.takeOver(f.now + 6*second)
	f.p.settings.backfill = true
	for _, a := range full {
		f.addWorker(a.Worker)
		f.p.HandleStatus(WorkerStatus{Worker: a.Worker, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: a.Task, Number: a.Number}}}, f.now)
	}
	f.decide()
	f.assertReserved()
	f.decide()
	f.assertReserved("w0", "w1")
}

// TestExpiredGangReservesNothing guards against workers that drain for a gang that is worth
// nothing to its caller any more.
func TestExpiredGangReservesNothing(t *testing.T) {
	f, _ := newReservationFixture(t)
	f.starts()
	f.assertReserved("w0", "w1")
	f.now += time.Hour
	f.starts()
	f.assertReserved()
}
