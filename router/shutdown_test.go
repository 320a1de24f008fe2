package router_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/emulator"
	qt "github.com/frankban/quicktest"
)

// isReady requests /readyz as the platform's load balancer does.
func (g *gateway) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, g.server.URL+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// loadCaller sends requests to the first gateway that is ready, or else to the second,
// until stop is closed.
type loadCaller struct {
	gateways          []*gateway
	stop              chan struct{}
	failed, completed atomic.Int64
}

// run sends requests one after another until stop is closed.
func (l *loadCaller) run(c *qt.C) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		g := l.gateways[0]
		if !g.isReady(c.Context()) {
			g = l.gateways[1]
		}
		status, _ := post(c.Context(), g, "x")
		if status != http.StatusOK {
			l.failed.Add(1)
		}
		l.completed.Add(1)
	}
}

// waitForResponses returns once n more requests have ended.
func (l *loadCaller) waitForResponses(n int64) {
	for before := l.completed.Load(); l.completed.Load() < before+n; {
		time.Sleep(time.Millisecond)
	}
}

func TestShutdownUnderLoad(t *testing.T) {
	c := qt.New(t)
	l := &loadCaller{gateways: []*gateway{newGateway(t), newGateway(t)}, stop: make(chan struct{})}
	for _, g := range l.gateways {
		g.addExecutor(t, "e1", 8, emulator.WithDelay(5*time.Millisecond))
	}
	draining := l.gateways[0]
	id := submitJob(c, draining, "cremona", `{"cpu":1}`).ID
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() { l.run(c) })
	}
	callers.Go(func() {
		got := draining.call(c, "cremona", http.MethodGet, "/v1/jobs/"+id+"/wait?timeout=50s", "")
		c.Check(got.status, qt.Equals, http.StatusOK)
	})
	l.waitForResponses(100)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	c.Assert(draining.Shutdown(ctx), qt.IsNil)
	c.Assert(draining.server.Config.Shutdown(ctx), qt.IsNil)
	l.waitForResponses(100)
	close(l.stop)
	callers.Wait()
	c.Assert(l.failed.Load(), qt.Equals, int64(0), qt.Commentf("of %d", l.completed.Load()))
}

func TestReadinessWhileDraining(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	g.Drain()
	got := g.call(c, "", http.MethodGet, "/readyz", "")
	c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(g.call(c, "", http.MethodGet, "/healthz", "").status, qt.Equals, http.StatusOK)
}
