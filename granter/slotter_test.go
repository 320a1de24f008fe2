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
	errFenced = errors.New("journal is another owner's")
)

// world is a data centre whose network, store and processes fail.
type world struct {
	mu       sync.Mutex
	rng      *rand.Rand
	faults   bool                    // messages are lost, late and doubled
	down     bool                    // the store fails
	muxes    map[string]http.Handler // by address
	records  [][]byte                // the journal
	term     uint64                  // the highest
	holders  [testHolders]*testHolder
	inFlight map[string]int // by executor, over all holders
	fault    string         // the first broken promise
}

// testHolder is one entry VM.
type testHolder struct {
	*SlotPool
	incarnation uint64
	killed      chan struct{} // closed when the process dies
	stop        context.CancelFunc
	view        uint64 // term of the owner that it calls
}

// Do carries a call, with the network's faults.
func (w *world) Do(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	handler := w.muxes[request.URL.Host]
	var lost, answerLost, doubled bool
	var delay, late time.Duration
	if w.faults {
		lost, answerLost, doubled = w.rng.IntN(8) == 0, w.rng.IntN(8) == 0, w.rng.IntN(4) == 0
		delay, late = time.Duration(w.rng.IntN(300))*time.Millisecond, time.Duration(w.rng.IntN(5000))*time.Millisecond
	}
	w.mu.Unlock()
	deliver := func(ctx context.Context) *http.Response {
		recorder := httptest.NewRecorder()
		again := request.Clone(ctx)
		again.Body = io.NopCloser(bytes.NewReader(body))
		again.Header.Del("Accept-Encoding") // Compression takes most of the time and tells nothing here.
		handler.ServeHTTP(recorder, again)
		return recorder.Result()
	}
	if lost || handler == nil {
		return nil, errLost
	}
	if doubled {
		go func() {
			time.Sleep(late)
			deliver(context.Background())
		}()
	}
	time.Sleep(delay)
	response := deliver(request.Context())
	time.Sleep(delay)
	if answerLost {
		return nil, errLost
	}
	return response, nil
}

// write is the journal of the owner with that term. A failed write may hold.
func (w *world) write(term uint64, record []byte) error {
	time.Sleep(5 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if term < w.term {
		return errFenced
	}
	if !w.down || w.rng.IntN(2) == 0 {
		w.records = append(w.records, record)
	}
	if w.down {
		return errLost
	}
	return nil
}

// newOwner makes a further entry VM the owner. The one before goes on.
func (w *world) newOwner(c *qt.C, m *messenger.Messenger) {
	w.mu.Lock()
	w.term++
	term, records := w.term, w.records
	w.mu.Unlock()
	s, err := NewSlotAllocator(
		WithExecutors(func() []Executor {
			var executors []Executor
			for i := range testExecutors {
				executors = append(executors, NewExecutor(fmt.Sprint("e", i), testService, "address", testSlots, 64, false))
			}
			return executors
		}),
		WithIncarnationEnded(func(holder string, incarnation uint64) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			for i, h := range w.holders {
				if holder == holderName(i) {
					return incarnation < h.incarnation
				}
			}
			return false
		}),
		WithSlotJournal(func(_ context.Context, record []byte) error { return w.write(term, record) }))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Begin(term, records), qt.IsNil)
	mux := http.NewServeMux()
	s.Register(m, mux)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.muxes[ownerAddress(term)] = mux
}

func ownerAddress(term uint64) string { return fmt.Sprint("owner-", term) }

func holderName(i int) string { return fmt.Sprint("entry-", i) }

