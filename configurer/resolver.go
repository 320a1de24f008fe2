package configurer

import "time"

// Resolver gives the values in force at one time: an exception first, then what
// the team or service sets for itself, then the fleet's defaults.
type Resolver struct {
	document *Document
	now      time.Time
}

// At returns the resolver of the values in force at that time.
func (d *Document) At(now time.Time) Resolver { return Resolver{document: d, now: now} }

// Share returns the team's weight when the fleet is full.
func (r Resolver) Share(team string) float64 {
	return resolve(r, func(v values) optional[float64] { return v.share }, scope{"team", team})
}

// Limit returns the thousandths of processors that the team may have running, within the
// bound.
func (r Resolver) Limit(team string) int64 {
	limit := resolve(r, func(v values) optional[int64] { return v.limit }, scope{"team", team})
	return min(limit, r.document.bounds.limit)
}

// Slots returns how many urgent requests the team may have in flight, within the bound.
func (r Resolver) Slots(team string) int64 {
	slots := resolve(r, func(v values) optional[int64] { return v.slots }, scope{"team", team})
	return min(slots, r.document.bounds.slots)
}

// Pending returns how many deferred jobs the team may have waiting.
func (r Resolver) Pending(team string) int64 {
	return resolve(r, func(v values) optional[int64] { return v.pending }, scope{"team", team})
}

// Timeout returns the timeout of an urgent request of the team to the service
// from the data centre. The team's goes before the service's.
func (r Resolver) Timeout(team, service, centre string) time.Duration {
	return resolve(r, func(v values) optional[time.Duration] { return v.timeout },
		scope{"team", team}, scope{"service", service}, scope{"centre", centre})
}

// Retries returns how many retries each request to the service earns in the data
// centre, from 0 to 1.
func (r Resolver) Retries(service, centre string) float64 {
	return resolve(r, func(v values) optional[float64] { return v.retries },
		scope{"service", service}, scope{"centre", centre})
}

// resolve looks the value up in the exceptions of the scopes, then in the
// entities, then in the defaults.
func resolve[T any](r Resolver, of func(values) optional[T], scopes ...scope) T {
	for _, scope := range scopes {
		exceptions := r.document.byScope[scope]
		for i := range exceptions {
			value := of(exceptions[i].values)
			if value.set && exceptions[i].active(r.now) {
				return value.value
			}
		}
	}
	for _, scope := range scopes {
		if value := of(r.document.own(scope)); value.set {
			return value.value
		}
	}
	return first(of(r.document.defaults), of(fleetValues))
}

// own returns what the team or service sets for itself.
func (d *Document) own(s scope) values {
	switch s.kind {
	case "team":
		return d.teams.entities[s.name].values
	case "service":
		return d.services.entities[s.name].values
	}
	return values{}
}
