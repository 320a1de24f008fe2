package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthaven.example/dispatcher"
)

// transferRetry is the delay before a transfer is tried again.
const transferRetry = 200 * time.Millisecond

// Transfer is a job on its way to another shard, with the state of its tasks.
type Transfer struct {
	target string // shard
	record record // a recordAccept
}

// Target returns the shard that is to take the job.
func (t Transfer) Target() string { return t.target }

// JobID returns the job's identifier.
func (t Transfer) JobID() string { return t.record.Spec.ID }

func stopOrder(j *job, index int) dispatcher.Order { return dispatcher.StopOrder(j.attemptOf(index)) }

// Drain stops all starts at once. Running tasks that are idempotent are
// checkpointed, others finish; jobs of which nothing runs go to other shards.
// Errors: ErrNotOwner.
func (s *Scheduler) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.lasts(); err != nil || s.drained {
		return err
	}
	s.drained = true
	s.placer.SetStartsAllowed(false)
	s.logger.Info("Shard drained.", "shard", s.shard, "running", s.placer.Running(), "pending", s.placer.Pending())
	for _, l := range s.links {
		for id := range l.tasks {
			if j, t := s.book.taskOf(id); t != nil && t.running && j.spec.Idempotent() && !j.withdrawn() {
				s.stop(l, j, id.Index(), dispatcher.CheckpointOrder(j.attemptOf(id.Index())))
			}
		}
	}
	s.kick()
	return nil
}

// Resume lets tasks start again after Drain. Jobs on their way go on moving.
// Errors: ErrNotOwner.
func (s *Scheduler) Resume(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.lasts(); err != nil {
		return err
	}
	if s.drained {
		s.drained = false
		s.placer.SetStartsAllowed(true)
		s.logger.Info("Shard returned.", "shard", s.shard)
		s.kick()
	}
	return nil
}

// lasts returns ErrNotOwner once the term has ended or is about to.
func (s *Scheduler) lasts() error {
	if s.stage == recovering {
		return nil
	}
	return s.serves()
}

// DeclareLost takes an operator's word that no other owner renews the leases of
// workers here any more: those that this owner never reached count as lapsed after
// the usual wait. Errors: ErrNotOwner.
func (s *Scheduler) DeclareLost(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.serves(); err != nil {
		return err
	}
	if s.quorum.IsZero() {
		s.quorum = time.Now()
		s.logger.Warn("Data centre declared lost.", "shard", s.shard, "workers", len(s.links))
	}
	return nil
}

// Drained reports whether Drain is in force.
func (s *Scheduler) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

// leave hands over the jobs of which nothing runs. A held job may have tasks
// that have not been read back yet, so it waits.
func (s *Scheduler) leave() {
	if s.transfer == nil {
		return
	}
	for id, j := range s.book.jobs {
		if !j.over.IsZero() || j.gone() || j.running > 0 || j.withdrawn() || s.holding && j.spec.Idempotent() {
			continue
		}
		target, ok := s.target(j.spec)
		if !ok || target == s.shard {
			continue
		}
		s.placer.Cancel(id)
		j.target, j.hop = target, j.hop+1
		s.logger.Info("Job moves.", "shard", s.shard, "job", id, "target", target, "reason", "shard is drained")
		s.write(record{Kind: recordMoving, Job: id, Target: target, Hop: j.hop}, true, func(err error) {
			if err == nil {
				s.move(s.base, j)
			}
		})
	}
}

// resumeMoves goes on with the transfers that an earlier owner began.
func (s *Scheduler) resumeMoves(ctx context.Context) {
	for _, j := range s.book.jobs {
		if j.gone() && !j.moved {
			s.move(ctx, j)
		}
	}
}

