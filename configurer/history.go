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

// HistoryLimit is the largest number of former revisions in the history.
const HistoryLimit = 64

// historyPrefix is the prefix of the keys of former revisions. They form a ring of
// HistoryLimit slots.
const historyPrefix = "config/history/"

// ErrNoRevision means that a revision isn't in the history any more, or never existed.
var ErrNoRevision = errors.New("no such revision")

func historyKey(number uint64) string {
	return fmt.Sprintf("%s%02d", historyPrefix, number%HistoryLimit)
}

// History returns the revision in force and those in the history, newest first, without
// their documents.
func (w *Writer) History(ctx context.Context) ([]Summary, error) {
	entries, err := w.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, oops.In("configurer").Wrapf(err, "history can't be read")
	}
	summaries := make([]Summary, 0, len(entries)+1)
	for _, entry := range entries {
		record, err := decodeRecord(entry.Value())
		if err != nil {
			w.log.Error("damaged former revision left out of the history", "key", entry.Key(), "error", err)
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

// Revision returns a former revision from the history. The error is ErrNoRevision if it
// isn't there.
func (w *Writer) Revision(ctx context.Context, number uint64) (*Revision, error) {
	slot, err := w.readHistorySlot(ctx, number)
	switch {
	case err != nil:
		return nil, err
	case slot.record.Revision != number:
		return nil, oops.In("configurer").Wrapf(ErrNoRevision, "revision %d", number)
	}
	return slot.record.revision(slot.data)
}

// historySlot is one slot of the ring of former revisions.
type historySlot struct {
	record  revisionRecord // revision 0: the slot is empty or damaged
	data    []byte         // as stored
	version uint64         // version of the key that a write expects; 0: the slot is empty
}

// readHistorySlot reads the slot that the revision belongs to. Another revision may be
// stored there.
func (w *Writer) readHistorySlot(ctx context.Context, number uint64) (historySlot, error) {
	entry, err := w.store.Get(ctx, historyKey(number))
	if errors.Is(err, keeper.ErrNotFound) {
		return historySlot{}, nil
	}
	if err != nil {
		return historySlot{}, oops.In("configurer").Wrapf(err, "revision %d can't be read", number)
	}
	record, err := decodeRecord(entry.Value())
	if err != nil {
		w.log.Error("former revision can't be decoded", "key", entry.Key(), "error", err)
		record = revisionRecord{}
	}
	return historySlot{record: record, data: entry.Value(), version: entry.Version()}, nil
}

// archive writes a revision into the history. It is called before the revision is replaced,
// so that none is missing from the history. Any failure is returned as
// keeper.ErrUnavailable, since the live key is unchanged whether or not this write took
// effect.
func (w *Writer) archive(ctx context.Context, revision *Revision) error {
	attempt := func() (struct{}, error) {
		stored, err := w.readHistorySlot(ctx, revision.number)
		if err != nil {
			return struct{}{}, backoff.Permanent(err)
		}
		if stored.record.Revision > revision.number || stored.record.Revision == revision.number && stored.record.ID == revision.id {
			return struct{}{}, nil
		}
		_, err = w.store.Put(ctx, historyKey(revision.number), revision.data, stored.version, 0)
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
