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
	// minSnapshotBytes is the least size that is assumed for the newest snapshot when
	// it is compared with the segments since. Small states would be snapshotted all
	// the time otherwise.
	minSnapshotBytes = 64 << 10
)

// errDiscarded means that a snapshot may hold the effects of a record that is not in
// the journal.
var errDiscarded = errors.New("snapshot discarded: a record in it may have failed")

// pendingSnapshot is a snapshot to be written.
type pendingSnapshot struct {
	sequence     uint64 // newest segment covered
	content      snapshot
	admitted     uint64 // id of the newest record that the state may hold
	failures     uint64 // number of failures before the state was taken
	coveredBytes int    // size of the segments that only this snapshot covers
}

// snapshotIfDue starts to write a snapshot if one is due and none is being written.
func (j *Journaler) snapshotIfDue(ctx context.Context) {
	if j.snapshotter == nil || !j.beginSnapshot() {
		return
	}
	p := j.capture()
	j.snapshotWrites.Go(func() {
		if err := j.writeSnapshot(ctx, p); err != nil {
			j.log.Warn("snapshot failed", "sequence", p.sequence, "err", err)
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		j.snapshotting = false
	})
}

// beginSnapshot reports whether a snapshot is due and none is being written; if so,
// it marks one as being written. A snapshot is due when the segments since the newest
// one are larger than it or take half of the ring.
func (j *Journaler) beginSnapshot() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	large := j.uncoveredBytes > max(j.snapshotBytes, minSnapshotBytes)
	half := j.ring.sequence-j.covered >= j.slots/2
	if j.snapshotting || !large && !half {
		return false
	}
	j.snapshotting = true
	return true
}

// capture takes the state. It is called between two writes of segments.
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
		content:      snapshot{State: state},
		admitted:     j.admitted,
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
	old := j.newest
	if err := j.replaceManifest(ctx, m, versions); err != nil {
		return err
	}
	j.metrics.snapshots.Inc(1)
	j.log.Info("snapshot written", "sequence", m.Sequence, "bytes", m.Size, "chunks", m.Chunks)
	j.markCovered(p, m)
	if old.version > 0 {
		j.deleteChunks(ctx, old.manifest, old.chunks)
	}
	j.sweep(ctx)
	return nil
}

// writeChunks writes the payload in chunks and returns their versions, also those of
// the chunks before an error.
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

// awaitRecords waits until all records that the state may hold are in the journal. It
// returns errDiscarded if any record fails before that or the journal ends.
func (j *Journaler) awaitRecords(ctx context.Context, p pendingSnapshot) error {
	for {
		j.mu.Lock()
		progress := j.progress
		failed := j.failures != p.failures || j.endErr != nil
		pending := anyAdmittedBy(j.inFlight, p.admitted) || anyAdmittedBy(j.queue, p.admitted)
		j.mu.Unlock()
		switch {
		case failed:
			return errDiscarded
		case !pending:
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ErrUnavailable
		}
	}
}

// anyAdmittedBy reports whether any item, in order of admission, has an id up to limit.
func anyAdmittedBy(items []*item, limit uint64) bool { return len(items) > 0 && items[0].id <= limit }

// replaceManifest makes m the manifest in the store. It returns ErrDeposed if an owner
// of a newer term has written one, errRaced if the one found covers as many segments.
func (j *Journaler) replaceManifest(ctx context.Context, m manifest, versions []uint64) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	for {
		var found manifest
		version, err := j.compareAndSwap(ctx, casWrite{key: j.manifestKey(), data: data, expect: j.newest.version, classify: func(value []byte) error {
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
			j.newest = storedManifest{manifest: m, version: version, chunks: versions, swept: j.newest.swept}
			return nil
		case !errors.Is(err, ErrDeposed):
			return err
		case found.Term > m.Term:
			return ErrDeposed
		}
		// An older owner has written a snapshot in the meantime.
		if err := j.adoptManifest(ctx); err != nil {
			return err
		}
		if found.Sequence >= m.Sequence {
			return errRaced
		}
	}
}

// adoptManifest reads the manifest that another owner wrote, as the one to replace.
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
	if entry.Version() > j.newest.version {
		j.newest = storedManifest{manifest: m, version: entry.Version()}
	}
	return nil
}

// markCovered frees the slots that a snapshot covers.
func (j *Journaler) markCovered(p pendingSnapshot, m manifest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.covered = p.sequence
	j.uncoveredBytes -= p.coveredBytes
	j.snapshotBytes = m.Size
}

// deleteChunks deletes chunks that no manifest names any more. Those that it can't
// delete are left to a later sweep.
func (j *Journaler) deleteChunks(ctx context.Context, m manifest, versions []uint64) {
	for n, version := range versions {
		if err := j.deleteKey(ctx, chunkKey(m.Name, n), version); err != nil {
			j.log.Debug("chunk not deleted", "key", chunkKey(m.Name, n), "err", err)
		}
	}
}

// sweep deletes, once, the chunks that earlier owners left behind. Chunks of newer
// terms stay, since they may belong to a snapshot being written. Chunks of older
// terms are of no use: their owner would have to replace our manifest, and can't.
func (j *Journaler) sweep(ctx context.Context) {
	if j.newest.swept {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entries, err := j.store.List(callCtx, j.chunkPrefix())
	if err != nil {
		return
	}
	j.newest.swept = true
	for _, entry := range entries {
		term, ok := j.chunkTerm(entry)
		if !ok || term > j.ring.term || strings.HasPrefix(entry.Key(), j.newest.manifest.Name+"/") {
			continue
		}
		_ = j.deleteKey(ctx, entry.Key(), entry.Version())
	}
}

// chunkTerm returns the term in the key of a chunk.
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
