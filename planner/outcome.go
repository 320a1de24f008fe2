package planner

import "time"

// Outcome is what became of an order to start a run.
type Outcome int

// Outcomes of a start.
const (
	Accepted  Outcome = iota // the worker runs it, or has run it
	Refused                  // it surely does not run
	Unknown                  // no answer; it may run, or begin yet
	NoTicket                 // refused for want of a valid ticket
	NoRoom                   // refused for want of room
	StaleTerm                // refused because of a newer owner's fence
	Withdrawn                // never ordered
)

// String returns the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"began", "refused", "no answer", "no ticket", "no room", "newer owner", "withdrawn"}[o]
}

// Started tells what became of a start.
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
		r.answered = now
		w.silent = 0
	case Unknown:
		// An order without an answer may be carried out later; the stop of the
		// run settles it.
		w.silent++
		r.phase = unanswered
		p.giveUp(r)
		p.breakGang(r)
	default:
		if outcome == NoTicket {
			r.step.advice.expire(a.Worker)
		}
		if outcome == NoRoom {
			w.health.until = max(w.health.until, now+time.Second/2)
		}
		p.endRun(r, Stopped, "", now)
		if outcome != Withdrawn {
			w.silent = 0
			p.breakGang(r)
		}
	}
}

// breakGang stops the members of a gang of which one did not start: they would
// wait for it in vain.
func (p *Planner) breakGang(r *run) {
	if !r.step.spec.Gang {
		return
	}
	for i := range r.step.tasks {
		for _, other := range r.step.tasks[i].runs {
			if other.number == r.number {
				p.giveUp(other)
			}
		}
	}
}

// Halted tells what became of a stop. One that was answered settles a start that
// got no answer, as the worker refuses that run from now on.
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
		w.silent++
		p.stop(r)
		return
	}
	w.silent = 0
	r.phase = stopping
	r.answered = now
}

// WorkerStatus is a worker's answer to a call that holds its lease.
type WorkerStatus struct {
	Worker      string
	Incarnation int64
	Asked       time.Duration // when the call was made
	Running     []Entry
	Ended       []EndEntry
}

// Entry is one run that a worker lists.
type Entry struct {
	Task     string
	Number   int
	Saved    string // newest checkpoint
	Progress int    // percent
}

// EndEntry is one end that a worker lists.
type EndEntry struct {
	Serial uint64
	End
}

// HandleStatus takes over what a worker lists. It returns the ends that the journal is
// to hold before the worker may forget them.
func (p *Planner) HandleStatus(l WorkerStatus, now time.Duration) []End {
	w := p.workers[l.Worker]
	if w == nil {
		return nil
	}
	if l.Incarnation != 0 && l.Incarnation != w.report.Incarnation {
		if l.Incarnation < w.report.Incarnation {
			return nil // from an earlier incarnation
		}
		if w.report.Incarnation != 0 {
			p.reborn(w, l.Incarnation, now)
		}
		w.report.Incarnation = l.Incarnation
	}
	w.silent, w.tried = 0, true
	w.fenced = true
	var ends []End
	for _, e := range l.Ended {
		if e.Serial <= w.seen {
			continue
		}
		w.seen = e.Serial
		p.listedEnd(w, e.End, now)
		ends = append(ends, e.End)
	}
	present := map[runKey]bool{}
	for _, e := range l.Running {
		present[runKey{e.Task, e.Number}] = true
		p.listedRun(w, e, now)
	}
	for key, r := range w.runs {
		if present[key] || r.answered >= l.Asked || r.phase == sent || r.phase == unanswered {
			continue
		}
		// It was confirmed before the call, and the worker has it no more; or an
		// earlier owner's order never arrived, and the fence refuses it now.
		p.endRun(r, Lost, r.saved, now)
	}
	return ends
}

// listedEnd applies one end.
func (p *Planner) listedEnd(w *worker, e End, now time.Duration) {
	if r := w.runs[runKey{e.Task, e.Number}]; r != nil {
		switch e.How {
		case Done:
			w.health.succeeded()
		case RunFailed:
			w.health.failed(now)
		}
		p.endRun(r, e.How, e.Checkpoint, now)
		return
	}
	// An end of an earlier owner's run, or of one whose lease has lapsed, counts;
	// but a task that was started anew since is not done by it.
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
		p.settleDone(s, index, now)
	}
}

