package relayer

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestOutage guards against watches that wait for their timeout after the store is back.
// When the store did not answer for 3 s, a watch sent in the last second waited 1.3 s longer
// than the outage, and the owner with it.
func TestOutage(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name     string
		answered time.Duration // last answer before the watch
		started  time.Duration // start of the watch
		fails    bool          // whether a call fails during the watch
		next     time.Duration // next answer
		want     bool          // whether the watch is cancelled
	}{
		{"watch sent during an outage", second, 3 * second, true, 4 * second, true},
		{"no call fails", second, 3 * second, false, 4 * second, false},
		{"one answer lost", second, second + second/10, true, second + second/2, false},
		{"watch sent before the outage", 3 * second, 2 * second, true, 5 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			d := newOutageDetector()
			d.recordAnswer(test.answered)
			ctx, end := d.addWatch(context.Background(), test.started)
			defer end()
			if test.fails {
				d.recordFailure()
			}
			cancelled := d.recordAnswer(test.next)
			c.Assert(cancelled > 0, quicktest.Equals, test.want)
			c.Assert(ctx.Err() != nil, quicktest.Equals, test.want)
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
