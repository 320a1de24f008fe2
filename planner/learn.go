package planner

import "time"

// queueStats is what was learned from a queue's runs and advice. The work of a run is
// its time times its processors. The ratio of actualWork to declaredWork corrects the
// declared work of a backlog. A mean of the ratios of single runs would be twice this
// ratio, because runs declared too short have large ratios but little declared work.
type queueStats struct {
	actualWork, declaredWork float64 // exponential moving means over the runs that are done
	runs                     uint64  // from which this owner has learned a run time
	eligibleFraction         float64 // moving mean, over advice requests, of the fraction of workers that may run the step; 0 before the first
}

// defaultEligible is the assumed fraction of workers that may run a step before any
// advice was received. It lies between 0.3 and 0.7, as the users gave.
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

// learnEligible updates the queue's eligible fraction with that of one advice request.
func (p *Planner) learnEligible(queue string, fraction float64) {
	s := p.statsOf(queue)
	if s.eligibleFraction == 0 {
		s.eligibleFraction = fraction
	}
	s.eligibleFraction += learnRate * (fraction - s.eligibleFraction)
}

// eligibleFraction returns the estimated fraction of the workers that may run a step
// of the queue.
func (p *Planner) eligibleFraction(queue string) float64 {
	if s := p.stats[queue]; s != nil && s.eligibleFraction > 0 {
		return s.eligibleFraction
	}
	return defaultEligible
}

// learnRate is the weight of the newest value in a moving mean.
const learnRate = 0.02

// learnRunTime learns from a run that has ended. It ignores runs that are not done, have
// no declared run time or were started by an earlier owner.
func (p *Planner) learnRunTime(r *run, result string, now time.Duration) {
	if result != Done || r.step.spec.Estimate == 0 || r.decidedAt == 0 {
		return
	}
	queue := r.step.occurrence.job.spec.Queue
	s := p.statsOf(queue)
	weight := float64(r.step.spec.CPU)
	if s.declaredWork == 0 {
		s.declaredWork = weight * float64(r.step.spec.Estimate)
		s.actualWork = s.declaredWork
	}
	s.actualWork += learnRate * (weight*float64((now-r.decidedAt).Milliseconds()) - s.actualWork)
	s.declaredWork += learnRate * (weight*float64(r.step.spec.Estimate) - s.declaredWork)
}

// runTimeRatio returns the learned run time of the queue's tasks as a multiple of the
// declared one.
func (s *queueStats) runTimeRatio() float64 {
	if s != nil && s.declaredWork > 0 {
		return s.actualWork / s.declaredWork
	}
	return 1
}