// listedRun applies one run: it confirms a start, of an earlier owner as well, or
// has a run stopped that should not be there.
func (p *Planner) listedRun(w *worker, e Entry, now time.Duration) {
	if r := w.runs[runKey{e.Task, e.Number}]; r != nil {
		r.progress, r.told = e.Progress, now
		if e.Saved != "" {
			r.saved = e.Saved
			if !r.over {
				r.step.tasks[r.index].checkpoint = e.Saved
			}
		}
		if r.phase == sent || r.phase == recorded {
			r.phase, r.answered = running, now
		}
		return
	}
	s, index := p.stepOf(e.Task)
	if s == nil {
		p.stray(w, e)
		return
	}
	r := &run{step: s, index: index, number: e.Number, on: w, size: s.spec.Size, phase: running, began: now, answered: now, progress: e.Progress, saved: e.Saved}
	p.charge(r)
	t := &s.tasks[index]
	if len(t.runs) == 0 && !t.done {
		s.todo--
	}
	// Every start is in the journal, so this one was given up since.
	t.runs = append(t.runs, r)
	t.number = max(t.number, e.Number)
	s.number = max(s.number, e.Number)
	p.giveUp(r)
}

// stray has a run stopped whose job is not known any more. Its size is not known
// either, so the worker counts as full meanwhile.
func (p *Planner) stray(w *worker, e Entry) {
	o := &occurrence{job: &job{ended: Cancelled, spec: JobSpec{ID: e.Task}}}
	s := &step{round: o, name: e.Task, spec: &StepSpec{}, tasks: make([]task, 1)}
	r := &run{step: s, number: e.Number, on: w, size: w.report.Capacity, phase: running, over: true}
	id, k, index, n, ok := parseTask(e.Task)
	if ok {
		s.name = taskPrefix(id, k, index)
		s.tasks = make([]task, n+1)
		r.index = n
	}
	p.charge(r)
	p.stop(r)
}

// stepOf returns the step of a task whose job has not ended.
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

// HeartbeatMissed tells that a call to a worker got no answer.
func (p *Planner) HeartbeatMissed(id string) {
	if w := p.workers[id]; w != nil {
		w.silent++
		w.tried = true
	}
}

// ExtendLease notes that a lease on the worker may run until lapses.
func (p *Planner) ExtendLease(id string, lapses time.Duration) {
	if w := p.workers[id]; w != nil {
		w.lapses = max(w.lapses, lapses)
	}
}

// charge books a run on its worker and its team.
func (p *Planner) charge(r *run) {
	r.on.charge(r)
	if t := r.step.round.job.team; t != nil {
		t.used = t.used.Add(r.size)
		r.team = t
	}
}

// release takes a run off the books of its worker, its team and its task.
func (p *Planner) release(r *run) {
	r.on.release(r)
	if r.team != nil {
		r.team.used = r.team.used.Sub(r.size)
		r.team = nil
	}
	r.step.drop(r)
}

// endRun takes a run off the books and applies its end.
func (p *Planner) endRun(r *run, how, saved string, now time.Duration) {
	p.release(r)
	s := r.step
	if s.round.job.ended != "" {
		return
	}
	if saved != "" {
		s.tasks[r.index].checkpoint = saved
	}
	p.learn(r, how, now)
	switch how {
	case Done:
		p.settleDone(s, r.index, now)
	case RunFailed:
		p.countFailure(s, r.index, r.number, now)
	case Lost:
		p.breakGang(r)
	}
}

// settleDone marks a task, or a whole gang, as done.
func (p *Planner) settleDone(s *step, index int, now time.Duration) {
	if s.spec.LongRunning {
		return // it has to run again
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
				r.over = true // members end by themselves
			} else if s.tasks[i].done {
				p.giveUp(r)
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
		s.todo--
	}
	t.done = true
	s.done++
}

// finishStep goes on after all tasks of a step are done.
func (p *Planner) finishStep(s *step, now time.Duration) {
	o := s.round
	if o.left == 0 || s.blocked < 0 {
		return
	}
	s.blocked = -1 // finished once
	o.finish(s)
	if o.left > 0 {
		return
	}
	j := o.job
	for i, other := range j.rounds {
		if other == o {
			j.rounds = append(j.rounds[:i], j.rounds[i+1:]...)
			break
		}
	}
	j.remaining--
	if j.remaining == 0 {
		p.end(j, Completed, now)
	}
}

// countFailure counts a failed run, and ends the job when the queue's attempts
// are used up.
func (p *Planner) countFailure(s *step, index, number int, now time.Duration) {
	if s.spec.LongRunning {
		return
	}
	t := &s.tasks[index]
	if number > t.failedRun {
		t.failedRun = number
		t.failures++
	}
	if s.spec.Gang && number > s.failedRun {
		s.failedRun = number
		s.failures++
	}
	if s.exhausted(index) {
		p.end(s.round.job, Failed, now)
	}
}

// exhausted reports whether the task, or its gang, has used up its attempts.
func (s *step) exhausted(index int) bool {
	attempts := s.round.job.queue.Attempts
	return attempts > 0 && !s.spec.LongRunning && max(s.tasks[index].failures, s.failures) >= attempts
}

// judge ends a job that used up its attempts before its queue was known, or whose
// queue allows fewer now.
func (p *Planner) judge(j *job, now time.Duration) {
	for _, o := range j.rounds {
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
