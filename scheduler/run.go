package scheduler

import (
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// tick does what is due by time.
func (s *Scheduler) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage != serving {
		return
	}
	s.expireLeases(now)
	s.release(now)
	s.wakeResting(now)
	if !s.proven(now.Add(s.contact / 2)) {
		s.prove()
	}
	s.startStalled(s.journalDown(now))
	s.followLimits()
	s.every(&s.reckoned, reckonPeriod, now, s.reckon)
	s.every(&s.trimmed, trimPeriod, now, func() { s.book.trim(now.Add(-s.retention)) })
	if s.drained {
		s.leave()
	}
}

// every calls f when a period has passed.
func (s *Scheduler) every(last *time.Time, period time.Duration, now time.Time, f func()) {
	if now.Sub(*last) >= period {
		*last = now
		f()
	}
}

// reckon brings limits and weights in and tells of usage.
func (s *Scheduler) reckon() {
	unfenced := s.unfenced()
	teams := s.placer.Teams()
	list := make([]Usage, 0, len(teams))
	for _, team := range teams {
		s.limit(team.Name(), unfenced)
		s.limits.Report(team.Name(), team.Used().CPU()+unfenced, team.Demand().CPU())
		list = append(list, Usage{team: team.Name(), running: team.Used(), tasks: team.Running(), pending: team.Pending()})
	}
	s.usage(list)
	s.placer.SetRemoteUsage(s.elsewhere())
}

// unfenced returns the thousandths of processors on which tasks may run that
// the journal lacks, on workers that have not been read back yet.
func (s *Scheduler) unfenced() int64 {
	cpu := int64(0)
	for _, l := range s.links {
		if s.holding && l.listed && !l.fenced && !l.lapsed {
			cpu += max(0, l.worker.Total().CPU()-s.placer.WorkerUsed(l.id).CPU())
		}
	}
	return cpu
}

// limit tells the placer the share and the limit of a team.
func (s *Scheduler) limit(team string, unfenced int64) {
	if err := s.placer.SetTeam(team, s.share(team), placer.WithQuota(s.part(team, unfenced))); err != nil {
		s.check(err)
	}
}

// decide lets the placer decide and carries it out.
func (s *Scheduler) decide(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage != serving {
		return
	}
	decisions := s.placer.Decide(now, decideLimit)
	over := s.overLimit(decisions)
	for _, d := range decisions {
		if over[s.teamOf(d)] && d.Kind() == placer.Start {
			s.takeBack(d)
			continue
		}
		s.carryOut(d)
	}
	if len(decisions) >= decideLimit {
		s.kick()
	}
}

func (s *Scheduler) carryOut(d placer.Decision) {
	j, t := s.book.taskOf(d.Task())
	if t == nil {
		return
	}
	s.logger.Info("Decided.", "shard", s.shard, "decision", d.Kind().String(), "task", d.Task().String(),
		"worker", d.Worker(), "candidates", d.Examined(), "attempt", t.attempt+1, "reason", d.Reason())
	if d.Kind() == placer.Expire {
		s.expire(j)
		return
	}
	l, ok := s.links[d.Worker()]
	if !ok {
		return
	}
	switch d.Kind() {
	case placer.Start:
		s.start(l, j, d.Task().Index())
	case placer.Stop:
		s.stop(l, j, d.Task().Index(), dispatcher.StopOrder(j.attemptOf(d.Task().Index())))
	case placer.Checkpoint:
		s.stop(l, j, d.Task().Index(), dispatcher.CheckpointOrder(j.attemptOf(d.Task().Index())))
	case placer.Throttle:
		l.send(dispatcher.ThrottleOrder(j.attemptOf(d.Task().Index()), j.spec.Size().CPU()))
	}
}

// stop ends a run; one whose order has not gone out is taken back.
func (s *Scheduler) stop(l *link, j *job, index int, o dispatcher.Order) {
	if t := &j.tasks[index]; t.stage == taskOrdered {
		l.dropStart(o.Attempt())
		s.unstart(l, j, index, "stopped before its start")
		return
	}
	l.send(o)
}

