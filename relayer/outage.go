package relayer

import (
	"context"
	"sync"
	"time"
)

// minOutage is the shortest time without an answered call that counts as an outage. It
// keeps a single lost answer from counting as one.
const minOutage = 600 * time.Millisecond

// outageDetector detects the end of an outage of the store and then cancels the watches
// that were sent during it. Such a watch gets no answer and would wait for its timeout.
// The owner of the fleet may not act until its own watches are answered.
type outageDetector struct {
	mu         sync.Mutex
	lastAnswer time.Duration // when the last answer came
	failed     bool          // whether a call has failed since lastAnswer
	watches    map[*pendingWatch]struct{}
}

// pendingWatch is a watch in flight.
type pendingWatch struct {
	startedAt time.Duration
	cancel    context.CancelFunc
}

func newOutageDetector() outageDetector { return outageDetector{watches: map[*pendingWatch]struct{}{}} }

// addWatch returns the context for a watch that starts now, and a function to call when
// it ends.
func (d *outageDetector) addWatch(ctx context.Context, now time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	w := &pendingWatch{now, cancel}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches[w] = struct{}{}
	return ctx, func() {
		cancel()
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.watches, w)
	}
}

// cancelWatches cancels all watches in flight and returns their number.
func (d *outageDetector) cancelWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.watches)
	for w := range d.watches {
		w.cancel()
	}
	clear(d.watches)
	return n
}

// recordFailure records that a call failed without an answer of the store.
func (d *outageDetector) recordFailure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = true
}

// recordAnswer records that the store answered a call. If this ends an outage, it
// cancels the watches that were sent during the outage and returns their number.
func (d *outageDetector) recordAnswer(now time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	cancelled := 0
	if d.failed && now-d.lastAnswer >= minOutage {
		for w := range d.watches {
			if w.startedAt > d.lastAnswer {
				w.cancel()
				cancelled++
			}
		}
	}
	d.lastAnswer, d.failed = now, false
	return cancelled
}
