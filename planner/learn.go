package planner

import "time"

// share is what has been learned of a queue's runs: moving sums over those that
// were done, each weighted by its processors. The ratio of sums is what a backlog
// needs; a mean of ratios overrates it twice, since what is declared too short has
// the large ratios and little weight.
type share struct {
	actual, declared float64
	good             float64 // moving mean of the part of the workers asked about that may run a step; 0 before the first
}

// usualGood is the part of the workers that may run a step before anything was
// learned: between the users' 0.3 and 0.7.
const usualGood = 0.5

// share returns what has been learned of a queue, to be changed.
func (p *Planner) share(queue string) *share {
	s := p.shares[queue]
	if s == nil {
		s = &share{}
		p.shares[queue] = s
	}
	return s
}

// learnGood takes in the part of the workers named in a call that may run a step.
func (p *Planner) learnGood(queue string, part float64) {
	s := p.share(queue)
	if s.good == 0 {
		s.good = part
	}
	s.good += learnRate * (part - s.good)
}

// goodPart returns the part of the workers that may run a step of the queue.
func (p *Planner) goodPart(queue string) float64 {
	if s := p.shares[queue]; s != nil && s.good > 0 {
		return s.good
	}
	return usualGood
}

// learnRate is the weight of the newest run in a moving sum.
const learnRate = 0.02

// learn takes in the run time of a run that is done.
func (p *Planner) learn(r *run, how string, now time.Duration) {
	if how != Done || r.step.spec.Estimate == 0 || r.began == 0 {
		return
	}
	queue := r.step.round.job.spec.Queue
	s := p.share(queue)
	weight := float64(r.step.spec.CPU)
	if s.declared == 0 {
		s.declared = weight * float64(r.step.spec.Estimate)
		s.actual = s.declared
	}
	s.actual += learnRate * (weight*float64((now-r.began).Milliseconds()) - s.actual)
	s.declared += learnRate * (weight*float64(r.step.spec.Estimate) - s.declared)
}

// ratio returns the true run time as a multiple of the declared one.
func (p *Planner) ratio(queue string) float64 {
	if s := p.shares[queue]; s != nil && s.declared > 0 {
		return s.actual / s.declared
	}
	return 1
}
