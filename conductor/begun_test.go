package conductor

import (
	"context"
	"net/http"
	"testing"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/emulator"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"github.com/frankban/quicktest"
)

// TestBegunJobsPersisted checks that the next owner knows of a begun job although the starts
// that were decided after it were refused and no other followed.
func TestBegunJobsPersisted(t *testing.T) {
	c := quicktest.New(t)
	emulated := emulator.NewStore()
	store := emulated.KV()
	open := func(term uint64) (*Conductor, *planner.Planner) {
		owner, err := New(store, platform.NewExecutorClient(platform.DefaultIdle), "vm", term)
		c.Assert(err, quicktest.IsNil)
		owner.ctx, owner.orderCtx = t.Context(), t.Context()
		recovery, err := owner.journal.Open(t.Context(), term)
		c.Assert(err, quicktest.IsNil)
		p := planner.New()
		c.Assert(p.Restore(recovery.Snapshot(), recovery.Records(), 0, wallClock(), 0), quicktest.IsNil)
		return owner, p
	}
	owner, _ := open(1)
	owner.mu.Lock()
	owner.persist(planner.Record{Job: &planner.JobSpec{ID: "j", Queue: "q", Steps: []planner.StepSpec{{Tasks: 1, CPU: 1000, Memory: 1}}}}, nil)
	owner.begun = []string{"j"}
	owner.mu.Unlock()
	refuseStarts(t, emulated, owner, []planner.Action{{Kind: planner.Start, Task: "k.0.0.0", Number: 1, Worker: "w0"}})
	owner.sweep(0)
	stored := make(chan struct{})
	empty, err := planner.Record{}.Encode()
	c.Assert(err, quicktest.IsNil)
	c.Assert(owner.journal.EnqueueMandatory(empty, func(error) { close(stored) }), quicktest.IsNil)
	select {
	case <-stored:
	case <-time.After(time.Minute):
		c.Fatal("records not persisted")
	}
	owner.journal.Abort()
	_, next := open(2)
	c.Assert(next.LiveJobs(), quicktest.Equals, 1)
	c.Assert(next.Pending("q"), quicktest.Equals, 0)
}

// TestPendingGauges checks that the gauges tell pending jobs with a decided start from those
// without.
func TestPendingGauges(t *testing.T) {
	c, _ := newOrderer(t, 1, func(http.ResponseWriter, *http.Request) {})
	_, err := c.planner.Submit(planner.JobSpec{ID: "k", Queue: "q", Steps: []planner.StepSpec{{Tasks: 1, CPU: 2000, Memory: 1}}}, 0)
	quicktest.Assert(t, err, quicktest.IsNil)
	c.planner.MarkStored("k")
	c.updateGauges()
	quicktest.Assert(t, c.metrics.pending.Value(), quicktest.Equals, int64(2))
	quicktest.Assert(t, c.metrics.pendingOrdered.Value(), quicktest.Equals, int64(1))
}

// TestGaugesWithoutDecisions checks that an owner that may not decide updates its gauges.
func TestGaugesWithoutDecisions(t *testing.T) {
	c, _ := newOrderer(t, 1, func(http.ResponseWriter, *http.Request) {})
	c.isOwner, c.now = func() bool { return false }, claimer.Now
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.runDecisions(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	for want := range int64(2) {
		for end := time.Now().Add(time.Minute); c.metrics.pending.Value() != 1-want; time.Sleep(time.Millisecond) {
			quicktest.Assert(t, time.Now().Before(end), quicktest.IsTrue)
		}
		c.mu.Lock()
		c.planner.Cancel("j", "", c.now())
		c.planner.MarkEndStored("j")
		c.mu.Unlock()
	}
}
