package placer

import (
	"fmt"
	"time"
)

// Explanation says, in a sentence and in numbers, whether and why a job waits.
type Explanation struct {
	job        string
	reason     string
	pending    int       // tasks in the queue
	delayed    int       // tasks in back-off
	running    int       // tasks on workers, whether they have begun there or not
	candidates int       // workers on which the next task fits now
	workers    int       // workers that take tasks
	reserved   int       // tasks with a reservation
	share      float64   // dominant share that the team uses
	fairShare  float64   // dominant share due to the team
	quota      int64     // of the team, in thousandths of a processor; negative for no limit
	used       Resources // allocated to tasks of the team
}

// Job returns the job's identifier.
func (e Explanation) Job() string { return e.job }

// Reason returns the reason as a sentence.
func (e Explanation) Reason() string { return e.reason }

// Pending returns how many tasks wait in the queue.
func (e Explanation) Pending() int { return e.pending }

// Delayed returns how many tasks are in back-off.
func (e Explanation) Delayed() int { return e.delayed }

// Running returns how many tasks are on workers, whether they have begun there or not.
func (e Explanation) Running() int { return e.running }

// Candidates returns on how many workers the next task fits now.
func (e Explanation) Candidates() int { return e.candidates }

// Workers returns how many workers take tasks.
func (e Explanation) Workers() int { return e.workers }

// Reserved returns how many tasks have a reservation.
func (e Explanation) Reserved() int { return e.reserved }

// Share returns the dominant share that the team uses.
func (e Explanation) Share() float64 { return e.share }

// FairShare returns the dominant share due to the team.
func (e Explanation) FairShare() float64 { return e.fairShare }

// Quota returns the quota of the team in thousandths of a processor, negative for no limit.
func (e Explanation) Quota() int64 { return e.quota }

// Used returns the resources allocated to tasks of the team.
func (e Explanation) Used() Resources { return e.used }

// Explain explains why a job waits. If the job is unknown, the reason says so and the numbers
// are 0.
func (p *Placer) Explain(id string, now time.Time) Explanation {
	j := p.jobs[id]
	if j == nil {
		return Explanation{job: id, reason: "The job isn't known here: it is over or was never accepted."}
	}
	t := j.team
	e := Explanation{
		job: id, pending: int(j.pending), delayed: int(j.delayed), running: int(j.active), reserved: len(j.reservations),
		share: t.share, fairShare: t.fairShare, quota: t.quota, used: t.used,
	}
	for _, n := range p.nodes {
		if !n.open() {
			continue
		}
		e.workers++
		if rackAllowed(j.spec, n) && p.fits(j, n) {
			e.candidates++
		}
	}
	e.reason = p.reason(j, e, nanos(now))
	return e
}

// reason returns the sentence for the explanation, whose numbers are set already.
func (p *Placer) reason(j *job, e Explanation, now int64) string {
	t := j.team
	size := j.spec.size
	switch {
	case j.cancelled:
		return fmt.Sprintf("The job is cancelled; %d tasks are still stopping.", e.running)
	case e.pending == 0 && e.delayed == 0:
		return fmt.Sprintf("Nothing waits: %d tasks are on workers.", e.running)
	case j.paused:
		return fmt.Sprintf("%d tasks are kept from starting until all workers have been read back.", e.pending+e.delayed)
	case !p.startsAllowed:
		return "Starts are off: the data centre is drained."
	case e.pending == 0:
		return fmt.Sprintf("%d tasks failed and wait for their next try.", e.delayed)
	case p.feasibleWithinQuota(j.spec) != nil:
		return fmt.Sprintf("The job can't run any more: %v.", p.feasibleWithinQuota(j.spec))
	case j.spec.gang && e.reserved > 0:
		return fmt.Sprintf("The gang has set room aside for %d of %d tasks and waits until all of it is free.", e.reserved, e.pending)
	case j.spec.gang && !t.allows(size.cpu*int64(j.pending)), !t.allows(size.cpu):
		return fmt.Sprintf("The team uses %dm of its limit of %dm processors; a start needs %dm more.", t.used.cpu+t.reserved.cpu, t.quota, size.cpu)
	case t.blockingGang != nil && t.blockingGang != j && j.spec.class > Service:
		return fmt.Sprintf("A gang of the same team, %s, waits for the limit and goes first.", t.blockingGang.spec.id)
	case e.reserved > 0:
		return "Other tasks were asked to make room for it."
	case e.candidates == 0:
		return fmt.Sprintf("None of %d workers has room for %v.", e.workers, size)
	case !p.withinLimits(j):
		return fmt.Sprintf("The free room is the reserve of %.0f%% for urgent work.", 100*p.settings.urgentHeadroom)
	case j.lane == lateLane:
		return fmt.Sprintf("It is late by %v and goes after work that can be in time.", time.Duration(now-nanos(j.spec.deadline)).Round(time.Second))
	}
	return fmt.Sprintf("%d workers have room; it starts with the next decisions.", e.candidates)
}

// JobCounts returns how many tasks of a job are in the queue, in back-off and on workers.
// It reports false when the job is unknown.
func (p *Placer) JobCounts(id string) (pending, delayed, running int, ok bool) {
	j := p.jobs[id]
	if j == nil {
		return 0, 0, 0, false
	}
	return int(j.pending), int(j.delayed), int(j.active), true
}

// IdleWorkers returns the identifiers of the workers that take tasks but have no task and
// no reservation, in order of arrival. The fleet can do without them now.
func (p *Placer) IdleWorkers(_ time.Time) []string {
	var ids []string
	for _, n := range p.nodes {
		if len(n.tasks) == 0 && len(n.reservations) == 0 && n.open() {
			ids = append(ids, n.worker.id)
		}
	}
	return ids
}

// InfeasibleJobs returns an explanation for each job with waiting tasks that can no longer
// run because workers were removed or a quota was lowered.
func (p *Placer) InfeasibleJobs(now time.Time) []Explanation {
	var infeasible []Explanation
	for _, t := range p.teams {
		for _, j := range t.jobs {
			if j.pending+j.delayed > 0 && p.feasibleWithinQuota(j.spec) != nil {
				infeasible = append(infeasible, p.Explain(j.spec.id, now))
			}
		}
	}
	return infeasible
}
