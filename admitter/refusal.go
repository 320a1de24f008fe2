package admitter

import "time"

// Kind classifies a refusal by its cause.
type Kind uint8

// Kinds of refusals.
const (
	// Overload means that this entry VM has no free capacity at present.
	Overload Kind = iota + 1
	// TeamLimit means that the team is at its limit.
	TeamLimit
	// Permanent means that no later attempt can succeed.
	Permanent
)

// RefusalError is the error for a request that was refused on arrival or while it
// waited, or for a job that was refused on arrival. No part of either has run.
type RefusalError struct {
	kind       Kind
	code       string        // one word, stable
	reason     string        // for people, in one sentence
	retryAfter time.Duration // delay before the next attempt; above 0 unless the kind is Permanent
}

// NewRefusal returns a refusal with a one-word code and a reason for people.
// retryAfter is the delay before the next attempt, 0 if the kind is Permanent.
func NewRefusal(kind Kind, code, reason string, retryAfter time.Duration) *RefusalError {
	return &RefusalError{kind: kind, code: code, reason: reason, retryAfter: retryAfter}
}

// Kind returns the kind of the refusal.
func (r *RefusalError) Kind() Kind { return r.kind }

// Code returns the stable one-word code.
func (r *RefusalError) Code() string { return r.code }

// Reason returns the reason for people, in one sentence.
func (r *RefusalError) Reason() string { return r.reason }

// RetryAfter returns the delay before the next attempt; 0 means that no later attempt
// can succeed.
func (r *RefusalError) RetryAfter() time.Duration { return r.retryAfter }

// Error returns the code and the reason.
func (r *RefusalError) Error() string { return r.code + ": " + r.reason }
