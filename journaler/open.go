package journaler

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"filberthaven.example/keeper"
	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
)

// readTimeout bounds one read of the whole journal. It suffices for 12 MB at
// 10 Mbit/s, ten times the journal of a fleet of 350 workers.
const readTimeout = 10 * time.Second

// maxInconsistentReads is the number of inconsistent reads in one Open after which the
// journal counts as corrupt. Fewer may come from a stale replica of the store.
const maxInconsistentReads = 8

// errInconsistentRead means that a segment or a chunk is missing among the values read.
var errInconsistentRead = errors.New("inconsistent read")

// Recovery is the content of the journal at the time of Open.
type Recovery struct {
	snapshot []byte
	records  [][]byte
	sequence uint64
}

// Snapshot returns the state of the newest snapshot, or nil if there is none.
func (r Recovery) Snapshot() []byte { return r.snapshot }

// Records returns the records to replay onto the snapshot, in order.
func (r Recovery) Records() [][]byte { return r.records }

// Sequence returns the sequence number of the opening segment.
func (r Recovery) Sequence() uint64 { return r.sequence }

// view is the content of the manifest, the slots and the chunks as of one consistent read.
type view struct {
	manifest   storedManifest
	snapshot   snapshot
	chain      []segment // segments after the snapshot, without gaps
	replay     joiner    // the records to replay onto the state of the snapshot
	versions   []uint64  // by slot
	chainBytes int       // size of the segments of the chain
}

// lastSequence returns the sequence number of the newest segment.
func (v view) lastSequence() uint64 { return v.manifest.body.Sequence + uint64(len(v.chain)) }

// joinRecords sets the records to replay.
func (v *view) joinRecords() error {
	v.replay = joiner{records: v.snapshot.Records, unfinished: v.snapshot.Unfinished}
	for _, s := range v.chain {
		if err := v.replay.add(s); err != nil {
			return err
		}
	}
	return nil
}

// Open reads the journal and writes an opening segment under the term, so that
// older owners can't write any more. It returns ErrDeposed if a newer owner has
// written, and ErrCorrupt or ErrUnsupportedFormat if stored data can't be read. It
// never writes to a journal that it can't read. While the store is unavailable or
// another owner writes at the same time, it retries until the context ends.
func (j *Journaler) Open(ctx context.Context, term uint64) (Recovery, error) {
	j.ring.term = term
	retry := newBackoff()
	for inconsistent := 0; ; {
		started := time.Now()
		recovery, err := j.open(ctx)
		switch {
		case err == nil:
			if !j.start(ctx) {
				return Recovery{}, j.wrap(ErrUnavailable)
			}
			j.log.Info("journal opened", "term", term, "sequence", recovery.sequence, "records", len(recovery.records))
			return recovery, nil
		case errors.Is(err, errInconsistentRead):
			inconsistent++
			if inconsistent >= maxInconsistentReads {
				return Recovery{}, j.wrap(fmt.Errorf("%w: %w", ErrCorrupt, err))
			}
		case errors.Is(err, errOtherOwnerWrote), errors.Is(err, ErrUnavailable):
		default:
			return Recovery{}, j.wrap(err)
		}
		j.log.Info("journal not open yet", "term", term, "took", time.Since(started), "error", err)
		if !sleep(ctx, retry.NextBackOff()) {
			return Recovery{}, j.wrap(err)
		}
	}
}

// wrap adds the shard and the term to an error.
func (j *Journaler) wrap(err error) error {
	return oops.In("journaler").With("shard", j.shard, "term", j.ring.term).Wrap(err)
}

// errOtherOwnerWrote means that another owner wrote to the journal after it was read.
var errOtherOwnerWrote = errors.New("another owner wrote to the journal")

// open makes one attempt to read the journal and to write the opening segment.
func (j *Journaler) open(ctx context.Context) (Recovery, error) {
	v, err := j.read(ctx)
	if err != nil {
		return Recovery{}, err
	}
	j.ring.sequence = v.lastSequence()
	j.ring.versions = v.versions
	j.manifest = v.manifest
	j.snapshotSequence = v.manifest.body.Sequence
	j.uncoveredBytes = v.chainBytes
	j.snapshotBytes = v.manifest.body.Size
	if j.ring.sequence-j.snapshotSequence >= j.slots-reservedSlots {
		if err := j.compactRing(ctx, v); err != nil {
			return Recovery{}, err
		}
	}
	if _, err := j.writeSegment(ctx, batch{}); err != nil {
		if errors.Is(err, ErrDeposed) || errors.Is(err, errSlotReused) {
			return Recovery{}, errOtherOwnerWrote
		}
		return Recovery{}, err
	}
	return Recovery{snapshot: v.snapshot.State, records: v.replay.records, sequence: j.ring.sequence}, nil
}

// compactRing frees a full ring. It writes a snapshot that consists of the newest
// snapshot's state and all records since. It waits for no queued record, since its state
// holds none.
func (j *Journaler) compactRing(ctx context.Context, v view) error {
	return j.writeSnapshot(ctx, pendingSnapshot{
		sequence:     v.lastSequence(),
		content:      snapshot{State: v.snapshot.State, Records: v.replay.records, Unfinished: v.replay.unfinished},
		coveredBytes: v.chainBytes,
	})
}

