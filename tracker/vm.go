package tracker

import (
	"errors"
	"fmt"

	"filberthaven.example/placer"
)

// Role is the purpose of a VM.
type Role string

// The roles.
const (
	// EntryRole is the role of VMs that run the system's own processes.
	EntryRole Role = "entry"
	// WorkerRole is the role of VMs that run tasks.
	WorkerRole Role = "worker"
	// EndpointRole is the role of VMs that run an executor of a service.
	EndpointRole Role = "endpoint"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	// Live means that the VM runs and is not about to be removed.
	Live VMState = "live"
	// Leaving means that the VM is about to be removed and gets no new work.
	Leaving VMState = "leaving"
	// Gone means that the VM no longer exists.
	Gone VMState = "gone"
)

// ErrBadVM means that the platform's list contains an invalid entry.
var ErrBadVM = errors.New("bad entry in the list of VMs")

// VM is one entry of the platform's list.
type VM struct {
	id          string // never empty
	role        Role
	address     string // host:port; may be empty if gone
	centre      string
	rack        string
	size        placer.Resources // what one VM can have
	service     string           // endpoints only
	slots       int              // concurrent requests; endpoints only
	connections int              // concurrent connections; endpoints only
	state       VMState
	incarnation uint64 // increases when the VM is started again
}

// ID returns the id of the VM.
func (v VM) ID() string { return v.id }

// Role returns the purpose of the VM.
func (v VM) Role() Role { return v.role }

// Address returns the host:port of the VM.
func (v VM) Address() string { return v.address }

// Centre returns the data centre of the VM.
func (v VM) Centre() string { return v.centre }

// Rack returns the rack of the VM.
func (v VM) Rack() string { return v.rack }

// Size returns the total resources of the VM.
func (v VM) Size() placer.Resources { return v.size }

// Service returns the service of an endpoint.
func (v VM) Service() string { return v.service }

// Slots returns the number of concurrent requests that an endpoint accepts.
func (v VM) Slots() int { return v.slots }

// Connections returns the number of concurrent connections that an endpoint
// accepts.
func (v VM) Connections() int { return v.connections }

// State returns the state of the VM in the platform's list.
func (v VM) State() VMState { return v.state }

// Incarnation returns the number of the VM's current start.
func (v VM) Incarnation() uint64 { return v.incarnation }

// vmRecord is a VM in the platform's response.
type vmRecord struct {
	ID           string  `json:"id"`
	Role         Role    `json:"role"`
	Address      string  `json:"address"`
	Centre       string  `json:"centre"`
	Rack         string  `json:"rack"`
	CPU          int64   `json:"cpu"`    // thousandths of a processor
	Memory       int64   `json:"memory"` // MiB
	Accelerators int64   `json:"accelerators"`
	Service      string  `json:"service"`
	Slots        int     `json:"slots"`
	Connections  int     `json:"connections"`
	State        VMState `json:"state"`
	Incarnation  uint64  `json:"incarnation"`
}

// vm returns the VM of the record. It returns ErrBadVM for an invalid record.
func (r vmRecord) vm() (VM, error) {
	size := placer.NewResources(r.CPU, r.Memory, r.Accelerators)
	switch {
	case r.ID == "":
		return VM{}, fmt.Errorf("%w: no id", ErrBadVM)
	case r.State != Live && r.State != Leaving && r.State != Gone:
		return VM{}, fmt.Errorf("%w: %s has state %q", ErrBadVM, r.ID, r.State)
	case !size.FitsVM() || r.Slots < 0 || r.Connections < 0:
		return VM{}, fmt.Errorf("%w: %s has the size %v, %d slots and %d connections", ErrBadVM, r.ID, size, r.Slots, r.Connections)
	}
	return VM{
		id: r.ID, role: r.Role, address: r.Address, centre: r.Centre, rack: r.Rack, size: size,
		service: r.Service, slots: r.Slots, connections: r.Connections,
		state: r.State, incarnation: r.Incarnation,
	}, nil
}
