package journaler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"filberthaven.example/keeper"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

const (
	// chunkLimit is the largest chunk of a snapshot in bytes. A chunk takes 0.3 s over
	// a link of 10 Mbit/s, well within attemptTimeout.
	chunkLimit = 256 << 10
	// minSnapshotBytes is the size in bytes above which the segments since the newest
	// snapshot may make the next one due. Without it a small state would be
	// snapshotted all the time.
	minSnapshotBytes = 64 << 10
)

// errSnapshotDiscarded means that a snapshot is not used because it may hold the effects
// of a record that is not in the journal.
var errSnapshotDiscarded = errors.New("snapshot discarded: a record in it may have failed")

// errSnapshotBlocked means that a snapshot waits for queued records for which the ring
// has no free slot.
var errSnapshotBlocked = errors.New("snapshot discarded: the ring is full and has no slot for a record in it")

// pendingSnapshot is a snapshot to be written.
type pendingSnapshot struct {
	sequence     uint64 // newest segment that it covers
	content      snapshot
	lastID       uint64 // id of the newest record that the state may hold besides those of the covered segments; 0 if none
	failures     uint64 // Journaler.failures before the state was taken
	coveredBytes int    // size of the segments that it covers and the newest snapshot does not
}

// snapshotIfDue starts to write a snapshot if one is due and none is being written. If
// the ring is full, it compacts the ring instead: the present state may hold the effects
// of queued records, which wait for the slots that the snapshot frees.
func (j *Journaler) snapshotIfDue(ctx context.Context) {
	if j.snapshotter == nil || !j.beginSnapshot() {
		return
	}
	write := j.compactFullRing
	if j.hasFreeSlot() {
		p := j.capture()
		write = func(ctx context.Context) error { return j.writeSnapshot(ctx, p) }
	}
	j.snapshotWrites.Go(func() {
		if err := write(ctx); err != nil {
			j.log.Warn("snapshot failed", "err", err)
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		j.snapshotting = false
	})
}

// beginSnapshot reports whether a snapshot is due and none is being written. If so, it
// sets snapshotting. A snapshot is due when the segments that no snapshot covers are
// larger than the newest snapshot and than minSnapshotBytes, or take half of the ring.
func (j *Journaler) beginSnapshot() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	tooLarge := j.uncoveredBytes > max(j.snapshotBytes, minSnapshotBytes)
	halfFull := j.ring.sequence-j.snapshotSequence >= j.slots/2
	if j.snapshotting || !tooLarge && !halfFull {
		return false
	}
	j.snapshotting = true
	return true
}

// capture takes the state for a snapshot that covers all segments written so far. It
// must not run during the write of a segment. It reads failures before it takes the
// state, and lastID after it, so that awaitRecords misses no record that the state may
// hold.
func (j *Journaler) capture() pendingSnapshot {
	j.mu.Lock()
	failures := j.failures
	coveredBytes := j.uncoveredBytes
	j.mu.Unlock()
	state := j.snapshotter()
	j.mu.Lock()
	defer j.mu.Unlock()
	return pendingSnapshot{
		sequence:     j.ring.sequence,
		content:      snapshot{State: state, Unfinished: j.unfinished()},
		lastID:       j.lastID,
		failures:     failures,
		coveredBytes: coveredBytes,
	}
}

// writeSnapshot writes the chunks of a snapshot, makes it the newest by replacing the
// manifest, and deletes the chunks that are no longer needed.
func (j *Journaler) writeSnapshot(ctx context.Context, p pendingSnapshot) error {
	data, err := cbor.Marshal(p.content)
	if err != nil {
		return err
	}
	payload := j.packer.pack(data)
	m := manifest{
		Sequence: p.sequence,
		Term:     j.ring.term,
		Name:     fmt.Sprintf("%s%d-%d-%s", j.chunkPrefix(), j.ring.term, p.sequence, uuid.NewString()[:8]),
		Chunks:   (len(payload) + chunkLimit - 1) / chunkLimit,
		Size:     len(payload),
		Sum:      xxhash.Sum64(payload),
		Packed:   true,
	}
	versions, err := j.writeChunks(ctx, m, payload)
	if err == nil {
		err = j.awaitRecords(ctx, p)
	}
	if err != nil {
		j.deleteChunks(ctx, m, versions)
		return err
	}
	old := j.manifest
	if err := j.replaceManifest(ctx, m, versions); err != nil {
		return err
	}
	j.metrics.snapshots.Inc(1)
	j.log.Info("snapshot written", "sequence", m.Sequence, "bytes", m.Size, "chunks", m.Chunks)
	j.markCovered(p, m)
	if old.version > 0 {
		j.deleteChunks(ctx, old.body, old.chunks)
	}
	j.sweep(ctx)
	return nil
}

// writeChunks writes the payload in chunks and returns the versions of the chunks. On an
// error it returns the versions of those that were written.
func (j *Journaler) writeChunks(ctx context.Context, m manifest, payload []byte) ([]uint64, error) {
	var versions []uint64
	for n := range m.Chunks {
		chunk := payload[n*chunkLimit : min(len(payload), (n+1)*chunkLimit)]
		version, err := j.compareAndSwap(ctx, casWrite{key: chunkKey(m.Name, n), data: chunk, classify: func(found []byte) error {
			if bytes.Equal(found, chunk) {
				return nil
			}
			return errKeyTaken
		}})
		if err != nil {
			return versions, err
		}
		versions = append(versions, version)
	}
	return versions, nil
}