// move hands a job to its target: always the same, since an answer that was lost
// may have been a yes.
func (s *Scheduler) move(ctx context.Context, j *job) {
	if s.transfer == nil || s.stage != serving || ctx.Err() != nil {
		return
	}
	r := j.record()
	r.Target, r.Result, r.At = "", 0, 0
	t := Transfer{target: j.target, record: r}
	s.group.Go(func() {
		for s.transfer(ctx, t) != nil {
			select {
			case <-ctx.Done():
				return
			case <-s.over:
				return
			case <-time.After(transferRetry):
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.onMoved(j)
	})
}

// onMoved leaves a forwarding address.
func (s *Scheduler) onMoved(j *job) {
	if s.stage != serving && s.stage != closing || s.book.jobs[j.spec.ID()] != j {
		return
	}
	j.moved = true
	s.logger.Info("Job moved.", "shard", s.shard, "job", j.spec.ID(), "target", j.target)
	s.settleWithdrawn(j, record{Kind: recordMoved, Job: j.spec.ID(), Target: j.target, Hop: j.hop}, nil)
}

// Accept takes a job over from another shard: the journal holds it when Accept
// returns nil. A repeat changes nothing. Errors: ErrNotRun, ErrUnknown,
// ErrNotOwner.
func (s *Scheduler) Accept(ctx context.Context, t Transfer) error {
	if t.record.Spec == nil {
		return fmt.Errorf("%w: transfer without a job", ErrRefused)
	}
	s.mu.Lock()
	if err := s.serves(); err != nil {
		s.mu.Unlock()
		return err
	}
	id := t.record.Spec.ID
	if known, ok := s.book.jobs[id]; ok && known.hop >= t.record.Hop {
		s.mu.Unlock()
		return nil
	}
	if s.drained {
		s.mu.Unlock()
		return fmt.Errorf("%w: shard %s is drained", ErrNotRun, s.shard)
	}
	r := t.record
	r.Kind = recordAccept
	outcome := make(chan error, 1)
	s.write(r, false, func(err error) {
		if err == nil {
			s.insertMoved(r)
		}
		outcome <- outcomeOf(err)
	})
	s.mu.Unlock()
	return s.await(ctx, outcome)
}

// insertMoved puts a job from another shard into the queue.
func (s *Scheduler) insertMoved(r record) {
	id := r.Spec.ID
	if known, ok := s.book.jobs[id]; ok && known.hop >= r.Hop {
		return
	}
	s.book.apply(r)
	if s.stage != serving {
		return
	}
	s.restore(s.book.jobs[id])
	s.logger.Info("Job accepted.", "shard", s.shard, "job", id, "team", r.Spec.Team, "reason", "moved from another shard")
}

// Close ends the term in order: nothing starts any more, all records go to the
// journal, and a last one tells the next owner that no start lacks one. It ends
// Run. Errors: that of the context, ErrNotOwner, ErrDeposed.
func (s *Scheduler) Close(ctx context.Context) error {
	s.mu.Lock()
	if err := s.serves(); err != nil {
		s.mu.Unlock()
		return err
	}
	s.stage = closing
	s.placer.SetStartsAllowed(false)
	for _, l := range s.links {
		for _, o := range append([]*order(nil), l.orders...) {
			if o.Kind() == dispatcher.Start {
				s.mayStart(l, o)
			}
		}
		if l.stop != nil {
			l.stop()
		}
	}
	s.mu.Unlock()
	if err := s.flush(ctx); err != nil {
		return err
	}
	done := make(chan error, 1)
	s.mu.Lock()
	s.write(record{Kind: recordClose, Term: s.term}, false, func(err error) { done <- err })
	s.mu.Unlock()
	err := s.await(ctx, done)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, ErrJournalUnavailable) {
		s.end(nil)
		return err
	}
	s.end(err)
	return err
}

// flushPeriod is the time between two looks at the outbox.
const flushPeriod = 5 * time.Millisecond

// flush waits until the journal has everything.
func (s *Scheduler) flush(ctx context.Context) error {
	for {
		s.mu.Lock()
		empty := s.outbox.empty()
		s.mu.Unlock()
		if empty {
			return nil
		}
		select {
		case <-time.After(flushPeriod):
		case <-ctx.Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			s.end(ctx.Err())
			return ctx.Err()
		case <-s.over:
			return s.cause
		}
	}
}
