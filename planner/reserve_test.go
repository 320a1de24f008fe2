package planner

import (
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// newReserveFixture returns a fixture with workers of 4 processors, a queue q of priority 1, and
// queues urgent and services.
func newReserveFixture(t *testing.T, workers int) *fixture {
	f := newFixture(
		t, workers, Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 100, Objective: second, Priority: 1},
		Queue{Name: "urgent", Service: "s", Attempts: 2, Stretch: 2, Objective: second, Priority: 0},
		Queue{Name: "services", Service: "s", Attempts: 2, Stretch: 1, Priority: 3},
	)
	f.now = second
	return f
}

// submitTo submits a job of one step to a queue and stores it.
func (f *fixture) submitTo(queue, id string, step StepSpec) {
	f.Helper()
	_, err := f.p.Submit(JobSpec{ID: id, Queue: queue, Team: "team", Steps: []StepSpec{step}}, f.now)
	f.Assert(err, quicktest.IsNil)
	f.p.MarkStored(id)
}

// newService returns a long-running step of n tasks that take that many thousandths of a processor,
// each on a worker of its own.
func newService(n int, cpu int64) StepSpec {
	return StepSpec{Tasks: n, CPU: cpu, Memory: 100, MaxPerWorker: 1, LongRunning: true}
}

// startedTasks makes one decision and returns the names of the tasks that it starts.
func (f *fixture) startedTasks() []string {
	var tasks []string
	for _, a := range f.starts() {
		tasks = append(tasks, a.Task)
	}
	return tasks
}

// TestServicesAreNotExpectedToEnd guards against a waiting service or gang that reserves workers on
// which it fits only once other services have ended, which they don't: nothing else would start
// there (LOST).
func TestServicesAreNotExpectedToEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		waitingIn string
		waiting   StepSpec
		queue     string // of the job that could start
	}{
		"service before an urgent job":  {"services", newService(2, 3000), "urgent"},
		"service before a deferred job": {"services", newService(2, 3000), "q"},
		"gang before a deferred job":    {"q", newWideGang(), "q"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newReserveFixture(t, 2)
			f.submitTo("services", "running", newService(2, 1500))
			f.Assert(f.starts(), quicktest.HasLen, 2)
			f.submitTo(tc.waitingIn, "waiting", tc.waiting)
			f.now += second
			f.assertNoStart()
			f.submitTo(tc.queue, "job", newStep(1))
			f.Check(f.startedTasks(), quicktest.DeepEquals, []string{"job.0.0.0"})
		})
	}
	t.Run("unless they are stopped", func(t *testing.T) {
		f := newReserveFixture(t, 2)
		f.submitTo("services", "running", newService(2, 1500))
		f.Assert(f.starts(), quicktest.HasLen, 2)
		f.p.Cancel("running", "team", f.now)
		f.submitTo("services", "waiting", newService(2, 3000))
		f.decide()
		f.assertReserved("w0", "w1")
	})
}

// decideUntilStart decides each tenth of a second, for that long at most, until something starts.
// It returns the tasks that start and how long that took.
func (f *fixture) decideUntilStart(longest time.Duration) (tasks []string, waited time.Duration) {
	begun := f.now
	for len(tasks) == 0 && f.now-begun <= longest {
		f.now += second / 10
		tasks = f.startedTasks()
	}
	return tasks, f.now - begun
}

// newOverdue returns a step of n tasks, each on a worker of its own, that declare the given time and
// run on.
func newOverdue(n int, declared time.Duration) StepSpec {
	step := newStep(n)
	step.CPU, step.MaxPerWorker, step.Estimate = 1500, 1, declared.Milliseconds()
	return step
}

