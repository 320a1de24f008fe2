package main_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// healthInterval is the time between two health checks of the balancer.
	healthInterval = 50 * time.Millisecond
	senders        = 8
)

// balancer sends requests to the entry VMs that pass their health check. It doesn't record
// a connection that can't be opened as a failure, because no request was sent.
type balancer struct {
	p        *processes
	ready    sync.Map      // *entry to bool: result of the last health check
	next     atomic.Uint64 // counter that selects the entry VMs in turn
	sent     atomic.Int64  // number of requests
	mu       sync.Mutex
	failures []string // descriptions of the failed requests
}

// startBalancer starts health checks and senders. The returned function stops them.
func (p *processes) startBalancer() (*balancer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{p: p}
	var group sync.WaitGroup
	for _, e := range p.entries {
		group.Go(func() { b.checkHealth(ctx, e) })
	}
	for range senders {
		group.Go(func() { b.send(ctx) })
	}
	return b, func() {
		cancel()
		group.Wait()
	}
}

// checkHealth checks the readiness of one entry VM until the context ends.
func (b *balancer) checkHealth(ctx context.Context, e *entry) {
	for ctx.Err() == nil {
		response, err := b.p.call(ctx, e, http.MethodGet, "/readyz", "", "", "")
		b.ready.Store(e, err == nil && response.status == http.StatusOK)
		time.Sleep(healthInterval)
	}
}

// nextReady returns the next entry VM that is ready, or nil if none is.
func (b *balancer) nextReady() *entry {
	for range len(b.p.entries) {
		e := b.p.entries[b.next.Add(1)%uint64(len(b.p.entries))]
		if ready, ok := b.ready.Load(e); ok && ready.(bool) {
			return e
		}
	}
	return nil
}

// send sends requests one after another and records each that fails.
func (b *balancer) send(ctx context.Context) {
	for ctx.Err() == nil {
		e := b.nextReady()
		if e == nil {
			time.Sleep(healthInterval)
			continue
		}
		id := fmt.Sprintf("roll-%d", b.sent.Add(1))
		response, err := b.p.call(context.Background(), e, http.MethodPost, "/v1/services/echo/book", b.p.fleet.Keys().Team(), id, id)
		var dial *net.OpError
		switch {
		case errors.As(err, &dial) && dial.Op == "dial":
		case err != nil:
			b.recordFailure("%s at %s: %v", id, e.id, err)
		case response.status != http.StatusOK || string(response.body) != id:
			b.recordFailure("%s at %s: %d %s", id, e.id, response.status, response.body)
		}
		time.Sleep(retryInterval / 10)
	}
}

func (b *balancer) recordFailure(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = append(b.failures, fmt.Sprintf(format, args...))
}

// TestRollingRestart replaces all certificates and restarts all nine entry VMs, one after
// another, under load. No request may fail.
func TestRollingRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	p := newProcesses(t, true)
	p.awaitOwners()
	p.awaitUrgent()
	b, stop := p.startBalancer()

	for _, e := range p.entries {
		before := p.serial(e)
		p.tlsFiles.issue(e.id)
		p.await("new certificate of "+e.id, func() bool { return p.serial(e) != before })
	}
	for _, e := range p.entries {
		p.terminate(e)
		p.start(e)
		p.await("readiness of "+e.id, func() bool {
			response, err := p.call(context.Background(), e, http.MethodGet, "/readyz", "", "", "")
			return err == nil && response.status == http.StatusOK
		})
	}
	stop()
	t.Logf("%d requests while certificates were replaced and nine entry VMs restarted, %d failed", b.sent.Load(), len(b.failures))
	p.c.Check(b.failures, qt.HasLen, 0)
	p.assertNoViolations()
}

// awaitUrgent waits until each entry VM serves an urgent request.
func (p *processes) awaitUrgent() {
	for _, e := range p.entries {
		var response apiResponse
		var err error
		p.c.Cleanup(func() {
			if err != nil || response.status != http.StatusOK {
				p.c.Logf("last response of %s: %d %s %v", e.id, response.status, response.body, err)
			}
		})
		p.await("response of "+e.id, func() bool {
			response, err = p.call(context.Background(), e, http.MethodPost, "/v1/services/echo/ready", p.fleet.Keys().Team(), "", "")
			return err == nil && response.status == http.StatusOK
		})
	}
}
