package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of retries.
const (
	retryRatio      = 0.1                   // tokens that each request adds
	maxRetryTokens  = 50.0                  // most tokens in the budget
	maxRetries      = 2                     // of one request
	firstRetryDelay = 10 * time.Millisecond // upper limit of the first back-off; doubles with each retry
)

// retryBudget is a token bucket that limits retries to a fraction of the requests, so
// that retries can't multiply the load on failing executors.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64 // from 0 to maxRetryTokens; a retry takes one
}

// newRetryBudget returns a full budget.
func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// deposit adds the tokens of one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
	b.mu.Unlock()
}

// withdraw takes the token of one retry and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backOff waits for a random time whose upper limit doubles with each attempt. It
// returns the error of ctx if that ends first.
func backOff(ctx context.Context, attempt int) error {
	limit := int64(firstRetryDelay) << attempt
	timer := time.NewTimer(time.Duration(rand.Int64N(limit))) //nolint:gosec // Jitter needs no secrecy.
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
