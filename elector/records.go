package elector

import (
	"encoding/json"

	"filberthaven.example/keeper"
)

const (
	// vmPrefix is the key prefix of the records of entry VMs.
	vmPrefix = "live/vm/"
	// shardPrefix is the key prefix of the records of shards.
	shardPrefix = "live/shard/"
)

// VM identifies one process of an entry VM.
type VM struct {
	id          string
	incarnation uint64 // larger than that of any earlier process of the VM
	address     string // host:port
	centre      string // data centre
}

// NewVM returns an entry VM. The incarnation must be larger than that of any
// earlier process of the VM.
func NewVM(id string, incarnation uint64, address, centre string) VM {
	return VM{id: id, incarnation: incarnation, address: address, centre: centre}
}

// ID returns the identifier of the VM.
func (v VM) ID() string { return v.id }

// Incarnation returns the number that tells this process of the VM from earlier
// ones.
func (v VM) Incarnation() uint64 { return v.incarnation }

// Address returns the address as host:port.
func (v VM) Address() string { return v.address }

// Centre returns the data centre.
func (v VM) Centre() string { return v.centre }

// Owner identifies the process that owns a shard.
type Owner struct {
	id          string // empty if the shard has no owner
	incarnation uint64
	address     string
	term        uint64 // only rises
}

// ID returns the identifier of the owning VM.
func (o Owner) ID() string { return o.id }

// Incarnation returns the number that tells the owning process from others of
// the VM.
func (o Owner) Incarnation() uint64 { return o.incarnation }

// Address returns the owner's address as host:port.
func (o Owner) Address() string { return o.address }

// Term returns the term of the ownership.
func (o Owner) Term() uint64 { return o.term }

// vmRecord is the stored record of a VM.
type vmRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Centre      string `json:"centre"`
	Count       uint64 `json:"count"`             // renewals that this incarnation has attempted
	Leaving     bool   `json:"leaving,omitempty"` // acquires no more shards
}

// shardRecord is the stored record of a shard.
type shardRecord struct {
	Owner       string `json:"owner"` // empty after a resignation without a successor
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Term        uint64 `json:"term"`
}

func (r shardRecord) owner() Owner {
	return Owner{id: r.Owner, incarnation: r.Incarnation, address: r.Address, term: r.Term}
}

// owns reports whether the record names the process as the owner.
func (r shardRecord) owns(vm VM) bool { return r.Owner == vm.id && r.Incarnation == vm.incarnation }

// decodeRecord decodes a record, and reports false if it can't be decoded.
func decodeRecord[T any](entry keeper.Entry) (T, bool) {
	var record T
	err := json.Unmarshal(entry.Value(), &record)
	return record, err == nil
}
