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

// Reasons for refusing a change.
var (
	// ErrConflict means that another change was made first. Nothing was written.
	ErrConflict = errors.New("another change came first")
	// ErrNewer means that the document holds sections or keys that only a newer version
	// of the program knows. Writing it would lose them.
	ErrNewer = errors.New("the declarations were written by a newer version")
)

// Limits of the attempts to read and to write a revision.
const (
	// initialBackoff and maxBackoff bound the delay between two attempts of a write.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	// WriteTimeout bounds a change whose context has no deadline, and the attempts of
	// one write.
	WriteTimeout = 10 * time.Second
	// maxReadAttempts is how often the newest revision is read while the key-value
	// service returns an older one than the copy's.
	maxReadAttempts = 3
	// maxChangeAttempts is how often a direct command is tried while other changes come
	// first.
	maxChangeAttempts = 8
)

// Writer changes the revision in the key-value service.
type Writer struct {
	store keeper.Store
	copy  *Copy // gets each revision that the Writer reads or writes
	now   func() time.Time
	log   hclog.Logger
}

// WriterOption configures a Writer.
type WriterOption func(*Writer)

// WithWriterLogger sets the logger. By default, nothing is logged.
func WithWriterLogger(log hclog.Logger) WriterOption {
	return func(w *Writer) { w.log = log.Named("config") }
}

// WithClock sets the clock for the times of revisions. The default is time.Now.
func WithClock(now func() time.Time) WriterOption { return func(w *Writer) { w.now = now } }

// NewWriter returns a Writer to the key-value service. It brings accepted revisions into
// force in the copy at once.
func NewWriter(store keeper.Store, c *Copy, options ...WriterOption) *Writer {
	w := &Writer{store: store, copy: c, now: time.Now, log: hclog.NewNullLogger()}
	for _, option := range options {
		option(w)
	}
	return w
}

// base is the revision that a change is based on.
type base struct {
	revision *Revision // nil before the first
	version  uint64    // version of the live key that the write expects; 0: no key yet
}

// number returns the number of the revision, or 0 before the first revision.
func (b base) number() uint64 {
	if b.revision == nil {
		return 0
	}
	return b.revision.number
}

// document returns the document, or an empty one before the first revision.
func (b base) document() *Document {
	if b.revision == nil {
		return emptyDocument
	}
	return b.revision.document
}

// readLatest returns the newest known revision. The key-value service may return an older
// one than the copy's, from a lagging replica or after it was restored from a backup. The
// copy's is returned then, since an accepted revision is never undone.
func (w *Writer) readLatest(ctx context.Context) (base, error) {
	for attempt := 1; ; attempt++ {
		b, err := w.readLive(ctx)
		if err != nil {
			return base{}, err
		}
		known := w.copy.Latest()
		if known == nil || b.number() >= known.number {
			return b, nil
		}
		if attempt == maxReadAttempts {
			return base{revision: known, version: b.version}, nil
		}
	}
}