// compactFullRing reads the journal and compacts it. The writer writes no segment
// meanwhile, since the ring has no free slot.
func (j *Journaler) compactFullRing(ctx context.Context) error {
	v, err := j.read(ctx)
	if err != nil {
		return err
	}
	j.log.Info("ring is full; compacting it", "sequence", v.lastSequence())
	return j.compactRing(ctx, v)
}

// awaitRecords waits until all records that the state may hold are in the journal. It
// returns errSnapshotDiscarded if any record has failed since the state was taken or if
// the journal ends, and errSnapshotBlocked if the ring has no slot for them.
func (j *Journaler) awaitRecords(ctx context.Context, p pendingSnapshot) error {
	if p.lastID == 0 {
		return nil
	}
	for {
		j.mu.Lock()
		progress := j.progress
		failed := j.failures != p.failures || j.endErr != nil
		pending := hasItemUpTo(j.inFlight, p.lastID) || hasItemUpTo(j.queue, p.lastID)
		full := j.freeSlots() == 0
		j.mu.Unlock()
		switch {
		case failed:
			return errSnapshotDiscarded
		case !pending:
			return nil
		case full:
			return errSnapshotBlocked
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ErrUnavailable
		}
	}
}

// hasItemUpTo reports whether any of the items has an id up to limit. The items are in
// order of admission.
func hasItemUpTo(items []*item, limit uint64) bool { return len(items) > 0 && items[0].id <= limit }

// replaceManifest makes m the manifest in the store. It returns ErrDeposed if an owner
// of a newer term has replaced the manifest, and errOtherOwnerWrote if an older owner has
// done so with a snapshot that covers at least as many segments.
func (j *Journaler) replaceManifest(ctx context.Context, m manifest, versions []uint64) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	for {
		var found manifest
		version, err := j.compareAndSwap(ctx, casWrite{key: j.manifestKey(), data: data, expect: j.manifest.version, classify: func(value []byte) error {
			found = manifest{}
			if err := decode(value, &found); err != nil {
				return err
			}
			if found.Name == m.Name {
				return nil
			}
			return errKeyTaken
		}})
		switch {
		case err == nil:
			j.manifest = storedManifest{body: m, version: version, chunks: versions, swept: j.manifest.swept}
			return nil
		case !errors.Is(err, ErrDeposed):
			return err
		case found.Term > m.Term:
			return ErrDeposed
		}
		// An older owner has replaced the manifest since it was last read.
		if err := j.adoptManifest(ctx); err != nil {
			return err
		}
		if found.Sequence >= m.Sequence {
			return errOtherOwnerWrote
		}
	}
}

// adoptManifest reads the manifest that another owner wrote, so that replaceManifest can
// replace it.
func (j *Journaler) adoptManifest(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entry, err := j.store.Get(callCtx, j.manifestKey())
	if err != nil {
		return err
	}
	var m manifest
	if err := decode(entry.Value(), &m); err != nil {
		return err
	}
	if entry.Version() > j.manifest.version {
		j.manifest = storedManifest{body: m, version: entry.Version()}
	}
	return nil
}

// markCovered frees the slots of the segments that a snapshot covers.
func (j *Journaler) markCovered(p pendingSnapshot, m manifest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.snapshotSequence = p.sequence
	j.uncoveredBytes -= p.coveredBytes
	j.snapshotBytes = m.Size
}

// deleteChunks deletes the chunks of a snapshot that is not in use. Chunks that it can't
// delete are left to a later sweep.
func (j *Journaler) deleteChunks(ctx context.Context, m manifest, versions []uint64) {
	for n, version := range versions {
		if err := j.deleteKey(ctx, chunkKey(m.Name, n), version); err != nil {
			j.log.Debug("chunk not deleted", "key", chunkKey(m.Name, n), "err", err)
		}
	}
}

// sweep deletes the chunks that earlier owners left behind. It does so only once, after a
// snapshot of this owner. Chunks of newer terms stay, since they may belong to a snapshot
// being written. Chunks of older terms are of no use, since their owner can't replace the
// manifest of this owner.
func (j *Journaler) sweep(ctx context.Context) {
	if j.manifest.swept {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entries, err := j.store.List(callCtx, j.chunkPrefix())
	if err != nil {
		return
	}
	j.manifest.swept = true
	for _, entry := range entries {
		term, ok := j.chunkTerm(entry)
		if !ok || term > j.ring.term || strings.HasPrefix(entry.Key(), j.manifest.body.Name+"/") {
			continue
		}
		_ = j.deleteKey(ctx, entry.Key(), entry.Version())
	}
}

// chunkTerm returns the term in the key of a chunk, and whether the key has one.
func (j *Journaler) chunkTerm(entry keeper.Entry) (uint64, bool) {
	digits, _, ok := strings.Cut(strings.TrimPrefix(entry.Key(), j.chunkPrefix()), "-")
	term, err := strconv.ParseUint(digits, 10, 64)
	return term, ok && err == nil
}

// deleteKey makes one attempt to delete a key.
func (j *Journaler) deleteKey(ctx context.Context, key string, version uint64) error {
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return j.store.Delete(callCtx, key, version)
}
