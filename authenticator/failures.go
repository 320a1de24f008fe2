package authenticator

import (
	"container/list"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits on wrong keys for each source.
const (
	// DefaultFailureRate is the wrong keys per second that a source may show.
	DefaultFailureRate = 1.0
	// DefaultFailureBurst is the wrong keys that a source may show at once.
	DefaultFailureBurst = 20
	// sourceLimit is the number of sources remembered; the one that failed
	// longest ago is forgotten first.
	sourceLimit = 4096
)

// failures limits the wrong keys of each source.
type failures struct {
	mu      sync.Mutex
	rate    rate.Limit
	burst   int
	sources map[string]*list.Element // of source to its element in order
	order   *list.List               // of *source, last failure first
}

// source is one remote host that has shown a wrong key.
type source struct {
	name    string
	limiter *rate.Limiter
}

// newFailures returns an empty table.
func newFailures(perSecond float64, burst int) *failures {
	return &failures{rate: rate.Limit(perSecond), burst: burst, sources: map[string]*list.Element{}, order: list.New()}
}

// blocked reports whether the source has no failure left. It spends none.
func (f *failures) blocked(name string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	element, ok := f.sources[name]
	return ok && element.Value.(*source).limiter.TokensAt(now) < 1
}

// add spends one failure of the source.
func (f *failures) add(name string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	element, ok := f.sources[name]
	if !ok {
		f.shrink()
		element = f.order.PushFront(&source{name: name, limiter: rate.NewLimiter(f.rate, f.burst)})
		f.sources[name] = element
	}
	f.order.MoveToFront(element)
	element.Value.(*source).limiter.AllowN(now, 1)
}

// shrink makes room for one more source.
func (f *failures) shrink() {
	if f.order.Len() < sourceLimit {
		return
	}
	last := f.order.Back()
	f.order.Remove(last)
	delete(f.sources, last.Value.(*source).name)
}
