package elector

import (
	"encoding/json"

	"filberthaven.example/keeper"
)

const (
	// vmPrefix is the prefix of the records of entry VMs.
	vmPrefix = "live/vm/"
	// shardPrefix is the prefix of the records of shards.
	shardPrefix = "live/shard/"
)

// VM is an entry VM as it registers itself.
type VM struct {
	id          string
	incarnation uint64 // unlike that of any earlier process of this VM, and larger
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

// Incarnation tells one process of the VM from the others.
func (v VM) Incarnation() uint64 { return v.incarnation }

// Address returns host:port.
func (v VM) Address() string { return v.address }

// Centre returns the data centre.
func (v VM) Centre() string { return v.centre }

// Owner says who owns a shard.
type Owner struct {
	id          string // empty when nobody does
	incarnation uint64
	address     string
	term        uint64 // only rises
}

// ID returns the identifier of the owning VM.
func (o Owner) ID() string { return o.id }

// Incarnation tells the owning process from others of the VM.
func (o Owner) Incarnation() uint64 { return o.incarnation }

// Address returns host:port.
func (o Owner) Address() string { return o.address }

// Term returns the term of the ownership.
func (o Owner) Term() uint64 { return o.term }

// vmRecord is the value of a VM's key.
type vmRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Centre      string `json:"centre"`
	Count       uint64 `json:"count"`             // renewals by this incarnation
	Leaving     bool   `json:"leaving,omitempty"` // takes no shard any more
}

// shardRecord is the value of a shard's key.
type shardRecord struct {
	Owner       string `json:"owner"` // empty after a resignation
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Term        uint64 `json:"term"`
}

// owner returns the record's owner.
func (r shardRecord) owner() Owner {
	return Owner{id: r.Owner, incarnation: r.Incarnation, address: r.Address, term: r.Term}
}

// owns reports whether the record names the process.
func (r shardRecord) owns(vm VM) bool { return r.Owner == vm.id && r.Incarnation == vm.incarnation }

// decodeRecord reads a record; one that can't be read counts as none.
func decodeRecord[T any](entry keeper.Entry) (T, bool) {
	var record T
	err := json.Unmarshal(entry.Value(), &record)
	return record, err == nil
}
