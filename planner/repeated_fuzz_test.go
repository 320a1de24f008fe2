package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// lateWorker is a worker that may execute orders late, as the platform's do.
type lateWorker struct {
	incarnation int64
	fence       int
	running     bool
	number      int // of the run that is running
	highest     int // number of runs that ended here or were stopped
	serial      uint64
	ended       []EndEntry
}

// lateOrder is a start that gets no answer.
type lateOrder struct {
	Action
	fence      int
	executedAt time.Duration
}

// lateOrders plays one task on two workers. Orders get no answer and are executed up to 12 s
// later, workers restart, runs fail, and owners change.
type lateOrders struct {
	*fixture
	random  *rand.Rand
	fence   int
	workers map[string]*lateWorker
	orders  []lateOrder
	log     []string
}

func newLateOrders(t *testing.T, seed uint64, lasting bool) *lateOrders {
	queue := Queue{Name: "q", Service: "s", Attempts: 1000, Stretch: 2, Objective: 1000 * second}
	l := &lateOrders{
		fixture: newFixture(t, 2, queue), random: rand.New(rand.NewPCG(seed, 45)), fence: 1,
		workers: map[string]*lateWorker{"w0": {incarnation: 1}, "w1": {incarnation: 1}},
	}
	l.now = second
	step := newStep(1)
	step.LongRunning = lasting
	l.submit("j", step)
	return l
}

func (l *lateOrders) happens(chance float64) bool { return l.random.Float64() < chance }

func (l *lateOrders) logf(format string, args ...any) {
	l.log = append(l.log, fmt.Sprintf("%7.3f ", l.now.Seconds())+fmt.Sprintf(format, args...))
}

// execute executes a start and returns its outcome.
func (l *lateOrders) execute(a Action, fence int) Outcome {
	w := l.workers[a.Worker]
	if fence < w.fence || a.Number <= w.highest || w.running && w.number != a.Number {
		return Refused
	}
	w.fence, w.running, w.number = fence, true, a.Number
	l.logf("%s runs run %d", a.Worker, a.Number)
	return Accepted
}

// end ends the run of a worker.
func (l *lateOrders) end(id, result string) {
	w := l.workers[id]
	w.serial++
	w.ended = append(w.ended, EndEntry{w.serial, End{Task: "j.0.0.0", Number: w.number, Result: result}})
	w.highest, w.running = max(w.highest, w.number), false
	l.logf("run %d on %s has ended %s", w.number, id, result)
}

// call sends a heartbeat to a worker.
func (l *lateOrders) call(id string) {
	w := l.workers[id]
	w.fence = l.fence
	l.p.ExtendLease(id, l.now+6*second)
	status := WorkerStatus{Worker: id, Incarnation: w.incarnation, SentAt: l.now, Ended: slices.Clone(w.ended)}
	if w.running {
		status.Running = []RunningEntry{{Task: "j.0.0.0", Number: w.number, Progress: 50}}
	}
	ends := l.p.HandleStatus(status, l.now)
	w.ended = nil
	if len(ends) > 0 || l.happens(0.3) {
		l.record(Record{Ends: ends})
	}
}

// decide carries out the actions of a decision.
func (l *lateOrders) decide(calm bool) {
	for _, a := range l.fixture.decide() {
		w := l.workers[a.Worker]
		switch {
		case a.Kind == Stop:
			w.highest = max(w.highest, a.Number)
			if w.running && w.number == a.Number {
				l.end(a.Worker, Stopped)
			}
			l.p.ReportStop(a, true, l.now)
		case a.Kind != Start:
		case calm || l.happens(0.5):
			l.p.MarkOrdered(a, l.now)
			l.p.ReportStart(a, l.execute(a, l.fence), l.now)
		default:
			l.logf("order of run %d on %s, repeated=%t", a.Number, a.Worker, a.Repeated)
			l.orders = append(l.orders, lateOrder{a, l.fence, l.now + time.Duration(l.random.Int64N(int64(12*second)))})
			l.p.MarkOrdered(a, l.now)
			if l.happens(0.5) {
				l.changeOwner()
				return
			}
			l.p.ReportStart(a, Unknown, l.now)
		}
	}
}

func (l *lateOrders) changeOwner() {
	l.logf("owner changes")
	l.fence++
	if l.happens(0.3) {
		l.restoreSnapshot(l.now + 6*second)
	} else {
		l.takeOver(l.now + 6*second)
	}
	for _, id := range []string{"w0", "w1"} {
		l.restartWorker(id, l.workers[id].incarnation)
	}
}

// step plays 100 ms.
func (l *lateOrders) step(calm bool) {
	l.now += second / 10
	l.orders = slices.DeleteFunc(l.orders, func(o lateOrder) bool {
		if l.now < o.executedAt {
			return false
		}
		l.execute(o.Action, o.fence)
		return true
	})
	for _, id := range []string{"w0", "w1"} {
		w := l.workers[id]
		if !calm && w.running && l.happens(0.01) {
			l.end(id, RunFailed)
		}
		if !calm && l.happens(0.02) {
			l.logf("%s restarts", id)
			*w = lateWorker{incarnation: w.incarnation + 1}
			l.restartWorker(id, w.incarnation)
		}
		l.assertOnce()
		if l.happens(0.7) {
			l.call(id)
		}
	}
	if !calm && l.happens(0.02) {
		l.changeOwner()
	}
	l.decide(calm)
	l.assertOnce()
}

// assertOnce checks that the task does not run in two places.
func (l *lateOrders) assertOnce() {
	l.Helper()
	l.Assert(l.workers["w0"].running && l.workers["w1"].running, quicktest.IsFalse, quicktest.Commentf("%v", strings.Join(l.log, "\n")))
}

// TestLateOrdersAndOwners checks with random faults that a task does not run in two places (TWICE), and
// that it runs in the end, whether it lasts, so that its orders are repeated, or not. At most one in a
// hundred may be given up, as workers restart so often.
func TestLateOrdersAndOwners(t *testing.T) {
	seeds := 100 * *simulationSeeds
	for name, lasting := range map[string]bool{"lasting": true, "other": false} {
		t.Run(name, func(t *testing.T) {
			repeated, failed := 0, uint64(0)
			for seed := range seeds {
				l := newLateOrders(t, seed, lasting)
				for range 600 {
					l.step(false)
					repeated += len(slices.DeleteFunc(l.actions, func(a Action) bool { return !a.Repeated }))
				}
				for range 300 {
					l.step(true)
				}
				if l.p.FinalState("j") == Failed {
					failed++
					continue
				}
				l.Assert(l.workers["w0"].running || l.workers["w1"].running, quicktest.IsTrue, quicktest.Commentf("seed %d: %v", seed, strings.Join(l.log, "\n")))
			}
			c := quicktest.New(t)
			c.Assert(repeated > 0, quicktest.Equals, lasting)
			c.Assert(failed <= seeds/100, quicktest.IsTrue, quicktest.Commentf("%d of %d jobs have failed", failed, seeds))
		})
	}
}
