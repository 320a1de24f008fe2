package placer

import (
	"fmt"
	"time"
)

// Explanation says why a job waits or doesn't, in a sentence and in numbers.
type Explanation struct {
	job        string
	sentence   string
	pending    int       // tasks that wait for room
	delayed    int       // tasks that wait for a time
	running    int       // tasks on workers
	candidates int       // workers with room for a task now
	workers    int       // workers that take tasks
	held       int       // tasks with room set aside
	share      float64   // dominant share of the team
	ideal      float64   // dominant share due to the team
	allotment  int64     // thousandths of a processor; negative for none
	used       Resources // by the team
}

// Job returns the job's identifier.
func (e Explanation) Job() string { return e.job }

// Reason returns the reason.
func (e Explanation) Reason() string { return e.sentence }

// Pending returns how many tasks wait for room.
func (e Explanation) Pending() int { return e.pending }

// Delayed returns how many tasks wait for a time after a failure.
func (e Explanation) Delayed() int { return e.delayed }

// Running returns how many tasks are on workers.
func (e Explanation) Running() int { return e.running }

// Candidates returns how many workers have room for a task now.
func (e Explanation) Candidates() int { return e.candidates }

// Workers returns how many workers take tasks.
func (e Explanation) Workers() int { return e.workers }

// Reserved returns how many tasks have room set aside.
func (e Explanation) Reserved() int { return e.held }

// Share returns the dominant share that the team uses.
func (e Explanation) Share() float64 { return e.share }

// FairShare returns the dominant share due to the team.
func (e Explanation) FairShare() float64 { return e.ideal }

// Quota returns the team's limit in thousandths of a processor, negative
// for none.
func (e Explanation) Quota() int64 { return e.allotment }

// Used returns what the team's tasks hold.
func (e Explanation) Used() Resources { return e.used }

// Explain tells why a job waits. For an unknown job the sentence says so.
func (p *Placer) Explain(id string, now time.Time) Explanation {
	j := p.jobs[id]
	if j == nil {
		return Explanation{job: id, sentence: "The job isn't known here: it is over or was never accepted."}
	}
	t := j.team
	e := Explanation{
		job: id, pending: int(j.pending), delayed: int(j.delayed), running: int(j.active), held: len(j.holds),
		share: t.share, ideal: t.ideal, allotment: t.allotment, used: t.used,
	}
	for _, n := range p.nodes {
		if !n.open() {
			continue
		}
		e.workers++
		if allowed(j.spec, n) && p.fits(j, n) {
			e.candidates++
		}
	}
	e.sentence = p.sentence(j, e, nanos(now))
	return e
}

func (p *Placer) sentence(j *job, e Explanation, now int64) string {
	t := j.team
	size := j.spec.size
	switch {
	case j.cancelled:
		return fmt.Sprintf("The job is cancelled; %d tasks are still stopping.", e.running)
	case e.pending == 0 && e.delayed == 0:
		return fmt.Sprintf("Nothing waits: %d tasks run.", e.running)
	case j.paused:
		return fmt.Sprintf("%d tasks are kept from starting until all workers have been read back.", e.pending+e.delayed)
	case !p.starts:
		return "Starts are off: the data centre is drained."
	case e.pending == 0:
		return fmt.Sprintf("%d tasks failed and wait for their next try.", e.delayed)
	case p.feasibleNow(j.spec) != nil:
		return fmt.Sprintf("The job can't run any more: %v.", p.feasibleNow(j.spec))
	case j.spec.gang && e.held > 0:
		return fmt.Sprintf("The gang has set room aside for %d of %d tasks and waits until all of it is free.", e.held, e.pending)
	case j.spec.gang && !t.allows(size.cpu*int64(j.pending)), !t.allows(size.cpu):
		return fmt.Sprintf("The team uses %dm of its limit of %dm processors; a start needs %dm more.", t.used.cpu+t.held.cpu, t.allotment, size.cpu)
	case t.gang != nil && t.gang != j && j.spec.class > Service:
		return fmt.Sprintf("A gang of the same team, %s, waits for the limit and goes first.", t.gang.spec.id)
	case e.held > 0:
		return "Other tasks were asked to make room for it."
	case e.candidates == 0:
		return fmt.Sprintf("None of %d workers has room for %v.", e.workers, size)
	case !p.permits(j):
		return fmt.Sprintf("The free room is the reserve of %.0f%% for urgent work.", 100*p.settings.reserve)
	case j.lane == lateLane:
		return fmt.Sprintf("It is late by %v and goes after work that can be in time.", time.Duration(now-nanos(j.spec.deadline)).Round(time.Second))
	}
	return fmt.Sprintf("%d workers have room; it starts with the next decisions.", e.candidates)
}

// JobCounts tells the counts of a job: pending, delayed and running tasks. It reports
// false when the job is unknown.
func (p *Placer) JobCounts(id string) (pending, delayed, running int, ok bool) {
	j := p.jobs[id]
	if j == nil {
		return 0, 0, 0, false
	}
	return int(j.pending), int(j.delayed), int(j.active), true
}

// IdleWorkers returns the workers that run nothing, hold nothing and take tasks: they
// are ready to hand back. They are in the order of arrival.
func (p *Placer) IdleWorkers(_ time.Time) []string {
	var ids []string
	for _, n := range p.nodes {
		if len(n.tasks) == 0 && len(n.holds) == 0 && n.open() {
			ids = append(ids, n.worker.id)
		}
	}
	return ids
}

// InfeasibleJobs returns an explanation for each job that was feasible once and can't run
// any more, since workers went or a limit was lowered.
func (p *Placer) InfeasibleJobs(now time.Time) []Explanation {
	var stuck []Explanation
	for _, t := range p.teams {
		for _, j := range t.jobs {
			if j.pending+j.delayed > 0 && p.feasibleNow(j.spec) != nil {
				stuck = append(stuck, p.Explain(j.spec.id, now))
			}
		}
	}
	return stuck
}
