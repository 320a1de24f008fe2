package granter

import (
	"container/list"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
)

// scanLimit is how many waiters are looked at when a slot gets free.
const scanLimit = 32

// Slot is the right to have one request in flight at an executor.
type Slot struct {
	executor    *held
	address     string // host:port
	connections int    // connections that this process may hold; at least 1
}

// Executor returns the id of the VM.
func (s Slot) Executor() string { return s.executor.id }

// Address returns host:port.
func (s Slot) Address() string { return s.address }

// Connections returns how many connections this process may hold.
func (s Slot) Connections() int { return s.connections }

// Release gives the slot back. It is called once.
func (s Slot) Release() { s.executor.service.release(s.executor) }

// held is one executor in the grants. The service's lock covers it.
type held struct {
	service     *heldService
	id          string
	address     string // host:port
	connections int
	limit       int  // slots granted
	inFlight    int  // never above the highest limit since it was 0
	leaving     bool // the grants say so
	excluded    bool // this VM was told so before the grants were
}

// set takes a grant over.
func (e *held) set(grant slotGrant) {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.address = grant.Address
	e.connections = max(grant.Connections, 1)
	e.limit = max(grant.Slots, 0)
	e.leaving = grant.Leaving
}

// exclude keeps new requests away or lets them in again.
func (e *held) exclude(excluded bool) {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.excluded = excluded
}

// drop takes all slots away. It removes the executor and returns true if no
// request is in flight.
func (e *held) drop() bool {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.limit = 0
	if e.inFlight > 0 {
		return false
	}
	e.service.members = slices.DeleteFunc(e.service.members, func(m *held) bool { return m == e })
	return true
}

// heldService is the executors of one service with the requests that wait.
type heldService struct {
	name    string
	hurry   chan<- struct{}
	mu      sync.Mutex
	members []*held
	waiters list.List // of *waiter, first come first
	peak    float64   // of requests in flight and waiting, decaying
}

// waiter is one request that waits for a slot.
type waiter struct {
	avoid func(executor string) bool
	given chan Slot // holds one element
}

// add adds an executor.
func (s *heldService) add(executor *held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = append(s.members, executor)
}

// acquire takes a slot, waiting until ctx is done.
func (s *heldService) acquire(ctx context.Context, avoid func(string) bool) (Slot, error) {
	s.mu.Lock()
	if len(s.members) == 0 {
		s.mu.Unlock()
		return Slot{}, ErrNoSlot
	}
	// Those who wait go first; they may wait for an executor that this request
	// avoids, so it is tried all the same when they can't be served.
	if slot, ok := s.pick(avoid); ok {
		s.note()
		s.mu.Unlock()
		return slot, nil
	}
	w := &waiter{avoid: avoid, given: make(chan Slot, 1)}
	element := s.waiters.PushBack(w)
	s.note()
	s.mu.Unlock()
	s.ask()
	select {
	case slot := <-w.given:
		return slot, nil
	case <-ctx.Done():
		return Slot{}, s.leave(element, w)
	}
}

// leave ends a wait; a slot given meanwhile goes on to the next.
func (s *heldService) leave(element *list.Element, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case slot := <-w.given:
		slot.executor.inFlight--
		s.serveLocked()
	default:
		s.waiters.Remove(element)
	}
	return ErrNoSlot
}

// ask makes the next report come soon.
func (s *heldService) ask() {
	select {
	case s.hurry <- struct{}{}:
	default:
	}
}

// pick takes a slot of the least loaded executor, by chance among equals. The
// lock is held.
func (s *heldService) pick(avoid func(string) bool) (Slot, bool) {
	var best *held
	ties := 0
	for _, e := range s.members {
		if !e.isFree() {
			continue
		}
		order := 1
		if best != nil {
			order = best.compare(e)
		}
		if order < 0 || avoid != nil && avoid(e.id) {
			continue
		}
		if order > 0 {
			best, ties = e, 1
			continue
		}
		ties++
		if rand.IntN(ties) == 0 { //nolint:gosec // Spreading needs no secrecy.
			best = e
		}
	}
	if best == nil {
		return Slot{}, false
	}
	best.inFlight++
	return Slot{executor: best, address: best.address, connections: best.connections}, true
}

// isFree reports whether one more request may go to the executor.
func (e *held) isFree() bool { return e.inFlight < e.limit && !e.leaving && !e.excluded }

// compare returns a number above 0 if the other has less load, below 0 if it has
// more: requests in flight against slots granted.
func (e *held) compare(other *held) int { return e.inFlight*other.limit - other.inFlight*e.limit }

// release gives a slot back and serves those who wait.
func (s *heldService) release(executor *held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	executor.inFlight--
	s.serveLocked()
}

// serve gives free slots to those who wait.
func (s *heldService) serve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serveLocked()
}

// serveLocked is serve with the lock held. It looks at scanLimit waiters at
// most, so that many who avoid the free executors cost little.
func (s *heldService) serveLocked() {
	element := s.waiters.Front()
	for range scanLimit {
		if element == nil || !slices.ContainsFunc(s.members, (*held).isFree) {
			return
		}
		following := element.Next()
		w := element.Value.(*waiter)
		if slot, ok := s.pick(w.avoid); ok {
			s.waiters.Remove(element)
			w.given <- slot
		}
		element = following
	}
}

// note raises the peak of demand. The lock is held.
func (s *heldService) note() {
	_, inFlight, waiting := s.loadLocked()
	s.peak = max(s.peak, float64(inFlight+waiting))
}

// load returns slots granted, requests in flight and waiting.
func (s *heldService) load() (granted, inFlight, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadLocked()
}

// loadLocked is load with the lock held.
func (s *heldService) loadLocked() (granted, inFlight, waiting int) {
	for _, e := range s.members {
		granted += e.limit
		inFlight += e.inFlight
	}
	return granted, inFlight, s.waiters.Len()
}

// report returns the demand and what may be used of each executor until newer
// grants are applied.
func (s *heldService) report() (demand int, holding []slotCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.members {
		if n := max(e.limit, e.inFlight); n > 0 {
			holding = append(holding, slotCount{Name: e.id, Slots: n})
		}
	}
	demand = int(s.peak)
	_, inFlight, waiting := s.loadLocked()
	s.peak = max(s.peak*demandDecay, float64(inFlight+waiting))
	return demand, holding
}
