package planner

import "time"

// A task that lasts may not wait until the unsettled start of an earlier owner can't be executed
// any more (settled.go). Its new owner orders the same run at the same worker again: whichever
// order an incarnation of that worker executes, the task runs there and nowhere else. The run is
// held until the earlier order can't be executed any more, even if it ends before. Other tasks
// can't be ordered so, as the earlier order might be executed after the run has ended done.

// mayRepeat reports whether this owner may order an inherited run again. Its worker is fenced, and
// does not have it.
func (r *run) mayRepeat() bool {
	s := r.step
	return r.phase == phaseInherited && r.absent && !r.obsolete && !r.repeatTried && !r.separate && r.crash == nil &&
		!s.unknown && s.spec.LongRunning && !s.spec.Gang && s.occurrence.job.finalState == "" && !s.tasks[r.taskIndex].crashes.suspect
}

// repeatStarts orders the runs again whose workers were found without them since the last
// decision, if tasks may start there.
func (p *Planner) repeatStarts(now time.Duration) {
	runs := p.repeatable
	p.repeatable = nil
	sortRuns(runs)
	for _, r := range runs {
		if r.worker.runs[r.key()] == r && r.mayRepeat() && r.worker.open && r.worker.free().IsValid() {
			p.repeatStart(r, now)
		}
	}
}

// repeatStart adds the Start of an inherited run to the actions.
func (p *Planner) repeatStart(r *run, now time.Duration) {
	s, w := r.step, r.worker
	r.repeated, r.repeatTried = true, true
	r.earlierUntil, r.lateUntil = r.lateUntil, 0
	r.phase, r.absent, r.decidedAt, r.startedAt, r.incarnation = phaseDecided, false, now, now, w.reg.Incarnation
	s.startedAt = now
	p.startsLeft--
	p.actions = append(p.actions, Action{
		Kind: Start, Worker: w.reg.ID, Task: s.taskName(r.taskIndex), Number: r.number, Payload: s.occurrence.job.spec.Payload,
		Checkpoint: s.tasks[r.taskIndex].checkpoint, Queue: s.occurrence.job.spec.Queue, Reason: "the order of an earlier owner is open",
		Incarnation: w.reg.Incarnation, Repeated: true,
	})
}

// holdRepeated holds a repeated run that has ended until the order of the earlier owner can't be
// executed any more.
func (r *run) holdRepeated() {
	r.phase, r.lateUntil, r.incarnation = phaseInherited, r.earlierUntil, r.worker.reg.Incarnation
	r.started, r.listed, r.absent, r.stopOrdered, r.crash = false, false, false, false, nil
}

// replayRepeated applies a start of the journal that repeats one of an earlier owner.
func (p *Planner) replayRepeated(b Begin) {
	st, index := p.stepOf(b.Task)
	if st == nil || !b.Repeated {
		return
	}
	for _, r := range st.tasks[index].runs {
		if r.number == b.Number && r.worker.reg.ID == b.Worker {
			r.repeated = true
		}
	}
}
