package router

import "time"

// abortReleaseDelay is how long a slot stays taken after an aborted request. The
// executor needs this time to notice the abort; until then another request in the slot
// would exceed the executor's slots.
const abortReleaseDelay = 250 * time.Millisecond

// Slot grants the right to have one request in flight at an executor.
type Slot struct {
	executor    string // id of the executor's VM
	address     string // host:port
	connections int    // how many connections this process may open to it; at least 1
	release     func() // called exactly once
}

// NewSlot returns a slot of the executor at address (host:port). connections is how many
// connections this process may open to the executor; values below 1 count as 1. release
// is called once, when the slot is given back.
func NewSlot(executor, address string, connections int, release func()) Slot {
	return Slot{executor: executor, address: address, connections: max(connections, 1), release: release}
}

// Executor returns the id of the executor's VM.
func (s Slot) Executor() string { return s.executor }

// Address returns the executor's address as host:port.
func (s Slot) Address() string { return s.address }

// Connections returns how many connections this process may open to the executor.
func (s Slot) Connections() int { return s.connections }

// free gives the slot back, after abortReleaseDelay if the request was aborted.
func (s Slot) free(aborted bool) {
	if aborted {
		time.AfterFunc(abortReleaseDelay, s.release)
		return
	}
	s.release()
}
