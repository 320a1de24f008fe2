package claimer

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"filberthaven.example/keeper"
	"github.com/hashicorp/go-hclog"
)

// roster holds the records of the VMs and of the owner, read once for each change:
// every request asks who owns the fleet, and every call for advice who is there.
type roster struct {
	log hclog.Logger

	mu      sync.RWMutex
	records map[string]record // of the VMs, by id
	members []Member          // the same by id; replaced, never changed
	owner   record            // of no meaning while term is 0
	term    uint64            // of the owner, 0 when there is none or its record can't be read
}

func newRoster(log hclog.Logger) *roster {
	return &roster{log: log, records: map[string]record{}}
}

// read decodes a record. One that can't be read names nobody.
func (r *roster) read(entry keeper.Entry) (record, bool) {
	var decoded record
	if entry.Deleted() {
		return decoded, false
	}
	if err := json.Unmarshal(entry.Value(), &decoded); err != nil {
		r.log.Warn("record of a VM can't be read", "key", entry.Key(), "error", err)
		return decoded, false
	}
	return decoded, true
}

// changeVM takes over a change of a VM's record.
func (r *roster) changeVM(entry keeper.Entry) {
	id := strings.TrimPrefix(entry.Key(), vmPrefix)
	decoded, ok := r.read(entry)
	r.mu.Lock()
	defer r.mu.Unlock()
	place, known := slices.BinarySearchFunc(r.members, id, func(m Member, id string) int { return cmp.Compare(m.id, id) })
	members := slices.Clone(r.members)
	if known {
		members = slices.Delete(members, place, place+1)
		delete(r.records, id)
	}
	if ok && decoded.ID == id {
		members = slices.Insert(members, place, decoded.member())
		r.records[id] = decoded
	}
	r.members = members
}

// changeOwner takes over a change of the owner's record.
func (r *roster) changeOwner(entry keeper.Entry) {
	decoded, ok := r.read(entry)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner, r.term = decoded, 0
	if ok {
		r.term = entry.Version()
	}
}

// current returns the owner's record and its term, 0 when there is none.
func (r *roster) current() (record, uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.owner, r.term
}

// list returns the registered VMs by id; it is not to be changed.
func (r *roster) list() []Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.members
}

// any reports whether a record meets the condition.
func (r *roster) any(meets func(record) bool) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, each := range r.records {
		if meets(each) {
			return true
		}
	}
	return false
}
