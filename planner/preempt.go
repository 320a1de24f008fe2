package planner

import (
	"cmp"
	"slices"
	"time"

	"filberthaven.example/placer"
)

// An urgent step that fits on no worker, and would be late, has deferred runs stopped that take
// checkpoints. Their tasks wait again and resume. Such a run is not obsolete: until its end is
// known it is the run of its task, and if it ends done before the stop has an effect, its task is done.

const (
	// maxPreemptedRun is the highest number of a run that may be stopped. The run numbers of a task
	// only grow, under each owner, so no task is stopped more often than that.
	maxPreemptedRun = 2
	// maxPreemptions is the most runs that are stopped in a decision.
	maxPreemptions = 8
	// maxStopsPerTask is the most runs that are stopped for one task.
	maxStopsPerTask = 3
	// preemptedShare of the workers, and minPreempted at least, is the most runs that are stopped
	// and not known to have ended.
	preemptedShare = 0.05
	minPreempted   = 4
	// maxPreemptionVisits is the most workers that are searched for runs to stop in a decision.
	maxPreemptionVisits = 1024
	// defaultStopTime is the assumed time of a stop before any was seen. Users give up to 0.4 s
	// and up to 0.9 s.
	defaultStopTime = 500 * time.Millisecond
	// maxStopTime is the longest time learned of one stop. A longer one is that of a worker
	// that did not answer.
	maxStopTime = 2 * time.Second
	// stopTimeRate is the weight of the newest stop in the mean.
	stopTimeRate = 0.1
	// stopTimeValidity is how long the mean is used after the last stop. A mean above the slack
	// of all urgent work would otherwise prevent the stops that correct it.
	stopTimeValidity = 30 * time.Second
	// preemptionMargin is the part of the slack that is left for the start after a stop.
	preemptionMargin = 50 * time.Millisecond
)

// WithPreemption sets whether urgent steps that fit on no worker stop runs of other queues.
func WithPreemption(enabled bool) Option { return func(s *settings) { s.preempt = enabled } }

// preemption is the state of the stops in flight. The next owner starts without it.
type preemption struct {
	rooms      []madeRoom    // in the order of their decisions
	stopsLeft  int           // runs that the current decision may stop
	visitsLeft int           // workers that the current decision may search
	stopTime   time.Duration // moving mean from the decision of a stop to its end; 0 before the first
	observedAt time.Duration // when the last stop ended
}

// madeRoom is room that is being made on a worker for one task of a step.
type madeRoom struct {
	step   *step
	worker *worker
	runs   []*run // that were stopped and may not have ended
}

// beginPreemption forgets the stopped runs that have ended, at the beginning of a decision.
func (p *Planner) beginPreemption() {
	if !p.settings.preempt {
		return
	}
	q := &p.preemption
	inFlight := 0
	q.rooms = slices.DeleteFunc(q.rooms, func(room madeRoom) bool { return !slices.ContainsFunc(room.runs, (*run).isHeld) })
	for _, room := range q.rooms {
		room.worker.madeRoomIn = p.decisions
		for _, r := range room.runs {
			if r.isHeld() {
				inFlight++
			}
		}
	}
	limit := max(minPreempted, int(preemptedShare*float64(len(p.fleet))))
	q.stopsLeft, q.visitsLeft = min(maxPreemptions, limit-inFlight), maxPreemptionVisits
}

// isHeld reports whether the run still has its capacity.
func (r *run) isHeld() bool { return r.worker.runs[r.key()] == r }

// typicalStop returns how long it takes until a run has ended whose stop is decided now.
func (p *Planner) typicalStop(now time.Duration) time.Duration {
	if q := &p.preemption; q.stopTime != 0 && now-q.observedAt < stopTimeValidity {
		return q.stopTime
	}
	return defaultStopTime
}

// observeStop learns from the end of a run that was stopped for an urgent step.
func (p *Planner) observeStop(r *run, result string, now time.Duration) {
	if r.preemptedAt == 0 || result != Stopped {
		return
	}
	mean, took := p.typicalStop(now), min(now-r.preemptedAt, maxStopTime)
	p.preemption.stopTime = mean + time.Duration(stopTimeRate*float64(took-mean))
	p.preemption.observedAt = now
}

// preempt stops runs for the waiting tasks of a step that fit on no worker now. It keeps the
// workers on which room is being made for the step from other work for the rest of the decision.
func (p *Planner) preempt(s *step, c candidate, now time.Duration) {
	if !p.settings.preempt || c.rank != urgentRank || s.spec.Gang || s.spec.LongRunning || s.hasSuspect() {
		return
	}
	q := &p.preemption
	made := 0
	for _, room := range q.rooms {
		if room.step == s {
			made++
			p.keepRoomFor(room.worker, s, now)
		}
	}
	if c.slack < p.typicalStop(now)+preemptionMargin {
		return
	}
	for ; made < s.waitingTasks && q.stopsLeft > 0 && q.visitsLeft > 0; made++ {
		if !s.occurrence.job.team.allows(s.spec.Size, int64(made)+1) {
			return
		}
		best, soon := p.findVictims(s, c.slack, now)
		switch {
		case soon:
		case best.worker == nil:
			return
		default:
			p.makeRoom(s, best, now)
		}
	}
}

