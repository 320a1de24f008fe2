package scheduler

import (
	"context"
	"errors"
	"time"
)

// stallLimit is the time without an outcome after which the journal counts as
// down.
const stallLimit = time.Second

// outbox holds records on their way to the journal. The scheduler's lock guards
// it.
type outbox struct {
	queue   []entry
	flying  int           // enqueued, without an outcome
	down    bool          // the last outcome was a failure
	since   time.Time     // when records began to be without an outcome
	success time.Time     // when the last record that holds was enqueued
	wake    chan struct{} // holds one; made by Run
}

// entry is one record on its way.
type entry struct {
	data []byte
	kept bool        // never given up while the term lasts
	done func(error) // called with the lock held, once; nil for none
}

// empty reports whether the journal has everything.
func (o *outbox) empty() bool { return len(o.queue) == 0 && o.flying == 0 }

// write puts a record into the outbox; the lock is held. A kept one is never
// given up while the term lasts.
func (s *Scheduler) write(r record, kept bool, done func(error)) {
	data, err := r.encode()
	if err != nil {
		s.logger.Error("Record not encoded.", "shard", s.shard, "kind", r.Kind, "error", err)
		s.end(err)
		return
	}
	s.outbox.queue = append(s.outbox.queue, entry{data: data, kept: kept, done: done})
	select {
	case s.outbox.wake <- struct{}{}:
	default:
	}
}

// pump passes records to the journal, outside the lock.
func (s *Scheduler) pump(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.outbox.wake:
		}
		for _, e := range s.take() {
			began := time.Now()
			s.journal.Enqueue(e.data, e.kept, func(err error) { s.onOutcome(e, began, err) })
		}
	}
}

func (s *Scheduler) take() []entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.outbox.queue
	s.outbox.queue = nil
	if s.outbox.flying == 0 {
		s.outbox.since = time.Now()
	}
	s.outbox.flying += len(queue)
	return queue
}

// onOutcome notes what became of a record.
func (s *Scheduler) onOutcome(e entry, began time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.kick()
	o := &s.outbox
	o.flying--
	o.since = time.Now()
	switch {
	case err == nil:
		s.onJournalUp(began)
	case errors.Is(err, ErrJournalUnavailable) && !e.kept:
		if !o.down {
			s.logger.Warn("Journal down.", "shard", s.shard, "error", err)
		}
		o.down = true
	default:
		s.end(err)
	}
	if e.done != nil {
		e.done(err)
	}
}

func (s *Scheduler) onJournalUp(began time.Time) {
	o := &s.outbox
	if o.down {
		s.logger.Info("Journal up.", "shard", s.shard)
	}
	o.down = false
	if began.After(o.success) {
		o.success = began
	}
	s.resumeWaiting()
}

// journalDown reports whether idempotent work goes on without the journal; the
// lock is held.
func (s *Scheduler) journalDown(now time.Time) bool {
	return s.outbox.down || s.outbox.flying > 0 && now.Sub(s.outbox.since) > stallLimit
}
