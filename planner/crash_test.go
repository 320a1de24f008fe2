package planner

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

// crashFixture is a fleet in which the tasks of the job "deadly" crash each worker that
// starts them, and those of other jobs are done after a second.
type crashFixture struct {
	*fixture
	incarnation map[string]int64
	serials     map[string]uint64
	running     map[string][]Action // by worker
	crashed     map[string]int      // by task: workers that crashed under it
	late        map[string]int      // by task: starts after three such crashes
	crash       func(worker string) // how a worker crashes and comes back
	deadly      func(Action) bool
	gang        bool // the job "deadly" is a gang
}

// newCrashFixture returns a fleet of that many workers, which restart under their ids.
func newCrashFixture(t *testing.T, workers int) *crashFixture {
	f := &crashFixture{
		fixture:     newFixture(t, workers, Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: 100 * second}),
		incarnation: map[string]int64{}, serials: map[string]uint64{},
		running: map[string][]Action{}, crashed: map[string]int{}, late: map[string]int{},
	}
	f.deadly = func(a Action) bool { id, _, _, _, _ := parseTask(a.Task); return id == "deadly" }
	f.crash = f.restart
	for _, w := range f.p.fleet {
		f.incarnation[w.reg.ID] = 1
		f.answer(w.reg.ID)
	}
	return f
}

// answer makes a worker list its runs, and end those that are older than a second.
func (f *crashFixture) answer(id string) {
	status := WorkerStatus{Worker: id, Incarnation: f.incarnation[id], SentAt: f.now}
	for _, a := range f.running[id] {
		status.Running = append(status.Running, RunningEntry{Task: a.Task, Number: a.Number, Progress: 50})
	}
	f.apply(status)
}

func (f *crashFixture) apply(status WorkerStatus) {
	ends := f.p.HandleStatus(status, f.now)
	ended := f.p.TakeEnded()
	f.record(Record{Ends: ends, Failed: f.p.Failed(ended)})
	for _, id := range ended {
		f.p.MarkEndStored(id)
	}
}

// finish makes a worker list its runs as done, and those of gangs as broken if a member
// of them crashed its worker.
func (f *crashFixture) finish(id string) {
	status := WorkerStatus{Worker: id, Incarnation: f.incarnation[id], SentAt: f.now}
	for _, a := range f.running[id] {
		f.serials[id]++
		result := Done
		if f.gang && strings.HasPrefix(a.Task, "deadly.") {
			result = GangBroken
		}
		status.Ended = append(status.Ended, EndEntry{f.serials[id], End{Task: a.Task, Number: a.Number, Result: result}})
	}
	f.running[id] = nil
	f.apply(status)
}

// restart makes a worker come back under its id.
func (f *crashFixture) restart(id string) {
	f.incarnation[id]++
	f.serials[id] = 0
	f.p.Register(Registration{ID: id, Centre: "c", Service: "s", Incarnation: f.incarnation[id], Capacity: placer.NewResources(4000, 4096, 0), Labels: []string{"a", "r1"}}, f.now)
	f.answer(id)
}

// step makes one decision and carries it out. Crashed workers come back at once, and those
// that have not crashed end their runs.
func (f *crashFixture) step() {
	for _, a := range f.decide() {
		if a.Kind == Stop {
			f.p.ReportStop(a, true, f.now)
		}
		if a.Kind != Start {
			continue
		}
		f.running[a.Worker] = append(f.running[a.Worker], a)
		f.p.ReportStart(a, Accepted, f.now)
		if f.deadly(a) && f.crashed[a.Task] >= 3 {
			f.late[a.Task]++
		}
	}
	f.now += 10 * second / 1000
	for id := range f.incarnation {
		killed := false
		for _, a := range f.running[id] {
			if f.deadly(a) {
				killed = true
				f.crashed[a.Task]++
			}
		}
		if killed {
			f.running[id] = nil
			f.crash(id)
		}
	}
	f.now += second
	for id := range f.incarnation {
		f.finish(id)
	}
}

// assertCrashes checks how many crashes of workers count under a task.
func (f *crashFixture) assertCrashes(task string, want int) {
	f.Helper()
	s, index := f.p.stepOf(task)
	f.Assert(s.tasks[index].crashes.count(), quicktest.Equals, want)
}

// assertGivenUp checks that the job "deadly" fails before a task of it has been started
// three times more after three crashes.
func (f *crashFixture) assertGivenUp() { f.Helper(); f.assertGivenUpIn(30) }

