package scheduler

import (
	"errors"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// onFailure notes a call that brought no answer; the lock is held.
func (s *Scheduler) onFailure(l *link, batch []*order, err error) {
	if errors.Is(err, dispatcher.ErrStaleTerm) {
		s.logger.Warn("Worker has seen a higher term.", "shard", s.shard, "term", s.term, "worker", l.id)
		s.end(ErrDeposed)
		return
	}
	l.failures++
	certain := errors.Is(err, dispatcher.ErrNotDelivered) || errors.Is(err, dispatcher.ErrStaleBatch)
	for _, o := range batch {
		if !certain {
			o.maybe = true
		} else if o.Kind() == dispatcher.Start && !o.maybe {
			l.drop(o)
			s.unstartAttempt(l, o.Attempt(), "worker not reached")
		}
	}
	if l.failures == suspendAfter {
		l.suspended = true
		s.show(l)
		s.logger.Warn("Worker gets no new tasks.", "shard", s.shard, "worker", l.id, "error", err)
	}
	s.kick()
}

// onAnswer brings the books up to date with a worker's answer; the lock is held.
func (s *Scheduler) onAnswer(l *link, batch []*order, answer dispatcher.Response, began time.Time) {
	first := !l.fenced
	report := answer.Report()
	l.failures, l.answered, l.began = 0, time.Now(), began
	l.known = s.book.place(l.id, report.Incarnation())
	s.onResults(l, batch, answer.Errors())
	seen := map[placer.TaskID]uint32{}
	for _, f := range report.Finished() {
		seen[f.Attempt().Task()] = f.Attempt().Number()
		s.onFinished(l, f)
	}
	for _, r := range report.Running() {
		seen[r.Attempt().Task()] = r.Attempt().Number()
		s.onRunning(l, r)
	}
	for id := range l.tasks {
		if _, ok := seen[id]; !ok {
			s.onMissing(l, id)
		}
	}
	if first {
		l.fenced, l.lapsed = true, false
		s.logger.Info("Worker fenced.", "shard", s.shard, "term", s.term, "worker", l.id, "running", len(report.Running()))
		l.poke()
		s.count()
	}
	if first || l.suspended {
		l.suspended = false
		s.show(l)
	}
	s.kick()
}

// count notes when most of the workers have been fenced under this term: from
// then on no earlier owner finds most of them.
func (s *Scheduler) count() {
	if !s.quorum.IsZero() {
		return
	}
	fenced, all := 0, 0
	for _, l := range s.links {
		if !l.listed {
			continue
		}
		all++
		if l.fenced {
			fenced++
		}
	}
	if 2*fenced > all {
		s.quorum = time.Now()
	}
}

// onResults takes the orders off that the worker has answered.
func (s *Scheduler) onResults(l *link, batch []*order, refused []error) {
	for i, o := range batch {
		if i >= len(refused) {
			return
		}
		err := refused[i]
		if errors.Is(err, dispatcher.ErrNoLease) {
			l.poke()
			continue
		}
		l.drop(o)
		if o.Kind() != dispatcher.Start {
			continue
		}
		if err != nil {
			s.unstartAttempt(l, o.Attempt(), "refused by the worker")
			continue
		}
		if _, t := s.book.taskOf(o.Attempt().Task()); t != nil && t.running && t.attempt == o.Attempt().Number() {
			t.stage = taskConfirmed
			t.place = l.known
		}
	}
}

// here reports whether the book has this run on this worker.
func (t *task) here(l *link, attempt dispatcher.Attempt) bool {
	return t != nil && t.running && t.attempt == attempt.Number() && t.place != nil && t.place.worker == l.id
}

// onFinished takes an ended run off the books, and lets the worker forget it
// once the journal has the outcome: a run of which neither journal nor worker
// knows an end counts as never started.
func (s *Scheduler) onFinished(l *link, f dispatcher.FinishedTask) {
	attempt := f.Attempt()
	id := attempt.Task()
	if _, under := l.settling[attempt]; under {
		return
	}
	j, t := s.book.taskOf(id)
	if t != nil && s.adopt(l, j, t, attempt) {
		l.dropStart(attempt)
	}
	if !t.here(l, attempt) {
		if j == nil || j.unrecorded == 0 {
			l.send(dispatcher.AcknowledgeOrder(attempt))
		}
		return
	}
	l.settling[attempt] = struct{}{}
	s.finish(l, j, id.Index(), f.Outcome(), func(err error) {
		delete(l.settling, attempt)
		if err == nil {
			l.send(dispatcher.AcknowledgeOrder(attempt))
		}
	})
}

// onRunning checks a running task against the books.
func (s *Scheduler) onRunning(l *link, r dispatcher.RunningTask) {
	attempt := r.Attempt()
	j, t := s.book.taskOf(attempt.Task())
	if t != nil {
		s.adopt(l, j, t, attempt)
	}
	if !t.here(l, attempt) {
		s.logger.Warn("Stopped a task that is not on the books.", "worker", l.id, "task", attempt.Task().String())
		l.send(dispatcher.StopOrder(attempt))
		return
	}
	t.stage, t.place = taskConfirmed, l.known
	if j.withdrawn() {
		l.send(dispatcher.StopOrder(attempt))
		return
	}
	if !r.Usage().IsZero() {
		now := time.Now()
		s.check(s.placer.ReportUsage(attempt.Task(), r.Usage(), now, now))
	}
}

// adopt puts a run on the books that an earlier owner started without a record,
// and reports whether it did.
func (s *Scheduler) adopt(l *link, j *job, t *task, attempt dispatcher.Attempt) bool {
	if t.running || t.final != 0 || attempt.Number() <= t.attempt || j.withdrawn() || j.gone() {
		return false
	}
	id := attempt.Task()
	if err := s.placer.RestoreTask(id, l.id, time.Now()); err != nil {
		s.check(err)
		return false
	}
	j.start(id.Index(), attempt.Number(), l.known)
	t.stage = taskConfirmed
	l.tasks[id] = struct{}{}
	s.writeStart(j, id.Index(), true, nil)
	s.logger.Info("Took over a running task.", "shard", s.shard, "worker", l.id, "task", id.String(), "attempt", attempt.Number())
	return true
}

// onMissing decides about a task on the books that the worker doesn't have.
func (s *Scheduler) onMissing(l *link, id placer.TaskID) {
	j, t := s.book.taskOf(id)
	if t == nil || !t.running {
		delete(l.tasks, id)
		return
	}
	restarted := t.place.incarnation != l.known.incarnation
	switch {
	case t.stage == taskRecording, t.stage == taskOrdered:
		t.place = l.known
	case t.stage == taskSent && !restarted:
	case t.stage == taskRecovered && !restarted:
		s.unstart(l, j, id.Index(), "never reached the worker")
	default:
		s.lose(l, j, id.Index(), "worker has restarted")
	}
}

// lapse takes everything off a worker that surely runs nothing of ours any more.
func (s *Scheduler) lapse(l *link, reason string) {
	for id := range l.tasks {
		if j, t := s.book.taskOf(id); t != nil && t.running {
			s.lose(l, j, id.Index(), reason)
		}
	}
	clear(l.tasks)
	l.orders = nil
	l.fenced, l.lapsed = false, true
	s.show(l)
}

// expireLeases finds the workers whose lease has surely expired.
func (s *Scheduler) expireLeases(now time.Time) {
	silence := s.lease + s.margin
	for _, l := range s.links {
		switch {
		case l.fenced && now.Sub(l.answered) > silence:
			s.logger.Warn("Lease of worker expired.", "shard", s.shard, "worker", l.id, "tasks", len(l.tasks))
			s.lapse(l, "lease expired")
		case !l.fenced && !l.lapsed && s.listed && !s.quorum.IsZero() && now.Sub(s.quorum) > s.contact+silence:
			s.logger.Warn("Lease of worker from earlier term expired.", "shard", s.shard, "worker", l.id, "tasks", len(l.tasks))
			s.lapse(l, "lease expired")
		}
	}
}
