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

// readTimeout bounds one reading of the journal: 12 MB at 10 Mbit/s, ten times
// what a fleet of 350 workers has there.
const readTimeout = 10 * time.Second

// readAttempts is how often an inconsistent read, as of a stale replica, is
// repeated before it counts as damage.
const readAttempts = 8

// errStale means that a read does not fit together.
var errStale = errors.New("stale read")

// Recovery is what an owner finds in the journal.
type Recovery struct {
	snapshot []byte
	records  [][]byte
	sequence uint64
}

// Snapshot returns the newest snapshot, nil when there is none.
func (r Recovery) Snapshot() []byte { return r.snapshot }

// Records returns the records to replay after the snapshot, in order.
func (r Recovery) Records() [][]byte { return r.records }

// Sequence returns the number of the opening segment.
func (r Recovery) Sequence() uint64 { return r.sequence }

// view is a consistent reading of the service's keys.
type view struct {
	newest   stored
	content  snapshot
	chain    []segment // after the snapshot, without gaps
	versions []uint64  // of the slots
	loose    int       // bytes of the chain
}

// last returns the number of the newest segment.
func (v view) last() uint64 { return v.newest.manifest.Sequence + uint64(len(v.chain)) }

// records returns all that is to be replayed after the state.
func (v view) records() [][]byte {
	records := v.content.Records
	for _, s := range v.chain {
		records = append(records, s.Records...)
	}
	return records
}

// Open reads the journal and writes an opening segment under the term, which
// ends the journals of older owners. It returns ErrDeposed if a newer owner was
// there, ErrDamaged or ErrVersion if stored data can't be read; then nothing is
// written. It goes on while the service is away until the context ends.
func (j *Journaler) Open(ctx context.Context, term uint64) (Recovery, error) {
	j.ring.term = term
	retry := newBackoff()
	for stale := 0; ; {
		begun := time.Now()
		recovery, err := j.open(ctx)
		switch {
		case err == nil:
			if !j.start(ctx) {
				return Recovery{}, j.explain(ErrUnavailable)
			}
			j.log.Info("journal opened", "term", term, "sequence", recovery.sequence, "records", len(recovery.records))
			return recovery, nil
		case errors.Is(err, errStale):
			stale++
			if stale >= readAttempts {
				return Recovery{}, j.explain(fmt.Errorf("%w: %w", ErrCorrupt, err))
			}
		case errors.Is(err, errRaced), errors.Is(err, ErrUnavailable):
		default:
			return Recovery{}, j.explain(err)
		}
		j.log.Info("journal not open yet", "term", term, "took", time.Since(begun), "error", err)
		if !pause(ctx, retry.NextBackOff()) {
			return Recovery{}, j.explain(err)
		}
	}
}

// explain adds what the journal is of.
func (j *Journaler) explain(err error) error {
	return oops.In("journaler").With("shard", j.shard, "term", j.ring.term).Wrap(err)
}

// errRaced means that another owner wrote the slot for the opening segment.
var errRaced = errors.New("journal moved on")

// open makes one attempt to read and to write the opening segment.
func (j *Journaler) open(ctx context.Context) (Recovery, error) {
	v, err := j.read(ctx)
	if err != nil {
		return Recovery{}, err
	}
	j.ring.sequence = v.last()
	j.ring.versions = v.versions
	j.newest = v.newest
	j.covered = v.newest.manifest.Sequence
	j.loose = v.loose
	j.weight = v.newest.manifest.Size
	if j.ring.sequence-j.covered >= j.slots-reserve {
		if err := j.condense(ctx, v); err != nil {
			return Recovery{}, err
		}
	}
	if _, err := j.writeSegment(ctx, nil); err != nil {
		if errors.Is(err, ErrDeposed) || errors.Is(err, errOutlived) {
			return Recovery{}, errRaced
		}
		return Recovery{}, err
	}
	return Recovery{snapshot: v.content.State, records: v.records(), sequence: j.ring.sequence}, nil
}

// condense frees the ring, which earlier owners left full, by a snapshot of the
// last one with all records after it.
func (j *Journaler) condense(ctx context.Context, v view) error {
	return j.keep(ctx, capture{
		sequence: v.last(),
		content:  snapshot{State: v.content.State, Records: v.records()},
		loose:    v.loose,
		admitted: j.admitted,
		failures: j.failures,
	})
}

// start lets the writer run until Close, Abandon or the end of the journal. It
// reports false if the journal was abandoned before it was open.
func (j *Journaler) start(ctx context.Context) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended != nil {
		return false
	}
	ctx, j.stop = context.WithCancel(context.WithoutCancel(ctx))
	go j.run(ctx)
	return true
}

// read returns a consistent view, or errStale.
func (j *Journaler) read(ctx context.Context) (view, error) {
	short, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, err := j.store.List(short, j.prefix())
	if err != nil {
		return view{}, err
	}
	v := view{versions: make([]uint64, j.slots)}
	segments := map[uint64]segment{}
	sizes := map[uint64]int{}
	for _, entry := range entries {
		if entry.Key() == j.manifestKey() {
			err = j.readManifest(entry, &v.newest)
		} else {
			err = j.readSlot(entry, v.versions, segments, sizes)
		}
		if err != nil {
			return view{}, err
		}
	}
	if err := v.join(segments, sizes); err != nil {
		return view{}, err
	}
	if v.newest.version > 0 {
		err = j.readChunks(short, &v)
	}
	return v, err
}

// readManifest decodes the manifest.
func (j *Journaler) readManifest(entry keeper.Entry, newest *stored) error {
	if err := decode(entry.Value(), &newest.manifest); err != nil {
		return oops.With("key", entry.Key()).Wrap(err)
	}
	newest.version = entry.Version()
	if newest.manifest.Term > j.ring.term {
		return ErrDeposed
	}
	return nil
}

// readSlot decodes the segment in a slot.
func (j *Journaler) readSlot(entry keeper.Entry, versions []uint64, segments map[uint64]segment, sizes map[uint64]int) error {
	slot, err := strconv.ParseUint(strings.TrimPrefix(entry.Key(), j.prefix()), 10, 64)
	if err != nil || slot >= j.slots {
		return oops.With("key", entry.Key()).Wrapf(ErrUnsupportedFormat, "no slot of a ring of %d", j.slots)
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

// join puts the segments after the snapshot in order.
func (v *view) join(segments map[uint64]segment, sizes map[uint64]int) error {
	next := v.newest.manifest.Sequence + 1
	for {
		s, ok := segments[next]
		if !ok {
			break
		}
		v.chain = append(v.chain, s)
		v.loose += sizes[next]
		next++
	}
	for sequence := range segments {
		if sequence >= next {
			return fmt.Errorf("%w: segment %d without %d", errStale, sequence, next)
		}
	}
	return nil
}

// readChunks reads the snapshot that the manifest names.
func (j *Journaler) readChunks(ctx context.Context, v *view) error {
	m := v.newest.manifest
	payload := make([]byte, 0, m.Size)
	for n := range m.Chunks {
		entry, err := j.store.Get(ctx, chunkKey(m.Name, n))
		if errors.Is(err, keeper.ErrNotFound) {
			return fmt.Errorf("%w: chunk %d of %s is gone", errStale, n, m.Name)
		}
		if err != nil {
			return err
		}
		payload = append(payload, entry.Value()...)
		v.newest.chunks = append(v.newest.chunks, entry.Version())
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
	if err := decoder.Unmarshal(payload, &v.content); err != nil {
		return oops.With("key", m.Name).Wrapf(ErrCorrupt, "%v", err)
	}
	return nil
}
