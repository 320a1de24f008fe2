package planner

import "time"

// share is what has been learned of a queue's runs.
type share struct {
	ratio float64 // of true to declared run time, as a moving mean
}

// learnRate is the weight of the newest run in a moving mean.
const learnRate = 0.05

// learn takes in the run time of a run that is done.
func (p *Planner) learn(r *run, how string, now time.Duration) {
	if how != Done || r.step.spec.Estimate == 0 {
		return
	}
	queue := r.step.round.job.spec.Queue
	s := p.shares[queue]
	if s == nil {
		s = &share{ratio: 1}
		p.shares[queue] = s
	}
	ratio := float64((now - r.began).Milliseconds()) / float64(r.step.spec.Estimate)
	s.ratio += learnRate * (min(ratio, 4) - s.ratio)
}

// ratio returns the true run time as a multiple of the declared one.
func (p *Planner) ratio(queue string) float64 {
	if s := p.shares[queue]; s != nil {
		return s.ratio
	}
	return 1
}
