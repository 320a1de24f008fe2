package scheduler

import (
	"context"
	"errors"
	"fmt"

	"filberthaven.example/journaler"
)

// NewJournal returns the Journal that a journaler provides. The journaler must not be
// open yet.
func NewJournal(j *journaler.Journaler) Journal {
	return Journal{
		Open: func(ctx context.Context, term uint64) ([]byte, [][]byte, error) {
			recovery, err := j.Open(ctx, term)
			if err != nil {
				return nil, nil, journalError(err)
			}
			return recovery.Snapshot(), recovery.Records(), nil
		},
		Enqueue: func(record []byte, mandatory bool, done func(error)) {
			enqueue := j.Enqueue
			if mandatory {
				enqueue = j.EnqueueMandatory
			}
			if err := enqueue(record, func(err error) { done(journalError(err)) }); err != nil {
				done(journalError(err))
			}
		},
		SetSnapshotter: j.SetSnapshotter,
	}
}

// journalError wraps an error of a journaler in the matching error of this package.
// An error that matches none leaves the outcome unknown.
func journalError(err error) error {
	kind := ErrJournalUnknown
	switch {
	case err == nil:
		return nil
	case errors.Is(err, journaler.ErrDeposed):
		kind = ErrDeposed
	case errors.Is(err, journaler.ErrUnavailable), errors.Is(err, journaler.ErrTooLarge):
		kind = ErrJournalUnavailable
	}
	return fmt.Errorf("%w: %w", kind, err)
}
