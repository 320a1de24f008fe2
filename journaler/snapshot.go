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
	// chunkLimit is the largest chunk of a snapshot in bytes.
	// A chunk takes 0.3 s over a link of 10 Mbit/s, well within a call's time.
	chunkLimit = 256 << 10
	// minWeight is the size in bytes up to which a snapshot counts as that large,
	// so that small ones aren't taken all the time.
	minWeight = 64 << 10
)

// errDiscarded means that a snapshot holds what didn't get into the journal.
var errDiscarded = errors.New("snapshot discarded")

// capture is a snapshot on its way into the service.
type capture struct {
	sequence uint64 // newest segment covered
	content  snapshot
	admitted uint64 // records that the state may hold
	failures uint64 // number of failures when the state was taken
	loose    int    // bytes of the segments covered
}

// compact starts a snapshot if one is due and none is being written.
func (j *Journaler) compact(ctx context.Context) {
	if j.snapshot == nil || !j.due() {
		return
	}
	c := j.capture()
	j.snappings.Go(func() {
		if err := j.keep(ctx, c); err != nil {
			j.log.Warn("snapshot failed", "sequence", c.sequence, "err", err)
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		j.snapping = false
	})
}

// due reports whether a snapshot should begin, and if so notes that it does.
func (j *Journaler) due() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	heavy := j.loose > max(j.weight, minWeight)
	half := j.ring.sequence-j.covered >= j.slots/2
	if j.snapping || !heavy && !half {
		return false
	}
	j.snapping = true
	return true
}

// capture takes the state between two segments.
func (j *Journaler) capture() capture {
	j.mu.Lock()
	failures := j.failures
	loose := j.loose
	j.mu.Unlock()
	state := j.snapshot()
	j.mu.Lock()
	defer j.mu.Unlock()
	return capture{
		sequence: j.ring.sequence,
		content:  snapshot{State: state},
		admitted: j.admitted,
		failures: failures,
		loose:    loose,
	}
}

// keep writes a snapshot and makes it the newest.
func (j *Journaler) keep(ctx context.Context, c capture) error {
	plain, err := cbor.Marshal(c.content)
	if err != nil {
		return err
	}
	payload := j.packer.pack(plain)
	m := manifest{
		Sequence: c.sequence,
		Term:     j.ring.term,
		Name:     fmt.Sprintf("%s%d-%d-%s", j.chunkPrefix(), j.ring.term, c.sequence, uuid.NewString()[:8]),
		Chunks:   (len(payload) + chunkLimit - 1) / chunkLimit,
		Size:     len(payload),
		Sum:      xxhash.Sum64(payload),
		Packed:   true,
	}
	versions, err := j.writeChunks(ctx, m, payload)
	if err == nil {
		err = j.settled(ctx, c)
	}
	if err != nil {
		j.deleteChunks(ctx, m, versions)
		return err
	}
	old := j.newest
	if err := j.replace(ctx, m, versions); err != nil {
		return err
	}
	j.metrics.snapshots.Inc(1)
	j.log.Info("snapshot written", "sequence", m.Sequence, "bytes", m.Size, "chunks", m.Chunks)
	j.cover(c, m)
	if old.version > 0 {
		j.deleteChunks(ctx, old.manifest, old.chunks)
	}
	j.sweep(ctx)
	return nil
}

// writeChunks writes the payload in chunks and returns their versions.
func (j *Journaler) writeChunks(ctx context.Context, m manifest, payload []byte) ([]uint64, error) {
	var versions []uint64
	for n := range m.Chunks {
		chunk := payload[n*chunkLimit : min(len(payload), (n+1)*chunkLimit)]
		version, err := j.swap(ctx, swap{key: chunkKey(m.Name, n), data: chunk, compare: func(found []byte) error {
			if bytes.Equal(found, chunk) {
				return nil
			}
			return errLost
		}})
		if err != nil {
			return versions, err
		}
		versions = append(versions, version)
	}
	return versions, nil
}

