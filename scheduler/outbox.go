package scheduler

import (
	"context"
	"errors"
	"time"
)

// stallTimeout is how long writes may be in flight without one of them completing before
// the journal counts as down.
const stallTimeout = time.Second

// outbox queues the records for the journal, and knows from their writes whether the
// journal is up. Scheduler.mu guards it.
type outbox struct {
	queue      []entry
	inFlight   int           // records passed to the journal whose write has not completed
	down       bool          // the last write that completed has failed
	progressAt time.Time     // when a write last completed, or when writes began after none was in flight
	provenAt   time.Time     // latest proof of ownership: enqueue time of a persisted record, or the recovery
	wakeup     chan struct{} // capacity 1; made at recovery
}

// entry is an encoded record in the outbox.
type entry struct {
	data      []byte
	mandatory bool        // retried until it is persisted or the term ends
	done      func(error) // called once, with Scheduler.mu held; nil for none
}

// empty reports whether the writes of all records have completed.
func (o *outbox) empty() bool { return len(o.queue) == 0 && o.inFlight == 0 }

// write adds a record to the outbox, from which sendRecords passes it to the journal. A
// mandatory record is retried until it is persisted or the term ends. done is called
// with the result of the write. The caller holds s.mu.
func (s *Scheduler) write(r record, mandatory bool, done func(error)) {
	data, err := r.encode()
	if err != nil {
		s.logger.Error("Encoding of a record failed.", "shard", s.shard, "kind", r.Kind, "error", err)
		s.endTerm(err)
		return
	}
	s.outbox.queue = append(s.outbox.queue, entry{data: data, mandatory: mandatory, done: done})
	select {
	case s.outbox.wakeup <- struct{}{}:
	default:
	}
}

// sendRecords passes records to the journal until the context ends. It doesn't hold
// s.mu during a call to the journal.
func (s *Scheduler) sendRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.outbox.wakeup:
		}
		for _, e := range s.takeQueue() {
			began := time.Now()
			s.journal.Enqueue(e.data, e.mandatory, func(err error) { s.onWriteDone(e, began, err) })
		}
	}
}

func (s *Scheduler) takeQueue() []entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.outbox.queue
	s.outbox.queue = nil
	if s.outbox.inFlight == 0 {
		s.outbox.progressAt = time.Now()
	}
	s.outbox.inFlight += len(queue)
	return queue
}

// onWriteDone updates the state when the write of a record has completed with err; began
// is when the record was passed to the journal.
func (s *Scheduler) onWriteDone(e entry, began time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	o := &s.outbox
	o.inFlight--
	o.progressAt = time.Now()
	switch {
	case err == nil:
		s.onJournalUp(began)
	case errors.Is(err, ErrJournalUnavailable) && !e.mandatory:
		if !o.down {
			s.logger.Warn("Journal is down.", "shard", s.shard, "error", err)
		}
		o.down = true
	default:
		s.endTerm(err)
	}
	if e.done != nil {
		e.done(err)
	}
}

func (s *Scheduler) onJournalUp(began time.Time) {
	o := &s.outbox
	if o.down {
		s.logger.Info("Journal is up again.", "shard", s.shard)
	}
	o.down = false
	if began.After(o.provenAt) {
		o.provenAt = began
	}
	s.resumeAwaitingJournal()
}

// journalDown reports whether the last write has failed or writes have stalled. Idempotent
// tasks then start before their records are written. The caller holds s.mu.
func (s *Scheduler) journalDown(now time.Time) bool {
	return s.outbox.down || s.outbox.inFlight > 0 && now.Sub(s.outbox.progressAt) > stallTimeout
}
