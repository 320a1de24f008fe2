package conductor

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
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
		leaseDuration: time.Second, orderSlots: make(chan struct{}, maxOrders), sessions: map[string]*session{"w": {id: "w", clock: workerClock{known: true, reading: 1}, incarnation: 1}}, metrics: newOwnerMetrics(metrics.NewRegistry()), log: hclog.NewNullLogger(),
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

// lockedBuffer is a buffer for several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// newFailureLogger returns a logger whose lines are shown if the test fails.
func newFailureLogger(t *testing.T) hclog.Logger {
	lines := &lockedBuffer{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(lines.String())
		}
	})
	return hclog.New(&hclog.LoggerOptions{Output: lines, Level: hclog.Debug})
}

// newOrderer returns a conductor whose workers all have the given handler, and the starts of
// a gang of n tasks, one on each worker.
func newOrderer(t *testing.T, n int, handler http.HandlerFunc) (*Conductor, []planner.Action) {
	t.Helper()
	var addresses []string // the client opens few connections to each
	for range min(n, 128) {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	c, err := New(keeper.Store{}, platform.NewExecutorClient(platform.DefaultIdle), "vm", 1, WithClock(func() time.Duration { return time.Second }), WithLogger(newFailureLogger(t)))
	quicktest.Assert(t, err, quicktest.IsNil)
	c.ctx, c.orderCtx = t.Context(), t.Context()
	c.operatorMirror, c.workerMirror = newConnectedMirror(t), newConnectedMirror(t)
	c.planner.Configure(planner.Config{Version: 1, Queues: []planner.Queue{{Name: "q", Service: "s", Stretch: 2, Objective: time.Second}}}, 0)
	for i := range n {
		id := fmt.Sprint("w", i)
		c.planner.Register(planner.Registration{ID: id, Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(1000, 1000, 0)}, 0)
		c.planner.MarkWorkerStored(id)
		c.sessions[id] = &session{id: id, address: addresses[i%len(addresses)], clock: workerClock{known: true, reading: 1}, incarnation: 1, heartbeating: true}
	}
	_, err = c.planner.Submit(planner.JobSpec{ID: "j", Queue: "q", Steps: []planner.StepSpec{{Tasks: n, CPU: 1000, Memory: 1, Gang: true}}}, 0)
	quicktest.Assert(t, err, quicktest.IsNil)
	c.planner.MarkStored("j")
	starts := c.planner.Decide(time.Second, 0)
	quicktest.Assert(t, starts, quicktest.HasLen, n)
	return c, starts
}

// newConnectedMirror returns a mirror that counts as connected during the test.
func newConnectedMirror(t *testing.T) *keeper.Mirror {
	t.Helper()
	mirror := keeper.NewMirror(emulator.NewStore().KV(), "")
	go func() { _ = mirror.Run(t.Context()) }()
	for mirror.ConnectedFor() == 0 {
		time.Sleep(time.Millisecond)
	}
	return mirror
}

// TestOrdersInFlight checks that an owner with many starts has at most maxOrders of them in
// flight, and orders them all.
func TestOrdersInFlight(t *testing.T) {
	var now, most, all atomic.Int64
	c, starts := newOrderer(t, 2*maxOrders, func(w http.ResponseWriter, _ *http.Request) {
		n := now.Add(1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		time.Sleep(20 * time.Millisecond)
		now.Add(-1)
		all.Add(1)
		fmt.Fprint(w, `{"clock-ms":1}`)
	})
	for _, a := range starts {
		c.spawn(func() { c.start(a) })
	}
	c.goroutines.Wait()
	quicktest.Check(t, all.Load(), quicktest.Equals, int64(len(starts)))
	quicktest.Check(t, most.Load() <= maxOrders, quicktest.IsTrue, quicktest.Commentf("%d at once", most.Load()))
}

// TestGangOrderedAfterResignation checks that the members of a gang that the journal holds
// are all ordered although the ownership ends after the first of them, and that none is
// once the lease of the ownership may have expired. A gang without some of its members
// waits in vain (rule GANG).
func TestGangOrderedAfterResignation(t *testing.T) {
	for _, test := range []struct {
		name    string
		isOwner bool
		want    int64
	}{{"lease runs", true, 3}, {"lease may have expired", false, 1}} {
		t.Run(test.name, func(t *testing.T) {
			var ordered atomic.Int64
			c, starts := newOrderer(t, 3, func(w http.ResponseWriter, _ *http.Request) {
				ordered.Add(1)
				fmt.Fprint(w, `{"clock-ms":1}`)
			})
			ctx, resign := context.WithCancel(t.Context())
			c.ctx = ctx
			c.start(starts[0])
			resign()
			c.isOwner = func() bool { return test.isOwner }
			var wg sync.WaitGroup
			for _, a := range starts[1:] {
				wg.Go(func() { c.start(a) })
			}
			wg.Wait()
			quicktest.Check(t, ordered.Load(), quicktest.Equals, test.want)
		})
	}
}

// TestStartAnsweredByNewIncarnation checks a start that a restarted worker has executed
// before the platform's list shows the restart. The run must not count as lost with the
// earlier incarnation: it would be started anew while it runs.
func TestStartAnsweredByNewIncarnation(t *testing.T) {
	c, starts := newOrderer(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"clock-ms":1,"born":2}`)
	})
	c.start(starts[0])
	c.planner.Register(planner.Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 2, Capacity: placer.NewResources(1000, 1000, 0)}, time.Second)
	for _, a := range c.planner.Decide(time.Second, 0) {
		quicktest.Check(t, a.Kind, quicktest.Not(quicktest.Equals), planner.Start)
	}
}

// TestNoLeaseAfterOwnership checks that a heartbeat grants no lease if the lease of the
// ownership may have expired since runHeartbeats checked it, as after a suspension of the
// VM. The next owner would not count that lease.
func TestNoLeaseAfterOwnership(t *testing.T) {
	var calls atomic.Int64
	c, starts := newOrderer(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, `{"clock-ms":1}`)
	})
	c.start(starts[0])
	c.probeSlots = make(chan struct{}) // heartbeats that grant no lease wait for ever
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	c.ctx = ctx
	checks := 0
	c.isOwner = func() bool {
		checks++
		return checks == 1
	}
	c.runHeartbeats(c.sessions["w0"])
	quicktest.Assert(t, checks > 1, quicktest.IsTrue)
	quicktest.Assert(t, calls.Load(), quicktest.Equals, int64(1))
}
