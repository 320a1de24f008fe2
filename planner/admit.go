package planner

import (
	"math"
	"time"
)

// RefusalError reports a job that is refused because of the load. None of its tasks run.
type RefusalError struct {
	Reason     string
	RetryAfter time.Duration // when the caller may submit the job again
	Wait       time.Duration // estimated time until the job could start
	Slack      time.Duration // how long the job can wait and still meet its objective
}

// Error returns the reason.
func (r *RefusalError) Error() string { return r.Reason }

const (
	// overRateSlackFactor is the fraction of a job's slack that its estimated wait
	// may take up if its team is over its rate. Above that the job is refused.
	overRateSlackFactor = 0.25
	// refuseAllSlackFactor is the multiple of a job's slack that its estimated wait
	// may reach. Above that the job is refused whatever its team, since it would be
	// late even if a third of the work ahead of it were cancelled.
	refuseAllSlackFactor = 1.5
	// rateBurst is how many seconds' worth of its rate a team may submit at once.
	rateBurst = 2.0
	// minRetryAfter and maxRetryAfter bound RefusalError.RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// admit adds a job to the load and returns nil, or returns why the job is refused. This
// prevents an overload by one team or by all together. The estimated wait of the job
// counts only the waiting work that has to start no later than the job. A job of a team
// over its rate is refused if the wait exceeds overRateSlackFactor times the job's
// slack; RetryAfter is then the whole wait. Any job is refused if the wait exceeds
// refuseAllSlackFactor times its slack; RetryAfter is then the excess over the slack. While
// starts wait for the owner, any job is refused if the starts ahead of it take longer than its
// slack, since it would then be late even if the workers were idle.
func (p *Planner) admit(j *job, now time.Duration) *RefusalError {
	p.refreshLoad(now)
	overRate := j.team.takeToken(now)
	if p.load.capacity <= 0 {
		return nil // no worker is known yet
	}
	wait, orderWait := p.load.wait(j.latestStart()), p.orderWait(j)
	slack := j.objective() - j.criticalPath
	switch longest := max(wait, orderWait); {
	case overRate && float64(longest) > overRateSlackFactor*float64(slack):
		return &RefusalError{"the team sends more than its rate while work waits", retryAfter(longest), longest, slack}
	case j.isLongRunning() || j.spec.Occurrences > 0:
		// Repeating jobs start later and long-running ones never end, so the present
		// wait does not make them late.
	case orderWait > slack:
		return &RefusalError{"the starts ahead can't be ordered in time", retryAfter(orderWait - slack), orderWait, slack}
	case float64(wait) > refuseAllSlackFactor*float64(slack):
		return &RefusalError{"the work ahead can't be done in time", retryAfter(wait - slack), wait, slack}
	}
	p.load.add(p.demandOf(j))
	return nil
}

// latestStart returns when the job, or its oldest unfinished occurrence, has to start
// to meet its objective. It is 0 for urgent and long-running jobs, which go before all
// others.
func (j *job) latestStart() time.Duration {
	if j.queue.Priority == 0 || j.isLongRunning() {
		return 0
	}
	due := j.acceptedAt
	if len(j.occurrences) > 0 {
		due = j.occurrences[0].due
	}
	return due + j.objective() - j.criticalPath
}

// takeToken takes a token for a job from the team's token bucket, which it refills
// first. It reports whether the team is over its rate: no token was left.
func (t *team) takeToken(now time.Duration) bool {
	if t == nil || t.spec.Weight <= 0 {
		return false
	}
	if t.tokens == 0 && t.refilledAt == 0 {
		t.tokens = rateBurst * t.spec.Weight
	}
	t.tokens = min(t.tokens+(now-t.refilledAt).Seconds()*t.spec.Weight, rateBurst*t.spec.Weight)
	t.refilledAt = now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// retryAfter rounds a wait up to whole seconds, between minRetryAfter and
// maxRetryAfter.
func retryAfter(wait time.Duration) time.Duration {
	seconds := time.Duration(math.Ceil(wait.Seconds())) * time.Second
	return min(max(seconds, minRetryAfter), maxRetryAfter)
}
