package planner

import (
	"cmp"
	"slices"
	"time"
)

// soon is how long before its expected end a run counts as gone when a gang
// looks for workers to gather room on: a fraction of the usual slack of a gang.
const soon = 1500 * time.Millisecond

// spot is a number of a gang's tasks on one worker.
type spot struct {
	worker *worker
	tasks  int
}

// placeGang starts all tasks of a gang under one run number, or none. A gang that
// lacks room keeps later work off the workers that will be free for it soonest;
// this answers a full fleet, where small tasks would take each hole at once.
func (p *Planner) placeGang(s *step, c candidate, now time.Duration) {
	if s.todo < len(s.tasks) || !s.round.job.team.allows(s.spec.Size, int64(s.todo)) {
		return // members of an earlier run have not ended, or the limit is used
	}
	spots := p.gather(s, now)
	if spots == nil {
		p.seek(s, c, now)
		if c.rank != expiredRank {
			p.reserve(s, now)
		}
		return
	}
	number, checkpoint := 0, ""
	for i := range s.tasks {
		number = max(number, s.tasks[i].number)
		if s.tasks[i].checkpoint > checkpoint {
			checkpoint = s.tasks[i].checkpoint
		}
	}
	number = max(number, s.number) + 1
	index := 0
	for _, at := range spots {
		for range at.tasks {
			s.tasks[index].checkpoint = checkpoint
			p.start(s, index, number, at.worker, now)
			index++
		}
	}
}

// gather returns room for all tasks of a gang, nil when there is not enough. It
// fills the workers with the least room first, and keeps to one rack if the gang
// asks for that and one has room.
func (p *Planner) gather(s *step, now time.Duration) []spot {
	if s.spec.Size.CPU() > p.most {
		return nil
	}
	var spots []spot
	total := 0
	for w := range p.hosts(s, now) {
		if n := s.fill(w); n > 0 {
			spots = append(spots, spot{w, n})
			total += n
		}
	}
	if total < len(s.tasks) {
		return nil
	}
	slices.SortFunc(spots, func(a, b spot) int {
		return cmp.Or(cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.worker.report.ID, b.worker.report.ID))
	})
	if s.spec.OneRack {
		if in := oneRack(spots, len(s.tasks)); in != nil {
			spots = in
		}
	}
	// The largest holes first, so that the gang takes few workers.
	slices.Reverse(spots)
	return take(spots, len(s.tasks))
}

// take cuts the spots to n tasks.
func take(spots []spot, n int) []spot {
	for i := range spots {
		if spots[i].tasks >= n {
			spots[i].tasks = n
			return spots[:i+1]
		}
		n -= spots[i].tasks
	}
	return nil
}

// oneRack returns the spots of a rack that has room for n tasks, nil if none has.
func oneRack(spots []spot, n int) []spot {
	racks := map[string][]spot{}
	sums := map[string]int{}
	var found string
	for _, at := range spots {
		rack := at.worker.rack()
		racks[rack] = append(racks[rack], at)
		sums[rack] += at.tasks
		if sums[rack] >= n && (found == "" || rack < found) {
			found = rack
		}
	}
	return racks[found]
}

// rack returns the label that names the worker's rack.
func (w *worker) rack() string {
	if len(w.report.Labels) < 2 {
		return w.report.Centre
	}
	return w.report.Labels[1]
}

// fill returns how many tasks of the step fit on the worker now.
func (s *step) fill(w *worker) int {
	n := 0
	for free := w.free(); n < len(s.tasks) && s.spec.Size.Fits(free) && s.apart(w, n); n++ {
		free = free.Sub(s.spec.Size)
	}
	return n
}

// reserve marks the workers on which the gang's room will come free soonest.
func (p *Planner) reserve(s *step, now time.Duration) {
	var spots []spot
	for _, w := range p.workers {
		if !p.eligible(s, w, now) || s.round.job.queue.Advice != nil && !s.advice.good[w.report.ID] || w.reserve != nil {
			continue
		}
		free := w.free()
		for _, r := range w.runs {
			if p.remaining(r, now) < soon {
				free = free.Add(r.size)
			}
		}
		n := 0
		for ; n < s.todo && s.spec.Size.Fits(free) && s.apart(w, n); n++ {
			free = free.Sub(s.spec.Size)
		}
		if n > 0 {
			spots = append(spots, spot{w, n})
		}
	}
	slices.SortFunc(spots, func(a, b spot) int {
		return cmp.Or(-cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.worker.report.ID, b.worker.report.ID))
	})
	need := s.todo
	for _, at := range spots {
		if need <= 0 {
			return
		}
		at.worker.reserve = s
		need -= at.tasks
	}
}

// remaining returns the time that a run is expected to go on.
func (p *Planner) remaining(r *run, now time.Duration) time.Duration {
	expected := time.Duration(float64(r.step.spec.Estimate)*p.ratio(r.step.round.job.spec.Queue)) * time.Millisecond
	if r.began == 0 {
		return expected * time.Duration(100-min(r.progress, 100)) / 100
	}
	if r.progress >= tellingProgress {
		expected = (r.told - r.began) * 100 / time.Duration(r.progress)
	}
	return max(0, r.began+expected-now)
}

// tellingProgress is the percentage from which on the progress of a run tells more
// of its length than what was declared and learned.
const tellingProgress = 10
