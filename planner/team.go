package planner

import (
	"time"

	"filberthaven.example/placer"
)

// team is the state of a customer: its limit, its rate and what it has running.
type team struct {
	spec       Team
	allocated  placer.Resources // sum of the sizes of its runs
	tokens     float64          // tokens left in its bucket: jobs that it may submit at once
	refilledAt time.Duration    // when tokens was last refilled
}

// allows reports whether the team stays within its limit with n more tasks of that size.
// A nil team has no limit.
func (t *team) allows(size placer.Resources, n int64) bool {
	if t == nil {
		return true
	}
	sum := t.allocated.Add(size.Scale(n))
	limit := t.spec.Limit
	return within(sum.CPU(), limit.CPU()) && within(sum.Memory(), limit.Memory()) && within(sum.Accelerators(), limit.Accelerators())
}

// within reports whether an amount is at most the limit; 0 means no limit.
func within(amount, limit int64) bool { return limit == 0 || amount <= limit }

// team returns the team with that name and adds it, with a rate of 1, if it is new.
func (p *Planner) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{spec: Team{Name: name, Weight: 1}}
		p.teams[name] = t
	}
	return t
}