// makeRoom stops the victims on a worker for one task of a step.
func (p *Planner) makeRoom(s *step, v victims, now time.Duration) {
	q := &p.preemption
	for _, r := range v.runs {
		r.preemptedAt = now
		p.stop(r)
		a := &p.actions[len(p.actions)-1]
		a.Preempting, a.Reason = true, "room for the urgent step "+s.name
	}
	q.stopsLeft -= len(v.runs)
	q.rooms = append(q.rooms, madeRoom{s, v.worker, v.runs})
	v.worker.madeRoomIn = p.decisions
	p.keepRoomFor(v.worker, s, now)
}

// victims are runs whose stop lets one more task start on their worker.
type victims struct {
	worker *worker // nil if there are none
	runs   []*run
	cpu    int64         // thousandths of a processor that they use
	left   time.Duration // for which the one that would end first goes on
}

// isBetter reports whether fewer processors lose the time of a stop and a resumption than with
// other or, if as many do, whether the runs would go on for longer.
func (v victims) isBetter(other victims) bool {
	return other.worker == nil || cmp.Or(cmp.Compare(v.cpu, other.cpu), -cmp.Compare(v.left, other.left), cmp.Compare(v.worker.reg.ID, other.worker.reg.ID)) < 0
}

// findVictims returns the best runs to stop for one task of the step. It returns soon instead
// if a worker should have room for the task within the slack, and claims that room.
func (p *Planner) findVictims(s *step, slack, now time.Duration) (best victims, soon bool) {
	q := &p.preemption
	stopped := now + p.typicalStop(now)
	for w := range p.usableWorkers(s, now) {
		if q.visitsLeft--; q.visitsLeft < 0 {
			break
		}
		if w.madeRoomIn == p.decisions || !s.spec.Size.Fits(w.reg.Capacity) || !s.belowMaxPerWorker(w, 0) {
			continue
		}
		if e := s.advice.known[w]; s.occurrence.job.queue.AdviceCost != nil && !e.hasTicket(p.arrival(stopped)) {
			continue
		}
		free := w.free()
		if w.claimedIn == p.decisions {
			free = free.Sub(w.claimed)
		}
		v, ends := p.victimsOn(w, s, free, slack, now)
		if s.spec.Size.Fits(free.Add(ends)) {
			w.claim(s.spec.Size, p.decisions)
			return victims{}, true
		}
		if v.worker != nil && v.isBetter(best) && len(v.runs) <= q.stopsLeft {
			best = v
		}
	}
	return best, false
}

// claim counts on room of a worker for a task, for the rest of the decision.
func (w *worker) claim(size placer.Resources, decision uint64) {
	if w.claimedIn != decision {
		w.claimedIn, w.claimed = decision, placer.Resources{}
	}
	w.claimed = w.claimed.Add(size)
}

// victimsOn returns the runs to stop on a worker, in addition to what is free there, for one
// task of the step. It also returns the sizes of the runs that should end within the slack.
func (p *Planner) victimsOn(w *worker, s *step, free placer.Resources, slack, now time.Duration) (v victims, ends placer.Resources) {
	type candidate struct {
		run  *run
		left time.Duration
	}
	var candidates []candidate
	for _, r := range w.runs {
		left := p.remainingTime(r, now)
		switch {
		case r.stopOrdered:
		case left > 0 && left <= slack: // 0 is of one that has gone on for longer than expected; nobody knows for how much longer
			ends = ends.Add(r.size)
		case p.isPreemptible(r):
			candidates = append(candidates, candidate{r, left})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(a.left, b.left), cmp.Compare(a.run.key().task, b.run.key().task))
	})
	var chosen []candidate
	for _, c := range candidates {
		if s.spec.Size.Fits(free) {
			break
		}
		chosen, free = append(chosen, c), free.Add(c.run.size)
	}
	if !s.spec.Size.Fits(free) {
		return victims{}, ends
	}
	for _, c := range chosen {
		if rest := free.Sub(c.run.size); s.spec.Size.Fits(rest) {
			free = rest // larger ones that were chosen after it suffice
			continue
		}
		v.runs, v.cpu, v.left = append(v.runs, c.run), v.cpu+c.run.size.CPU(), c.left
	}
	if len(v.runs) == 0 || len(v.runs) > maxStopsPerTask {
		return victims{}, ends
	}
	v.worker = w
	return v, ends
}

// isPreemptible reports whether the run may be stopped for an urgent step: this owner has started
// it, its worker lists it, and its task can resume.
func (p *Planner) isPreemptible(r *run) bool {
	s := r.step
	if r.phase != phaseRunning || !r.listed || r.decidedAt == 0 || r.startedAt == 0 || r.number > maxPreemptedRun {
		return false
	}
	if r.obsolete || r.stopOrdered || r.separate || r.crash != nil || r.repeated {
		return false
	}
	j := s.occurrence.job
	return len(s.tasks[r.taskIndex].runs) == 1 && s.spec.Checkpoint && !s.spec.Gang && !s.spec.LongRunning && !s.unknown && j.finalState == "" && j.queue.Priority > 0 &&
		!s.tasks[r.taskIndex].done && !s.tasks[r.taskIndex].crashes.suspect
}

// keepRoomFor keeps a worker on which room is being made from other than urgent work for the rest
// of the decision. The reservation of a gang gives way, since the gang and its backfill would take
// the room.
func (p *Planner) keepRoomFor(w *worker, s *step, now time.Duration) {
	if w.reservedFor == nil || w.share.tasks > 0 {
		w.share = gangShare{}
		p.reserveWorker(w, s, now)
	}
}
