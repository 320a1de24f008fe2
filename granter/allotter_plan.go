package granter

import (
	"maps"
	"math/bits"
	"time"
)

// idleLimit is how long a shard keeps a part of a limit that it makes no use of.
const idleLimit = 30 * time.Second

// usage is what a shard knows of one team.
type usage struct {
	running  amounts       // includes what is about to start
	wanted   amounts       // would start if it could
	limit    amounts       // of the configuration
	revision [kinds]uint64 // of the configuration; 0 while no limit is known
	idle     time.Time     // since when nothing runs or waits; zero while something does
	told     bool          // whether all that runs was told; until then nothing shrinks
}

// isIdle reports whether the team made no use of its part for long.
func (u usage) isIdle(now time.Time) bool {
	return u.running.isZero() && u.wanted.isZero() && now.Sub(u.idle) >= idleLimit
}

// plan returns the record as the shard's owner would like to have it. It grows
// only within what is free, and shrinks to no less than what runs. Unless
// settled, parts of teams whose running amounts were not told stay.
func plan(r groupRecord, shard string, term uint64, teams map[string]*usage, now time.Time, settled bool) (groupRecord, bool) {
	next := r.clone()
	changed := false
	for name, u := range teams {
		team := next.Teams[name]
		if planTeam(&team, shard, u, now, settled || u.told) {
			next.Teams[name] = team
			changed = true
		}
	}
	// The term of a new owner makes late writes of the one before fail.
	if r.Terms[shard] < term && (changed || r.has(shard)) {
		changed = true
	}
	if changed {
		next.Terms[shard] = term
	}
	return next, changed
}

// planTeam changes one team's part of the record, and reports whether it did.
func planTeam(team *teamRecord, shard string, u *usage, now time.Time, firm bool) bool {
	before, present := team.Shards[shard]
	if !firm && u.wanted.isZero() {
		return false
	}
	if !present && u.running.isZero() && u.wanted.isZero() {
		return false
	}
	newer := planLimit(team, u)
	if team.Shards = maps.Clone(team.Shards); team.Shards == nil {
		team.Shards = map[string]shareRecord{}
	}
	share := before
	for kind := range kinds {
		share.Want[kind] = coarse(u.running[kind] + u.wanted[kind])
	}
	team.Shards[shard] = share
	for kind := range kinds {
		share.Have[kind] = planKind(*team, shard, kind, u.running[kind], firm)
	}
	if firm && share.Want.isZero() && (share.Have.isZero() || u.isIdle(now)) {
		delete(team.Shards, shard)
		return present || newer
	}
	team.Shards[shard] = share
	return share != before || !present || newer
}

// planLimit takes over the limits of a newer configuration, and reports whether
// there were any.
func planLimit(team *teamRecord, u *usage) bool {
	newer := false
	for kind := range kinds {
		if u.revision[kind] > team.Revision[kind] {
			team.Revision[kind], team.Limit[kind] = u.revision[kind], u.limit[kind]
			newer = true
		}
	}
	return newer
}

// planKind returns what the shard should hold next of a kind.
func planKind(team teamRecord, shard string, kind Resource, running int64, firm bool) int64 {
	have, sum := team.Shards[shard].Have[kind], team.sum(kind)
	d := team.divide(kind)
	target := d.target(team.Shards[shard].Want[kind])
	switch {
	case have < target:
		free := max(0, team.Limit[kind]-sum)
		return have + min(target-have, free)
	case !firm:
		return have
	case sum > team.Limit[kind], team.short(shard, kind, d):
		return min(have, max(target, running))
	default:
		return have
	}
}

// coarse rounds an amount up to one of four steps per power of two, so that
// small changes of demand need no write.
func coarse(n int64) int64 {
	if n <= 4 {
		return max(0, n)
	}
	step := int64(1) << (bits.Len64(uint64(n)) - 3)
	return (n + step - 1) / step * step
}
