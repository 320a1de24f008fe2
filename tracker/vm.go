package tracker

import (
	"errors"
	"fmt"

	"filberthaven.example/placer"
)

// Role is what a VM is for.
type Role string

// The roles.
const (
	// EntryRole runs the system's own processes.
	EntryRole Role = "entry"
	// WorkerRole runs tasks.
	WorkerRole Role = "worker"
	// EndpointRole runs an executor of a service.
	EndpointRole Role = "endpoint"
)

// VMState is what the platform says of a VM.
type VMState string

// The presences.
const (
	// Live means that the VM runs and stays.
	Live VMState = "live"
	// Leaving means that the VM is about to go and gets no new work.
	Leaving VMState = "leaving"
	// Gone means that the VM does not exist any more.
	Gone VMState = "gone"
)

// ErrBadVM means that the platform's list holds an entry that makes no sense.
var ErrBadVM = errors.New("bad entry in the list of VMs")

// VM is one entry of the platform's list.
type VM struct {
	id          string // never empty
	role        Role
	address     string // host:port, empty when gone
	centre      string // data centre
	rack        string
	size        placer.Resources // never negative
	service     string           // of an endpoint
	slots       int              // requests at once of an endpoint
	connections int              // connections at once of an endpoint
	presence    VMState
	incarnation uint64 // rises when the VM is started again
}

// ID returns the name of the VM.
func (v VM) ID() string { return v.id }

// Role returns what the VM is for.
func (v VM) Role() Role { return v.role }

// Address returns host:port.
func (v VM) Address() string { return v.address }

// Centre returns the data centre.
func (v VM) Centre() string { return v.centre }

// Rack returns the rack.
func (v VM) Rack() string { return v.rack }

// Size returns what the VM offers in all.
func (v VM) Size() placer.Resources { return v.size }

// Service returns the service of an endpoint.
func (v VM) Service() string { return v.service }

// Slots returns how many requests an endpoint takes at once.
func (v VM) Slots() int { return v.slots }

// Connections returns how many connections an endpoint takes at once.
func (v VM) Connections() int { return v.connections }

// State returns what the platform says of the VM.
func (v VM) State() VMState { return v.presence }

// Incarnation returns the number of the VM's current start.
func (v VM) Incarnation() uint64 { return v.incarnation }

// vmRecord is a VM in the platform's answer.
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

// vm returns the entry, or ErrBadVM.
func (r vmRecord) vm() (VM, error) {
	size := placer.NewResources(r.CPU, r.Memory, r.Accelerators)
	switch {
	case r.ID == "":
		return VM{}, fmt.Errorf("%w: no id", ErrBadVM)
	case r.State != Live && r.State != Leaving && r.State != Gone:
		return VM{}, fmt.Errorf("%w: %s has state %q", ErrBadVM, r.ID, r.State)
	case !size.IsValid() || r.Slots < 0 || r.Connections < 0:
		return VM{}, fmt.Errorf("%w: %s has a negative size", ErrBadVM, r.ID)
	}
	return VM{
		id: r.ID, role: r.Role, address: r.Address, centre: r.Centre, rack: r.Rack, size: size,
		service: r.Service, slots: r.Slots, connections: r.Connections,
		presence: r.State, incarnation: r.Incarnation,
	}, nil
}
