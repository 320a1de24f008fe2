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
	// retryPause is the first pause after a failed call, retryLimit the longest.
	retryPause = 20 * time.Millisecond
	retryLimit = 500 * time.Millisecond
)

// errLost means that another segment than ours stands in the slot.
var errLost = errors.New("slot taken")

// run writes segments until the journal is over.
func (j *Journaler) run(ctx context.Context) {
	defer close(j.stopped)
	defer j.snappings.Wait()
	defer j.stop()
	retry := newBackoff()
	for j.gather(ctx) {
		batch := j.take()
		err := j.write(ctx, batch)
		switch {
		case err == nil:
			retry.Reset()
			j.compact(ctx)
		case errors.Is(err, ErrUnavailable):
			j.putBack(batch)
			j.giveUp()
			pause(ctx, retry.NextBackOff())
		default:
			j.over(batch, err)
			return
		}
	}
	j.leave(ctx)
	j.end(ErrUnavailable)
}

// over ends the journal with a segment in flight.
func (j *Journaler) over(batch []*item, err error) {
	j.log.Warn("journal ended", "term", j.ring.term, "sequence", j.ring.sequence, "err", err)
	cause, outcome := err, ErrOutcomeUnknown
	switch {
	case errors.Is(err, ErrDeposed):
		outcome = ErrDeposed
	case errors.Is(err, errOutlived):
		cause = ErrDeposed
	case errors.Is(err, ErrOutcomeUnknown):
		cause = ErrUnavailable
	}
	j.mu.Lock()
	j.failures += uint64(len(batch))
	j.mu.Unlock()
	j.finish(batch, outcome)
	j.end(cause)
}

// gather waits for records and for the window and rate of segments. It reports
// false when nothing is left to write.
func (j *Journaler) gather(ctx context.Context) bool {
	for {
		waiting, size, closing, stalled := j.look()
		switch {
		case ctx.Err() != nil, closing && waiting == 0:
			return false
		case waiting > 0:
			if size < segmentLimit && !closing {
				pause(ctx, j.window)
			}
			return j.limiter.Wait(ctx) == nil
		case stalled:
			j.probe(ctx)
			continue
		}
		select {
		case <-j.kick:
		case <-ctx.Done():
		}
	}
}

// look returns the state of the queue.
func (j *Journaler) look() (waiting, size int, closing, stalled bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.queue), j.waiting, j.closing, !j.trouble.IsZero()
}

// probe finds out whether the service has come back, since refused records
// won't show it.
func (j *Journaler) probe(ctx context.Context) {
	short, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err := j.store.Get(short, j.manifestKey())
	if (err == nil || errors.Is(err, keeper.ErrNotFound)) && j.room() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.trouble = time.Time{}
		return
	}
	j.compact(ctx)
	pause(ctx, retryLimit)
}

// room reports whether the next slot is covered by a snapshot, reserve aside.
func (j *Journaler) room() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ring.sequence-j.covered < j.slots-reserve
}

// write puts the items into the next slot. ErrUnavailable means that they surely
// were not written; other errors end the journal.
func (j *Journaler) write(ctx context.Context, batch []*item) error {
	if len(batch) == 0 {
		return nil
	}
	if !j.room() {
		j.compact(ctx)
		return ErrUnavailable
	}
	records := make([][]byte, 0, len(batch))
	for _, it := range batch {
		records = append(records, it.record)
	}
	size, err := j.writeSegment(ctx, records)
	if err != nil {
		return err
	}
	j.metrics.segments.Inc(1)
	j.metrics.records.Inc(int64(len(batch)))
	j.metrics.bytes.Inc(int64(size))
	j.landed(batch)
	return nil
}

// writeSegment writes the next segment and returns its size in bytes once it
// holds.
func (j *Journaler) writeSegment(ctx context.Context, records [][]byte) (int, error) {
	id := uuid.New()
	s := segment{Sequence: j.ring.sequence + 1, Term: j.ring.term, Write: id[:], Ring: j.slots, Records: records}
	packed, err := j.packer.packSegment(s)
	if err != nil {
		return 0, err
	}
	data, err := encode(packed)
	if err != nil {
		return 0, err
	}
	key := j.slotKey(s.Sequence)
	slot := s.Sequence % j.slots
	version, err := j.swap(ctx, swap{
		key:     key,
		data:    data,
		expect:  j.ring.versions[slot],
		compare: s.compare,
		retry:   j.giveUp,
	})
	if err != nil {
		return 0, err
	}
	j.ring.versions[slot] = version
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring.sequence = s.Sequence
	j.loose += len(data)
	return len(data), nil
}

// errOutlived means that the slot was used again, so that nobody can tell any
// more what stood there.
var errOutlived = errors.New("slot used again")

// errBehind means that what is to be replaced stands there, under a newer
// version than the one expected, which came from a stale read.
var errBehind = errors.New("version expected too old")

// compare tells what it means that the slot holds value: nil that the segment
// held, errLost that it never will, errBehind that it is still to be written,
// errOutlived that nobody can tell.
func (s segment) compare(value []byte) error {
	var found segment
	if err := decode(value, &found); err != nil {
		return err
	}
	switch {
	case bytes.Equal(found.Write, s.Write):
		return nil
	case found.Sequence > s.Sequence:
		return errOutlived
	case found.Sequence < s.Sequence:
		return errBehind
	default:
		return errLost
	}
}

// swap is a write by compare-and-swap.
type swap struct {
	key     string
	data    []byte
	expect  uint64             // version to be replaced
	compare func([]byte) error // judges a value that stands in its place
	retry   func()             // called before each further attempt; may be nil
}

// swap goes on until the outcome of the write is known. ErrUnavailable means
// that no attempt can have had an effect, ErrDeposed that another write took the
// place, ErrUnknown that the context ended first.
func (j *Journaler) swap(ctx context.Context, s swap) (uint64, error) {
	retry := newBackoff()
	sent := false
	for {
		version, err := j.put(ctx, s)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, keeper.ErrConflict):
		case !errors.Is(err, keeper.ErrUnavailable):
			sent = true
		case !sent:
			return 0, err
		}
		if s.retry != nil {
			s.retry()
		}
		version, err = j.readBack(ctx, s)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, errLost):
			return 0, ErrDeposed
		case errors.Is(err, errBehind):
			// No attempt so far can hold any more.
			s.expect = version
			sent = false
			continue
		case !errors.Is(err, errOpen):
			return 0, err
		}
		if !pause(ctx, retry.NextBackOff()) {
			return 0, ErrOutcomeUnknown
		}
	}
}

// errOpen means that the outcome of a write is not decided yet.
var errOpen = errors.New("outcome open")

// readBack finds out what became of a write. A read that shows no newer version
// than the one expected may be stale, or the write may yet hold.
func (j *Journaler) readBack(ctx context.Context, s swap) (uint64, error) {
	short, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entry, err := j.store.Get(short, s.key)
	if err != nil || entry.Version() <= s.expect {
		return 0, errOpen
	}
	return entry.Version(), s.compare(entry.Value())
}

// put makes one attempt.
func (j *Journaler) put(ctx context.Context, s swap) (uint64, error) {
	short, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return j.store.Put(short, s.key, s.data, s.expect, 0)
}

// newBackoff returns the pauses between attempts.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryPause
	b.MaxInterval = retryLimit
	return b
}

// pause sleeps and reports whether the context outlived it.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
