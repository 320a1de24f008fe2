package authenticator

import (
	"container/list"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits on wrong keys for each source.
const (
	// DefaultFailureRate is the number of wrong keys per second that a source may send.
	DefaultFailureRate = 1.0
	// DefaultFailureBurst is the number of wrong keys that a source may send at once.
	DefaultFailureBurst = 20
	// maxSources is the number of sources that are limited at the same time. Beyond it,
	// the source whose last failure is oldest is forgotten.
	maxSources = 4096
)

// failureLimiter limits the wrong keys of each source by a token bucket.
type failureLimiter struct {
	mu      sync.Mutex
	rate    rate.Limit
	burst   int
	sources map[string]*list.Element // elements of order, by host of the source
	order   *list.List               // of *source, latest failure first
}

// source is a remote host that has sent a wrong key.
type source struct {
	name    string
	limiter *rate.Limiter
}

// newFailureLimiter returns a limiter without sources.
func newFailureLimiter(perSecond float64, burst int) *failureLimiter {
	return &failureLimiter{rate: rate.Limit(perSecond), burst: burst, sources: map[string]*list.Element{}, order: list.New()}
}

// blocked reports whether the source has no token left, without taking one.
func (f *failureLimiter) blocked(name string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	element, ok := f.sources[name]
	return ok && element.Value.(*source).limiter.TokensAt(now) < 1
}

// add takes one token for a failure of the source.
func (f *failureLimiter) add(name string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	element, ok := f.sources[name]
	if !ok {
		f.evictOldest()
		element = f.order.PushFront(&source{name: name, limiter: rate.NewLimiter(f.rate, f.burst)})
		f.sources[name] = element
	}
	f.order.MoveToFront(element)
	element.Value.(*source).limiter.AllowN(now, 1)
}

// evictOldest evicts the source whose last failure is oldest, if there are maxSources.
func (f *failureLimiter) evictOldest() {
	if f.order.Len() < maxSources {
		return
	}
	last := f.order.Back()
	f.order.Remove(last)
	delete(f.sources, last.Value.(*source).name)
}
