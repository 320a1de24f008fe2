package conductor

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"github.com/frankban/quicktest"
)

// clockWorker is a worker whose clock is wholly known to the test, and its owner.
type clockWorker struct {
	conductor *Conductor
	start     planner.Action // ordered on it
	now       atomic.Int64   // ns, of the owner's clock
	offset    time.Duration  // of the worker's clock
	rate      float64        // of the worker's clock
	wait      time.Duration  // until it reads its clock for an answer
	back      time.Duration  // from then until the answer arrives
	until     int64          // ms on the worker's clock, of the newest call
	idle      bool           // it lists no run
}

func newClockWorker(t *testing.T) *clockWorker {
	t.Helper()
	w := &clockWorker{offset: time.Hour, rate: 1}
	w.now.Store(int64(time.Second))
	c, starts := newOrderer(t, 1, func(response http.ResponseWriter, r *http.Request) {
		w.until = decodeLease(t, r.Body, w.offset)
		w.now.Add(int64(w.wait))
		clock := w.clock()
		w.now.Add(int64(w.back))
		running := `["j.0.0.0",1,"",50]`
		if w.idle {
			running = ""
		}
		fmt.Fprintf(response, `{"clock-ms":%d,"born":1,"running":[%s]}`, clock, running)
	})
	c.now = func() time.Duration { return time.Duration(w.now.Load()) }
	w.conductor, w.start = c, starts[0]
	w.session().clock = workerClock{known: true, reading: w.clock(), receivedAt: c.now()}
	return w
}

// decodeLease returns the end of the lease in the body of a call. It is the only number in a call
// that is as high as the worker's clock, which is above offset.
func decodeLease(t *testing.T, body io.Reader, offset time.Duration) (until int64) {
	t.Helper()
	fields := map[string]any{}
	quicktest.Check(t, json.NewDecoder(body).Decode(&fields), quicktest.IsNil)
	for _, value := range fields {
		if n, _ := value.(float64); int64(n) > offset.Milliseconds() {
			until = int64(n)
		}
	}
	return until
}

func (w *clockWorker) session() *session { return w.conductor.sessions["w0"] }

// clock returns what the worker's clock shows, in ms.
func (w *clockWorker) clock() int64 {
	return (w.offset + time.Duration(float64(w.now.Load())*w.rate)).Milliseconds()
}

// assertLease checks that the call gives a lease that is no longer than the owner counts,
// and at least min long.
func (w *clockWorker) assertLease(t *testing.T, min time.Duration, call func()) {
	t.Helper()
	clock := w.clock()
	call()
	length := time.Duration(w.until-clock) * time.Millisecond
	quicktest.Check(t, length <= w.conductor.leaseDuration, quicktest.IsTrue, quicktest.Commentf("%v", length))
	quicktest.Check(t, length >= min, quicktest.IsTrue, quicktest.Commentf("%v", length))
}

func (w *clockWorker) heartbeat() { w.conductor.heartbeat(w.session(), true) }

// TestLateRenewalEndsInTime checks that a lease ends by the worker's clock no later than the
// owner counts, although answers are slow, old or by a slow clock. A call that is executed
// late is not shortened by the worker, and its runs would go on beside their successors (TWICE).
func TestLateRenewalEndsInTime(t *testing.T) {
	const lease = 6 * time.Second
	t.Run("heartbeats that wait", func(t *testing.T) {
		w := newClockWorker(t)
		w.conductor.start(w.start)
		w.wait, w.back = heartbeatWait, time.Millisecond
		for range 3 {
			w.assertLease(t, lease-50*time.Millisecond, w.heartbeat)
			w.now.Add(int64(heartbeatDelay))
		}
	})
	t.Run("a start", func(t *testing.T) {
		w := newClockWorker(t)
		w.wait, w.back, w.idle = heartbeatWait, time.Millisecond, true
		w.heartbeat()
		w.assertLease(t, lease-50*time.Millisecond, func() { w.conductor.start(w.start) })
	})
	t.Run("an answer that is long on its way", func(t *testing.T) {
		w := newClockWorker(t)
		w.conductor.start(w.start)
		w.back = 3 * time.Second
		w.heartbeat()
		w.assertLease(t, lease-100*time.Millisecond, w.heartbeat)
	})
	t.Run("a slow clock", func(t *testing.T) {
		w := newClockWorker(t)
		w.rate = 0.98
		w.session().clock = workerClock{known: true, reading: w.clock(), receivedAt: w.conductor.now()}
		w.now.Add(int64(30 * time.Second))
		w.assertLease(t, lease-100*time.Millisecond, func() { w.conductor.start(w.start) })
	})
}

// TestClockOfEarlierIncarnation checks that the answer to a start, which names no incarnation,
// does not set the clock of the next incarnation if it may be by an earlier one: leases would
// end by a clock that is ahead.
func TestClockOfEarlierIncarnation(t *testing.T) {
	w := newClockWorker(t)
	c, s := w.conductor, w.session()
	sentAt := c.now()
	w.now.Add(int64(time.Second))
	c.planner.Register(planner.Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 2}, c.now())
	c.observe(s, platform.ExecutorResult{Clock: 10, HasClock: true, Incarnation: 2}, c.now()+1, c.now()+1)
	c.observe(s, platform.ExecutorResult{Clock: 5_000_000, HasClock: true}, sentAt, c.now()+2)
	quicktest.Assert(t, s.clock.reading, quicktest.Equals, int64(10))
}

// TestClockOfNextIncarnation checks that a reading which the clock of the known incarnation can't
// show counts: it is by the next one, whose clock began anew.
func TestClockOfNextIncarnation(t *testing.T) {
	c := workerClock{known: true, reading: 60_000, receivedAt: time.Second}
	c.observe(60_500, time.Second, 3*time.Second) // was on its way for long
	quicktest.Assert(t, c.reading, quicktest.Equals, int64(60_000))
	c.observe(100, 3*time.Second, 3*time.Second+5*time.Millisecond)
	quicktest.Assert(t, c.reading, quicktest.Equals, int64(100))
}

// TestOldClockIsReadAgain checks that a worker that was idle for long is called. Leases by
// its clock would become too short, and its starts would be refused as late.
func TestOldClockIsReadAgain(t *testing.T) {
	w := newClockWorker(t)
	c, s := w.conductor, w.session()
	s.heartbeating = false
	w.now.Add(int64(clockAgePerLease*c.leaseDuration + 1))
	c.mu.Lock()
	c.readOldClocks(c.now())
	c.mu.Unlock()
	isRead := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !s.clock.isOld(c.now(), c.leaseDuration)
	}
	for end := time.Now().Add(20 * time.Second); !isRead(); time.Sleep(time.Millisecond) {
		quicktest.Assert(t, time.Now().Before(end), quicktest.IsTrue)
	}
}
