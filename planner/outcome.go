package planner

import (
	"slices"
	"time"
)

// Outcome is the result of an order to a worker, most often to start a run.
type Outcome int

// Outcomes, described for the order to start a run.
const (
	Accepted   Outcome = iota // the worker runs it or has run it
	Refused                   // the worker certainly does not run it
	Unknown                   // no answer; it may run now or later
	NoTicket                  // refused because the order has no valid ticket
	NoCapacity                // refused because the worker lacks the capacity
	StaleTerm                 // refused because the worker knows a newer owner's fence
	Withdrawn                 // the start was decided but never ordered
	Replaced                  // another worker answers at the address, so this one has ended
	NotSent                   // the order could not be sent, so the worker does not run it
)

// String returns the outcome for logs. Operators know the texts, so they stay although
// the constants have other names.
func (o Outcome) String() string {
	return [...]string{"began", "refused", "no answer", "no ticket", "no room", "newer owner", "withdrawn", "replaced", "not sent"}[o]
}

// Wanted reports whether a decided start should still be ordered. It is false once its
// job or its gang's try has ended; the caller then reports it as Withdrawn.
func (p *Planner) Wanted(a Action) bool {
	w := p.workers[a.Worker]
	if w == nil {
		return false
	}
	r := w.runs[runKey{a.Task, a.Number}]
	return r != nil && r.phase == phaseDecided && !r.obsolete
}

// ReportStart reports the outcome of a Start. A gang's try ends with the first member that
// does not start, for whatever reason.
func (p *Planner) ReportStart(a Action, outcome Outcome, now time.Duration) {
	w := p.workers[a.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{a.Task, a.Number}]
	if r == nil || r.phase != phaseDecided {
		return
	}
	switch outcome {
	case Accepted:
		r.phase, r.started = phaseRunning, true
		p.settle(r)
		r.confirmedAt = now
		w.observeAnswer(r.startedAt)
		p.observeStart(r.step, r.number)
		w.unansweredCalls = 0
		p.stopIfObsolete(r)
	case Unknown:
		// The order may still be carried out later. The answer to a stop prevents that, but
		// for the worker's next incarnation.
		w.unansweredCalls++
		w.noteUnansweredLease()
		if a.Ticket == "" {
			r.holdLateStart()
			if r.isRepeatable() {
				r.awaitRepeat()
				return
			}
		}
		r.phase = phaseUnanswered
		p.abandon(r)
		p.stopIfObsolete(r)
		p.abandonGang(r)
	default:
		if outcome == NoTicket {
			r.step.advice.dropTicket(w)
		}
		if outcome == NoCapacity {
			w.health.noStartsBefore = max(w.health.noStartsBefore, now+time.Second/2)
		}
		p.settle(r)
		p.endRun(r, Stopped, "", now)
		switch outcome {
		case Withdrawn:
		case Replaced, NotSent:
			w.unansweredCalls++
		default:
			w.unansweredCalls = 0
			w.observeAnswer(r.startedAt)
		}
		p.abandonGang(r)
	}
}

// abandonGang abandons all runs of r's gang if r is part of one. They would wait in vain
// for a member that did not start or is lost.
func (p *Planner) abandonGang(r *run) {
	if !r.step.spec.Gang {
		return
	}
	for i := range r.step.tasks {
		for _, other := range r.step.tasks[i].runs {
			if other.number == r.number {
				p.abandon(other)
			}
		}
	}
}

// ReportStop reports whether the worker answered a Stop. Without an answer, the next
// Decide returns the Stop again. An answer also resolves an unanswered start with a ticket,
// since the worker refuses to start the run from then on; without one, see holdLateStart.
func (p *Planner) ReportStop(a Action, answered bool, now time.Duration) {
	w := p.workers[a.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{a.Task, a.Number}]
	if r == nil {
		return
	}
	if !answered {
		w.unansweredCalls++
		p.stop(r)
		return
	}
	w.unansweredCalls = 0
	r.phase = phaseStopAnswered
	r.confirmedAt = now
}

// stepOf returns the step of the task with the given name, and the task's index in it.
// The step is nil if the task is not known or its job or occurrence has ended.
func (p *Planner) stepOf(name string) (*step, int) {
	id, k, index, n, ok := parseTask(name)
	j := p.jobs[id]
	if !ok || j == nil || j.finalState != "" {
		return nil, 0
	}
	s := j.step(k, index)
	if s == nil || n >= len(s.tasks) {
		return nil, 0
	}
	return s, n
}

// HeartbeatMissed reports that a worker did not answer a heartbeat.
func (p *Planner) HeartbeatMissed(id string) {
	if w := p.workers[id]; w != nil {
		w.unansweredCalls++
		w.heartbeatTried = true
		w.noteUnansweredLease()
	}
}

// noteUnansweredLease notes that a call which may have given a lease got no answer. The next
// incarnation of the worker may execute it late, and gives all its runs the longest lease,
// since the lease ends by the clock of the earlier one.
func (w *worker) noteUnansweredLease() {
	if w.leaseExpiry != 0 {
		w.lateLeaseExpiry = w.leaseExpiry + maxOrderDelay
	}
}

