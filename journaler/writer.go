package journaler

import (
	"bytes"
	"context"
	"errors"
	"time"

	"filberthaven.example/keeper"
	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
)

const (
	// minBackoff and maxBackoff are the first and the longest back-off after a failed
	// call.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// errKeyTaken means that another write has replaced the expected version, so that this
// write can no longer take effect.
var errKeyTaken = errors.New("key taken by another write")

// run writes segments until the journal ends.
func (j *Journaler) run(ctx context.Context) {
	defer close(j.done)
	defer j.snapshotWrites.Wait()
	defer j.cancel()
	retry := newBackoff()
	for j.awaitBatch(ctx) {
		batch := j.takeBatch()
		err := j.write(ctx, batch)
		switch {
		case err == nil:
			retry.Reset()
			j.snapshotIfDue(ctx)
		case errors.Is(err, ErrUnavailable):
			j.requeue(batch)
			j.failIfStalled()
			sleep(ctx, retry.NextBackOff())
		default:
			j.fail(batch.items, err)
			return
		}
	}
	j.writeFinalSnapshot(ctx)
	j.end(ErrUnavailable)
}

// fail ends the journal because of err and fails the batch in flight, whose segment can't
// be written again after err.
func (j *Journaler) fail(batch []*item, err error) {
	j.log.Warn("journal ended", "term", j.ring.term, "sequence", j.ring.sequence, "err", err)
	cause, outcome := err, ErrOutcomeUnknown
	switch {
	case errors.Is(err, ErrDeposed):
		outcome = ErrDeposed
	case errors.Is(err, errSlotReused):
		cause = ErrDeposed
	case errors.Is(err, ErrOutcomeUnknown):
		cause = ErrUnavailable
	}
	j.mu.Lock()
	j.failures += uint64(len(batch))
	j.mu.Unlock()
	j.resolve(batch, outcome)
	j.end(cause)
}

// awaitBatch waits for records, then for the batch delay and the rate limit. It
// reports false when the context has ended, or when the journal is closing and has
// nothing left to write.
func (j *Journaler) awaitBatch(ctx context.Context) bool {
	for {
		queued, size, closing, blocked := j.queueState()
		switch {
		case ctx.Err() != nil, closing && queued == 0:
			return false
		case queued > 0:
			if size < segmentLimit && !closing {
				sleep(ctx, j.batchDelay)
			}
			return j.limiter.Wait(ctx) == nil
		case blocked:
			j.checkStore(ctx)
			continue
		}
		select {
		case <-j.wakeup:
		case <-ctx.Done():
		}
	}
}

// queueState returns the number of queued items, their size in bytes, whether the
// journal is closing, and whether the last write failed.
func (j *Journaler) queueState() (queued, size int, closing, blocked bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.queue), j.queuedBytes, j.closing, !j.blockedSince.IsZero()
}

// checkStore clears blockedSince if the store is available and a slot is free, so that
// records are admitted again. While all records are refused, no write would show this.
// Otherwise it starts a snapshot if one is due, and waits for maxBackoff.
func (j *Journaler) checkStore(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err := j.store.Get(callCtx, j.manifestKey())
	if (err == nil || errors.Is(err, keeper.ErrNotFound)) && j.hasFreeSlot() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.blockedSince = time.Time{}
		return
	}
	j.snapshotIfDue(ctx)
	sleep(ctx, maxBackoff)
}

// hasFreeSlot reports whether a slot is free besides the reserved ones.
func (j *Journaler) hasFreeSlot() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.freeSlots() > 0
}

// freeSlots returns the number of free slots besides the reserved ones. The caller
// holds mu.
func (j *Journaler) freeSlots() uint64 {
	limit := j.slots - reservedSlots
	return limit - min(limit, j.ring.sequence-j.snapshotSequence)
}

// write writes the batch to the next slot. ErrUnavailable means that the batch was not
// written and can be written later. Other errors end the journal.
func (j *Journaler) write(ctx context.Context, b batch) error {
	if len(b.records) == 0 {
		return nil
	}
	if !j.hasFreeSlot() {
		j.snapshotIfDue(ctx)
		return ErrUnavailable
	}
	size, err := j.writeSegment(ctx, b)
	if err != nil {
		return err
	}
	j.metrics.segments.Inc(1)
	j.metrics.records.Inc(int64(len(b.items)))
	j.metrics.bytes.Inc(int64(size))
	j.markWritten(b)
	return nil
}

