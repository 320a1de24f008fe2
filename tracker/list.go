package tracker

import (
	"cmp"
	"slices"
	"sync"
)

// list is the copy of the platform's list.
type list struct {
	mu       sync.RWMutex
	vms      map[string]VM  // by id; VMs that are gone stay, with their incarnation
	present  map[place][]VM // those of vms that are not gone, by place and sorted by id
	revision uint64         // of the platform; never falls within one platform
}

// place is where VMs of one kind are.
type place struct {
	role   Role
	centre string
}

// newList returns an empty list.
func newList() *list { return &list{vms: map[string]VM{}, present: map[place][]VM{}} }

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
		l.put(known, vm)
		changed = append(changed, vm)
	}
	return changed
}

// put replaces what is known of a VM. The lock is held.
func (l *list) put(known, vm VM) {
	l.vms[vm.id] = vm
	before := place{known.role, known.centre}
	if i, ok := l.find(before, vm.id); ok {
		l.present[before] = slices.Delete(l.present[before], i, i+1)
	}
	if vm.presence == Gone {
		return
	}
	at := place{vm.role, vm.centre}
	i, _ := l.find(at, vm.id)
	l.present[at] = slices.Insert(l.present[at], i, vm)
}

// find returns where a VM is in its place, or would be. The lock is held.
func (l *list) find(at place, id string) (int, bool) {
	return slices.BinarySearchFunc(l.present[at], id, func(vm VM, id string) int { return cmp.Compare(vm.id, id) })
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

// filter returns the VMs of a role in a data centre (empty: all) that are not
// gone and that keep accepts, by id.
func (l *list) filter(role Role, centre string, keep func(VM) bool) []VM {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if centre != "" {
		return keepOf(nil, l.present[place{role, centre}], keep)
	}
	var kept []VM
	for at, vms := range l.present {
		if at.role == role {
			kept = keepOf(kept, vms, keep)
		}
	}
	slices.SortFunc(kept, func(a, b VM) int { return cmp.Compare(a.id, b.id) })
	return kept
}

// keepOf appends the VMs that keep accepts.
func keepOf(kept, vms []VM, keep func(VM) bool) []VM {
	kept = slices.Grow(kept, len(vms))
	for _, vm := range vms {
		if keep(vm) {
			kept = append(kept, vm)
		}
	}
	return kept
}
