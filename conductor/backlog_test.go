package conductor

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// TestStartsThatWaitForOrdersAreBounded checks that an owner whose orders are slow decides no
// starts that it has to withdraw, which takes processor time from the orders. By the
// owner's clock, which follows the answers, maxOrders of them take 0.4 s.
func TestStartsThatWaitForOrdersAreBounded(t *testing.T) {
	const tasks = 8 * maxOrders
	var answered atomic.Int64
	orderer, _ := newOrderer(t, tasks, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Millisecond)
		answered.Add(1)
		fmt.Fprint(w, `{"clock-ms":1}`)
	})
	c := openOwner(t, emulator.NewStore().KV(), 1)
	lines := &lockedBuffer{}
	c.log = hclog.New(&hclog.LoggerOptions{Output: lines})
	c.now = func() time.Duration {
		return time.Second + time.Duration(answered.Load())*(maxOrderWait*2/5/maxOrders)
	}
	c.operatorMirror, c.workerMirror = orderer.operatorMirror, orderer.workerMirror
	for id, s := range orderer.sessions {
		c.planner.Register(planner.Registration{ID: id, Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(1, 1, 0)}, c.now())
		c.planner.MarkWorkerStored(id)
		c.sessions[id] = &session{id: id, address: s.address, clock: workerClock{known: true, reading: 1}, incarnation: 1, heartbeating: true}
	}
	_, err := c.planner.Submit(planner.JobSpec{ID: "j", Queue: "q", Steps: []planner.StepSpec{{Tasks: tasks, CPU: 1, Memory: 1}}}, c.now())
	quicktest.Assert(t, err, quicktest.IsNil)
	c.planner.MarkStored("j")
	for end := time.Now().Add(time.Minute); c.metrics.startsAccepted.Count() < tasks; time.Sleep(5 * time.Millisecond) {
		quicktest.Assert(t, time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("%d starts accepted", c.metrics.startsAccepted.Count()))
		c.decide(t.Context())
	}
	quicktest.Check(t, strings.Count(lines.String(), "late=true"), quicktest.Equals, 0)
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

// TestOrderRate checks that the rate of orders is known while all orders find many in flight, and
// no longer.
func TestOrderRate(t *testing.T) {
	for _, test := range []struct {
		name     string
		inFlight int
		want     float64
	}{{"busy", maxOrders, 400}, {"idle", busyOrders - 1, 0}} {
		t.Run(test.name, func(t *testing.T) {
			var b startBacklog
			b.begin(test.inFlight, 0)
			for range 200 {
				b.add(1)
				b.finish(backlogTime / 2)
			}
			b.advance(backlogTime)
			quicktest.Check(t, b.rate, quicktest.Equals, test.want)
		})
	}
	t.Run("after the load", func(t *testing.T) {
		b := startBacklog{rate: 400}
		b.begin(1, backlogTime/2)
		quicktest.Check(t, b.rate, quicktest.Equals, 0.0)
		b = startBacklog{rate: 400}
		b.advance(2 * backlogTime)
		quicktest.Check(t, b.rate, quicktest.Equals, 0.0)
	})
}

// TestOrderDelay checks that the longest recent time from a decision to the answer counts.
func TestOrderDelay(t *testing.T) {
	var b startBacklog
	now := time.Second
	b.answer(now-300*time.Millisecond, now)
	b.answer(now-100*time.Millisecond, now)
	quicktest.Check(t, b.delay(), quicktest.Equals, 300*time.Millisecond)
	b.advance(now + backlogTime)
	quicktest.Check(t, b.delay(), quicktest.Equals, 300*time.Millisecond)
	b.advance(now + 2*backlogTime)
	quicktest.Check(t, b.delay(), quicktest.Equals, time.Duration(0))
}
