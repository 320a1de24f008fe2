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

// slotJournalSuffix is appended to the shard's name to give the name of the journal of
// slot grants.
const slotJournalSuffix = ".slots"

// slotJournal holds the journal of slot grants.
type slotJournal struct{ journal *journaler.Journaler }

// slotOwner returns the address (host:port) of the entry VM that allocates the slots of
// this data centre: the owner of its first shard.
func (s *Server) slotOwner() (string, bool) {
	shards := s.centreShards(s.settings.Centre())
	if len(shards) == 0 {
		return "", false
	}
	return s.ownerAddress(shards[0])
}

// allocatesSlots reports whether the owner of the shard allocates the slots of this data
// centre.
func (s *Server) allocatesSlots(shard string) bool {
	shards := s.centreShards(s.settings.Centre())
	return len(shards) > 0 && shards[0] == shard
}

// allocateSlots allocates the slots of this data centre until ctx is done or the journal
// of slot grants ends.
func (s *Server) allocateSlots(ctx context.Context, o *ownedShard) {
	s.slotsMu.Lock()
	defer s.slotsMu.Unlock()
	journal, ok := s.retryBeginSlots(ctx, o)
	if !ok {
		return
	}
	select {
	case <-ctx.Done():
	case <-journal.Done():
	}
	s.slotAllocator.End()
	s.slotJournal.Store(nil)
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
	defer cancel()
	if err := journal.Close(closeCtx); err != nil {
		s.log.Debug("failed to close journal of slots", "shard", o.shard, "error", err)
	}
}

// slotsRetryInterval is the time between two attempts to start the allocation of slots.
const slotsRetryInterval = 500 * time.Millisecond

// retryBeginSlots calls beginSlots until it succeeds. It returns false if ctx ends or
// another owner has opened the journal.
func (s *Server) retryBeginSlots(ctx context.Context, o *ownedShard) (*journaler.Journaler, bool) {
	for {
		journal, err := s.beginSlots(ctx, o)
		if err == nil {
			return journal, true
		}
		s.log.Error("failed to start allocation of slots", "shard", o.shard, "term", o.term, "error", err)
		if errors.Is(err, journaler.ErrDeposed) {
			return nil, false
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-time.After(slotsRetryInterval):
		}
	}
}

// beginSlots opens the journal of slot grants and starts the allocation with the grants
// that it recovers.
func (s *Server) beginSlots(ctx context.Context, o *ownedShard) (*journaler.Journaler, error) {
	journal, err := journaler.New(s.store, o.shard+slotJournalSuffix, journaler.WithLogger(s.logger))
	if err != nil {
		return nil, err
	}
	journal.SetSnapshotter(s.slotSnapshot)
	recovery, err := journal.Open(ctx, o.term)
	if err != nil {
		return nil, err
	}
	records, err := recoveredRecords(recovery)
	if err != nil {
		return nil, err
	}
	s.slotJournal.Store(&slotJournal{journal: journal})
	return journal, s.slotAllocator.Begin(o.term, records)
}

// appendSlotRecord writes a record of grants to the journal. It returns
// granter.ErrNotOwner while no slots are allocated here.
func (s *Server) appendSlotRecord(ctx context.Context, record []byte) error {
	current := s.slotJournal.Load()
	if current == nil {
		return granter.ErrNotOwner
	}
	return current.journal.Append(ctx, record)
}

// slotSnapshot returns a snapshot of all grants, or nil if they can't be encoded.
func (s *Server) slotSnapshot() []byte {
	records, err := s.slotAllocator.Records()
	if err != nil {
		s.log.Error("failed to encode records of grants", "error", err)
		return nil
	}
	data, err := cbor.Marshal(records)
	if err != nil {
		s.log.Error("failed to encode snapshot of grants", "error", err)
		return nil
	}
	return data
}

// recoveredRecords returns the records of a recovered journal, oldest first.
func recoveredRecords(recovery journaler.Recovery) ([][]byte, error) {
	var records [][]byte
	if snapshot := recovery.Snapshot(); len(snapshot) > 0 {
		if err := cbor.Unmarshal(snapshot, &records); err != nil {
			return nil, oops.In("server").Wrapf(err, "decode snapshot of slots")
		}
	}
	return append(records, recovery.Records()...), nil
}
