package relayer

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestSilence replays a store that is silent for three seconds: a watch sent in the
// last of them waited 1.3 s more for its time to run out, and the owner with it.
func TestSilence(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name     string
		answered time.Duration // newest answer before the watch
		begun    time.Duration // of the watch
		fails    bool          // whether a call fails after that
		again    time.Duration // next answer
		want     bool          // whether the watch is cancelled
	}{
		{"sent into the silence", second, 3 * second, true, 4 * second, true},
		{"no call failed", second, 3 * second, false, 4 * second, false},
		{"one answer lost", second, second + second/10, true, second + second/2, false},
		{"begun before", 3 * second, 2 * second, true, 5 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newSilence()
			s.answer(test.answered)
			ctx, end := s.watch(context.Background(), test.begun)
			defer end()
			if test.fails {
				s.fail()
			}
			cancelled := s.answer(test.again)
			c.Assert(cancelled > 0, quicktest.Equals, test.want)
			c.Assert(ctx.Err() != nil, quicktest.Equals, test.want)
		})
	}
	t.Run("a watch that has ended is forgotten", func(t *testing.T) {
		s := newSilence()
		_, end := s.watch(context.Background(), 2*second)
		end()
		s.fail()
		quicktest.Assert(t, s.answer(4*second), quicktest.Equals, 0)
	})
}
