package planner

import "time"

// Outcome is the outcome of an order to start a run.
type Outcome int

// Outcomes of a start.
const (
	Accepted  Outcome = iota // the worker runs it, or has run it
	Refused                  // it certainly does not run
	Unknown                  // no answer; it may run now or later
	NoTicket                 // refused because it lacks a valid ticket
	NoRoom                   // refused because it does not fit
	StaleTerm                // refused because the worker knows a newer owner's fence
	Withdrawn                // never ordered
)

// String returns the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"began", "refused", "no answer", "no ticket", "no room", "newer owner", "withdrawn"}[o]
}

// Started reports the outcome of a Start.
func (p *Planner) Started(a Action, outcome Outcome, now time.Duration) {
	w := p.workers[a.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{a.Task, a.Number}]
	if r == nil || r.phase != sent {
		return
	}
	switch outcome {
	case Accepted:
		r.phase = running
		r.confirmedAt = now
		w.missedCalls = 0
	case Unknown:
		// The order may still be carried out later. Stopping the run resolves that.
		w.missedCalls++
		r.phase = unanswered
		p.abandon(r)
		p.abandonGang(r)
	default:
		if outcome == NoTicket {
			r.step.advice.expire(a.Worker)
		}
		if outcome == NoRoom {
			w.health.noStartsBefore = max(w.health.noStartsBefore, now+time.Second/2)
		}
		p.endRun(r, Stopped, "", now)
		if outcome != Withdrawn {
			w.missedCalls = 0
			p.abandonGang(r)
		}
	}
}

// abandonGang abandons the members of a run's gang, if it has one. They would wait in
// vain for a member that did not start or is lost.
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

// Halted reports whether a Stop was answered; if not, it is ordered again. An answer
// also resolves a start that got none, since the worker refuses that run from now on.
func (p *Planner) Halted(a Action, answered bool, now time.Duration) {
	w := p.workers[a.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{a.Task, a.Number}]
	if r == nil {
		return
	}
	if !answered {
		w.missedCalls++
		p.stop(r)
		return
	}
	w.missedCalls = 0
	r.phase = stopping
	r.confirmedAt = now
}

// WorkerStatus is a worker's answer to a heartbeat.
type WorkerStatus struct {
	Worker      string
	Incarnation int64
	Asked       time.Duration // when the heartbeat was sent
	Running     []Entry
	Ended       []EndEntry
}

// Entry is one run that a worker lists as running.
type Entry struct {
	Task     string
	Number   int
	Saved    string // newest checkpoint
	Progress int    // percent
}

// EndEntry is one ended run that a worker lists. Serials increase within an
// incarnation.
type EndEntry struct {
	Serial uint64
	End
}

// HandleStatus applies a worker's answer to a heartbeat. It returns the new ends, which
// the journal has to hold before the worker may forget them.
func (p *Planner) HandleStatus(status WorkerStatus, now time.Duration) []End {
	w := p.workers[status.Worker]
	if w == nil {
		return nil
	}
	if status.Incarnation != 0 && status.Incarnation != w.reg.Incarnation {
		if status.Incarnation < w.reg.Incarnation {
			return nil // from an earlier incarnation
		}
		if w.reg.Incarnation != 0 {
			p.workerRestarted(w, status.Incarnation, now)
		}
		w.reg.Incarnation = status.Incarnation
	}
	w.missedCalls, w.heartbeatTried = 0, true
	w.fenced = true
	var ends []End
	for _, e := range status.Ended {
		if e.Serial <= w.lastSerial {
			continue
		}
		w.lastSerial = e.Serial
		p.applyEnd(w, e.End, now)
		ends = append(ends, e.End)
	}
	present := map[runKey]bool{}
	for _, e := range status.Running {
		present[runKey{e.Task, e.Number}] = true
		p.applyRunning(w, e, now)
	}
	for key, r := range w.runs {
		if present[key] || r.confirmedAt >= status.Asked || r.phase == sent || r.phase == unanswered {
			continue
		}
		// The run was confirmed before the heartbeat and the worker no longer has it, or
		// an earlier owner's order never arrived and the fence refuses it from now on.
		p.endRun(r, Lost, r.checkpoint, now)
	}
	return ends
}

// applyEnd applies the end of a run that the worker lists.
func (p *Planner) applyEnd(w *worker, e End, now time.Duration) {
	if r := w.runs[runKey{e.Task, e.Number}]; r != nil {
		switch e.How {
		case Done:
			w.health.recordSuccess()
		case RunFailed:
			w.health.recordFailure(now)
		}
		p.endRun(r, e.How, e.Checkpoint, now)
		return
	}
	// The run is not allocated here: an earlier owner started it, or its lease has
	// expired. Its end still counts, but it doesn't complete a task that was started
	// again since.
	s, index := p.stepOf(e.Task)
	if s == nil || s.tasks[index].done {
		return
	}
	if e.How == RunFailed {
		p.countFailure(s, index, e.Number, now)
		return
	}
	if len(s.tasks[index].runs) > 0 {
		return
	}
	if e.Checkpoint != "" {
		s.tasks[index].checkpoint = e.Checkpoint
	}
	if e.How == Done {
		p.completeTask(s, index, now)
	}
}

