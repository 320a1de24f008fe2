package configurer

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"filberthaven.example/keeper"
	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"
)

// Outcomes of a change.
var (
	// ErrConflict means that another change came first; nothing was written.
	ErrConflict = errors.New("another change came first")
	// ErrNewer means that the document holds keys of a newer version of the program,
	// which this one would lose.
	ErrNewer = errors.New("the declarations were written by a newer version")
)

// Bounds of the retries of a write whose answer was lost.
const (
	firstRetry = 20 * time.Millisecond
	lastRetry  = time.Second
	// WriteTimeout bounds a change whose context has no deadline.
	WriteTimeout = 10 * time.Second
	// staleLimit is how often a read is tried that answers less than is known.
	staleLimit = 3
	// raceLimit is how often a direct command is tried against other changes.
	raceLimit = 8
)

// Writer changes the revision in the key-value service.
type Writer struct {
	store keeper.Store
	copy  *Copy // never older than what it takes in itself
	now   func() time.Time
	log   hclog.Logger
}

// WriterOption changes a Writer under construction.
type WriterOption func(*Writer)

// WithWriterLogger sets the logger.
func WithWriterLogger(log hclog.Logger) WriterOption {
	return func(w *Writer) { w.log = log.Named("config") }
}

// WithClock sets the clock that dates revisions.
func WithClock(now func() time.Time) WriterOption { return func(w *Writer) { w.now = now } }

// NewWriter returns a writer to the service. Accepted revisions come into force in
// the copy at once.
func NewWriter(store keeper.Store, c *Copy, options ...WriterOption) *Writer {
	w := &Writer{store: store, copy: c, now: time.Now, log: hclog.NewNullLogger()}
	for _, option := range options {
		option(w)
	}
	return w
}

// base is what a change builds on.
type base struct {
	revision *Revision // nil before the first
	version  uint64    // of the live key, to be expected by the write
}

// number returns the number of the revision, or 0 before the first.
func (b base) number() uint64 {
	if b.revision == nil {
		return 0
	}
	return b.revision.number
}

// document returns the document, never nil.
func (b base) document() *Document {
	if b.revision == nil {
		return emptyDocument
	}
	return b.revision.document
}

// read returns the newest revision known. The service may answer an older one than the
// copy's, from a lagging replica or after it was restored; an accepted revision never
// reverts.
func (w *Writer) read(ctx context.Context) (base, error) {
	for attempt := 1; ; attempt++ {
		b, err := w.readOnce(ctx)
		if err != nil {
			return base{}, err
		}
		known := w.copy.Latest()
		if known == nil || b.number() >= known.number {
			return b, nil
		}
		if attempt == staleLimit {
			return base{revision: known, version: b.version}, nil
		}
	}
}

func (w *Writer) readOnce(ctx context.Context) (base, error) {
	entry, err := w.store.Get(ctx, LiveKey)
	if errors.Is(err, keeper.ErrNotFound) {
		return base{}, nil
	}
	if err != nil {
		return base{}, oops.In("configurer").Wrapf(err, "declarations can't be read")
	}
	record, err := decodeRecord(entry.Value())
	if err != nil {
		return base{}, err
	}
	if known := w.copy.Latest(); known != nil && known.id == record.ID {
		return base{revision: known, version: entry.Version()}, nil
	}
	revision, err := record.revision(entry.Value())
	if err != nil {
		return base{}, err
	}
	w.copy.offer(revision)
	return base{revision: revision, version: entry.Version()}, nil
}

// Latest returns the newest revision, or nil before the first.
func (w *Writer) Latest(ctx context.Context) (*Revision, error) {
	b, err := w.read(ctx)
	return b.revision, err
}

// Apply replaces the revision with the number planned (0: there is none) by the
// document, and returns the new number. Errors: ErrRaced when the revision is another,
// loader.Errors when the change is refused, keeper.ErrUnavailable when nothing was
// written, keeper.ErrUnknown when the outcome is open.
func (w *Writer) Apply(ctx context.Context, planned uint64, document *Document, author, reason string) (uint64, error) {
	ctx, cancel := bound(ctx)
	defer cancel()
	b, err := w.read(ctx)
	if err != nil {
		return 0, err
	}
	if b.number() != planned {
		return 0, oops.In("configurer").Wrapf(ErrConflict, "planned on revision %d, in force is %d", planned, b.number())
	}
	return w.replace(ctx, b, document.keepStates(b.document()), author, reason)
}

