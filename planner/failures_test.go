package planner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// failingFleet plays workers on which some runs fail, and others are done after a second unless
// they are of services.
type failingFleet struct {
	*fixture
	serial  uint64
	running map[runKey]runningTask
	fails   func(a Action, age time.Duration) bool // asked at each heartbeat
}

// runningTask is a run that has begun.
type runningTask struct {
	Action
	since time.Duration
}

func newFailingFleet(t *testing.T, workers int, fails func(a Action, age time.Duration) bool) *failingFleet {
	return &failingFleet{newReserveFixture(t, workers), 0, map[runKey]runningTask{}, fails}
}

func (f *failingFleet) workerIDs() []string { return slices.Sorted(maps.Keys(f.p.workers)) }

// sortedRuns returns the keys of the runs that have begun, in an order that is the same each time.
func (f *failingFleet) sortedRuns() []runKey {
	return slices.SortedFunc(maps.Keys(f.running), func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
}

// play lets all workers answer each twentieth of a second, and decides each time. It ends after that
// time, or once a task whose name begins with the prefix has started, and returns the worker of that.
func (f *failingFleet) play(longest time.Duration, prefix string) (worker string) {
	for end := f.now + longest; f.now < end; {
		f.now += second / 20
		statuses := map[string]*WorkerStatus{}
		for _, id := range f.workerIDs() {
			statuses[id] = &WorkerStatus{Worker: id, Incarnation: 1, SentAt: f.now}
		}
		for _, key := range f.sortedRuns() {
			r := f.running[key]
			status, age, result := statuses[r.Worker], f.now-r.since, ""
			if s, _ := f.p.stepOf(r.Task); f.fails(r.Action, age) {
				result = RunFailed
			} else if !s.spec.LongRunning && age >= second {
				result = Done
			}
			if result == "" {
				status.Running = append(status.Running, RunningEntry{Task: r.Task, Number: r.Number})
				continue
			}
			f.serial++
			status.Ended = append(status.Ended, EndEntry{f.serial, End{Task: r.Task, Number: r.Number, Result: result}})
			delete(f.running, key)
		}
		for _, id := range f.workerIDs() {
			f.p.HandleStatus(*statuses[id], f.now)
		}
		for _, a := range f.starts() {
			f.running[runKey{a.Task, a.Number}] = runningTask{a, f.now}
			if prefix != "" && strings.HasPrefix(a.Task, prefix) {
				worker = a.Worker
			}
		}
		if worker != "" {
			return worker
		}
	}
	return ""
}

// TestStepThatFailsByItselfClosesNoWorkers guards against tasks that fail wherever they start and
// quarantine the whole fleet for other work (review/15, LOST).
func TestStepThatFailsByItselfClosesNoWorkers(t *testing.T) {
	halfFailing := newService(32, 100)
	halfFailing.MaxPerWorker = 0
	// spread returns a time that differs between the workers, so that they don't open all at once.
	spread := func(a Action) time.Duration { return time.Duration(a.Worker[len(a.Worker)-1]-'0') * second / 20 }
	for name, tc := range map[string]struct {
		failing StepSpec
		fails   func(a Action, now, age time.Duration) bool
	}{
		"service of a task on each worker": {newService(16, 100), func(a Action, _, age time.Duration) bool { return age >= spread(a) }},
		"service of one task":              {newService(1, 100), func(Action, time.Duration, time.Duration) bool { return true }},
		"service that was sound for 10 s":  {newService(16, 100), func(a Action, now, age time.Duration) bool { return now > 10*second && age >= spread(a) }},
		"service whose tasks last 4 s":     {newService(16, 100), func(a Action, _, age time.Duration) bool { return age >= 4*second+spread(a) }},
		"service of which some tasks last": {halfFailing, func(a Action, _, _ time.Duration) bool { return strings.HasSuffix(a.Task, "1") }},
	} {
		t.Run(name, func(t *testing.T) {
			var f *failingFleet
			f = newFailingFleet(t, 16, func(a Action, age time.Duration) bool {
				return strings.HasPrefix(a.Task, "failing.") && tc.fails(a, f.now, age)
			})
			f.submitTo("services", "failing", tc.failing)
			f.play(15*second, "")
			gang := newStep(8)
			gang.Gang, gang.CPU, gang.MaxPerWorker = true, 2500, 1
			for n := range 5 {
				id := "gang" + strconv.Itoa(n)
				f.submitTo("urgent", id, gang)
				f.Assert(f.play(2*second, id+"."), quicktest.Not(quicktest.Equals), "", quicktest.Commentf("%s", id))
				f.play(2*second, "")
			}
		})
	}
}

// TestStepLeavesWorkersThatFailAll checks that a service finds one of the sound workers although it
// has failed on so many that its failures count against none of them.
func TestStepLeavesWorkersThatFailAll(t *testing.T) {
	f := newFailingFleet(t, 8, func(a Action, _ time.Duration) bool { return a.Worker <= "w4" })
	f.submitTo("services", "service", newService(1, 100))
	f.play(4*second, "")
	f.Assert(f.running, quicktest.HasLen, 1)
	for _, r := range f.running {
		f.Check(r.Worker > "w4", quicktest.IsTrue)
	}
}

// TestWorkersThatFailAllAreClosed checks that workers that fail whatever they start are quarantined
// also by the failures of a service, whose tasks may fail now and then elsewhere too.
func TestWorkersThatFailAllAreClosed(t *testing.T) {
	for name, lasts := range map[string]time.Duration{"sound service": 100 * second, "service that fails now and then": 5 * second} {
		t.Run(name, func(t *testing.T) {
			var f *failingFleet
			f = newFailingFleet(t, 8, func(a Action, age time.Duration) bool {
				return a.Worker <= "w1" && f.now > 12*second || age >= lasts
			})
			f.submitTo("services", "service", newService(8, 100))
			f.play(11*second, "")
			f.Assert(f.running, quicktest.HasLen, 8)
			f.play(2*second, "")
			for _, id := range []string{"w0", "w1"} {
				f.Check(f.p.workers[id].health.allowsStarts(f.now), quicktest.IsFalse, quicktest.Commentf("%s", id))
			}
		})
	}
}
