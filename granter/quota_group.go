package granter

import (
	"sync"
	"time"

	"filberthaven.example/keeper"
	"github.com/samber/oops"
)

// group is what a shard knows of the teams that share one record: the record
// and their usage in this shard.
type group struct {
	key   string
	shard string
	term  uint64

	mu      sync.Mutex
	teams   map[string]*usage
	record  groupRecord // newest known
	version uint64      // of the record; 0 while absent
	loaded  bool        // whether the record was ever read
	// recoveryStarted is the time of the first call of Recover; zero before.
	recoveryStarted time.Time
	// unknownWrites holds this shard's quotas in each write that expects the
	// current version and whose outcome is unknown. A newer version resolves
	// them all.
	unknownWrites []map[string]amounts
}

// proposal is a planned compare-and-swap of a record.
type proposal struct {
	value  []byte // record, encoded
	record groupRecord
	expect uint64 // version that the write replaces; 0 if absent
}

// newGroup returns a group whose record has not been read.
func newGroup(key, shard string, term uint64) *group {
	return &group{key: key, shard: shard, term: term, teams: map[string]*usage{}}
}

// usageLocked returns the usage of a team, adding it on first use. The caller
// holds the lock.
func (g *group) usageLocked(team string) *usage {
	u, ok := g.teams[team]
	if !ok {
		u = &usage{idleSince: time.Now()}
		g.teams[team] = u
	}
	return u
}

// quota returns how much of a resource the team may use in this shard.
func (g *group) quota(team string, resource Resource) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quotaLocked(team, resource)
}

// quotaLocked is quota with the lock held. The quota is 0 until this owner's
// term is in the record: before that, a late write of the previous owner could
// still change the record.
func (g *group) quotaLocked(team string, resource Resource) int64 {
	if g.record.Terms[g.shard] != g.term {
		return 0
	}
	t := g.record.Teams[team]
	amount := t.Shards[g.shard].Have[resource]
	for _, quotas := range g.unknownWrites {
		amount = min(amount, quotas[team][resource])
	}
	if u := g.teams[team]; u != nil && u.revision[resource] > t.Revision[resource] {
		amount = min(amount, u.limit[resource])
	}
	return amount
}

// startLimitLocked returns the amount up to which tasks may start. While another
// shard is underserved, the limit is at most this shard's target, so that a
// shard with a backlog starts no new tasks within the quota that it should give
// up. The caller holds the lock.
func (g *group) startLimitLocked(team string, resource Resource) int64 {
	amount, t := g.quotaLocked(team, resource), g.record.Teams[team]
	if d := t.divide(resource); t.othersUnderserved(g.shard, resource, d) {
		amount = min(amount, d.target(t.Shards[g.shard].Want[resource]))
	}
	return amount
}

// reserve adds an amount to the usage if the sum stays within the start limit.
// Otherwise it raises the demand to at least the amount.
func (g *group) reserve(team string, resource Resource, amount int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.usageLocked(team)
	if u.running[resource]+amount > g.startLimitLocked(team, resource) {
		u.demand[resource] = max(u.demand[resource], amount)
		u.idleSince = time.Time{}
		return false
	}
	u.running[resource] += amount
	u.demand[resource] = max(0, u.demand[resource]-amount)
	u.idleSince = time.Time{}
	return true
}

func (g *group) release(team string, resource Resource, amount int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.usageLocked(team)
	u.running[resource] = max(0, u.running[resource]-amount)
	u.updateIdle()
}

// recover sets the usage, even if it exceeds the quota.
func (g *group) recover(team string, resource Resource, running int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.usageLocked(team)
	u.running[resource] = running
	u.reported = true
	u.updateIdle()
}

// startRecovery records the time of the first call of Recover.
func (g *group) startRecovery(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recoveryStarted.IsZero() {
		g.recoveryStarted = now
	}
}

// recoveryEnded reports whether the recovery has lasted idleLimit, after which
// teams that were not reported count as running nothing here. The caller holds
// the lock.
func (g *group) recoveryEnded(now time.Time) bool {
	return !g.recoveryStarted.IsZero() && now.Sub(g.recoveryStarted) >= idleLimit
}

