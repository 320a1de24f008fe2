package planner

import (
	"slices"
	"time"
)

// A task of a speculative step that runs far longer than the others took may get a copy: a second
// run on another worker, under the next run number. The first end done completes the task and the
// other run is stopped. A failed end counts as that of any run, and the other run goes on.

const (
	// minRunTimes is how many tasks of a step have to be done before one is copied.
	minRunTimes = 3
	// copyAfter is the age of a run from which it is copied, as a multiple of the median run
	// time of its step. Stragglers take seven times as long by the users' figures.
	copyAfter = 2
	// copyShare is the largest part of the fleet's processors that copies use.
	copyShare = 0.05
	// copyInterval is the time between two looks for tasks to copy.
	copyInterval = 100 * time.Millisecond
	// maxCopyWaiting is the most waiting steps beside which tasks are copied.
	maxCopyWaiting = 64
)

// WithCopies sets whether tasks of speculative steps that take far longer than the others get a
// second run.
func WithCopies(enabled bool) Option { return func(s *settings) { s.copies = enabled } }

// storedCopied is the run that another one is a copy of.
type storedCopied struct {
	Begin     Begin `cbor:"1,keyasint"`
	Settled   bool  `cbor:"2,keyasint,omitempty"`
	StartedAt int64 `cbor:"3,keyasint,omitempty"` // Unix ms at which it was ordered
}

// storeCopied returns the run of the task with that number, nil if there is none.
func (t *task) storeCopied(number int, now time.Duration, wall int64) *storedCopied {
	for _, r := range t.runs {
		if r.number == number {
			return &storedCopied{
				Begin:   Begin{Number: number, Worker: r.worker.reg.ID, Incarnation: r.incarnation, Separate: r.separate, Ticket: r.ticket, Repeated: r.repeated, CopyOf: r.copyOf},
				Settled: r.settled, StartedAt: wall - (now - r.startedAt).Milliseconds(),
			}
		}
	}
	return nil
}

// abandonCopies stops the runs of a done task of a snapshot.
func (p *Planner) abandonCopies(t *task) {
	if !p.settings.copies {
		return
	}
	for _, r := range t.runs {
		p.abandon(r)
	}
}

// observeSpeculative notes how long a run of a speculative step took.
func (p *Planner) observeSpeculative(r *run, result string, now time.Duration) {
	if !p.settings.copies || !r.step.spec.Speculative || result != Done || r.decidedAt == 0 || r.resumed || r.silent {
		return
	}
	took := now - r.startedAt
	i, _ := slices.BinarySearch(r.step.runTimes, took)
	r.step.runTimes = slices.Insert(r.step.runTimes, i, took)
}

// startCopies starts copies where no waiting step needs the room.
func (p *Planner) startCopies(candidates []candidate, now time.Duration) {
	if !p.settings.copies || now < p.nextCopies || p.startsLeft <= 0 {
		return
	}
	p.nextCopies = now + copyInterval
	waiting := waitingSteps(candidates)
	if len(waiting) > maxCopyWaiting {
		return
	}
	p.copyBudget = p.freeCopyCPU()
	for _, j := range p.live {
		if j.finalState != "" || j.suspects > 0 {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.mayHaveCopies() && p.rank(o, now).rank != expiredRank {
					p.copyTasks(s, waiting, now)
				}
			}
		}
	}
}

// waitingSteps returns the steps with waiting tasks.
func waitingSteps(candidates []candidate) []*step {
	var waiting []*step
	for _, c := range candidates {
		for _, s := range c.occurrence.steps {
			if s.ready && s.waitingTasks > 0 {
				waiting = append(waiting, s)
			}
		}
	}
	return waiting
}

// freeCopyCPU returns the thousandths of a processor that further copies may use.
func (p *Planner) freeCopyCPU() int64 {
	var fleet, used int64
	for _, w := range p.fleet {
		if w.open {
			fleet += w.reg.Capacity.CPU()
		}
		for _, r := range w.runs {
			if r.copyOf != 0 {
				used += r.size.CPU()
			}
		}
	}
	return int64(copyShare*float64(fleet)) - used
}

// mayHaveCopies reports whether tasks of the step may be copied once they run for too long.
func (s *step) mayHaveCopies() bool {
	return s.spec.Speculative && !s.spec.Gang && !s.spec.LongRunning && s.ready && s.waitingTasks == 0 &&
		len(s.runTimes) >= minRunTimes && s.doneTasks < len(s.tasks)
}

// copyTasks starts copies of the tasks of a step that run for too long, or requests advice for
// that if nothing else lacks any.
func (p *Planner) copyTasks(s *step, waiting []*step, now time.Duration) {
	j := s.occurrence.job
	for i := range s.tasks {
		t := &s.tasks[i]
		if !s.isStraggling(t, now) {
			continue
		}
		// Both runs may fail, and no task has more failed runs than attempts.
		if attempts := j.queue.Attempts; attempts > 0 && len(t.failedRuns)+2 > attempts {
			continue
		}
		if p.startsLeft <= 0 || p.copyBudget < s.spec.Size.CPU() || !j.team.allows(s.spec.Size, 1) {
			return
		}
		copied := t.runs[0]
		room := func(w *worker) int {
			if w != copied.worker && s.fitsCopy(w, p.decisions) && !isNeeded(w, waiting) {
				return 1
			}
			return 0
		}
		w := p.copyWorker(s, room, now)
		if w == nil {
			p.requestCopyAdvice(s, room, now)
			return
		}
		p.startCopy(s, i, copied, w, now)
	}
}

