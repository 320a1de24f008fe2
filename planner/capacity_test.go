package planner

import (
	"testing"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

// resize makes the platform's list show another capacity of a worker, in thousandths of a
// processor.
func (f *fixture) resize(id string, cpu int64) {
	reg := f.p.workers[id].reg
	reg.Capacity = placer.NewResources(cpu, 4096, 0)
	f.p.Register(reg, f.now)
}

// TestStartsOnResizedWorker checks that nothing starts on a worker whose capacity has shrunk
// until all that runs there, or is being stopped, fits again (LIMIT).
func TestStartsOnResizedWorker(t *testing.T) {
	t.Run("a stopped run counts until it has ended", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("j", newStep(1))
		first := f.starts()[0]
		f.submit("k", newStep(2))
		f.Assert(f.starts(), quicktest.HasLen, 2)
		f.resize("w0", 3000)
		f.submit("l", newStep(1))
		f.p.Cancel("j", "team", f.now)
		for _, a := range f.decide() {
			f.Assert(a.Kind, quicktest.Equals, Stop)
			f.p.ReportStop(a, true, f.now)
		}
		f.assertNoStart()
		f.listEnd(first, 1, Stopped)
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
	t.Run("a decided start is not ordered any more", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("j", newStep(4))
		starts := f.decide()
		f.Assert(starts, quicktest.HasLen, 4)
		f.Assert(f.p.Accepts("w0"), quicktest.IsTrue)
		f.resize("w0", 2000)
		f.Assert(f.p.Accepts("w0"), quicktest.IsFalse)
		for _, a := range starts[:2] {
			f.p.ReportStart(a, Withdrawn, f.now)
		}
		f.Assert(f.p.Accepts("w0"), quicktest.IsTrue)
		f.assertNoStart()
		f.resize("w0", 4000)
		f.Assert(f.starts(), quicktest.HasLen, 2)
	})
	t.Run("after a takeover", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("j", newStep(3))
		starts := f.starts()
		f.submit("k", newStep(1))
		f.takeOver(f.now + 6*second)
		f.addWorker("w0")
		f.resize("w0", 3000)
		status := WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: f.now}
		for _, a := range starts {
			status.Running = append(status.Running, RunningEntry{Task: a.Task, Number: a.Number})
		}
		f.p.HandleStatus(status, f.now)
		f.assertNoStart()
		f.listEnd(starts[0], 1, Done)
		f.Assert(f.starts(), quicktest.HasLen, 1)
	})
}
