package granter

import (
	"sync"
	"time"

	"filberthaven.example/keeper"
	"github.com/samber/oops"
)

// book is one group's record with the usage of its teams.
type book struct {
	key   string
	shard string
	term  uint64

	mu      sync.Mutex
	teams   map[string]*usage
	record  groupRecord // newest known
	version uint64      // of the record; 0 while absent
	loaded  bool        // whether the record was ever read
	// recovered is when the owner first told what runs; zero before.
	recovered time.Time
	// attempts are the shard's allotments in writes that expect the version and
	// whose outcome is not known. A newer version settles them all.
	attempts []map[string]amounts
}

// move is a write of a record.
type move struct {
	value  []byte
	record groupRecord
	expect uint64
}

// newBook returns a book whose record is not yet read.
func newBook(key, shard string, term uint64) *book {
	return &book{key: key, shard: shard, term: term, teams: map[string]*usage{}}
}

// usage returns what is known of a team. The caller holds the lock.
func (b *book) usage(team string) *usage {
	u, ok := b.teams[team]
	if !ok {
		u = &usage{idle: time.Now()}
		b.teams[team] = u
	}
	return u
}

// allotment returns how much of a kind the team may use in this shard.
func (b *book) allotment(team string, kind Resource) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.effective(team, kind)
}

// effective is allotment without the lock. Until this owner's term stands in the
// record, a late write of the owner before could still change it, so that
// nothing may start.
func (b *book) effective(team string, kind Resource) int64 {
	if b.record.Terms[b.shard] != b.term {
		return 0
	}
	t := b.record.Teams[team]
	amount := t.Shards[b.shard].Have[kind]
	for _, attempt := range b.attempts {
		amount = min(amount, attempt[team][kind])
	}
	if u := b.teams[team]; u != nil && u.revision[kind] > t.Revision[kind] {
		amount = min(amount, u.limit[kind])
	}
	return amount
}

// startable returns up to which amount tasks may start. While another shard lacks
// what it should have, that is this shard's own target: otherwise a shard with a
// backlog would fill up again what it is to give away.
func (b *book) startable(team string, kind Resource) int64 {
	amount, t := b.effective(team, kind), b.record.Teams[team]
	if d := t.divide(kind); t.short(b.shard, kind, d) {
		amount = min(amount, d.target(t.Shards[b.shard].Want[kind]))
	}
	return amount
}

// reserve counts an amount as running if it fits.
func (b *book) reserve(team string, kind Resource, amount int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(team)
	if u.running[kind]+amount > b.startable(team, kind) {
		u.wanted[kind] = max(u.wanted[kind], amount)
		u.idle = time.Time{}
		return false
	}
	u.running[kind] += amount
	u.wanted[kind] = max(0, u.wanted[kind]-amount)
	u.idle = time.Time{}
	return true
}

// release takes back an amount reserved.
func (b *book) release(team string, kind Resource, amount int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(team)
	u.running[kind] = max(0, u.running[kind]-amount)
	u.touch()
}

// recover counts an amount as running whatever the allotment.
func (b *book) recover(team string, kind Resource, running int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(team)
	u.running[kind] = running
	u.told = true
	u.touch()
}

// begin notes that the owner has begun to tell what runs.
func (b *book) begin(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recovered.IsZero() {
		b.recovered = now
	}
}

// settled reports whether a team of which nothing was told surely runs nothing
// here. The caller holds the lock.
func (b *book) settled(now time.Time) bool {
	return !b.recovered.IsZero() && now.Sub(b.recovered) >= idleLimit
}

// setUsage notes running and wanted amounts; it reports whether the running one
// is allowed, and whether the team lacks something.
func (b *book) setUsage(team string, kind Resource, running, wanted int64) (ok, lacking bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, allowed := b.usage(team), b.startable(team, kind)
	ok = running <= u.running[kind] || running <= allowed
	u.told = true
	if ok {
		u.running[kind] = running
	} else {
		wanted += running - u.running[kind]
	}
	lacking = u.running[kind]+wanted > allowed && wanted > u.wanted[kind]
	u.wanted[kind] = wanted
	u.touch()
	return ok, lacking
}

// setWanted notes a wanted amount and reports whether the team lacks something.
func (b *book) setWanted(team string, kind Resource, wanted int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(team)
	more := wanted > u.wanted[kind]
	u.wanted[kind] = wanted
	u.touch()
	return more && u.running[kind]+wanted > b.effective(team, kind)
}

// touch keeps the time since when nothing runs or waits.
func (u *usage) touch() {
	switch {
	case !u.running.isZero() || !u.wanted.isZero():
		u.idle = time.Time{}
	case u.idle.IsZero():
		u.idle = time.Now()
	}
}

// setLimit notes a limit of a newer or the same revision.
func (b *book) setLimit(team string, kind Resource, limit int64, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(team)
	if revision < u.revision[kind] {
		return
	}
	u.revision[kind] = revision
	u.limit[kind] = limit
}

// excess returns how much runs above the shard's part of the limit.
func (b *book) excess(team string, kind Resource) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, u := b.record.Teams[team], b.usage(team)
	if t.sum(kind) <= t.Limit[kind] {
		return 0
	}
	return max(0, u.running[kind]-t.divide(kind).target(t.Shards[b.shard].Want[kind]))
}

// state reports whether the record was ever read, or returns ErrDeposed.
func (b *book) state() (loaded bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.record.Terms[b.shard] > b.term {
		return b.loaded, ErrDeposed
	}
	return b.loaded, nil
}

// absent notes that the service has no such record, unless one is known: then
// the read was stale.
func (b *book) absent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
}

// adopt takes over a newer record. All writes under way expected an older
// version: each is this record, or was followed by it, or never holds.
func (b *book) adopt(entry keeper.Entry) error {
	record, err := decodeGroup(entry)
	if err != nil {
		return oops.In("allotter").With("key", entry.Key()).Wrap(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(record, entry.Version())
	if b.record.Terms[b.shard] > b.term {
		return ErrDeposed
	}
	return nil
}

// take is adopt without the lock.
func (b *book) take(record groupRecord, version uint64) {
	b.loaded = true
	if version <= b.version {
		return
	}
	b.record, b.version, b.attempts = record, version, nil
}

// wants reports whether something is to be moved.
func (b *book) wants(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, changed := plan(b.record, b.shard, b.term, b.teams, now, b.settled(now))
	return changed || len(b.attempts) > 0
}

// propose returns the write to make. From now until its outcome is known the
// smaller amounts count.
func (b *book) propose(now time.Time) (move, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.record.Terms[b.shard] > b.term {
		return move{}, false, ErrDeposed
	}
	next, changed := plan(b.record, b.shard, b.term, b.teams, now, b.settled(now))
	if !changed && len(b.attempts) == 0 {
		return move{}, false, nil
	}
	// Without a change this replaces an attempt that may yet hold.
	next.Terms[b.shard] = b.term
	value, err := next.encode()
	if err != nil {
		return move{}, false, err
	}
	attempt := map[string]amounts{}
	for name, team := range next.Teams {
		attempt[name] = team.Shards[b.shard].Have
	}
	b.attempts = append(b.attempts, attempt)
	return move{value: value, record: next, expect: b.version}, true, nil
}

// settle notes that a write holds.
func (b *book) settle(m move, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(m.record, version)
}

// forget notes that the last write was surely not carried out.
func (b *book) forget(m move) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.version == m.expect && len(b.attempts) > 0 {
		b.attempts = b.attempts[:len(b.attempts)-1]
	}
}
