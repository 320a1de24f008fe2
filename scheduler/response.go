package scheduler

import (
	"errors"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// onFailure updates the state after a failed call. batch holds the orders that the call
// carried. The caller holds s.mu.
func (s *Scheduler) onFailure(l *link, batch []*order, err error) {
	if errors.Is(err, dispatcher.ErrStaleTerm) {
		s.logger.Warn("Worker has seen a higher term.", "shard", s.shard, "term", s.term, "worker", l.id)
		s.endTerm(ErrDeposed)
		return
	}
	l.failures++
	notDelivered := errors.Is(err, dispatcher.ErrNotDelivered) || errors.Is(err, dispatcher.ErrStaleBatch)
	for _, o := range batch {
		if !notDelivered {
			o.mayHaveArrived = true
		} else if o.Kind() == dispatcher.Start && !o.mayHaveArrived {
			l.remove(o)
			s.revertStartOf(l, o.Attempt(), "worker not reached")
		}
	}
	if l.failures == suspendAfter {
		l.suspended = true
		s.updateWorker(l)
		s.logger.Warn("Worker suspended, calls to it fail.", "shard", s.shard, "worker", l.id, "error", err)
	}
	s.wake()
}

// onResponse updates the state from a worker's response. The caller holds s.mu.
func (s *Scheduler) onResponse(l *link, batch []*order, response dispatcher.Response, began time.Time) {
	newlyFenced := !l.fenced
	report := response.Report()
	l.failures, l.answeredAt, l.callStartedAt = 0, time.Now(), began
	l.incarnation = s.state.incarnation(l.id, report.Incarnation())
	s.onOrderResults(l, batch, response.Errors())
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
	if newlyFenced {
		l.fenced, l.leaseExpired = true, false
		s.logger.Info("Worker fenced.", "shard", s.shard, "term", s.term, "worker", l.id, "running", len(report.Running()))
		l.wake()
		s.updateQuorum()
	}
	if newlyFenced || l.suspended {
		l.suspended = false
		s.updateWorker(l)
	}
	s.wake()
}

// updateQuorum sets quorumAt once a majority of the listed workers is fenced under this
// term. From then on no earlier owner can reach a majority of them.
func (s *Scheduler) updateQuorum() {
	if !s.quorumAt.IsZero() {
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
		s.quorumAt = time.Now()
	}
}

// onOrderResults removes the orders that the worker has carried out or refused; results
// holds the error or nil for each order of the batch. A start that was refused for lack
// of a lease stays queued.
func (s *Scheduler) onOrderResults(l *link, batch []*order, results []error) {
	for i, o := range batch {
		if i >= len(results) {
			return
		}
		err := results[i]
		if errors.Is(err, dispatcher.ErrNoLease) {
			l.wake()
			continue
		}
		l.remove(o)
		if o.Kind() != dispatcher.Start {
			continue
		}
		if err != nil {
			s.revertStartOf(l, o.Attempt(), "refused by the worker")
			continue
		}
		if j, t := s.state.taskOf(o.Attempt().Task()); t != nil && t.running && t.attempt == o.Attempt().Number() {
			s.confirmStart(l, j, o.Attempt())
		}
	}
}

// confirmStart marks the current run of a task as begun on the worker of l, which has
// accepted its start or reported it. The first such run of a job is recorded, so that the
// job stays running for callers when the owner changes.
func (s *Scheduler) confirmStart(l *link, j *job, attempt dispatcher.Attempt) {
	index := attempt.Task().Index()
	t := &j.tasks[index]
	t.stage, t.incarnation = startConfirmed, l.incarnation
	s.markBegun(j, t)
	if j.hasBegun || s.phase != serving {
		return
	}
	j.hasBegun = true
	s.write(record{Kind: recordBegun, Job: j.spec.ID(), Index: index, Attempt: attempt.Number()}, true, nil)
}

// markBegun marks a running task as begun and counts it for its team.
func (s *Scheduler) markBegun(j *job, t *task) {
	if j.markBegun(t) {
		s.begunTasks[j.spec.Team()]++
	}
}

// runsOn reports whether attempt is the task's current run and runs on the worker of l.
func (t *task) runsOn(l *link, attempt dispatcher.Attempt) bool {
	return t != nil && t.running && t.attempt == attempt.Number() && t.incarnation != nil && t.incarnation.worker == l.id
}

// onFinished records the end of a run. It acknowledges the end to the worker only once it
// is persisted: a run whose end neither the journal nor the worker knows would count as
// never started.
func (s *Scheduler) onFinished(l *link, f dispatcher.FinishedTask) {
	attempt := f.Attempt()
	id := attempt.Task()
	if _, pending := l.unpersistedEnds[attempt]; pending {
		return
	}
	j, t := s.state.taskOf(id)
	if t != nil && s.adopt(l, j, t, attempt) {
		l.removeStart(attempt)
	}
	if !t.runsOn(l, attempt) {
		if j == nil || j.unpersisted == 0 {
			l.enqueue(dispatcher.AcknowledgeOrder(attempt))
		}
		return
	}
	s.markBegun(j, t)
	l.unpersistedEnds[attempt] = struct{}{}
	s.finishRun(l, j, id.Index(), f.Outcome(), func(err error) {
		delete(l.unpersistedEnds, attempt)
		if err == nil {
			l.enqueue(dispatcher.AcknowledgeOrder(attempt))
		}
	})
}

// onRunning confirms a run that the worker reports, and stops one that is unknown or
// whose job is cancelled or expired.
func (s *Scheduler) onRunning(l *link, r dispatcher.RunningTask) {
	attempt := r.Attempt()
	j, t := s.state.taskOf(attempt.Task())
	if t != nil {
		s.adopt(l, j, t, attempt)
	}
	if !t.runsOn(l, attempt) {
		s.logger.Warn("Unknown run stopped.", "worker", l.id, "task", attempt.Task().String())
		l.enqueue(dispatcher.StopOrder(attempt))
		return
	}
	s.confirmStart(l, j, attempt)
	if j.withdrawn() {
		l.enqueue(dispatcher.StopOrder(attempt))
		return
	}
	if !r.Usage().IsZero() {
		now := time.Now()
		s.logPlacerError(s.placer.ReportUsage(attempt.Task(), r.Usage(), now, now))
	}
}

// adopt takes over a run that an earlier owner started without a record, and reports
// whether it did.
func (s *Scheduler) adopt(l *link, j *job, t *task, attempt dispatcher.Attempt) bool {
	if t.running || t.finalResult != 0 || attempt.Number() <= t.attempt || j.withdrawn() || j.movedOrMoving() {
		return false
	}
	id := attempt.Task()
	if err := s.placer.RestoreTask(id, l.id, time.Now()); err != nil {
		s.logPlacerError(err)
		return false
	}
	j.applyStart(id.Index(), attempt.Number(), l.incarnation)
	l.tasks[id] = struct{}{}
	s.writeStart(j, id.Index(), true, nil)
	s.confirmStart(l, j, attempt)
	s.logger.Info("Running task taken over.", "shard", s.shard, "worker", l.id, "task", id.String(), "attempt", attempt.Number())
	return true
}

// onMissing resolves a run that is missing from its worker's report: the start order may
// still arrive, it never arrived, or the run is lost.
func (s *Scheduler) onMissing(l *link, id placer.TaskID) {
	j, t := s.state.taskOf(id)
	if t == nil || !t.running {
		delete(l.tasks, id)
		return
	}
	restarted := t.incarnation.id != l.incarnation.id
	switch {
	case t.stage == startRecording, t.stage == startOrdered:
		t.incarnation = l.incarnation
	case t.stage == startSent && !restarted:
	case t.stage == startUnverified && !restarted:
		s.revertStart(l, j, id.Index(), "start order never reached the worker")
	default:
		s.loseRun(l, j, id.Index(), "worker has restarted")
	}
}

// expireWorker ends all runs on a worker as lost. The worker must certainly run no task of
// this shard any more.
func (s *Scheduler) expireWorker(l *link, reason string) {
	for id := range l.tasks {
		if j, t := s.state.taskOf(id); t != nil && t.running {
			s.loseRun(l, j, id.Index(), reason)
		}
	}
	clear(l.tasks)
	l.orders = nil
	l.fenced, l.leaseExpired = false, true
	s.updateWorker(l)
}

// expireLeases expires the workers whose lease has certainly ended. The lease of a worker
// that is not fenced may come from an earlier owner, which could renew it for up to one
// ownership timeout after quorumAt.
func (s *Scheduler) expireLeases(now time.Time) {
	timeout := s.lease + s.clockSkew
	for _, l := range s.links {
		switch {
		case l.fenced && now.Sub(l.answeredAt) > timeout:
			s.logger.Warn("Lease of worker expired.", "shard", s.shard, "worker", l.id, "tasks", len(l.tasks))
			s.expireWorker(l, "lease expired")
		case !l.fenced && !l.leaseExpired && s.workersListed && !s.quorumAt.IsZero() && now.Sub(s.quorumAt) > s.ownershipTimeout+timeout:
			s.logger.Warn("Lease of worker from an earlier term expired.", "shard", s.shard, "worker", l.id, "tasks", len(l.tasks))
			s.expireWorker(l, "lease expired")
		}
	}
}