// assertGivenUpIn checks the same for that many steps, of about a second each.
func (f *crashFixture) assertGivenUpIn(steps int) {
	f.Helper()
	for range steps {
		f.step()
		for task, n := range f.late {
			f.Assert(n < 3, quicktest.IsTrue, quicktest.Commentf("%s was started %d times after three workers had crashed", task, n))
		}
	}
	f.assertState("deadly", Failed)
}

// stepsHeld is the number of steps for which the starts of a task are held over five changes of
// owner: the journal does not tell that they were answered, and the next incarnation of a
// worker may execute them.
const stepsHeld = 5 * int(maxOrderDelay/second)

// TestTaskThatCrashesWorkersIsGivenUp checks that a task under which workers crash again and
// again is found out and its job given up, and that no job beside it fails.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	t.Run("alone", func(t *testing.T) {
		f := newCrashFixture(t, 3)
		f.submit("deadly", newStep(1))
		f.assertGivenUp()
	})
	t.Run("beside others", func(t *testing.T) {
		f := newCrashFixture(t, 3)
		f.submit("deadly", newStep(2))
		for n := range 20 {
			f.submit("j"+strconv.Itoa(n), newStep(2))
		}
		f.assertGivenUp()
		for n := range 20 {
			f.assertState("j"+strconv.Itoa(n), Completed)
		}
	})
	t.Run("gang", func(t *testing.T) {
		f := newCrashFixture(t, 4)
		gang := newWideGang()
		f.deadly = func(a Action) bool { return a.Task == "deadly.0.0.1" }
		f.gang = true
		f.submit("deadly", gang)
		f.submit("j", newStep(3))
		f.assertGivenUp()
		f.assertState("j", Completed)
	})
	t.Run("workers that do not come back", func(t *testing.T) {
		f := newCrashFixture(t, 3)
		f.crash = func(id string) {
			f.p.ObserveClosed(id, f.now)
			f.expire(id)
			next := "next of " + id
			f.addWorker(next)
			f.incarnation[next] = 1
			f.answer(next)
		}
		f.submit("deadly", newStep(1))
		f.submit("j", newStep(4))
		f.assertGivenUp()
		f.assertState("j", Completed)
	})
	t.Run("owner changes at each crash", func(t *testing.T) {
		f := newCrashFixture(t, 3)
		f.crash = func(id string) {
			f.takeOver(f.now)
			for other := range f.incarnation {
				if other != id {
					f.p.Register(Registration{ID: other, Centre: "c", Service: "s", Incarnation: f.incarnation[other], Capacity: placer.NewResources(4000, 4096, 0)}, f.now)
					f.answer(other)
				}
			}
			f.restart(id)
		}
		f.submit("deadly", newStep(1))
		f.submit("j", newStep(4))
		f.assertGivenUpIn(30 + stepsHeld)
		f.assertState("j", Completed)
	})
}

// expire removes a worker from the platform's list and lets its leases expire.
func (f *crashFixture) expire(id string) {
	delete(f.incarnation, id)
	f.p.ExtendLease(id, f.now+6*second)
	f.p.Deregister(id)
	f.now += 7 * second
}

// TestExpiredLeaseIsNoProof checks that a job does not fail by one crash and one cut (LOST):
// a worker whose leases have expired may have run the task until then.
func TestExpiredLeaseIsNoProof(t *testing.T) {
	for name, refuses := range map[string]bool{"silent": false, "connections refused": true} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFixture(t, 2)
			f.submit("j", newStep(1))
			first := f.starts()
			f.Assert(first, quicktest.HasLen, 1)
			f.now += second / 100
			f.restart(first[0].Worker)
			second := f.starts()
			f.Assert(second, quicktest.HasLen, 1)
			f.Assert(second[0].Separate, quicktest.IsTrue)
			if refuses {
				f.p.ObserveClosed(second[0].Worker, f.now)
			}
			f.expire(second[0].Worker)
			f.Assert(f.starts(), quicktest.HasLen, 1)
			f.assertState("j", Running)
		})
	}
}

// TestCrashAfterEndIsNoProof checks that a job does not fail by crashes that came later after
// the starts of its task than the runs may have taken (LOST): they may have ended before, and
// nobody has read their ends. Crashes right after the starts are proof.
func TestCrashAfterEndIsNoProof(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration // from the start to the first refused connection
		want  State
	}{"after 400 ms": {400 * time.Millisecond, Running}, "after 10 ms": {10 * time.Millisecond, Failed}} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFixture(t, 2)
			f.submit("j", newStep(1))
			for range minPrompt {
				starts := f.starts()
				f.Assert(starts, quicktest.HasLen, 1)
				f.now += test.after
				f.p.ObserveClosed(starts[0].Worker, f.now)
				f.now += second / 10
				f.restart(starts[0].Worker)
			}
			f.decide()
			if test.want == Failed {
				f.Assert(f.p.FinalState("j"), quicktest.Equals, Failed)
				return
			}
			f.assertState("j", test.want)
		})
	}
}

