package scheduler

import "errors"

// Errors that a Scheduler and a Client return; test for them with errors.Is.
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
	// ErrMoved means that another shard has the job; the job's status names that shard.
	ErrMoved = errors.New("job has moved")
	// ErrRequestIDReused means that the request id was used before, for a request
	// with different content.
	ErrRequestIDReused = errors.New("request id was used with another content")
	// ErrRefused means that the job is invalid or that no worker of the shard can
	// ever run it; the text gives the reason.
	ErrRefused = errors.New("job refused")
	// ErrBadOption means that New was given invalid or missing options.
	ErrBadOption = errors.New("bad option")
	// ErrBadRecord means that the journal contains a record that can't be decoded.
	ErrBadRecord = errors.New("bad record")
)

// Errors that a Journal returns. They are defined here so that this package depends
// on no particular journal.
var (
	// ErrJournalUnavailable means that the record was not written and won't be.
	ErrJournalUnavailable = errors.New("journal unavailable")
	// ErrJournalUnknown means that the record may have been written.
	ErrJournalUnknown = errors.New("outcome of record unknown")
	// ErrDeposed means that another owner has taken the shard over.
	ErrDeposed = errors.New("deposed")
)
