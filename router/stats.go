package router

import (
	"sync/atomic"
	"time"
)

// Decision tells how one urgent request ended.
type Decision struct {
	service, team, executor string // empty where not known
	status                  int    // of the answer
	outcome                 Outcome
	duration                time.Duration // from the whole header to the end of the answer
}

// Service returns the service asked for.
func (d Decision) Service() string { return d.service }

// Team returns the caller's team.
func (d Decision) Team() string { return d.team }

// Executor returns the executor last chosen here, empty if there was none.
func (d Decision) Executor() string { return d.executor }

// Status returns the HTTP status of the answer.
func (d Decision) Status() int { return d.status }

// Outcome returns what became of the request.
func (d Decision) Outcome() Outcome { return d.outcome }

// Duration returns the time from the request's header to the end of the answer.
func (d Decision) Duration() time.Duration { return d.duration }

// Stats counts urgent requests since the start.
type Stats struct {
	ran, notRun, unknown, retries, forwarded, crossed atomic.Int64
}

// count adds one request.
func (s *Stats) count(decision Decision) {
	switch decision.outcome {
	case Ran:
		s.ran.Add(1)
	case NotRun:
		s.notRun.Add(1)
	case Unknown:
		s.unknown.Add(1)
	}
}

// Ran returns the requests answered by an executor.
func (s *Stats) Ran() int64 { return s.ran.Load() }

// NotRun returns the requests refused.
func (s *Stats) NotRun() int64 { return s.notRun.Load() }

// Unknown returns the requests whose outcome is not known.
func (s *Stats) Unknown() int64 { return s.unknown.Load() }

// Retries returns the tries after the first of a request.
func (s *Stats) Retries() int64 { return s.retries.Load() }

// Forwarded returns the requests passed to other data centres.
func (s *Stats) Forwarded() int64 { return s.forwarded.Load() }

// Mismatched returns the answers discarded as another request's.
func (s *Stats) Mismatched() int64 { return s.crossed.Load() }
