package tracker

import (
	"sync"
	"time"
)

// State is the state of another entry VM, as seen from this one.
type State uint8

// The states of a peer.
const (
	// Unknown means that the peer has neither called nor responded yet.
	Unknown State = iota
	// Alive means that the peer has called or responded within the suspect timeout.
	Alive
	// Suspect means that the suspect timeout has passed since the last call or
	// response.
	Suspect
	// Dead means that the dead timeout has passed since the last call or response.
	// The peer may still run behind a network partition.
	Dead
	// Removed means that the platform lists the peer as gone, so it does not run.
	Removed
)

// stateNames are the texts of State.String. Operators know them, so they stay although
// the constants have other names.
var stateNames = [...]string{"unheard", "alive", "suspect", "dead", "gone"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Reachability is a set of the directions in which calls between this VM and a peer
// get through.
type Reachability uint8

// The values of Reachability.
const (
	// Unreachable means that calls get through in neither direction.
	Unreachable Reachability = iota
	// Outbound means that the peer responds to calls but its own calls do not arrive.
	Outbound
	// Inbound means that calls of the peer arrive but it does not respond to any.
	Inbound
	// Bidirectional means that calls get through in both directions.
	Bidirectional
)

// reachabilityNames are the texts of Reachability.String, fixed like stateNames.
var reachabilityNames = [...]string{"none", "outward", "inward", "both"}

// String returns the name of the reachability.
func (r Reachability) String() string { return reachabilityNames[r] }

// peers holds what is known from calls and responses of the other entry VMs.
type peers struct {
	mu   sync.Mutex
	byID map[string]*peer
}

// peer is what is known from calls and responses of another entry VM.
type peer struct {
	incarnation  uint64    // the newest seen, never decreases
	lastCall     time.Time // of the last call from it
	lastResponse time.Time // of its last response to a call
	revision     uint64    // of its configuration, as last reported
	loggedState  State     // as of the last call of logStates
	inFlight     bool      // a heartbeat to it is in flight
}

func newPeers() *peers { return &peers{byID: map[string]*peer{}} }

// getOrCreate returns the peer with that id, which it creates on first use. The
// caller holds the lock.
func (p *peers) getOrCreate(id string) *peer {
	known, ok := p.byID[id]
	if !ok {
		known = &peer{}
		p.byID[id] = known
	}
	return known
}

// observe records a call or response of an incarnation. ok is false if a newer
// incarnation has been seen.
func (p *peers) observe(id string, incarnation, revision uint64, now time.Time, isResponse bool) (restarted, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.getOrCreate(id)
	if incarnation < known.incarnation {
		return false, false
	}
	restarted = known.incarnation != 0 && incarnation > known.incarnation
	known.incarnation = incarnation
	known.revision = revision
	if isResponse {
		known.lastResponse = now
	} else {
		known.lastCall = now
	}
	return restarted, true
}

// beginHeartbeat marks a heartbeat to the peer as in flight. It returns false if
// another one already is.
func (p *peers) beginHeartbeat(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.getOrCreate(id)
	if known.inFlight {
		return false
	}
	known.inFlight = true
	return true
}

// endHeartbeat marks the heartbeat to the peer as no longer in flight.
func (p *peers) endHeartbeat(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getOrCreate(id).inFlight = false
}

// setLoggedState stores the state of a peer for logStates, and reports whether it
// has changed.
func (p *peers) setLoggedState(id string, state State) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.getOrCreate(id)
	changed := known.loggedState != state
	known.loggedState = state
	return changed
}

// snapshot returns a copy of the peer with that id, or the zero peer if there is
// none.
func (p *peers) snapshot(id string) peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.byID[id]
	if !ok {
		return peer{}
	}
	return *known
}
