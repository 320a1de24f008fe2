package journaler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// item is a record to be written, with the callback for its outcome.
type item struct {
	id        uint64 // order of admission, from 1
	record    []byte
	mandatory bool        // waits while the store is unavailable instead of failing
	begun     bool        // a part of it is written or in flight, so that it neither fails nor is withdrawn
	written   int         // size in bytes of the parts that are written
	done      func(error) // called without mu held; once, unless the item is withdrawn
}

// Append writes a record and returns nil once it is persisted, or ErrDeposed,
// ErrUnavailable or ErrTooLarge if it never will be. It returns ErrOutcomeUnknown
// only if the context or the journal ends while the record is in flight.
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

// Enqueue queues a record and returns at once. If it returns nil, done is called
// once: with nil when the record is persisted, with ErrDeposed or ErrUnavailable
// when it never will be, with ErrOutcomeUnknown when the journal ended before the
// outcome was known. All calls of done come from one goroutine, those with nil in the
// order of the records. done must not block.
func (j *Journaler) Enqueue(record []byte, done func(error)) error {
	return j.admit(&item{record: record, done: done})
}

// EnqueueMandatory is Enqueue for a record of something that has already happened, of any
// size. While the store is unavailable, the record waits and is neither refused nor failed.
func (j *Journaler) EnqueueMandatory(record []byte, done func(error)) error {
	return j.admit(&item{record: record, done: done, mandatory: true})
}

// admit queues an item or returns why it is refused.
func (j *Journaler) admit(it *item) error {
	if !it.mandatory && len(it.record) > RecordLimit {
		return ErrTooLarge
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.endErr != nil:
		return refusal(j.endErr)
	case j.closing, !it.mandatory && j.stalled():
		return ErrUnavailable
	}
	j.lastID++
	it.id = j.lastID
	j.queue = append(j.queue, it)
	j.queuedBytes += len(it.record)
	j.wake()
	return nil
}

// refusal returns the error for records that are not written because the journal has
// ended. cause is why it has ended.
func refusal(cause error) error {
	if errors.Is(cause, ErrDeposed) || errors.Is(cause, ErrUnavailable) {
		return cause
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// wake makes the writer check the queue.
func (j *Journaler) wake() {
	select {
	case j.wakeup <- struct{}{}:
	default:
	}
}

// stalled reports whether writing has failed or hung for stallTimeout. The caller holds
// mu.
func (j *Journaler) stalled() bool {
	return !j.blockedSince.IsZero() && time.Since(j.blockedSince) >= stallTimeout
}

// Available reports whether new records are admitted: the journal has not ended, and
// writing has not failed or hung for stallTimeout.
func (j *Journaler) Available() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.endErr == nil && !j.closing && !j.stalled()
}

// withdraw removes an item from the queue because its caller no longer waits. It
// returns ErrUnavailable if the item was still queued, the outcome if that is known
// already, and otherwise ErrOutcomeUnknown.
func (j *Journaler) withdraw(it *item, result <-chan error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	select {
	case err := <-result:
		return err
	default:
	}
	i := slices.Index(j.queue, it)
	if i < 0 || it.begun {
		return ErrOutcomeUnknown
	}
	j.queue = slices.Delete(j.queue, i, i+1)
	j.queuedBytes -= len(it.record)
	j.failures++
	j.notifyProgress()
	return ErrUnavailable
}

// failIfStalled fails the queued items that are neither mandatory nor begun if writing has
// stalled.
func (j *Journaler) failIfStalled() {
	j.mu.Lock()
	if !j.stalled() {
		j.mu.Unlock()
		return
	}
	var failed, mandatory []*item
	for _, it := range j.queue {
		if it.mandatory || it.begun {
			mandatory = append(mandatory, it)
		} else {
			failed = append(failed, it)
			j.queuedBytes -= len(it.record)
		}
	}
	j.queue = mandatory
	j.failures += uint64(len(failed))
	j.mu.Unlock()
	j.resolve(failed, ErrUnavailable)
}

// resolve calls done of each item with its outcome, err.
func (j *Journaler) resolve(batch []*item, err error) {
	for _, it := range batch {
		it.done(err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.notifyProgress()
}

// notifyProgress wakes the goroutines that wait for progress. The caller holds mu.
func (j *Journaler) notifyProgress() {
	close(j.progress)
	j.progress = make(chan struct{})
}

// end ends the journal and fails the queued items.
func (j *Journaler) end(cause error) {
	j.mu.Lock()
	if j.endErr == nil {
		j.endErr = cause
	}
	queue := j.queue
	j.queue, j.queuedBytes = nil, 0
	j.failures += uint64(len(queue))
	j.mu.Unlock()
	j.resolve(queue, refusal(cause))
}
