package planner

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"filberthaven.example/placer"
)

// releaseHorizon is the remaining time below which the capacity of a run counts as free
// when a step reserves workers. It is a fraction of the usual slack of a gang.
const releaseHorizon = 1500 * time.Millisecond

const (
	// maxReservation is how long a worker stays reserved for steps that don't fit on it. The runs
	// that should have ended by then last longer than expected, for a time that nobody knows.
	maxReservation = releaseHorizon + time.Second
	// A worker that has been reserved for that long is not reserved for the first of these times,
	// and each further time for twice as long, up to the second one.
	minReservationPause = maxReservation
	maxReservationPause = 16 * minReservationPause
)

// placement is a number of a step's tasks on one worker.
type placement struct {
	worker *worker
	tasks  int
}

// placeGang starts all tasks of a gang under one run number, or none. If the gang
// doesn't fit, it requests advice and, unless the occurrence has expired, reserves
// workers. On a full fleet, small tasks would otherwise take each gap at once.
func (p *Planner) placeGang(s *step, c candidate, now time.Duration) {
	if s.waitingTasks < len(s.tasks) || !s.occurrence.job.team.allows(s.spec.Size, int64(s.waitingTasks)) {
		return // members of an earlier run have not ended, or the gang is over the team's limit
	}
	placements := p.findPlacements(s, c, len(s.tasks), s.fitCount, now)
	if placements == nil {
		p.awaitRoom(s, c, now)
		return
	}
	s.lacksRoom = false
	number, checkpoint := s.nextGangRun()
	members := make([]int, len(s.tasks))
	for i := range members {
		members[i] = i
	}
	p.startMembers(s, members, placements, number, checkpoint, false, now)
}

// nextGangRun returns the number of the next run of a gang, and the checkpoint from which
// it resumes.
func (s *step) nextGangRun() (number int, checkpoint string) {
	number = s.lastRun
	for i := range s.tasks {
		number = max(number, s.tasks[i].lastRun)
		checkpoint = max(checkpoint, s.tasks[i].checkpoint)
	}
	return number + 1, checkpoint
}

// startMembers starts members of a gang, which are indexes of tasks, in the order of the
// placements.
func (p *Planner) startMembers(s *step, members []int, placements []placement, number int, checkpoint string, separate bool, now time.Duration) {
	for _, pl := range placements {
		for _, index := range members[:pl.tasks] {
			s.tasks[index].checkpoint = checkpoint
			p.start(s, index, number, pl.worker, separate, now)
		}
		members = members[pl.tasks:]
	}
}

// findPlacements returns placements for that many tasks of a gang on usable workers, of
// which each takes as many as room returns, nil if they don't all fit. If the gang prefers
// one rack, it uses one that takes all of them, if any does. Of the workers left, it uses those
// whose speed it prefers.
func (p *Planner) findPlacements(s *step, c candidate, tasks int, room func(*worker) int, now time.Duration) []placement {
	if tasks == 0 || s.spec.Size.CPU() > p.maxFreeCPU {
		return nil
	}
	var placements []placement
	total := 0
	for w := range p.usableWorkers(s, now) {
		if n := room(w); n > 0 {
			placements = append(placements, placement{w, n})
			total += n
		}
	}
	if total < tasks {
		return nil
	}
	slices.SortFunc(placements, func(a, b placement) int {
		return cmp.Or(cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.worker.reg.ID, b.worker.reg.ID))
	})
	if s.spec.OneRack {
		if sameRack := oneRack(placements, tasks); sameRack != nil {
			placements = sameRack
		}
	}
	placements = p.preferenceOf(s, c).preferred(placements, tasks)
	// The largest first, so that the gang takes few workers.
	slices.Reverse(placements)
	return trimPlacements(placements, tasks)
}

// trimPlacements returns the first of the placements, cut down to n tasks in all. It
// returns nil if they have fewer.
func trimPlacements(placements []placement, n int) []placement {
	for i := range placements {
		if placements[i].tasks >= n {
			placements[i].tasks = n
			return placements[:i+1]
		}
		n -= placements[i].tasks
	}
	return nil
}

// oneRack returns the placements in a rack that takes n tasks, nil if no rack does.
func oneRack(placements []placement, n int) []placement {
	racks := map[string][]placement{}
	sums := map[string]int{}
	var found string
	for _, pl := range placements {
		rack := pl.worker.rack()
		racks[rack] = append(racks[rack], pl)
		sums[rack] += pl.tasks
		if sums[rack] >= n && (found == "" || rack < found) {
			found = rack
		}
	}
	return racks[found]
}

