package configurer

import (
	"fmt"
	"time"
)

// Usage is what the teams use and the data centres run when a change is planned.
type Usage struct {
	teams   map[string]int64 // thousandths of processors in use, by team
	centres map[string]Load  // by data centre
}

// Load is the number of tasks in a data centre.
type Load struct {
	running int
	pending int
}

// NewLoad returns a load of running and pending tasks.
func NewLoad(running, pending int) Load { return Load{running: running, pending: pending} }

// NewUsage returns the usage of teams, in thousandths of processors, and of data centres.
func NewUsage(teams map[string]int64, centres map[string]Load) Usage {
	return Usage{teams: teams, centres: centres}
}

// Plan describes a change before it is applied.
type Plan struct {
	revision    uint64       // that the change is planned on; 0: none yet
	differences []Difference // by section and key
	effects     []string     // sentences that operators read
}

// Revision returns the revision that the change is planned on.
func (p Plan) Revision() uint64 { return p.revision }

// Differences returns the differences that the change makes, by section and key.
func (p Plan) Differences() []Difference { return p.differences }

// Effects returns the effects of the change on work and keys, as sentences.
func (p Plan) Effects() []string { return p.effects }

// NewPlan returns the plan of a change. before is the document of the revision, and after
// is the document that would replace it. The effects are those on the usage, and on the
// keys that are valid at the time now.
func NewPlan(revision uint64, before, after *Document, usage Usage, now time.Time) Plan {
	p := Plan{revision: revision, differences: Compare(before, after)}
	p.addLimits(after.At(now), after, usage)
	p.addCentres(before, after, usage)
	p.addVMs(before, after)
	p.addKeys(before, after, now)
	return p
}

func (p *Plan) addEffect(format string, args ...any) {
	p.effects = append(p.effects, fmt.Sprintf(format, args...))
}

// addLimits adds an effect for each team whose usage exceeds its new limit.
func (p *Plan) addLimits(resolver Resolver, after *Document, usage Usage) {
	for team := range after.teams.all() {
		limit, used := resolver.Limit(team.name), usage.teams[team.name]
		if used > limit {
			p.addEffect("team %s runs %s processors, over its limit of %s: it starts nothing new, and its newest deferred tasks are checkpointed or stopped",
				team.name, FormatProcessors(used), FormatProcessors(limit))
		}
	}
}

func (p *Plan) addCentres(before, after *Document, usage Usage) {
	for centre := range after.centres.all() {
		former, known := before.centres.get(centre.name)
		if !known {
			former.state = InService
		}
		if former.state == centre.state {
			continue
		}
		load := usage.centres[centre.name]
		switch centre.state {
		case OutOfService:
			p.addEffect("data centre %s goes out of service: %d running tasks finish or move, %d pending tasks go elsewhere", centre.name, load.running, load.pending)
		case Lost:
			p.addEffect("data centre %s is declared lost: its %d pending tasks and what may run again of its %d running tasks start elsewhere", centre.name, load.pending, load.running)
		case InService:
			p.addEffect("data centre %s takes work again", centre.name)
		}
		p.addServices(after, centre)
	}
}

// addServices adds an effect for each service that has no data centre in service. It does
// nothing if the changed data centre goes back into service.
func (p *Plan) addServices(after *Document, changed Centre) {
	if changed.state == InService {
		return
	}
	for service := range after.services.all() {
		inService := 0
		for _, name := range service.centres {
			if centre, _ := after.centres.get(name); centre.state == InService {
				inService++
			}
		}
		if inService == 0 {
			p.addEffect("service %s has no data centre in service", service.name)
		}
	}
}

func (p *Plan) addVMs(before, after *Document) {
	for vm := range after.vms.all() {
		if !before.vms.has(vm.id) {
			p.addEffect("VM %s goes out of service", vm.id)
		}
	}
	for vm := range before.vms.all() {
		if !after.vms.has(vm.id) {
			p.addEffect("VM %s takes work again", vm.id)
		}
	}
}

// addKeys adds an effect for each key that becomes invalid, gets another secret, or becomes
// valid.
func (p *Plan) addKeys(before, after *Document, now time.Time) {
	for key := range before.keys.all() {
		next, known := after.keys.get(key.id)
		if key.Active(now) && (!known || !next.Active(now) || next.hash != key.hash) {
			p.addEffect("key %s of %s stops working", key.id, key.holder())
		}
	}
	for key := range after.keys.all() {
		former, known := before.keys.get(key.id)
		if key.Active(now) && (!known || !former.Active(now)) {
			p.addEffect("key %s of %s begins to work", key.id, key.holder())
		}
	}
}

// holder returns whose key it is, such as "team cremona" or "role viewer".
func (k Key) holder() string {
	if k.team != "" {
		return "team " + k.team
	}
	return "role " + string(k.role)
}