// applyRunning applies a run that the worker lists as running. It confirms the start,
// also one of an earlier owner, or stops a run that should not be there.
func (p *Planner) applyRunning(w *worker, e Entry, now time.Duration) {
	if r := w.runs[runKey{e.Task, e.Number}]; r != nil {
		r.progress, r.progressAt = e.Progress, now
		if e.Saved != "" {
			r.checkpoint = e.Saved
			if !r.obsolete {
				r.step.tasks[r.index].checkpoint = e.Saved
			}
		}
		if r.phase == sent || r.phase == inherited {
			r.phase, r.confirmedAt = running, now
		}
		return
	}
	s, index := p.stepOf(e.Task)
	if s == nil {
		p.stopUnknownRun(w, e)
		return
	}
	r := &run{step: s, index: index, number: e.Number, worker: w, size: s.spec.Size, phase: running, orderedAt: now, confirmedAt: now, progress: e.Progress, checkpoint: e.Saved}
	p.allocate(r)
	t := &s.tasks[index]
	if len(t.runs) == 0 && !t.done {
		s.waiting--
	}
	// Every start is in the journal, so a run that is not allocated was released before.
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, e.Number)
	s.lastRun = max(s.lastRun, e.Number)
	p.abandon(r)
}

// stopUnknownRun stops a run whose job or step is not known any more. Its size is not
// known either, so it allocates the whole worker until it has ended.
func (p *Planner) stopUnknownRun(w *worker, e Entry) {
	o := &occurrence{job: &job{ended: Cancelled, spec: JobSpec{ID: e.Task}}}
	s := &step{occurrence: o, name: e.Task, spec: &StepSpec{}, tasks: make([]task, 1)}
	r := &run{step: s, number: e.Number, worker: w, size: w.reg.Capacity, phase: running, obsolete: true}
	id, k, index, n, ok := parseTask(e.Task)
	if ok {
		s.name = taskPrefix(id, k, index)
		s.tasks = make([]task, n+1)
		r.index = n
	}
	p.allocate(r)
	p.stop(r)
}

// stepOf returns the step and index of a task. The step is nil if the task is not known
// or its job or occurrence has ended.
func (p *Planner) stepOf(name string) (*step, int) {
	id, k, index, n, ok := parseTask(name)
	j := p.jobs[id]
	if !ok || j == nil || j.ended != "" {
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
		w.missedCalls++
		w.heartbeatTried = true
	}
}

// ExtendLease reports that a lease is about to be given to the worker that has
// certainly expired at expiry.
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

// release frees a run's capacity and removes the run from its worker and its task.
func (p *Planner) release(r *run) {
	r.worker.release(r)
	if r.team != nil {
		r.team.allocated = r.team.allocated.Sub(r.size)
		r.team = nil
	}
	r.step.removeRun(r)
}

// endRun releases a run and applies its end to its task.
func (p *Planner) endRun(r *run, how, checkpoint string, now time.Duration) {
	p.release(r)
	s := r.step
	if s.occurrence.job.ended != "" {
		return
	}
	if checkpoint != "" {
		s.tasks[r.index].checkpoint = checkpoint
	}
	p.learnRunTime(r, how, now)
	switch how {
	case Done:
		p.completeTask(s, r.index, now)
	case RunFailed:
		p.countFailure(s, r.index, r.number, now)
	case Lost:
		p.abandonGang(r)
	}
}

// completeTask marks a task, or its whole gang, as done and its runs as obsolete. It
// finishes the step when all tasks are done.
func (p *Planner) completeTask(s *step, index int, now time.Duration) {
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
			if s.spec.Gang {
				r.obsolete = true // members end by themselves
			} else if s.tasks[i].done {
				p.abandon(r)
			}
		}
	}
	if s.done == len(s.tasks) {
		p.finishStep(s, now)
	}
}

func (p *Planner) markDone(s *step, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	if len(t.runs) == 0 {
		s.waiting--
	}
	t.done = true
	s.done++
}

// finishStep finishes a step whose tasks are all done. If it is the last of its
// occurrence, the occurrence is finished too, and with its last occurrence the job is
// completed.
func (p *Planner) finishStep(s *step, now time.Duration) {
	o := s.occurrence
	if o.unfinished == 0 || s.blocked < 0 {
		return
	}
	s.blocked = -1 // prevents finishing it twice
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

// countFailure counts a failed run once, and fails the job when the queue's attempts
// are used up. Failures of long-running tasks don't count.
func (p *Planner) countFailure(s *step, index, number int, now time.Duration) {
	if s.spec.LongRunning {
		return
	}
	t := &s.tasks[index]
	if number > t.lastFailedRun {
		t.lastFailedRun = number
		t.failures++
	}
	if s.spec.Gang && number > s.lastFailedRun {
		s.lastFailedRun = number
		s.failures++
	}
	if s.exhausted(index) {
		p.end(s.occurrence.job, Failed, now)
	}
}

// exhausted reports whether the task, or its gang, has used up its attempts.
func (s *step) exhausted(index int) bool {
	attempts := s.occurrence.job.queue.Attempts
	return attempts > 0 && !s.spec.LongRunning && max(s.tasks[index].failures, s.failures) >= attempts
}

// failIfExhausted fails a job that has used up its attempts. It is called after a
// change of the configuration, since the failures may have been replayed before the
// queue was known, or the queue may allow fewer attempts now.
func (p *Planner) failIfExhausted(j *job, now time.Duration) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				if !s.tasks[i].done && s.exhausted(i) {
					p.end(j, Failed, now)
					return
				}
			}
		}
	}
}
