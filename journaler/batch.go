package journaler

import (
	"fmt"
	"slices"
	"time"
)

// PartLimit is the largest part of a record in bytes. A larger record is written in several
// segments, one part in each. The journal holds it once it holds the last part; the parts
// of a record whose owner has written no more of them are ignored.
const PartLimit = 256 << 10

// batch is what one segment holds.
type batch struct {
	records   [][]byte
	items     []*item // whose last bytes the batch has, in order
	continues bool    // the first record is a further part of one whose earlier parts are written
	partial   *item   // of which the last record is a part that is not the last; nil if there is none
	size      int     // of the records in bytes
}

// add takes what fits of an item, and reports whether more may follow.
func (b *batch) add(it *item) bool {
	rest := it.record[it.written:]
	size := min(len(rest), PartLimit)
	if len(b.records) > 0 && b.size+size > segmentLimit {
		return false
	}
	b.continues = b.continues || it.written > 0
	b.records = append(b.records, rest[:size])
	b.size += size
	it.begun = true
	if size < len(rest) {
		b.partial = it
		return false
	}
	b.items = append(b.items, it)
	return true
}

// takeBatch moves as many items as one segment holds from queue to inFlight, and returns
// them. An item with a further part stays in queue.
func (j *Journaler) takeBatch() batch {
	j.mu.Lock()
	defer j.mu.Unlock()
	var b batch
	for _, it := range j.queue {
		if !b.add(it) {
			break
		}
	}
	j.queue = slices.Delete(j.queue, 0, len(b.items))
	j.queuedBytes -= b.size
	j.inFlight = b.items
	if len(b.records) > 0 && j.blockedSince.IsZero() {
		j.blockedSince = time.Now()
	}
	return b
}

// requeue puts the batch in flight back at the head of the queue, because its segment was
// not written.
func (j *Journaler) requeue(b batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range b.items {
		it.begun = it.written > 0
	}
	if b.partial != nil {
		b.partial.begun = b.partial.written > 0
	}
	j.queue = append(slices.Clone(b.items), j.queue...)
	j.queuedBytes += b.size
	j.inFlight = nil
}

// markWritten resolves the batch in flight after its segment was written.
func (j *Journaler) markWritten(b batch) {
	if b.partial != nil {
		j.mu.Lock()
		b.partial.written += len(b.records[len(b.records)-1])
		j.mu.Unlock()
	}
	j.resolve(b.items, nil)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inFlight = nil
	j.blockedSince = time.Time{}
	j.notifyProgress()
}

// unfinished returns the written parts of the record whose last part is not written yet, nil if
// there is none. The caller holds mu.
func (j *Journaler) unfinished() []byte {
	if len(j.queue) == 0 {
		return nil
	}
	head := j.queue[0]
	return head.record[:head.written]
}

// joiner puts the parts of records together.
type joiner struct {
	records    [][]byte
	unfinished []byte // the parts of a record whose last part has not been seen
}

// add adds the records of the next segment. It returns ErrCorrupt if the parts before those
// in the segment are missing. A segment that continues no record ends the one before: another
// owner has written it.
func (r *joiner) add(s segment) error {
	records := s.Records
	if s.Continues {
		if len(r.unfinished) == 0 || len(records) == 0 {
			return fmt.Errorf("%w: segment %d continues a record that has no beginning", ErrCorrupt, s.Sequence)
		}
		records = append([][]byte{slices.Concat(r.unfinished, records[0])}, records[1:]...)
	}
	r.unfinished = nil
	if s.Unfinished && len(records) > 0 {
		last := len(records) - 1
		r.unfinished, records = records[last], records[:last]
	}
	r.records = append(r.records, records...)
	return nil
}