// start records a run and, once that holds, orders it. While the journal is down
// idempotent tasks go on without; others wait.
func (s *Scheduler) start(l *link, j *job, index int) {
	id := placer.NewTaskID(j.spec.ID(), index)
	t := j.task(index)
	if !j.start(index, t.attempt+1, l.known) {
		s.check(s.placer.Unplace(id))
		return
	}
	t.stage = taskRecording
	l.tasks[id] = struct{}{}
	attempt := t.attempt
	if j.spec.Idempotent() && s.journalDown(time.Now()) {
		s.writeStart(j, index, true, nil)
		s.order(l, j, index)
		return
	}
	s.writeStart(j, index, j.spec.Idempotent(), func(err error) {
		if t := &j.tasks[index]; t.running && t.attempt == attempt && t.stage == taskRecording {
			s.onStartRecorded(l, j, index, err)
		}
	})
	if j.spec.Idempotent() {
		s.stalled = append(s.stalled, stalledStart{link: l, job: j, index: index, attempt: attempt})
	}
}

func (s *Scheduler) writeStart(j *job, index int, keep bool, done func(error)) {
	t := &j.tasks[index]
	s.write(record{
		Kind: recordStart, Job: j.spec.ID(), Index: index, Attempt: t.attempt,
		Worker: t.place.worker, Incarnation: t.place.incarnation,
	}, keep, done)
}

// onStartRecorded goes on with a start once the journal has answered.
func (s *Scheduler) onStartRecorded(l *link, j *job, index int, err error) {
	switch {
	case err != nil:
		s.unstart(l, j, index, "journal is down")
		if j.over.IsZero() {
			s.check(s.placer.SetPaused(j.spec.ID(), true))
			s.waiting = append(s.waiting, j.spec.ID())
		}
	case s.drained || s.stage != serving || j.withdrawn() || s.links[l.id] != l:
		s.unstart(l, j, index, "starts have stopped")
	default:
		s.order(l, j, index)
	}
}

// order queues the start order of a run.
func (s *Scheduler) order(l *link, j *job, index int) {
	j.tasks[index].stage = taskOrdered
	l.send(dispatcher.StartOrder(j.attemptOf(index), dispatcher.NewTaskSpec(j.spec)))
}

// stalledStart is an idempotent start whose record has no outcome so far.
type stalledStart struct {
	link    *link
	job     *job
	index   int
	attempt uint32
}

// startStalled orders the starts of idempotent tasks whose records the journal
// has not answered, if it is down.
func (s *Scheduler) startStalled(down bool) {
	left := s.stalled[:0]
	for _, w := range s.stalled {
		t := &w.job.tasks[w.index]
		if !t.running || t.attempt != w.attempt || t.stage != taskRecording {
			continue
		}
		if !down {
			left = append(left, w)
			continue
		}
		s.onStartRecorded(w.link, w.job, w.index, nil)
	}
	clear(s.stalled[len(left):])
	s.stalled = left
}

// resumeWaiting lets the jobs go on that had to wait for the journal.
func (s *Scheduler) resumeWaiting() {
	waiting := s.waiting
	s.waiting = nil
	for _, id := range waiting {
		s.unhold(id)
	}
}

// unstartAttempt takes back a run that surely did not start.
func (s *Scheduler) unstartAttempt(l *link, attempt dispatcher.Attempt, reason string) {
	j, t := s.book.taskOf(attempt.Task())
	if t.here(l, attempt) {
		s.unstart(l, j, attempt.Task().Index(), reason)
	}
}

// unstart takes back a run that surely did not start: the task waits again.
func (s *Scheduler) unstart(l *link, j *job, index int, reason string) {
	id := placer.NewTaskID(j.spec.ID(), index)
	s.check(s.placer.Unplace(id))
	s.logger.Info("Start taken back.", "shard", s.shard, "task", id.String(), "worker", l.id, "reason", reason)
	s.close(l, j, index, resultAgain, nil)
}

