package planner

import (
	"cmp"
	"slices"
	"time"
)

// When steps need more advice than the entry VMs can request, requests in the order of rank
// leave nothing to the last ones for as long as there is newer work. So steps that have lacked
// advice for long have a share of their own.
const (
	// overdueAfter is how long a step has to lack advice to be overdue. Users expect that a job
	// does not wait for 3 s with room for it.
	overdueAfter = 1500 * time.Millisecond
	// overdueRatio is the time of other requests for one of overdue steps.
	overdueRatio = 3
	// maxOverdueTries is the most overdue steps that are looked at in a decision.
	maxOverdueTries = 16
)

// overdueStep is a step that has lacked advice for long.
type overdueStep struct {
	*step
	room func(*worker) int // how many of its tasks a worker takes
}

// observeLack notes that a step lacks advice in the current decision. Urgent steps have VMs of
// their own.
func (p *Planner) observeLack(s *step, urgent bool, room func(*worker) int, now time.Duration) {
	a := &s.advice
	switch {
	case urgent || a.requests > 0:
	case a.lackingSince == 0:
		a.lackingSince = now
	case now-a.lackingSince >= overdueAfter && a.overdueIn != p.decisions:
		a.overdueIn = p.decisions
		p.overdue = append(p.overdue, overdueStep{s, room})
	}
}

// requestOverdue puts requests of overdue steps first, as far as their share allows: those that
// have waited longest as a multiple of what a request takes. So short requests do not wait
// behind long ones, and each has its turn.
func (p *Planner) requestOverdue(now time.Duration) {
	overdue := p.overdue
	p.overdue = p.overdue[:0]
	if len(overdue) == 0 {
		p.overdueCredit = min(p.overdueCredit, 0)
		return
	}
	if p.overdueCredit < 0 || now < p.noAdviceBefore[false] {
		return
	}
	slices.SortStableFunc(overdue, func(a, b overdueStep) int { return cmp.Compare(b.overdueRate(now), a.overdueRate(now)) })
	var first []Action
	for _, s := range overdue[:min(len(overdue), maxOverdueTries)] {
		if p.overdueCredit < 0 {
			break
		}
		if !p.hasRoom(s) {
			continue
		}
		i := slices.IndexFunc(p.actions, func(a Action) bool { return a.Kind == RequestAdvice && a.Step == s.name })
		var a Action
		if i >= 0 {
			a = p.actions[i]
			p.actions = slices.Delete(p.actions, i, i+1)
			p.overdueCredit -= a.Cost / overdueRatio
		} else {
			var found bool
			if a, found = p.newRequest(s.step, false, s.room, now); !found {
				s.advice.lackingSince = 0
				continue
			}
		}
		a.Overdue = true
		p.overdueCredit -= a.Cost
		first = append(first, a)
	}
	p.actions = append(first, p.actions...)
}

// hasRoom reports whether tasks of an overdue step would fit now on workers that advice may
// admit. Otherwise they wait for room, whatever the advice.
func (p *Planner) hasRoom(s overdueStep) bool {
	need := 1
	if s.spec.Gang {
		need = len(s.tasks)
	}
	for _, w := range p.fleet {
		if e, known := s.advice.known[w]; known && e == nil || !s.mayUse(w) {
			continue
		}
		if need -= s.room(w); need <= 0 {
			return true
		}
	}
	return false
}

// overdueRate returns how long a step has lacked advice, as a multiple of the time of a
// usual request.
func (s *step) overdueRate(now time.Duration) float64 {
	return float64(now-s.advice.lackingSince) / float64(max(1, s.occurrence.job.queue.AdviceCost.duration(typicalQueried)))
}

// duration returns the expected time of a request that names n workers.
func (c *AdviceCost) duration(n int) time.Duration { return c.Base + time.Duration(n)*c.PerWorker }
