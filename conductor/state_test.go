package conductor

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"filberthaven.example/platform/imitator"
	"github.com/frankban/quicktest"
)

// TestBegunJobsPersistedAtRelease checks that the next owner knows of a job that began
// right before a planned hand-over.
func TestBegunJobsPersistedAtRelease(t *testing.T) {
	c := quicktest.New(t)
	store := emulator.NewStore().KV()
	owner, err := New(store, platform.NewExecutorClient(platform.DefaultIdle), "vm", 1)
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- owner.Run(ctx) }()
	for end := time.Now().Add(time.Minute); !owner.upToDate(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), quicktest.IsTrue)
	}
	spec := planner.JobSpec{ID: "j", Queue: "q", Steps: []planner.StepSpec{{Tasks: 1, CPU: 1000, Memory: 1}}}
	owner.mu.Lock()
	owner.planner.Configure(planner.Config{Version: 1, Queues: []planner.Queue{{Name: "q", Service: "s", Stretch: 2, Objective: time.Second}}}, owner.now())
	_, err = owner.planner.Submit(spec, owner.now())
	owner.planner.MarkStored("j")
	owner.mu.Unlock()
	c.Assert(err, quicktest.IsNil)
	stored := make(chan struct{})
	owner.mu.Lock()
	owner.persist(planner.Record{Job: &spec}, func() { close(stored) })
	owner.mu.Unlock()
	<-stored
	owner.mu.Lock()
	owner.planner.Register(planner.Registration{ID: "w", Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(1000, 1000, 0)}, owner.now())
	owner.planner.HandleStatus(planner.WorkerStatus{Worker: "w", Incarnation: 1, SentAt: owner.now(), Running: []planner.RunningEntry{{Task: "j.0.0.0", Number: 1}}}, owner.now())
	owner.reportBegun("w")
	c.Check(owner.planner.Pending("q"), quicktest.Equals, 0)
	owner.mu.Unlock()
	cancel()
	c.Assert(<-ended, quicktest.IsNil)
	next, err := New(store, platform.NewExecutorClient(platform.DefaultIdle), "vm2", 2)
	c.Assert(err, quicktest.IsNil)
	recovery, err := next.journal.Open(t.Context(), 2)
	c.Assert(err, quicktest.IsNil)
	p := planner.New()
	c.Assert(p.Restore(recovery.Snapshot(), recovery.Records(), 0, wallClock(), 0), quicktest.IsNil)
	c.Assert(p.LiveJobs(), quicktest.Equals, 1)
	c.Assert(p.Pending("q"), quicktest.Equals, 0)
}

// newFailingJob returns a conductor with an open journal and a job whose run has failed
// once, and whose worker lists nothing any more. Its queue allows any number of attempts.
func newFailingJob(t *testing.T) *Conductor {
	t.Helper()
	c, starts := newOrderer(t, 1, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"clock-ms":1,"born":1}`) })
	owner, err := New(emulator.NewStore().KV(), c.executors, "vm", 1)
	quicktest.Assert(t, err, quicktest.IsNil)
	_, err = owner.journal.Open(t.Context(), 1)
	quicktest.Assert(t, err, quicktest.IsNil)
	c.journal = owner.journal
	c.planner.ReportStart(starts[0], planner.Accepted, c.now())
	c.planner.HandleStatus(planner.WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: c.now(), Ended: []planner.EndEntry{
		{Serial: 1, End: planner.End{Task: starts[0].Task, Number: 1, Result: planner.RunFailed}},
	}}, c.now())
	return c
}

// TestFailureByConfigurationIsShown checks that callers see the failure of a job whose
// attempts a configuration has lowered, although the next answer of a worker lists no ends.
func TestFailureByConfigurationIsShown(t *testing.T) {
	c := newFailingJob(t)
	c.configure(planner.Config{Version: 2, Queues: []planner.Queue{{Name: "q", Service: "s", Attempts: 1, Stretch: 2, Objective: time.Second}}})
	quicktest.Assert(t, c.planner.FinalState("j"), quicktest.Equals, planner.Failed)
	quicktest.Assert(t, c.heartbeat(c.sessions["w0"], false), quicktest.IsTrue)
	var state planner.State
	for end := time.Now().Add(5 * time.Second); state != planner.Failed && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.mu.Lock()
		state, _ = c.planner.State("j", "q", "")
		c.mu.Unlock()
	}
	quicktest.Assert(t, state, quicktest.Equals, planner.Failed)
}

// newCompletedJob returns a conductor with a job that has completed.
func newCompletedJob(t *testing.T) *Conductor {
	t.Helper()
	c, starts := newOrderer(t, 1, func(http.ResponseWriter, *http.Request) {})
	c.planner.ReportStart(starts[0], planner.Accepted, c.now())
	c.planner.HandleStatus(planner.WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: c.now(), Ended: []planner.EndEntry{
		{Serial: 1, End: planner.End{Task: starts[0].Task, Number: 1, Result: planner.Done}},
	}}, c.now())
	c.reportEnded(c.planner.TakeEnded())
	return c
}

// TestCancelOfEndedJob checks that the answer to a late cancel gives the job's true state.
func TestCancelOfEndedJob(t *testing.T) {
	c := newCompletedJob(t)
	quicktest.Assert(t, string(c.jobState(planner.Queue{Name: "q"}, "", "j").Body), quicktest.Equals, string(platform.StateBody(planner.Completed)))
	response := c.cancel(t.Context(), "", "j")
	quicktest.Assert(t, string(response.Body), quicktest.Equals, string(platform.StateBody(planner.Completed)))
}

// TestRepeatedSubmissionOfEndedJob checks that the answer to a repeated submission gives
// the job's true state.
func TestRepeatedSubmissionOfEndedJob(t *testing.T) {
	c := newCompletedJob(t)
	response := c.submit(t.Context(), planner.Queue{Name: "q"}, "", "j", []byte(imitator.JobBody))
	quicktest.Assert(t, string(response.Body), quicktest.Equals, string(platform.StateBody(planner.Completed)))
}
