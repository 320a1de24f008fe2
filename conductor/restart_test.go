package conductor

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"github.com/frankban/quicktest"
)

// fakeWorker is a worker w0 with one run, and the conductor that has started it.
type fakeWorker struct {
	conductor *Conductor
	down      atomic.Bool  // it closes each connection without an answer
	replaced  atomic.Bool  // another worker answers at its address
	idle      atomic.Bool  // it does not list the run
	born      atomic.Int64 // incarnation that it names
	calls     atomic.Int64 // that it has answered
	now       atomic.Int64 // ns, of the conductor's clock
	clock     atomic.Int64 // ms on its clock
}

func newFakeWorker(t *testing.T) *fakeWorker {
	t.Helper()
	w := &fakeWorker{}
	w.born.Store(1)
	w.clock.Store(1)
	w.now.Store(int64(time.Second))
	c, starts := newOrderer(t, 1, func(response http.ResponseWriter, _ *http.Request) {
		if w.down.Load() {
			panic(http.ErrAbortHandler)
		}
		if w.replaced.Load() {
			response.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.calls.Add(1)
		running := `["j.0.0.0",1,"",50]`
		if w.idle.Load() {
			running = ""
		}
		fmt.Fprintf(response, `{"clock-ms":%d,"born":%d,"running":[%s]}`, w.clock.Load(), w.born.Load(), running)
	})
	c.now = func() time.Duration { return time.Duration(w.now.Load()) }
	c.planner.ExtendLease("w0", 10*time.Second)
	c.planner.MarkOrdered(starts[0], c.now())
	c.planner.ReportStart(starts[0], planner.Accepted, c.now())
	w.conductor = c
	return w
}

// register applies the worker's entry with its incarnation.
func (w *fakeWorker) register() {
	c := w.conductor
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions["w0"].restart(w.born.Load(), c.now())
	c.planner.Register(planner.Registration{
		ID: "w0", Centre: "c", Service: "s", Incarnation: w.born.Load(), Capacity: placer.NewResources(1000, 1000, 0),
	}, c.now())
}

// runHeartbeats runs the heartbeats of the worker and returns a channel that is closed when
// they end.
func (w *fakeWorker) runHeartbeats() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.conductor.runHeartbeats(w.conductor.sessions["w0"])
	}()
	return ended
}

// await waits until the condition holds.
func (w *fakeWorker) await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		quicktest.Assert(t, time.Now().Before(end), quicktest.IsTrue)
	}
}

// crash lets the worker answer a heartbeat, and leave the next one unanswered. It runs nothing
// afterwards.
func (w *fakeWorker) crash(t *testing.T) {
	t.Helper()
	w.await(t, func() bool { return w.calls.Load() > 0 })
	w.down.Store(true)
	w.await(t, func() bool { return w.conductor.metrics.missedHeartbeats.Count() > 0 })
	w.await(t, func() bool {
		w.conductor.mu.Lock()
		defer w.conductor.mu.Unlock()
		return !w.conductor.planner.Accepts("w0") // the planner has been told, so that nothing starts there
	})
	w.calls.Store(0)
	w.idle.Store(true)
}

// assertUsable checks that heartbeats end, and that starts may be ordered on the worker.
func (w *fakeWorker) assertUsable(t *testing.T, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("heartbeats go on")
	}
	c := w.conductor
	c.mu.Lock()
	defer c.mu.Unlock()
	quicktest.Check(t, w.calls.Load() > 0, quicktest.IsTrue, quicktest.Commentf("the worker was not called"))
	quicktest.Check(t, c.planner.Accepts("w0"), quicktest.IsTrue)
	quicktest.Check(t, c.sessions["w0"].clock.known, quicktest.IsTrue, quicktest.Commentf("its clock is not known"))
}

// TestUnresponsiveWorkerIsCalledAgain checks that a worker that left a heartbeat unanswered
// and has lost its runs is called until it answers. Otherwise nothing starts on it as long as
// its owner stays (LOST).
func TestUnresponsiveWorkerIsCalledAgain(t *testing.T) {
	t.Run("it restarts", func(t *testing.T) {
		w := newFakeWorker(t)
		ended := w.runHeartbeats()
		w.crash(t)
		w.now.Store(int64(2 * time.Second))
		w.born.Store(2)
		w.register()
		time.Sleep(2 * heartbeatBackoff)
		w.down.Store(false)
		w.assertUsable(t, ended)
	})
	t.Run("its lease expires", func(t *testing.T) {
		w := newFakeWorker(t)
		ended := w.runHeartbeats()
		w.crash(t)
		w.now.Store(int64(20 * time.Second))
		w.conductor.mu.Lock()
		w.conductor.planner.Decide(w.conductor.now(), 0)
		w.conductor.mu.Unlock()
		time.Sleep(2 * heartbeatBackoff)
		w.down.Store(false)
		w.assertUsable(t, ended)
	})
	t.Run("its earlier incarnation answers late", func(t *testing.T) {
		w := newFakeWorker(t)
		w.idle.Store(true)
		c := w.conductor
		c.planner.HandleStatus(planner.WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: 2 * time.Second}, 2*time.Second)
		quicktest.Assert(t, c.planner.Busy("w0"), quicktest.IsFalse)
		w.born.Store(2)
		w.register()
		w.born.Store(1)
		ended := w.runHeartbeats()
		w.await(t, func() bool { return w.calls.Load() > 0 })
		w.born.Store(2)
		w.assertUsable(t, ended)
	})
	t.Run("another worker has answered a start", func(t *testing.T) {
		w := newFakeWorker(t)
		w.idle.Store(true)
		c := w.conductor
		w.now.Store(int64(20 * time.Second))
		c.mu.Lock()
		starts := c.planner.Decide(c.now(), 0)
		c.sessions["w0"].heartbeating = false
		c.mu.Unlock()
		quicktest.Assert(t, starts, quicktest.HasLen, 1)
		w.replaced.Store(true)
		c.start(starts[0])
		w.replaced.Store(false)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.goroutines.Wait()
		}()
		w.assertUsable(t, ended)
	})
}

