package planner

import "time"

// WorkerStatus is a worker's answer to a heartbeat.
type WorkerStatus struct {
	Worker      string
	Incarnation int64
	SentAt      time.Duration // when the heartbeat was sent
	Running     []RunningEntry
	Ended       []EndEntry
	MoreEnds    bool // the worker may have ended more runs, with higher serials, than it lists
}

// RunningEntry is a run that a worker lists as running.
type RunningEntry struct {
	Task       string
	Number     int
	Checkpoint string // newest checkpoint
	Progress   int    // percent
}

// EndEntry is a run that a worker lists as ended. Its serial is higher than those of
// all earlier ends of the worker's incarnation.
type EndEntry struct {
	Serial uint64
	End
}

// HandleStatus applies a worker's answer to a heartbeat. It returns the ends of runs
// that are new. The worker may forget these, which are those up to AppliedSerial, once the journal
// holds them.
func (p *Planner) HandleStatus(status WorkerStatus, now time.Duration) []End {
	w := p.workers[status.Worker]
	if w == nil {
		return nil
	}
	if !p.observeAnswer(w, status.Incarnation, status.SentAt, now) {
		return nil
	}
	w.markSilentRuns()
	w.unansweredCalls, w.heartbeatTried, w.restarted = 0, true, w.restarted && w.doubted != 0
	w.earlierOwnersFenced = true
	w.endsUnread = status.MoreEnds
	w.observeAnswer(status.SentAt)
	w.lossNoted = false
	p.resolveCrashes(w, status.Incarnation, now)
	var ends []End
	for i, e := range status.Ended {
		if e.Serial <= w.lastSerial {
			continue
		}
		if p.awaitsCopy(e.End, now) {
			w.noteEnded(status.Ended[i:])
			w.endsUnread = true
			break
		}
		w.lastSerial = e.Serial
		p.applyEnd(w, e.End, now)
		ends = append(ends, e.End)
	}
	present := map[runKey]bool{}
	for _, e := range status.Running {
		present[runKey{e.Task, e.Number}] = true
		p.applyRunning(w, e, status.SentAt, status.Incarnation != 0, now)
	}
	if w.endsUnread {
		return ends // a run that is not listed may have ended
	}
	var lost, inherited []*run
	for key, r := range w.runs {
		if present[key] || r.confirmedAt >= status.SentAt || r.phase == phaseDecided || r.phase == phaseUnanswered {
			continue
		}
		if r.phase == phaseInherited && r.crash == nil && r.incarnation != 0 && r.incarnation != w.reg.Incarnation {
			inherited = append(inherited, r)
		}
		if r.mayComeLate(status.SentAt) {
			r.absent = true
			p.abandonGang(r)
			if r.mayRepeat() {
				p.repeatable = append(p.repeatable, r)
			}
			continue
		}
		// Either the run was confirmed before the heartbeat and the worker no longer has
		// it, or it is inherited and the order never arrived. The worker now refuses that
		// order, since it has the fence of this owner.
		lost = append(lost, r)
	}
	p.markCrash(w, inherited, signReplied, now)
	p.loseRuns(lost, Lost, now)
	return ends
}

// applyEnd applies the end of a run that the worker lists.
func (p *Planner) applyEnd(w *worker, e End, now time.Duration) {
	if r := w.runs[runKey{e.Task, e.Number}]; r != nil {
		p.observeEnd(r.step, e)
		switch e.Result {
		case Done:
			r.step.observeSuccess(w)
		case RunFailed:
			r.observeFailure(now)
		}
		r.crash = nil
		p.observeSurvival(r, e.Result == Done || e.Result == RunFailed, now)
		p.endRun(r, e.Result, e.Checkpoint, now)
		return
	}
	// The run is not allocated on this worker: an earlier owner started it, or its
	// lease has expired. Its end still counts, unless the task has another run by now;
	// then only success and failure do.
	s, index := p.stepOf(e.Task)
	if s == nil || s.tasks[index].done {
		return
	}
	p.observeEnd(s, e)
	if e.Result == RunFailed {
		p.countFailure(s, index, e.Number, now)
		return
	}
	if len(s.tasks[index].runs) > 0 && e.Result != Done {
		return
	}
	if e.Checkpoint != "" {
		s.tasks[index].checkpoint = e.Checkpoint
	}
	if e.Result == Done {
		p.completeTask(s, index, e.Number, now)
	}
}

// applyRunning applies a run that the worker lists as running, in a list that names its
// incarnation or not and answers a call sent at sentAt. This confirms the start of a run allocated on the worker. Any other
// run is allocated now and stopped.
func (p *Planner) applyRunning(w *worker, e RunningEntry, sentAt time.Duration, named bool, now time.Duration) {
	if r := w.runs[runKey{e.Task, e.Number}]; r != nil {
		r.observeProgress(e.Progress, now)
		r.crash, r.started, r.listed = nil, true, named
		if now >= r.earlierUntil {
			r.earlierUntil = 0
		}
		p.settle(r)
		r.observeRun(sentAt)
		p.observeSurvival(r, false, now)
		if e.Checkpoint != "" {
			r.checkpoint = e.Checkpoint
			if !r.obsolete {
				r.step.tasks[r.taskIndex].checkpoint = e.Checkpoint
			}
		}
		if r.phase == phaseDecided || r.phase == phaseInherited {
			r.phase, r.confirmedAt = phaseRunning, now
			p.stopIfObsolete(r)
		}
		r.observeSoundness(sentAt)
		p.observeRunning(r.step, e)
		return
	}
	s, index := p.stepOf(e.Task)
	if s == nil {
		p.stopUnknownRun(w, e)
		return
	}
	r := &run{step: s, taskIndex: index, number: e.Number, worker: w, size: s.spec.Size, phase: phaseRunning, listed: named, decidedAt: now, confirmedAt: now, progress: e.Progress, checkpoint: e.Checkpoint}
	p.allocate(r)
	t := &s.tasks[index]
	if len(t.runs) == 0 && !t.done {
		s.waitingTasks--
	}
	// Starts are in the journal before they are ordered, so this run was allocated
	// before. It has been released since, and its task may have another run.
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, e.Number)
	s.lastRun = max(s.lastRun, e.Number)
	p.observeRunning(s, e)
	p.abandon(r)
}

// stopUnknownRun stops a run whose job or occurrence has ended or is not known. The size
// of the run is not known either, so the whole worker is allocated to it until it has
// ended.
func (p *Planner) stopUnknownRun(w *worker, e RunningEntry) {
	r := p.newOrphan(e.Task, e.Number, w, w.reg.Capacity)
	r.phase, r.listed = phaseRunning, true
	p.allocate(r)
	p.stop(r)
}

// markSilentRuns notes that the ends which an answer lists after unanswered calls may have come at any
// time since the calls.
func (w *worker) markSilentRuns() {
	if w.unansweredCalls == 0 {
		return
	}
	for _, r := range w.runs {
		r.silent = true
	}
}