// start starts the writer, which runs until Close, Abort or an error that ends the
// journal. It reports false if the journal was aborted while it was being opened.
func (j *Journaler) start(ctx context.Context) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.endErr != nil {
		return false
	}
	ctx, j.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go j.run(ctx)
	return true
}

// read returns a consistent view of the journal, or errInconsistentRead.
func (j *Journaler) read(ctx context.Context) (view, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, err := j.store.List(readCtx, j.prefix())
	if err != nil {
		return view{}, err
	}
	v := view{versions: make([]uint64, j.slots)}
	segments := map[uint64]segment{}
	sizes := map[uint64]int{}
	for _, entry := range entries {
		if entry.Key() == j.manifestKey() {
			err = j.readManifest(entry, &v.manifest)
		} else {
			err = j.readSlot(entry, v.versions, segments, sizes)
		}
		if err != nil {
			return view{}, err
		}
	}
	if err := v.buildChain(segments, sizes); err != nil {
		return view{}, err
	}
	if v.manifest.version > 0 {
		if err := j.readChunks(readCtx, &v); err != nil {
			return v, err
		}
	}
	return v, v.joinRecords()
}

// readManifest decodes the manifest into stored. It returns ErrDeposed if an owner of a
// newer term wrote the manifest.
func (j *Journaler) readManifest(entry keeper.Entry, stored *storedManifest) error {
	if err := decode(entry.Value(), &stored.body); err != nil {
		return oops.With("key", entry.Key()).Wrap(err)
	}
	stored.version = entry.Version()
	if stored.body.Term > j.ring.term {
		return ErrDeposed
	}
	return nil
}

// readSlot decodes the segment in a slot, checks that it belongs there and adds it to
// versions, segments and sizes. It returns ErrDeposed if an owner of a newer term wrote
// the segment.
func (j *Journaler) readSlot(entry keeper.Entry, versions []uint64, segments map[uint64]segment, sizes map[uint64]int) error {
	slot, err := strconv.ParseUint(strings.TrimPrefix(entry.Key(), j.prefix()), 10, 64)
	if err != nil || slot >= j.slots {
		return oops.With("key", entry.Key()).Wrapf(ErrUnsupportedFormat, "key is no slot of a ring of %d", j.slots)
	}
	var s segment
	if err := decode(entry.Value(), &s); err != nil {
		return oops.With("key", entry.Key()).Wrap(err)
	}
	if s, err = j.packer.unpackSegment(s); err != nil {
		return oops.With("key", entry.Key()).Wrap(err)
	}
	switch {
	case s.Ring != j.slots:
		return oops.With("key", entry.Key()).Wrapf(ErrUnsupportedFormat, "segment of a ring of %d slots", s.Ring)
	case s.Sequence%j.slots != slot:
		return oops.With("key", entry.Key()).Wrapf(ErrCorrupt, "segment %d in slot %d", s.Sequence, slot)
	case s.Term > j.ring.term:
		return ErrDeposed
	}
	versions[slot] = entry.Version()
	segments[s.Sequence] = s
	sizes[s.Sequence] = len(entry.Value())
	return nil
}

// buildChain puts the segments after the snapshot in order. It returns
// errInconsistentRead if a segment between the snapshot and the newest one is missing.
func (v *view) buildChain(segments map[uint64]segment, sizes map[uint64]int) error {
	next := v.manifest.body.Sequence + 1
	for {
		s, ok := segments[next]
		if !ok {
			break
		}
		v.chain = append(v.chain, s)
		v.chainBytes += sizes[next]
		next++
	}
	for sequence := range segments {
		if sequence >= next {
			return fmt.Errorf("%w: segment %d found but segment %d missing", errInconsistentRead, sequence, next)
		}
	}
	return nil
}

// readChunks reads and decodes the snapshot that the manifest names, chunk by chunk.
func (j *Journaler) readChunks(ctx context.Context, v *view) error {
	m := v.manifest.body
	payload := make([]byte, 0, m.Size)
	for n := range m.Chunks {
		entry, err := j.store.Get(ctx, chunkKey(m.Name, n))
		if errors.Is(err, keeper.ErrNotFound) {
			return fmt.Errorf("%w: chunk %d of snapshot %s is missing", errInconsistentRead, n, m.Name)
		}
		if err != nil {
			return err
		}
		payload = append(payload, entry.Value()...)
		v.manifest.chunks = append(v.manifest.chunks, entry.Version())
	}
	if len(payload) != m.Size || xxhash.Sum64(payload) != m.Sum {
		return oops.With("key", m.Name).Wrapf(ErrCorrupt, "wrong checksum of the snapshot")
	}
	if m.Packed {
		var err error
		if payload, err = j.packer.unpack(payload); err != nil {
			return oops.With("key", m.Name).Wrap(err)
		}
	}
	if err := decoder.Unmarshal(payload, &v.snapshot); err != nil {
		return oops.With("key", m.Name).Wrapf(ErrCorrupt, "%v", err)
	}
	return nil
}
