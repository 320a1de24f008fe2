package granter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// protocolRounds is how often the usual number of runs is done; each is short.
const protocolRounds = 20

// protocol is owners and holders whose messages are delivered in any order, late,
// doubled or never.
type protocol struct {
	now       time.Time
	owners    []*SlotAllocator
	holders   [testHolders]*SlotPool
	requests  []*slotsRequest
	responses map[string][]*slotsResponse // by holder and incarnation
	records   [][]byte
	term      uint64
	journal   int // what the next write does: 0 holds, 1 holds and fails, 2 fails
	slots     []Slot
}

func newProtocol() *protocol {
	p := &protocol{now: time.Unix(1, 0), responses: map[string][]*slotsResponse{}}
	for i := range p.holders {
		p.startHolder(i)
	}
	p.startOwner()
	return p
}

func (p *protocol) startHolder(i int) {
	incarnation := uint64(1)
	if p.holders[i] != nil {
		incarnation = p.holders[i].incarnation + 1
	}
	p.holders[i], _ = NewSlotPool(WithIdentity(holderName(i), incarnation))
}

func (p *protocol) startOwner() {
	p.term++
	term := p.term
	s, _ := NewSlotAllocator(
		WithSlotClock(func() time.Time { return p.now }),
		WithExecutors(func() []Executor {
			return []Executor{NewExecutor("e0", testService, "a", testSlots, 64, false), NewExecutor("e1", testService, "b", testSlots, 64, false)}
		}),
		WithIncarnationEnded(func(holder string, incarnation uint64) bool {
			for i, h := range p.holders {
				if holderName(i) == holder {
					return incarnation < h.incarnation
				}
			}
			return false
		}),
		WithSlotJournal(func(_ context.Context, record []byte) error { return p.write(term, record) }))
	_ = s.Begin(term, p.records)
	p.owners = append(p.owners, s)
}

func (p *protocol) write(term uint64, record []byte) error {
	if term != p.term {
		return errFenced
	}
	if p.journal < 2 {
		p.records = append(p.records, record)
	}
	if p.journal > 0 {
		return errLost
	}
	return nil
}

// key names one process.
func key(holder string, incarnation uint64) string { return fmt.Sprint(holder, "/", incarnation) }

// deliver hands a report to an owner and keeps the answer for the holder.
func (p *protocol) deliver(owner *SlotAllocator, request *slotsRequest) {
	response, err := owner.handle(context.Background(), request)
	if err == nil {
		name := key(request.Holder, request.Incarnation)
		p.responses[name] = append(p.responses[name], response)
	}
}

// check returns what is wrong with what the holders may use by now.
func (p *protocol) check() string {
	used := map[string]int{}
	for _, h := range p.holders {
		for id, e := range h.executors {
			used[id] += max(e.limit, e.inFlight)
		}
	}
	for id, n := range used {
		if n > testSlots {
			return fmt.Sprintf("%d slots of %s in use or usable", n, id)
		}
	}
	return ""
}

// actions returns what may happen next.
func (p *protocol) actions() map[string]func(*rapid.T) {
	holder := rapid.IntRange(0, testHolders-1)
	report := func(rt *rapid.T) {
		h := p.holders[holder.Draw(rt, "holder")]
		h.serviceOf(testService).peak = float64(rapid.IntRange(0, 60).Draw(rt, "demand"))
		p.requests = append(p.requests, h.request())
		p.deliver(p.owners[len(p.owners)-1], p.requests[len(p.requests)-1])
	}
	apply := func(rt *rapid.T) {
		h := p.holders[holder.Draw(rt, "holder")]
		known := p.responses[key(h.id, h.incarnation)]
		if len(known) == 0 {
			rt.Skip("no answer yet")
		}
		h.apply(known[max(len(known)-1-rapid.IntRange(0, 8).Draw(rt, "back"), 0)])
	}
	return map[string]func(*rapid.T){
		"report": report, "report again": report, "apply": apply, "apply again": apply,
		"late report": func(rt *rapid.T) {
			if len(p.requests) == 0 {
				rt.Skip("no report yet")
			}
			back := rapid.IntRange(0, min(len(p.requests)-1, 12)).Draw(rt, "back")
			p.deliver(rapid.SampledFrom(p.owners).Draw(rt, "owner"), p.requests[len(p.requests)-1-back])
		},
		"acquire": func(rt *rapid.T) {
			expired, cancel := context.WithCancel(context.Background())
			cancel()
			if slot, err := p.holders[holder.Draw(rt, "holder")].Acquire(expired, testService, nil); err == nil {
				p.slots = append(p.slots, slot)
			}
		},
		"release": func(rt *rapid.T) {
			if len(p.slots) == 0 {
				rt.Skip("no slot")
			}
			i := rapid.IntRange(0, len(p.slots)-1).Draw(rt, "slot")
			p.slots[i].Release()
			p.slots = append(p.slots[:i], p.slots[i+1:]...)
		},
		"time":    func(*rapid.T) { p.now = p.now.Add(rebalanceInterval) },
		"silence": func(*rapid.T) { p.now = p.now.Add(holderSilence) },
		"journal": func(rt *rapid.T) { p.journal = rapid.IntRange(0, 2).Draw(rt, "outcome") },
		"crash":   func(rt *rapid.T) { p.startHolder(holder.Draw(rt, "holder")) },
		"owner": func(*rapid.T) {
			p.startOwner()
			p.journal = 0
		},
		"": func(rt *rapid.T) {
			if fault := p.check(); fault != "" {
				rt.Fatal(fault)
			}
		},
	}
}

func TestSlotProtocol(t *testing.T) {
	for range protocolRounds {
		rapid.Check(t, func(rt *rapid.T) { rt.Repeat(newProtocol().actions()) })
	}
}
