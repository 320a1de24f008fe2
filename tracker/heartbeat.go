package tracker

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/messenger"
)

// heartbeatProcedure is the path of the heartbeat call.
const heartbeatProcedure = "/tracker/beat"

// errStaleIncarnation is returned to a process whose VM has called or responded
// under a newer incarnation.
var errStaleIncarnation = errors.New("incarnation is over")

type heartbeatRequest struct {
	ID          string `cbor:"id"`
	Incarnation uint64 `cbor:"incarnation"`
	Centre      string `cbor:"centre"`
	Revision    uint64 `cbor:"revision"`
}

type heartbeatResponse struct {
	ID          string `cbor:"id"`
	Incarnation uint64 `cbor:"incarnation"`
	Revision    uint64 `cbor:"revision"`
}

// Register registers the handler of heartbeats. It does nothing without a
// messenger.
func (t *Tracker) Register(mux messenger.Mux) {
	if t.messenger != nil {
		messenger.Handle(t.messenger, mux, heartbeatProcedure, t.handleHeartbeat)
	}
}

// handleHeartbeat records the heartbeat of a peer.
func (t *Tracker) handleHeartbeat(_ context.Context, request *heartbeatRequest) (*heartbeatResponse, error) {
	if !t.observe(request.ID, request.Incarnation, request.Revision, false) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errStaleIncarnation)
	}
	return &heartbeatResponse{ID: t.id, Incarnation: t.incarnation, Revision: t.revision()}, nil
}

// observe records a call or response of a peer, and reports the revision of the
// peer's configuration to onRevision. It returns false if a newer incarnation of
// the peer has been seen.
func (t *Tracker) observe(id string, incarnation, revision uint64, isResponse bool) bool {
	restarted, ok := t.peers.observe(id, incarnation, revision, t.now(), isResponse)
	if !ok {
		return false
	}
	if restarted {
		t.logger.Info("peer restarted", "peer", id, "incarnation", incarnation)
	}
	// A peer that isn't listed yet has no known address to fetch a configuration
	// from. Its next heartbeat carries the revision again.
	if vm, listed := t.list.get(id); listed {
		t.onRevision(id, vm.address, revision)
	}
	return true
}

// sendHeartbeats starts a heartbeat to each entry VM that is due and has none in
// flight. It waits for no response, so that a slow peer does not delay the next round.
func (t *Tracker) sendHeartbeats(ctx context.Context) {
	t.round++
	for i, vm := range t.EntryVMs("") {
		if vm.id == t.id || !t.isDue(i, vm) || !t.peers.beginHeartbeat(vm.id) {
			continue
		}
		t.heartbeats.Go(func() {
			defer t.peers.endHeartbeat(vm.id)
			t.sendHeartbeat(ctx, vm)
		})
	}
	t.logStates()
}

// isDue reports whether the i-th entry VM gets a heartbeat in this round. An entry
// VM of another data centre gets a heartbeat every remoteRounds rounds; the index
// spreads these heartbeats over the rounds.
func (t *Tracker) isDue(i int, vm VM) bool {
	return vm.centre == t.centre || (t.round+i)%t.remoteRounds == 0
}

// extraTimeout returns the time to add to the timeouts of a peer in another data
// centre, since heartbeats between data centres are less frequent.
func (t *Tracker) extraTimeout(id string) time.Duration {
	if vm, ok := t.list.get(id); !ok || vm.centre == t.centre {
		return 0
	}
	return time.Duration(t.remoteRounds-1) * t.heartbeatInterval
}

// sendHeartbeat sends one heartbeat and records the response.
func (t *Tracker) sendHeartbeat(ctx context.Context, vm VM) {
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, t.suspectTimeout/2))
	defer cancel()
	request := &heartbeatRequest{ID: t.id, Incarnation: t.incarnation, Centre: t.centre, Revision: t.revision()}
	response, err := messenger.Call[heartbeatRequest, heartbeatResponse](ctx, t.messenger, vm.address, heartbeatProcedure, request)
	if err != nil || response.ID != vm.id {
		return // State detects a missing response by the time since the last one.
	}
	t.observe(response.ID, response.Incarnation, response.Revision, true)
}

// logStates logs the peers whose state has changed since the last call.
func (t *Tracker) logStates() {
	for _, vm := range t.EntryVMs("") {
		if vm.id == t.id {
			continue
		}
		state := t.State(vm.id)
		if t.peers.setLoggedState(vm.id, state) {
			t.logger.Info("peer changed", "peer", vm.id, "state", state, "reach", t.Reachability(vm.id))
		}
	}
}

// State returns the state of another entry VM. The peer counts as alive after a
// call from it as well as after a response.
func (t *Tracker) State(id string) State {
	if vm, ok := t.list.get(id); ok && vm.state == Gone {
		return Removed
	}
	known := t.peers.snapshot(id)
	last := known.lastCall
	if known.lastResponse.After(last) {
		last = known.lastResponse
	}
	if last.IsZero() {
		return Unknown
	}
	elapsed := t.now().Sub(last) - t.extraTimeout(id)
	switch {
	case elapsed >= t.deadTimeout:
		return Dead
	case elapsed >= t.suspectTimeout:
		return Suspect
	}
	return Alive
}

// Reachability returns the directions in which calls between this VM and the peer
// got through within the suspect timeout.
func (t *Tracker) Reachability(id string) Reachability {
	known := t.peers.snapshot(id)
	reachability := Unreachable
	extra := t.extraTimeout(id)
	if t.isRecent(known.lastResponse, extra) {
		reachability |= Outbound
	}
	if t.isRecent(known.lastCall, extra) {
		reachability |= Inbound
	}
	return reachability
}

// isRecent reports whether less than the suspect timeout plus extra has passed since at.
func (t *Tracker) isRecent(at time.Time, extra time.Duration) bool {
	return !at.IsZero() && t.now().Sub(at) < t.suspectTimeout+extra
}

// Incarnation returns the newest incarnation of an entry VM's process that has
// called or responded, or 0 if none has.
func (t *Tracker) Incarnation(id string) uint64 { return t.peers.snapshot(id).incarnation }

// Revision returns the revision of the configuration that the peer last reported.
func (t *Tracker) Revision(id string) uint64 { return t.peers.snapshot(id).revision }

// IncarnationEnded reports whether that incarnation of an entry VM's process is
// known to have ended, because the platform lists the VM as gone or a newer
// incarnation has called or responded.
func (t *Tracker) IncarnationEnded(id string, incarnation uint64) bool {
	if t.peers.snapshot(id).incarnation > incarnation {
		return true
	}
	vm, ok := t.list.get(id)
	return ok && vm.state == Gone
}
