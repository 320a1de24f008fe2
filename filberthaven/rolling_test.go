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
	// healthPause is the time between two health checks of the balancer.
	healthPause = 50 * time.Millisecond
	senders     = 8
)

// balancer sends requests to entry VMs that answer their health check. A
// connection that is refused is tried at the next one, as nothing was sent.
type balancer struct {
	p        *processes
	ready    sync.Map // of *entry to bool
	next     atomic.Uint64
	sent     atomic.Int64
	mu       sync.Mutex
	failures []string
}

// startBalancer starts health checks and senders until the function returned is
// called.
func (p *processes) startBalancer() (*balancer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{p: p}
	var group sync.WaitGroup
	for _, e := range p.entries {
		group.Go(func() { b.check(ctx, e) })
	}
	for range senders {
		group.Go(func() { b.send(ctx) })
	}
	return b, func() {
		cancel()
		group.Wait()
	}
}

// check asks one entry VM for its readiness.
func (b *balancer) check(ctx context.Context, e *entry) {
	for ctx.Err() == nil {
		answer, err := b.p.call(ctx, e, http.MethodGet, "/readyz", "", "", "")
		b.ready.Store(e, err == nil && answer.status == http.StatusOK)
		time.Sleep(healthPause)
	}
}

// choose returns the next entry VM that is ready.
func (b *balancer) choose() *entry {
	for range len(b.p.entries) {
		e := b.p.entries[b.next.Add(1)%uint64(len(b.p.entries))]
		if ready, ok := b.ready.Load(e); ok && ready.(bool) {
			return e
		}
	}
	return nil
}

// send sends requests one after the other and notes each that fails.
func (b *balancer) send(ctx context.Context) {
	for ctx.Err() == nil {
		e := b.choose()
		if e == nil {
			time.Sleep(healthPause)
			continue
		}
		id := fmt.Sprintf("roll-%d", b.sent.Add(1))
		answer, err := b.p.call(context.Background(), e, http.MethodPost, "/v1/services/echo/book", b.p.fleet.Keys().Team(), id, id)
		var dial *net.OpError
		switch {
		case errors.As(err, &dial) && dial.Op == "dial":
		case err != nil:
			b.fail("%s at %s: %v", id, e.id, err)
		case answer.status != http.StatusOK || string(answer.body) != id:
			b.fail("%s at %s: %d %s", id, e.id, answer.status, answer.body)
		}
		time.Sleep(retryPause / 10)
	}
}

func (b *balancer) fail(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = append(b.failures, fmt.Sprintf(format, args...))
}

// TestRollingRestart changes all certificates and restarts all nine entry VMs one
// after the other under load.
func TestRollingRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	p := newProcesses(t, true)
	p.awaitOwners()
	p.awaitAnswers()
	b, stop := p.startBalancer()

	for _, e := range p.entries {
		before := p.serial(e)
		p.secure.issue(e.id)
		p.await("new certificate of "+e.id, func() bool { return p.serial(e) != before })
	}
	for _, e := range p.entries {
		p.terminate(e)
		p.start(e)
		p.await("readiness of "+e.id, func() bool {
			answer, err := p.call(context.Background(), e, http.MethodGet, "/readyz", "", "", "")
			return err == nil && answer.status == http.StatusOK
		})
	}
	stop()
	t.Logf("%d requests during a change of certificates and nine restarts, %d failed", b.sent.Load(), len(b.failures))
	p.c.Check(b.failures, qt.HasLen, 0)
	p.assertPromises()
}

// awaitAnswers waits until each entry VM answers an urgent request.
func (p *processes) awaitAnswers() {
	for _, e := range p.entries {
		var answer reply
		var err error
		p.c.Cleanup(func() {
			if err != nil || answer.status != http.StatusOK {
				p.c.Logf("last answer of %s: %d %s %v", e.id, answer.status, answer.body, err)
			}
		})
		p.await("answer of "+e.id, func() bool {
			answer, err = p.call(context.Background(), e, http.MethodPost, "/v1/services/echo/ready", p.fleet.Keys().Team(), "", "")
			return err == nil && answer.status == http.StatusOK
		})
	}
}
