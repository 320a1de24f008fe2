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

// Errors that the seams return. Others are answered as an internal error.
var (
	// ErrNotFound means that the team has no such job, service or queue.
	ErrNotFound = errors.New("not found")
	// ErrInvalid means that the work can never be accepted as asked for.
	ErrInvalid = errors.New("invalid request")
	// ErrUnavailable means that the work was surely not accepted; a later try
	// may succeed.
	ErrUnavailable = errors.New("unavailable")
	// ErrOutcomeUnknown means that the work may have been accepted.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrLimitReached means that the team is at its limit; nothing was accepted.
	ErrLimitReached = errors.New("limit reached")
	// ErrConflict means that the id is in use for other work.
	ErrConflict = errors.New("request id in use")
	// ErrNoSlot means that no executor of the service has a free slot.
	ErrNoSlot = errors.New("no free slot")
)

// DefaultRetryAfter is what a refused caller is told to wait.
const DefaultRetryAfter = time.Second

// problemType is the media type of errors.
const problemType = "application/problem+json"

// ProblemError is a final answer that tells of an error. It is an error itself, so
// that a seam may choose the whole answer.
type ProblemError struct {
	status  int           // HTTP status, 400 to 599
	code    string        // stable, for programs
	detail  string        // for people; names no secret
	outcome Outcome       // never empty
	retry   time.Duration // above 0 for 429 and 503
}

// NewProblem returns an answer with that status, stable code and detail. The
// outcome is NotRun, and 429 and 503 ask for DefaultRetryAfter.
func NewProblem(status int, code, detail string) *ProblemError {
	p := &ProblemError{status: status, code: code, detail: detail, outcome: NotRun}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		p.retry = DefaultRetryAfter
	}
	return p
}

// WithOutcome returns the problem with another outcome.
func (p *ProblemError) WithOutcome(outcome Outcome) *ProblemError {
	changed := *p
	changed.outcome = outcome
	return &changed
}

// WithRetryAfter returns the problem with the time to wait before a new try.
func (p *ProblemError) WithRetryAfter(d time.Duration) *ProblemError {
	changed := *p
	changed.retry = d
	return &changed
}

// Status returns the HTTP status.
func (p *ProblemError) Status() int { return p.status }

// Code returns the stable code.
func (p *ProblemError) Code() string { return p.code }

// Outcome returns what became of the request.
func (p *ProblemError) Outcome() Outcome { return p.outcome }

// Error returns code and detail.
func (p *ProblemError) Error() string { return p.code + ": " + p.detail }

// problemBody is the answer's body.
type problemBody struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Code    string  `json:"code"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
}

// write sends the problem as the whole answer.
func (p *ProblemError) write(w http.ResponseWriter) {
	body, err := json.Marshal(problemBody{
		Type: "about:blank", Title: http.StatusText(p.status), Status: p.status,
		Code: p.code, Detail: p.detail, Outcome: p.outcome,
	})
	if err != nil {
		body = []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", problemType)
	header.Set("Cache-Control", "no-store")
	header.Set(OutcomeHeader, string(p.outcome))
	if p.retry > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retry.Seconds()))))
	}
	if p.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", `Bearer realm="filberthaven"`)
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(body)
}

// problemOf returns the answer for an error of a seam.
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

// refusalProblem returns the answer for a refusal on arrival.
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
