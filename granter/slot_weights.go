package granter

import (
	"math"
	"slices"
)

// Parameters of the weights.
const (
	// baseShare is the part of an even share that each holder gets without
	// demand, so that a burst finds slots at once.
	baseShare = 0.25
	// relativeTolerance is the relative change of a weight up to which the
	// weights in force stay.
	relativeTolerance = 0.25
	// absoluteTolerance is the change of a weight, in slots, up to which the
	// weights in force stay.
	absoluteTolerance = 2
)

// rebalance replaces the weights in force of each service whose holders have
// changed. It also replaces those that differ enough from the weights computed
// from demand, if the last change is long enough ago. The caller holds the lock.
func (s *SlotAllocator) rebalance() {
	now := s.now()
	computed := s.computeWeights()
	changed := false
	for service, weights := range computed {
		current := s.weights[service]
		if !sameHolders(current, weights) || now.Sub(s.lastRebalance) >= rebalanceInterval && weightsDiffer(current, weights) {
			s.weights[service] = weights
			changed = true
		}
	}
	if changed {
		s.lastRebalance = now
	}
}

// computeWeights returns the weights of the holders that have reported within
// holderTimeout, by service and holder. The caller holds the lock.
func (s *SlotAllocator) computeWeights() map[string]map[string]int {
	slots := map[string]int{}
	for _, executor := range s.executorList {
		slots[executor.service] += executor.slots
	}
	var active []*holderState
	for _, h := range s.holders {
		if s.now().Sub(h.lastReport) < holderTimeout {
			active = append(active, h)
		}
	}
	computed := map[string]map[string]int{}
	for service, total := range slots {
		weights := map[string]int{}
		for _, h := range active {
			base := int(baseShare * float64(total) / float64(len(active)))
			weights[h.id] = max(base, 1) + h.demand[service]
		}
		computed[service] = weights
	}
	return computed
}

// sameHolders reports whether both have the same holders.
func sameHolders(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for holder := range a {
		if _, ok := b[holder]; !ok {
			return false
		}
	}
	return true
}

// weightsDiffer reports whether a holder's weight changes by more than both
// tolerances.
func weightsDiffer(current, computed map[string]int) bool {
	for holder, weight := range computed {
		change := math.Abs(float64(weight - current[holder]))
		if change > absoluteTolerance && change > relativeTolerance*float64(current[holder]) {
			return true
		}
	}
	return false
}

// nextSlots returns the slots that the holder should have, by executor: its
// share by weight, as far as the other holders leave slots free. The caller
// holds the lock.
func (s *SlotAllocator) nextSlots(h *holderState) map[string]int {
	next := map[string]int{}
	for service, weights := range s.weights {
		var executors []Executor
		for _, executor := range s.executorList {
			if executor.service == service && !executor.leaving {
				executors = append(executors, executor)
			}
		}
		for i, executor := range executors {
			phase := float64(i) / float64(len(executors))
			share := shareOf(weights, h.id, executor.slots, phase)
			if n := min(share, s.freeSlots(h, executor)); n > 0 {
				next[executor.id] = n
			}
		}
	}
	return next
}

// freeSlots returns how many slots of the executor are not allocated to other
// holders. The caller holds the lock.
func (s *SlotAllocator) freeSlots(h *holderState, executor Executor) int {
	free := executor.slots
	for _, other := range s.holders {
		if other != h {
			free -= other.allocated[executor.id]
		}
	}
	return max(free, 0)
}

// shareOf returns the holder's share of the slots by weight. The shares of all
// holders add up to the slots. Fractions are rounded by the phase, from 0 to 1:
// it decides which of two holders adjacent in name order gets a slot that falls
// between them. Over executors with evenly spread phases, each holder's total
// is proportional to its weight.
func shareOf(weights map[string]int, holder string, slots int, phase float64) int {
	names := make([]string, 0, len(weights))
	total := 0
	for name, weight := range weights {
		names = append(names, name)
		total += weight
	}
	if total == 0 {
		return 0
	}
	slices.Sort(names)
	before := 0
	for _, name := range names {
		after := before + weights[name]
		if name == holder {
			return boundary(after, total, slots, phase) - boundary(before, total, slots, phase)
		}
		before = after
	}
	return 0
}

// boundary returns how many slots go to the first holders in name order whose
// weights add up to weight.
func boundary(weight, total, slots int, phase float64) int {
	return int(math.Floor(float64(weight)*float64(slots)/float64(total) + phase))
}
