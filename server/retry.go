package server

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// ownerRetryTimeout is how long a call is retried while its shard has no owner. A
	// hand-over takes much less; a takeover after the death of the owner takes longer, so
	// that the call fails.
	ownerRetryTimeout = 1500 * time.Millisecond
	// settleTimeout limits the attempts to record the outcome of a claimed request or to
	// release its claim.
	settleTimeout = 10 * time.Second
	// ownerMinBackoff and ownerMaxBackoff bound the back-off between two attempts.
	ownerMinBackoff = 10 * time.Millisecond
	ownerMaxBackoff = 200 * time.Millisecond
)

// retryOwner calls f until it returns nil or an error that is not retryable, until
// ownerRetryTimeout has passed, or until ctx is done. It returns the last error of f.
func retryOwner(ctx context.Context, retryable func(error) bool, f func() error) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = ownerMinBackoff, ownerMaxBackoff
	deadline := time.Now().Add(ownerRetryTimeout)
	for {
		err := f()
		if err == nil || !retryable(err) {
			return err
		}
		delay := delays.NextBackOff()
		if time.Now().Add(delay).After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
		}
	}
}
