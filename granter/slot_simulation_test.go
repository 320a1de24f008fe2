package granter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/messenger"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	testHolders   = 3
	testExecutors = 3
	testSlots     = 8
	testService   = "prenota"
)

var (
	errLost   = errors.New("message lost")
	errFenced = errors.New("journal belongs to another owner")
)

// simulation is a data centre whose network, store and processes fail.
type simulation struct {
	mu            sync.Mutex
	rng           *rand.Rand
	networkFaults bool                    // messages are lost, delayed and duplicated
	storeDown     bool                    // writes return errors
	muxes         map[string]http.Handler // by address
	records       [][]byte                // the journal
	term          uint64                  // the highest
	holders       [testHolders]*testHolder
	inFlight      map[string]int // by executor, over all holders
	violation     string         // the first invariant violation
}

// testHolder is one process of an entry VM.
type testHolder struct {
	*SlotPool
	incarnation uint64
	killed      chan struct{} // closed when the process is killed
	stop        context.CancelFunc
	ownerTerm   uint64 // term of the owner that it reports to
}

// Do delivers a call, with the faults of the network.
func (s *simulation) Do(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	handler := s.muxes[request.URL.Host]
	var requestLost, responseLost, duplicated bool
	var delay, duplicateDelay time.Duration
	if s.networkFaults {
		requestLost, responseLost, duplicated = s.rng.IntN(8) == 0, s.rng.IntN(8) == 0, s.rng.IntN(4) == 0
		delay, duplicateDelay = time.Duration(s.rng.IntN(300))*time.Millisecond, time.Duration(s.rng.IntN(5000))*time.Millisecond
	}
	s.mu.Unlock()
	deliver := func(ctx context.Context) *http.Response {
		recorder := httptest.NewRecorder()
		copied := request.Clone(ctx)
		copied.Body = io.NopCloser(bytes.NewReader(body))
		copied.Header.Del("Accept-Encoding") // Compression takes most of the time and is not tested here.
		handler.ServeHTTP(recorder, copied)
		return recorder.Result()
	}
	if requestLost || handler == nil {
		return nil, errLost
	}
	if duplicated {
		go func() {
			time.Sleep(duplicateDelay)
			deliver(context.Background())
		}()
	}
	time.Sleep(delay)
	response := deliver(request.Context())
	time.Sleep(delay)
	if responseLost {
		return nil, errLost
	}
	return response, nil
}

// appendRecord writes to the journal for the owner with that term. A write that
// returns an error may be persisted.
func (s *simulation) appendRecord(term uint64, record []byte) error {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.term {
		return errFenced
	}
	if !s.storeDown || s.rng.IntN(2) == 0 {
		s.records = append(s.records, record)
	}
	if s.storeDown {
		return errLost
	}
	return nil
}

// startOwner makes a new entry VM the owner. The previous one keeps running.
func (s *simulation) startOwner(c *qt.C, m *messenger.Messenger) {
	s.mu.Lock()
	s.term++
	term, records := s.term, s.records
	s.mu.Unlock()
	allocator, err := NewSlotAllocator(
		WithExecutors(func() []Executor {
			var executors []Executor
			for i := range testExecutors {
				executors = append(executors, NewExecutor(fmt.Sprint("e", i), testService, "address", testSlots, 64, false))
			}
			return executors
		}),
		WithIncarnationEnded(func(holder string, incarnation uint64) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			for i, h := range s.holders {
				if holder == holderName(i) {
					return incarnation < h.incarnation
				}
			}
			return false
		}),
		WithSlotJournal(func(_ context.Context, record []byte) error { return s.appendRecord(term, record) }))
	c.Assert(err, qt.IsNil)
	c.Assert(allocator.Begin(term, records), qt.IsNil)
	mux := http.NewServeMux()
	allocator.Register(m, mux)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muxes[ownerAddress(term)] = mux
}

func ownerAddress(term uint64) string { return fmt.Sprint("owner-", term) }

func holderName(i int) string { return fmt.Sprint("entry-", i) }

// startHolder starts the first or the next process of an entry VM and kills the
// previous one.
func (s *simulation) startHolder(c *qt.C, ctx context.Context, m *messenger.Messenger, i int) { //nolint:revive // The context is the simulation's.
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation := uint64(1)
	if old := s.holders[i]; old != nil {
		incarnation = old.incarnation + 1
		close(old.killed)
		old.stop()
	}
	h := &testHolder{incarnation: incarnation, killed: make(chan struct{}), ownerTerm: s.term}
	ctx, h.stop = context.WithCancel(ctx)
	var err error
	h.SlotPool, err = NewSlotPool(WithIdentity(holderName(i), incarnation), WithMessenger(m), WithOwner(func() (string, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return ownerAddress(h.ownerTerm), true
	}))
	c.Assert(err, qt.IsNil)
	s.holders[i] = h
	go func() { _ = h.Run(ctx) }()
}

