package tracker

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/messenger"
)

// beatProcedure is the path of heartbeats.
const beatProcedure = "/tracker/beat"

// errOldIncarnation answers a process that has been followed by a newer one.
var errOldIncarnation = errors.New("incarnation is over")

// beatRequest is a heartbeat. The address lets a peer answer to a VM that its
// list lacks.
type beatRequest struct {
	ID          string `cbor:"id"`
	Incarnation uint64 `cbor:"incarnation"`
	Centre      string `cbor:"centre"`
	Revision    uint64 `cbor:"revision"`
}

// beatResponse answers a heartbeat.
type beatResponse struct {
	ID          string `cbor:"id"`
	Incarnation uint64 `cbor:"incarnation"`
	Revision    uint64 `cbor:"revision"`
}

// Register adds the handler of heartbeats.
func (t *Tracker) Register(mux messenger.Mux) {
	if t.messenger != nil {
		messenger.Handle(t.messenger, mux, beatProcedure, t.handleBeat)
	}
}

// handleBeat takes a heartbeat in.
func (t *Tracker) handleBeat(_ context.Context, request *beatRequest) (*beatResponse, error) {
	if !t.hear(request.ID, request.Incarnation, request.Revision, false) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errOldIncarnation)
	}
	return &beatResponse{ID: t.id, Incarnation: t.incarnation, Revision: t.revision()}, nil
}

// hear notes that a peer was heard and passes its revision on.
func (t *Tracker) hear(id string, incarnation, revision uint64, answered bool) bool {
	restarted, ok := t.peers.heard(id, incarnation, revision, t.now(), answered)
	if !ok {
		return false
	}
	if restarted {
		t.logger.Info("peer restarted", "peer", id, "incarnation", incarnation)
	}
	// A peer that isn't listed yet has no address to fetch from; it calls again.
	if vm, listed := t.list.get(id); listed {
		t.onRevision(id, vm.address, revision)
	}
	return true
}

// beatAll sends a heartbeat to each entry VM that is due and waits for all; a peer
// that is slow to answer holds up none of the next rounds.
func (t *Tracker) beatAll(ctx context.Context) {
	t.round++
	var group sync.WaitGroup
	for i, vm := range t.EntryVMs("") {
		if vm.id == t.id || !t.isDue(i, vm) || !t.peers.begin(vm.id) {
			continue
		}
		group.Go(func() {
			defer t.peers.end(vm.id)
			t.beatOne(ctx, vm)
		})
	}
	group.Wait()
	t.logStates()
}

// isDue reports whether the i-th entry VM gets a heartbeat in this round. Those of
// other data centres take turns.
func (t *Tracker) isDue(i int, vm VM) bool {
	return vm.centre == t.centre || (t.round+i)%t.far == 0
}

// allowance is how much longer the silence of a peer may be, since it is called
// less often.
func (t *Tracker) allowance(id string) time.Duration {
	if vm, ok := t.list.get(id); !ok || vm.centre == t.centre {
		return 0
	}
	return time.Duration(t.far-1) * t.beat
}

// beatOne sends one heartbeat.
func (t *Tracker) beatOne(ctx context.Context, vm VM) {
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, t.suspect/2))
	defer cancel()
	request := &beatRequest{ID: t.id, Incarnation: t.incarnation, Centre: t.centre, Revision: t.revision()}
	response, err := messenger.Call[beatRequest, beatResponse](ctx, t.messenger, vm.address, beatProcedure, request)
	if err != nil || response.ID != vm.id {
		return // Silence is noticed by the time since the last answer.
	}
	t.hear(response.ID, response.Incarnation, response.Revision, true)
}

// logStates logs the peers whose state has changed.
func (t *Tracker) logStates() {
	for _, vm := range t.EntryVMs("") {
		if vm.id == t.id {
			continue
		}
		state := t.State(vm.id)
		if t.peers.change(vm.id, state) {
			t.logger.Info("peer changed", "peer", vm.id, "state", state, "reach", t.Reachability(vm.id))
		}
	}
}

// State returns what is known of another entry VM. Its own calls prove it alive
// as its answers do.
func (t *Tracker) State(id string) State {
	if vm, ok := t.list.get(id); ok && vm.presence == Gone {
		return Removed
	}
	known := t.peers.snapshot(id)
	last := known.called
	if known.answered.After(last) {
		last = known.answered
	}
	if last.IsZero() {
		return Unknown
	}
	silence := t.now().Sub(last) - t.allowance(id)
	switch {
	case silence >= t.dead:
		return Dead
	case silence >= t.suspect:
		return Suspect
	}
	return Alive
}

// Reachability returns in which directions calls between here and the peer got through
// lately.
func (t *Tracker) Reachability(id string) Reachability {
	known := t.peers.snapshot(id)
	reach := Unreachable
	allowance := t.allowance(id)
	if t.isRecent(known.answered, allowance) {
		reach |= Outbound
	}
	if t.isRecent(known.called, allowance) {
		reach |= Inbound
	}
	return reach
}

// isRecent reports whether no silence has followed.
func (t *Tracker) isRecent(at time.Time, allowance time.Duration) bool {
	return !at.IsZero() && t.now().Sub(at) < t.suspect+allowance
}

// Incarnation returns the newest incarnation of an entry VM's process that was
// heard of, 0 if there was none.
func (t *Tracker) Incarnation(id string) uint64 { return t.peers.snapshot(id).incarnation }

// Revision returns the revision of the configuration that the peer last told.
func (t *Tracker) Revision(id string) uint64 { return t.peers.snapshot(id).revision }

// IncarnationEnded reports whether that incarnation of an entry VM's process surely does
// not run any more: the platform lists the VM as gone, or a newer incarnation
// was heard of.
func (t *Tracker) IncarnationEnded(id string, incarnation uint64) bool {
	if t.peers.snapshot(id).incarnation > incarnation {
		return true
	}
	vm, ok := t.list.get(id)
	return ok && vm.presence == Gone
}
