package granter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkRepeats multiplies the number of checks, since each check is short.
const checkRepeats = 20

// protocolSimulation has owners and holders whose messages are delivered in any
// order, late, twice or never.
type protocolSimulation struct {
	now            time.Time
	owners         []*SlotAllocator
	holders        [testHolders]*SlotPool
	requests       []*slotsRequest
	responses      map[string][]*slotsResponse // by holder and incarnation
	records        [][]byte                    // the journal
	term           uint64
	journalOutcome int    // of the next write: 0 succeeds, 1 persists but returns an error, 2 fails
	slots          []Slot // acquired and not released
}

func newProtocolSimulation() *protocolSimulation {
	s := &protocolSimulation{now: time.Unix(1, 0), responses: map[string][]*slotsResponse{}}
	for i := range s.holders {
		s.startHolder(i)
	}
	s.startOwner()
	return s
}

func (s *protocolSimulation) startHolder(i int) {
	incarnation := uint64(1)
	if s.holders[i] != nil {
		incarnation = s.holders[i].incarnation + 1
	}
	s.holders[i], _ = NewSlotPool(WithIdentity(holderName(i), incarnation))
}

func (s *protocolSimulation) startOwner() {
	s.term++
	term := s.term
	allocator, _ := NewSlotAllocator(
		WithSlotClock(func() time.Time { return s.now }),
		WithExecutors(func() []Executor {
			return []Executor{NewExecutor("e0", testService, "a", testSlots, 64, false), NewExecutor("e1", testService, "b", testSlots, 64, false)}
		}),
		WithIncarnationEnded(func(holder string, incarnation uint64) bool {
			for i, h := range s.holders {
				if holderName(i) == holder {
					return incarnation < h.incarnation
				}
			}
			return false
		}),
		WithSlotJournal(func(_ context.Context, record []byte) error { return s.appendRecord(term, record) }))
	_ = allocator.Begin(term, s.records)
	s.owners = append(s.owners, allocator)
}

func (s *protocolSimulation) appendRecord(term uint64, record []byte) error {
	if term != s.term {
		return errFenced
	}
	if s.journalOutcome < 2 {
		s.records = append(s.records, record)
	}
	if s.journalOutcome > 0 {
		return errLost
	}
	return nil
}

// processKey identifies one process of a holder.
func processKey(holder string, incarnation uint64) string {
	return fmt.Sprint(holder, "/", incarnation)
}

// deliver delivers a report to an owner and keeps the response for the holder.
func (s *protocolSimulation) deliver(owner *SlotAllocator, request *slotsRequest) {
	response, err := owner.onReport(context.Background(), request)
	if err == nil {
		process := processKey(request.Holder, request.Incarnation)
		s.responses[process] = append(s.responses[process], response)
	}
}

// violation describes an executor of which the holders may use more slots than
// it has, or returns an empty string.
func (s *protocolSimulation) violation() string {
	used := map[string]int{}
	for _, h := range s.holders {
		for id, e := range h.executors {
			used[id] += max(e.granted, e.inFlight)
		}
	}
	for id, n := range used {
		if n > testSlots {
			return fmt.Sprintf("%d slots of %s in use or usable", n, id)
		}
	}
	return ""
}

// actions returns the random actions by name. The one with the empty name checks
// the invariant after each action. Reports and the application of grants have
// two names each, so that they are drawn more often.
func (s *protocolSimulation) actions() map[string]func(*rapid.T) {
	holder := rapid.IntRange(0, testHolders-1)
	report := func(rt *rapid.T) {
		h := s.holders[holder.Draw(rt, "holder")]
		h.serviceOf(testService).peakDemand = float64(rapid.IntRange(0, 60).Draw(rt, "demand"))
		s.requests = append(s.requests, h.newRequest())
		s.deliver(s.owners[len(s.owners)-1], s.requests[len(s.requests)-1])
	}
	apply := func(rt *rapid.T) {
		h := s.holders[holder.Draw(rt, "holder")]
		responses := s.responses[processKey(h.id, h.incarnation)]
		if len(responses) == 0 {
			rt.Skip("no response yet")
		}
		h.apply(responses[max(len(responses)-1-rapid.IntRange(0, 8).Draw(rt, "back"), 0)])
	}
	return map[string]func(*rapid.T){
		"report": report, "report again": report, "apply": apply, "apply again": apply,
		"late report": func(rt *rapid.T) {
			if len(s.requests) == 0 {
				rt.Skip("no report yet")
			}
			back := rapid.IntRange(0, min(len(s.requests)-1, 12)).Draw(rt, "back")
			s.deliver(rapid.SampledFrom(s.owners).Draw(rt, "owner"), s.requests[len(s.requests)-1-back])
		},
		"acquire": func(rt *rapid.T) {
			expired, cancel := context.WithCancel(context.Background())
			cancel()
			if slot, err := s.holders[holder.Draw(rt, "holder")].Acquire(expired, testService, nil); err == nil {
				s.slots = append(s.slots, slot)
			}
		},
		"release": func(rt *rapid.T) {
			if len(s.slots) == 0 {
				rt.Skip("no slot")
			}
			i := rapid.IntRange(0, len(s.slots)-1).Draw(rt, "slot")
			s.slots[i].Release()
			s.slots = append(s.slots[:i], s.slots[i+1:]...)
		},
		"time":    func(*rapid.T) { s.now = s.now.Add(rebalanceInterval) },
		"silence": func(*rapid.T) { s.now = s.now.Add(holderTimeout) },
		"journal": func(rt *rapid.T) { s.journalOutcome = rapid.IntRange(0, 2).Draw(rt, "outcome") },
		"crash":   func(rt *rapid.T) { s.startHolder(holder.Draw(rt, "holder")) },
		"owner": func(*rapid.T) {
			s.startOwner()
			s.journalOutcome = 0
		},
		"": func(rt *rapid.T) {
			if violation := s.violation(); violation != "" {
				rt.Fatal(violation)
			}
		},
	}
}

func TestSlotProtocol(t *testing.T) {
	for range checkRepeats {
		rapid.Check(t, func(rt *rapid.T) { rt.Repeat(newProtocolSimulation().actions()) })
	}
}