// TestTwoCrashesByChance checks that two workers that end right after they have started a task do
// not fail its job (LOST; soak seed 218), and that a third one does.
func TestTwoCrashesByChance(t *testing.T) {
	f := newCrashFixture(t, 2)
	f.submit("j", newStep(1))
	for _, want := range []State{"", "", Failed} {
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 1)
		f.now += 10 * time.Millisecond
		f.p.ObserveClosed(starts[0].Worker, f.now)
		f.now += second / 10
		f.restart(starts[0].Worker)
		f.Assert(f.p.FinalState("j"), quicktest.Equals, want)
	}
}

// TestBystandersOfCrashesComplete checks that no job fails because workers crash again and
// again under its tasks for another reason.
func TestBystandersOfCrashesComplete(t *testing.T) {
	f := newCrashFixture(t, 4)
	for n := range 8 {
		f.submit("j"+strconv.Itoa(n), newStep(3))
	}
	for n := range 24 {
		for _, a := range f.decide() {
			if a.Kind == Start {
				f.running[a.Worker] = append(f.running[a.Worker], a)
				f.p.ReportStart(a, Accepted, f.now)
			}
		}
		f.now += second
		for id := range f.incarnation {
			f.answer(id)
		}
		f.now += 100 * second / 1000
		id := "w" + strconv.Itoa(n%4)
		f.running[id] = nil
		f.restart(id)
		f.now += second
		for id := range f.incarnation {
			f.finish(id)
		}
	}
	for range 20 {
		f.step()
	}
	for n := range 8 {
		f.assertState("j"+strconv.Itoa(n), Completed)
	}
}

// TestSuspectsOnIdleFleet checks that suspects start at once if many workers are empty. On a
// fleet with room they would otherwise wait one after the other (LOST).
func TestSuspectsOnIdleFleet(t *testing.T) {
	f := newCrashFixture(t, 16)
	for n := range 8 {
		f.submit("j"+strconv.Itoa(n), newStep(1))
		s, _ := f.p.stepOf("j" + strconv.Itoa(n) + ".0.0.0")
		s.setSuspect(0, true)
	}
	f.Assert(f.starts(), quicktest.HasLen, 8)
	used := map[string]bool{}
	for _, a := range f.actions {
		used[a.Worker] = true
	}
	f.Assert(used, quicktest.HasLen, 8)
}

// TestUnansweredStartsAreNoProof checks that a job does not fail by crashes of workers that
// may not have started its task: only one of the two is known to have.
func TestUnansweredStartsAreNoProof(t *testing.T) {
	f := newCrashFixture(t, 3)
	f.submit("j", newStep(1))
	first := f.decide()[0]
	f.p.ReportStart(first, Unknown, f.now)
	f.restart(first.Worker)
	for _, a := range f.decide() {
		f.p.ReportStop(a, true, f.now)
	}
	f.now += maxOrderDelay
	f.answer(first.Worker)
	second := f.starts()
	f.Assert(second, quicktest.HasLen, 1)
	f.now++
	f.restart(second[0].Worker)
	f.decide()
	f.assertState("j", Running)
	f.Assert(f.actions, quicktest.HasLen, 1)
	f.Assert(f.actions[0].Separate, quicktest.IsTrue)
}

// TestReplacedWorkerHasEnded checks that the runs of a worker at whose address another one
// answers start elsewhere at once, rather than when its leases have expired.
func TestReplacedWorkerHasEnded(t *testing.T) {
	f := newCrashFixture(t, 1)
	f.submit("j", newStep(2))
	first := f.decide()
	f.Assert(first, quicktest.HasLen, 2)
	f.p.ExtendLease("w0", 6*second)
	f.p.ReportStart(first[0], Accepted, f.now)
	f.p.ReportStart(first[1], Replaced, f.now)
	f.p.ObserveReplaced("w0", f.now)
	f.addWorker("w1")
	f.now = second
	f.Assert(f.starts(), quicktest.HasLen, 1) // the suspect; the other task of its job waits
	f.Assert(f.actions[0].Worker, quicktest.Equals, "w1")
	f.Assert(f.p.Accepts("w0"), quicktest.IsFalse)
}

