package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Limits and times of ejections.
const (
	maxFailures           = 5                     // failures in a row that cause an ejection
	minEjectionTime       = 5 * time.Second       // doubles with each consecutive ejection
	maxEjectionTime       = 2 * time.Minute       // before jitter
	probeTimeout          = 30 * time.Second      // a probe without a report by then is ignored
	minSamples            = 20                    // successful responses before a latency counts
	latencyFactor         = 4                     // latency limit, in multiples of the service's median
	minLatencyLimit       = 50 * time.Millisecond // lowest latency limit
	latencyWeight         = 0.1                   // weight of a new response in the moving average
	reviewInterval        = time.Second           // between comparisons of latencies
	minExecutorsForMedian = 3                     // executors; fewer have no meaningful median
	// executorIdleTimeout is the time without a report after which an executor no
	// longer counts as part of its service.
	executorIdleTimeout = 10 * time.Minute
)

// Ejector keeps requests away from executors that fail or that respond far slower
// than the others of their service. It ejects no executor if more than half of the
// service would then be ejected.
type Ejector struct {
	now      func() time.Time
	logger   hclog.Logger
	services sync.Map // service name to *serviceExecutors
}

// serviceExecutors tracks the health of the executors of one service.
type serviceExecutors struct {
	ejected    atomic.Int32 // number of executors ejected, including those being probed
	known      sync.Map     // the keys of byID, readable without mu
	mu         sync.Mutex   // guards the fields below
	byID       map[string]*executorHealth
	lastReview time.Time // time of the last comparison of latencies
}

// executorHealth holds the recent results of one executor.
type executorHealth struct {
	failures     int           // in a row
	samples      int           // successful responses since the last ejection
	latency      time.Duration // moving average of successful responses
	lastReport   time.Time     // time of the last report; at first the time when the executor was added
	ejectedUntil time.Time     // earliest time of a probe; zero when not ejected
	probeStart   time.Time     // start of the probe; zero when not probed
	ejections    int           // ejections in a row, each at most maxEjectionTime after the last reinstatement
	reinstated   time.Time     // end of the last ejection; zero when never ejected
}

// EjectorOption configures an Ejector.
type EjectorOption func(*Ejector)

// WithEjectorClock sets the function that returns the current time.
func WithEjectorClock(now func() time.Time) EjectorOption {
	return func(e *Ejector) { e.now = now }
}

// WithEjectorLogger sets the logger.
func WithEjectorLogger(logger hclog.Logger) EjectorOption {
	return func(e *Ejector) { e.logger = logger }
}

// NewEjector returns an Ejector configured by the options.
func NewEjector(options ...EjectorOption) *Ejector {
	e := &Ejector{now: time.Now, logger: hclog.NewNullLogger()}
	for _, option := range options {
		option(e)
	}
	return e
}

// executorsOf returns the service's executors; it adds the service if it is new.
func (e *Ejector) executorsOf(service string) *serviceExecutors {
	if existing, ok := e.services.Load(service); ok {
		return existing.(*serviceExecutors)
	}
	existing, _ := e.services.LoadOrStore(service, &serviceExecutors{byID: map[string]*executorHealth{}})
	return existing.(*serviceExecutors)
}

// Avoid reports whether the executor should get no request now. For an ejected
// executor it returns false once the ejection time is over and no probe is in flight,
// so that the next request becomes the probe. A new executor is added to its service.
func (e *Ejector) Avoid(service, executor string) bool {
	s := e.executorsOf(service)
	_, known := s.known.Load(executor)
	if known && s.ejected.Load() == 0 {
		return false
	}
	now := e.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.health(executor, now)
	if h.ejectedUntil.IsZero() {
		return false
	}
	return now.Before(h.ejectedUntil) || now.Sub(h.probeStart) < probeTimeout
}

// Begin records that a request is being sent to the executor. If the executor is
// ejected, the request is its probe.
func (e *Ejector) Begin(service, executor string) {
	s := e.executorsOf(service)
	if s.ejected.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.byID[executor]; ok && !h.ejectedUntil.IsZero() {
		h.probeStart = e.now()
	}
}

// Report records how a request to the executor ended.
func (e *Ejector) Report(service, executor string, ok bool, latency time.Duration) {
	s := e.executorsOf(service)
	now := e.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.health(executor, now)
	h.lastReport = now
	if !ok {
		e.recordFailure(s, h, service, executor, now)
		return
	}
	e.recordSuccess(s, h, service, executor, latency, now)
	if now.Sub(s.lastReview) >= reviewInterval {
		s.lastReview = now
		e.ejectSlow(s, service, now)
	}
}