// sendRequest sends one request through a holder. The executor works on it for
// d.
func (s *simulation) sendRequest(ctx context.Context, h *testHolder, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	slot, err := h.Acquire(ctx, testService, nil)
	if err != nil {
		return
	}
	s.mu.Lock()
	select {
	case <-h.killed:
		s.mu.Unlock()
		return // A killed process sends nothing.
	default:
	}
	s.inFlight[slot.Executor()]++
	if n := s.inFlight[slot.Executor()]; n > testSlots && s.violation == "" {
		s.violation = fmt.Sprintf("%d requests in flight at %s", n, slot.Executor())
	}
	s.mu.Unlock()
	select {
	case <-time.After(d):
	case <-h.killed:
	}
	s.mu.Lock()
	s.inFlight[slot.Executor()]--
	s.mu.Unlock()
	slot.Release()
}

// step is one event of a scenario: its kind, the index of the holder that it
// concerns, the number of requests to send, and the time until the next step.
type step struct {
	kind, holder, count int
	wait                time.Duration
}

// The kinds of steps.
const (
	sendRequests = iota
	restartHolder
	changeOwner
	learnOwner // the holder reports to the present owner from now on
	failStore
	restoreStore
	stepKinds // number of kinds
)

// runSteps runs the steps, ends all faults, and returns the simulation after
// another 12 s, which is enough to become stable.
func runSteps(t *testing.T, steps []step, seed uint64) *simulation {
	c := qt.New(t)
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), networkFaults: true, muxes: map[string]http.Handler{}, inFlight: map[string]int{}}
	m, err := messenger.New(messenger.WithClient(sim, "http"))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sim.startOwner(c, m)
	for i := range testHolders {
		sim.startHolder(c, ctx, m, i)
	}
	for _, s := range steps {
		sim.apply(c, ctx, m, s)
		time.Sleep(s.wait)
	}
	sim.mu.Lock()
	sim.networkFaults, sim.storeDown = false, false
	for _, h := range sim.holders {
		h.ownerTerm = sim.term
	}
	sim.mu.Unlock()
	time.Sleep(12 * time.Second)
	cancel()
	synctest.Wait()
	return sim
}

// apply carries out one step.
func (s *simulation) apply(c *qt.C, ctx context.Context, m *messenger.Messenger, event step) { //nolint:revive // The context is the simulation's.
	s.mu.Lock()
	h := s.holders[event.holder]
	s.mu.Unlock()
	switch event.kind {
	case sendRequests:
		for i := range event.count {
			go s.sendRequest(ctx, h, time.Duration(100+50*i)*time.Millisecond)
		}
	case restartHolder:
		s.startHolder(c, ctx, m, event.holder)
	case changeOwner:
		s.startOwner(c, m)
	case learnOwner:
		s.mu.Lock()
		h.ownerTerm = s.term
		s.mu.Unlock()
	case failStore, restoreStore:
		s.mu.Lock()
		s.storeDown = event.kind == failStore
		s.mu.Unlock()
	}
}

// drawSteps draws the steps of a scenario, mostly requests.
func drawSteps(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		kind := sendRequests
		if rapid.IntRange(0, 2).Draw(rt, "event") == 0 {
			kind = rapid.IntRange(sendRequests, stepKinds-1).Draw(rt, "kind")
		}
		return step{
			kind: kind, holder: rapid.IntRange(0, testHolders-1).Draw(rt, "holder"), count: rapid.IntRange(1, 30).Draw(rt, "count"),
			wait: time.Duration(rapid.IntRange(0, 900).Draw(rt, "wait")) * time.Millisecond,
		}
	}), 5, 30).Draw(rt, "steps")
}

func TestSlotsNeverOverbooked(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps, seed := drawSteps(rt), rapid.Uint64().Draw(rt, "seed")
		var sim *simulation
		synctest.Test(t, func(t *testing.T) { sim = runSteps(t, steps, seed) })
		if sim.violation != "" {
			rt.Fatalf("slots overbooked: %s", sim.violation)
		}
		for executor, n := range sim.inFlight {
			if n != 0 {
				rt.Fatalf("%d requests still in flight at %s", n, executor)
			}
		}
		total := 0
		for i, h := range sim.holders {
			granted, _, waiting := h.Load(testService)
			if granted == 0 || waiting != 0 {
				rt.Fatalf("holder %d has %d slots and %d waiting after all faults ended", i, granted, waiting)
			}
			total += granted
		}
		if total != testExecutors*testSlots {
			rt.Fatalf("%d slots granted after all faults ended", total)
		}
	})
}

