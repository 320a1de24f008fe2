package planner

import (
	"cmp"
	"slices"
	"time"

	"filberthaven.example/placer"
)

const (
	// maxSeparateFraction is the fraction of the workers, one at least, that may be kept for
	// suspects at a time. maxEmptyFraction is the fraction of the empty workers that suspects
	// may use besides, since on an idle fleet nothing waits for these.
	maxSeparateFraction = 0.25
	maxEmptyFraction    = 0.5
)

// holdsBack reports whether the job's tasks that are no suspects wait: it has suspects, and
// none of them has been cleared. Tasks of a job have the same payload, so what one of them
// does to its worker others may do too.
func (j *job) holdsBack() bool { return j.suspects > 0 && !j.cleared }

// hasWaitingSuspect reports whether a suspect of the step waits for a worker.
func (s *step) hasWaitingSuspect() bool {
	if s.occurrence.job.suspects == 0 || s.occurrence.job.finalState != "" || !s.ready {
		return false
	}
	return slices.ContainsFunc(s.tasks, func(t task) bool { return t.crashes.suspect && !t.crashes.held && !t.done && len(t.runs) == 0 })
}

// hasSuspect reports whether a task of the step is a suspect.
func (s *step) hasSuspect() bool {
	return s.occurrence.job.suspects > 0 && slices.ContainsFunc(s.tasks, func(t task) bool { return t.crashes.suspect })
}

// maxSuspectWait is how long the suspects of a step wait behind those of higher rank.
const maxSuspectWait = 5 * time.Second

// suspectStep is a step with a suspect that waits for a worker.
type suspectStep struct {
	*step
	candidate candidate
}

// waitingSuspects returns the steps with waiting suspects in the order in which they are served:
// those that have waited for long, longest first, and then those of the candidates in their order. Few
// workers may be used for suspects, and the last in rank would get none while newer ones come.
func (p *Planner) waitingSuspects(candidates []candidate, now time.Duration) []suspectStep {
	var steps []suspectStep
	for _, c := range candidates {
		for _, s := range c.occurrence.steps {
			if s.hasWaitingSuspect() {
				steps = append(steps, suspectStep{s, c})
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b suspectStep) int {
		sinceA, sinceB := p.waitsSince(a.step), p.waitsSince(b.step)
		longA, longB := now-sinceA >= maxSuspectWait, now-sinceB >= maxSuspectWait
		if longA && longB {
			return cmp.Compare(sinceA, sinceB)
		}
		return compareBool(longB, longA)
	})
	return steps
}

// keepSeparate prepares a decision: workers that are kept for suspects stay reserved while
// suspects of their steps wait.
func (p *Planner) keepSeparate(now time.Duration) {
	p.separateWorkers = 0
	empty, usable := 0, 0
	for _, w := range p.fleet {
		if w.open || w.separateRuns > 0 && w.acceptsTasks(now) {
			usable++
		}
		if w.open && w.runsOnlyServices() {
			empty++
		}
		if w.keptFor != nil && (!w.open || !w.keptFor.hasWaitingSuspect()) {
			w.keptFor = nil
		}
		if w.keptFor != nil {
			p.reserveWorker(w, w.keptFor, now)
		}
		if w.keptFor != nil || w.separateRuns > 0 && w.closedAt == 0 {
			p.separateWorkers++
		}
	}
	p.maxKept = max(1, int(maxSeparateFraction*float64(usable)))
	p.maxSeparate = max(p.maxKept, p.separateWorkers+int(maxEmptyFraction*float64(empty)))
}

// placeSuspects starts waiting suspects of a step on workers of their own: of each job one
// after the other, until one has been cleared.
func (p *Planner) placeSuspects(s *step, c candidate, now time.Duration) {
	if s.spec.Gang {
		p.placeSuspectGang(s, c, now)
		return
	}
	j := s.occurrence.job
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.runs) > 0 || !t.crashes.suspect || t.crashes.held {
			continue
		}
		if j.separateRuns > 0 && !j.cleared || !j.team.allows(s.spec.Size, 1) {
			return
		}
		empty := p.emptyWorkers(s, now)
		if len(empty) == 0 {
			p.requestAdviceFor(s, c, func(w *worker) int { return p.roomForSuspect(s, w) }, now)
			p.keepWorker(s, now)
			return
		}
		w := slices.MinFunc(empty, func(a, b *worker) int { return cmp.Compare(t.crashes.countOn(a), t.crashes.countOn(b)) })
		p.start(s, i, t.lastRun+1, w, true, now)
	}
}

