package elector

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// checkShards announces changes of ownership and acquires vacant shards until
// the context ends. Every sweepInterval it also deletes stale VM records.
func (e *Elector) checkShards(ctx context.Context) error {
	lastSweep := time.Now()
	for {
		if time.Since(lastSweep) >= sweepInterval {
			lastSweep = time.Now()
			e.sweep(ctx)
		}
		for _, shard := range e.shards() {
			e.announce(shard)
			if record, version, _ := e.record(shard); e.shouldAcquire(shard, record) {
				e.acquire(ctx, shard, record, version)
				e.announce(shard)
			}
		}
		if err := sleep(ctx, checkInterval, e.wakeup); err != nil {
			return err
		}
	}
}

// shards returns the eligible and the owned shards, sorted by name.
func (e *Elector) shards() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var shards []string
	for shard := range e.eligible {
		shards = append(shards, shard)
	}
	for shard := range e.ownedTerms {
		if !e.eligible[shard] {
			shards = append(shards, shard)
		}
	}
	slices.Sort(shards)
	return shards
}

// announce calls onDeposed if this process has lost the shard since the last
// check, and onElected if it has gained the shard.
func (e *Elector) announce(shard string) {
	record, _, ok := e.record(shard)
	e.mu.Lock()
	previous, wasOwner := e.ownedTerms[shard]
	isOwner := ok && record.owns(e.vm) && record.Term >= e.observedTerms[shard]
	lost := wasOwner && (record.Term > previous || e.observedTerms[shard] > previous)
	gained := isOwner && (!wasOwner || lost)
	if lost {
		delete(e.ownedTerms, shard)
	}
	if gained {
		e.ownedTerms[shard] = record.Term
	}
	e.mu.Unlock()
	if lost {
		e.log.Info("shard ownership lost", "shard", shard, "term", previous, "owner", record.Owner, "new", record.Term)
		e.onDeposed(shard)
	}
	if gained {
		e.log.Info("shard ownership gained", "shard", shard, "term", record.Term)
		e.onElected(shard, record.Term)
	}
}

// deposeAll stops this process from acquiring shards and calls onDeposed for
// each shard that it owned.
func (e *Elector) deposeAll() {
	e.mu.Lock()
	e.leaving = true
	terms := e.ownedTerms
	e.ownedTerms = map[string]uint64{}
	e.mu.Unlock()
	for shard := range terms {
		e.onDeposed(shard)
	}
}

// shouldAcquire reports whether this VM should acquire the shard with that record
// now. VMs that rank lower for the shard wait longer, so that shards spread and
// writes rarely conflict.
func (e *Elector) shouldAcquire(shard string, record shardRecord) bool {
	if !e.isVacant(shard, record) {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.vacantSince, shard)
		return false
	}
	rank := e.rank(shard)
	e.mu.Lock()
	defer e.mu.Unlock()
	since, ok := e.vacantSince[shard]
	if !ok {
		since = time.Now()
		e.vacantSince[shard] = since
	}
	return time.Since(since) >= time.Duration(rank)*rankDelay
}

// isVacant reports whether this VM may acquire the shard with that record: its
// owner has expired, or it has none. A shard without an owner counts as vacant only
// once the store has been connected for discoveryDelay.
func (e *Elector) isVacant(shard string, record shardRecord) bool {
	e.mu.Lock()
	ineligible := e.leaving || !e.eligible[shard]
	e.mu.Unlock()
	if ineligible {
		return false
	}
	if record.Owner == "" {
		return e.mirror.ConnectedFor() >= min(discoveryDelay, e.ttl)
	}
	return !record.owns(e.vm) && e.expired(process{record.Owner, record.Incarnation})
}

// rank returns this VM's index among the live VMs in order of preference for the
// shard.
func (e *Elector) rank(shard string) int {
	sorted := e.sortByPreference(shard, e.Live())
	return slices.IndexFunc(sorted, func(vm VM) bool { return vm.id == e.vm.id })
}

// sortByPreference sorts the VMs in place, the preferred owner of the shard first.
// VMs that own fewer shards come first; those that own as many are in order of
// their rendezvous hash for the shard.
func (e *Elector) sortByPreference(shard string, vms []VM) []VM {
	counts := e.shardCounts()
	ranks := hashRanks(shard, vms)
	slices.SortStableFunc(vms, func(a, b VM) int {
		if counts[a.id] != counts[b.id] {
			return counts[a.id] - counts[b.id]
		}
		return ranks[a.id] - ranks[b.id]
	})
	return vms
}

// shardCounts returns how many shards each VM owns, by VM id.
func (e *Elector) shardCounts() map[string]int {
	counts := map[string]int{}
	for _, entry := range e.mirror.List(shardPrefix) {
		if record, ok := decodeRecord[shardRecord](entry); ok {
			counts[record.Owner]++
		}
	}
	return counts
}

// hashRanks returns each VM's rank by rendezvous hashing: 0 for the VM chosen
// from all, 1 for the VM chosen from the others, and so on.
func hashRanks(shard string, vms []VM) map[string]int {
	var ids []string
	for _, vm := range vms {
		ids = append(ids, vm.id)
	}
	ranks := map[string]int{}
	for len(ids) > 0 {
		id := rendezvous.New(ids, hash).Lookup(shard)
		ranks[id] = len(ranks)
		ids = slices.DeleteFunc(ids, func(other string) bool { return other == id })
	}
	return ranks
}

// hash is the hash function for rendezvous hashing.
func hash(s string) uint64 { return xxhash.Sum64String(s) }

// acquire replaces the record of that version, which shouldAcquire found vacant, by
// one of this process under the next term. The record is not read again, since the
// mirror may by now hold that of another VM, which is not vacant. If the response is
// lost, announce still finds a successful write in the mirror.
func (e *Elector) acquire(ctx context.Context, shard string, record shardRecord, version uint64) {
	if record.Owner != "" && !e.confirmExpired(ctx, record) {
		return
	}
	e.log.Info("acquiring vacant shard", "shard", shard, "owner", record.Owner, "term", record.Term+1)
	next := shardRecord{Owner: e.vm.id, Incarnation: e.vm.incarnation, Address: e.vm.address, Term: record.Term + 1}
	if _, err := e.writeRecord(ctx, shardPrefix+shard, next, version); err != nil {
		e.log.Warn("failed to acquire shard", "shard", shard, "err", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.vacantSince, shard)
}

// confirmExpired reads the owner's VM record from the store and reports whether
// the owning process has not renewed it since the mirror's copy, or another
// process has replaced it. This prevents a takeover when the mirror lags behind
// the store.
func (e *Elector) confirmExpired(ctx context.Context, record shardRecord) bool {
	key := vmPrefix + record.Owner
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cached, ok := e.mirror.Get(key)
	if !ok {
		return true
	}
	entry, err := e.store.Get(callCtx, key)
	if err != nil {
		return false
	}
	if entry.Version() > cached.Version() {
		e.mirror.Merge(entry)
		renewed, ok := decodeRecord[vmRecord](entry)
		return ok && renewed.Incarnation != record.Incarnation
	}
	return true
}