// TestReservationsInVainEnd guards against steps that keep workers from all other work for as long as
// runs there last longer than expected (LOST).
func TestReservationsInVainEnd(t *testing.T) {
	service, gang := newService(2, 3000), newWideGang()
	for name, tc := range map[string]struct {
		declared  time.Duration // by the runs that don't end
		waitingIn string
		waiting   StepSpec
		queue     string // of the job that could start
	}{
		"service behind overdue runs, urgent job":             {second, "services", service, "urgent"},
		"service behind overdue runs, deferred job":           {second, "services", service, "q"},
		"gang behind overdue runs, deferred job":              {second, "q", gang, "q"},
		"service behind runs of no declared time, urgent job": {0, "services", service, "urgent"},
		"gang behind runs of no declared time, deferred job":  {0, "q", gang, "q"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newReserveFixture(t, 2)
			f.submitTo("q", "running", newOverdue(2, tc.declared))
			f.Assert(f.starts(), quicktest.HasLen, 2)
			f.now += second
			f.submitTo(tc.waitingIn, "waiting", tc.waiting)
			f.submitTo(tc.queue, "job", newStep(1))
			tasks, waited := f.decideUntilStart(3 * second)
			f.Check(tasks, quicktest.DeepEquals, []string{"job.0.0.0"}, quicktest.Commentf("after %v", waited))
		})
	}
	t.Run("where new steps go on with them", func(t *testing.T) {
		f := newReserveFixture(t, 2)
		f.submitTo("q", "running", newOverdue(2, second))
		f.Assert(f.starts(), quicktest.HasLen, 2)
		f.now += second
		f.submitTo("urgent", "job", newStep(1))
		for n := range 30 {
			id := "waiting" + strconv.Itoa(n)
			f.submitTo("services", id, service)
			f.now += second / 10
			if tasks := f.startedTasks(); len(tasks) > 0 {
				f.Check(tasks, quicktest.DeepEquals, []string{"job.0.0.0"})
				return
			}
			f.p.Cancel(id, "team", f.now)
		}
		f.Error("nothing has started in 3 s")
	})
	t.Run("and are made again less and less", func(t *testing.T) {
		f := newReserveFixture(t, 2)
		f.submitTo("q", "running", newOverdue(2, second))
		f.Assert(f.starts(), quicktest.HasLen, 2)
		f.now += second
		f.submitTo("services", "waiting", service)
		reserved := 0
		for range 600 {
			f.now += second / 10
			f.decide()
			if f.p.Reservations(f.now).Workers > 0 {
				reserved++
			}
		}
		f.Check(reserved > 0, quicktest.IsTrue)
		f.Check(reserved < 200, quicktest.IsTrue, quicktest.Commentf("%d of 600 decisions", reserved))
	})
}

// TestReservationsAreMadeAgain guards against a service that never gets a worker on a full fleet since
// an earlier reservation was in vain: smaller tasks would take each gap at once.
func TestReservationsAreMadeAgain(t *testing.T) {
	f := newReserveFixture(t, 1)
	f.submitTo("q", "running", newOverdue(1, second))
	overdue := f.starts()
	f.Assert(overdue, quicktest.HasLen, 1)
	f.now += second
	f.submitTo("services", "waiting", newService(1, 3000))
	f.submitTo("q", "beside", newStep(1))
	tasks, _ := f.decideUntilStart(3 * second)
	f.Assert(tasks, quicktest.DeepEquals, []string{"beside.0.0.0"})
	f.p.HandleStatus(WorkerStatus{
		Worker: "w0", Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: "running.0.0.0", Number: 1}},
		Ended: []EndEntry{{1, End{Task: "beside.0.0.0", Number: 1, Result: Done}}},
	}, f.now)

	f.now += minReservationPause
	f.decide()
	f.assertReserved("w0")
	f.submitTo("q", "next", newStep(1))
	f.now += second / 10
	f.assertNoStart()
	f.listEnd(overdue[0], 2, Done)
	f.Check(f.startedTasks(), quicktest.DeepEquals, []string{"waiting.0.0.0", "next.0.0.0"})
}