// rack returns the label that names the worker's rack, or its data centre if it has
// no such label.
func (w *worker) rack() string {
	if len(w.reg.Labels) < 2 {
		return w.reg.Centre
	}
	return w.reg.Labels[1]
}

// fitCount returns how many tasks of the step fit in the worker's free capacity.
func (s *step) fitCount(w *worker) int {
	n := 0
	for free := w.free(); n < len(s.tasks) && s.spec.Size.Fits(free) && s.belowMaxPerWorker(w, n); n++ {
		free = free.Sub(s.spec.Size)
	}
	return n
}

// reserve reserves workers for the waiting tasks of a gang or long-running step for the
// rest of the decision. It prefers workers on which most tasks fit, counting runs that
// should end within releaseHorizon as ended.
func (p *Planner) reserve(s *step, now time.Duration) {
	var placements []placement
	for w := range p.reservableWorkers(s) {
		if p.pausesReservations(w, s, now) {
			continue
		}
		free := p.freeSoon(w, now)
		n := 0
		for ; n < s.waitingTasks && s.spec.Size.Fits(free) && s.belowMaxPerWorker(w, n); n++ {
			free = free.Sub(s.spec.Size)
		}
		if n > 0 {
			placements = append(placements, placement{w, n})
		}
	}
	slices.SortFunc(placements, func(a, b placement) int {
		return cmp.Or(-cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.worker.reg.ID, b.worker.reg.ID))
	})
	need := s.waitingTasks
	for _, pl := range placements {
		if need <= 0 {
			return
		}
		p.reserveWorker(pl.worker, s, now)
		need -= pl.tasks
	}
}

// pausesReservations reports whether the worker is not reserved for the step for now, since
// successive decisions have reserved it in vain for as long as they may.
func (p *Planner) pausesReservations(w *worker, s *step, now time.Duration) bool {
	if w.reservedIn != 0 && w.reservedIn+1 == p.decisions && now-w.reservedSince >= maxReservation && !s.spec.Size.Fits(w.free()) {
		w.reservationPause = min(max(minReservationPause, 2*w.reservationPause), maxReservationPause)
		w.notReservedBefore = now + w.reservationPause
	}
	return now < w.notReservedBefore
}

// soonFree is a worker's free capacity if the runs that should end within
// releaseHorizon had ended. Long-running ones go on.
type soonFree struct {
	decision uint64 // in which it was computed
	runs     int    // number of the worker's runs at that time
	free     placer.Resources
}

// freeSoon returns the worker's soonFree.free. It computes it once in a decision, and
// anew after the decision has started runs on the worker.
func (p *Planner) freeSoon(w *worker, now time.Duration) placer.Resources {
	if w.soonFree.decision == p.decisions && w.soonFree.runs == len(w.runs) {
		return w.soonFree.free
	}
	free := w.free()
	for _, r := range w.runs {
		if !r.lasts() && p.remainingTime(r, now) < releaseHorizon {
			free = free.Add(r.size)
		}
	}
	w.soonFree = soonFree{p.decisions, len(w.runs), free}
	return free
}

// reservableWorkers iterates over the workers that may be reserved for the step, with or
// without a ticket.
func (p *Planner) reservableWorkers(s *step) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		if s.occurrence.job.queue.AdviceCost == nil {
			for _, w := range p.fleet {
				if w.reservedFor == nil && s.mayUse(w) && !yield(w) {
					return
				}
			}
			return
		}
		for _, e := range s.advice.eligible {
			if e.worker.reservedFor == nil && s.mayUse(e.worker) && !yield(e.worker) {
				return
			}
		}
	}
}

// lasts reports whether the run goes on until its job is cancelled: it is of a long-running task
// and was not told to stop. No remaining time is known of it.
func (r *run) lasts() bool { return r.step.spec.LongRunning && !r.stopOrdered }

// remainingTime returns how long a run is expected to go on, 0 if that is not known or it has gone
// on for longer than expected.
func (p *Planner) remainingTime(r *run, now time.Duration) time.Duration {
	if p.learns(r.step) {
		return p.learnedRemainingTime(r, now)
	}
	expected := time.Duration(float64(r.step.spec.Estimate)*r.step.occurrence.job.stats.runTimeRatio()) * time.Millisecond
	if r.decidedAt == 0 {
		return expected * time.Duration(100-min(r.progress, 100)) / 100
	}
	if r.progress >= minUsefulProgress {
		expected = (r.progressAt - r.decidedAt) * 100 / time.Duration(r.progress)
	}
	return max(0, r.decidedAt+expected-now)
}

// minUsefulProgress is the least progress, in percent, that predicts a run's length
// better than the declared and learned run times do.
const minUsefulProgress = 10