// lose ends a run whose worker has lost it. It may have run to its end.
func (s *Scheduler) lose(l *link, j *job, index int, reason string) {
	t := &j.tasks[index]
	if t.stage == taskRecording || t.stage == taskOrdered {
		l.dropStart(j.attemptOf(index))
		s.unstart(l, j, index, reason)
		return
	}
	t.losses++
	losses := t.losses
	id := placer.NewTaskID(j.spec.ID(), index)
	outcome, r := lost(j, losses)
	settlement, err := s.placer.Finish(id, outcome, time.Now())
	s.check(err)
	s.logger.Warn("Run lost.", "shard", s.shard, "task", id.String(), "worker", l.id,
		"losses", losses, "again", settlement.Requeued(), "reason", reason)
	s.close(l, j, index, r, nil)
	if r == resultAgain {
		s.rest(j, losses, time.Now())
	}
}

// lost returns what the loss of a run means to the placer and to the job.
func lost(j *job, losses uint8) (placer.Outcome, result) {
	switch {
	case !j.spec.Idempotent():
		return placer.Lost, resultUnknown
	case j.withdrawn():
		return placer.Cancelled, resultCancelled
	case losses >= maxLosses && j.spec.Class() != placer.Service:
		return placer.Cancelled, resultFailed
	default:
		return placer.Lost, resultAgain
	}
}

// finish ends a run with the outcome that its worker reports.
func (s *Scheduler) finish(l *link, j *job, index int, outcome dispatcher.Outcome, done func(error)) {
	id := placer.NewTaskID(j.spec.ID(), index)
	planned, r := s.judge(j, outcome)
	j.tasks[index].losses = 0
	settlement, err := s.placer.Finish(id, planned, time.Now())
	s.check(err)
	switch {
	case settlement.Requeued():
		r = resultAgain
	case r == resultAgain:
		r = resultCancelled
	}
	s.logger.Info("Run ended.", "shard", s.shard, "task", id.String(), "worker", l.id,
		"outcome", outcome.String(), "again", settlement.Requeued(), "at", settlement.NotBefore())
	s.close(l, j, index, r, done)
}

// judge returns what an outcome means to the placer, and to the job when the
// task doesn't run again.
func (s *Scheduler) judge(j *job, outcome dispatcher.Outcome) (placer.Outcome, result) {
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
		return placer.Preempted, resultAgain
	}
}

// close takes a run off the books and records its end.
func (s *Scheduler) close(l *link, j *job, index int, r result, done func(error)) {
	t := &j.tasks[index]
	attempt := t.attempt
	delete(l.tasks, placer.NewTaskID(j.spec.ID(), index))
	if !j.end(index, attempt, r) {
		return
	}
	now := time.Now()
	j.settle(now)
	j.unrecorded++
	s.write(record{Kind: recordEnd, Job: j.spec.ID(), Index: index, Attempt: attempt, Result: r, At: millis(now)}, true, func(err error) {
		if err == nil {
			s.onRecorded(j)
		}
		if done != nil {
			done(err)
		}
	})
}

// onRecorded counts a result that the journal has, and wakes who waits.
func (s *Scheduler) onRecorded(j *job) {
	j.unrecorded--
	if j.recorded() && j.ended != nil {
		close(j.ended)
		j.ended = nil
	}
}

// expire ends a job whose deadline passed before its start.
func (s *Scheduler) expire(j *job) {
	j.expired = true
	s.settleWithdrawn(j, record{Kind: recordExpire, Job: j.spec.ID()}, nil)
}

// settleWithdrawn records that no task of the job starts any more.
func (s *Scheduler) settleWithdrawn(j *job, r record, done func(error)) {
	now := time.Now()
	j.settle(now)
	j.unrecorded++
	r.At = millis(now)
	s.write(r, true, func(err error) {
		if err == nil {
			s.onRecorded(j)
		}
		if done != nil {
			done(err)
		}
	})
}
