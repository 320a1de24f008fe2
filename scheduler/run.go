package scheduler

import (
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// tick does the timed work, such as the expiry of leases, while the shard is served.
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
	s.updatePendingStarts(s.journalDown(now))
	s.refreshQuotas()
	s.every(&s.teamsRefreshedAt, teamRefreshPeriod, now, s.refreshTeams)
	s.every(&s.prunedAt, prunePeriod, now, func() { s.state.prune(now.Add(-s.retention)) })
	if s.draining {
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

// refreshTeams updates the quotas, weights and remote usage in the placer, and reports
// what the teams use here.
func (s *Scheduler) refreshTeams() {
	unfenced := s.unfencedCPU()
	teams := s.placer.Teams()
	usages := make([]Usage, 0, len(teams))
	for _, team := range teams {
		s.updateTeam(team.Name(), unfenced)
		s.limits.Report(team.Name(), team.Used().CPU()+unfenced, team.Demand().CPU())
		begun := s.begunTasks[team.Name()]
		usages = append(usages, Usage{team: team.Name(), used: team.Used(), running: begun, pending: max(team.Pending()+team.Running()-begun, 0)})
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
		if s.awaitingFences && l.listed && !l.fenced && !l.leaseExpired {
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

// stopRun queues order o, which ends a run. If the start order has not been sent yet, it
// reverts the start instead.
func (s *Scheduler) stopRun(l *link, j *job, index int, o dispatcher.Order) {
	if t := &j.tasks[index]; t.stage == startOrdered {
		l.removeStart(o.Attempt())
		s.revertStart(l, j, index, "stopped before its start")
		return
	}
	l.enqueue(o)
}

// startRun writes a start record, and queues the start order once the record is
// persisted. While the journal is down, an idempotent task starts at once and its record
// follows.
func (s *Scheduler) startRun(l *link, j *job, index int) {
	id := placer.NewTaskID(j.spec.ID(), index)
	t := j.task(index)
	if !j.applyStart(index, t.attempt+1, l.incarnation) {
		s.logPlacerError(s.placer.Unplace(id))
		return
	}
	t.stage = startRecording
	l.tasks[id] = struct{}{}
	attempt := t.attempt
	if j.spec.Idempotent() && s.journalDown(time.Now()) {
		s.writeStart(j, index, true, nil)
		s.queueStart(l, j, index)
		return
	}
	s.writeStart(j, index, j.spec.Idempotent(), func(err error) {
		if t := &j.tasks[index]; t.running && t.attempt == attempt && t.stage == startRecording {
			s.queueOrRevertStart(l, j, index, err)
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

// queueOrRevertStart queues the start order of a run, or reverts the start if starts have
// stopped. err is the result of writing the start record: if it is not nil, the start is
// reverted and the job is paused until the journal is up.
func (s *Scheduler) queueOrRevertStart(l *link, j *job, index int, err error) {
	switch {
	case err != nil:
		s.revertStart(l, j, index, "journal is down")
		if j.endedAt.IsZero() {
			s.logPlacerError(s.placer.SetPaused(j.spec.ID(), true))
			s.jobsAwaitingJournal = append(s.jobsAwaitingJournal, j.spec.ID())
		}
	case s.draining || s.phase != serving || j.withdrawn() || s.links[l.id] != l:
		s.revertStart(l, j, index, "starts have stopped")
	default:
		s.queueStart(l, j, index)
	}
}

// queueStart queues the order to start a run.
func (s *Scheduler) queueStart(l *link, j *job, index int) {
	j.tasks[index].stage = startOrdered
	l.enqueue(dispatcher.StartOrder(j.attemptOf(index), dispatcher.NewTaskSpec(j.spec)))
}

// pendingStart is the start of an idempotent task whose record is being written.
type pendingStart struct {
	link    *link
	job     *job
	index   int
	attempt uint32
}

// updatePendingStarts removes the pending starts that no longer wait for their records.
// If the journal is down, it also removes the others and queues their start orders, or
// reverts these starts, without waiting for the records.
func (s *Scheduler) updatePendingStarts(down bool) {
	left := s.pendingStarts[:0]
	for _, p := range s.pendingStarts {
		t := &p.job.tasks[p.index]
		if !t.running || t.attempt != p.attempt || t.stage != startRecording {
			continue
		}
		if !down {
			left = append(left, p)
			continue
		}
		s.queueOrRevertStart(p.link, p.job, p.index, nil)
	}
	clear(s.pendingStarts[len(left):])
	s.pendingStarts = left
}

// resumeAwaitingJournal resumes the jobs that waited for the journal.
func (s *Scheduler) resumeAwaitingJournal() {
	waiting := s.jobsAwaitingJournal
	s.jobsAwaitingJournal = nil
	for _, id := range waiting {
		s.updatePaused(id)
	}
}

// revertStartOf reverts the start of a run that is still its task's current run on the
// worker of l. The run must certainly not have started.
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

// loseRun ends a run that was lost with its worker; the run may have completed. If the
// start order has not been sent, it reverts the start instead.
func (s *Scheduler) loseRun(l *link, j *job, index int, reason string) {
	t := &j.tasks[index]
	if t.stage == startRecording || t.stage == startOrdered {
		l.removeStart(j.attemptOf(index))
		s.revertStart(l, j, index, reason)
		return
	}
	t.losses++
	losses := t.losses
	id := placer.NewTaskID(j.spec.ID(), index)
	outcome, taskResult := resolveLost(j, losses)
	finish, err := s.placer.Finish(id, outcome, time.Now())
	s.logPlacerError(err)
	s.logger.Warn("Run lost.", "shard", s.shard, "task", id.String(), "worker", l.id,
		"losses", losses, "again", finish.Requeued(), "reason", reason)
	s.close(l, j, index, taskResult, nil)
	if taskResult == resultRequeued {
		s.backOff(j, losses, time.Now())
	}
}

// resolveLost returns the outcome of a lost run in the placer's terms, and the result for
// the journal.
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

// finishRun ends a run with the outcome that its worker reports. The placer decides
// whether the task is queued again. done, if not nil, is called with the result of
// writing the end record.
func (s *Scheduler) finishRun(l *link, j *job, index int, reported dispatcher.Outcome, done func(error)) {
	id := placer.NewTaskID(j.spec.ID(), index)
	outcome, taskResult := s.resolve(j, reported)
	j.tasks[index].losses = 0
	finish, err := s.placer.Finish(id, outcome, time.Now())
	s.logPlacerError(err)
	switch {
	case finish.Requeued():
		taskResult = resultRequeued
	case taskResult == resultRequeued:
		taskResult = resultCancelled
	}
	s.logger.Info("Run ended.", "shard", s.shard, "task", id.String(), "worker", l.id,
		"outcome", reported.String(), "again", finish.Requeued(), "at", finish.NotBefore())
	s.close(l, j, index, taskResult, done)
}

// resolve returns a reported outcome in the placer's terms, and the result of the task.
// finishRun changes the result if the placer decides otherwise about queueing the task
// again.
func (s *Scheduler) resolve(j *job, reported dispatcher.Outcome) (placer.Outcome, result) {
	switch {
	case reported == dispatcher.Done:
		return placer.Succeeded, resultDone
	case reported == dispatcher.Failed:
		return placer.Failed, resultFailed
	case j.withdrawn():
		return placer.Cancelled, resultCancelled
	case !j.spec.Idempotent():
		return placer.Lost, resultUnknown
	default:
		return placer.Preempted, resultRequeued
	}
}

// close ends a run: it applies the result and writes the end record. done, if not nil, is
// called with the result of the write.
func (s *Scheduler) close(l *link, j *job, index int, r result, done func(error)) {
	t := &j.tasks[index]
	attempt, begun := t.attempt, t.begun
	delete(l.tasks, placer.NewTaskID(j.spec.ID(), index))
	if !j.applyEnd(index, attempt, r, t.losses) {
		return
	}
	if begun {
		s.begunTasks[j.spec.Team()]--
	}
	now := time.Now()
	j.finalize(now)
	j.unpersisted++
	if begun {
		j.begunEnds++
	}
	s.write(record{Kind: recordEnd, Job: j.spec.ID(), Index: index, Attempt: attempt, Result: r, Losses: t.losses, At: millis(now)}, true, func(err error) {
		if err == nil {
			if begun {
				j.begunEnds--
			}
			s.onEndPersisted(j)
		}
		if done != nil {
			done(err)
		}
	})
}

// onEndPersisted records that the end of a run or of the job is persisted. If the job has
// ended and all its ends are persisted, it wakes the callers that wait for the job.
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