// placeSuspectGang starts a gang with suspects, or none of its members. The suspects get
// workers of their own, as far as the limit for these allows. Members that fit nowhere else
// start beside the suspects of their gang.
func (p *Planner) placeSuspectGang(s *step, c candidate, now time.Duration) {
	if slices.ContainsFunc(s.tasks, func(t task) bool { return t.crashes.held }) {
		return
	}
	if s.waitingTasks < len(s.tasks) || !s.occurrence.job.team.allows(s.spec.Size, int64(s.waitingTasks)) {
		return
	}
	var suspects, others []int
	for i := range s.tasks {
		if s.tasks[i].crashes.suspect {
			suspects = append(suspects, i)
		} else {
			others = append(others, i)
		}
	}
	var separate []placement
	room, taken := 0, map[*worker]int{}
	for _, w := range p.emptyWorkers(s, now) {
		if room >= len(suspects) || len(separate) >= p.maxSeparate {
			break
		}
		n := min(s.fitCount(w), len(suspects)-room)
		separate = append(separate, placement{w, n})
		taken[w] = n
		room += n
	}
	if room < len(suspects) && len(separate) < p.maxKept {
		p.requestAdvice(s, c, now)
		if p.keepWorker(s, now) {
			return
		}
	}
	others = append(others, suspects[room:]...)
	shared := p.findPlacements(s, c, len(others), func(w *worker) int {
		if taken[w] > 0 {
			return 0
		}
		return s.fitCount(w)
	}, now)
	if shared == nil {
		shared = p.findPlacements(s, c, len(others), func(w *worker) int { return s.fitCount(w) - taken[w] }, now)
	}
	if shared == nil && len(others) > 0 {
		p.requestAdvice(s, c, now)
		if c.rank != expiredRank {
			p.reserve(s, now)
		}
		return
	}
	number, checkpoint := s.nextGangRun()
	p.startMembers(s, suspects[:room], separate, number, checkpoint, true, now)
	p.startMembers(s, others, shared, number, checkpoint, false, now)
}

// runsOnlyServices reports whether the worker has no runs but of long-running tasks, which
// it would never be rid of.
func (w *worker) runsOnlyServices() bool {
	for _, r := range w.runs {
		if !r.step.spec.LongRunning {
			return false
		}
	}
	return true
}

// freeWithoutEnding returns the worker's free capacity if all runs had ended but those that last.
func (w *worker) freeWithoutEnding() placer.Resources {
	free := w.reg.Capacity
	for _, r := range w.runs {
		if r.lasts() {
			free = free.Sub(r.size)
		}
	}
	return free
}

// emptyWorkers returns the usable workers that run only services on which a task of the step
// fits: those that are kept for it first, then those with the fewest services, then those
// in its preferred rack, then the smallest.
func (p *Planner) emptyWorkers(s *step, now time.Duration) []*worker {
	var empty []*worker
	for w := range p.usableWorkers(s, now) {
		if p.roomForSuspect(s, w) > 0 {
			empty = append(empty, w)
		}
	}
	inRack := func(w *worker) bool { return s.spec.Rack != "" && w.hasLabel(s.spec.Rack) }
	slices.SortFunc(empty, func(a, b *worker) int {
		return cmp.Or(
			compareBool(b.keptFor == s, a.keptFor == s),
			cmp.Compare(len(a.runs), len(b.runs)),
			compareBool(inRack(b), inRack(a)),
			cmp.Compare(a.free().CPU(), b.free().CPU()),
			cmp.Compare(a.reg.ID, b.reg.ID),
		)
	})
	return empty
}

// roomForSuspect returns how many suspects of the step may start on a worker by itself: one, if
// it runs only services and the limit allows one more for suspects.
func (p *Planner) roomForSuspect(s *step, w *worker) int {
	if w.runsOnlyServices() && s.spec.Size.Fits(w.free()) && (w.keptFor == s || p.separateWorkers < p.maxSeparate) {
		return 1
	}
	return 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// keepWorker keeps one more worker for the waiting suspects of a step, unless one is being
// emptied for it: of those that have room for a task beside their services, the one whose other runs
// should end first. Nothing else starts on it. It reports
// whether the step may expect another empty worker: one is being emptied for it, or a
// worker that is kept for suspects or runs one will be free again.
func (p *Planner) keepWorker(s *step, now time.Duration) bool {
	changing := false
	for _, w := range p.fleet {
		beingEmptied := w.keptFor != nil && !w.runsOnlyServices()
		if beingEmptied && w.keptFor == s {
			return true
		}
		changing = changing || beingEmptied || w.separateRuns > 0
	}
	if p.separateWorkers >= p.maxKept {
		return changing
	}
	var best *worker
	var bestLeft time.Duration
	for w := range p.reservableWorkers(s) {
		if w.separateRuns > 0 || !s.spec.Size.Fits(w.freeWithoutEnding()) {
			continue
		}
		left := time.Duration(0)
		for _, r := range w.runs {
			if !r.lasts() {
				left = max(left, p.remainingTime(r, now))
			}
		}
		if best == nil || left < bestLeft || left == bestLeft && w.reg.ID < best.reg.ID {
			best, bestLeft = w, left
		}
	}
	if best == nil {
		return changing
	}
	best.keptFor = s
	p.reserveWorker(best, s, now)
	p.separateWorkers++
	return true
}
