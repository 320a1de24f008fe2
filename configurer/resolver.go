package configurer

import "time"

// Resolver returns the values in force at one time. An exception takes precedence, then
// the own value of the team or service, then the fleet's default.
type Resolver struct {
	document *Document
	now      time.Time
}

// At returns the Resolver of the values in force at the time now.
func (d *Document) At(now time.Time) Resolver { return Resolver{document: d, now: now} }

// Share returns the team's weight in sharing the fleet when it is full.
func (r Resolver) Share(team string) float64 {
	return resolve(r, func(v values) optional[float64] { return v.share }, scope{"team", team})
}

// Limit returns how much the team may have running, in thousandths of processors. It is at
// most the bound.
func (r Resolver) Limit(team string) int64 {
	limit := resolve(r, func(v values) optional[int64] { return v.limit }, scope{"team", team})
	return min(limit, r.document.bounds.limit)
}

// Slots returns how many urgent requests the team may have in flight. It is at most the
// bound.
func (r Resolver) Slots(team string) int64 {
	slots := resolve(r, func(v values) optional[int64] { return v.slots }, scope{"team", team})
	return min(slots, r.document.bounds.slots)
}

// Pending returns how many deferred jobs the team may have pending.
func (r Resolver) Pending(team string) int64 {
	return resolve(r, func(v values) optional[int64] { return v.pending }, scope{"team", team})
}

// Timeout returns the timeout of an urgent request of the team to the service from the
// data centre. The team's value takes precedence over the service's.
func (r Resolver) Timeout(team, service, centre string) time.Duration {
	return resolve(r, func(v values) optional[time.Duration] { return v.timeout },
		scope{"team", team}, scope{"service", service}, scope{"centre", centre})
}

// Retries returns how many retries each request to the service adds to the retry budget
// in the data centre, from 0 to 1.
func (r Resolver) Retries(service, centre string) float64 {
	return resolve(r, func(v values) optional[float64] { return v.retries },
		scope{"service", service}, scope{"centre", centre})
}

// resolve returns the value of a field from the active exceptions of the scopes, or else
// from their entities, or else from the defaults. Earlier scopes take precedence.
func resolve[T any](r Resolver, field func(values) optional[T], scopes ...scope) T {
	for _, scope := range scopes {
		exceptions := r.document.byScope[scope]
		for i := range exceptions {
			value := field(exceptions[i].values)
			if value.set && exceptions[i].active(r.now) {
				return value.value
			}
		}
	}
	for _, scope := range scopes {
		if value := field(r.document.ownValues(scope)); value.set {
			return value.value
		}
	}
	return firstSet(field(r.document.defaults), field(builtinValues))
}

// ownValues returns the values that the team or service declares for itself. A data centre
// declares none.
func (d *Document) ownValues(s scope) values {
	switch s.kind {
	case "team":
		return d.teams.entities[s.name].values
	case "service":
		return d.services.entities[s.name].values
	}
	return values{}
}