// TestWorkerInFirstMillisecondIsUsable checks that starts are ordered on a worker whose only answer
// came in the first millisecond of its life, when its clock reads 0. It would otherwise get
// none, and its starts would be withdrawn again and again (LOST).
func TestWorkerInFirstMillisecondIsUsable(t *testing.T) {
	w := newFakeWorker(t)
	ended := w.runHeartbeats()
	w.crash(t)
	w.now.Store(int64(2 * time.Second))
	w.born.Store(2)
	w.clock.Store(0)
	w.register()
	w.down.Store(false)
	w.assertUsable(t, ended)
}

// TestTimeOfDayJumpsBack checks that a worker is used whose time of day has jumped back before
// it restarted, so that its new incarnation seems to be earlier than the known one. Its ends
// are acknowledged.
func TestTimeOfDayJumpsBack(t *testing.T) {
	restart := func(t *testing.T) (*fakeWorker, *session) {
		w := newFakeWorker(t)
		s := w.conductor.sessions["w0"]
		w.born.Store(9)
		w.register()
		w.now.Add(int64(time.Second))
		quicktest.Assert(t, w.conductor.heartbeat(s, true), quicktest.IsTrue)
		quicktest.Assert(t, s.incarnation, quicktest.Equals, int64(9))
		s.persistedSerial, s.acknowledgedSerial, s.clock.reading = 57, 57, 1000
		w.now.Add(int64(time.Second))
		w.born.Store(5)
		w.idle.Store(true)
		return w, s
	}
	t.Run("it answers first", func(t *testing.T) {
		w, s := restart(t)
		quicktest.Assert(t, w.conductor.heartbeat(s, true), quicktest.IsTrue)
		quicktest.Assert(t, s.incarnation, quicktest.Equals, int64(5))
		quicktest.Assert(t, s.clock.reading, quicktest.Equals, int64(1))
		quicktest.Assert(t, s.persistedSerial, quicktest.Equals, uint64(0))
		quicktest.Assert(t, w.conductor.planner.Busy("w0"), quicktest.IsFalse)
		applyEntry(w.conductor, s.address, 5, 2)
		w.assertUsable(t, w.runHeartbeats())
	})
	t.Run("its entry is read first", func(t *testing.T) {
		w, s := restart(t)
		applyEntry(w.conductor, s.address, 5, 2)
		quicktest.Assert(t, w.conductor.planner.NeedsHeartbeat("w0"), quicktest.IsTrue)
		w.now.Add(int64(time.Second))
		quicktest.Assert(t, w.conductor.heartbeat(s, true), quicktest.IsTrue)
		quicktest.Assert(t, s.incarnation, quicktest.Equals, int64(5))
		w.assertUsable(t, w.runHeartbeats())
	})
	t.Run("its earlier incarnation answers late", func(t *testing.T) {
		w, s := restart(t)
		sentAt := w.conductor.now()
		w.now.Add(int64(time.Second))
		quicktest.Assert(t, w.conductor.heartbeat(s, true), quicktest.IsTrue)
		w.conductor.observe(s, platform.ExecutorResult{Incarnation: 9, Clock: 2000, HasClock: true}, sentAt, w.conductor.now())
		quicktest.Assert(t, s.incarnation, quicktest.Equals, int64(5))
		quicktest.Assert(t, s.clock.reading, quicktest.Equals, int64(1))
	})
}

// TestClockOfAnotherWorker checks that the clock and the incarnation of another worker at the
// address do not count as those of the worker.
func TestClockOfAnotherWorker(t *testing.T) {
	c, starts := newOrderer(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		fmt.Fprint(w, `{"clock-ms":99000,"born":9}`)
	})
	c.start(starts[0])
	s := c.sessions["w0"]
	quicktest.Check(t, s.clock.reading, quicktest.Equals, int64(1))
	quicktest.Check(t, s.incarnation, quicktest.Equals, int64(1))
	quicktest.Check(t, c.planner.Incarnation("w0"), quicktest.Equals, int64(1))
}
