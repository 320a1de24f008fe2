package tracker

import (
	"sync"
	"time"
)

// State is what is known of another entry VM.
type State uint8

// The states.
const (
	// Unknown means that the peer has not been heard of yet.
	Unknown State = iota
	// Alive means that the peer answers.
	Alive
	// Suspect means that the peer has been silent for a while.
	Suspect
	// Dead means that the peer has been silent for long. It may still run behind a
	// network partition.
	Dead
	// Removed means that the platform lists the peer as gone: it surely does not
	// run.
	Removed
)

var stateNames = [...]string{"unheard", "alive", "suspect", "dead", "gone"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Reachability tells in which directions calls between this VM and a peer get through.
type Reachability uint8

// The directions.
const (
	// Unreachable means neither.
	Unreachable Reachability = iota
	// Outbound means that the peer answers and does not call here.
	Outbound
	// Inbound means that the peer calls here and does not answer.
	Inbound
	// Bidirectional means both.
	Bidirectional
)

var reachNames = [...]string{"none", "outward", "inward", "both"}

// String returns the name of the direction.
func (r Reachability) String() string { return reachNames[r] }

// peers holds what is known of the other entry VMs.
type peers struct {
	mu    sync.Mutex
	known map[string]*peer // by id
}

// peer is one other entry VM.
type peer struct {
	incarnation uint64    // the newest seen, never falls
	called      time.Time // of its last call here
	answered    time.Time // of its last answer to a call from here
	revision    uint64    // of its configuration, as last told
	state       State     // as last logged
	busy        bool      // a heartbeat to it is under way
}

// newPeers returns an empty table.
func newPeers() *peers { return &peers{known: map[string]*peer{}} }

// of returns a peer's entry, new on first use. The lock is held.
func (p *peers) of(id string) *peer {
	known, ok := p.known[id]
	if !ok {
		known = &peer{}
		p.known[id] = known
	}
	return known
}

// heard notes a call or an answer of an incarnation. It returns false for an
// incarnation that is over.
func (p *peers) heard(id string, incarnation, revision uint64, now time.Time, answered bool) (restarted, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.of(id)
	if incarnation < known.incarnation {
		return false, false
	}
	restarted = known.incarnation != 0 && incarnation > known.incarnation
	known.incarnation = incarnation
	known.revision = revision
	if answered {
		known.answered = now
	} else {
		known.called = now
	}
	return restarted, true
}

// begin marks a heartbeat as under way; it returns false if one is already.
func (p *peers) begin(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.of(id)
	if known.busy {
		return false
	}
	known.busy = true
	return true
}

// end marks the heartbeat as ended.
func (p *peers) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(id).busy = false
}

// change notes a state and reports whether it is new.
func (p *peers) change(id string, state State) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.of(id)
	changed := known.state != state
	known.state = state
	return changed
}

// snapshot returns a copy of what is known of a peer.
func (p *peers) snapshot(id string) peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.known[id]
	if !ok {
		return peer{}
	}
	return *known
}
