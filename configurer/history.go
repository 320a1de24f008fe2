package configurer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"filberthaven.example/keeper"
	"github.com/cenkalti/backoff/v5"
	"github.com/samber/oops"
)

// HistoryLimit is the number of former revisions that are kept.
const HistoryLimit = 64

// historyPrefix begins the keys of former revisions, a ring of HistoryLimit.
const historyPrefix = "config/history/"

// ErrNoRevision means that a revision isn't kept any more, or never was.
var ErrNoRevision = errors.New("no such revision")

func historyKey(number uint64) string {
	return fmt.Sprintf("%s%02d", historyPrefix, number%HistoryLimit)
}

// History returns the revisions kept, the newest first.
func (w *Writer) History(ctx context.Context) ([]*Revision, error) {
	entries, err := w.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, oops.In("configurer").Wrapf(err, "history can't be read")
	}
	revisions := make([]*Revision, 0, len(entries)+1)
	for _, entry := range entries {
		revision, err := DecodeRevision(entry.Value())
		if err != nil {
			w.log.Error("former revision passed over", "key", entry.Key(), "error", err)
			continue
		}
		revisions = append(revisions, revision)
	}
	base, err := w.read(ctx)
	if err != nil {
		return nil, err
	}
	if base.revision != nil {
		revisions = append(revisions, base.revision)
	}
	slices.SortFunc(revisions, func(a, b *Revision) int { return cmp.Compare(b.number, a.number) })
	same := func(a, b *Revision) bool { return a.number == b.number }
	return slices.CompactFunc(revisions, same), nil
}

// Former returns a revision that was in force, or ErrNoRevision.
func (w *Writer) Former(ctx context.Context, number uint64) (*Revision, error) {
	revision, _, err := w.slot(ctx, number)
	switch {
	case err != nil:
		return nil, err
	case revision == nil || revision.number != number:
		return nil, oops.In("configurer").Wrapf(ErrNoRevision, "revision %d", number)
	}
	return revision, nil
}

// slot reads the place of a revision in the ring: what it holds, or nil, and the version to expect.
func (w *Writer) slot(ctx context.Context, number uint64) (*Revision, uint64, error) {
	entry, err := w.store.Get(ctx, historyKey(number))
	if errors.Is(err, keeper.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, oops.In("configurer").Wrapf(err, "revision %d can't be read", number)
	}
	revision, err := DecodeRevision(entry.Value())
	if err != nil {
		w.log.Error("former revision can't be decoded", "key", entry.Key(), "error", err)
		return nil, entry.Version(), nil
	}
	return revision, entry.Version(), nil
}

// keep writes a revision that is about to be replaced into the ring. It is done before
// the replacement is written, so that no revision is missing from the history. A failure is
// keeper.ErrUnavailable: whatever became of this write, the live key is as it was.
func (w *Writer) keep(ctx context.Context, revision *Revision) error {
	attempt := func() (struct{}, error) {
		held, version, err := w.slot(ctx, revision.number)
		if err != nil {
			return struct{}{}, backoff.Permanent(err)
		}
		if held != nil && (held.id == revision.id || held.number > revision.number) {
			return struct{}{}, nil
		}
		_, err = w.store.Put(ctx, historyKey(revision.number), revision.data, version, 0)
		if errors.Is(err, keeper.ErrUnavailable) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	if err := retry(ctx, attempt); err != nil {
		return fmt.Errorf("revision %d can't be kept: %w: %s", revision.number, keeper.ErrUnavailable, err.Error())
	}
	return nil
}