// setUsage sets the usage, if allowed, and the demand. It reports whether the
// usage is allowed, and whether the demand has grown and doesn't fit within the
// start limit.
func (g *group) setUsage(team string, resource Resource, running, demand int64) (ok, underserved bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, allowed := g.usageLocked(team), g.startLimitLocked(team, resource)
	ok = running <= u.running[resource] || running <= allowed
	u.reported = true
	if ok {
		u.running[resource] = running
	} else {
		demand += running - u.running[resource]
	}
	underserved = u.running[resource]+demand > allowed && demand > u.demand[resource]
	u.demand[resource] = demand
	u.updateIdle()
	return ok, underserved
}

// setDemand sets the demand. It reports whether the demand has grown and
// doesn't fit within the quota.
func (g *group) setDemand(team string, resource Resource, demand int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.usageLocked(team)
	more := demand > u.demand[resource]
	u.demand[resource] = demand
	u.updateIdle()
	return more && u.running[resource]+demand > g.quotaLocked(team, resource)
}

// updateIdle keeps idleSince in line with usage and demand.
func (u *usage) updateIdle() {
	switch {
	case !u.running.isZero() || !u.demand.isZero():
		u.idleSince = time.Time{}
	case u.idleSince.IsZero():
		u.idleSince = time.Now()
	}
}

// setLimit sets a limit unless a newer revision is known.
func (g *group) setLimit(team string, resource Resource, limit int64, revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.usageLocked(team)
	if revision < u.revision[resource] {
		return
	}
	u.revision[resource] = revision
	u.limit[resource] = limit
}

// excess returns how much is used above the shard's part of a limit that was
// lowered.
func (g *group) excess(team string, resource Resource) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, u := g.record.Teams[team], g.usageLocked(team)
	if t.sum(resource) <= t.Limit[resource] {
		return 0
	}
	return max(0, u.running[resource]-t.divide(resource).target(t.Shards[g.shard].Want[resource]))
}

// loadState reports whether the record was ever read. It returns ErrDeposed if
// a newer owner has written it.
func (g *group) loadState() (loaded bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.record.Terms[g.shard] > g.term {
		return g.loaded, ErrDeposed
	}
	return g.loaded, nil
}

// setAbsent marks the record as read, since the store has none. If a record is
// known already, the read was stale and changes nothing.
func (g *group) setAbsent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loaded = true
}

// merge replaces the known record by a newer one, and returns ErrDeposed if a
// newer owner has written the record. This resolves all writes in flight, which
// expect an older version: each precedes the new record, has produced it, or
// will fail.
func (g *group) merge(entry keeper.Entry) error {
	record, err := decodeGroup(entry)
	if err != nil {
		return oops.In("allotter").With("key", entry.Key()).Wrap(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mergeLocked(record, entry.Version())
	if g.record.Terms[g.shard] > g.term {
		return ErrDeposed
	}
	return nil
}

// mergeLocked replaces the known record if the given one is newer. The caller
// holds the lock.
func (g *group) mergeLocked(record groupRecord, version uint64) {
	g.loaded = true
	if version <= g.version {
		return
	}
	g.record, g.version, g.unknownWrites = record, version, nil
}

// needsWrite reports whether the record should be written.
func (g *group) needsWrite(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, changed := plan(g.record, g.shard, g.term, g.teams, now, g.recoveryEnded(now))
	return changed || len(g.unknownWrites) > 0
}

// propose returns the write to make, if any, and adds it to unknownWrites: until
// the outcome of the write is known, the smaller of the old and the new quotas
// count.
func (g *group) propose(now time.Time) (proposal, bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.record.Terms[g.shard] > g.term {
		return proposal{}, false, ErrDeposed
	}
	next, changed := plan(g.record, g.shard, g.term, g.teams, now, g.recoveryEnded(now))
	if !changed && len(g.unknownWrites) == 0 {
		return proposal{}, false, nil
	}
	// If nothing changed, the write only makes an earlier one of unknown
	// outcome fail.
	next.Terms[g.shard] = g.term
	value, err := next.encode()
	if err != nil {
		return proposal{}, false, err
	}
	quotas := map[string]amounts{}
	for name, team := range next.Teams {
		quotas[name] = team.Shards[g.shard].Have
	}
	g.unknownWrites = append(g.unknownWrites, quotas)
	return proposal{value: value, record: next, expect: g.version}, true, nil
}

// commit records that a write succeeded.
func (g *group) commit(p proposal, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mergeLocked(p.record, version)
}

// discard removes the last write from unknownWrites, since it was definitely not
// carried out.
func (g *group) discard(p proposal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.version == p.expect && len(g.unknownWrites) > 0 {
		g.unknownWrites = g.unknownWrites[:len(g.unknownWrites)-1]
	}
}
