package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthaven.example/dispatcher"
)

// transferRetryDelay is the delay between attempts to hand a job over.
const transferRetryDelay = 200 * time.Millisecond

// Transfer is a job that moves to another shard, with the state of its tasks.
type Transfer struct {
	target string // shard
	record record // of kind recordAccept
}

// Target returns the shard that the job moves to.
func (t Transfer) Target() string { return t.target }

// JobID returns the job's identifier.
func (t Transfer) JobID() string { return t.record.Spec.ID }

func stopOrder(j *job, index int) dispatcher.Order { return dispatcher.StopOrder(j.attemptOf(index)) }

// Drain makes the shard start no more tasks, until Resume. Running idempotent tasks are
// checkpointed, other tasks run to their end; jobs without running tasks move to other
// shards. Errors: ErrNotOwner.
func (s *Scheduler) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkTerm(); err != nil || s.draining {
		return err
	}
	s.draining = true
	s.placer.SetStartsAllowed(false)
	s.logger.Info("Shard draining.", "shard", s.shard, "running", s.placer.Running(), "pending", s.placer.Pending())
	for _, l := range s.links {
		for id := range l.tasks {
			if j, t := s.state.taskOf(id); t != nil && t.running && j.spec.Idempotent() && !j.withdrawn() {
				s.stopRun(l, j, id.Index(), dispatcher.CheckpointOrder(j.attemptOf(id.Index())))
			}
		}
	}
	s.wake()
	return nil
}

// Resume ends Drain: tasks start again. Jobs whose move has begun still move. Errors:
// ErrNotOwner.
func (s *Scheduler) Resume(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkTerm(); err != nil {
		return err
	}
	if s.draining {
		s.draining = false
		s.placer.SetStartsAllowed(true)
		s.logger.Info("Shard resumed.", "shard", s.shard)
		s.wake()
	}
	return nil
}

// checkTerm returns ErrNotOwner once the term has ended or Close has been called. It
// allows calls during recovery. The caller holds s.mu.
func (s *Scheduler) checkTerm() error {
	if s.phase == recovering {
		return nil
	}
	return s.checkServing()
}

// DeclareLost records an operator's assurance that no other owner renews leases of the
// shard's workers, as after the loss of the data centre. Workers that are not fenced then
// count as expired after the usual wait, even if no majority was ever fenced. Errors:
// ErrNotOwner.
func (s *Scheduler) DeclareLost(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkServing(); err != nil {
		return err
	}
	if s.quorumAt.IsZero() {
		s.quorumAt = time.Now()
		s.logger.Warn("Data centre declared lost.", "shard", s.shard, "workers", len(s.links))
	}
	return nil
}

// Draining reports whether the shard is draining.
func (s *Scheduler) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// handOverJobs starts to move the jobs without running tasks to other shards. While
// workers are not fenced after an unclean takeover, idempotent jobs stay, since such a
// worker may run their tasks.
func (s *Scheduler) handOverJobs() {
	if s.transfer == nil {
		return
	}
	for id, j := range s.state.jobs {
		if !j.endedAt.IsZero() || j.movedOrMoving() || j.running > 0 || j.withdrawn() || s.awaitingFences && j.spec.Idempotent() {
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
				s.move(s.runCtx, j)
			}
		})
	}
}

// resumeMoves continues the transfers that an earlier owner began.
func (s *Scheduler) resumeMoves(ctx context.Context) {
	for _, j := range s.state.jobs {
		if j.movedOrMoving() && !j.moved {
			s.move(ctx, j)
		}
	}
}

// move hands a job to its target, and retries until the target accepts it. The target
// never changes, since it may have accepted the job although its response was lost.
func (s *Scheduler) move(ctx context.Context, j *job) {
	if s.transfer == nil || s.phase != serving || ctx.Err() != nil {
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
			case <-s.ended:
				return
			case <-time.After(transferRetryDelay):
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.onMoved(j)
	})
}

