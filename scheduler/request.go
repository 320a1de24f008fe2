package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Claim grants one holder the right to send a non-idempotent urgent request, once. A
// repeat by the same holder is granted again, so the holder's name must stand for one
// attempt to send, not for a process. The grant is persisted before Claim returns it.
// Errors: ErrNotRun, ErrOutcomeUnknown, ErrNotOwner, and ErrRequestIDReused when the id
// was used for a job or for content with another digest.
func (s *Scheduler) Claim(ctx context.Context, team, requestID, holder string, digest uint64) (Claim, error) {
	key := requestKey{team, requestID}
	s.mu.Lock()
	if err := s.checkServing(); err != nil {
		s.mu.Unlock()
		return Claim{}, err
	}
	known, ok := s.state.requests[key]
	switch {
	case ok && (known.jobID != "" || known.digest != digest):
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
	q := &request{digest: digest, holder: holder, revision: 1, changedAt: time.Now(), pending: make(chan struct{})}
	if ok {
		q.revision = known.revision + 1
	}
	written := s.writeClaim(key, q, known)
	s.mu.Unlock()
	if err := s.awaitWrite(ctx, written); err != nil {
		return Claim{}, err
	}
	return Claim{granted: true, holder: holder}, nil
}

// writeClaim stores a claim in place of the previous one, if any, and writes its record.
// If nothing was written, it restores the previous claim. The channel receives the error
// for the caller, or nil, when the write completes.
func (s *Scheduler) writeClaim(key requestKey, q, previous *request) <-chan error {
	written := make(chan error, 1)
	s.state.requests[key] = q
	s.write(q.record(key), false, func(err error) {
		close(q.pending)
		q.pending = nil
		if errors.Is(err, ErrJournalUnavailable) {
			delete(s.state.requests, key)
			if previous != nil {
				s.state.requests[key] = previous
			}
		}
		written <- callerError(err)
	})
	return written
}

// Settle records how a claimed request ended. After NotRun it can be claimed again;
// Ran and MayHaveRun are final. Errors: ErrNotFound when the holder has no claim,
// ErrNotOwner, ErrOutcomeUnknown.
func (s *Scheduler) Settle(ctx context.Context, team, requestID, holder string, outcome Outcome) error {
	key := requestKey{team, requestID}
	s.mu.Lock()
	if err := s.checkServing(); err != nil {
		s.mu.Unlock()
		return err
	}
	known, ok := s.state.requests[key]
	if !ok || known.jobID != "" || known.holder != holder || known.pending != nil {
		s.mu.Unlock()
		return fmt.Errorf("%w: claim of %s on %q", ErrNotFound, holder, requestID)
	}
	if known.outcome != InProgress {
		s.mu.Unlock()
		return nil
	}
	next := *known
	next.outcome, next.revision, next.changedAt = outcome, known.revision+1, time.Now()
	s.state.requests[key] = &next
	written := make(chan error, 1)
	s.write(next.record(key), true, func(err error) { written <- callerError(err) })
	s.mu.Unlock()
	return s.awaitWrite(ctx, written)
}
