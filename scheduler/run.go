package scheduler

import (
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// tick does the periodic work, such as the expiry of leases.
func (s *Scheduler) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != serving {
		return
	}
	s.expireLeases(now)
	s.resumeRecovered(now)
	s.endBackoffs(now)
	if !s.ownershipProven(now.Add(s.ownershipTimeout / 2)) {
		s.proveOwnership()
	}
	s.orderPendingStarts(s.journalDown(now))
	s.refreshQuotas()
	s.every(&s.teamsRefreshedAt, teamRefreshPeriod, now, s.refreshTeams)
	s.every(&s.prunedAt, prunePeriod, now, func() { s.state.prune(now.Add(-s.retention)) })
	if s.drained {
		s.handOverJobs()
	}
}

// every calls f if the period has passed since last, and sets last.
func (s *Scheduler) every(last *time.Time, period time.Duration, now time.Time, f func()) {
	if now.Sub(*last) >= period {
		*last = now
		f()
	}
}

// refreshTeams updates the quotas, weights and remote usage in the placer, and reports the
// teams' usage.
func (s *Scheduler) refreshTeams() {
	unfenced := s.unfencedCPU()
	teams := s.placer.Teams()
	usages := make([]Usage, 0, len(teams))
	for _, team := range teams {
		s.updateTeam(team.Name(), unfenced)
		s.limits.Report(team.Name(), team.Used().CPU()+unfenced, team.Demand().CPU())
		usages = append(usages, Usage{team: team.Name(), used: team.Used(), running: team.Running(), pending: team.Pending()})
	}
	s.reportUsage(usages)
	s.placer.SetRemoteUsage(s.remoteUsage())
}

// unfencedCPU returns how much unknown runs may use on workers that are not fenced yet,
// in thousandths of a processor. The previous owner may have started such runs without
// a record.
func (s *Scheduler) unfencedCPU() int64 {
	cpu := int64(0)
	for _, l := range s.links {
		if s.fencing && l.listed && !l.fenced && !l.leaseExpired {
			cpu += max(0, l.worker.Total().CPU()-s.placer.WorkerUsed(l.id).CPU())
		}
	}
	return cpu
}

// updateTeam passes the weight and the quota of a team to the placer.
func (s *Scheduler) updateTeam(team string, unfenced int64) {
	if err := s.placer.SetTeam(team, s.share(team), placer.WithQuota(s.effectiveQuota(team, unfenced))); err != nil {
		s.logPlacerError(err)
	}
}

// decide asks the placer for decisions and executes those that the limits allow.
func (s *Scheduler) decide(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != serving {
		return
	}
	decisions := s.placer.Decide(now, decideLimit)
	over := s.overLimit(decisions)
	for _, d := range decisions {
		if over[s.teamOf(d)] && d.Kind() == placer.Start {
			s.revertPlacement(d)
			continue
		}
		s.execute(d)
	}
	if len(decisions) >= decideLimit {
		s.wake()
	}
}

func (s *Scheduler) execute(d placer.Decision) {
	j, t := s.state.taskOf(d.Task())
	if t == nil {
		return
	}
	s.logger.Info("Decided.", "shard", s.shard, "decision", d.Kind().String(), "task", d.Task().String(),
		"worker", d.Worker(), "candidates", d.Examined(), "attempt", t.attempt+1, "reason", d.Reason())
	if d.Kind() == placer.Expire {
		s.expireJob(j)
		return
	}
	l, ok := s.links[d.Worker()]
	if !ok {
		return
	}
	switch d.Kind() {
	case placer.Start:
		s.startRun(l, j, d.Task().Index())
	case placer.Stop:
		s.stopRun(l, j, d.Task().Index(), dispatcher.StopOrder(j.attemptOf(d.Task().Index())))
	case placer.Checkpoint:
		s.stopRun(l, j, d.Task().Index(), dispatcher.CheckpointOrder(j.attemptOf(d.Task().Index())))
	case placer.Throttle:
		l.enqueue(dispatcher.ThrottleOrder(j.attemptOf(d.Task().Index()), j.spec.Size().CPU()))
	}
}

// stopRun orders the end of a run, or reverts its start if the order has not been sent.
func (s *Scheduler) stopRun(l *link, j *job, index int, o dispatcher.Order) {
	if t := &j.tasks[index]; t.stage == taskOrdered {
		l.removeStart(o.Attempt())
		s.revertStart(l, j, index, "stopped before its start")
		return
	}
	l.enqueue(o)
}