// readLive reads the live revision from the key-value service and offers it to the copy.
func (w *Writer) readLive(ctx context.Context) (base, error) {
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

// Latest returns the newest known revision, or nil before the first revision.
func (w *Writer) Latest(ctx context.Context) (*Revision, error) {
	b, err := w.readLatest(ctx)
	return b.revision, err
}

// Apply writes the document as a new revision and returns its number. planned is the number
// of the revision that the change was planned on, 0 for none; it must still be in force. Some
// results of direct commands stay, see withLiveState. The error is ErrConflict if another
// revision is in force, loader.Errors if the change is refused, ErrNewer if a newer version
// of the program wrote the document in force, keeper.ErrUnavailable if the key-value service
// is down and nothing was written, or keeper.ErrOutcomeUnknown if the change may have been
// written.
func (w *Writer) Apply(ctx context.Context, planned uint64, document *Document, author, reason string) (uint64, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	b, err := w.readLatest(ctx)
	if err != nil {
		return 0, err
	}
	if b.number() != planned {
		return 0, oops.In("configurer").Wrapf(ErrConflict, "planned on revision %d, in force is %d", planned, b.number())
	}
	return w.replace(ctx, b, document.withLiveState(b.document()), author, reason)
}

// Change passes the document in force to edit, writes the result as a new revision, and
// returns its number. If another change comes first, edit is called again with the new
// document.
func (w *Writer) Change(ctx context.Context, author, reason string, edit func(*Document) (*Document, error)) (uint64, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	for attempt := 1; ; attempt++ {
		b, err := w.readLatest(ctx)
		if err != nil {
			return 0, err
		}
		next, err := edit(b.document())
		if err != nil {
			return 0, err
		}
		number, err := w.replace(ctx, b, next, author, reason)
		if !errors.Is(err, ErrConflict) || attempt == maxChangeAttempts {
			return number, err
		}
		w.log.Info("change conflicted with another one; retrying", "attempt", attempt)
	}
}

// Rollback applies the document of the former revision with that number. Withdrawn keys
// stay withdrawn, and data centres and VMs keep their present states. The errors are those
// of Apply, and ErrNoRevision.
func (w *Writer) Rollback(ctx context.Context, planned, number uint64, author, reason string) (uint64, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	former, err := w.Revision(ctx, number)
	if err != nil {
		return 0, err
	}
	return w.Apply(ctx, planned, former.document.withoutStates(), author, reason)
}

// replace checks the document and writes it as the revision after b. The revision of b is
// archived first.
func (w *Writer) replace(ctx context.Context, b base, document *Document, author, reason string) (uint64, error) {
	if len(b.document().unknown) > 0 || len(document.unknown) > 0 {
		return 0, oops.In("configurer").Wrap(ErrNewer)
	}
	document, err := document.validated()
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
		if err := w.archive(ctx, b.revision); err != nil {
			return 0, err
		}
	}
	if err := w.write(ctx, b, next); err != nil {
		w.log.Warn("change not written", "revision", next.number, "author", author, "error", err)
		return 0, oops.In("configurer").Wrapf(err, "revision %d", next.number)
	}
	w.copy.offer(next)
	w.log.Info("change accepted", "revision", next.number, "author", author, "reason", reason)
	return next.number, nil
}

// write writes the revision next in place of b. While the outcome is unknown, it reads the
// live key, and writes the same bytes with the same expected version again. The version
// lets at most one of these writes take effect.
func (w *Writer) write(ctx context.Context, b base, next *Revision) error {
	mayBeWritten := false // an earlier attempt may have taken effect, or may still do so
	attempt := func() (struct{}, error) {
		_, err := w.store.Put(ctx, LiveKey, next.data, b.version, 0)
		switch {
		case err == nil:
			return struct{}{}, nil
		case errors.Is(err, keeper.ErrTooLarge), errors.Is(err, keeper.ErrUnavailable) && !mayBeWritten:
			return struct{}{}, backoff.Permanent(err)
		}
		mayBeWritten = mayBeWritten || !errors.Is(err, keeper.ErrConflict)
		return struct{}{}, w.resolveOutcome(ctx, b, next)
	}
	err := retry(ctx, attempt)
	if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, keeper.ErrOutcomeUnknown) || !mayBeWritten {
		return err
	}
	return errors.Join(keeper.ErrOutcomeUnknown, err)
}

// retry calls attempt until it succeeds, returns a permanent error, ctx ends, or
// WriteTimeout has passed.
func retry(ctx context.Context, attempt backoff.Operation[struct{}]) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(WriteTimeout))
	return err
}

// resolveOutcome finds out whether next was written, after a conflict or a lost
// response. It returns nil if it was, a permanent ErrConflict if another revision was
// written instead, and keeper.ErrOutcomeUnknown if neither is certain. This last error is
// permanent only if the live revision can't be decoded.
func (w *Writer) resolveOutcome(ctx context.Context, b base, next *Revision) error {
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
		// Not written yet, or read from a lagging replica.
		return keeper.ErrOutcomeUnknown
	case live.Revision <= next.number:
		return backoff.Permanent(ErrConflict)
	}
	// A later revision is in force. Each writer archives the revision that it replaces.
	slot, err := w.readHistorySlot(ctx, next.number)
	switch {
	case err != nil || slot.record.Revision != next.number:
		return errors.Join(keeper.ErrOutcomeUnknown, err)
	case slot.record.ID != next.id:
		return backoff.Permanent(ErrConflict)
	}
	return nil
}

// withDeadline returns ctx with a timeout of WriteTimeout unless it already has a deadline.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, WriteTimeout)
}
