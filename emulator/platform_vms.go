package emulator

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// VM is the entry of one VM in the platform's list. Its fields are exported for encoding as
// JSON.
type VM struct {
	ID           string `json:"id"`
	Role         string `json:"role"` // entry, worker or endpoint
	Address      string `json:"address"`
	Centre       string `json:"centre"`
	Rack         string `json:"rack,omitempty"`
	CPU          int64  `json:"cpu,omitempty"`    // thousandths of a processor
	Memory       int64  `json:"memory,omitempty"` // MiB
	Accelerators int64  `json:"accelerators,omitempty"`
	Service      string `json:"service,omitempty"`
	Slots        int    `json:"slots,omitempty"`
	Connections  int    `json:"connections,omitempty"`
	State        string `json:"state"` // live, leaving or gone
	Incarnation  uint64 `json:"incarnation"`
}

// vmsMessage is the response to a request for the list.
type vmsMessage struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// vmList is a list of VMs in which changes become visible only after a lag.
type vmList struct {
	mu       sync.Mutex
	lag      time.Duration
	revision uint64
	vms      map[string]listedVM // the visible entries by id
	pending  []pendingVM         // changes not yet visible, in order of time
}

// listedVM is a VM with the revision of its last change.
type listedVM struct {
	vm       VM
	revision uint64
}

// pendingVM is a change that becomes visible at due.
type pendingVM struct {
	vm  VM
	due time.Time
}

// set queues a change, which becomes visible after the lag.
func (l *vmList) set(vm VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingVM{vm, time.Now().Add(l.lag)})
}

// changedSince returns the VMs changed after a revision, sorted by id, and the current
// revision.
func (l *vmList) changedSince(revision uint64) ([]VM, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue(time.Now())
	vms := []VM{}
	for _, listed := range l.vms {
		if listed.revision > revision {
			vms = append(vms, listed.vm)
		}
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	return vms, l.revision
}

// applyDue makes the due changes visible.
func (l *vmList) applyDue(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].due.After(now) {
		l.revision++
		l.vms[l.pending[0].vm.ID] = listedVM{l.pending[0].vm, l.revision}
		l.pending = l.pending[1:]
	}
}

func (p *Platform) getVMs(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "after is no revision", http.StatusBadRequest)
			return
		}
		after = parsed
	}
	vms, revision := p.vms.changedSince(after)
	writeResponse(w, vmsMessage{Revision: revision, VMs: vms}, nil)
}

func (p *Platform) setVM(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if !decodeBody(w, r, &vm) {
		return
	}
	p.SetVM(vm)
	writeResponse(w, struct{}{}, nil)
}
