package conductor

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/emulator"
	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
)

// TestStartsThatWaitForOrdersAreBounded checks that an owner whose orders are slow decides
// each start once. Starts that wait for too long are withdrawn and decided again, which
// takes processor time from the orders.
func TestStartsThatWaitForOrdersAreBounded(t *testing.T) {
	const tasks = 8 * maxOrders
	orderer, _ := newOrderer(t, tasks, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(maxOrderWait * 2 / 5)
		fmt.Fprint(w, `{"clock-ms":1}`)
	})
	c := openOwner(t, emulator.NewStore().KV(), 1)
	c.operatorMirror, c.workerMirror, c.now = orderer.operatorMirror, orderer.workerMirror, claimer.Now
	for id, s := range orderer.sessions {
		c.planner.Register(planner.Registration{ID: id, Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(1, 1, 0)}, c.now())
		c.planner.MarkWorkerStored(id)
		c.sessions[id] = &session{id: id, address: s.address, clock: 1, incarnation: 1, heartbeating: true}
	}
	_, err := c.planner.Submit(planner.JobSpec{ID: "j", Queue: "q", Steps: []planner.StepSpec{{Tasks: tasks, CPU: 1, Memory: 1}}}, c.now())
	quicktest.Assert(t, err, quicktest.IsNil)
	c.planner.MarkStored("j")
	for end := time.Now().Add(time.Minute); c.metrics.startsAccepted.Count() < tasks; time.Sleep(5 * time.Millisecond) {
		quicktest.Assert(t, time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("%d starts accepted", c.metrics.startsAccepted.Count()))
		c.decide(t.Context())
	}
	quicktest.Check(t, c.metrics.starts.Count(), quicktest.Equals, int64(tasks))
}

// TestStartBacklogFollowsOrders checks that an owner whose orders are fast may have more
// starts without an outcome.
func TestStartBacklogFollowsOrders(t *testing.T) {
	const orders = 3 * maxOrderBacklog
	var b startBacklog
	now := time.Second
	quicktest.Check(t, b.room(now), quicktest.Equals, maxOrderBacklog)
	b.add(orders)
	quicktest.Check(t, b.room(now), quicktest.Equals, maxOrderBacklog-orders)
	for range orders {
		b.finish(now)
	}
	quicktest.Check(t, b.room(now+backlogTime), quicktest.Equals, orders)
	quicktest.Check(t, b.room(now+2*backlogTime), quicktest.Equals, maxOrderBacklog)
	b.add(2)
	b.withdraw()
	quicktest.Check(t, b.room(now+4*backlogTime), quicktest.Equals, maxOrderBacklog-1)
}
