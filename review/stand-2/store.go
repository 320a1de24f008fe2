package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or the removal of one.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// storeLease is a lease with its keys.
type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store stands in for the platform's metadata store. It keeps all of its history.
type store struct {
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	rev       uint64
	items     map[string]item
	events    []item
	leases    map[uint64]*storeLease
	lastLease uint64
	changed   chan struct{}
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, rev: 1, items: map[string]item{}, leases: map[uint64]*storeLease{}, lastLease: 7000, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.page)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// write sets or removes keys in one revision. The caller holds s.mu.
func (s *store) write(writes []item, remove []string) uint64 {
	s.rev++
	for _, it := range writes {
		it.Rev, it.Created = s.rev, s.rev
		if old, found := s.items[it.Key]; found {
			it.Created = old.Created
		}
		s.items[it.Key] = it
		s.events = append(s.events, it)
	}
	for _, key := range remove {
		if _, found := s.items[key]; found {
			delete(s.items, key)
			s.events = append(s.events, item{Key: key, Rev: s.rev, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

// put writes a key as the operator or an executor does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]item{{Key: key, Value: data}}, nil)
}

// remove removes a key as the platform does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []string{key})
}

// value returns the value of a key, nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, found := s.items[r.URL.Query().Get("key")]
	if !found {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *store) page(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []item
	for key, it := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	size, n := 0, 0
	for n < len(found) && n < 500 && (n == 0 || size+len(found[n].Value) <= 1_000_000) {
		size += len(found[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": append([]item{}, found[:n]...), "has-more": n < len(found), "as-of": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events := []item{}
		for i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Rev > after }); i < len(s.events); i++ {
			if strings.HasPrefix(s.events[i].Key, query.Get("prefix")) {
				events = append(events, s.events[i])
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range call.Expected {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		holds = holds && it.Rev == e.Rev
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, it := range call.Writes {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.write(call.Writes, call.Remove)})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(max(call.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}

// endLease ends a lease and removes its keys. The caller holds s.mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.write(nil, keys)
	}
}

func (s *store) expireLeases() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}
