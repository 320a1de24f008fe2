package router

import "time"

// abandonLinger is how long a slot stays taken after a request was cut off, so
// that the executor has noticed before another request takes its place.
const abandonLinger = 250 * time.Millisecond

// Slot is the right to have one request in flight at an executor.
type Slot struct {
	executor    string // id of the VM
	address     string // host:port
	connections int    // connections that this process may hold to it; at least 1
	release     func() // to be called once
}

// NewSlot returns a slot of the executor at address (host:port), to which this
// process may hold that many connections. Release gives it back.
func NewSlot(executor, address string, connections int, release func()) Slot {
	return Slot{executor: executor, address: address, connections: max(connections, 1), release: release}
}

// Executor returns the id of the VM.
func (s Slot) Executor() string { return s.executor }

// Address returns host:port.
func (s Slot) Address() string { return s.address }

// Connections returns how many connections this process may hold.
func (s Slot) Connections() int { return s.connections }

// free gives the slot back, later if the request was cut off.
func (s Slot) free(abandoned bool) {
	if abandoned {
		time.AfterFunc(abandonLinger, s.release)
		return
	}
	s.release()
}