// startCopy starts a copy of a run.
func (p *Planner) startCopy(s *step, index int, copied *run, w *worker, now time.Duration) {
	t := &s.tasks[index]
	p.copyBudget -= s.spec.Size.CPU()
	p.start(s, index, t.lastRun+1, w, false, now)
	t.runs[len(t.runs)-1].copyOf = copied.number
	a := &p.actions[len(p.actions)-1]
	a.CopyOf, a.Reason = copied.number, "copy of a run that takes long"
}

// isStraggling reports whether the task runs far longer than others of the step took, and is
// expected to go on for longer than they did. Its only run is known to have started.
func (s *step) isStraggling(t *task, now time.Duration) bool {
	if t.done || len(t.runs) != 1 || t.crashes.suspect || t.crashes.count() > 0 {
		return false
	}
	r := t.runs[0]
	if r.phase != phaseRunning || !r.started || r.obsolete || r.stopOrdered || r.crash != nil || r.separate || r.startedAt == 0 {
		return false
	}
	age, usual := now-r.startedAt, s.runTimes[len(s.runTimes)/2]
	if age <= copyAfter*usual {
		return false
	}
	if r.progress < minUsefulProgress {
		return true // what has run for twice as long as usual is expected to go on for as long again
	}
	left := (r.progressAt-r.startedAt)*time.Duration(100-min(100, r.progress))/time.Duration(r.progress) - (now - r.progressAt)
	return left > usual
}

// fitsCopy reports whether a copy of a task of the step fits on the worker, and nothing waits for
// room there that is being made.
func (s *step) fitsCopy(w *worker, decision uint64) bool {
	return w.reservedFor == nil && w.keptFor == nil && w.madeRoomIn != decision && s.spec.Size.Fits(w.free()) && s.belowMaxPerWorker(w, 0)
}

// isNeeded reports whether a waiting step could use the room of a worker: the worker has room for
// one of its tasks, and is known to be allowed or about to be.
func isNeeded(w *worker, waiting []*step) bool {
	return slices.ContainsFunc(waiting, func(s *step) bool {
		if !s.mayUse(w) || !s.spec.Size.Fits(w.free()) || !s.occurrence.job.team.allows(s.spec.Size, 1) {
			return false
		}
		return s.occurrence.job.queue.AdviceCost == nil || s.advice.known[w] != nil || s.advice.queried[w]
	})
}

// copyWorker returns the worker with room for a copy that has the least CPU left, nil if there is none.
func (p *Planner) copyWorker(s *step, room func(*worker) int, now time.Duration) *worker {
	var best *worker
	for w := range p.usableWorkers(s, now) {
		if room(w) == 0 {
			continue
		}
		if best == nil || w.free().CPU() < best.free().CPU() || w.free().CPU() == best.free().CPU() && w.reg.ID < best.reg.ID {
			best = w
		}
	}
	return best
}

// requestCopyAdvice requests advice for a copy unless another step has requested any in this
// decision.
func (p *Planner) requestCopyAdvice(s *step, room func(*worker) int, now time.Duration) {
	if s.occurrence.job.queue.AdviceCost == nil || s.advice.requests > 0 || now < p.noAdviceBefore[false] || p.adviceBudget[false] < maxAdviceRequests {
		return
	}
	a, found := p.newRequest(s, false, room, now)
	if !found {
		return
	}
	p.adviceBudget[false]--
	p.overdueCredit += a.Cost / overdueRatio
	p.actions = append(p.actions, a)
}

// awaitsCopy reports whether the end done of a task has to wait, since the order of a copy may
// still be executed. Taken note of before, a run could begin after its task was done. No order
// is executed after maxOrderDelay, so no end waits longer.
func (p *Planner) awaitsCopy(e End, now time.Duration) bool {
	s, index := p.stepOf(e.Task)
	return s != nil && e.Result == Done && slices.ContainsFunc(s.tasks[index].runs, func(r *run) bool {
		return r.copyOf != 0 && r.number != e.Number && r.mayYetBegin(p.restoredAt, now)
	})
}

// mayYetBegin reports whether the order of the run may still be executed. The owner took over at
// restoredAt.
func (r *run) mayYetBegin(restoredAt, now time.Duration) bool {
	switch {
	case r.started || r.settled:
		return false
	case r.phase == phaseDecided:
		return r.ordered && now < r.startedAt+maxOrderDelay
	case r.phase == phaseInherited:
		return now < restoredAt+maxOrderDelay
	case r.phase == phaseStopAnswered:
		return now < r.lateUntil
	default:
		return now < r.startedAt+maxOrderDelay
	}
}

// noteEnded notes that runs whose ends are not applied yet have begun, and that they teach no run times. Otherwise the ends of two
// workers could wait for each other.
func (w *worker) noteEnded(ends []EndEntry) {
	for _, e := range ends {
		if r := w.runs[runKey{e.Task, e.Number}]; r != nil {
			r.started, r.silent = true, true
		}
	}
}

// AppliedSerial returns the serial of the newest end of the worker that was applied. The ends that
// it lists after that one wait.
func (p *Planner) AppliedSerial(id string) uint64 {
	if w := p.workers[id]; w != nil {
		return w.lastSerial
	}
	return 0
}