// onMoved records that the target has accepted the job, so that callers are referred to
// that shard.
func (s *Scheduler) onMoved(j *job) {
	if s.phase != serving && s.phase != closing || s.state.jobs[j.spec.ID()] != j {
		return
	}
	j.moved = true
	s.logger.Info("Job moved.", "shard", s.shard, "job", j.spec.ID(), "target", j.target)
	s.recordWithdrawal(j, record{Kind: recordMoved, Job: j.spec.ID(), Target: j.target, Hop: j.hop}, nil)
}

// Accept takes a job over from another shard. The job is persisted when Accept returns
// nil. A repeat changes nothing. Errors: ErrNotRun, ErrOutcomeUnknown, ErrNotOwner,
// ErrRefused.
func (s *Scheduler) Accept(ctx context.Context, t Transfer) error {
	if t.record.Spec == nil {
		return fmt.Errorf("%w: transfer without a job", ErrRefused)
	}
	s.mu.Lock()
	if err := s.checkServing(); err != nil {
		s.mu.Unlock()
		return err
	}
	id := t.record.Spec.ID
	if known, ok := s.state.jobs[id]; ok && known.hop >= t.record.Hop {
		s.mu.Unlock()
		return nil
	}
	if s.draining {
		s.mu.Unlock()
		return fmt.Errorf("%w: shard %s is drained", ErrNotRun, s.shard)
	}
	r := t.record
	r.Kind = recordAccept
	written := make(chan error, 1)
	s.write(r, false, func(err error) {
		if err == nil {
			s.insertMoved(r)
		}
		written <- callerError(err)
	})
	s.mu.Unlock()
	return s.awaitWrite(ctx, written)
}

// insertMoved adds a persisted job from another shard to the state and, while the shard
// is served, to the placer.
func (s *Scheduler) insertMoved(r record) {
	id := r.Spec.ID
	if known, ok := s.state.jobs[id]; ok && known.hop >= r.Hop {
		return
	}
	s.state.apply(r)
	if s.phase != serving {
		return
	}
	s.restoreJob(s.state.jobs[id])
	s.logger.Info("Job accepted.", "shard", s.shard, "job", id, "team", r.Spec.Team, "reason", "moved from another shard")
}

// Close ends the term cleanly: no task starts any more, all records are persisted, and
// a last record tells the next owner that every start has a record. Run then returns.
// Errors: that of the context, ErrNotOwner, ErrDeposed.
func (s *Scheduler) Close(ctx context.Context) error {
	s.mu.Lock()
	if err := s.checkServing(); err != nil {
		s.mu.Unlock()
		return err
	}
	s.phase = closing
	s.placer.SetStartsAllowed(false)
	for _, l := range s.links {
		for _, o := range append([]*order(nil), l.orders...) {
			if o.Kind() == dispatcher.Start {
				s.prepareStart(l, o)
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
	written := make(chan error, 1)
	s.mu.Lock()
	s.write(record{Kind: recordClose, Term: s.term}, false, func(err error) { written <- err })
	s.mu.Unlock()
	err := s.awaitWrite(ctx, written)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, ErrJournalUnavailable) {
		s.endTerm(nil)
		return err
	}
	s.endTerm(err)
	return err
}

// flushPollInterval is the interval at which flush checks the outbox.
const flushPollInterval = 5 * time.Millisecond

// flush waits until the writes of all records have completed. If the context ends first,
// flush ends the term.
func (s *Scheduler) flush(ctx context.Context) error {
	for {
		s.mu.Lock()
		empty := s.outbox.empty()
		s.mu.Unlock()
		if empty {
			return nil
		}
		select {
		case <-time.After(flushPollInterval):
		case <-ctx.Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			s.endTerm(ctx.Err())
			return ctx.Err()
		case <-s.ended:
			return s.cause
		}
	}
}
