package claimer

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"filberthaven.example/keeper"
	"github.com/hashicorp/go-hclog"
)

// roster holds the decoded records of the VMs and of the owner. Each record is decoded
// once per change and not per use: every request looks up the owner, and every advice
// request looks up the registered VMs.
type roster struct {
	log hclog.Logger

	now func() time.Duration

	mu       sync.RWMutex         // guards the fields below
	departed map[string]departure // VMs whose record was removed, by id
	records  map[string]record    // of the VMs, by id
	members  []Member             // of records, sorted by id; replaced, never modified
	owner    record               // valid only if term is not 0
	term     uint64               // of the owner; 0 if there is none or its record is invalid
}

// departure is a VM whose record was removed at a time.
type departure struct {
	record record
	at     time.Duration
}

// departureMemory is how long a VM whose record was removed is taken into account by any.
// In an outage in which leases run out all records vanish, and those of running VMs return
// within seconds of its end.
const departureMemory = 20 * time.Second

func newRoster(log hclog.Logger, now func() time.Duration) *roster {
	return &roster{log: log, now: now, records: map[string]record{}, departed: map[string]departure{}}
}

// decode returns the record of an entry, or false if it was deleted or is invalid.
func (r *roster) decode(entry keeper.Entry) (record, bool) {
	var decoded record
	if entry.Deleted() {
		return decoded, false
	}
	if err := json.Unmarshal(entry.Value(), &decoded); err != nil {
		r.log.Warn("failed to decode VM record", "key", entry.Key(), "error", err)
		return decoded, false
	}
	return decoded, true
}

// applyVM applies a change of a VM's record. An invalid record, or one whose id does not
// match its key, counts as deleted.
func (r *roster) applyVM(entry keeper.Entry) {
	id := strings.TrimPrefix(entry.Key(), vmPrefix)
	decoded, ok := r.decode(entry)
	r.mu.Lock()
	defer r.mu.Unlock()
	index, known := slices.BinarySearchFunc(r.members, id, func(m Member, id string) int { return cmp.Compare(m.id, id) })
	members := slices.Clone(r.members)
	if known {
		members = slices.Delete(members, index, index+1)
		r.departed[id] = departure{r.records[id], r.now()}
		delete(r.records, id)
	}
	if ok && decoded.ID == id {
		members = slices.Insert(members, index, decoded.member())
		r.records[id] = decoded
		delete(r.departed, id)
	}
	r.members = members
}

// applyOwner applies a change of the owner's record.
func (r *roster) applyOwner(entry keeper.Entry) {
	decoded, ok := r.decode(entry)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner, r.term = decoded, 0
	if ok {
		r.term = entry.Version()
	}
}

// currentOwner returns the owner's record and its term, which is 0 if there is none.
func (r *roster) currentOwner() (record, uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.owner, r.term
}

// list returns the registered VMs, sorted by id. The caller must not modify it.
func (r *roster) list() []Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.members
}

// any reports whether match holds for the record of any VM that is registered or was
// within departureMemory.
func (r *roster) any(match func(record) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range r.records {
		if match(vm) {
			return true
		}
	}
	for id, left := range r.departed {
		if r.now()-left.at > departureMemory {
			delete(r.departed, id)
		} else if match(left.record) {
			return true
		}
	}
	return false
}