// Forget removes an executor that has left the service.
func (e *Ejector) Forget(service, executor string) {
	s := e.executorsOf(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(executor)
}

// Ejected returns the ids of the ejected executors of the service, sorted.
func (e *Ejector) Ejected(service string) []string {
	s := e.executorsOf(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for executor, h := range s.byID {
		if !h.ejectedUntil.IsZero() {
			ids = append(ids, executor)
		}
	}
	slices.Sort(ids)
	return ids
}

// health returns the health of an executor and adds it if it is new. The caller holds
// mu.
func (s *serviceExecutors) health(executor string, now time.Time) *executorHealth {
	h, ok := s.byID[executor]
	if !ok {
		h = &executorHealth{lastReport: now}
		s.byID[executor] = h
		s.known.Store(executor, nil)
	}
	return h
}

// remove removes an executor. The caller holds mu.
func (s *serviceExecutors) remove(executor string) {
	if h, ok := s.byID[executor]; ok && !h.ejectedUntil.IsZero() {
		s.ejected.Add(-1)
	}
	delete(s.byID, executor)
	s.known.Delete(executor)
}

// recordFailure counts a failure. It ejects the executor after maxFailures in a row, and
// prolongs the ejection after a failed probe. The caller holds mu.
func (e *Ejector) recordFailure(s *serviceExecutors, h *executorHealth, service, executor string, now time.Time) {
	h.failures++
	if !h.ejectedUntil.IsZero() {
		if !h.probeStart.IsZero() {
			e.eject(s, h, service, executor, "probe failed", now)
		}
		return
	}
	if h.failures >= maxFailures {
		e.eject(s, h, service, executor, "failures", now)
	}
}

// recordSuccess counts a successful response and reinstates the executor if the
// response was to its probe. The caller holds mu.
func (e *Ejector) recordSuccess(s *serviceExecutors, h *executorHealth, service, executor string, latency time.Duration, now time.Time) {
	h.failures = 0
	if !h.ejectedUntil.IsZero() {
		if h.probeStart.IsZero() {
			return // The request was sent before the ejection.
		}
		h.ejectedUntil, h.probeStart, h.reinstated = time.Time{}, time.Time{}, now
		h.samples, h.latency = 0, 0
		s.ejected.Add(-1)
		e.logger.Info("executor reinstated", "service", service, "executor", executor)
		return
	}
	h.samples++
	if h.samples == 1 {
		h.latency = latency
	}
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
}

// ejectSlow ejects executors that are far slower than the median of their service, and
// removes those without a report for executorIdleTimeout. The caller holds mu.
func (e *Ejector) ejectSlow(s *serviceExecutors, service string, now time.Time) {
	var latencies []time.Duration
	for executor, h := range s.byID {
		if now.Sub(h.lastReport) > executorIdleTimeout {
			s.remove(executor)
			continue
		}
		if h.samples >= minSamples && h.ejectedUntil.IsZero() {
			latencies = append(latencies, h.latency)
		}
	}
	if len(latencies) < minExecutorsForMedian {
		return
	}
	slices.Sort(latencies)
	limit := max(latencies[len(latencies)/2]*latencyFactor, minLatencyLimit)
	for executor, h := range s.byID {
		if h.ejectedUntil.IsZero() && h.samples >= minSamples && h.latency > limit {
			e.eject(s, h, service, executor, "slow", now)
		}
	}
}

// eject starts or prolongs an ejection. It starts none if more than half of the service
// would then be ejected. The caller holds mu.
func (e *Ejector) eject(s *serviceExecutors, h *executorHealth, service, executor, reason string, now time.Time) {
	if h.ejectedUntil.IsZero() {
		if 2*(int(s.ejected.Load())+1) > len(s.byID) {
			return
		}
		s.ejected.Add(1)
		if now.Sub(h.reinstated) > maxEjectionTime {
			h.ejections = 0
		}
	}
	period := min(minEjectionTime<<min(h.ejections, 8), maxEjectionTime)
	period += time.Duration(rand.Int64N(int64(period) / 10)) //nolint:gosec // Jitter needs no secrecy.
	h.ejections++
	h.failures, h.samples = 0, 0
	h.ejectedUntil, h.probeStart = now.Add(period), time.Time{}
	e.logger.Warn("executor ejected", "service", service, "executor", executor, "reason", reason, "time", period)
}