// TestStartThatWasNotSent checks that a task whose start could not be sent, since its worker
// had crashed, starts elsewhere at once, and that the crash does not count under it.
func TestStartThatWasNotSent(t *testing.T) {
	f := newCrashFixture(t, 1)
	f.submit("j", newStep(1))
	first := f.decide()[0]
	f.p.ObserveClosed("w0", f.now)
	f.p.ReportStart(first, NotSent, f.now)
	f.addWorker("w1")
	f.restart("w0")
	f.assertCrashes(first.Task, 0)
	second := f.starts()
	f.Assert(second, quicktest.HasLen, 1)
	f.Assert(second[0].Separate, quicktest.IsFalse)
}

// TestSuspectBesideServices checks that a suspect starts although every worker runs a
// long-running task. It would otherwise wait for ever.
func TestSuspectBesideServices(t *testing.T) {
	f := newCrashFixture(t, 2)
	service := newStep(2)
	service.LongRunning, service.MaxPerWorker = true, 1
	f.submit("service", service)
	f.Assert(f.starts(), quicktest.HasLen, 2)
	f.submit("j", newStep(1))
	s, _ := f.p.stepOf("j.0.0.0")
	s.setSuspect(0, true)
	f.Assert(f.starts(), quicktest.HasLen, 1)
	f.Assert(f.actions[0].Separate, quicktest.IsTrue)
}

// TestDrainedWorkerHasNotCrashed checks that the end of a worker that was draining counts
// under none of its tasks, although its machine refuses connections then.
func TestDrainedWorkerHasNotCrashed(t *testing.T) {
	f := newCrashFixture(t, 1)
	f.now = second
	f.submit("j", newStep(1))
	f.Assert(f.starts(), quicktest.HasLen, 1)
	f.p.ExtendLease("w0", f.now+6*second)
	draining := f.p.workers["w0"].reg
	draining.Draining = true
	f.p.Register(draining, f.now)
	f.p.ObserveClosed("w0", f.now)
	f.p.Deregister("w0")
	f.addWorker("w1")
	f.now += 7 * second
	f.Assert(f.starts(), quicktest.HasLen, 1)
	f.assertCrashes(f.actions[0].Task, 0)
	f.Assert(f.actions[0].Separate, quicktest.IsFalse)
}

// TestServiceIsClearedOfCrashes checks that a long-running task does not keep a worker to
// itself for ever after some crashes, and that they are forgotten after a long run.
func TestServiceIsClearedOfCrashes(t *testing.T) {
	f := newCrashFixture(t, 2)
	service := newStep(1)
	service.LongRunning = true
	f.submit("service", service)
	var last Action
	for range 3 {
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 1)
		last = starts[0]
		f.running[last.Worker] = starts
		f.now += second
		f.answer(last.Worker)
		f.running[last.Worker] = nil
		f.now += second
		f.restart(last.Worker)
	}
	last = f.starts()[0]
	f.Assert(last.Separate, quicktest.IsTrue)
	f.running[last.Worker] = []Action{last}
	s, _ := f.p.stepOf(last.Task)
	f.now += probationAfter(3)
	f.answer(last.Worker)
	f.Assert(f.p.OnProbation(last.Worker), quicktest.IsFalse)
	f.Assert(s.tasks[0].crashes.count(), quicktest.Equals, 3)
	f.now += crashMemory
	f.answer(last.Worker)
	f.Assert(s.tasks[0].crashes.count(), quicktest.Equals, 0)
}

// TestOwnerChangesSlowlyAtEachCrash checks that a task that crashes its workers is given up in time
// where the owner changes at each crash and the next one takes some seconds (BUDGET).
func TestOwnerChangesSlowlyAtEachCrash(t *testing.T) {
	for _, workers := range []int{3, 6, 24} {
		t.Run(strconv.Itoa(workers)+" workers", func(t *testing.T) {
			f := newCrashFixture(t, workers)
			f.crash = func(id string) {
				f.now += 5 * second
				f.takeOver(f.now)
				for other := range f.incarnation {
					if other != id {
						f.p.Register(Registration{ID: other, Centre: "c", Service: "s", Incarnation: f.incarnation[other], Capacity: placer.NewResources(4000, 4096, 0)}, f.now)
						f.answer(other)
					}
				}
				f.restart(id)
			}
			f.submit("deadly", newStep(1))
			f.assertGivenUpIn(30 + stepsHeld)
		})
	}
}
