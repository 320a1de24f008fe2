package conductor

import (
	"fmt"
	"math"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"filberthaven.example/keeper"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"github.com/frankban/quicktest"
)

// applyEntry applies an entry of worker w0 with that incarnation.
func applyEntry(c *Conductor, address string, incarnation int64, version uint64) {
	value := fmt.Sprintf(`{"service":"s","addr":%q,"zone":"c","state":"ready","born":%d,"capacity":{"cpu":1000,"mem-mb":1000}}`, address, incarnation)
	c.applyWorkerEntry(keeper.NewEntry(platform.ExecutorsPrefix+"w0", []byte(value), version, false))
}

// TestEntryFromTheFuture checks that an entry by another writer under the id of a live worker,
// with a start in the far future, does not end the worker's runs: they would start elsewhere
// beside the first ones (TWICE), and nothing that the worker says would count any more (LOST).
func TestEntryFromTheFuture(t *testing.T) {
	c, starts := newOrderer(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"clock-ms":1,"born":1,"running":[["j.0.0.0",1,"",50]]}`)
	})
	c.start(starts[0])
	s := c.sessions["w0"]
	quicktest.Assert(t, c.heartbeat(s, true), quicktest.IsTrue)
	applyEntry(c, s.address, math.MaxInt64, 2)
	quicktest.Check(t, c.metrics.invalidEntries.Count(), quicktest.Equals, int64(1))
	quicktest.Check(t, c.planner.Busy("w0"), quicktest.IsTrue)
	quicktest.Check(t, c.planner.Accepts("w0"), quicktest.IsFalse)
	applyEntry(c, s.address, 1, 3)
	quicktest.Check(t, c.metrics.invalidEntries.Count(), quicktest.Equals, int64(1))
	quicktest.Assert(t, c.heartbeat(s, true), quicktest.IsTrue)
	quicktest.Check(t, c.planner.Busy("w0"), quicktest.IsTrue)
	quicktest.Check(t, c.planner.Accepts("w0"), quicktest.IsTrue)
}

// TestNewWorkerIsStoredOnceItHasAnswered checks that an entry alone, which may be by another
// writer, leaves nothing in the journal and lets nothing start.
func TestNewWorkerIsStoredOnceItHasAnswered(t *testing.T) {
	var down atomic.Bool
	down.Store(true)
	c, _ := newOrderer(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		if down.Load() {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, `{"clock-ms":1,"born":1}`)
	})
	address := c.sessions["w0"].address
	c.planner = planner.New()
	clear(c.sessions)
	journal, err := journaler.New(emulator.NewStore().KV(), "fleet")
	quicktest.Assert(t, err, quicktest.IsNil)
	_, err = journal.Open(t.Context(), 1)
	quicktest.Assert(t, err, quicktest.IsNil)
	c.journal = journal
	isStored := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.planner.IsWorkerStored("w0")
	}
	applyEntry(c, address, 1, 1)
	for c.metrics.missedHeartbeats.Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // many times as long as a record takes
	quicktest.Assert(t, isStored(), quicktest.IsFalse)
	down.Store(false)
	for end := time.Now().Add(20 * time.Second); !isStored(); time.Sleep(time.Millisecond) {
		quicktest.Assert(t, time.Now().Before(end), quicktest.IsTrue)
	}
}

// TestScreenOfFormerOwner guards against refusals by paths and keys that are out of date: a VM that
// is not the owner any more leaves them to Serve.
func TestScreenOfFormerOwner(t *testing.T) {
	c := &Conductor{ready: true, isOwner: func() bool { return false }}
	_, refused := c.Screen(Request{Method: "POST", Host: "h", Path: "/new/1"})
	quicktest.Assert(t, refused, quicktest.IsFalse)
}