// startHolder starts a process, the first or the next of that VM.
func (w *world) startHolder(c *qt.C, ctx context.Context, m *messenger.Messenger, i int) { //nolint:revive // The context is the world's.
	w.mu.Lock()
	defer w.mu.Unlock()
	incarnation := uint64(1)
	if old := w.holders[i]; old != nil {
		incarnation = old.incarnation + 1
		close(old.killed)
		old.stop()
	}
	h := &testHolder{incarnation: incarnation, killed: make(chan struct{}), view: w.term}
	ctx, h.stop = context.WithCancel(ctx)
	var err error
	h.SlotPool, err = NewSlotPool(WithIdentity(holderName(i), incarnation), WithMessenger(m), WithOwner(func() (string, bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return ownerAddress(h.view), true
	}))
	c.Assert(err, qt.IsNil)
	w.holders[i] = h
	go func() { _ = h.Run(ctx) }()
}

// request sends one request through a holder; the executor works for d.
func (w *world) request(ctx context.Context, h *testHolder, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	slot, err := h.Acquire(ctx, testService, nil)
	if err != nil {
		return
	}
	w.mu.Lock()
	select {
	case <-h.killed:
		w.mu.Unlock()
		return // A dead process sends nothing.
	default:
	}
	w.inFlight[slot.Executor()]++
	if n := w.inFlight[slot.Executor()]; n > testSlots && w.fault == "" {
		w.fault = fmt.Sprintf("%d requests at %s", n, slot.Executor())
	}
	w.mu.Unlock()
	select {
	case <-time.After(d):
	case <-h.killed:
	}
	w.mu.Lock()
	w.inFlight[slot.Executor()]--
	w.mu.Unlock()
	slot.Release()
}

// step is one event.
type step struct {
	kind, holder, count int
	wait                time.Duration
}

// The kinds of steps.
const (
	load = iota
	crash
	change
	follow
	storeDown
	storeUp
	stepKinds
)

// play runs the steps and returns the world, healed and settled.
func play(t *testing.T, steps []step, seed uint64) *world {
	c := qt.New(t)
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), faults: true, muxes: map[string]http.Handler{}, inFlight: map[string]int{}}
	m, err := messenger.New(messenger.WithClient(w, "http"))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w.newOwner(c, m)
	for i := range testHolders {
		w.startHolder(c, ctx, m, i)
	}
	for _, s := range steps {
		w.play(c, ctx, m, s)
		time.Sleep(s.wait)
	}
	w.mu.Lock()
	w.faults, w.down = false, false
	for _, h := range w.holders {
		h.view = w.term
	}
	w.mu.Unlock()
	time.Sleep(12 * time.Second)
	cancel()
	synctest.Wait()
	return w
}

// play carries out one step.
func (w *world) play(c *qt.C, ctx context.Context, m *messenger.Messenger, s step) { //nolint:revive // The context is the world's.
	w.mu.Lock()
	h := w.holders[s.holder]
	w.mu.Unlock()
	switch s.kind {
	case load:
		for i := range s.count {
			go w.request(ctx, h, time.Duration(100+50*i)*time.Millisecond)
		}
	case crash:
		w.startHolder(c, ctx, m, s.holder)
	case change:
		w.newOwner(c, m)
	case follow:
		w.mu.Lock()
		h.view = w.term
		w.mu.Unlock()
	case storeDown, storeUp:
		w.mu.Lock()
		w.down = s.kind == storeDown
		w.mu.Unlock()
	}
}

// drawSteps draws events, mostly load.
func drawSteps(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		kind := load
		if rapid.IntRange(0, 2).Draw(rt, "event") == 0 {
			kind = rapid.IntRange(load, stepKinds-1).Draw(rt, "kind")
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
		var w *world
		synctest.Test(t, func(t *testing.T) { w = play(t, steps, seed) })
		if w.fault != "" {
			rt.Fatalf("overbooked: %s", w.fault)
		}
		for executor, n := range w.inFlight {
			if n != 0 {
				rt.Fatalf("%d requests left at %s", n, executor)
			}
		}
		total := 0
		for i, h := range w.holders {
			granted, _, waiting := h.Load(testService)
			if granted == 0 || waiting != 0 {
				rt.Fatalf("holder %d has %d slots and %d waiting after all has healed", i, granted, waiting)
			}
			total += granted
		}
		if total != testExecutors*testSlots {
			rt.Fatalf("%d slots granted after all has healed", total)
		}
	})
}

