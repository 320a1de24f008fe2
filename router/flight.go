package router

import (
	"context"
	"sync"
	"time"
)

// quietPolls is the number of times that wait calls isQuiet in one quiet period.
const quietPolls = 10

// inFlight counts the requests being served, so that a shutdown can wait for them.
type inFlight struct {
	mu          sync.Mutex
	count       int            // requests being served, never negative
	lastArrival time.Time      // arrival of the latest request
	closed      bool           // set by close; enter then returns false
	next        int            // key of the next hook
	hooks       map[int]func() // run by close, to end long polls early
}

// enter counts a request. It returns false after close was called: the request is
// served, but its connection should be closed after it.
func (f *inFlight) enter(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	f.lastArrival = now
	return !f.closed
}

// leave removes a finished request from the count.
func (f *inFlight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
}

// onClose registers a hook that close calls, or calls it at once if close was called
// before. The returned function removes the hook.
func (f *inFlight) onClose(hook func()) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		hook()
		return func() {}
	}
	if f.hooks == nil {
		f.hooks = map[int]func(){}
	}
	key := f.next
	f.next++
	f.hooks[key] = hook
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.hooks, key)
	}
}

// close makes enter return false and calls the hooks. Only the first call has an
// effect.
func (f *inFlight) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	for _, hook := range f.hooks {
		hook()
	}
}

// wait returns nil when no request is in flight and none has arrived for the quiet
// period, or the error of ctx if that ends first.
func (f *inFlight) wait(ctx context.Context, quietPeriod time.Duration, now func() time.Time) error {
	ticker := time.NewTicker(max(quietPeriod/quietPolls, time.Millisecond))
	defer ticker.Stop()
	for !f.isQuiet(now().Add(-quietPeriod)) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// isQuiet reports whether no request is in flight and none has arrived after since.
func (f *inFlight) isQuiet(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count == 0 && !f.lastArrival.After(since)
}
