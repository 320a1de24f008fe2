package planner

import (
	"cmp"
	"slices"
	"time"

	"filberthaven.example/placer"
)

// maxLoadAge is the age above which the load is computed anew when a job is submitted.
const maxLoadAge = 100 * time.Millisecond

// load describes what waits and runs in the fleet. Capacity is counted in workers: a
// task counts as the largest fraction that it takes of any of a worker's resources,
// since a worker without free memory has no use for its processors. Work is capacity
// times milliseconds.
type load struct {
	computed   bool
	computedAt time.Duration
	meanWorker placer.Resources  // mean capacity of the workers that take work
	capacity   float64           // number of workers that take work
	free       float64           // their free capacity, in workers
	releases   []expectedRelease // by the ends of runs and the answers of silent workers, soonest first
	waiting    []demand          // of all jobs, including those admitted since computedAt
}

// expectedRelease is capacity that becomes free when a run is expected to end, or a silent
// worker to answer again.
type expectedRelease struct {
	after    time.Duration // from load.computedAt to then
	capacity float64       // in workers
}

// demand is what the waiting tasks of a job need.
type demand struct {
	latestStart time.Duration // as job.latestStart returns it
	capacity    float64       // for the waiting tasks of ready steps to run at once, in workers
	work        float64       // of all waiting tasks, including those of steps not ready
	starts      int           // waiting tasks of ready steps
	urgent      bool          // the job is of a queue of priority 0
}

// add counts a job that was just admitted.
func (l *load) add(d demand) { l.waiting = append(l.waiting, d) }

// wait estimates how long a job waits for capacity if it has to start by latestStart. It
// is the time until the ends of runs have freed the capacity that all the demand ahead of
// the job needs at once or, if that is sooner, until the capacity that they free has done
// the work ahead. The first alone overestimates the wait when few long runs hold the last
// of the capacity.
func (l *load) wait(latestStart time.Duration) time.Duration {
	var capacity, work float64
	for _, d := range l.waiting {
		if d.latestStart <= latestStart {
			capacity += d.capacity
			work += d.work
		}
	}
	if capacity <= l.free {
		return 0
	}
	available, at := l.free, time.Duration(0)
	for _, r := range l.releases {
		done := available * float64((r.after - at).Milliseconds())
		if done >= work {
			break
		}
		work -= done
		available, at = available+r.capacity, r.after
		if available >= capacity {
			return at
		}
	}
	if available <= 0 {
		available = l.capacity // all that runs is on workers that take no work any more
	}
	return at + time.Duration(work/available)*time.Millisecond
}

// refreshLoad computes the load unless it is younger than maxLoadAge.
func (p *Planner) refreshLoad(now time.Duration) {
	if p.load.computed && now-p.load.computedAt < maxLoadAge {
		return
	}
	l := load{computed: true, computedAt: now}
	for _, w := range p.fleet {
		// Workers that have not answered a new owner yet count too, but none that has never
		// answered any.
		if !w.listed || !p.persisted[w.reg.ID] || w.reg.Draining || p.cordoned[w.reg.Centre] {
			continue
		}
		l.capacity++
		l.meanWorker = l.meanWorker.Add(w.reg.Capacity)
		free, silence := freeFraction(w.free(), w.reg.Capacity), w.expectedSilence(now)
		if silence > 0 {
			l.releases = append(l.releases, expectedRelease{silence, free})
		} else {
			l.free += free
		}
		for _, r := range w.runs {
			left := max(p.remainingTime(r, now), silence)
			capacity := r.size.DominantShare(w.reg.Capacity)
			l.releases = append(l.releases, expectedRelease{left, capacity})
		}
	}
	if n := int64(l.capacity); n > 0 {
		l.meanWorker = placer.NewResources(l.meanWorker.CPU()/n, l.meanWorker.Memory()/n, l.meanWorker.Accelerators()/n)
	}
	p.load = l
	for _, j := range p.live {
		if j.finalState == "" && len(j.occurrences) > 0 {
			if d := p.demandOf(j); d.capacity > 0 || d.work > 0 {
				l.waiting = append(l.waiting, d)
			}
		}
	}
	slices.SortFunc(l.releases, func(a, b expectedRelease) int { return cmp.Compare(a.after, b.after) })
	p.load = l
}

// freeFraction returns the free fraction of a worker's processors or memory,
// whichever is less.
func freeFraction(free, capacity placer.Resources) float64 {
	left := min(fraction(free.CPU(), capacity.CPU()), fraction(free.Memory(), capacity.Memory()))
	return max(0, left)
}

// fraction returns amount divided by whole, and 0 if whole is not positive.
func fraction(amount, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}

// demandOf returns the demand of a job's waiting tasks, by their expected run times.
func (p *Planner) demandOf(j *job) demand {
	d := demand{latestStart: j.latestStart(), urgent: j.queue.Priority == 0}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			waiting := s.spec.Size.DominantShare(p.load.meanWorker) * float64(s.waitingTasks)
			if s.ready {
				d.capacity += waiting
				d.starts += s.waitingTasks
			}
			if s.waitingTasks > 0 {
				d.work += waiting * p.expected(s)
			}
		}
	}
	return d
}
