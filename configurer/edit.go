package configurer

import (
	"errors"
	"fmt"
	"time"

	"filberthaven.example/loader"
)

// Reasons for refusing a change to a document that is valid by itself.
var (
	// ErrKeyWithdrawn means that a withdrawn key would become valid again.
	ErrKeyWithdrawn = errors.New("a withdrawn key stays withdrawn; grant a new one")
	// ErrShardsRemoved means that a data centre would have fewer shards. The removed shards
	// may hold jobs.
	ErrShardsRemoved = errors.New("shards can't be taken away")
	// ErrInService means that a data centre in service would be removed.
	ErrInService = errors.New("a data centre is drained before it is removed")
	// ErrLockedOut means that no operator's key would be left that doesn't expire.
	ErrLockedOut = errors.New("the last operator's key can't be taken away")
)

// validated indexes the exceptions of an edited document, and returns the document or its
// faults.
func (d *Document) validated() (*Document, error) {
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

// clone returns a shallow copy to edit. Both share their tables, which are replaced but
// never modified.
func (d *Document) clone() *Document {
	next := *d
	return &next
}

// withCentre returns the document with the data centre in that state.
func (d *Document) withCentre(name string, state State, reason string) (*Document, error) {
	centre, ok := d.centres.get(name)
	if !ok {
		return nil, loader.Errors{loader.NewError("centre", name, "", ErrReference)}
	}
	centre.state, centre.reason, centre.stateDeclared = state, reason, true
	if state == InService {
		centre.reason = ""
	}
	next := d.clone()
	next.centres = d.centres.with(name, centre)
	return next.validated()
}

// withVM returns the document with the VM out of service.
func (d *Document) withVM(id, reason string) (*Document, error) {
	if _, err := loader.Word(id); err != nil {
		return nil, loader.Errors{loader.NewError("vm", id, "", err)}
	}
	if reason == "" {
		return nil, loader.Errors{loader.NewError("vm", id, "reason", ErrReason)}
	}
	next := d.clone()
	next.vms = d.vms.with(id, VM{id: id, reason: reason})
	return next.validated()
}

// withoutVM returns the document with the VM in service.
func (d *Document) withoutVM(id string) (*Document, error) {
	if !d.vms.has(id) {
		return nil, loader.Errors{loader.NewError("vm", id, "", ErrReference)}
	}
	next := d.clone()
	next.vms = d.vms.without(id)
	return next.validated()
}

// withKey returns the document with the key added.
func (d *Document) withKey(key Key) (*Document, error) {
	if _, err := loader.Word(key.id); err != nil {
		return nil, loader.Errors{loader.NewError("key", key.id, "", err)}
	}
	if d.keys.has(key.id) {
		return nil, loader.Errors{loader.NewError("key", key.id, "", loader.ErrDuplicate)}
	}
	next := d.clone()
	next.keys = d.keys.with(key.id, key)
	return next.validated()
}

// withKeyExpiry returns the document in which the key expires at that time at the latest.
func (d *Document) withKeyExpiry(id string, expires time.Time) (*Document, error) {
	key, ok := d.keys.get(id)
	if !ok {
		return nil, loader.Errors{loader.NewError("key", id, "", ErrReference)}
	}
	if key.expires.IsZero() || expires.Before(key.expires) {
		key.expires = expires
	}
	next := d.clone()
	next.keys = d.keys.with(id, key)
	return next.validated()
}

// withKeyWithdrawn returns the document with the key withdrawn for the reason.
func (d *Document) withKeyWithdrawn(id, reason string) (*Document, error) {
	key, ok := d.keys.get(id)
	if !ok {
		return nil, loader.Errors{loader.NewError("key", id, "", ErrReference)}
	}
	key.withdrawn, key.note = true, reason
	next := d.clone()
	next.keys = d.keys.with(id, key)
	return next.validated()
}

// withException returns the document with the exception, which replaces any other of its
// scope and key.
func (d *Document) withException(e Exception) (*Document, error) {
	next := d.clone()
	for _, other := range d.byScope[e.scope] {
		if other.key == e.key {
			next.exceptions = next.exceptions.without(other.name)
		}
	}
	next.exceptions = next.exceptions.with(e.name, e)
	return next.validated()
}

// withoutException returns the document without the exception.
func (d *Document) withoutException(name string) (*Document, error) {
	if !d.exceptions.has(name) {
		return nil, loader.Errors{loader.NewError("exception", name, "", ErrReference)}
	}
	next := d.clone()
	next.exceptions = d.exceptions.without(name)
	return next.validated()
}

// withLiveState returns the document with what direct commands have set in the live
// document: the withdrawal of keys that d declares, VMs out of service, and the states of
// data centres unless d declares them. Otherwise applying older files would undo a drain.
func (d *Document) withLiveState(live *Document) *Document {
	next := d.clone()
	for centre := range d.centres.all() {
		current, ok := live.centres.get(centre.name)
		if ok && !centre.stateDeclared {
			centre.state, centre.reason = current.state, current.reason
			next.centres = next.centres.with(centre.name, centre)
		}
	}
	for vm := range live.vms.all() {
		if !next.vms.has(vm.id) {
			next.vms = next.vms.with(vm.id, vm)
		}
	}
	return next.withLiveWithdrawals(live)
}

// withLiveWithdrawals returns the document in which the live key replaces each key that is
// withdrawn only in the live document.
func (d *Document) withLiveWithdrawals(live *Document) *Document {
	next := d.clone()
	for key := range live.keys.all() {
		declared, ok := next.keys.get(key.id)
		if key.withdrawn && ok && !declared.withdrawn {
			next.keys = next.keys.with(key.id, key)
		}
	}
	return next
}

// checkChange returns the faults of replacing the document live by next, or nil.
func checkChange(live, next *Document) error {
	var faults loader.Errors
	addFault := func(kind, name, key string, err error) {
		faults = append(faults, loader.NewError(kind, name, key, err))
	}
	for key := range live.keys.all() {
		if changed, ok := next.keys.get(key.id); ok && key.withdrawn && !changed.withdrawn {
			addFault("key", key.id, "withdrawn", ErrKeyWithdrawn)
		}
	}
	for centre := range live.centres.all() {
		changed, ok := next.centres.get(centre.name)
		switch {
		case !ok && centre.state == InService:
			addFault("centre", centre.name, "", ErrInService)
		case ok && changed.shards < centre.shards:
			addFault("centre", centre.name, "shards", fmt.Errorf("%w: %d now", ErrShardsRemoved, centre.shards))
		}
	}
	if current := live.permanentOperatorKeys(); len(current) > 0 && len(next.permanentOperatorKeys()) == 0 {
		addFault("key", current[0], "", ErrLockedOut)
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// permanentOperatorKeys returns the ids of the operators' keys that aren't withdrawn and
// don't expire.
func (d *Document) permanentOperatorKeys() []string {
	var ids []string
	for key := range d.keys.all() {
		if key.role == Operator && !key.withdrawn && key.expires.IsZero() {
			ids = append(ids, key.id)
		}
	}
	return ids
}

// withoutStates returns the document without the states of data centres and VMs, so that
// withLiveState keeps those in force.
func (d *Document) withoutStates() *Document {
	next := d.clone()
	next.vms = newTable(map[string]VM{})
	for centre := range d.centres.all() {
		centre.state, centre.reason, centre.stateDeclared = InService, "", false
		next.centres = next.centres.with(centre.name, centre)
	}
	return next
}
