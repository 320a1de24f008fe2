package receiver

import (
	"sync"
	"time"
)

// probeInterval is the time between two requests from this VM to an owner that does
// not serve yet. The requests of 29 VMs then take 2% of a 10 Mbit/s link.
const probeInterval = 100 * time.Millisecond

// breaker is a circuit breaker for requests to the owner. While the owner is
// unreachable or not ready, it lets one request pass per probeInterval. Otherwise the
// repeated requests of all VMs overload the link of a new owner on a small VM, which
// reads the journal at that time.
type breaker struct {
	mu        sync.Mutex
	term      uint64        // of the owner that the other fields describe
	open      bool          // the owner has not served a request since openedAt
	openedAt  time.Duration // when the breaker opened; set while open
	nextProbe time.Duration // when the next request may pass; set while open
}

// allow reports whether a request may go to the owner of a term. While the breaker
// is open, a request that passes delays the next one by probeInterval.
func (b *breaker) allow(term uint64, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.term != term || !b.open {
		return true
	}
	if now < b.nextProbe {
		return false
	}
	b.nextProbe = now + probeInterval
	return true
}

// record closes the breaker if the owner of a term served a request and opens it if not.
// It ignores owners of earlier terms.
func (b *breaker) record(term uint64, served bool, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case term < b.term:
	case served:
		b.term, b.open = term, false
	case b.term != term || !b.open:
		b.term, b.open, b.openedAt, b.nextProbe = term, true, now, now+probeInterval
	}
}

// openFor returns how long the breaker has been open for the owner of a term, or 0 if
// it is closed.
func (b *breaker) openFor(term uint64, now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.term != term || !b.open {
		return 0
	}
	return now - b.openedAt
}
