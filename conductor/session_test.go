package conductor

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
)

// TestNoAckToRestartedWorker checks that a heartbeat to a worker that was not heard from for
// a while acknowledges no ends: the worker may have restarted under its id, and would
// forget ends of its new incarnation that nobody has read.
func TestNoAckToRestartedWorker(t *testing.T) {
	var acknowledged uint64
	c, _ := newOrderer(t, 1, func(w http.ResponseWriter, r *http.Request) {
		var request struct {
			Acknowledged uint64 `json:"last-seen"`
		}
		quicktest.Check(t, json.NewDecoder(r.Body).Decode(&request), quicktest.IsNil)
		acknowledged = request.Acknowledged
		fmt.Fprint(w, `{"clock-ms":1,"born":1}`)
	})
	now := time.Second
	c.now = func() time.Duration { return now }
	s := c.sessions["w0"]
	s.persistedSerial, s.listedAt = 57, now
	now += maxAckGap + 1
	for _, want := range []uint64{0, 57} {
		quicktest.Assert(t, c.heartbeat(s, false), quicktest.IsTrue)
		quicktest.Assert(t, acknowledged, quicktest.Equals, want)
		quicktest.Assert(t, s.acknowledgedSerial, quicktest.Equals, want)
	}
}

// TestNoAckAcrossRestart checks that the heartbeat after a restart that is not known yet, a few
// ms after the last list, acknowledges no ends: the new incarnation would forget its own
// (TWICE).
func TestNoAckAcrossRestart(t *testing.T) {
	var born, acknowledged atomic.Uint64
	born.Store(1)
	c, _ := newOrderer(t, 1, nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request struct {
			Acknowledged uint64 `json:"last-seen"`
		}
		quicktest.Check(t, json.NewDecoder(r.Body).Decode(&request), quicktest.IsNil)
		acknowledged.Store(request.Acknowledged)
		fmt.Fprintf(w, `{"clock-ms":1,"born":%d}`, born.Load())
	}))
	t.Cleanup(server.Close)
	now := time.Second
	c.now = func() time.Duration { return now }
	s := c.sessions["w0"]
	s.address = strings.TrimPrefix(server.URL, "http://")
	assertHeartbeat := func(want uint64) {
		t.Helper()
		now += heartbeatDelay
		quicktest.Assert(t, c.heartbeat(s, false), quicktest.IsTrue)
		quicktest.Assert(t, acknowledged.Load(), quicktest.Equals, want)
	}
	assertHeartbeat(0)
	s.persistedSerial = 57
	assertHeartbeat(57)
	quicktest.Assert(t, s.acknowledgedSerial, quicktest.Equals, uint64(57))
	server.CloseClientConnections()
	born.Store(2)
	time.Sleep(10 * time.Millisecond)
	assertHeartbeat(0)
	quicktest.Assert(t, s.incarnation, quicktest.Equals, int64(2))
	quicktest.Assert(t, s.acknowledgedSerial, quicktest.Equals, uint64(0))
}

// TestHeartbeatsOfRemovedWorkerEnd checks that heartbeats to a worker that is gone end once it
// is removed, although ends of it are not acknowledged.
func TestHeartbeatsOfRemovedWorkerEnd(t *testing.T) {
	c, _ := newOrderer(t, 1, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	s := c.sessions["w0"]
	s.persistedSerial = 1
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.runHeartbeats(s)
	}()
	c.mu.Lock()
	delete(c.sessions, s.id)
	c.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(time.Minute):
		t.Fatal("heartbeats go on")
	}
}

// TestReplacedAtEarlierAddress checks that a worker that has started again at another address
// keeps its runs although another one answers at the earlier address.
func TestReplacedAtEarlierAddress(t *testing.T) {
	c, starts := newOrderer(t, 1, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"clock-ms":1}`) })
	c.start(starts[0])
	s := c.sessions["w0"]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeFailure(s, "earlier:1", planner.Replaced, nil)
	quicktest.Assert(t, c.planner.Busy("w0"), quicktest.IsTrue)
	c.observeFailure(s, s.address, planner.Replaced, nil)
	quicktest.Assert(t, c.planner.Busy("w0"), quicktest.IsFalse)
}

// TestHeartbeatNow checks that a heartbeat that is due at once does not wait for the time in
// which ends of an idle worker are collected: the crash of a worker that has just started a
// suspect is noticed too late otherwise to tell its cause.
func TestHeartbeatNow(t *testing.T) {
	c := &Conductor{ctx: t.Context()}
	s := &session{wakeup: make(chan struct{}, 1)}
	s.heartbeatNow()
	s.heartbeatNow() // does not block
	begin := time.Now()
	c.sleepUnlessDue(s, time.Minute)
	c.sleepUnlessDue(s, time.Millisecond)
	quicktest.Assert(t, time.Since(begin) < 30*time.Second, quicktest.IsTrue)
}
