package planner

import (
	"cmp"
	"slices"
	"time"

	"filberthaven.example/placer"
)

// loadInterval is the longest age of the load by which jobs are admitted.
const loadInterval = 100 * time.Millisecond

// load is what waits and runs in a fleet. Room is counted in workers: a task needs
// the part of a worker that it takes of whatever it takes most of, since a worker
// without memory left has no use of its processors. Work is room times milliseconds.
type load struct {
	known    bool
	at       time.Duration    // when it was reckoned
	worker   placer.Resources // the mean worker that takes work
	capacity float64          // number of workers that take work
	free     float64          // their room that nothing is charged for
	running  []release        // by time
	rest     float64          // work that is left of what runs
	waiting  []claim          // by latest; what was admitted since stands at the end
}

// release is room that comes free when a run is expected to end.
type release struct {
	after time.Duration
	room  float64 // in workers
}

// claim is work of a job that waits.
type claim struct {
	latest time.Duration // when the job has to start; urgent work always goes first
	room   float64       // that its waiting tasks need at once
	work   float64       // of those and of the steps that follow
}

// add counts a job that was just admitted.
func (l *load) add(c claim) { l.waiting = append(l.waiting, c) }

// wait returns when a job that has to start by latest is expected to find room:
// when as much has come free as the work ahead of it needs at once. Work that
// waits for more than one turn of what runs is spread over the whole fleet.
func (l *load) wait(latest time.Duration) time.Duration {
	var room, work float64
	for _, c := range l.waiting {
		if c.latest <= latest {
			room += c.room
			work += c.work
		}
	}
	if room <= l.free {
		return 0
	}
	lacking := room - l.free
	last := time.Duration(0)
	for _, r := range l.running {
		last = r.after
		if lacking -= r.room; lacking <= 0 {
			return last
		}
	}
	return max(last, time.Duration((work+l.rest)/l.capacity)*time.Millisecond)
}

// reckon sums up the load if it has become old.
func (p *Planner) reckon(now time.Duration) {
	if p.load.known && now-p.load.at < loadInterval {
		return
	}
	l := load{known: true, at: now}
	for _, w := range p.workers {
		// Workers that a new owner has not heard yet count too.
		if !w.listed || w.report.Draining || p.closed[w.report.Centre] {
			continue
		}
		l.capacity++
		l.worker = l.worker.Add(w.report.Capacity)
		l.free += roomLeft(w.free(), w.report.Capacity)
		for _, r := range w.runs {
			left := p.remaining(r, now)
			room := r.size.DominantShare(w.report.Capacity)
			l.running = append(l.running, release{left, room})
			l.rest += room * float64(left.Milliseconds())
		}
	}
	if n := int64(l.capacity); n > 0 {
		l.worker = placer.NewResources(l.worker.CPU()/n, l.worker.Memory()/n, l.worker.Accelerators()/n)
	}
	p.load = l
	for _, j := range p.live {
		if j.ended == "" && len(j.rounds) > 0 {
			if c := p.claim(j); c.room > 0 || c.work > 0 {
				l.waiting = append(l.waiting, c)
			}
		}
	}
	slices.SortFunc(l.running, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	p.load = l
}

// roomLeft returns the part of a worker that is free of all that it has.
func roomLeft(free, capacity placer.Resources) float64 {
	left := min(part(free.CPU(), capacity.CPU()), part(free.Memory(), capacity.Memory()))
	return max(0, left)
}

// part returns amount as a part of whole; of what isn't there nothing is a part.
func part(amount, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}

// claim returns what of a job waits for room, by the declared times and what the
// queue's runs have shown of them.
func (p *Planner) claim(j *job) claim {
	c := claim{latest: j.latest()}
	ratio := p.ratio(j.spec.Queue)
	for _, o := range j.rounds {
		for _, s := range o.steps {
			waiting := s.spec.Size.DominantShare(p.load.worker) * float64(s.todo)
			if s.ready {
				c.room += waiting
			}
			c.work += waiting * float64(s.spec.Estimate) * ratio
		}
	}
	return c
}
