package planner

import (
	"slices"
	"testing"
	"time"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

// newPreemption returns a fixture with one worker, on which a deferred run of change(step) uses three of
// four processors, and an urgent task that needs two.
func newPreemption(t *testing.T, change func(*StepSpec), options ...Option) (*fixture, Action) {
	f := newFixture(t, 0)
	f.p = New(append([]Option{WithPreemption(true)}, options...)...)
	f.p.Configure(Config{Version: 1, Queues: contentionQueues(), Teams: []Team{{Name: "team", Weight: 100}}}, 0)
	f.addWorker("w0")
	f.now = second
	step := newStep(1)
	step.CPU, step.Estimate, step.Checkpoint = 3000, 60_000, true
	change(&step)
	f.submit("deferred", step)
	starts := f.starts()
	f.Assert(starts, quicktest.HasLen, 1)
	f.now += second
	f.list(starts[0])
	return f, starts[0]
}

func unchanged(*StepSpec) {}

// list makes the worker list the run as running.
func (f *fixture) list(a Action) {
	f.p.HandleStatus(WorkerStatus{Worker: a.Worker, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: a.Task, Number: a.Number}}}, f.now)
}

func (f *fixture) submitUrgent(id string) {
	step := newStep(1)
	step.CPU = 2000
	spec := JobSpec{ID: id, Queue: "urgent", Team: "team", Payload: "p", Steps: []StepSpec{step}, AcceptedAt: wall + f.now.Milliseconds()}
	_, err := f.p.Submit(spec, f.now)
	f.Assert(err, quicktest.IsNil)
	f.record(Record{Job: &spec})
	f.p.MarkStored(id)
}

// preempt submits an urgent job and returns the stop that it needs.
func (f *fixture) preempt(id string) Action {
	f.Helper()
	f.submitUrgent(id)
	actions := f.decide()
	f.Assert(actions, quicktest.HasLen, 1)
	f.Assert(actions[0].Kind, quicktest.Equals, Stop)
	f.Assert(actions[0].Preempting, quicktest.IsTrue)
	return actions[0]
}

func (f *fixture) assertNoAction() {
	f.Helper()
	f.Assert(f.decide(), quicktest.HasLen, 0)
}

// TestPreemption checks that an urgent task gets the room of a deferred one. Started before the end of that
// one is listed, it would overcommit the worker (LIMIT). A stop that used up an attempt would fail
// the job (BUDGET), and one that lost the checkpoint all its work.
func TestPreemption(t *testing.T) {
	f, deferred := newPreemption(t, unchanged)
	f.p.ReportStop(f.preempt("urgent"), true, f.now)
	f.assertNoAction()
	f.now += 400 * time.Millisecond
	f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: f.now, Ended: []EndEntry{{1, End{Task: deferred.Task, Number: 1, Result: Stopped, Checkpoint: "c"}}}}, f.now)
	urgent := f.starts()
	f.Assert(urgent, quicktest.HasLen, 1)
	f.Assert(urgent[0].Job(), quicktest.Equals, "urgent")
	f.now += second
	f.listEnd(urgent[0], 2, Done)
	resumed := f.starts()
	f.Assert(resumed, quicktest.HasLen, 1)
	f.Assert(resumed[0].Task, quicktest.Equals, deferred.Task)
	f.Assert(resumed[0].Number, quicktest.Equals, 2)
	f.Assert(resumed[0].Checkpoint, quicktest.Equals, "c")
	s, _ := f.p.stepOf(deferred.Task)
	f.Assert(s.tasks[0].failedRuns, quicktest.HasLen, 0)
	f.Assert(f.p.typicalStop(f.now) < defaultStopTime, quicktest.IsTrue)
}

