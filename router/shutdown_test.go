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

func TestShutdownUnderLoad(t *testing.T) {
	c := qt.New(t)
	gateways := []*gateway{newGateway(t), newGateway(t)}
	for _, g := range gateways {
		g.addExecutor(t, "e1", 8, emulator.WithDelay(5*time.Millisecond))
	}
	id := submitJob(c, gateways[0], "cremona", `{"cpu":1}`).ID
	// Callers go where /readyz holds, as the platform's balancer does.
	var failed, answered atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				g := gateways[0]
				if g.call(c, "", http.MethodGet, "/readyz", "").status != http.StatusOK {
					g = gateways[1]
				}
				if g.call(c, "", http.MethodPost, "/v1/services/public/x", "x").status != http.StatusOK {
					failed.Add(1)
				}
				answered.Add(1)
			}
		})
	}
	callers.Go(func() {
		got := gateways[0].call(c, "cremona", http.MethodGet, "/v1/jobs/"+id+"/wait?timeout=50s", "")
		c.Check(got.status, qt.Equals, http.StatusOK)
	})
	for answered.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	gateways[0].Drain()
	before := answered.Load()
	for answered.Load() < before+100 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	close(stop)
	callers.Wait()
	c.Assert(gateways[0].Shutdown(ctx), qt.IsNil)
	c.Assert(gateways[0].server.Config.Shutdown(ctx), qt.IsNil)
	c.Assert(failed.Load(), qt.Equals, int64(0))
}

func TestDrain(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	g.Drain()
	got := g.call(c, "", http.MethodGet, "/readyz", "")
	c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(g.call(c, "", http.MethodGet, "/healthz", "").status, qt.Equals, http.StatusOK)
}
