package planner

import (
	"time"

	"filberthaven.example/placer"
)

// team is what a customer has running and may have.
type team struct {
	spec   Team
	used   placer.Resources // of all runs that are charged
	credit float64          // jobs that it may send at once
	spent  time.Duration    // when credit was reckoned
}

// allows reports whether n tasks more of that size keep the team's limit.
func (t *team) allows(size placer.Resources, n int64) bool {
	if t == nil {
		return true
	}
	sum := t.used.Add(size.Scale(n))
	limit := t.spec.Limit
	return within(sum.CPU(), limit.CPU()) && within(sum.Memory(), limit.Memory()) && within(sum.Accelerators(), limit.Accelerators())
}

// within reports whether an amount keeps a limit, of which 0 means none.
func within(amount, limit int64) bool { return limit == 0 || amount <= limit }

func (p *Planner) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{spec: Team{Name: name, Weight: 1}}
		p.teams[name] = t
	}
	return t
}
