package planner

import "time"

// share is what has been learned of a queue's runs: moving sums over those that
// were done, each weighted by its processors. The ratio of sums is what a backlog
// needs; a mean of ratios overrates it twice, since what is declared too short has
// the large ratios and little weight.
type share struct {
	actual, declared float64
}

// learnRate is the weight of the newest run in a moving sum.
const learnRate = 0.02

// learn takes in the run time of a run that is done.
func (p *Planner) learn(r *run, how string, now time.Duration) {
	if how != Done || r.step.spec.Estimate == 0 || r.began == 0 {
		return
	}
	queue := r.step.round.job.spec.Queue
	s := p.shares[queue]
	weight := float64(r.step.spec.CPU)
	if s == nil {
		s = &share{declared: weight * float64(r.step.spec.Estimate), actual: weight * float64(r.step.spec.Estimate)}
		p.shares[queue] = s
	}
	s.actual += learnRate * (weight*float64((now-r.began).Milliseconds()) - s.actual)
	s.declared += learnRate * (weight*float64(r.step.spec.Estimate) - s.declared)
}

// ratio returns the true run time as a multiple of the declared one.
func (p *Planner) ratio(queue string) float64 {
	if s := p.shares[queue]; s != nil {
		return s.actual / s.declared
	}
	return 1
}