// Change replaces the document by what edit makes of it, whatever its revision, and
// returns the new number. Edit may be called again after a race.
func (w *Writer) Change(ctx context.Context, author, reason string, edit func(*Document) (*Document, error)) (uint64, error) {
	ctx, cancel := bound(ctx)
	defer cancel()
	for attempt := 1; ; attempt++ {
		b, err := w.read(ctx)
		if err != nil {
			return 0, err
		}
		next, err := edit(b.document())
		if err != nil {
			return 0, err
		}
		number, err := w.replace(ctx, b, next, author, reason)
		if !errors.Is(err, ErrConflict) || attempt == raceLimit {
			return number, err
		}
		w.log.Info("change raced; trying again", "attempt", attempt)
	}
}

// Rollback puts the document of a former revision into force as a new revision.
// Withdrawn keys stay withdrawn, and what is drained stays drained.
func (w *Writer) Rollback(ctx context.Context, planned, to uint64, author, reason string) (uint64, error) {
	ctx, cancel := bound(ctx)
	defer cancel()
	former, err := w.Revision(ctx, to)
	if err != nil {
		return 0, err
	}
	return w.Apply(ctx, planned, former.document.unstated(), author, reason)
}

// replace writes the document as the revision after b.
func (w *Writer) replace(ctx context.Context, b base, document *Document, author, reason string) (uint64, error) {
	if len(b.document().unknown) > 0 || len(document.unknown) > 0 {
		return 0, oops.In("configurer").Wrap(ErrNewer)
	}
	document, err := document.edited()
	if err != nil {
		return 0, err
	}
	if err := checkChange(b.document(), document); err != nil {
		return 0, err
	}
	next := &Revision{
		number: b.number() + 1, author: author, reason: reason, time: w.now(),
		id: rand.Text(), document: document,
	}
	if err := next.encode(); err != nil {
		return 0, err
	}
	if b.revision != nil {
		if err := w.keep(ctx, b.revision); err != nil {
			return 0, err
		}
	}
	if err := w.write(ctx, b, next); err != nil {
		w.log.Warn("change failed", "revision", next.number, "author", author, "error", err)
		return 0, oops.In("configurer").Wrapf(err, "revision %d", next.number)
	}
	w.copy.offer(next)
	w.log.Info("change accepted", "revision", next.number, "author", author, "reason", reason)
	return next.number, nil
}

// write puts the revision in place of b. While the outcome is open it reads back,
// and writes the same bytes under the same version again.
func (w *Writer) write(ctx context.Context, b base, next *Revision) error {
	open := false // an earlier attempt may have taken effect, or may yet
	attempt := func() (struct{}, error) {
		_, err := w.store.Put(ctx, LiveKey, next.data, b.version, 0)
		switch {
		case err == nil:
			return struct{}{}, nil
		case errors.Is(err, keeper.ErrTooLarge), errors.Is(err, keeper.ErrUnavailable) && !open:
			return struct{}{}, backoff.Permanent(err)
		}
		open = open || !errors.Is(err, keeper.ErrConflict)
		return struct{}{}, w.settle(ctx, b, next)
	}
	err := retry(ctx, attempt)
	if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, keeper.ErrOutcomeUnknown) || !open {
		return err
	}
	return errors.Join(keeper.ErrOutcomeUnknown, err)
}

// retry calls attempt until it succeeds, fails for good, or ctx ends.
func retry(ctx context.Context, attempt backoff.Operation[struct{}]) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstRetry, lastRetry
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(WriteTimeout))
	return err
}

// settle tells after a conflict or a lost answer whether the revision was written. It returns keeper.ErrUnknown where a later try may tell.
func (w *Writer) settle(ctx context.Context, b base, next *Revision) error {
	entry, err := w.store.Get(ctx, LiveKey)
	if err != nil {
		return errors.Join(keeper.ErrOutcomeUnknown, err)
	}
	live, err := decodeRecord(entry.Value())
	switch {
	case err != nil:
		return backoff.Permanent(errors.Join(keeper.ErrOutcomeUnknown, err))
	case live.ID == next.id:
		return nil
	case entry.Version() <= b.version:
		// Not written so far, or a lagging replica answered.
		return keeper.ErrOutcomeUnknown
	case live.Revision <= next.number:
		return backoff.Permanent(ErrConflict)
	}
	// A later revision is in force. Its writer kept the one before it.
	former, err := w.slot(ctx, next.number)
	switch {
	case err != nil || former.record.Revision != next.number:
		return errors.Join(keeper.ErrOutcomeUnknown, err)
	case former.record.ID != next.id:
		return backoff.Permanent(ErrConflict)
	}
	return nil
}

// bound gives a context a deadline if it has none.
func bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, WriteTimeout)
}
