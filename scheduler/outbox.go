package scheduler

import (
	"context"
	"errors"
	"time"
)

// stallTimeout is the time without the outcome of any record after which the journal
// counts as down.
const stallTimeout = time.Second

// outbox holds the records that are to be passed to the journal, and counts those whose
// outcome is awaited. Scheduler.mu guards it.
type outbox struct {
	queue      []entry
	inFlight   int           // records enqueued at the journal without an outcome
	down       bool          // the last outcome was a failure
	progressAt time.Time     // last outcome, or when the first record became in flight
	provenAt   time.Time     // latest proof of ownership: enqueue time of a persisted record, or the recovery
	wakeup     chan struct{} // capacity 1; made by Run
}

// entry is an encoded record in the outbox.
type entry struct {
	data      []byte
	mandatory bool        // retried until it is persisted or the term ends
	done      func(error) // called once, with Scheduler.mu held; nil for none
}

// empty reports whether the outcomes of all records are known.
func (o *outbox) empty() bool { return len(o.queue) == 0 && o.inFlight == 0 }

// write adds a record to the outbox. The caller holds s.mu. A mandatory record is
// retried until it is persisted or the term ends.
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
			s.journal.Enqueue(e.data, e.mandatory, func(err error) { s.onRecordOutcome(e, began, err) })
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

// onRecordOutcome updates the state once the outcome of a record is known.
func (s *Scheduler) onRecordOutcome(e entry, began time.Time, err error) {
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

// journalDown reports whether the journal is down, so that idempotent tasks start
// without it. The caller holds s.mu.
func (s *Scheduler) journalDown(now time.Time) bool {
	return s.outbox.down || s.outbox.inFlight > 0 && now.Sub(s.outbox.progressAt) > stallTimeout
}
