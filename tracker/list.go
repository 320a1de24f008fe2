package tracker

import (
	"cmp"
	"slices"
	"sync"
)

// list is the copy of the platform's list.
type list struct {
	mu       sync.RWMutex
	vms      map[string]VM // by id; VMs that are gone stay, with their incarnation
	revision uint64        // of the platform; never falls within one platform
}

// newList returns an empty list.
func newList() *list { return &list{vms: map[string]VM{}} }

// apply takes over changes and returns the VMs that changed. An older
// incarnation never replaces a newer one, and a VM that has gone returns only
// with a newer incarnation.
func (l *list) apply(changes []VM, revision uint64) []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = revision
	var changed []VM
	for _, vm := range changes {
		known, ok := l.vms[vm.id]
		if ok && (known == vm || vm.isOlderThan(known)) {
			continue
		}
		l.vms[vm.id] = vm
		changed = append(changed, vm)
	}
	return changed
}

// isOlderThan reports whether the entry must not replace known.
func (v VM) isOlderThan(known VM) bool {
	if v.incarnation != known.incarnation {
		return v.incarnation < known.incarnation
	}
	return known.presence == Gone
}

// after returns the revision to go on from.
func (l *list) after() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision
}

// get returns a VM.
func (l *list) get(id string) (VM, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	vm, ok := l.vms[id]
	return vm, ok
}

// filter returns the VMs that keep accepts, by id.
func (l *list) filter(keep func(VM) bool) []VM {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var kept []VM
	for _, vm := range l.vms {
		if keep(vm) {
			kept = append(kept, vm)
		}
	}
	slices.SortFunc(kept, func(a, b VM) int { return cmp.Compare(a.id, b.id) })
	return kept
}
