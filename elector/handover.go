package elector

import (
	"context"
	"errors"
	"time"

	"filberthaven.example/keeper"
	"github.com/samber/oops"
)

// handOverPause is the time between two attempts to hand a shard over.
const handOverPause = 50 * time.Millisecond

// HandOver gives a shard to the VM with that id, which learns of it by its watch.
// The journal has to be closed before. It returns ErrNotOwner if another process
// owns the shard, ErrNoSuccessor if the VM isn't live, and the context's error.
func (e *Elector) HandOver(ctx context.Context, shard, to string) error {
	for _, vm := range e.Live() {
		if vm.id == to {
			next := shardRecord{Owner: vm.id, Incarnation: vm.incarnation, Address: vm.address}
			return e.release(ctx, shard, next)
		}
	}
	return oops.In("elector").With("shard", shard, "vm", to).Wrap(ErrNoSuccessor)
}

// Resign gives a shard to the live VM that suits it best, or leaves it without
// an owner if there is none, to be taken by whoever comes.
func (e *Elector) Resign(ctx context.Context, shard string) error {
	if to, ok := e.Successor(shard); ok {
		return e.HandOver(ctx, shard, to)
	}
	return e.release(ctx, shard, shardRecord{})
}

// Successor returns the id of the live VM, other than this one, that suits the
// shard best.
func (e *Elector) Successor(shard string) (string, bool) {
	for _, vm := range e.order(shard, e.Live()) {
		if vm.id != e.vm.id {
			return vm.id, true
		}
	}
	return "", false
}

// Leave keeps this VM from taking shards from now on, and tells the others, which
// hand none to it. It is called first in a planned stop.
func (e *Elector) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	select {
	case e.hasten <- struct{}{}:
	default:
	}
}

// isLeaving reports whether Leave was called.
func (e *Elector) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// release writes the next owner into a shard's record under the next term, and
// goes on until that is known to hold.
func (e *Elector) release(ctx context.Context, shard string, next shardRecord) error {
	term := e.heldTerm(shard)
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
		case <-time.After(handOverPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// heldTerm returns the term under which this process owns the shard, or 0.
func (e *Elector) heldTerm(shard string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held[shard]
}

// refresh reads a shard's record past the mirror.
func (e *Elector) refresh(ctx context.Context, shard string) {
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if entry, err := e.store.Get(short, shardPrefix+shard); err == nil {
		e.mirror.Merge(entry)
	}
}
