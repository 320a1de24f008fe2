package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Claim grants the sending of a non-idempotent urgent request with an id, at
// most once to one holder, whose own repeat is granted again. A holder names one
// sending, not a process. The journal holds a grant before it is returned. Errors: ErrNotRun,
// ErrUnknown, ErrNotOwner, ErrMismatch when the id is a job's or its digest of
// the content differs.
func (s *Scheduler) Claim(ctx context.Context, team, requestID, holder string, digest uint64) (Claim, error) {
	key := requestKey{team, requestID}
	s.mu.Lock()
	if err := s.serves(); err != nil {
		s.mu.Unlock()
		return Claim{}, err
	}
	known, ok := s.book.requests[key]
	switch {
	case ok && (known.job != "" || known.digest != digest):
		s.mu.Unlock()
		return Claim{}, fmt.Errorf("%w: %q of team %s", ErrRequestIDReused, requestID, team)
	case ok && known.pending != nil:
		s.mu.Unlock()
		return Claim{}, fmt.Errorf("%w: claim of %s is under way", ErrOutcomeUnknown, known.holder)
	case ok && known.outcome == InProgress && known.holder == holder:
		s.mu.Unlock()
		return Claim{granted: true, holder: holder}, nil
	case ok && known.outcome != NotRun:
		defer s.mu.Unlock()
		return Claim{holder: known.holder, outcome: known.outcome}, nil
	}
	q := &request{digest: digest, holder: holder, number: 1, at: time.Now(), pending: make(chan struct{})}
	if ok {
		q.number = known.number + 1
	}
	outcome := s.writeClaim(key, q, known)
	s.mu.Unlock()
	if err := s.await(ctx, outcome); err != nil {
		return Claim{}, err
	}
	return Claim{granted: true, holder: holder}, nil
}

// writeClaim records a claim; the channel gives the outcome, once.
func (s *Scheduler) writeClaim(key requestKey, q, before *request) <-chan error {
	outcome := make(chan error, 1)
	s.book.requests[key] = q
	s.write(q.record(key), false, func(err error) {
		close(q.pending)
		q.pending = nil
		if errors.Is(err, ErrJournalUnavailable) {
			delete(s.book.requests, key)
			if before != nil {
				s.book.requests[key] = before
			}
		}
		outcome <- outcomeOf(err)
	})
	return outcome
}

// Settle tells how a claimed request ended. After NotRun it can be claimed again;
// Ran and MayHaveRun stay. Errors: ErrNotFound when the holder has no claim,
// ErrNotOwner, ErrUnknown.
func (s *Scheduler) Settle(ctx context.Context, team, requestID, holder string, outcome Outcome) error {
	key := requestKey{team, requestID}
	s.mu.Lock()
	if err := s.serves(); err != nil {
		s.mu.Unlock()
		return err
	}
	known, ok := s.book.requests[key]
	if !ok || known.job != "" || known.holder != holder || known.pending != nil {
		s.mu.Unlock()
		return fmt.Errorf("%w: claim of %s on %q", ErrNotFound, holder, requestID)
	}
	if known.outcome != InProgress {
		s.mu.Unlock()
		return nil
	}
	next := *known
	next.outcome, next.number, next.at = outcome, known.number+1, time.Now()
	s.book.requests[key] = &next
	done := make(chan error, 1)
	s.write(next.record(key), true, func(err error) { done <- outcomeOf(err) })
	s.mu.Unlock()
	return s.await(ctx, done)
}
