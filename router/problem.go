package router

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"filberthaven.example/admitter"
	"filberthaven.example/authenticator"
)

// Errors that the functions in Jobs and Requests return. problemOf assigns a response
// to each; an error that problemOf does not know becomes an internal error.
var (
	// ErrNotFound means that the team has no such job, service or queue.
	ErrNotFound = errors.New("not found")
	// ErrInvalid means that the work as requested can never be accepted.
	ErrInvalid = errors.New("invalid request")
	// ErrUnavailable means that the work was certainly not accepted and that a
	// later attempt may succeed.
	ErrUnavailable = errors.New("unavailable")
	// ErrOutcomeUnknown means that the work may have been accepted.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrLimitReached means that the team is at its limit and that nothing was
	// accepted.
	ErrLimitReached = errors.New("limit reached")
	// ErrConflict means that the request id is in use for other work.
	ErrConflict = errors.New("request id in use")
	// ErrNoSlot means that no executor of the service has a free slot.
	ErrNoSlot = errors.New("no free slot")
)

// DefaultRetryAfter is the default Retry-After of problems with status 429 or 503.
const DefaultRetryAfter = time.Second

// problemMediaType is the media type of problem documents.
const problemMediaType = "application/problem+json"

// ProblemError is an error response to a caller. It is itself an error, so that a
// function in Jobs or Requests can choose the whole response.
type ProblemError struct {
	status     int           // HTTP status, 400 to 599
	code       string        // stable, read by programs
	detail     string        // read by people; contains no secret
	outcome    Outcome       // never empty
	retryAfter time.Duration // above 0 for 429 and 503; 0 leaves out Retry-After
}

// NewProblem returns a problem with the HTTP status, a stable code and a detail for
// people. Its outcome is NotRun. With status 429 or 503 it asks the caller to wait for
// DefaultRetryAfter.
func NewProblem(status int, code, detail string) *ProblemError {
	p := &ProblemError{status: status, code: code, detail: detail, outcome: NotRun}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		p.retryAfter = DefaultRetryAfter
	}
	return p
}

// WithOutcome returns a copy of the problem with another outcome.
func (p *ProblemError) WithOutcome(outcome Outcome) *ProblemError {
	changed := *p
	changed.outcome = outcome
	return &changed
}

// WithRetryAfter returns a copy of the problem with another time to wait before a
// retry.
func (p *ProblemError) WithRetryAfter(d time.Duration) *ProblemError {
	changed := *p
	changed.retryAfter = d
	return &changed
}

// Status returns the problem's HTTP status.
func (p *ProblemError) Status() int { return p.status }

// Code returns the problem's code, which programs may compare.
func (p *ProblemError) Code() string { return p.code }

// Outcome returns what became of the request.
func (p *ProblemError) Outcome() Outcome { return p.outcome }

// Error returns the code and the detail.
func (p *ProblemError) Error() string { return p.code + ": " + p.detail }

// problemBody is the JSON form of a problem, as in RFC 9457.
type problemBody struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Code    string  `json:"code"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
}

// write sends the problem as the whole response.
func (p *ProblemError) write(w http.ResponseWriter) {
	body, err := json.Marshal(problemBody{
		Type: "about:blank", Title: http.StatusText(p.status), Status: p.status,
		Code: p.code, Detail: p.detail, Outcome: p.outcome,
	})
	if err != nil {
		body = []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", problemMediaType)
	header.Set("Cache-Control", "no-store")
	header.Set(OutcomeHeader, string(p.outcome))
	if p.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	if p.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", `Bearer realm="filberthaven"`)
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(body)
}

// WriteRefusal writes the response to a request that is refused before any handler saw it.
func WriteRefusal(w http.ResponseWriter, status int, reason string) {
	NewProblem(status, "busy", reason).write(w)
}

// problemOf returns the response to send for err.
func problemOf(err error) *ProblemError {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem
	}
	var refusal *admitter.RefusalError
	if errors.As(err, &refusal) {
		return refusalProblem(refusal)
	}
	switch {
	case errors.Is(err, authenticator.ErrTooManyFailures):
		return NewProblem(http.StatusTooManyRequests, "failures", "too many wrong keys from this source")
	case errors.Is(err, authenticator.ErrNoKey):
		return NewProblem(http.StatusUnauthorized, "key", "a key is needed")
	case errors.Is(err, authenticator.ErrBadKey):
		return NewProblem(http.StatusUnauthorized, "key", "the key is not valid")
	case errors.Is(err, authenticator.ErrForbidden):
		return NewProblem(http.StatusForbidden, "role", "the key has not the role for this")
	case errors.Is(err, ErrNotFound):
		return NewProblem(http.StatusNotFound, "absent", "not found")
	case errors.Is(err, ErrInvalid):
		return NewProblem(http.StatusUnprocessableEntity, "invalid", err.Error())
	case errors.Is(err, ErrConflict):
		return NewProblem(http.StatusConflict, "conflict", "the request id is in use for other work")
	case errors.Is(err, ErrLimitReached):
		return NewProblem(http.StatusTooManyRequests, "limit", err.Error())
	case errors.Is(err, ErrNoSlot):
		return NewProblem(http.StatusServiceUnavailable, "room", "no executor has room")
	case errors.Is(err, ErrUnavailable):
		return NewProblem(http.StatusServiceUnavailable, "unavailable", "try again later")
	case errors.Is(err, ErrOutcomeUnknown):
		return NewProblem(http.StatusBadGateway, "unknown", "the work may have been accepted").WithOutcome(Unknown)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return NewProblem(http.StatusGatewayTimeout, "deadline", "the deadline has passed").WithOutcome(Unknown)
	}
	return NewProblem(http.StatusInternalServerError, "internal", "internal error").WithOutcome(Unknown)
}

// refusalProblem returns the response to send for a refusal by the admitter.
func refusalProblem(refusal *admitter.RefusalError) *ProblemError {
	status := http.StatusServiceUnavailable
	switch refusal.Kind() {
	case admitter.TeamLimit:
		status = http.StatusTooManyRequests
	case admitter.Permanent:
		return NewProblem(http.StatusUnprocessableEntity, refusal.Code(), refusal.Reason())
	case admitter.Overload:
	}
	return NewProblem(status, refusal.Code(), refusal.Reason()).WithRetryAfter(refusal.RetryAfter())
}
