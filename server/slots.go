package server

import (
	"context"
	"errors"
	"time"

	"filberthaven.example/granter"
	"filberthaven.example/journaler"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// slotsJournal is the suffix of the journal of slot grants.
const slotsJournal = ".slots"

// slotRecords is the journal that grants of slots go to.
type slotRecords struct{ journal *journaler.Journaler }

// slotOwner returns where slots of the own data centre are asked for.
func (s *Server) slotOwner() (string, bool) {
	shards := s.centreShards(s.settings.Centre())
	if len(shards) == 0 {
		return "", false
	}
	return s.ownerAddress(shards[0])
}

// dividesSlots reports whether the owner of a shard divides the slots of the own
// data centre's executors.
func (s *Server) dividesSlots(shard string) bool {
	shards := s.centreShards(s.settings.Centre())
	return len(shards) > 0 && shards[0] == shard
}

// divideSlots divides the slots while the tenure lasts, from a journal of its own.
func (s *Server) divideSlots(ctx context.Context, t *tenure) {
	s.slotting.Lock()
	defer s.slotting.Unlock()
	journal, ok := s.awaitSlots(ctx, t)
	if !ok {
		return
	}
	select {
	case <-ctx.Done():
	case <-journal.Done():
	}
	s.slotter.End()
	s.slots.Store(nil)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
	defer cancel()
	if err := journal.Close(closing); err != nil {
		s.decisions.Debug("journal of slots not closed in order", "shard", t.shard, "error", err)
	}
}

// slotsPause is the time between two tries to open the journal of slots.
const slotsPause = 500 * time.Millisecond

// awaitSlots begins the division, again while the service can't be reached.
func (s *Server) awaitSlots(ctx context.Context, t *tenure) (*journaler.Journaler, bool) {
	for {
		journal, err := s.beginSlots(ctx, t)
		if err == nil {
			return journal, true
		}
		s.decisions.Error("slots not divided", "shard", t.shard, "term", t.term, "error", err)
		if errors.Is(err, journaler.ErrDeposed) {
			return nil, false
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-time.After(slotsPause):
		}
	}
}

// beginSlots opens the journal of slots and lets the division begin.
func (s *Server) beginSlots(ctx context.Context, t *tenure) (*journaler.Journaler, error) {
	journal, err := journaler.New(s.store, t.shard+slotsJournal, journaler.WithLogger(s.logger))
	if err != nil {
		return nil, err
	}
	journal.SetSnapshotter(s.slotSnapshot)
	recovery, err := journal.Open(ctx, t.term)
	if err != nil {
		return nil, err
	}
	records, err := slotHistory(recovery)
	if err != nil {
		return nil, err
	}
	s.slots.Store(&slotRecords{journal: journal})
	return journal, s.slotter.Begin(t.term, records)
}

// journalSlots writes a record of grants.
func (s *Server) journalSlots(ctx context.Context, record []byte) error {
	records := s.slots.Load()
	if records == nil {
		return granter.ErrNotOwner
	}
	return records.journal.Append(ctx, record)
}

// slotSnapshot returns all grants as one snapshot, nil when they can't be encoded.
func (s *Server) slotSnapshot() []byte {
	records, err := s.slotter.Records()
	if err != nil {
		s.decisions.Error("grants not encoded", "error", err)
		return nil
	}
	data, err := cbor.Marshal(records)
	if err != nil {
		s.decisions.Error("grants not encoded", "error", err)
		return nil
	}
	return data
}

// slotHistory returns the records of a recovery, oldest first.
func slotHistory(recovery journaler.Recovery) ([][]byte, error) {
	var records [][]byte
	if snapshot := recovery.Snapshot(); len(snapshot) > 0 {
		if err := cbor.Unmarshal(snapshot, &records); err != nil {
			return nil, oops.In("server").Wrapf(err, "decode snapshot of slots")
		}
	}
	return append(records, recovery.Records()...), nil
}
