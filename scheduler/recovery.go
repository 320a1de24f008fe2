package scheduler

import (
	"bytes"
	"context"
	"errors"
	"time"

	"filberthaven.example/placer"
	"github.com/samber/oops"
)

// openRetry is the delay before a journal that is down is opened again.
const openRetry = 200 * time.Millisecond

// recover replays the journal and puts its jobs into the placer.
func (s *Scheduler) recover(ctx context.Context) error {
	if s.journal.SetSnapshotter != nil {
		s.journal.SetSnapshotter(s.snapshot)
	}
	snapshot, records, err := s.openJournal(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := decodeRecords(snapshot, s.book.apply); err != nil {
		return oops.With("shard", s.shard).Wrapf(err, "snapshot")
	}
	for i, data := range records {
		if err := decodeRecords(data, s.book.apply); err != nil {
			return oops.With("shard", s.shard, "record", i).Wrapf(err, "journal")
		}
	}
	s.orderly, s.book.closed = s.book.closed || len(s.book.jobs) == 0 && len(records) == 0, false
	s.base = ctx
	s.outbox.wake = make(chan struct{}, 1)
	s.outbox.success = time.Now()
	s.holding = !s.orderly
	if s.orderly {
		s.quorum = time.Now()
	}
	for _, j := range s.book.jobs {
		s.restore(j)
	}
	s.hold()
	s.stage = serving
	for _, l := range s.links {
		s.startLink(ctx, l)
	}
	s.resumeMoves(ctx)
	close(s.open)
	s.logger.Info("Shard recovered.", "shard", s.shard, "term", s.term, "jobs", len(s.book.jobs), "orderly", s.orderly)
	return nil
}

// openJournal opens the journal, again and again while it is down.
func (s *Scheduler) openJournal(ctx context.Context) ([]byte, [][]byte, error) {
	for {
		snapshot, records, err := s.journal.Open(ctx, s.term)
		if err == nil || !errors.Is(err, ErrJournalUnavailable) && !errors.Is(err, ErrJournalUnknown) {
			return snapshot, records, err
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(openRetry):
		}
	}
}

// restore puts a job of the book into the placer.
func (s *Scheduler) restore(j *job) {
	if !j.over.IsZero() || j.gone() {
		return
	}
	if !s.enter(j) {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		id := placer.NewTaskID(j.spec.ID(), i)
		switch {
		case t.final != 0:
			s.check(s.placer.MarkEnded(id, settled(t.final)))
		case t.running:
			l := s.linkOf(t.place.worker)
			l.tasks[id] = struct{}{}
			s.check(s.placer.RestoreTask(id, l.id, time.Now()))
		}
	}
	if j.withdrawn() {
		s.placer.Cancel(j.spec.ID())
	}
}

// enter puts a job into the placer, under the limit of its team.
func (s *Scheduler) enter(j *job) bool {
	s.limit(j.spec.Team(), s.unfenced())
	if err := s.placer.RestoreJob(j.spec); err != nil {
		s.logger.Error("Job not resumed.", "shard", s.shard, "job", j.spec.ID(), "error", err)
		return false
	}
	return true
}

func settled(r result) placer.Outcome {
	switch r {
	case resultDone:
		return placer.Succeeded
	case resultCancelled:
		return placer.Cancelled
	default:
		return placer.Failed
	}
}

// check logs an answer of the placer that tells of books which differ.
func (s *Scheduler) check(err error) {
	if err != nil {
		s.logger.Error("Books of placer and scheduler differ.", "shard", s.shard, "error", err)
	}
}

// hold keeps idempotent jobs of the last owner from starting: it may have
// started them without a record while the journal was down.
func (s *Scheduler) hold() {
	if !s.holding {
		return
	}
	for _, j := range s.book.jobs {
		if j.spec.Idempotent() && j.over.IsZero() && !j.gone() && !j.withdrawn() {
			s.check(s.placer.SetPaused(j.spec.ID(), true))
		}
	}
}

// release lets held jobs go once every worker is fenced or has lapsed, and no
// batch of an earlier owner can be under way any more.
func (s *Scheduler) release(now time.Time) {
	if !s.holding || !s.listed || s.quorum.IsZero() || now.Before(s.quorum.Add(s.contact)) {
		return
	}
	for _, l := range s.links {
		if !l.fenced && !l.lapsed {
			return
		}
	}
	s.holding = false
	s.placer.SetAllPaused(false)
	s.logger.Info("Workers fenced, held jobs go on.", "shard", s.shard, "term", s.term)
}

// snapshot returns the whole state as a sequence of records.
func (s *Scheduler) snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var buffer bytes.Buffer
	s.book.records(func(r record) {
		data, err := r.encode()
		if err != nil {
			s.end(err)
			return
		}
		buffer.Write(data)
	})
	return buffer.Bytes()
}
