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

// Times of the exchange between entry VMs.
const (
	pushTimeout = time.Second
	askInterval = 100 * time.Millisecond
	// watchDelay is how long the watch has for bringing a change to an entry VM before
	// the change is sent to it.
	watchDelay = 300 * time.Millisecond
	// ReplicationTimeout is how long a change waits for entry VMs that don't answer.
	ReplicationTimeout = 3 * time.Second
	// FetchInterval is the time between two questions to other entry VMs.
	FetchInterval = 5 * time.Second
)

// Peer is another entry VM.
type Peer struct {
	id      string // never empty
	address string // host:port
}

// NewPeer returns the entry VM of that id at that address.
func NewPeer(id, address string) Peer { return Peer{id: id, address: address} }

// VMRevision is the revision that an entry VM has in force.
type VMRevision struct {
	vm       string // id of the entry VM
	revision uint64 // 0 when not reached
	err      error  // why the entry VM wasn't reached
}

// VM returns the id of the entry VM.
func (h VMRevision) VM() string { return h.vm }

// Revision returns the number of the revision in force there.
func (h VMRevision) Revision() uint64 { return h.revision }

// Err returns why the entry VM could not be reached, or nil.
func (h VMRevision) Err() error { return h.err }

// Replicator passes revisions between entry VMs, without the key-value service.
type Replicator struct {
	id        string // of this entry VM
	copy      *Copy
	messenger *messenger.Messenger
	peers     func() []Peer // the other entry VMs as known now
	lastUse   func(id string) (time.Time, bool)
	log       hclog.Logger
}

// ReplicatorOption changes a Spreader under construction.
type ReplicatorOption func(*Replicator)

// WithReplicatorLogger sets the logger.
func WithReplicatorLogger(log hclog.Logger) ReplicatorOption {
	return func(s *Replicator) { s.log = log.Named("config") }
}

// NewReplicator returns a spreader for the entry VM of that id, whose copy it serves.
// Peers returns the other entry VMs as known at the time.
func NewReplicator(id string, c *Copy, m *messenger.Messenger, peers func() []Peer, options ...ReplicatorOption) *Replicator {
	s := &Replicator{id: id, copy: c, messenger: m, peers: peers, log: hclog.NewNullLogger()}
	s.lastUse = func(string) (time.Time, bool) { return time.Time{}, false }
	for _, option := range options {
		option(s)
	}
	return s
}

// Run asks one other entry VM after the other for newer revisions, until ctx ends.
// An entry VM that the service can't be reached from catches up so.
func (s *Replicator) Run(ctx context.Context) {
	ticker := time.NewTicker(FetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.fetchOne(ctx)
		}
	}
}

// fetchOne asks a random entry VM.
func (s *Replicator) fetchOne(ctx context.Context) {
	peers := s.peers()
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	if _, err := s.copy.Fetch(ctx, s.messenger, peer.address); err != nil {
		s.log.Debug("entry VM not reached", "vm", peer.id, "error", err)
	}
}

// VMRevisions asks all entry VMs which revision they have in force, by id.
func (s *Replicator) VMRevisions(ctx context.Context) []VMRevision {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	return s.each(func(peer Peer) VMRevision { return s.ask(ctx, peer, false) })
}

// Replicate waits until all entry VMs have the revision in force, for
// SpreadTimeout at most, and returns what each has, by id.
func (s *Replicator) Replicate(ctx context.Context) []VMRevision {
	ctx, cancel := context.WithTimeout(ctx, ReplicationTimeout)
	defer cancel()
	return s.each(func(peer Peer) VMRevision { return s.push(ctx, peer) })
}

// push waits until one entry VM has the revision in force. When its watch doesn't bring it,
// the revision is sent.
func (s *Replicator) push(ctx context.Context, peer Peer) VMRevision {
	start := time.Now()
	for {
		holding := s.ask(ctx, peer, time.Since(start) >= watchDelay)
		if holding.err == nil && holding.revision >= s.copy.Revision() {
			return holding
		}
		select {
		case <-ctx.Done():
			return holding
		case <-time.After(askInterval):
		}
	}
}

// ask returns what the entry VM has in force, and sends it the own revision first if send is set.
func (s *Replicator) ask(ctx context.Context, peer Peer, send bool) VMRevision {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	call := s.copy.Fetch
	if send {
		call = s.copy.Push
	}
	revision, err := call(ctx, s.messenger, peer.address)
	return VMRevision{vm: peer.id, revision: revision, err: err}
}

// each calls f for all peers at once and adds this entry VM.
func (s *Replicator) each(f func(Peer) VMRevision) []VMRevision {
	peers := s.peers()
	holdings := make([]VMRevision, len(peers))
	var group sync.WaitGroup
	for i, peer := range peers {
		group.Go(func() { holdings[i] = f(peer) })
	}
	group.Wait()
	holdings = append(holdings, VMRevision{vm: s.id, revision: s.copy.Revision()})
	slices.SortFunc(holdings, func(a, b VMRevision) int { return cmp.Compare(a.vm, b.vm) })
	return holdings
}
