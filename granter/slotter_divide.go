package granter

import (
	"math"
	"slices"
)

// Settings of the weights.
const (
	// reservePart is the part of an even division that each holder gets without
	// demand, so that a burst finds slots at once.
	reservePart = 0.25
	// weightChange is the relative change of a weight from which on the division
	// is made anew.
	weightChange = 0.25
	// weightSlack is the change in slots that is always let pass.
	weightSlack = 2
)

// rebalance takes over the weights that follow from demand, when they differ
// enough from those in force or the holders are others. The lock is held.
func (s *SlotAllocator) rebalance() {
	now := s.now()
	fresh := s.freshWeights()
	changed := false
	for service, weights := range fresh {
		known := s.weights[service]
		if !sameHolders(known, weights) || now.Sub(s.rebalanced) >= rebalanceInterval && differ(known, weights) {
			s.weights[service] = weights
			changed = true
		}
	}
	if changed {
		s.rebalanced = now
	}
}

// freshWeights returns the weights of the holders heard of lately, by service
// and holder. The lock is held.
func (s *SlotAllocator) freshWeights() map[string]map[string]int {
	slots := map[string]int{}
	for _, executor := range s.list {
		slots[executor.service] += executor.slots
	}
	var heard []*holderState
	for _, h := range s.holders {
		if s.now().Sub(h.heard) < holderSilence {
			heard = append(heard, h)
		}
	}
	fresh := map[string]map[string]int{}
	for service, total := range slots {
		weights := map[string]int{}
		for _, h := range heard {
			reserve := int(reservePart * float64(total) / float64(len(heard)))
			weights[h.id] = max(reserve, 1) + h.demand[service]
		}
		fresh[service] = weights
	}
	return fresh
}

// sameHolders reports whether both name the same holders.
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

// differ reports whether a holder's part would change noticeably.
func differ(known, fresh map[string]int) bool {
	for holder, weight := range fresh {
		change := math.Abs(float64(weight - known[holder]))
		if change > weightSlack && change > weightChange*float64(known[holder]) {
			return true
		}
	}
	return false
}

// next returns the grants that the holder should have: its part by weight, as
// far as the other holders leave room. The lock is held.
func (s *SlotAllocator) next(h *holderState) map[string]int {
	next := map[string]int{}
	for service, weights := range s.weights {
		var members []Executor
		for _, executor := range s.list {
			if executor.service == service && !executor.leaving {
				members = append(members, executor)
			}
		}
		for i, executor := range members {
			phase := float64(i) / float64(len(members))
			part := partOf(weights, h.id, executor.slots, phase)
			if n := min(part, s.room(h, executor)); n > 0 {
				next[executor.id] = n
			}
		}
	}
	return next
}

// room returns how many slots the other holders leave. The lock is held.
func (s *SlotAllocator) room(h *holderState, executor Executor) int {
	room := executor.slots
	for _, other := range s.holders {
		if other != h {
			room -= other.booked[executor.id]
		}
	}
	return max(room, 0)
}

// partOf returns the holder's part of the slots by weight. The parts of all
// holders add up to the slots. Fractions go to one holder or the next by phase,
// from 0 to 1, so that over executors of evenly spread phases each gets its
// weight's part.
func partOf(weights map[string]int, holder string, slots int, phase float64) int {
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
			return cut(after, total, slots, phase) - cut(before, total, slots, phase)
		}
		before = after
	}
	return 0
}

// cut returns the slots up to a holder's border.
func cut(weight, total, slots int, phase float64) int {
	return int(math.Floor(float64(weight)*float64(slots)/float64(total) + phase))
}
