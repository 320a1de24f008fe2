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
	// DefaultWatchTimeout is how long a watch waits for a change.
	DefaultWatchTimeout = time.Second
	// PartitionTimeout is how long a call of a partitioned client waits for a response.
	PartitionTimeout = time.Second
	// compactThreshold is the length above which the log of changes may be compacted.
	compactThreshold = 1024
)

// Store is an in-memory fake of the platform's key-value service.
type Store struct {
	mu           sync.Mutex
	random       *rand.Rand
	watchTimeout time.Duration
	revision     uint64                    // version of the last change
	records      map[string]record         // by key; deleted keys stay as tombstones
	log          []change                  // in order of version; versions that are no longer current may be missing
	wakeup       chan struct{}             // closed and replaced at each change of a key or of the faults
	leases       map[keeper.LeaseID]*lease // neither expired nor revoked
	lastLease    keeper.LeaseID
	faults       faults // of all clients
	clients      map[string]*Client
}

// record is the current and the previous entry of a key.
type record struct {
	entry    keeper.Entry
	previous keeper.Entry   // version 0 if there was none
	lease    keeper.LeaseID // the key is deleted when this lease ends; 0 for none
}

// change records that a key got a new version.
type change struct {
	version uint64
	key     string
}

// lease is a lease that has neither expired nor been revoked.
type lease struct {
	ttl   time.Duration
	timer *time.Timer // expires the lease
}

// StoreOption changes a Store under construction.
type StoreOption func(*Store)

// WithSeed sets the seed that determines which calls the faults affect.
func WithSeed(seed uint64) StoreOption {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithWatchTimeout sets how long a watch waits for a change.
func WithWatchTimeout(timeout time.Duration) StoreOption {
	return func(s *Store) { s.watchTimeout = timeout }
}

// NewStore returns an empty store. In a testing/synctest bubble, use a store that was
// created in the same bubble.
func NewStore(options ...StoreOption) *Store {
	s := &Store{
		random:       rand.New(rand.NewPCG(1, 1)),
		watchTimeout: DefaultWatchTimeout,
		records:      map[string]record{},
		wakeup:       make(chan struct{}),
		leases:       map[keeper.LeaseID]*lease{},
		clients:      map[string]*Client{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Client returns the client with that name, which has its own faults and counts.
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

// KV returns the store as the client with an empty name sees it.
func (s *Store) KV() keeper.Store { return s.Client("").KV() }

// SetFaults replaces the faults of all clients.
func (s *Store) SetFaults(list ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = newFaults(list)
	s.wake()
}

// Counts returns the number of calls of all clients together.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum Counts
	for _, c := range s.clients {
		sum = sum.Add(c.counts)
	}
	return sum
}

// ExpireLeases ends all leases now and deletes their keys.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.expire(id)
	}
}

// Corrupt replaces the value of a key without a new version, as a fault in the service
// could.
func (s *Store) Corrupt(key string, change func([]byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key]
	value := change(slices.Clone(r.entry.Value()))
	r.entry = keeper.NewEntry(key, value, r.entry.Version(), r.entry.Deleted())
	s.records[key] = r
}

// wake wakes all watches, which then check for changes again.
func (s *Store) wake() {
	close(s.wakeup)
	s.wakeup = make(chan struct{})
}

// get returns the current entry of a key, or the previous entry if stale is set. The
// result is false if there is no such entry or it is a deletion.
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

// list returns the entries of all keys with the prefix, sorted by key. If stale is set,
// they are the previous entries.
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

// put writes a value if the key has the expected version, 0 meaning absent.
func (s *Store) put(key string, value []byte, expect uint64, id keeper.LeaseID) (uint64, error) {
	if len(value) > keeper.ValueLimit {
		return 0, keeper.ErrTooLarge
	}
	if id != 0 && s.leases[id] == nil {
		return 0, keeper.ErrLeaseExpired
	}
	if !s.hasVersion(key, expect) {
		return 0, keeper.ErrConflict
	}
	s.write(key, slices.Clone(value), id, false)
	return s.revision, nil
}

// remove deletes a key if it has the expected version.
func (s *Store) remove(key string, expect uint64) error {
	if expect == 0 || !s.hasVersion(key, expect) {
		return keeper.ErrConflict
	}
	s.write(key, nil, 0, true)
	return nil
}

// hasVersion reports whether the key has the expected version, 0 meaning absent.
func (s *Store) hasVersion(key string, expect uint64) bool {
	entry, ok := s.get(key, false)
	if !ok {
		return expect == 0
	}
	return entry.Version() == expect
}

// write stores a new version of a key and wakes the watches.
func (s *Store) write(key string, value []byte, id keeper.LeaseID, deleted bool) {
	s.revision++
	previous := s.records[key].entry
	entry := keeper.NewEntry(key, value, s.revision, deleted)
	s.records[key] = record{entry: entry, previous: previous, lease: id}
	s.log = append(s.log, change{s.revision, key})
	if len(s.log) > compactThreshold && len(s.log) > 4*len(s.records) {
		s.compact()
	}
	s.wake()
}

// compact removes the changes that a later change of the same key supersedes.
func (s *Store) compact() {
	s.log = slices.DeleteFunc(s.log, func(c change) bool {
		return s.records[c.key].entry.Version() != c.version
	})
}

// changesAfter returns the current entries of all keys with the prefix that changed after
// the version, in order of version. They include deletions.
func (s *Store) changesAfter(prefix string, version uint64) []keeper.Entry {
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

// grant creates a lease, which expires after ttl unless it is renewed.
func (s *Store) grant(ttl time.Duration) keeper.LeaseID {
	s.lastLease++
	id := s.lastLease
	timer := time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire(id)
	})
	s.leases[id] = &lease{ttl: ttl, timer: timer}
	return id
}

// renew lets a lease expire a full TTL from now.
func (s *Store) renew(id keeper.LeaseID) error {
	l, ok := s.leases[id]
	if !ok {
		return keeper.ErrLeaseExpired
	}
	l.timer.Reset(l.ttl)
	return nil
}

// expire ends a lease, if it has not ended yet, and deletes its keys.
func (s *Store) expire(id keeper.LeaseID) {
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
