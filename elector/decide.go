package elector

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// decide announces changes of ownership and takes shards that are free.
func (e *Elector) decide(ctx context.Context) error {
	swept := time.Now()
	for {
		if time.Since(swept) >= sweepInterval {
			swept = time.Now()
			e.sweep(ctx)
		}
		for _, shard := range e.shards() {
			e.announce(shard)
			if e.takeable(shard) {
				e.take(ctx, shard)
				e.announce(shard)
			}
		}
		if err := sleep(ctx, decideInterval, e.kick); err != nil {
			return err
		}
	}
}

// shards returns the candidates and the shards held, by name.
func (e *Elector) shards() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var shards []string
	for shard := range e.candidates {
		shards = append(shards, shard)
	}
	for shard := range e.held {
		if !e.candidates[shard] {
			shards = append(shards, shard)
		}
	}
	slices.Sort(shards)
	return shards
}

// announce calls back when what the record says has changed.
func (e *Elector) announce(shard string) {
	record, _, ok := e.record(shard)
	e.mu.Lock()
	held, was := e.held[shard]
	owned := ok && record.owns(e.vm) && record.Term >= e.fenced[shard]
	lost := was && (record.Term > held || e.fenced[shard] > held)
	won := owned && (!was || lost)
	if lost {
		delete(e.held, shard)
	}
	if won {
		e.held[shard] = record.Term
	}
	e.mu.Unlock()
	if lost {
		e.log.Info("shard lost", "shard", shard, "term", held, "owner", record.Owner, "new", record.Term)
		e.deposed(shard)
	}
	if won {
		e.log.Info("shard won", "shard", shard, "term", record.Term)
		e.elected(shard, record.Term)
	}
}

// dropAll announces that nothing is owned any more.
func (e *Elector) dropAll() {
	e.mu.Lock()
	e.leaving = true
	held := e.held
	e.held = map[string]uint64{}
	e.mu.Unlock()
	for shard := range held {
		e.deposed(shard)
	}
}

// takeable reports whether this VM should take the shard now. VMs further down
// the shard's order wait longer, so that shards spread and writes rarely race.
func (e *Elector) takeable(shard string) bool {
	if !e.isFree(shard) {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.free, shard)
		return false
	}
	rank := e.rank(shard)
	e.mu.Lock()
	defer e.mu.Unlock()
	since, ok := e.free[shard]
	if !ok {
		since = time.Now()
		e.free[shard] = since
	}
	return time.Since(since) >= time.Duration(rank)*stagger
}

// isFree reports whether the shard has no owner that may still live.
func (e *Elector) isFree(shard string) bool {
	e.mu.Lock()
	barred := e.leaving || !e.candidates[shard]
	e.mu.Unlock()
	if barred {
		return false
	}
	record, _, ok := e.record(shard)
	if !ok || record.Owner == "" {
		return e.mirror.ConnectedFor() >= min(acquaintance, e.ttl)
	}
	return !record.owns(e.vm) && e.lapsed(process{record.Owner, record.Incarnation})
}

// rank returns this VM's place in the order for the shard, from 0: VMs that own
// fewer shards come first, and among these the one with the highest hash.
func (e *Elector) rank(shard string) int {
	order := e.order(shard, e.Live())
	return slices.IndexFunc(order, func(vm VM) bool { return vm.id == e.vm.id })
}

// order sorts the VMs by how well they suit the shard.
func (e *Elector) order(shard string, vms []VM) []VM {
	owned := e.owned()
	places := preference(shard, vms)
	slices.SortStableFunc(vms, func(a, b VM) int {
		if owned[a.id] != owned[b.id] {
			return owned[a.id] - owned[b.id]
		}
		return places[a.id] - places[b.id]
	})
	return vms
}

// owned returns how many shards each VM owns.
func (e *Elector) owned() map[string]int {
	owned := map[string]int{}
	for _, entry := range e.mirror.List(shardPrefix) {
		if record, ok := decodeRecord[shardRecord](entry); ok {
			owned[record.Owner]++
		}
	}
	return owned
}

// preference returns each VM's place by rendezvous hashing: the first, then the
// first without it, and so on.
func preference(shard string, vms []VM) map[string]int {
	var ids []string
	for _, vm := range vms {
		ids = append(ids, vm.id)
	}
	places := map[string]int{}
	for len(ids) > 0 {
		id := rendezvous.New(ids, hash).Lookup(shard)
		places[id] = len(places)
		ids = slices.DeleteFunc(ids, func(other string) bool { return other == id })
	}
	return places
}

// hash is the hash of rendezvous hashing.
func hash(s string) uint64 { return xxhash.Sum64String(s) }

// take writes this process into the shard's record under the next term. What
// came of it shows in the record, also when the answer was lost.
func (e *Elector) take(ctx context.Context, shard string) {
	record, version, _ := e.record(shard)
	if record.Owner != "" && !e.confirmed(ctx, record) {
		return
	}
	e.log.Info("shard free, taking it", "shard", shard, "owner", record.Owner, "term", record.Term+1)
	next := shardRecord{Owner: e.vm.id, Incarnation: e.vm.incarnation, Address: e.vm.address, Term: record.Term + 1}
	if _, err := e.writeRecord(ctx, shardPrefix+shard, next, version); err != nil {
		e.log.Warn("shard not taken", "shard", shard, "err", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.free, shard)
}

// confirmed reads the owner's record once more, past the mirror, and reports
// whether it is still the one that was seen last.
func (e *Elector) confirmed(ctx context.Context, record shardRecord) bool {
	key := vmPrefix + record.Owner
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	known, ok := e.mirror.Get(key)
	if !ok {
		return true
	}
	entry, err := e.store.Get(short, key)
	if err != nil {
		return false
	}
	if entry.Version() > known.Version() {
		e.mirror.Merge(entry)
		renewed, ok := decodeRecord[vmRecord](entry)
		return ok && renewed.Incarnation != record.Incarnation
	}
	return true
}
