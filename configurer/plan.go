package configurer

import (
	"fmt"
	"time"
)

// Usage is what runs on the fleet while a change is planned.
type Usage struct {
	teams   map[string]int64 // thousandths of processors running
	centres map[string]Load
}

// Load is what a data centre runs and holds.
type Load struct {
	running int // tasks
	pending int // tasks
}

// NewLoad returns a load of running and pending tasks.
func NewLoad(running, pending int) Load { return Load{running: running, pending: pending} }

// NewUsage returns the usage of teams, in thousandths of processors, and of data centres.
func NewUsage(teams map[string]int64, centres map[string]Load) Usage {
	return Usage{teams: teams, centres: centres}
}

// Plan is a change before it is made.
type Plan struct {
	revision    uint64       // that the change is planned on
	differences []Difference // by section and key
	effects     []string     // sentences for operators
}

// Revision returns the revision that the change is planned on.
func (p Plan) Revision() uint64 { return p.revision }

// Differences returns what would change, by section and key.
func (p Plan) Differences() []Difference { return p.differences }

// Effects returns what the change would do to work and keys.
func (p Plan) Effects() []string { return p.effects }

// NewPlan returns the change from one document to the next, with its effects on
// what runs now.
func NewPlan(revision uint64, before, after *Document, usage Usage, now time.Time) Plan {
	p := Plan{revision: revision, differences: Compare(before, after)}
	p.addLimits(after.At(now), after, usage)
	p.addCentres(before, after, usage)
	p.addVMs(before, after)
	p.addKeys(before, after, now)
	return p
}

func (p *Plan) add(format string, args ...any) {
	p.effects = append(p.effects, fmt.Sprintf(format, args...))
}

// addLimits names the teams that use more than their new limit.
func (p *Plan) addLimits(now Resolver, after *Document, usage Usage) {
	for team := range after.teams.all() {
		limit, used := now.Limit(team.name), usage.teams[team.name]
		if used > limit {
			p.add("team %s runs %s processors, over its limit of %s: it starts nothing new, and its newest deferred tasks are checkpointed or stopped",
				team.name, FormatProcessors(used), FormatProcessors(limit))
		}
	}
}

func (p *Plan) addCentres(before, after *Document, usage Usage) {
	for centre := range after.centres.all() {
		former, known := before.centres.get(centre.name)
		if !known {
			former.state = In
		}
		if former.state == centre.state {
			continue
		}
		load := usage.centres[centre.name]
		switch centre.state {
		case Out:
			p.add("data centre %s goes out of service: %d running tasks finish or move, %d pending tasks go elsewhere", centre.name, load.running, load.pending)
		case Lost:
			p.add("data centre %s is declared lost: its %d pending tasks and what may run again of its %d running tasks start elsewhere", centre.name, load.pending, load.running)
		case In:
			p.add("data centre %s takes work again", centre.name)
		}
		p.addServices(after, centre)
	}
}

// addServices names the services that are left without a data centre.
func (p *Plan) addServices(after *Document, changed Centre) {
	if changed.state == In {
		return
	}
	for service := range after.services.all() {
		left := 0
		for _, name := range service.centres {
			if centre, _ := after.centres.get(name); centre.state == In {
				left++
			}
		}
		if left == 0 {
			p.add("service %s has no data centre in service", service.name)
		}
	}
}

func (p *Plan) addVMs(before, after *Document) {
	for vm := range after.vms.all() {
		if !before.vms.has(vm.id) {
			p.add("VM %s goes out of service", vm.id)
		}
	}
	for vm := range before.vms.all() {
		if !after.vms.has(vm.id) {
			p.add("VM %s takes work again", vm.id)
		}
	}
}

// addKeys names the keys that stop or begin to work.
func (p *Plan) addKeys(before, after *Document, now time.Time) {
	for key := range before.keys.all() {
		next, known := after.keys.get(key.id)
		if key.Active(now) && (!known || !next.Active(now) || next.hash != key.hash) {
			p.add("key %s of %s stops working", key.id, key.holder())
		}
	}
	for key := range after.keys.all() {
		former, known := before.keys.get(key.id)
		if key.Active(now) && (!known || !former.Active(now)) {
			p.add("key %s of %s begins to work", key.id, key.holder())
		}
	}
}

// holder says whose key it is.
func (k Key) holder() string {
	if k.team != "" {
		return "team " + k.team
	}
	return "role " + string(k.role)
}