// startRun writes the record of a run and orders the start once the record is
// persisted. While the journal is down an idempotent task starts without it; any other
// task waits.
func (s *Scheduler) startRun(l *link, j *job, index int) {
	id := placer.NewTaskID(j.spec.ID(), index)
	t := j.task(index)
	if !j.applyStart(index, t.attempt+1, l.incarnation) {
		s.logPlacerError(s.placer.Unplace(id))
		return
	}
	t.stage = taskRecording
	l.tasks[id] = struct{}{}
	attempt := t.attempt
	if j.spec.Idempotent() && s.journalDown(time.Now()) {
		s.writeStart(j, index, true, nil)
		s.orderStart(l, j, index)
		return
	}
	s.writeStart(j, index, j.spec.Idempotent(), func(err error) {
		if t := &j.tasks[index]; t.running && t.attempt == attempt && t.stage == taskRecording {
			s.onStartOutcome(l, j, index, err)
		}
	})
	if j.spec.Idempotent() {
		s.pendingStarts = append(s.pendingStarts, pendingStart{link: l, job: j, index: index, attempt: attempt})
	}
}

func (s *Scheduler) writeStart(j *job, index int, mandatory bool, done func(error)) {
	t := &j.tasks[index]
	s.write(record{
		Kind: recordStart, Job: j.spec.ID(), Index: index, Attempt: t.attempt,
		Worker: t.incarnation.worker, Incarnation: t.incarnation.id,
	}, mandatory, done)
}

// onStartOutcome orders or reverts a start once the outcome of its record is known.
func (s *Scheduler) onStartOutcome(l *link, j *job, index int, err error) {
	switch {
	case err != nil:
		s.revertStart(l, j, index, "journal is down")
		if j.endedAt.IsZero() {
			s.logPlacerError(s.placer.SetPaused(j.spec.ID(), true))
			s.awaitingJournal = append(s.awaitingJournal, j.spec.ID())
		}
	case s.drained || s.phase != serving || j.withdrawn() || s.links[l.id] != l:
		s.revertStart(l, j, index, "starts have stopped")
	default:
		s.orderStart(l, j, index)
	}
}

// orderStart queues the order to start a run.
func (s *Scheduler) orderStart(l *link, j *job, index int) {
	j.tasks[index].stage = taskOrdered
	l.enqueue(dispatcher.StartOrder(j.attemptOf(index), dispatcher.NewTaskSpec(j.spec)))
}

// pendingStart is the start of an idempotent task whose record has no outcome yet.
type pendingStart struct {
	link    *link
	job     *job
	index   int
	attempt uint32
}

// orderPendingStarts drops the pending starts that are resolved and, if the journal is
// down, orders the others without their records.
func (s *Scheduler) orderPendingStarts(down bool) {
	left := s.pendingStarts[:0]
	for _, p := range s.pendingStarts {
		t := &p.job.tasks[p.index]
		if !t.running || t.attempt != p.attempt || t.stage != taskRecording {
			continue
		}
		if !down {
			left = append(left, p)
			continue
		}
		s.onStartOutcome(p.link, p.job, p.index, nil)
	}
	clear(s.pendingStarts[len(left):])
	s.pendingStarts = left
}

// resumeAwaitingJournal resumes the jobs that waited for the journal.
func (s *Scheduler) resumeAwaitingJournal() {
	waiting := s.awaitingJournal
	s.awaitingJournal = nil
	for _, id := range waiting {
		s.updatePaused(id)
	}
}

// revertStartOf reverts the start of a run, if that is the task's current run and on
// this worker. The run must certainly not have started.
func (s *Scheduler) revertStartOf(l *link, attempt dispatcher.Attempt, reason string) {
	j, t := s.state.taskOf(attempt.Task())
	if t.runsOn(l, attempt) {
		s.revertStart(l, j, attempt.Task().Index(), reason)
	}
}

// revertStart ends a run that certainly did not start, and queues its task again.
func (s *Scheduler) revertStart(l *link, j *job, index int, reason string) {
	id := placer.NewTaskID(j.spec.ID(), index)
	s.logPlacerError(s.placer.Unplace(id))
	s.logger.Info("Start reverted.", "shard", s.shard, "task", id.String(), "worker", l.id, "reason", reason)
	s.close(l, j, index, resultRequeued, nil)
}

