package elector

import (
	"context"
	"errors"
	"time"

	"filberthaven.example/keeper"
	"github.com/samber/oops"
)

// handOverRetryInterval is the time between two attempts to hand a shard over.
const handOverRetryInterval = 50 * time.Millisecond

// HandOver makes the live VM with the given id the owner of a shard. That VM
// learns of it from its mirror. The caller must have closed the shard's journal.
// HandOver returns ErrNotOwner if another process owns the shard, ErrNoSuccessor if the
// VM is not live, or the context's error.
func (e *Elector) HandOver(ctx context.Context, shard, to string) error {
	for _, vm := range e.Live() {
		if vm.id == to {
			next := shardRecord{Owner: vm.id, Incarnation: vm.incarnation, Address: vm.address}
			return e.transfer(ctx, shard, next)
		}
	}
	return oops.In("elector").With("shard", shard, "vm", to).Wrap(ErrNoSuccessor)
}

// Resign gives a shard to the live VM that ranks first for it. If there is
// none, it leaves the shard without an owner, for any VM to acquire.
func (e *Elector) Resign(ctx context.Context, shard string) error {
	if to, ok := e.Successor(shard); ok {
		return e.HandOver(ctx, shard, to)
	}
	return e.transfer(ctx, shard, shardRecord{})
}

// Successor returns the id of the live VM, other than this one, that ranks
// first for the shard.
func (e *Elector) Successor(shard string) (string, bool) {
	for _, vm := range e.sortByPreference(shard, e.Live()) {
		if vm.id != e.vm.id {
			return vm.id, true
		}
	}
	return "", false
}

// Leave stops this VM from acquiring shards. It also makes a renewal due at once,
// which tells the other VMs not to hand it any. Leave is the first call of a
// planned stop.
func (e *Elector) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	select {
	case e.renewNow <- struct{}{}:
	default:
	}
}

func (e *Elector) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// transfer writes the next owner into a shard's record under the next term. It
// retries until the write has certainly succeeded, another process owns the
// shard, or ctx ends.
func (e *Elector) transfer(ctx context.Context, shard string, next shardRecord) error {
	term := e.ownedTerm(shard)
	for {
		record, version, ok := e.record(shard)
		switch {
		case ok && record.Term > term && record.Owner == next.Owner && term > 0:
			return nil
		case !ok || !record.owns(e.vm) || term == 0:
			return oops.In("elector").With("shard", shard).Wrap(ErrNotOwner)
		}
		next.Term = record.Term + 1
		_, err := e.writeRecord(ctx, shardPrefix+shard, next, version)
		if err == nil {
			e.log.Info("shard handed over", "shard", shard, "to", next.Owner, "term", next.Term)
			e.wake()
			return nil
		}
		if !errors.Is(err, keeper.ErrUnavailable) {
			e.refresh(ctx, shard)
		}
		select {
		case <-time.After(handOverRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ownedTerm returns the term under which this process owns the shard, or 0 if
// it does not.
func (e *Elector) ownedTerm(shard string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownedTerms[shard]
}

// refresh reads a shard's record from the store into the mirror.
func (e *Elector) refresh(ctx context.Context, shard string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if entry, err := e.store.Get(callCtx, shardPrefix+shard); err == nil {
		e.mirror.Merge(entry)
	}
}
