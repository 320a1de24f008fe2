package configurer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filberthaven.example/messenger"
	"github.com/hashicorp/go-hclog"
)

// Timeouts and intervals of the calls between entry VMs.
const (
	callTimeout = time.Second
	// pollInterval is the delay between two queries while a change is replicated.
	pollInterval = 100 * time.Millisecond
	// pushDelay is how long an entry VM may take to get a change through its watch of
	// the key-value service before the change is pushed to it.
	pushDelay = 300 * time.Millisecond
	// ReplicationTimeout is how long a change waits for entry VMs that don't have it in
	// force yet, before the last query of each.
	ReplicationTimeout = 3 * time.Second
	// maxOverrun is how long after its timeout a query may end. One that ends later was
	// interrupted by a pause of this entry VM.
	maxOverrun = 100 * time.Millisecond
	// FetchInterval is the time between two fetches from other entry VMs.
	FetchInterval = 5 * time.Second
)

// Peer is another entry VM.
type Peer struct {
	id      string // never empty
	address string // host:port
}

// NewPeer returns the entry VM of that id at that address.
func NewPeer(id, address string) Peer { return Peer{id: id, address: address} }

// VMRevision is the number of the revision in force on an entry VM.
type VMRevision struct {
	vm       string // id of the entry VM
	revision uint64 // 0: none in force, or not reached
	err      error  // why the entry VM wasn't reached, or nil
}

// VM returns the id of the entry VM.
func (v VMRevision) VM() string { return v.vm }

// Revision returns the number of the revision in force there, or 0 if there is none or
// the entry VM wasn't reached.
func (v VMRevision) Revision() uint64 { return v.revision }

// Err returns why the entry VM could not be reached, or nil.
func (v VMRevision) Err() error { return v.err }

// Replicator passes revisions directly between entry VMs, so that an entry VM gets them
// even if it can't reach the key-value service.
type Replicator struct {
	id        string // of this entry VM
	copy      *Copy
	messenger *messenger.Messenger
	peers     func() []Peer                     // the other entry VMs known at the time
	lastUse   func(id string) (time.Time, bool) // see WithLastUse
	log       hclog.Logger
}

// ReplicatorOption configures a Replicator.
type ReplicatorOption func(*Replicator)

// WithReplicatorLogger sets the logger. By default, nothing is logged.
func WithReplicatorLogger(log hclog.Logger) ReplicatorOption {
	return func(r *Replicator) { r.log = log.Named("config") }
}

// NewReplicator returns a Replicator for the entry VM of that id and its copy. peers
// returns the other entry VMs known at the time.
func NewReplicator(id string, c *Copy, m *messenger.Messenger, peers func() []Peer, options ...ReplicatorOption) *Replicator {
	r := &Replicator{id: id, copy: c, messenger: m, peers: peers, log: hclog.NewNullLogger()}
	r.lastUse = func(string) (time.Time, bool) { return time.Time{}, false }
	for _, option := range options {
		option(r)
	}
	return r
}

// Run fetches newer revisions from a random other entry VM each FetchInterval, until ctx
// ends. This updates an entry VM that can't reach the key-value service.
func (r *Replicator) Run(ctx context.Context) {
	ticker := time.NewTicker(FetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.fetchFromRandomPeer(ctx)
		}
	}
}

// fetchFromRandomPeer fetches a newer revision from one other entry VM.
func (r *Replicator) fetchFromRandomPeer(ctx context.Context) {
	peers := r.peers()
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := r.copy.Fetch(ctx, r.messenger, peer.address); err != nil {
		r.log.Debug("revision not fetched: entry VM not reached", "vm", peer.id, "error", err)
	}
}

// VMRevisions returns the revision in force on each entry VM, by id. A revision newer than
// this entry VM's is brought into force here.
func (r *Replicator) VMRevisions(ctx context.Context) []VMRevision {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.collect(func(peer Peer) VMRevision { return r.query(ctx, peer, false) })
}

// Replicate waits until all entry VMs have this entry VM's revision or a later one in
// force, for ReplicationTimeout and one more query at most, not counting pauses of this
// entry VM. It returns the revision in force on each, by id.
func (r *Replicator) Replicate(ctx context.Context) []VMRevision {
	return r.collect(func(peer Peer) VMRevision { return r.awaitPeer(ctx, peer) })
}

// awaitPeer waits until the peer has this entry VM's revision or a later one in force. If
// the peer's watch hasn't brought the revision after pushDelay, it is pushed. The last
// query starts after ReplicationTimeout and has its whole timeout. It is repeated if this
// entry VM was paused meanwhile, since its failure says nothing about the peer.
func (r *Replicator) awaitPeer(ctx context.Context, peer Peer) VMRevision {
	start := time.Now()
	for {
		queried := time.Now()
		peerRevision := r.query(ctx, peer, queried.Sub(start) >= pushDelay)
		if peerRevision.err == nil && peerRevision.revision >= r.copy.Revision() {
			return peerRevision
		}
		took := time.Since(queried)
		paused := took > callTimeout+maxOverrun
		if paused {
			r.log.Warn("query interrupted by a pause of this entry VM; repeated", "vm", peer.id, "took", took, "error", peerRevision.err)
		}
		if queried.Sub(start) >= ReplicationTimeout && !paused {
			return peerRevision
		}
		select {
		case <-ctx.Done():
			return peerRevision
		case <-time.After(pollInterval):
		}
	}
}

// query returns the revision in force on the peer. If push is set, it first offers this
// entry VM's revision to the peer; otherwise it fetches the peer's if that is newer.
func (r *Replicator) query(ctx context.Context, peer Peer, push bool) VMRevision {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := r.copy.Fetch
	if push {
		call = r.copy.Push
	}
	revision, err := call(ctx, r.messenger, peer.address)
	return VMRevision{vm: peer.id, revision: revision, err: err}
}

// collect calls f for all peers concurrently. It returns the results and this entry VM's
// own revision, by id.
func (r *Replicator) collect(f func(Peer) VMRevision) []VMRevision {
	peers := r.peers()
	revisions := make([]VMRevision, len(peers))
	var group sync.WaitGroup
	for i, peer := range peers {
		group.Go(func() { revisions[i] = f(peer) })
	}
	group.Wait()
	revisions = append(revisions, VMRevision{vm: r.id, revision: r.copy.Revision()})
	slices.SortFunc(revisions, func(a, b VMRevision) int { return cmp.Compare(a.vm, b.vm) })
	return revisions
}