// TestNoPreemption checks what is not stopped: the work of each of these would be lost, or the stop
// would gain nothing.
func TestNoPreemption(t *testing.T) {
	for name, change := range map[string]func(*StepSpec){
		"without checkpoints": func(s *StepSpec) { s.Checkpoint = false },
		"a gang":              func(s *StepSpec) { s.Gang = true },
		"a task that lasts":   func(s *StepSpec) { s.LongRunning = true },
		"ends in time":        func(s *StepSpec) { s.Estimate = 2500 },
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := newPreemption(t, change)
			f.submitUrgent("urgent")
			f.assertNoAction()
		})
	}
	t.Run("switched off", func(t *testing.T) {
		f, _ := newPreemption(t, unchanged, WithPreemption(false))
		f.submitUrgent("urgent")
		f.assertNoAction()
	})
	t.Run("the urgent task would be late after a stop", func(t *testing.T) {
		f, _ := newPreemption(t, unchanged)
		f.p.preemption.stopTime, f.p.preemption.observedAt = maxStopTime, f.now
		f.now += 1500 * time.Millisecond
		f.submitUrgent("urgent")
		f.now += 600 * time.Millisecond
		f.assertNoAction()
	})
	t.Run("an urgent run", func(t *testing.T) {
		f, deferred := newPreemption(t, unchanged)
		f.p.jobs["deferred"].queue.Priority = 0
		f.submitUrgent("urgent")
		f.assertNoAction()
		f.Assert(f.p.workers["w0"].runs[runKey{deferred.Task, 1}].stopOrdered, quicktest.IsFalse)
	})
	t.Run("the worker is not the step's", func(t *testing.T) {
		f, _ := newPreemption(t, unchanged)
		f.p.Register(Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 1, Draining: true, Capacity: placer.NewResources(4000, 4096, 0)}, f.now)
		f.submitUrgent("urgent")
		f.assertNoAction()
	})
	for name, change := range map[string]func(*run){
		"not listed":       func(r *run) { r.listed = false },
		"start in flight":  func(r *run) { r.phase = phaseDecided },
		"not needed":       func(r *run) { r.obsolete = true },
		"stopped before":   func(r *run) { r.stopOrdered = true },
		"beside its copy":  func(r *run) { r.step.tasks[0].runs = []*run{r, {}} },
		"alone on purpose": func(r *run) { r.separate = true },
	} {
		t.Run(name, func(t *testing.T) {
			f, deferred := newPreemption(t, unchanged)
			change(f.p.workers["w0"].runs[runKey{deferred.Task, 1}])
			f.submitUrgent("urgent")
			f.assertNoAction()
		})
	}
	t.Run("for a deferred step", func(t *testing.T) {
		f, _ := newPreemption(t, unchanged)
		step := newStep(1)
		step.CPU = 2000
		f.submit("other", step)
		f.p.jobs["other"].queue.Objective = 2 * second
		f.assertNoAction()
	})
	t.Run("for an expired step", func(t *testing.T) {
		f, _ := newPreemption(t, unchanged)
		f.submitUrgent("urgent")
		f.now += 12 * second
		f.assertNoAction()
	})
	t.Run("stops in flight", func(t *testing.T) {
		f, _ := newPreemption(t, unchanged)
		f.p.preemption.rooms = []madeRoom{{&step{}, &worker{}, slices.Repeat([]*run{f.p.step("deferred").tasks[0].runs[0]}, minPreempted)}}
		f.submitUrgent("urgent")
		f.assertNoAction()
	})
	t.Run("the run has not been listed to this owner", func(t *testing.T) {
		f, deferred := newPreemption(t, unchanged)
		f.takeOver(f.now + 6*second)
		f.restartWorker("w0", 1)
		f.now += second
		f.list(deferred)
		f.submitUrgent("urgent")
		f.assertNoAction()
	})
}

