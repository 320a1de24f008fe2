package scheduler

import "errors"

// Errors of a Scheduler and a Client. A caller tests for them with errors.Is.
var (
	// ErrNotRun means that nothing was accepted and nothing will be.
	ErrNotRun = errors.New("not run")
	// ErrOutcomeUnknown means that the call may have taken effect or may yet do so.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrNotOwner means that this process doesn't own the shard; nothing was
	// accepted.
	ErrNotOwner = errors.New("not the owner of the shard")
	// ErrNotFound means that the shard has no such job or request.
	ErrNotFound = errors.New("not found")
	// ErrMoved means that another shard has the job; its status names the shard.
	ErrMoved = errors.New("job has moved")
	// ErrRequestIDReused means that the request id was used with another content.
	ErrRequestIDReused = errors.New("request id was used with another content")
	// ErrRefused means that the job can never run here; the text says why.
	ErrRefused = errors.New("job refused")
	// ErrBadOption means that the scheduler can't be built.
	ErrBadOption = errors.New("bad option")
	// ErrBadRecord means that the journal holds a record that can't be read.
	ErrBadRecord = errors.New("bad record")
)

// Errors that a Journal gives, so that this package binds to no journal.
var (
	// ErrJournalUnavailable means that the record surely will not hold.
	ErrJournalUnavailable = errors.New("journal unavailable")
	// ErrJournalUnknown means that the record may hold.
	ErrJournalUnknown = errors.New("outcome of record unknown")
	// ErrDeposed means that another owner has taken the shard.
	ErrDeposed = errors.New("deposed")
)
