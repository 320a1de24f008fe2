package conductor

import (
	"context"
	"testing"
	"time"

	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// TestStartIsWithdrawn checks that a start is withdrawn, and decided again, if the
// mirrored worker entries are out of date by the time it should be ordered, as after a
// wait for a slow store. The conductor has no executor client, so an order would crash
// the test.
func TestStartIsWithdrawn(t *testing.T) {
	c := &Conductor{
		ctx: context.Background(), planner: planner.New(), isOwner: func() bool { return true }, now: func() time.Duration { return time.Second },
		leaseDuration: time.Second, sessions: map[string]*session{"w": {id: "w", clock: 1, incarnation: 1}}, metrics: newOwnerMetrics(metrics.NewRegistry()), log: hclog.NewNullLogger(),
	}
	p := c.planner
	p.Configure(planner.Config{Version: 1, Queues: []planner.Queue{{Name: "q", Service: "s", Stretch: 2, Objective: time.Second}}}, 0)
	p.Register(planner.Registration{ID: "w", Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(1000, 1000, 0)}, 0)
	p.MarkWorkerStored("w")
	_, err := p.Submit(planner.JobSpec{ID: "j", Queue: "q", Steps: []planner.StepSpec{{Tasks: 1, CPU: 1000, Memory: 1}}}, 0)
	quicktest.Assert(t, err, quicktest.IsNil)
	p.MarkStored("j")
	for number := 1; number <= 2; number++ {
		starts := p.Decide(time.Second, 0)
		quicktest.Assert(t, starts, quicktest.HasLen, 1)
		quicktest.Assert(t, starts[0].Number, quicktest.Equals, number)
		c.start(starts[0])
	}
}
