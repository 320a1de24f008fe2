package relayer

import (
	"context"
	"sync"
	"time"
)

// silenceSpan is how long no call has to be answered for the store to count as
// silent; single answers that are lost are no silence.
const silenceSpan = 600 * time.Millisecond

// silence notices that the store answers again after it was silent. Watches that
// were sent into the silence hear nothing of that: each would wait for its time to
// run out, and the owner may do nothing before its watches are answered.
type silence struct {
	mu       sync.Mutex
	answered time.Duration // when the newest call was answered
	failed   bool          // a call has failed since
	watches  map[*sent]struct{}
}

// sent is a watch that is out.
type sent struct {
	begun  time.Duration
	cancel context.CancelFunc
}

func newSilence() silence { return silence{watches: map[*sent]struct{}{}} }

// watch returns the context for a watch that begins now, and what ends it.
func (s *silence) watch(ctx context.Context, now time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	w := &sent{now, cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[w] = struct{}{}
	return ctx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watches, w)
	}
}

// fail notes that a call got no answer.
func (s *silence) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
}

// answer notes that a call was answered, and cancels the watches that were sent
// into a silence before it. It returns how many.
func (s *silence) answer(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	if s.failed && now-s.answered >= silenceSpan {
		for w := range s.watches {
			if w.begun > s.answered {
				w.cancel()
				n++
			}
		}
	}
	s.answered, s.failed = now, false
	return n
}
