package elector

import (
	"context"
	"maps"
	"time"
)

// sweep deletes the records of VMs of the data centre that have not renewed for
// staleAfter, so that the records of replaced VMs don't pile up. Only the live
// VM with the lowest id deletes them. A VM that comes back writes its record
// again.
func (e *Elector) sweep(ctx context.Context) {
	stale := e.staleProcesses()
	if e.Live()[0].id != e.vm.id {
		return
	}
	for _, entry := range e.mirror.List(vmPrefix) {
		id := entry.Key()[len(vmPrefix):]
		record, ok := decodeRecord[vmRecord](entry)
		if !ok || record.Centre != e.vm.centre || !stale[process{id, record.Incarnation}] {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.store.Delete(callCtx, entry.Key(), entry.Version())
		cancel()
		e.log.Info("deleting record of stale vm", "vm", id, "err", err)
	}
}

// staleProcesses returns the processes of other VMs that have not renewed for
// staleAfter. It returns none unless the store has been connected for as long. It
// also removes stale processes without a record from lastRenewal.
func (e *Elector) staleProcesses() map[process]bool {
	stale := map[process]bool{}
	if e.mirror.ConnectedFor() < staleAfter {
		return stale
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for p, renewed := range e.lastRenewal {
		if time.Since(renewed) >= staleAfter && p.id != e.vm.id {
			stale[p] = true
		}
	}
	maps.DeleteFunc(e.lastRenewal, func(p process, _ time.Time) bool {
		_, ok := e.mirror.Get(vmPrefix + p.id)
		return stale[p] && !ok
	})
	return stale
}
