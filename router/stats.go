package router

import (
	"sync/atomic"
	"time"
)

// Decision describes how one urgent request ended.
type Decision struct {
	service, team, executor string // each empty if unknown
	status                  int    // HTTP status of the response
	outcome                 Outcome
	duration                time.Duration // from the complete header to the end of the response
}

// Service returns the requested service.
func (d Decision) Service() string { return d.service }

// Team returns the caller's team, empty if the request failed before it was known.
func (d Decision) Team() string { return d.team }

// Executor returns the executor of the last attempt, empty if this process made
// none.
func (d Decision) Executor() string { return d.executor }

// Status returns the HTTP status of the response.
func (d Decision) Status() int { return d.status }

// Outcome returns what became of the request. The outcome is Ran whenever the response
// of an executor or of another entry VM was passed on whole.
func (d Decision) Outcome() Outcome { return d.outcome }

// Duration returns the time from the request's complete header to the end of the
// response.
func (d Decision) Duration() time.Duration { return d.duration }

// Stats counts urgent requests since the process started.
type Stats struct {
	ran, notRun, unknown, retries, forwarded, mismatched atomic.Int64
}

// count adds a request to the counter of its outcome.
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

// Ran returns the number of requests whose response came from an executor or another
// entry VM.
func (s *Stats) Ran() int64 { return s.ran.Load() }

// NotRun returns the number of requests that did not run.
func (s *Stats) NotRun() int64 { return s.notRun.Load() }

// Unknown returns the number of requests whose outcome is unknown.
func (s *Stats) Unknown() int64 { return s.unknown.Load() }

// Retries returns the number of attempts after the first of each request.
func (s *Stats) Retries() int64 { return s.retries.Load() }

// Forwarded returns the number of attempts to forward a request to another data
// centre.
func (s *Stats) Forwarded() int64 { return s.forwarded.Load() }

// Mismatched returns the number of responses discarded because they belonged to
// another request.
func (s *Stats) Mismatched() int64 { return s.mismatched.Load() }