func TestSlotsFollowDemand(t *testing.T) {
	c := qt.New(t)
	synctest.Test(t, func(t *testing.T) {
		steps := []step{{kind: follow, wait: 2 * time.Second}}
		for range 40 {
			steps = append(steps, step{kind: load, holder: 1, count: 20, wait: 200 * time.Millisecond})
		}
		w := play(t, append(steps, step{kind: follow}), 1)
		c.Assert(w.fault, qt.Equals, "")
		busy, _, _ := w.holders[1].Load(testService)
		quiet, _, _ := w.holders[0].Load(testService)
		c.Assert(busy >= quiet, qt.IsTrue, qt.Commentf("%d against %d", busy, quiet))
	})
}

func TestAvoidAndExclude(t *testing.T) {
	c := qt.New(t)
	h, err := NewSlotPool()
	c.Assert(err, qt.IsNil)
	h.apply(&slotsResponse{Term: 1, Seq: 1, Grants: []slotGrant{
		{Executor: "a", Service: testService, Slots: 1, Connections: 8},
		{Executor: "b", Service: testService, Slots: 1, Connections: 8},
	}})
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	c.Run("avoided", func(c *qt.C) {
		slot, err := h.Acquire(expired, testService, func(executor string) bool { return executor == "a" })
		c.Assert(err, qt.IsNil)
		c.Assert(slot.Executor(), qt.Equals, "b")
		slot.Release()
	})
	c.Run("leaving", func(c *qt.C) {
		h.Exclude("a", true)
		slot, err := h.Acquire(expired, testService, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(slot.Executor(), qt.Equals, "b")
		_, err = h.Acquire(expired, testService, nil)
		c.Assert(err, qt.ErrorIs, ErrNoSlot)
		slot.Release()
		h.Exclude("a", false)
	})
	c.Run("leaving before it is granted", func(c *qt.C) {
		h.Exclude("c", true)
		h.apply(&slotsResponse{Term: 1, Seq: 2, Grants: []slotGrant{{Executor: "c", Service: testService, Slots: 1, Connections: 8}}})
		_, err := h.Acquire(expired, testService, nil)
		c.Assert(err, qt.ErrorIs, ErrNoSlot)
		h.Exclude("c", false)
		slot, err := h.Acquire(expired, testService, nil)
		c.Assert(err, qt.IsNil)
		slot.Release()
	})
	c.Run("older grants are not applied", func(c *qt.C) {
		h.apply(&slotsResponse{Term: 0, Seq: 9})
		granted, _, _ := h.Load(testService)
		c.Assert(granted, qt.Equals, 1)
	})
	c.Run("no executor", func(c *qt.C) {
		_, err := h.Acquire(t.Context(), "absent", nil)
		c.Assert(err, qt.ErrorIs, ErrNoSlot)
	})
}

func TestNewAddress(t *testing.T) {
	c := qt.New(t)
	address := "old"
	s, err := NewSlotAllocator(WithExecutors(func() []Executor { return []Executor{NewExecutor("a", testService, address, 8, 64, false)} }))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Begin(1, nil), qt.IsNil)
	h, err := NewSlotPool(WithIdentity("entry-0", 1))
	c.Assert(err, qt.IsNil)
	for _, want := range []string{"old", "new"} {
		address = want
		for range 2 {
			response, err := s.handle(t.Context(), h.request())
			c.Assert(err, qt.IsNil)
			h.apply(response)
		}
		slot, err := h.Acquire(t.Context(), testService, nil)
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
			part := partOf(weights, holder, slots, phase)
			if part < 0 {
				rt.Fatalf("part of %s is %d", holder, part)
			}
			sum += part
		}
		if sum != slots {
			rt.Fatalf("%d of %d slots given", sum, slots)
		}
	})
}
