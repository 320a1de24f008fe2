package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Settings of ejection.
const (
	failureLimit   = 5 // failures in a row
	ejectionTime   = 5 * time.Second
	ejectionLimit  = 2 * time.Minute
	probeTime      = 30 * time.Second // a probe without a report by then is forgotten
	sampleMinimum  = 20               // answers before a latency counts
	latencyFactor  = 4                // times the median of the service
	latencyFloor   = 50 * time.Millisecond
	latencyWeight  = 0.1 // of a new answer in the moving average
	reviewInterval = time.Second
	medianMinimum  = 3 // executors; fewer have no meaningful median
	// memberIdle is after what time without a report an executor no longer
	// counts as part of its service.
	memberIdle = 10 * time.Minute
)

// Ejector keeps work from executors that fail or answer far slower than the
// others of their service. At most half of a service is ejected.
type Ejector struct {
	now      func() time.Time
	logger   hclog.Logger
	services sync.Map // of name to *fleet
}

// fleet is the executors of one service.
type fleet struct {
	ejected  atomic.Int32 // members ejected or probed
	names    sync.Map     // keys of members, to see without the lock
	mu       sync.Mutex
	members  map[string]*member
	reviewed time.Time // of the last comparison of latencies
}

// member is what is known of one executor.
type member struct {
	failures int           // in a row
	samples  int           // successful answers since the last ejection
	latency  time.Duration // moving average of successful answers
	seen     time.Time     // of the last report, or when it was first known
	until    time.Time     // end of the ejection; zero when not ejected
	probed   time.Time     // start of the probe; zero when there is none
	times    int           // ejections without a long healthy time between
	returned time.Time     // end of the last ejection; zero when there was none
}

// EjectorOption changes an Ejector under construction.
type EjectorOption func(*Ejector)

// WithEjectorClock sets the clock.
func WithEjectorClock(now func() time.Time) EjectorOption {
	return func(e *Ejector) { e.now = now }
}

// WithEjectorLogger sets where ejections are logged.
func WithEjectorLogger(logger hclog.Logger) EjectorOption {
	return func(e *Ejector) { e.logger = logger }
}

// NewEjector returns an Ejector changed by the options.
func NewEjector(options ...EjectorOption) *Ejector {
	e := &Ejector{now: time.Now, logger: hclog.NewNullLogger()}
	for _, option := range options {
		option(e)
	}
	return e
}

// fleetOf returns the executors of a service.
func (e *Ejector) fleetOf(service string) *fleet {
	if known, ok := e.services.Load(service); ok {
		return known.(*fleet)
	}
	known, _ := e.services.LoadOrStore(service, &fleet{members: map[string]*member{}})
	return known.(*fleet)
}

// Avoid reports whether the executor should get no request now. It is false
// again when the ejection has ended and no probe is under way.
func (e *Ejector) Avoid(service, executor string) bool {
	f := e.fleetOf(service)
	_, known := f.names.Load(executor)
	if known && f.ejected.Load() == 0 {
		return false
	}
	now := e.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.member(executor, now)
	if m.until.IsZero() {
		return false
	}
	return now.Before(m.until) || now.Sub(m.probed) < probeTime
}

// Begin tells that a request goes to the executor; it becomes the probe if the
// executor is ejected.
func (e *Ejector) Begin(service, executor string) {
	f := e.fleetOf(service)
	if f.ejected.Load() == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[executor]; ok && !m.until.IsZero() {
		m.probed = e.now()
	}
}

// Report tells how a request to the executor ended.
func (e *Ejector) Report(service, executor string, ok bool, latency time.Duration) {
	f := e.fleetOf(service)
	now := e.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.member(executor, now)
	m.seen = now
	if !ok {
		e.failed(f, m, service, executor, now)
		return
	}
	e.succeeded(f, m, service, executor, latency, now)
	if now.Sub(f.reviewed) >= reviewInterval {
		f.reviewed = now
		e.review(f, service, now)
	}
}

// Forget drops the executor, for one that has left the service.
func (e *Ejector) Forget(service, executor string) {
	f := e.fleetOf(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drop(executor)
}

// Ejected returns the executors of the service that are ejected, in order.
func (e *Ejector) Ejected(service string) []string {
	f := e.fleetOf(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name, m := range f.members {
		if !m.until.IsZero() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// member returns the executor's state, new on first use. The lock is held.
func (f *fleet) member(executor string, now time.Time) *member {
	m, ok := f.members[executor]
	if !ok {
		m = &member{seen: now}
		f.members[executor] = m
		f.names.Store(executor, nil)
	}
	return m
}

// drop removes a member. The lock is held.
func (f *fleet) drop(executor string) {
	if m, ok := f.members[executor]; ok && !m.until.IsZero() {
		f.ejected.Add(-1)
	}
	delete(f.members, executor)
	f.names.Delete(executor)
}

// failed counts a failure. The lock is held.
func (e *Ejector) failed(f *fleet, m *member, service, executor string, now time.Time) {
	m.failures++
	if !m.until.IsZero() {
		if !m.probed.IsZero() {
			e.eject(f, m, service, executor, "probe failed", now)
		}
		return
	}
	if m.failures >= failureLimit {
		e.eject(f, m, service, executor, "failures", now)
	}
}

// succeeded counts an answer and ends an ejection whose probe it was. The lock
// is held.
func (e *Ejector) succeeded(f *fleet, m *member, service, executor string, latency time.Duration, now time.Time) {
	m.failures = 0
	if !m.until.IsZero() {
		if m.probed.IsZero() {
			return // It was sent before the ejection and tells nothing new.
		}
		m.until, m.probed, m.returned = time.Time{}, time.Time{}, now
		m.samples, m.latency = 0, 0
		f.ejected.Add(-1)
		e.logger.Info("executor returned", "service", service, "executor", executor)
		return
	}
	m.samples++
	if m.samples == 1 {
		m.latency = latency
	}
	m.latency += time.Duration(latencyWeight * float64(latency-m.latency))
}

// review ejects members that are far slower than the median, and forgets those
// not heard of. The lock is held.
func (e *Ejector) review(f *fleet, service string, now time.Time) {
	var latencies []time.Duration
	for name, m := range f.members {
		if now.Sub(m.seen) > memberIdle {
			f.drop(name)
			continue
		}
		if m.samples >= sampleMinimum && m.until.IsZero() {
			latencies = append(latencies, m.latency)
		}
	}
	if len(latencies) < medianMinimum {
		return
	}
	slices.Sort(latencies)
	bound := max(latencies[len(latencies)/2]*latencyFactor, latencyFloor)
	for name, m := range f.members {
		if m.until.IsZero() && m.samples >= sampleMinimum && m.latency > bound {
			e.eject(f, m, service, name, "slow", now)
		}
	}
}

// eject starts or prolongs an ejection, unless half of the service is out
// already. The lock is held.
func (e *Ejector) eject(f *fleet, m *member, service, executor, reason string, now time.Time) {
	if m.until.IsZero() {
		if 2*(int(f.ejected.Load())+1) > len(f.members) {
			return
		}
		f.ejected.Add(1)
		if now.Sub(m.returned) > ejectionLimit {
			m.times = 0
		}
	}
	length := min(ejectionTime<<min(m.times, 8), ejectionLimit)
	length += time.Duration(rand.Int64N(int64(length) / 10)) //nolint:gosec // Jitter needs no secrecy.
	m.times++
	m.failures, m.samples = 0, 0
	m.until, m.probed = now.Add(length), time.Time{}
	e.logger.Warn("executor ejected", "service", service, "executor", executor, "reason", reason, "time", length)
}
