package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of retries.
const (
	retryRatio   = 0.1  // retries allowed for each request
	retryReserve = 50.0 // retries that can be saved up
	retryLimit   = 2    // retries of one request
	retryDelay   = 10 * time.Millisecond
)

// budget bounds retries to a part of the requests, so that they can't multiply
// the load of a failing fleet.
type budget struct {
	mu     sync.Mutex
	tokens float64 // from 0 to retryReserve
}

// newBudget returns a full budget.
func newBudget() *budget { return &budget{tokens: retryReserve} }

// earn adds what one request allows.
func (b *budget) earn() {
	b.mu.Lock()
	b.tokens = min(b.tokens+retryRatio, retryReserve)
	b.mu.Unlock()
}

// spend takes one retry and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// pause waits a random time that grows with the attempt, or until ctx is done.
func pause(ctx context.Context, attempt int) error {
	bound := int64(retryDelay) << attempt
	timer := time.NewTimer(time.Duration(rand.Int64N(bound))) //nolint:gosec // Jitter needs no secrecy.
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
