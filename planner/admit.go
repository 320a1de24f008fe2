package planner

import (
	"math"
	"time"
)

// RefusalError is a job that was turned away at once; nothing of it runs.
type RefusalError struct {
	Reason     string
	RetryAfter time.Duration // when the caller may come back
	Wait       time.Duration // reckoned until the job could start
	Slack      time.Duration // that the job has
}

// Error returns the reason.
func (r *RefusalError) Error() string { return r.Reason }

const (
	// busy is the part of a job's slack that the backlog ahead may take before
	// teams beyond their rate are refused.
	busy = 0.25
	// hopeless is the multiple of a job's slack at which every team is refused: its
	// job would be late even if a third of the work ahead were cancelled.
	hopeless = 1.5
	// rateBurst is how many seconds of its rate a team may send at once.
	rateBurst = 2.0
	// leastReturn and mostReturn bound the time after which a refused caller
	// comes back.
	leastReturn = time.Second
	mostReturn  = 30 * time.Second
)

// admit returns why a job is refused, nil when it is admitted. It answers an
// overload by one team or by all. The work ahead is that which is served first by
// its slack, not all that waits. A team that sends more than its rate is refused
// as soon as work waits; what can't be done in time is refused from everybody,
// with the time in which the work ahead will be done.
func (p *Planner) admit(j *job, now time.Duration) *RefusalError {
	p.reckon(now)
	over := j.team.spend(now)
	if p.load.capacity <= 0 {
		return nil // nothing is known of the workers yet
	}
	wait := p.load.wait(j.latest())
	slack := j.objective() - j.span
	switch {
	case over && float64(wait) > busy*float64(slack):
		return &RefusalError{"the team sends more than its rate while work waits", returnAfter(wait), wait, slack}
	case j.lasts() || j.spec.Repeats > 0:
		// Their time is yet to come, or has no end.
	case float64(wait) > hopeless*float64(slack):
		return &RefusalError{"the work ahead can't be done in time", returnAfter(wait - slack), wait, slack}
	}
	p.load.add(p.claim(j))
	return nil
}

// latest returns when the job has to start to meet its objective; urgent jobs go
// before all others.
func (j *job) latest() time.Duration {
	if j.queue.Priority == 0 || j.lasts() {
		return 0
	}
	due := j.arrived
	if len(j.rounds) > 0 {
		due = j.rounds[0].due
	}
	return due + j.objective() - j.span
}

// spend takes one job off the team's rate, and reports whether the team is over
// it.
func (t *team) spend(now time.Duration) bool {
	if t == nil || t.spec.Weight <= 0 {
		return false
	}
	if t.credit == 0 && t.spent == 0 {
		t.credit = rateBurst * t.spec.Weight
	}
	t.credit = min(t.credit+(now-t.spent).Seconds()*t.spec.Weight, rateBurst*t.spec.Weight)
	t.spent = now
	if t.credit < 1 {
		return true
	}
	t.credit--
	return false
}

// returnAfter rounds a wait to whole seconds within the bounds.
func returnAfter(wait time.Duration) time.Duration {
	seconds := time.Duration(math.Ceil(wait.Seconds())) * time.Second
	return min(max(seconds, leastReturn), mostReturn)
}
