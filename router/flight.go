package router

import (
	"context"
	"sync"
	"time"
)

// quietChecks is how often in a quiet time it is looked whether it is over.
const quietChecks = 10

// inFlight counts the requests being served and tells when they have ended after
// closing.
type inFlight struct {
	mu     sync.Mutex
	count  int            // requests being served, never negative
	last   time.Time      // when the last request came
	closed bool           // new requests end their connections
	next   int            // key of the next hook
	hooks  map[int]func() // run once by close, to end long polls early
}

// enter counts a request. It returns false after close: the request is served,
// and the connection should end with it.
func (f *inFlight) enter(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	f.last = now
	return !f.closed
}

// leave ends a request.
func (f *inFlight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
}

// onClose has hook called when close is; the function returned undoes that.
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

// close marks the end of keep-alive connections and ends long polls.
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

// wait returns when no request is left and none has come for the quiet time, or
// the error of ctx.
func (f *inFlight) wait(ctx context.Context, quiet time.Duration, now func() time.Time) error {
	ticker := time.NewTicker(max(quiet/quietChecks, time.Millisecond))
	defer ticker.Stop()
	for !f.isQuiet(now().Add(-quiet)) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// isQuiet reports whether no request is left and none has come since then.
func (f *inFlight) isQuiet(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count == 0 && !f.last.After(since)
}
