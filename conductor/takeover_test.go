package conductor

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"github.com/frankban/quicktest"
)

// openOwner returns an owner that has read the journal in the store, and knows a queue and
// two workers.
func openOwner(t *testing.T, store keeper.Store, term uint64) *Conductor {
	t.Helper()
	owner, err := New(store, platform.NewExecutorClient(platform.DefaultIdle), "vm", term)
	quicktest.Assert(t, err, quicktest.IsNil)
	owner.ctx, owner.orderCtx = t.Context(), t.Context()
	recovery, err := owner.journal.Open(t.Context(), term)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, owner.planner.Restore(recovery.Snapshot(), recovery.Records(), owner.now(), wallClock(), owner.now()+time.Minute), quicktest.IsNil)
	owner.planner.Configure(planner.Config{Version: 1, Queues: []planner.Queue{{Name: "q", Service: "s", Stretch: 2, Objective: time.Second}}}, owner.now())
	for _, id := range []string{"w0", "w1"} {
		owner.planner.Register(planner.Registration{ID: id, Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(1000, 1000, 0)}, owner.now())
		owner.planner.MarkWorkerStored(id)
	}
	return owner
}

// submitAndStart submits a job of n tasks of a processor each, and confirms its starts.
func submitAndStart(t *testing.T, owner *Conductor, n int) []planner.Action {
	t.Helper()
	spec := planner.JobSpec{ID: "j", Queue: "q", Steps: []planner.StepSpec{{Tasks: n, CPU: 1000, Memory: 1}}}
	_, err := owner.planner.Submit(spec, owner.now())
	quicktest.Assert(t, err, quicktest.IsNil)
	owner.planner.MarkStored("j")
	owner.mu.Lock()
	defer owner.mu.Unlock()
	owner.persist(planner.Record{Job: &spec}, nil)
	starts := owner.planner.Decide(owner.now(), wallClock())
	quicktest.Assert(t, starts, quicktest.HasLen, n)
	for _, a := range starts {
		owner.persist(planner.Record{Begins: []planner.Begin{{Task: a.Task, Number: a.Number, Worker: a.Worker}}}, nil)
		owner.planner.ReportStart(a, planner.Accepted, owner.now())
	}
	return starts
}

// flush waits until the journal holds all records so far.
func flush(t *testing.T, owner *Conductor) {
	t.Helper()
	stored := make(chan struct{})
	empty, err := planner.Record{}.Encode()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, owner.journal.EnqueueMandatory(empty, func(error) { close(stored) }), quicktest.IsNil)
	<-stored
}

// refuseStarts passes starts to the journal during an outage of the store, and waits until they
// are withdrawn.
func refuseStarts(t *testing.T, store *emulator.Store, owner *Conductor, starts []planner.Action) {
	t.Helper()
	store.SetFaults(emulator.Down())
	owner.orderStarts(starts)
	withdrawn := func() bool {
		owner.mu.Lock()
		defer owner.mu.Unlock()
		return owner.backlog.starts == 0
	}
	for end := time.Now().Add(20 * time.Second); !withdrawn(); time.Sleep(time.Millisecond) {
		quicktest.Assert(t, time.Now().Before(end), quicktest.IsTrue)
	}
	store.SetFaults()
}

// TestBegunJobsSurviveCrash checks that the answer of a worker that shows a job at work
// reaches the journal with the next record, and so the next owner.
func TestBegunJobsSurviveCrash(t *testing.T) {
	store := emulator.NewStore().KV()
	owner := openOwner(t, store, 1)
	submitAndStart(t, owner, 1)
	owner.mu.Lock()
	owner.reportBegun("w0")
	owner.mu.Unlock()
	owner.sweep(owner.now())
	flush(t, owner)
	owner.journal.Abort()
	next := openOwner(t, store, 2)
	quicktest.Assert(t, next.planner.LiveJobs(), quicktest.Equals, 1)
	quicktest.Assert(t, next.planner.Pending("q"), quicktest.Equals, 0)
}

