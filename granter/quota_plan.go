package granter

import (
	"maps"
	"math/bits"
	"time"
)

// idleLimit is how long a shard keeps a quota that it doesn't use, and how long
// after the start of a recovery the quotas of unreported teams stay.
const idleLimit = 30 * time.Second

// usage is what a shard knows of one team: its usage and demand in this shard,
// and its limits.
type usage struct {
	running   amounts               // used; includes what is about to start
	demand    amounts               // would be used in addition if the quota allowed it
	limit     amounts               // from the configuration
	revision  [resourceCount]uint64 // of the configuration; 0 while no limit is known
	idleSince time.Time             // since when nothing runs or waits; zero while something does
	reported  bool                  // by Recover or SetUsage; until then quotas don't shrink
}

// isIdle reports whether the team has had neither usage nor demand for
// idleLimit.
func (u usage) isIdle(now time.Time) bool {
	return u.running.isZero() && u.demand.isZero() && now.Sub(u.idleSince) >= idleLimit
}

// plan returns the record that the shard's owner wants, and whether it differs
// from r. Quotas grow only within what is free, and shrink to no less than what
// runs. Until the recovery has ended, quotas of teams whose usage was not
// reported don't shrink.
func plan(r groupRecord, shard string, term uint64, teams map[string]*usage, now time.Time, recoveryEnded bool) (groupRecord, bool) {
	next := r.clone()
	changed := false
	for name, u := range teams {
		team := next.Teams[name]
		if planTeam(&team, shard, u, now, recoveryEnded || u.reported) {
			next.Teams[name] = team
			changed = true
		}
	}
	// Writing a new owner's term makes late writes of the previous owner fail.
	if r.Terms[shard] < term && (changed || r.hasQuota(shard)) {
		changed = true
	}
	if changed {
		next.Terms[shard] = term
	}
	return next, changed
}

// planTeam updates the limit in one team's record and the shard's share, and
// reports whether either changed.
func planTeam(team *teamRecord, shard string, u *usage, now time.Time, usageKnown bool) bool {
	previous, present := team.Shards[shard]
	if !usageKnown && u.demand.isZero() {
		return false
	}
	if !present && u.running.isZero() && u.demand.isZero() {
		return false
	}
	limitUpdated := planLimit(team, u)
	if team.Shards = maps.Clone(team.Shards); team.Shards == nil {
		team.Shards = map[string]shareRecord{}
	}
	share := previous
	for resource := range resourceCount {
		share.Want[resource] = roundDemand(u.running[resource] + u.demand[resource])
	}
	team.Shards[shard] = share
	for resource := range resourceCount {
		share.Have[resource] = planResource(*team, shard, resource, u.running[resource], usageKnown)
	}
	if usageKnown && share.Want.isZero() && (share.Have.isZero() || u.isIdle(now)) {
		delete(team.Shards, shard)
		return present || limitUpdated
	}
	team.Shards[shard] = share
	return share != previous || !present || limitUpdated
}

// planLimit copies limits of a newer configuration to the record, and reports
// whether there were any.
func planLimit(team *teamRecord, u *usage) bool {
	updated := false
	for resource := range resourceCount {
		if u.revision[resource] > team.Revision[resource] {
			team.Revision[resource], team.Limit[resource] = u.revision[resource], u.limit[resource]
			updated = true
		}
	}
	return updated
}

// planResource returns the shard's next quota of a resource.
func planResource(team teamRecord, shard string, resource Resource, running int64, usageKnown bool) int64 {
	have, sum := team.Shards[shard].Have[resource], team.sum(resource)
	d := team.divide(resource)
	target := d.target(team.Shards[shard].Want[resource])
	switch {
	case have < target:
		free := max(0, team.Limit[resource]-sum)
		return have + min(target-have, free)
	case !usageKnown:
		return have
	case sum > team.Limit[resource], team.othersUnderserved(shard, resource, d):
		return min(have, max(target, running))
	default:
		return have
	}
}

// roundDemand rounds an amount up to one of four steps per power of two, so
// that small changes of demand need no write.
func roundDemand(n int64) int64 {
	if n <= 4 {
		return max(0, n)
	}
	step := int64(1) << (bits.Len64(uint64(n)) - 3)
	return (n + step - 1) / step * step
}
