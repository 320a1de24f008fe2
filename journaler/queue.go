package journaler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// item is a record on its way into the journal.
type item struct {
	id     uint64 // order of admission, from 1
	record []byte
	kept   bool        // waits for as long as the service is away
	done   func(error) // called once, without a lock held
}

// Append writes a record and returns when it surely holds, or ErrDeposed or
// ErrUnavailable if it never will. ErrUnknown means that it may yet hold; that
// happens only when the context ends, or the journal does, while the record is
// under way.
func (j *Journaler) Append(ctx context.Context, record []byte) error {
	result := make(chan error, 1)
	it := &item{record: record, done: func(err error) { result <- err }}
	if err := j.admit(it); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return j.withdraw(it, result)
	}
}

// Enqueue adds a record and returns at once. If it returns nil, done is called
// once: with nil when the record holds, with ErrDeposed or ErrUnavailable when
// it never will, with ErrUnknown when the journal ended before that was known.
// All calls of done come from one goroutine, in the order of the records; they
// must not block.
func (j *Journaler) Enqueue(record []byte, done func(error)) error {
	return j.admit(&item{record: record, done: done})
}

// EnqueueMandatory is Enqueue for a record of what has happened already: it is
// neither refused nor given up while the service is away.
func (j *Journaler) EnqueueMandatory(record []byte, done func(error)) error {
	return j.admit(&item{record: record, done: done, kept: true})
}

// admit queues an item, or says why not.
func (j *Journaler) admit(it *item) error {
	if len(it.record) > RecordLimit {
		return ErrTooLarge
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.ended != nil:
		return refusal(j.ended)
	case j.closing, !it.kept && j.stalled():
		return ErrUnavailable
	}
	j.admitted++
	it.id = j.admitted
	j.queue = append(j.queue, it)
	j.waiting += len(it.record)
	j.wake()
	return nil
}

// refusal returns what a record is refused with after the journal has ended.
func refusal(cause error) error {
	if errors.Is(cause, ErrDeposed) || errors.Is(cause, ErrUnavailable) {
		return cause
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// wake lets the writer look at the queue.
func (j *Journaler) wake() {
	select {
	case j.kick <- struct{}{}:
	default:
	}
}

// stalled reports whether writing has been impossible for long. The caller holds
// the lock.
func (j *Journaler) stalled() bool {
	return !j.trouble.IsZero() && time.Since(j.trouble) >= stallLimit
}

// withdraw takes an item back whose caller waits no longer.
func (j *Journaler) withdraw(it *item, result <-chan error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	select {
	case err := <-result:
		return err
	default:
	}
	at := slices.Index(j.queue, it)
	if at < 0 {
		return ErrOutcomeUnknown
	}
	j.queue = slices.Delete(j.queue, at, at+1)
	j.waiting -= len(it.record)
	j.failures++
	j.settle()
	return ErrUnavailable
}

// take moves items from the queue into flight, as many as one segment holds.
func (j *Journaler) take() []*item {
	j.mu.Lock()
	defer j.mu.Unlock()
	size, n := 0, 0
	for n < len(j.queue) && (n == 0 || size+len(j.queue[n].record) <= segmentLimit) {
		size += len(j.queue[n].record)
		n++
	}
	batch := slices.Clone(j.queue[:n])
	j.queue = slices.Delete(j.queue, 0, n)
	j.waiting -= size
	j.flying = batch
	if n > 0 && j.trouble.IsZero() {
		j.trouble = time.Now()
	}
	return batch
}

// putBack returns items to the head of the queue whose segment surely was not
// written.
func (j *Journaler) putBack(batch []*item) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.queue = append(batch, j.queue...)
	for _, it := range batch {
		j.waiting += len(it.record)
	}
	j.flying = nil
}

// giveUp fails the queued items that are not kept, if writing has been
// impossible for long.
func (j *Journaler) giveUp() {
	j.mu.Lock()
	if !j.stalled() {
		j.mu.Unlock()
		return
	}
	var failed, kept []*item
	for _, it := range j.queue {
		if it.kept {
			kept = append(kept, it)
		} else {
			failed = append(failed, it)
			j.waiting -= len(it.record)
		}
	}
	j.queue = kept
	j.failures += uint64(len(failed))
	j.mu.Unlock()
	j.finish(failed, ErrUnavailable)
}

// finish tells the items' outcome.
func (j *Journaler) finish(batch []*item, err error) {
	for _, it := range batch {
		it.done(err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.settle()
}

// settle tells those who wait for progress. The caller holds the lock.
func (j *Journaler) settle() {
	close(j.progress)
	j.progress = make(chan struct{})
}

// landed notes that the segment in flight holds.
func (j *Journaler) landed(batch []*item) {
	j.finish(batch, nil)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.flying = nil
	j.trouble = time.Time{}
	j.settle()
}

// end closes the journal for good and fails what is queued.
func (j *Journaler) end(cause error) {
	j.mu.Lock()
	if j.ended == nil {
		j.ended = cause
	}
	queue := j.queue
	j.queue, j.waiting = nil, 0
	j.failures += uint64(len(queue))
	j.mu.Unlock()
	j.finish(queue, refusal(cause))
}
