package planner

import (
	"testing"

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