func TestSlotsFollowDemand(t *testing.T) {
	c := qt.New(t)
	synctest.Test(t, func(t *testing.T) {
		steps := []step{{kind: learnOwner, wait: 2 * time.Second}}
		for range 40 {
			steps = append(steps, step{kind: sendRequests, holder: 1, count: 20, wait: 200 * time.Millisecond})
		}
		sim := runSteps(t, append(steps, step{kind: learnOwner}), 1)
		c.Assert(sim.violation, qt.Equals, "")
		busy, _, _ := sim.holders[1].Load(testService)
		quiet, _, _ := sim.holders[0].Load(testService)
		c.Assert(busy >= quiet, qt.IsTrue, qt.Commentf("busy holder has %d slots, quiet one %d", busy, quiet))
	})
}

func TestAvoidAndExclude(t *testing.T) {
	c := qt.New(t)
	pool, err := NewSlotPool()
	c.Assert(err, qt.IsNil)
	pool.apply(&slotsResponse{Term: 1, Seq: 1, Grants: []slotGrant{
		{Executor: "a", Service: testService, Slots: 1, Connections: 8},
		{Executor: "b", Service: testService, Slots: 1, Connections: 8},
	}})
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	c.Run("avoided", func(c *qt.C) {
		slot, err := pool.Acquire(expired, testService, func(executor string) bool { return executor == "a" })
		c.Assert(err, qt.IsNil)
		c.Assert(slot.Executor(), qt.Equals, "b")
		slot.Release()
	})
	c.Run("leaving", func(c *qt.C) {
		pool.SetExcluded("a", true)
		slot, err := pool.Acquire(expired, testService, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(slot.Executor(), qt.Equals, "b")
		_, err = pool.Acquire(expired, testService, nil)
		c.Assert(err, qt.ErrorIs, ErrNoSlot)
		slot.Release()
		pool.SetExcluded("a", false)
	})
	c.Run("excluded before it is granted", func(c *qt.C) {
		pool.SetExcluded("c", true)
		pool.apply(&slotsResponse{Term: 1, Seq: 2, Grants: []slotGrant{{Executor: "c", Service: testService, Slots: 1, Connections: 8}}})
		_, err := pool.Acquire(expired, testService, nil)
		c.Assert(err, qt.ErrorIs, ErrNoSlot)
		pool.SetExcluded("c", false)
		slot, err := pool.Acquire(expired, testService, nil)
		c.Assert(err, qt.IsNil)
		slot.Release()
	})
	c.Run("older grants are not applied", func(c *qt.C) {
		pool.apply(&slotsResponse{Term: 0, Seq: 9})
		granted, _, _ := pool.Load(testService)
		c.Assert(granted, qt.Equals, 1)
	})
	c.Run("no executor", func(c *qt.C) {
		_, err := pool.Acquire(t.Context(), "absent", nil)
		c.Assert(err, qt.ErrorIs, ErrNoSlot)
	})
}

func TestNewAddress(t *testing.T) {
	c := qt.New(t)
	address := "old"
	allocator, err := NewSlotAllocator(WithExecutors(func() []Executor { return []Executor{NewExecutor("a", testService, address, 8, 64, false)} }))
	c.Assert(err, qt.IsNil)
	c.Assert(allocator.Begin(1, nil), qt.IsNil)
	pool, err := NewSlotPool(WithIdentity("entry-0", 1))
	c.Assert(err, qt.IsNil)
	for _, want := range []string{"old", "new"} {
		address = want
		for range 2 {
			response, err := allocator.onReport(t.Context(), pool.newRequest())
			c.Assert(err, qt.IsNil)
			pool.apply(response)
		}
		slot, err := pool.Acquire(t.Context(), testService, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(slot.Address(), qt.Equals, want)
		slot.Release()
	}
}

func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.MapOfN(rapid.StringMatching("[a-z]{1,3}"), rapid.IntRange(1, 100), 1, 9).Draw(rt, "weights")
		slots := rapid.IntRange(0, 64).Draw(rt, "slots")
		phase := float64(rapid.IntRange(0, 99).Draw(rt, "phase")) / 100
		sum := 0
		for holder := range weights {
			share := shareOf(weights, holder, slots, phase)
			if share < 0 {
				rt.Fatalf("share of %s is %d", holder, share)
			}
			sum += share
		}
		if sum != slots {
			rt.Fatalf("shares add up to %d of %d slots", sum, slots)
		}
	})
}