// loseRun ends a run that was lost with its worker; it may have completed. A run whose
// order was not sent is reverted instead.
func (s *Scheduler) loseRun(l *link, j *job, index int, reason string) {
	t := &j.tasks[index]
	if t.stage == taskRecording || t.stage == taskOrdered {
		l.removeStart(j.attemptOf(index))
		s.revertStart(l, j, index, reason)
		return
	}
	t.losses++
	losses := t.losses
	id := placer.NewTaskID(j.spec.ID(), index)
	outcome, r := resolveLost(j, losses)
	finish, err := s.placer.Finish(id, outcome, time.Now())
	s.logPlacerError(err)
	s.logger.Warn("Run lost.", "shard", s.shard, "task", id.String(), "worker", l.id,
		"losses", losses, "again", finish.Requeued(), "reason", reason)
	s.close(l, j, index, r, nil)
	if r == resultRequeued {
		s.backOff(j, losses, time.Now())
	}
}

// resolveLost returns the outcome of a lost run for the placer, and the result for the
// journal.
func resolveLost(j *job, losses uint8) (placer.Outcome, result) {
	switch {
	case !j.spec.Idempotent():
		return placer.Lost, resultUnknown
	case j.withdrawn():
		return placer.Cancelled, resultCancelled
	case losses >= maxLosses && j.spec.Class() != placer.Service:
		return placer.Cancelled, resultFailed
	default:
		return placer.Lost, resultRequeued
	}
}

// finishRun ends a run with the outcome that its worker reports. done, if not nil, is
// called with the outcome of the record.
func (s *Scheduler) finishRun(l *link, j *job, index int, outcome dispatcher.Outcome, done func(error)) {
	id := placer.NewTaskID(j.spec.ID(), index)
	mapped, r := s.resolve(j, outcome)
	j.tasks[index].losses = 0
	finish, err := s.placer.Finish(id, mapped, time.Now())
	s.logPlacerError(err)
	switch {
	case finish.Requeued():
		r = resultRequeued
	case r == resultRequeued:
		r = resultCancelled
	}
	s.logger.Info("Run ended.", "shard", s.shard, "task", id.String(), "worker", l.id,
		"outcome", outcome.String(), "again", finish.Requeued(), "at", finish.NotBefore())
	s.close(l, j, index, r, done)
}

// resolve returns a reported outcome in the placer's terms, and the result of the task
// for the case that the placer doesn't queue it again.
func (s *Scheduler) resolve(j *job, outcome dispatcher.Outcome) (placer.Outcome, result) {
	switch {
	case outcome == dispatcher.Done:
		return placer.Succeeded, resultDone
	case outcome == dispatcher.Failed:
		return placer.Failed, resultFailed
	case j.withdrawn():
		return placer.Cancelled, resultCancelled
	case !j.spec.Idempotent():
		return placer.Lost, resultUnknown
	default:
		return placer.Preempted, resultRequeued
	}
}

// close ends a run: it applies the result and writes the record of it.
func (s *Scheduler) close(l *link, j *job, index int, r result, done func(error)) {
	t := &j.tasks[index]
	attempt := t.attempt
	delete(l.tasks, placer.NewTaskID(j.spec.ID(), index))
	if !j.applyEnd(index, attempt, r) {
		return
	}
	now := time.Now()
	j.finalize(now)
	j.unpersisted++
	s.write(record{Kind: recordEnd, Job: j.spec.ID(), Index: index, Attempt: attempt, Result: r, At: millis(now)}, true, func(err error) {
		if err == nil {
			s.onEndPersisted(j)
		}
		if done != nil {
			done(err)
		}
	})
}

// onEndPersisted counts an end that the journal has, and wakes the waiters once the
// end of the job is persisted.
func (s *Scheduler) onEndPersisted(j *job) {
	j.unpersisted--
	if j.endPersisted() && j.ended != nil {
		close(j.ended)
		j.ended = nil
	}
}

// expireJob withdraws a job whose deadline passed before its start.
func (s *Scheduler) expireJob(j *job) {
	j.expired = true
	s.recordWithdrawal(j, record{Kind: recordExpire, Job: j.spec.ID()}, nil)
}

// recordWithdrawal writes the record of a cancellation, an expiry or a move, after
// which no task of the job starts here.
func (s *Scheduler) recordWithdrawal(j *job, r record, done func(error)) {
	now := time.Now()
	j.finalize(now)
	j.unpersisted++
	r.At = millis(now)
	s.write(r, true, func(err error) {
		if err == nil {
			s.onEndPersisted(j)
		}
		if done != nil {
			done(err)
		}
	})
}
