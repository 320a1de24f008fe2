package planner

import (
	"cmp"
	"slices"
)

// freeIndex keeps the workers sorted by free CPU, those with the most first and those
// with as much by id. Sorting costs as much as has changed, besides one comparison for
// each worker. The zero value is an empty index.
type freeIndex struct {
	entries  []freeEntry // in order, as of the last sort
	added    []*worker   // not in entries yet
	decision uint64      // in which entries were sorted
	workers  []*worker   // of entries
}

// freeEntry is a worker with the free CPU by which it was sorted.
type freeEntry struct {
	worker *worker
	cpu    int64 // thousandths of a processor
}

func (e freeEntry) compare(o freeEntry) int {
	return cmp.Or(cmp.Compare(o.cpu, e.cpu), cmp.Compare(e.worker.reg.ID, o.worker.reg.ID))
}

// add adds a worker, which must not be in the index.
func (x *freeIndex) add(w *worker) { x.added = append(x.added, w) }

// remove removes the workers for which match holds.
func (x *freeIndex) remove(match func(*worker) bool) {
	x.added = slices.DeleteFunc(x.added, match)
	x.entries = slices.DeleteFunc(x.entries, func(e freeEntry) bool { return match(e.worker) })
}

// sorted returns the workers in order of their free CPU. It sorts them at the first
// call in each decision. The caller must not modify the result.
func (x *freeIndex) sorted(decision uint64) []*worker {
	if x.decision == decision && len(x.added) == 0 {
		return x.workers
	}
	x.decision = decision
	var moved []freeEntry
	kept := x.entries[:0]
	for _, e := range x.entries {
		if cpu := e.worker.free().CPU(); cpu != e.cpu {
			moved = append(moved, freeEntry{e.worker, cpu})
		} else {
			kept = append(kept, e)
		}
	}
	for _, w := range x.added {
		moved = append(moved, freeEntry{w, w.free().CPU()})
	}
	x.added = nil
	slices.SortFunc(moved, freeEntry.compare)
	x.entries = mergeEntries(kept, moved)
	x.workers = x.workers[:0]
	for _, e := range x.entries {
		x.workers = append(x.workers, e.worker)
	}
	return x.workers
}

// mergeEntries merges two sorted lists into the space of the first.
func mergeEntries(a, b []freeEntry) []freeEntry {
	i, j := len(a)-1, len(b)-1
	a = append(a, b...)
	for k := len(a) - 1; j >= 0; k-- {
		if i >= 0 && a[i].compare(b[j]) > 0 {
			a[k] = a[i]
			i--
		} else {
			a[k] = b[j]
			j--
		}
	}
	return a
}