// TestRoomIsKept checks that other work does not take what the first of two stops frees, and that a second
// urgent task does not count on it. Both stops would be in vain.
func TestRoomIsKept(t *testing.T) {
	setUp := func(t *testing.T, tasks int, cpu, need int64) (*fixture, []Action) {
		f, deferred := newPreemption(t, unchanged)
		f.listEnd(deferred, 1, Done)
		step := newStep(tasks)
		step.CPU, step.Estimate, step.Checkpoint = cpu, 60_000, true
		f.submit("tasks", step)
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, tasks)
		for _, a := range starts {
			f.list(a)
			f.p.workers["w0"].runs[runKey{a.Task, a.Number}].listed = true
			f.p.workers["w0"].runs[runKey{a.Task, a.Number}].confirmedAt = f.now + second
		}
		f.submitUrgent("urgent")
		f.p.step("urgent").spec.Size = placer.NewResources(need, 100, 0)
		return f, f.decide()
	}
	t.Run("from deferred work", func(t *testing.T) {
		f, stops := setUp(t, 2, 1900, 3800)
		f.Assert(stops, quicktest.HasLen, 2)
		f.listEnd(stops[0], 2, Stopped)
		f.assertNoAction()
		f.listEnd(stops[1], 3, Stopped)
		f.Assert(f.starts()[0].Job(), quicktest.Equals, "urgent")
	})
	t.Run("from a gang with a reservation", func(t *testing.T) {
		f, stops := setUp(t, 2, 1900, 3800)
		f.Assert(stops, quicktest.HasLen, 2)
		f.p.settings.backfill = true
		gang := newStep(2)
		gang.Gang = true
		f.submit("gang", gang)
		f.decide()
		f.now += 200 * time.Millisecond
		f.listEnd(stops[0], 2, Stopped)
		for range 2 {
			f.Assert(f.starts(), quicktest.HasLen, 0)
			f.now += 200 * time.Millisecond
		}
		f.listEnd(stops[1], 3, Stopped)
		f.Assert(f.starts()[0].Job(), quicktest.Equals, "urgent")
	})
	t.Run("from another urgent task", func(t *testing.T) {
		f, stops := setUp(t, 3, 1300, 1400)
		f.Assert(stops, quicktest.HasLen, 1)
		f.submitUrgent("urgent2")
		f.p.step("urgent2").spec.Size = placer.NewResources(1400, 100, 0)
		f.assertNoAction()
	})
}

// TestStopThatComesLate checks a run that ends done before its stop has an effect. Its end must count, or the
// task would run again after it was done (TWICE).
func TestStopThatComesLate(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "not answered": false} {
		t.Run(name, func(t *testing.T) {
			f, deferred := newPreemption(t, unchanged)
			f.p.ReportStop(f.preempt("urgent"), answered, f.now)
			f.now += second / 10
			f.listEnd(deferred, 1, Done)
			f.Assert(f.p.FinalState("deferred"), quicktest.Equals, Completed)
			starts := f.starts()
			f.Assert(starts, quicktest.HasLen, 1)
			f.Assert(starts[0].Job(), quicktest.Equals, "urgent")
		})
	}
}

// TestOwnerKilledAfterPreemption checks an owner that is killed after the order of a stop, which the next owner
// does not know. The task has to run once, whether the stop is executed or not (TWICE, LOST).
func TestOwnerKilledAfterPreemption(t *testing.T) {
	setUp := func(t *testing.T) (*fixture, Action) {
		f, deferred := newPreemption(t, unchanged)
		f.preempt("urgent")
		f.takeOver(f.now + 6*second)
		f.restartWorker("w0", 1)
		f.assertNoAction()
		f.now += second / 10
		return f, deferred
	}
	t.Run("the stop is executed", func(t *testing.T) {
		f, deferred := setUp(t)
		f.listEnd(deferred, 1, Stopped)
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 1)
		f.Assert(starts[0].Job(), quicktest.Equals, "urgent")
	})
	t.Run("the stop is lost", func(t *testing.T) {
		f, deferred := setUp(t)
		f.list(deferred)
		f.assertNoAction()
		f.listEnd(deferred, 1, Done)
		f.Assert(f.p.FinalState("deferred"), quicktest.Equals, Completed)
	})
}

// TestPreemptedTaskDoesNotStarve checks that a task is stopped twice at most, also under new owners, however
// much urgent work comes. Otherwise it would never end (LOST).
func TestPreemptedTaskDoesNotStarve(t *testing.T) {
	f, deferred := newPreemption(t, unchanged)
	serial := uint64(0)
	end := func(a Action, result string) {
		serial++
		f.listEnd(a, serial, result)
	}
	for n, id := range []string{"urgent1", "urgent2"} {
		f.p.ReportStop(f.preempt(id), true, f.now)
		end(deferred, Stopped)
		urgent := f.starts()
		f.Assert(urgent, quicktest.HasLen, 1)
		end(urgent[0], Done)
		f.takeOver(f.now + 6*second)
		f.restartWorker("w0", 1)
		f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: f.now}, f.now)
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 1)
		deferred = starts[0]
		f.Assert(deferred.Number, quicktest.Equals, n+2)
		f.now += second
		f.list(deferred)
	}
	f.submitUrgent("urgent3")
	f.assertNoAction()
}
