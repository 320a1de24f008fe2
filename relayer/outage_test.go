package relayer

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestOutage guards against watches that wait for their timeout after the store is back.
// When the store did not answer for 3 s, a watch sent in the last of these seconds kept the
// owner waiting for 1.3 s after the outage.
func TestOutage(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name          string
		lastAnswer    time.Duration // last answer before nextAnswer
		watchStart    time.Duration
		callFails     bool // whether a call fails between the answers
		nextAnswer    time.Duration
		wantCancelled bool // whether nextAnswer cancels the watch
	}{
		{"watch sent during an outage", second, 3 * second, true, 4 * second, true},
		{"no call fails", second, 3 * second, false, 4 * second, false},
		{"one answer lost", second, second + second/10, true, second + second/2, false},
		{"watch sent before the outage", 3 * second, 2 * second, true, 5 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			d := newOutageDetector()
			d.recordAnswer(test.lastAnswer)
			ctx, end := d.addWatch(context.Background(), test.watchStart)
			defer end()
			if test.callFails {
				d.recordFailure()
			}
			cancelled := d.recordAnswer(test.nextAnswer)
			c.Assert(cancelled > 0, quicktest.Equals, test.wantCancelled)
			c.Assert(ctx.Err() != nil, quicktest.Equals, test.wantCancelled)
		})
	}
	t.Run("an ended watch is not cancelled", func(t *testing.T) {
		d := newOutageDetector()
		_, end := d.addWatch(context.Background(), 2*second)
		end()
		d.recordFailure()
		quicktest.Assert(t, d.recordAnswer(4*second), quicktest.Equals, 0)
	})
}
