package elector

import (
	"context"
	"maps"
	"time"
)

// sweep deletes the records of VMs of the data centre that went long without a
// renewal, so that replaced VMs don't pile up. The first of the live VMs does
// it. A VM that comes back writes its record anew.
func (e *Elector) sweep(ctx context.Context) {
	gone := e.gone()
	if e.Live()[0].id != e.vm.id {
		return
	}
	for _, entry := range e.mirror.List(vmPrefix) {
		id := entry.Key()[len(vmPrefix):]
		record, ok := decodeRecord[vmRecord](entry)
		if !ok || record.Centre != e.vm.centre || !gone[process{id, record.Incarnation}] {
			continue
		}
		short, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.store.Delete(short, entry.Key(), entry.Version())
		cancel()
		e.log.Info("record of a gone vm deleted", "vm", id, "err", err)
	}
}

// gone returns the processes without a renewal for long, in contact unbroken for
// as long, and forgets those whose record is gone as well.
func (e *Elector) gone() map[process]bool {
	gone := map[process]bool{}
	if e.mirror.ConnectedFor() < goneLimit {
		return gone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for p, seen := range e.seen {
		if time.Since(seen) >= goneLimit && p.id != e.vm.id {
			gone[p] = true
		}
	}
	maps.DeleteFunc(e.seen, func(p process, _ time.Time) bool {
		_, ok := e.mirror.Get(vmPrefix + p.id)
		return gone[p] && !ok
	})
	return gone
}
