package tracker

import (
	"cmp"
	"slices"
	"sync"
)

// list is a copy of the platform's list of VMs.
type list struct {
	mu       sync.RWMutex
	vms      map[string]VM     // by id; includes VMs that are gone, for their incarnation
	groups   map[groupKey][]VM // the VMs that are not gone, sorted by id
	revision uint64            // of the platform's last response; the same platform never lowers it
}

// groupKey identifies the VMs of one role in one data centre.
type groupKey struct {
	role   Role
	centre string
}

// newList returns an empty list.
func newList() *list { return &list{vms: map[string]VM{}, groups: map[groupKey][]VM{}} }

// apply updates the list and returns the VMs that changed. An older incarnation
// never replaces a newer one, and a VM that is gone returns only with a newer
// incarnation.
func (l *list) apply(changes []VM, revision uint64) []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = revision
	var changed []VM
	for _, vm := range changes {
		known, ok := l.vms[vm.id]
		if ok && (known == vm || vm.isOutdatedBy(known)) {
			continue
		}
		l.put(known, vm)
		changed = append(changed, vm)
	}
	return changed
}

// put replaces the entry of a VM; previous is the zero VM if there is none. The
// caller holds the lock.
func (l *list) put(previous, vm VM) {
	l.vms[vm.id] = vm
	oldKey := groupKey{previous.role, previous.centre}
	if i, ok := l.find(oldKey, vm.id); ok {
		l.groups[oldKey] = slices.Delete(l.groups[oldKey], i, i+1)
	}
	if vm.state == Gone {
		return
	}
	newKey := groupKey{vm.role, vm.centre}
	i, _ := l.find(newKey, vm.id)
	l.groups[newKey] = slices.Insert(l.groups[newKey], i, vm)
}

// find returns the index at which a VM is in its group, or would be inserted, and
// whether it is there. The caller holds the lock.
func (l *list) find(key groupKey, id string) (int, bool) {
	return slices.BinarySearchFunc(l.groups[key], id, func(vm VM, id string) int { return cmp.Compare(vm.id, id) })
}

// isOutdatedBy reports whether the entry must not replace known: its incarnation is
// older, or known is gone and has the same incarnation.
func (v VM) isOutdatedBy(known VM) bool {
	if v.incarnation != known.incarnation {
		return v.incarnation < known.incarnation
	}
	return known.state == Gone
}

// lastRevision returns the revision of the platform's last response, after which
// to request changes.
func (l *list) lastRevision() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision
}

func (l *list) get(id string) (VM, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	vm, ok := l.vms[id]
	return vm, ok
}

// filter returns the VMs of a role in a data centre that are not gone and for which
// match returns true, sorted by id. An empty data centre means all.
func (l *list) filter(role Role, centre string, match func(VM) bool) []VM {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if centre != "" {
		return appendMatching(nil, l.groups[groupKey{role, centre}], match)
	}
	var matched []VM
	for key, vms := range l.groups {
		if key.role == role {
			matched = appendMatching(matched, vms, match)
		}
	}
	slices.SortFunc(matched, func(a, b VM) int { return cmp.Compare(a.id, b.id) })
	return matched
}

// appendMatching appends the vms for which match returns true to matched.
func appendMatching(matched, vms []VM, match func(VM) bool) []VM {
	matched = slices.Grow(matched, len(vms))
	for _, vm := range vms {
		if match(vm) {
			matched = append(matched, vm)
		}
	}
	return matched
}
