package emulator

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"filberthaven.example/keeper"
)

const (
	// DefaultWait is how long a watch without changes waits.
	DefaultWait = time.Second
	// PartitionTimeout is how long a client that is cut off waits for an answer.
	PartitionTimeout = time.Second
	// compactLimit is the shortest log of changes that is compacted.
	compactLimit = 1024
)

// Store is an in-memory stand-in for the platform's key-value service.
type Store struct {
	mu        sync.Mutex
	random    *rand.Rand
	wait      time.Duration
	revision  uint64                    // version of the newest change
	records   map[string]record         // deleted keys stay as tombstones
	log       []change                  // in order of version; may name outdated versions
	changed   chan struct{}             // closed at each change and fault switched
	leases    map[keeper.LeaseID]*lease // open ones
	lastLease keeper.LeaseID
	faults    faults // of all clients
	clients   map[string]*Client
}

// record is a key's newest entry and the one before.
type record struct {
	entry    keeper.Entry
	previous keeper.Entry // version 0 when there was none
	lease    keeper.LeaseID
}

// change says which version a key was given.
type change struct {
	version uint64
	key     string
}

// lease is an open lease.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// StoreOption changes a Store under construction.
type StoreOption func(*Store)

// WithSeed sets the seed of the choices that faults make.
func WithSeed(seed uint64) StoreOption {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithWait sets how long a watch without changes waits.
func WithWait(wait time.Duration) StoreOption { return func(s *Store) { s.wait = wait } }

// NewStore returns an empty store. It works inside a testing/synctest bubble
// that it is made in.
func NewStore(options ...StoreOption) *Store {
	s := &Store{
		random:  rand.New(rand.NewPCG(1, 1)),
		wait:    DefaultWait,
		records: map[string]record{},
		changed: make(chan struct{}),
		leases:  map[keeper.LeaseID]*lease{},
		clients: map[string]*Client{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Client returns the view of the client with that name, which has faults and
// counts of its own.
func (s *Store) Client(name string) *Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[name]
	if !ok {
		c = &Client{store: s}
		s.clients[name] = c
	}
	return c
}

// KV returns the view of a client without a name.
func (s *Store) KV() keeper.Store { return s.Client("").KV() }

// SetFaults replaces the faults of all clients.
func (s *Store) SetFaults(list ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = collect(list)
	s.wake()
}

// Counts returns the calls of all clients together.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum Counts
	for _, c := range s.clients {
		sum = sum.Add(c.counts)
	}
	return sum
}

// ExpireLeases ends all leases at once and deletes their keys.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.lapse(id)
	}
}

// Corrupt changes the value of a key in place, as damage in the service would.
func (s *Store) Corrupt(key string, change func([]byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key]
	value := change(slices.Clone(r.entry.Value()))
	r.entry = keeper.NewEntry(key, value, r.entry.Version(), r.entry.Deleted())
	s.records[key] = r
}

// wake ends the waiting of all watches, which look again.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the entry of a key, or the one before it when stale.
func (s *Store) get(key string, stale bool) (keeper.Entry, bool) {
	r, ok := s.records[key]
	if !ok {
		return keeper.Entry{}, false
	}
	entry := r.entry
	if stale {
		entry = r.previous
	}
	return entry, entry.Version() > 0 && !entry.Deleted()
}

// list returns the entries under prefix by key.
func (s *Store) list(prefix string, stale bool) []keeper.Entry {
	var entries []keeper.Entry
	for key := range s.records {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if entry, ok := s.get(key, stale); ok {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b keeper.Entry) int { return strings.Compare(a.Key(), b.Key()) })
	return entries
}

// put writes a value by compare-and-swap.
func (s *Store) put(key string, value []byte, expect uint64, id keeper.LeaseID) (uint64, error) {
	if len(value) > keeper.ValueLimit {
		return 0, keeper.ErrTooLarge
	}
	if id != 0 && s.leases[id] == nil {
		return 0, keeper.ErrLeaseExpired
	}
	if !s.matches(key, expect) {
		return 0, keeper.ErrConflict
	}
	s.write(key, slices.Clone(value), id, false)
	return s.revision, nil
}

// remove deletes a key by compare-and-swap.
func (s *Store) remove(key string, expect uint64) error {
	if expect == 0 || !s.matches(key, expect) {
		return keeper.ErrConflict
	}
	s.write(key, nil, 0, true)
	return nil
}

// matches reports whether the key has the version, 0 meaning absent.
func (s *Store) matches(key string, expect uint64) bool {
	entry, ok := s.get(key, false)
	if !ok {
		return expect == 0
	}
	return entry.Version() == expect
}

// write gives a key a new version.
func (s *Store) write(key string, value []byte, id keeper.LeaseID, deleted bool) {
	s.revision++
	before := s.records[key].entry
	entry := keeper.NewEntry(key, value, s.revision, deleted)
	s.records[key] = record{entry: entry, previous: before, lease: id}
	s.log = append(s.log, change{s.revision, key})
	if len(s.log) > compactLimit && len(s.log) > 4*len(s.records) {
		s.compact()
	}
	s.wake()
}

// compact drops changes that a later one of the same key hides.
func (s *Store) compact() {
	s.log = slices.DeleteFunc(s.log, func(c change) bool {
		return s.records[c.key].entry.Version() != c.version
	})
}

// after returns the changes under prefix above a version, in order.
func (s *Store) after(prefix string, version uint64) []keeper.Entry {
	start, _ := slices.BinarySearchFunc(s.log, version+1, func(c change, v uint64) int {
		switch {
		case c.version < v:
			return -1
		case c.version > v:
			return 1
		default:
			return 0
		}
	})
	var entries []keeper.Entry
	for _, c := range s.log[start:] {
		entry := s.records[c.key].entry
		if entry.Version() == c.version && strings.HasPrefix(c.key, prefix) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// grant opens a lease.
func (s *Store) grant(ttl time.Duration) keeper.LeaseID {
	s.lastLease++
	id := s.lastLease
	timer := time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lapse(id)
	})
	s.leases[id] = &lease{ttl: ttl, timer: timer}
	return id
}

// renew prolongs a lease by its TTL.
func (s *Store) renew(id keeper.LeaseID) error {
	l, ok := s.leases[id]
	if !ok {
		return keeper.ErrLeaseExpired
	}
	l.timer.Reset(l.ttl)
	return nil
}

// lapse ends a lease and deletes its keys.
func (s *Store) lapse(id keeper.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, r := range s.records {
		if r.lease == id && !r.entry.Deleted() {
			s.write(key, nil, 0, true)
		}
	}
}
