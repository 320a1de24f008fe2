package configurer

import (
	"errors"
	"fmt"
	"time"

	"filberthaven.example/loader"
)

// Reasons why a change is refused although the document as such is right.
var (
	// ErrKeyWithdrawn means that a withdrawn key would be valid again.
	ErrKeyWithdrawn = errors.New("a withdrawn key stays withdrawn; grant a new one")
	// ErrShardsRemoved means that shards with jobs would go.
	ErrShardsRemoved = errors.New("shards can't be taken away")
	// ErrInService means that a data centre would go that takes work.
	ErrInService = errors.New("a data centre is drained before it is removed")
	// ErrLockedOut means that no operator's key would be left.
	ErrLockedOut = errors.New("the last operator's key can't be taken away")
)

// edited indexes and checks a changed document.
func (d *Document) edited() (*Document, error) {
	d.indexExceptions()
	var faults loader.Errors
	for _, fault := range d.check() {
		faults = append(faults, loader.NewError(fault.kind, fault.name, fault.key, fault.err))
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return d, nil
}

// clone returns a copy to be changed; tables are replaced, never written.
func (d *Document) clone() *Document {
	next := *d
	return &next
}

// withCentre returns the document with a data centre in that state.
func (d *Document) withCentre(name string, state State, reason string) (*Document, error) {
	centre, known := d.centres.get(name)
	if !known {
		return nil, loader.Errors{loader.NewError("centre", name, "", ErrReference)}
	}
	centre.state, centre.reason, centre.stated = state, reason, true
	if state == In {
		centre.reason = ""
	}
	next := d.clone()
	next.centres = d.centres.with(name, centre)
	return next.edited()
}

// withVM returns the document with a VM out of service.
func (d *Document) withVM(id, reason string) (*Document, error) {
	if _, err := loader.Word(id); err != nil {
		return nil, loader.Errors{loader.NewError("vm", id, "", err)}
	}
	if reason == "" {
		return nil, loader.Errors{loader.NewError("vm", id, "reason", ErrReason)}
	}
	next := d.clone()
	next.vms = d.vms.with(id, VM{id: id, reason: reason})
	return next.edited()
}

// withoutVM returns the document with a VM in service.
func (d *Document) withoutVM(id string) (*Document, error) {
	if !d.vms.has(id) {
		return nil, loader.Errors{loader.NewError("vm", id, "", ErrReference)}
	}
	next := d.clone()
	next.vms = d.vms.without(id)
	return next.edited()
}

// withKey returns the document with one more key.
func (d *Document) withKey(key Key) (*Document, error) {
	if _, err := loader.Word(key.id); err != nil {
		return nil, loader.Errors{loader.NewError("key", key.id, "", err)}
	}
	if d.keys.has(key.id) {
		return nil, loader.Errors{loader.NewError("key", key.id, "", loader.ErrDuplicate)}
	}
	next := d.clone()
	next.keys = d.keys.with(key.id, key)
	return next.edited()
}

// withExpiry returns the document in which a key lapses at that time at the latest.
func (d *Document) withExpiry(id string, expires time.Time) (*Document, error) {
	key, known := d.keys.get(id)
	if !known {
		return nil, loader.Errors{loader.NewError("key", id, "", ErrReference)}
	}
	if key.expires.IsZero() || expires.Before(key.expires) {
		key.expires = expires
	}
	next := d.clone()
	next.keys = d.keys.with(id, key)
	return next.edited()
}

// withoutAccess returns the document with a key withdrawn.
func (d *Document) withoutAccess(id, reason string) (*Document, error) {
	key, known := d.keys.get(id)
	if !known {
		return nil, loader.Errors{loader.NewError("key", id, "", ErrReference)}
	}
	key.withdrawn, key.note = true, reason
	next := d.clone()
	next.keys = d.keys.with(id, key)
	return next.edited()
}

// withException returns the document with the exception in place of any other of
// its scope and key.
func (d *Document) withException(e Exception) (*Document, error) {
	next := d.clone()
	for _, other := range d.byScope[e.scope] {
		if other.key == e.key {
			next.exceptions = next.exceptions.without(other.name)
		}
	}
	next.exceptions = next.exceptions.with(e.name, e)
	return next.edited()
}

// withoutException returns the document without an exception.
func (d *Document) withoutException(name string) (*Document, error) {
	if !d.exceptions.has(name) {
		return nil, loader.Errors{loader.NewError("exception", name, "", ErrReference)}
	}
	next := d.clone()
	next.exceptions = d.exceptions.without(name)
	return next.edited()
}

// keepStates returns the document with what direct commands set in the live one:
// withdrawn keys, VMs out of service, and the states of data centres unless the
// document states them. Otherwise a change planned from older files would undo a drain.
func (d *Document) keepStates(live *Document) *Document {
	next := d.clone()
	for centre := range d.centres.all() {
		known, ok := live.centres.get(centre.name)
		if ok && !centre.stated {
			centre.state, centre.reason = known.state, known.reason
			next.centres = next.centres.with(centre.name, centre)
		}
	}
	for vm := range live.vms.all() {
		if !next.vms.has(vm.id) {
			next.vms = next.vms.with(vm.id, vm)
		}
	}
	return next.keepWithdrawn(live)
}

// keepWithdrawn returns the document in which the live one's withdrawn keys are withdrawn.
func (d *Document) keepWithdrawn(live *Document) *Document {
	next := d.clone()
	for key := range live.keys.all() {
		known, ok := next.keys.get(key.id)
		if key.withdrawn && ok && !known.withdrawn {
			next.keys = next.keys.with(key.id, key)
		}
	}
	return next
}

// checkChange returns the faults of replacing live by next.
func checkChange(live, next *Document) error {
	var faults loader.Errors
	refuse := func(kind, name, key string, err error) {
		faults = append(faults, loader.NewError(kind, name, key, err))
	}
	for key := range live.keys.all() {
		if now, ok := next.keys.get(key.id); ok && key.withdrawn && !now.withdrawn {
			refuse("key", key.id, "withdrawn", ErrKeyWithdrawn)
		}
	}
	for centre := range live.centres.all() {
		now, ok := next.centres.get(centre.name)
		switch {
		case !ok && centre.state == In:
			refuse("centre", centre.name, "", ErrInService)
		case ok && now.shards < centre.shards:
			refuse("centre", centre.name, "shards", fmt.Errorf("%w: %d now", ErrShardsRemoved, centre.shards))
		}
	}
	if last := live.operators(); len(last) > 0 && len(next.operators()) == 0 {
		refuse("key", last[0], "", ErrLockedOut)
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// operators returns the ids of the operators' keys that aren't withdrawn and don't lapse.
func (d *Document) operators() []string {
	var ids []string
	for key := range d.keys.all() {
		if key.role == Operator && !key.withdrawn && key.expires.IsZero() {
			ids = append(ids, key.id)
		}
	}
	return ids
}

// unstated returns the document without states of data centres and VMs, so that
// those in force are kept.
func (d *Document) unstated() *Document {
	next := d.clone()
	next.vms = newTable(map[string]VM{})
	for centre := range d.centres.all() {
		centre.state, centre.reason, centre.stated = In, "", false
		next.centres = next.centres.with(centre.name, centre)
	}
	return next
}