// newBusyOwner returns an owner with an open journal and n jobs of one task, each of which
// runs on a worker of its own. Each worker lists its run as done.
func newBusyOwner(t *testing.T, store keeper.Store, n int) *Conductor {
	t.Helper()
	var taskAt sync.Map // task by address of its worker
	c, _ := newOrderer(t, n, func(w http.ResponseWriter, r *http.Request) {
		task, _ := taskAt.Load(r.Host)
		fmt.Fprintf(w, `{"clock-ms":1,"born":1,"ended":[[1,"%s",1,"done",""]]}`, task)
	})
	c.now = claimer.Now
	owner, err := New(store, c.executors, "vm", 1)
	quicktest.Assert(t, err, quicktest.IsNil)
	_, err = owner.journal.Open(t.Context(), 1)
	quicktest.Assert(t, err, quicktest.IsNil)
	c.journal, c.planner = owner.journal, owner.planner
	c.planner.Configure(planner.Config{Version: 1, Queues: []planner.Queue{{Name: "q", Service: "s", Stretch: 2, Objective: time.Second}}}, c.now())
	for i := range n {
		id := fmt.Sprint("w", i)
		c.planner.Register(planner.Registration{ID: id, Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(1000, 1000, 0)}, c.now())
		c.planner.MarkWorkerStored(id)
		spec := planner.JobSpec{ID: fmt.Sprint("j", i), Queue: "q", Steps: []planner.StepSpec{{Tasks: 1, CPU: 1000, Memory: 1}}}
		_, err := c.planner.Submit(spec, c.now())
		quicktest.Assert(t, err, quicktest.IsNil)
		c.planner.MarkStored(spec.ID)
		c.mu.Lock()
		c.persist(planner.Record{Job: &spec}, nil)
		c.mu.Unlock()
	}
	starts := c.planner.Decide(c.now(), wallClock())
	quicktest.Assert(t, starts, quicktest.HasLen, n)
	for _, a := range starts {
		c.planner.ReportStart(a, planner.Accepted, c.now())
		taskAt.Store(c.sessions[a.Worker].address, a.Task)
	}
	return c
}

// TestEndsQueuedWithTheirEffect checks that nobody sees the effect of an end on the planner
// before its record is queued for the journal. Otherwise the record of a later end may go
// first, and its job is shown as completed while the journal lacks an end.
func TestEndsQueuedWithTheirEffect(t *testing.T) {
	const workers = 100
	c := newBusyOwner(t, emulator.NewStore().KV(), workers)
	var heartbeats sync.WaitGroup
	for _, s := range c.sessions {
		heartbeats.Go(func() { c.heartbeat(s, true) })
	}
	for idle := 0; idle < workers; {
		c.mu.Lock()
		idle = 0
		for id := range c.sessions {
			if !c.planner.Busy(id) {
				idle++
			}
		}
		queued := c.metrics.runsEnded.Count()
		c.mu.Unlock()
		quicktest.Assert(t, queued, quicktest.Equals, int64(idle))
	}
	heartbeats.Wait()
}

// TestCancelledStaysCancelled checks that the next owner shows each job as the owner did
// whose cancelling was acknowledged while its last task ended.
func TestCancelledStaysCancelled(t *testing.T) {
	const jobs = 100
	store := emulator.NewStore().KV()
	c := newBusyOwner(t, store, jobs)
	var calls sync.WaitGroup
	for _, s := range c.sessions {
		calls.Go(func() { c.heartbeat(s, true) })
	}
	for i := range jobs {
		calls.Go(func() { c.cancel(t.Context(), "", fmt.Sprint("j", i)) })
	}
	calls.Wait()
	flush(t, c)
	c.journal.Abort()
	next := openOwner(t, store, 2)
	for i := range jobs {
		id := fmt.Sprint("j", i)
		shown, _ := c.planner.State(id, "q", "")
		state, _ := next.planner.State(id, "q", "")
		quicktest.Assert(t, state, quicktest.Equals, shown, quicktest.Commentf("%s", id))
	}
}
