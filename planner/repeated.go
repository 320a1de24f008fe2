package planner

import "time"

// A task that lasts may not wait until a start without an answer, of this owner or an earlier one
// (settled.go), can't be executed any more. The same run is ordered at the same worker again:
// whichever order an incarnation of that worker executes, the task runs there and nowhere else.
// The run is held until the earlier order can't be executed any more, even if it ends before.
// Other tasks can't be ordered so, as the earlier order might be executed after the run has ended
// done.

// maxRepeats is how often an owner orders a run again. A worker that answers heartbeats may lose each
// order; the task has to start elsewhere then.
const maxRepeats = 3

// isRepeatable reports whether the run may be ordered once more.
func (r *run) isRepeatable() bool {
	s := r.step
	return r.repeats < maxRepeats && !r.obsolete && !r.separate && r.crash == nil && !s.unknown && s.spec.LongRunning && !s.spec.Gang &&
		s.occurrence.job.finalState == "" && !s.tasks[r.taskIndex].crashes.suspect
}

// mayRepeat reports whether the run may be ordered again now: its worker has answered without it.
func (r *run) mayRepeat() bool {
	return r.phase == phaseInherited && r.absent && r.isRepeatable()
}

// awaitRepeat makes a run whose start got no answer wait for its repetition, as an inherited one.
func (r *run) awaitRepeat() {
	r.phase = phaseInherited
	if r.repeated {
		r.earlierUntil = r.lateUntil
	}
}

// repeatStarts orders the runs again whose workers were found without them since the last
// decision, where tasks may start.
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
	r.repeated = true
	r.repeats++
	r.earlierUntil, r.lateUntil = r.lateUntil, 0
	r.phase, r.absent, r.decidedAt, r.startedAt, r.incarnation = phaseDecided, false, now, now, w.reg.Incarnation
	s.startedAt = now
	p.startsLeft--
	p.actions = append(p.actions, Action{
		Kind: Start, Worker: w.reg.ID, Task: s.taskName(r.taskIndex), Number: r.number, Payload: s.occurrence.job.spec.Payload,
		Checkpoint: s.tasks[r.taskIndex].checkpoint, Queue: s.occurrence.job.spec.Queue, Reason: "an earlier order got no answer",
		Incarnation: w.reg.Incarnation, DecidedAt: now, Repeated: true,
	})
}

// holdRepeated holds a repeated run that has ended until the earlier order can't be executed any
// more.
func (r *run) holdRepeated() {
	r.phase, r.lateUntil, r.incarnation = phaseInherited, r.earlierUntil, r.worker.reg.Incarnation
	r.started, r.listed, r.absent, r.stopOrdered, r.crash = false, false, false, false, nil
	r.repeats = maxRepeats // the worker refuses a run that has ended there
}

// replayRepeated applies a start of the journal that repeats another one.
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
