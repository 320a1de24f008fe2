package planner

import (
	"math"
	"time"
)

// Refusal is a job that was turned away at once; nothing of it runs.
type Refusal struct {
	Reason string
	After  time.Duration // when the caller may come back
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

// load is what is waiting and running in a fleet, reckoned at most every
// loadInterval.
type load struct {
	at       time.Duration
	capacity float64            // thousandths of processors of open workers
	backlog  []float64          // core-ms that are not done, by priority, up to maxPriority
	teams    map[string]float64 // core-ms that are not done, by team
	weights  float64            // of teams with such work
}

const (
	loadInterval = 100 * time.Millisecond
	maxPriority  = 8 // queues of lower precedence count as this one
	// hopeless is the multiple of a job's slack at which every team is refused,
	// not just those above their share.
	hopeless = 2.0
	// leastReturn and mostReturn bound the time after which a refused caller
	// comes back.
	leastReturn = time.Second
	mostReturn  = 30 * time.Second
)

// admit returns why a job is refused, nil when it is admitted. It answers an
// overload: what could not be done in time is refused at once, first from teams
// that have more waiting than their share, with the time in which the backlog
// ahead of it will be worked off.
func (p *Planner) admit(j *job, now time.Duration) *Refusal {
	if p.load.teams == nil || now-p.load.at >= loadInterval {
		p.reckon(now)
	}
	l := &p.load
	if l.capacity <= 0 {
		return nil // nothing is known of the workers yet
	}
	ahead := 0.0
	for priority := 0; priority <= min(j.queue.Priority, maxPriority); priority++ {
		ahead += l.backlog[priority]
	}
	wait := time.Duration(ahead/l.capacity) * time.Millisecond
	slack := j.objective() - j.span
	work := j.work()
	if wait > slack {
		fair := 1.0
		if j.team != nil && l.weights > 0 {
			fair = j.team.spec.Weight / l.weights
		}
		over := l.teams[j.spec.Team]+work > fair*ahead
		if over || float64(wait) > hopeless*float64(slack) {
			return &Refusal{"the work ahead can't be done in time", returnAfter(wait - slack)}
		}
	}
	l.backlog[min(j.queue.Priority, maxPriority)] += work
	l.teams[j.spec.Team] += work
	return nil
}

// returnAfter rounds a wait to whole seconds within the bounds.
func returnAfter(wait time.Duration) time.Duration {
	seconds := time.Duration(math.Ceil(wait.Seconds())) * time.Second
	return min(max(seconds, leastReturn), mostReturn)
}

// reckon sums up the backlog.
func (p *Planner) reckon(now time.Duration) {
	l := load{at: now, backlog: make([]float64, maxPriority+1), teams: map[string]float64{}}
	for _, w := range p.workers {
		// Workers that a new owner has not heard yet count too.
		if w.listed && !w.report.Draining && !p.closed[w.report.Centre] {
			l.capacity += float64(w.report.Capacity.CPU())
		}
	}
	for _, j := range p.live {
		if j.ended != "" || len(j.rounds) == 0 {
			continue
		}
		work := j.work()
		l.backlog[min(j.queue.Priority, maxPriority)] += work
		l.teams[j.spec.Team] += work
	}
	for name := range l.teams {
		if t := p.teams[name]; t != nil {
			l.weights += t.spec.Weight
		}
	}
	p.load = l
}

// work returns the core-ms, in thousandths of a processor, that are not done.
func (j *job) work() float64 {
	sum := 0.0
	for _, o := range j.rounds {
		for _, s := range o.steps {
			sum += float64(s.spec.CPU) * float64(s.spec.Estimate) * float64(len(s.tasks)-s.done)
		}
	}
	return sum
}