// ExtendLease reports that the caller is about to give the worker a lease. At expiry
// that lease has certainly expired.
func (p *Planner) ExtendLease(id string, expiry time.Duration) {
	if w := p.workers[id]; w != nil {
		w.leaseExpiry = max(w.leaseExpiry, expiry)
	}
}

// allocate allocates a run's capacity on its worker and to its team.
func (p *Planner) allocate(r *run) {
	r.worker.allocate(r)
	if t := r.step.occurrence.job.team; t != nil {
		t.allocated = t.allocated.Add(r.size)
		r.team = t
	}
}

// release frees the capacity of a run and removes the run from its worker and task.
func (p *Planner) release(r *run) {
	r.worker.release(r)
	if r.team != nil {
		r.team.allocated = r.team.allocated.Sub(r.size)
		r.team = nil
	}
	r.step.removeRun(r)
}

// endRun releases a run and applies its end to its task. A repeated run is held as long as
// an earlier order may still be executed.
func (p *Planner) endRun(r *run, result, checkpoint string, now time.Duration) {
	s := r.step
	p.observeRunTime(r, result, now)
	if now < r.earlierUntil && s.occurrence.job.finalState == "" {
		r.holdRepeated()
	} else {
		p.release(r)
	}
	if s.occurrence.job.finalState != "" {
		return
	}
	if checkpoint != "" {
		s.tasks[r.taskIndex].checkpoint = checkpoint
	}
	p.learnRunTime(r, result, now)
	p.learnSpeed(r, result, now)
	p.observeStop(r, result, now)
	p.observeSpeculative(r, result, now)
	switch result {
	case Done:
		p.completeTask(s, r.taskIndex, r.number, now)
	case RunFailed:
		p.countFailure(s, r.taskIndex, r.number, now)
	case Lost:
		p.abandonGang(r)
	}
}

// completeTask marks a task, or its whole gang, as done by the run with that number, and
// finishes the step when all tasks are done. It abandons the other runs of a done task. It
// only marks those of the same try of a gang as obsolete, since they end by themselves.
func (p *Planner) completeTask(s *step, index, number int, now time.Duration) {
	if s.spec.LongRunning {
		return // the task has to run again
	}
	if s.spec.Gang {
		for i := range s.tasks {
			p.markDone(s, i)
		}
	} else {
		p.markDone(s, index)
	}
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if s.spec.Gang && r.number == number {
				r.obsolete = true
			} else if s.tasks[i].done {
				p.abandon(r)
			}
		}
	}
	if s.doneTasks == len(s.tasks) {
		p.finishStep(s, now)
	}
}

func (p *Planner) markDone(s *step, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	if len(t.runs) == 0 {
		s.waitingTasks--
	}
	t.done = true
	s.doneTasks++
	s.setSuspect(index, false)
}

// finishStep finishes a step whose tasks are all done. The last step finishes its
// occurrence, and the last occurrence completes the job.
func (p *Planner) finishStep(s *step, now time.Duration) {
	o := s.occurrence
	if o.unfinished == 0 || s.openPrerequisites < 0 {
		return
	}
	s.openPrerequisites = -1 // prevents finishing it twice
	p.comparePeers(s, now)
	o.finish(s)
	if o.unfinished > 0 {
		return
	}
	j := o.job
	for i, other := range j.occurrences {
		if other == o {
			j.occurrences = append(j.occurrences[:i], j.occurrences[i+1:]...)
			break
		}
	}
	j.unfinished--
	if j.unfinished == 0 {
		p.end(j, Completed, now)
	}
}

// countFailure counts a failed run unless it is counted already, and fails the job when
// the task or its gang has used up the queue's attempts. Failures of long-running tasks, and
// of those that another run has done, don't count.
func (p *Planner) countFailure(s *step, index, number int, now time.Duration) {
	t := &s.tasks[index]
	if s.spec.LongRunning || t.done {
		return
	}
	t.failedRuns = addRun(t.failedRuns, number)
	if s.spec.Gang {
		s.failedRuns = addRun(s.failedRuns, number)
	}
	if s.exhausted(index) {
		p.fail(s.occurrence.job, s.exhaustion(index), now)
	}
}

// addRun adds a run number unless the list has it. The ends of runs do not come in the order
// of their numbers, and may come again.
func addRun(numbers []int, number int) []int {
	if slices.Contains(numbers, number) {
		return numbers
	}
	return append(numbers, number)
}

// exhausted reports whether the task with that index, or its gang, has used up its
// attempts.
func (s *step) exhausted(index int) bool {
	attempts := s.occurrence.job.queue.Attempts
	return attempts > 0 && !s.spec.LongRunning && max(len(s.tasks[index].failedRuns), len(s.failedRuns)) >= attempts
}

// failIfExhausted fails a job that has used up its attempts. It is called after a
// change of the configuration, since the failures may have been replayed before the
// queue was known, or the queue may allow fewer attempts now.
func (p *Planner) failIfExhausted(j *job, now time.Duration) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				if !s.tasks[i].done && s.exhausted(i) {
					p.fail(j, s.exhaustion(i), now)
					return
				}
			}
		}
	}
}
