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

// History returns the revisions kept, the newest first, without their documents.
func (w *Writer) History(ctx context.Context) ([]Summary, error) {
	entries, err := w.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, oops.In("configurer").Wrapf(err, "history can't be read")
	}
	summaries := make([]Summary, 0, len(entries)+1)
	for _, entry := range entries {
		record, err := decodeRecord(entry.Value())
		if err != nil {
			w.log.Error("former revision passed over", "key", entry.Key(), "error", err)
			continue
		}
		summaries = append(summaries, record.summary())
	}
	latest, err := w.Latest(ctx)
	if err != nil {
		return nil, err
	}
	if latest != nil {
		summaries = append(summaries, Summary{number: latest.number, author: latest.author, reason: latest.reason, time: latest.time})
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return cmp.Compare(b.number, a.number) })
	same := func(a, b Summary) bool { return a.number == b.number }
	return slices.CompactFunc(summaries, same), nil
}

// Revision returns a revision that was in force, or ErrNoRevision.
func (w *Writer) Revision(ctx context.Context, number uint64) (*Revision, error) {
	slot, err := w.slot(ctx, number)
	switch {
	case err != nil:
		return nil, err
	case slot.record.Revision != number:
		return nil, oops.In("configurer").Wrapf(ErrNoRevision, "revision %d", number)
	}
	return slot.record.revision(slot.data)
}

// slot is a place of the ring.
type slot struct {
	record  revisionRecord // revision 0: empty or damaged
	data    []byte         // as stored
	version uint64         // to be expected by a write
}

// slot reads the place of a revision.
func (w *Writer) slot(ctx context.Context, number uint64) (slot, error) {
	entry, err := w.store.Get(ctx, historyKey(number))
	if errors.Is(err, keeper.ErrNotFound) {
		return slot{}, nil
	}
	if err != nil {
		return slot{}, oops.In("configurer").Wrapf(err, "revision %d can't be read", number)
	}
	record, err := decodeRecord(entry.Value())
	if err != nil {
		w.log.Error("former revision can't be decoded", "key", entry.Key(), "error", err)
		record = revisionRecord{}
	}
	return slot{record: record, data: entry.Value(), version: entry.Version()}, nil
}

// keep writes a revision that is about to be replaced into the ring. It is done before
// the replacement is written, so that no revision is missing from the history. A failure is
// keeper.ErrUnavailable: whatever became of this write, the live key is as it was.
func (w *Writer) keep(ctx context.Context, revision *Revision) error {
	attempt := func() (struct{}, error) {
		held, err := w.slot(ctx, revision.number)
		if err != nil {
			return struct{}{}, backoff.Permanent(err)
		}
		if held.record.Revision > revision.number || held.record.Revision == revision.number && held.record.ID == revision.id {
			return struct{}{}, nil
		}
		_, err = w.store.Put(ctx, historyKey(revision.number), revision.data, held.version, 0)
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
