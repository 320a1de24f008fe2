package planner

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestCutOffListOfEnds checks that a run that a worker does not list counts as lost only if
// the list of ends is complete. Otherwise tasks whose ends come with the next list run
// again (TWICE).
func TestCutOffListOfEnds(t *testing.T) {
	setUp := func(t *testing.T) (*fixture, []Action) {
		f := newFixture(t, 1)
		f.submit("j", newStep(3))
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 3)
		f.now += second
		return f, starts
	}
	list := func(f *fixture, more bool, serial uint64, ended ...Action) {
		status := WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: f.now, MoreEnds: more}
		for i, a := range ended {
			status.Ended = append(status.Ended, EndEntry{serial + uint64(i), End{Task: a.Task, Number: a.Number, Result: Done}})
		}
		f.record(Record{Ends: f.p.HandleStatus(status, f.now)})
	}
	assertUnfinished := func(f *fixture, serial uint64, starts []Action) {
		f.Helper()
		f.assertNoStart()
		list(f, false, serial, starts...)
		f.Assert(f.p.FinalState("j"), quicktest.Equals, Completed)
	}
	t.Run("the next list has the other ends", func(t *testing.T) {
		f, starts := setUp(t)
		list(f, true, 1, starts[0])
		assertUnfinished(f, 2, starts[1:])
	})
	t.Run("the next list lacks a run", func(t *testing.T) {
		f, starts := setUp(t)
		list(f, true, 1, starts[0])
		list(f, false, 2, starts[1])
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
	t.Run("the leases expire meanwhile", func(t *testing.T) {
		f, starts := setUp(t)
		f.p.ExtendLease("w0", f.now+second)
		list(f, true, 1, starts[0])
		f.now += 2 * second
		assertUnfinished(f, 2, starts[1:])
	})
	t.Run("the leases expire and the worker is silent", func(t *testing.T) {
		f, starts := setUp(t)
		f.p.ExtendLease("w0", f.now+second)
		list(f, true, 1, starts[0])
		f.addWorker("w1")
		f.p.HeartbeatMissed("w0")
		f.now += 2 * second
		f.Assert(f.starts(), quicktest.HasLen, 2)
	})
	t.Run("first list to a new owner", func(t *testing.T) {
		f, starts := setUp(t)
		f.takeOver(f.now + 6*second)
		f.addWorker("w0")
		f.now += second
		list(f, true, 1, starts[0])
		assertUnfinished(f, 2, starts[1:])
	})
}