// writeSegment writes the next segment and returns its size in bytes once it is
// persisted.
func (j *Journaler) writeSegment(ctx context.Context, b batch) (int, error) {
	id := uuid.New()
	s := segment{
		Sequence: j.ring.sequence + 1, Term: j.ring.term, Write: id[:], Ring: j.slots,
		Records: b.records, Continues: b.continues, Unfinished: b.partial != nil,
	}
	packed, err := j.packer.packSegment(s)
	if err != nil {
		return 0, err
	}
	data, err := packed.encode()
	if err != nil {
		return 0, err
	}
	key := j.slotKey(s.Sequence)
	slot := s.Sequence % j.slots
	version, err := j.compareAndSwap(ctx, casWrite{
		key:      key,
		data:     data,
		expect:   j.ring.versions[slot],
		classify: s.classify,
		onRetry:  j.failIfStalled,
	})
	if err != nil {
		return 0, err
	}
	j.ring.versions[slot] = version
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring.sequence = s.Sequence
	j.uncoveredBytes += len(data)
	return len(data), nil
}

// errSlotReused means that the slot holds a later segment, so that the outcome of writing
// this segment can no longer be determined.
var errSlotReused = errors.New("slot reused by a later segment")

// errStaleVersion means that the slot still holds an earlier segment, at a newer version
// than the expected one. The expected version came from a stale read.
var errStaleVersion = errors.New("expected version is stale")

// classify returns the outcome of writing the segment, given the value in its slot: nil
// if the segment was written, errKeyTaken if it never will be, errStaleVersion if it is
// still to be written, errSlotReused if the outcome can no longer be determined.
func (s segment) classify(value []byte) error {
	var found segment
	if err := decode(value, &found); err != nil {
		return err
	}
	switch {
	case bytes.Equal(found.Write, s.Write):
		return nil
	case found.Sequence > s.Sequence:
		return errSlotReused
	case found.Sequence < s.Sequence:
		return errStaleVersion
	default:
		return errKeyTaken
	}
}

// casWrite is a write by compare-and-swap.
type casWrite struct {
	key      string
	data     []byte
	expect   uint64             // version to replace
	classify func([]byte) error // returns the outcome of the write, given the value found under key
	onRetry  func()             // called before each read-back of the outcome; may be nil
}

// compareAndSwap makes the write w, retries until its outcome is known, and returns the
// new version. ErrUnavailable means that no attempt had an effect, ErrDeposed that another
// write has replaced the expected version, ErrOutcomeUnknown that the context ended first.
// Other errors come from classify.
func (j *Journaler) compareAndSwap(ctx context.Context, w casWrite) (uint64, error) {
	retry := newBackoff()
	inDoubt := false // whether an earlier attempt may have had or may still have an effect
	timeout := firstTimeout + time.Duration(len(w.data))*timePerByte
	for ; ; timeout = min(2*timeout, attemptTimeout) {
		version, err := j.put(ctx, w, timeout)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, keeper.ErrConflict):
		case !errors.Is(err, keeper.ErrUnavailable):
			inDoubt = true
		case !inDoubt:
			return 0, err
		}
		if w.onRetry != nil {
			w.onRetry()
		}
		version, err = j.readBack(ctx, w)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, errKeyTaken):
			return 0, ErrDeposed
		case errors.Is(err, errStaleVersion):
			// Earlier attempts expect an older version and can't have an effect any more.
			w.expect = version
			inDoubt = false
			continue
		case !errors.Is(err, errUndecided):
			return 0, err
		}
		if !sleep(ctx, retry.NextBackOff()) {
			return 0, ErrOutcomeUnknown
		}
	}
}

// errUndecided means that the outcome of a write is not known yet.
var errUndecided = errors.New("outcome of write not known yet")

// readBack reads the key to determine the outcome of a write. It returns errUndecided
// if the read fails or shows no newer version than the expected one: the read may be
// stale, or the write may still take effect.
func (j *Journaler) readBack(ctx context.Context, w casWrite) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entry, err := j.store.Get(callCtx, w.key)
	if err != nil || entry.Version() <= w.expect {
		return 0, errUndecided
	}
	return entry.Version(), w.classify(entry.Value())
}

// put makes one attempt of a write, bounded by timeout and attemptTimeout.
func (j *Journaler) put(ctx context.Context, w casWrite, timeout time.Duration) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, min(timeout, attemptTimeout))
	defer cancel()
	return j.store.Put(callCtx, w.key, w.data, w.expect, 0)
}

// newBackoff returns the back-off between attempts of a call.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	return b
}

// sleep waits for d. It reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
