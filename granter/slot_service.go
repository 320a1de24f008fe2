package granter

import (
	"container/list"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
)

// scanLimit is how many waiters are considered when a slot becomes free.
const scanLimit = 32

// Slot is the right to have one request in flight at an executor.
type Slot struct {
	executor    *grantedExecutor
	address     string // host:port
	connections int    // connections that this process may hold; at least 1
}

// Executor returns the id of the executor.
func (s Slot) Executor() string { return s.executor.id }

// Address returns the executor's address as host:port.
func (s Slot) Address() string { return s.address }

// Connections returns how many connections to the executor this process may
// hold.
func (s Slot) Connections() int { return s.connections }

// Release gives the slot back. It must be called once.
func (s Slot) Release() { s.executor.service.release(s.executor) }

// grantedExecutor is one executor in the grants. The service's lock guards it.
type grantedExecutor struct {
	service     *serviceSlots
	id          string
	address     string // host:port
	connections int
	granted     int  // slots
	inFlight    int  // at most the highest value of granted since inFlight was last 0
	leaving     bool // according to the grants
	excluded    bool // according to SlotPool.SetExcluded
}

func (e *grantedExecutor) apply(grant slotGrant) {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.address = grant.Address
	e.connections = max(grant.Connections, 1)
	e.granted = max(grant.Slots, 0)
	e.leaving = grant.Leaving
}

// exclude sets whether the executor gets no new requests.
func (e *grantedExecutor) exclude(excluded bool) {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.excluded = excluded
}

// revoke takes all slots away. If no request is in flight, it removes the
// executor and returns true.
func (e *grantedExecutor) revoke() bool {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.granted = 0
	if e.inFlight > 0 {
		return false
	}
	e.service.executors = slices.DeleteFunc(e.service.executors, func(other *grantedExecutor) bool { return other == e })
	return true
}

// serviceSlots holds the executors of one service and the requests that wait
// for a slot.
type serviceSlots struct {
	name       string
	wakeup     chan<- struct{} // makes the next report due soon
	mu         sync.Mutex      // guards the fields below and those of the executors
	executors  []*grantedExecutor
	waiters    list.List // of *waiter, first in, first out
	peakDemand float64   // requests in flight and waiting; decays
}

// waiter is one request that waits for a slot.
type waiter struct {
	avoid func(executor string) bool
	slot  chan Slot // capacity 1
}

func (s *serviceSlots) add(executor *grantedExecutor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executors = append(s.executors, executor)
}

// acquire takes a slot, waiting until ctx is done. It returns ErrNoSlot at once
// if the service has no executor.
func (s *serviceSlots) acquire(ctx context.Context, avoid func(string) bool) (Slot, error) {
	s.mu.Lock()
	if len(s.executors) == 0 {
		s.mu.Unlock()
		return Slot{}, ErrNoSlot
	}
	// Waiters come first, but a slot that is free was already offered to them:
	// those considered avoid its executor, so this request may take it.
	if slot, ok := s.takeSlot(avoid); ok {
		s.raisePeak()
		s.mu.Unlock()
		return slot, nil
	}
	w := &waiter{avoid: avoid, slot: make(chan Slot, 1)}
	element := s.waiters.PushBack(w)
	s.raisePeak()
	s.mu.Unlock()
	s.requestReport()
	select {
	case slot := <-w.slot:
		return slot, nil
	case <-ctx.Done():
		return Slot{}, s.cancelWait(element, w)
	}
}

// cancelWait ends a wait and returns ErrNoSlot. If the waiter has just been
// given a slot, the slot goes to the next waiter.
func (s *serviceSlots) cancelWait(element *list.Element, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case slot := <-w.slot:
		slot.executor.inFlight--
		s.serveWaitersLocked()
	default:
		s.waiters.Remove(element)
	}
	return ErrNoSlot
}

// requestReport makes the next report due soon.
func (s *serviceSlots) requestReport() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// takeSlot takes a slot of the least loaded executor that avoid does not
// reject, at random among equals. The caller holds the lock.
func (s *serviceSlots) takeSlot(avoid func(string) bool) (Slot, bool) {
	var best *grantedExecutor
	ties := 0
	for _, e := range s.executors {
		if !e.hasFreeSlot() {
			continue
		}
		comparison := 1
		if best != nil {
			comparison = best.compare(e)
		}
		if comparison < 0 || avoid != nil && avoid(e.id) {
			continue
		}
		if comparison > 0 {
			best, ties = e, 1
			continue
		}
		ties++
		if rand.IntN(ties) == 0 { //nolint:gosec // Load balancing needs no secure randomness.
			best = e
		}
	}
	if best == nil {
		return Slot{}, false
	}
	best.inFlight++
	return Slot{executor: best, address: best.address, connections: best.connections}, true
}

// hasFreeSlot reports whether one more request may go to the executor.
func (e *grantedExecutor) hasFreeSlot() bool {
	return e.inFlight < e.granted && !e.leaving && !e.excluded
}

// compare returns a number above 0 if the other executor has less load, and
// below 0 if it has more. The load is the requests in flight per granted slot.
func (e *grantedExecutor) compare(other *grantedExecutor) int {
	return e.inFlight*other.granted - other.inFlight*e.granted
}

// release gives a slot back and serves the waiters.
func (s *serviceSlots) release(executor *grantedExecutor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	executor.inFlight--
	s.serveWaitersLocked()
}

// serveWaiters gives free slots to waiters.
func (s *serviceSlots) serveWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serveWaitersLocked()
}

// serveWaitersLocked is serveWaiters with the lock held. It considers at most
// scanLimit waiters, so that many waiters that avoid the free executors cost
// little.
func (s *serviceSlots) serveWaitersLocked() {
	element := s.waiters.Front()
	for range scanLimit {
		if element == nil || !slices.ContainsFunc(s.executors, (*grantedExecutor).hasFreeSlot) {
			return
		}
		next := element.Next()
		w := element.Value.(*waiter)
		if slot, ok := s.takeSlot(w.avoid); ok {
			s.waiters.Remove(element)
			w.slot <- slot
		}
		element = next
	}
}

// raisePeak raises the peak of demand to the present load. The caller holds the
// lock.
func (s *serviceSlots) raisePeak() {
	_, inFlight, waiting := s.loadLocked()
	s.peakDemand = max(s.peakDemand, float64(inFlight+waiting))
}

// load returns the numbers of granted slots and of requests in flight and
// waiting.
func (s *serviceSlots) load() (granted, inFlight, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadLocked()
}

// loadLocked is load with the lock held.
func (s *serviceSlots) loadLocked() (granted, inFlight, waiting int) {
	for _, e := range s.executors {
		granted += e.granted
		inFlight += e.inFlight
	}
	return granted, inFlight, s.waiters.Len()
}

// report returns the demand, and the most slots of each executor that may be
// used until newer grants are applied. Then the peak of demand decays.
func (s *serviceSlots) report() (demand int, holding []slotCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.executors {
		if n := max(e.granted, e.inFlight); n > 0 {
			holding = append(holding, slotCount{Name: e.id, Slots: n})
		}
	}
	demand = int(s.peakDemand)
	_, inFlight, waiting := s.loadLocked()
	s.peakDemand = max(s.peakDemand*demandDecay, float64(inFlight+waiting))
	return demand, holding
}
