package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is the time of one answer of the store, as on the users' data sheets.
	storeDelay = 4 * time.Millisecond
	// pageItems and pageBytes bound one page of a range.
	pageItems = 500
	pageBytes = 1 << 20
)

// item is a key of the store, as on the wire.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created"`
	Lease   uint64 `json:"lease"`
}

// event is a change of a key, as on the wire.
type event struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []event
	leases  map[uint64]*lease
	changed chan struct{} // closed and replaced at each change
}

func newStore() *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

// put writes a key as an operator or an executor does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, data, 0)
	s.notify()
}

// drop removes a key as an operator or an executor does.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notify()
}

// owner returns the address of the entry VM that owns the fleet, empty if there is none.
func (s *store) owner() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var record struct {
		Address string `json:"address"`
	}
	if found, ok := s.items["live/owner"]; !ok || json.Unmarshal(found.Value, &record) != nil {
		return ""
	}
	return record.Address
}

// write writes a key at the current revision. The caller holds mu.
func (s *store) write(key string, value []byte, leaseID uint64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{key, value, s.rev, created, leaseID}
	s.history = append(s.history, event{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID})
}

// remove removes a key at the current revision. The caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, event{Key: key, Rev: s.rev, Removed: true})
}

// notify wakes the watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that have run out.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.rev++
	for key, found := range s.items {
		if found.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, found)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items, asOf := []item{}, s.rev
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, found)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || size+len(items[n].Value) <= pageBytes) {
		size += len(items[n].Value)
		n++
	}
	answer(w, http.StatusOK, map[string]any{"items": items[:n], "has-more": n < len(items), "as-of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, asOf, changed := s.eventsAfter(query.Get("prefix"), after), s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
	}
}

// eventsAfter returns the changes under prefix above a revision. The caller holds mu.
func (s *store) eventsAfter(prefix string, after uint64) []event {
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(e event, rev uint64) int {
		if e.Rev < rev {
			return -1
		}
		return 1
	})
	events := []event{}
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// transaction is the body of a transaction.
type transaction struct {
	Expected []item   `json:"expected"`
	Writes   []item   `json:"writes"`
	Remove   []string `json:"remove"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	failed := false
	for _, e := range t.Expected {
		found, ok := s.items[e.Key]
		if ok {
			current = append(current, found)
		}
		failed = failed || found.Rev != e.Rev
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range t.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, write := range t.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.rev] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl-ms": body.TTL})
}

func leaseID(r *http.Request) uint64 {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // a malformed id is 0, which names no lease
	return id
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[leaseID(r)]
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[leaseID(r)] == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(leaseID(r))
	answer(w, http.StatusOK, struct{}{})
}
