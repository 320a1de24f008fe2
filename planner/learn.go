package planner

import "time"

// queueStats is what was learned from a queue's runs and advice. The run times are
// exponentially weighted moving sums over runs that are done, each weighted by its
// processors. Their ratio is what a backlog needs. A mean of ratios would overrate it
// twice, because runs that are declared too short have large ratios and little
// weight.
type queueStats struct {
	actual, declared float64
	eligible         float64 // moving mean of the fraction of queried workers that may run a step; 0 before the first
}

// defaultEligible is the assumed fraction of workers that may run a step before any
// advice was received. It lies between the users' 0.3 and 0.7.
const defaultEligible = 0.5

// statsOf returns the statistics of a queue and adds them if it is new.
func (p *Planner) statsOf(queue string) *queueStats {
	s := p.stats[queue]
	if s == nil {
		s = &queueStats{}
		p.stats[queue] = s
	}
	return s
}

// learnEligible adds the fraction of the workers of one request that may run a step.
func (p *Planner) learnEligible(queue string, fraction float64) {
	s := p.statsOf(queue)
	if s.eligible == 0 {
		s.eligible = fraction
	}
	s.eligible += learnRate * (fraction - s.eligible)
}

// eligibleFraction returns the estimated fraction of the workers that may run a step
// of the queue.
func (p *Planner) eligibleFraction(queue string) float64 {
	if s := p.stats[queue]; s != nil && s.eligible > 0 {
		return s.eligible
	}
	return defaultEligible
}

// learnRate is the weight of the newest value in a moving sum or mean.
const learnRate = 0.02

// learnRunTime adds the run time of a run. It counts only runs that are done, have a
// declared run time and were started by this owner.
func (p *Planner) learnRunTime(r *run, how string, now time.Duration) {
	if how != Done || r.step.spec.Estimate == 0 || r.orderedAt == 0 {
		return
	}
	queue := r.step.occurrence.job.spec.Queue
	s := p.statsOf(queue)
	weight := float64(r.step.spec.CPU)
	if s.declared == 0 {
		s.declared = weight * float64(r.step.spec.Estimate)
		s.actual = s.declared
	}
	s.actual += learnRate * (weight*float64((now-r.orderedAt).Milliseconds()) - s.actual)
	s.declared += learnRate * (weight*float64(r.step.spec.Estimate) - s.declared)
}

// runTimeRatio returns the learned run time of the queue's tasks as a multiple of the
// declared one.
func (p *Planner) runTimeRatio(queue string) float64 {
	if s := p.stats[queue]; s != nil && s.declared > 0 {
		return s.actual / s.declared
	}
	return 1
}
