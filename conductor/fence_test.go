package conductor

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthaven.example/keeper"
	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"filberthaven.example/platform/imitator"
	"github.com/frankban/quicktest"
)

// fencedFixture is an owner under term 1 whose journal has been written to at version 20, with one
// fenced worker and a start for it.
type fencedFixture struct {
	*quicktest.C
	c      *Conductor
	s      *session
	worker *imitator.FencedExecutor
	start  planner.Action
	now    time.Duration
}

func newFencedFixture(t *testing.T) *fencedFixture {
	f := &fencedFixture{C: quicktest.New(t), worker: imitator.NewFencedExecutor(), now: time.Second}
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
	f.worker.LeaveUnanswered()
	f.Assert(f.heartbeat(), quicktest.IsFalse)
	late := f.worker.LastCall()
	f.Assert(late.Acknowledged, quicktest.Equals, uint64(57))
	f.worker.Restart()
	f.Assert(f.heartbeat(), quicktest.IsTrue)
	f.Assert(f.s.incarnation, quicktest.Equals, int64(2))
	f.c.planner.Register(planner.Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 2, Capacity: placer.NewResources(1000, 1000, 0)}, f.now)
	for _, start := range f.c.planner.Decide(f.now, 0) {
		f.c.start(start)
	}
	f.Assert(f.worker.Starts(), quicktest.Equals, 1)

	f.worker.SetEnds(1, 2)
	f.worker.CarryOut(late)
	f.Check(f.worker.Ends(), quicktest.DeepEquals, []uint64{1, 2})
}

// TestFenceStaysBelowNextTerm checks that an owner that may have been followed chooses no fence above
// the term of the next one, whose calls the worker would refuse.
func TestFenceStaysBelowNextTerm(t *testing.T) {
	f := newFencedFixture(t)
	f.c.isOwner = func() bool { return false }
	f.worker.Restart()
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
			f.worker.RaiseDuringCall(20, func() {
				f.c.mu.Lock()
				defer f.c.mu.Unlock()
				f.c.raiseFence(f.s)
			})
			call(f)
			f.Check(resigned, quicktest.Equals, 0)
			f.Check(f.heartbeat(), quicktest.IsTrue)
			f.worker.RaiseFence(30)
			f.Check(f.heartbeat(), quicktest.IsFalse)
			f.Check(resigned, quicktest.Equals, 1)
		})
	}
}
