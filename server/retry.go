package server

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// ownerPatience is how long a call waits for a shard that changes its owner: a
	// hand-over takes much less, a takeover after a death more.
	ownerPatience = 1500 * time.Millisecond
	// takeBackTimeout bounds the recording of what became of a request.
	takeBackTimeout = 10 * time.Second
	// ownerPause is the first pause between two tries, ownerPauseMost the longest.
	ownerPause     = 10 * time.Millisecond
	ownerPauseMost = 200 * time.Millisecond
)

// retryOwner calls f until it returns nil or an error that may not be repeated, for
// ownerPatience at most or until ctx is done. It returns the last error of f.
func retryOwner(ctx context.Context, mayRepeat func(error) bool, f func() error) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = ownerPause, ownerPauseMost
	deadline := time.Now().Add(ownerPatience)
	for {
		err := f()
		if err == nil || !mayRepeat(err) {
			return err
		}
		pause := pauses.NextBackOff()
		if time.Now().Add(pause).After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}
