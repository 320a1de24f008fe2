package router

import (
	"context"
	"sync"
)

// inFlight counts the requests being served and tells when the last has ended
// after closing.
type inFlight struct {
	mu     sync.Mutex
	count  int            // requests being served, never negative
	closed bool           // new requests end their connections
	idle   chan struct{}  // closed when closed is set and count is 0; nil before close
	next   int            // key of the next hook
	hooks  map[int]func() // run once by close, to end long polls early
}

// enter counts a request. It returns false after close: the request is served,
// and the connection should end with it.
func (f *inFlight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	return !f.closed
}

// leave ends a request.
func (f *inFlight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.settle()
}

// settle closes idle when nothing is left. The lock is held.
func (f *inFlight) settle() {
	if f.idle == nil || f.count > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
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
	f.idle = make(chan struct{})
	for _, hook := range f.hooks {
		hook()
	}
	f.settle()
}

// wait returns when no request is left, or the error of ctx.
func (f *inFlight) wait(ctx context.Context) error {
	f.mu.Lock()
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
