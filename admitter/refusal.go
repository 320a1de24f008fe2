package admitter

import "time"

// Kind says on whose account work is refused.
type Kind uint8

// The kinds.
const (
	// Overload means that this entry VM has no room at present.
	Overload Kind = iota + 1
	// TeamLimit means that the team is at its limit.
	TeamLimit
	// Permanent means that no later try can succeed.
	Permanent
)

// RefusalError is the error for work that was refused on arrival; nothing of it runs.
type RefusalError struct {
	kind   Kind
	code   string        // stable, one word
	reason string        // a sentence for people
	retry  time.Duration // above 0 unless the kind is Never
}

// NewRefusal returns a refusal with a one-word code and a reason; retry says when to
// try again.
func NewRefusal(kind Kind, code, reason string, retry time.Duration) *RefusalError {
	return &RefusalError{kind: kind, code: code, reason: reason, retry: retry}
}

// Kind returns on whose account the work is refused.
func (r *RefusalError) Kind() Kind { return r.kind }

// Code returns the stable one-word code.
func (r *RefusalError) Code() string { return r.code }

// Reason returns the sentence for people.
func (r *RefusalError) Reason() string { return r.reason }

// RetryAfter returns how long to wait before a new try; 0 means never.
func (r *RefusalError) RetryAfter() time.Duration { return r.retry }

// Error returns code and reason.
func (r *RefusalError) Error() string { return r.code + ": " + r.reason }
