package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthaven.example/keeper"
	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
)

// fencedWorker is a worker that keeps the highest fence it has seen, and forgets ends that calls
// acknowledge.
type fencedWorker struct {
	mu       sync.Mutex
	born     int
	fence    uint64
	ends     []uint64 // serials
	calls    []fencedCall
	starts   int    // carried out
	leaveOut bool   // calls are kept in calls and get no answer
	during   func() // called before a call is carried out; may be nil
}

type fencedCall struct {
	Fence        uint64 `json:"fence"`
	Acknowledged uint64 `json:"last-seen"`
}

// execute carries out a call, unless its fence is lower than one seen. The caller holds w.mu.
func (w *fencedWorker) execute(call fencedCall) bool {
	if call.Fence < w.fence {
		return false
	}
	w.fence = call.Fence
	for len(w.ends) > 0 && w.ends[0] <= call.Acknowledged {
		w.ends = w.ends[1:]
	}
	return true
}

// ServeHTTP serves a start or a heartbeat.
func (w *fencedWorker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var call fencedCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		panic(err)
	}
	w.calls = append(w.calls, call)
	if w.leaveOut {
		panic(http.ErrAbortHandler)
	}
	if w.during != nil {
		w.during()
	}
	if !w.execute(call) {
		response.WriteHeader(http.StatusConflict)
		fmt.Fprint(response, `{"clock-ms":1,"reason":"fence"}`)
		return
	}
	if r.URL.Path == "/-/run-start" {
		w.starts++
	}
	fmt.Fprintf(response, `{"clock-ms":1,"born":%d}`, w.born)
}

// with calls a function while no call is carried out.
func (w *fencedWorker) with(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// restart begins the worker's next incarnation.
func (w *fencedWorker) restart() {
	w.with(func() { w.born, w.fence, w.ends, w.leaveOut = w.born+1, 0, nil, false })
}

// fencedFixture is an owner under term 1 whose journal has been written to at version 20, with one
// fenced worker and a start for it.
type fencedFixture struct {
	*quicktest.C
	c      *Conductor
	s      *session
	worker *fencedWorker
	start  planner.Action
	now    time.Duration
}

func newFencedFixture(t *testing.T) *fencedFixture {
	f := &fencedFixture{C: quicktest.New(t), worker: &fencedWorker{born: 1}, now: time.Second}
	server := httptest.NewServer(f.worker)
	t.Cleanup(server.Close)
	c, starts := newOrderer(t, 1, nil)
	f.c, f.s, f.start = c, c.sessions["w0"], starts[0]
	f.c.now = func() time.Duration { return f.now }
	f.s.address = strings.TrimPrefix(server.URL, "http://")
	f.Assert(f.heartbeat(), quicktest.IsTrue)
	store := f.c.newestVersion.wrap(keeper.Store{Put: func(context.Context, string, []byte, uint64, keeper.LeaseID) (uint64, error) { return 20, nil }})
	_, err := store.Put(t.Context(), "key", nil, 0, 0)
	f.Assert(err, quicktest.IsNil)
	return f
}

func (f *fencedFixture) heartbeat() bool {
	f.now += heartbeatDelay
	return f.c.heartbeat(f.s, false)
}

// TestLateAcknowledgementInNextIncarnation checks that a heartbeat without an answer which the
// worker's next incarnation executes late does not let that forget ends that nobody has read
// (review/11, TWICE).
func TestLateAcknowledgementInNextIncarnation(t *testing.T) {
	f := newFencedFixture(t)
	f.c.planner.ReportStart(f.start, planner.Withdrawn, f.now)
	f.s.persistedSerial = 57
	f.worker.with(func() { f.worker.leaveOut = true })
	f.Assert(f.heartbeat(), quicktest.IsFalse)
	var late fencedCall
	f.worker.with(func() { late = f.worker.calls[len(f.worker.calls)-1] })
	f.Assert(late.Acknowledged, quicktest.Equals, uint64(57))
	f.worker.restart()
	f.Assert(f.heartbeat(), quicktest.IsTrue)
	f.Assert(f.s.incarnation, quicktest.Equals, int64(2))
	f.c.planner.Register(planner.Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 2, Capacity: placer.NewResources(1000, 1000, 0)}, f.now)
	for _, start := range f.c.planner.Decide(f.now, 0) {
		f.c.start(start)
	}
	f.worker.with(func() {
		f.Assert(f.worker.starts, quicktest.Equals, 1)
		f.worker.ends = []uint64{1, 2}
		f.worker.execute(late)
		f.Check(f.worker.ends, quicktest.DeepEquals, []uint64{1, 2})
	})
}

// TestFenceStaysBelowNextTerm checks that an owner that may have been followed chooses no fence above
// the term of the next one, whose calls the worker would refuse.
func TestFenceStaysBelowNextTerm(t *testing.T) {
	f := newFencedFixture(t)
	f.c.isOwner = func() bool { return false }
	f.worker.restart()
	f.Assert(f.heartbeat(), quicktest.IsTrue)
	f.Assert(f.s.incarnation, quicktest.Equals, int64(2))
	f.Check(f.c.fenceOf(f.s), quicktest.Equals, f.c.term)
}

// TestRefusedCallForEarlierIncarnation checks that an owner keeps the ownership if a worker refuses a
// call that was under way when the owner learned of its restart, and gives it up if the worker has a
// newer owner.
func TestRefusedCallForEarlierIncarnation(t *testing.T) {
	for name, call := range map[string]func(f *fencedFixture){
		"heartbeat": func(f *fencedFixture) { f.heartbeat() },
		"start":     func(f *fencedFixture) { f.c.start(f.start) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFencedFixture(t)
			resigned := 0
			f.c.resign = func() { resigned++ }
			restarted := func() {
				f.c.mu.Lock()
				defer f.c.mu.Unlock()
				f.c.raiseFence(f.s)
				f.worker.fence, f.worker.during = 20, nil
			}
			f.worker.with(func() { f.worker.during = restarted })
			call(f)
			f.Check(resigned, quicktest.Equals, 0)
			f.Check(f.heartbeat(), quicktest.IsTrue)
			f.worker.with(func() { f.worker.fence = 30 })
			f.Check(f.heartbeat(), quicktest.IsFalse)
			f.Check(resigned, quicktest.Equals, 1)
		})
	}
}