// settled waits until all records that the state may hold are in the journal, and
// returns errDiscarded if one of them failed.
func (j *Journaler) settled(ctx context.Context, c capture) error {
	for {
		j.mu.Lock()
		progress := j.progress
		failed := j.failures != c.failures || j.ended != nil
		open := before(j.flying, c.admitted) || before(j.queue, c.admitted)
		j.mu.Unlock()
		switch {
		case failed:
			return errDiscarded
		case !open:
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ErrUnavailable
		}
	}
}

// before reports whether the first item was admitted no later than limit.
func before(items []*item, limit uint64) bool { return len(items) > 0 && items[0].id <= limit }

// replace makes the manifest the newest, unless a newer owner has written one.
func (j *Journaler) replace(ctx context.Context, m manifest, versions []uint64) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	for {
		var found manifest
		version, err := j.swap(ctx, swap{key: j.manifestKey(), data: data, expect: j.newest.version, compare: func(value []byte) error {
			found = manifest{}
			if err := decode(value, &found); err != nil {
				return err
			}
			if found.Name == m.Name {
				return nil
			}
			return errLost
		}})
		switch {
		case err == nil:
			j.newest = stored{manifest: m, version: version, chunks: versions, swept: j.newest.swept}
			return nil
		case !errors.Is(err, ErrDeposed):
			return err
		case found.Term > m.Term:
			return ErrDeposed
		}
		// An older owner got its last snapshot in.
		if err := j.adopt(ctx); err != nil {
			return err
		}
		if found.Sequence >= m.Sequence {
			return errRaced
		}
	}
}

// adopt takes over the manifest that another owner wrote, as the one to replace.
func (j *Journaler) adopt(ctx context.Context) error {
	short, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entry, err := j.store.Get(short, j.manifestKey())
	if err != nil {
		return err
	}
	var m manifest
	if err := decode(entry.Value(), &m); err != nil {
		return err
	}
	if entry.Version() > j.newest.version {
		j.newest = stored{manifest: m, version: entry.Version()}
	}
	return nil
}

// cover notes that a snapshot has freed slots.
func (j *Journaler) cover(c capture, m manifest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.covered = c.sequence
	j.loose -= c.loose
	j.weight = m.Size
}

// deleteChunks removes chunks that no manifest names. What stays behind is swept
// by the next owner.
func (j *Journaler) deleteChunks(ctx context.Context, m manifest, versions []uint64) {
	for n, version := range versions {
		if err := j.remove(ctx, chunkKey(m.Name, n), version); err != nil {
			j.log.Debug("chunk not deleted", "key", chunkKey(m.Name, n), "err", err)
		}
	}
}

// sweep deletes, once, the chunks that earlier owners left behind. Those of
// newer terms stay, since they may belong to a snapshot being written; no owner
// of an older term can make its chunks count any more, since its manifest would
// have to replace ours.
func (j *Journaler) sweep(ctx context.Context) {
	if j.newest.swept {
		return
	}
	short, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entries, err := j.store.List(short, j.chunkPrefix())
	if err != nil {
		return
	}
	j.newest.swept = true
	for _, entry := range entries {
		term, ok := j.chunkTerm(entry)
		if !ok || term > j.ring.term || strings.HasPrefix(entry.Key(), j.newest.manifest.Name+"/") {
			continue
		}
		_ = j.remove(ctx, entry.Key(), entry.Version())
	}
}

// chunkTerm returns the term in a chunk's key.
func (j *Journaler) chunkTerm(entry keeper.Entry) (uint64, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(entry.Key(), j.chunkPrefix()), "-")
	term, err := strconv.ParseUint(text, 10, 64)
	return term, ok && err == nil
}

// remove deletes a key, in one attempt.
func (j *Journaler) remove(ctx context.Context, key string, version uint64) error {
	short, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return j.store.Delete(short, key, version)
}
