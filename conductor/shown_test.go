package conductor

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"filberthaven.example/keeper"
	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"filberthaven.example/platform/imitator"
	"github.com/frankban/quicktest"
)

// heldWrites makes the writes to a store wait, while it is on, until the test lets them pass.
type heldWrites struct {
	on     atomic.Bool
	waits  chan struct{} // gets an element for each write that waits
	passes chan struct{} // lets a write pass
}

// store returns the store with held writes.
func (h *heldWrites) store(store keeper.Store) keeper.Store {
	put := store.Put
	store.Put = func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
		if h.on.Load() {
			h.waits <- struct{}{}
			<-h.passes
			ctx = context.WithoutCancel(ctx)
		}
		return put(ctx, key, value, expect, lease)
	}
	return store
}

// enqueueFiller queues a record of that size, above 64 KiB, without effect.
func enqueueFiller(t *testing.T, owner *Conductor, size int) {
	t.Helper()
	const head = 8 // bytes before the text
	filler, err := planner.Record{Begun: []string{strings.Repeat("x", size-head)}}.Encode()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, filler, quicktest.HasLen, size)
	quicktest.Assert(t, owner.journal.EnqueueMandatory(filler, func(error) {}), quicktest.IsNil)
}

// TestCompletedIsShownOnceItsEndIsStored checks that an owner that is deposed while it writes
// shows no job as completed that the next owner does not: the journal may take the record that
// adds a worker, and not that of the ends which the same answer lists.
func TestCompletedIsShownOnceItsEndIsStored(t *testing.T) {
	store := emulator.NewStore().KV()
	held := &heldWrites{waits: make(chan struct{}), passes: make(chan struct{})}
	c := newBusyOwner(t, held.store(store), 1)
	// The worker has been away for so long that the journal does not name it any more.
	c.mu.Lock()
	c.planner.ExtendLease("w0", c.now())
	c.planner.Deregister("w0")
	c.planner.HeartbeatMissed("w0")
	c.planner.Decide(c.now(), wallClock())
	removed, _ := c.planner.PruneWorkers(c.now())
	quicktest.Assert(t, removed, quicktest.HasLen, 1)
	c.flush()
	c.planner.Register(planner.Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(1000, 1000, 0)}, c.now())
	c.mu.Unlock()
	flush(t, c)
	held.on.Store(true)
	enqueueFiller(t, c, journaler.PartLimit)
	<-held.waits
	// The next segment has room for the record of the worker, and not for that of the end.
	added, err := planner.Record{AddedWorker: "w0", At: wallClock()}.Encode()
	quicktest.Assert(t, err, quicktest.IsNil)
	enqueueFiller(t, c, journaler.PartLimit)
	enqueueFiller(t, c, journaler.PartLimit-len(added))
	quicktest.Assert(t, c.heartbeat(c.sessions["w0"], false), quicktest.IsTrue)
	held.passes <- struct{}{}
	<-held.waits
	held.passes <- struct{}{}
	<-held.waits
	next := openOwner(t, store, 2)
	state, _ := next.planner.State("j0", "q", "")
	c.mu.Lock()
	shown, _ := c.planner.State("j0", "q", "")
	c.mu.Unlock()
	held.passes <- struct{}{}
	<-c.journal.Done()
	quicktest.Check(t, shown == planner.Completed, quicktest.Equals, state == planner.Completed, quicktest.Commentf("shown as %s, then as %s", shown, state))
}

// TestCancelOfRefusedJob checks that a cancel does not tell a state of a job whose submission was
// refused meanwhile, since the store did not take it.
func TestCancelOfRefusedJob(t *testing.T) {
	store := emulator.NewStore()
	c, err := New(store.KV(), platform.NewExecutorClient(platform.DefaultIdle), "vm", 1)
	quicktest.Assert(t, err, quicktest.IsNil)
	c.ctx = t.Context()
	_, err = c.journal.Open(t.Context(), 1)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(c.journal.Abort)
	store.SetFaults(emulator.Down())
	const id = "00000000000000aa"
	submitted, cancelled := make(chan Response, 1), make(chan Response, 1)
	go func() {
		submitted <- c.submit(t.Context(), planner.Queue{Name: "q"}, "", id, []byte(imitator.JobBody))
	}()
	isKnown := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.planner.Known(id, "")
	}
	for !isKnown() {
		time.Sleep(time.Millisecond)
	}
	go func() { cancelled <- c.cancel(t.Context(), "", id) }()
	quicktest.Assert(t, (<-submitted).Status, quicktest.Equals, http.StatusServiceUnavailable)
	store.SetFaults()
	response := <-cancelled
	quicktest.Assert(t, response.Status, quicktest.Equals, http.StatusGone, quicktest.Commentf("%s", response.Body))
}

// TestRenamedQueueAtNextOwner checks that the next owner finds a job in the queue that has taken
// over the host and prefix at which the job was submitted.
func TestRenamedQueueAtNextOwner(t *testing.T) {
	store := emulator.NewStore().KV()
	owner := openOwner(t, store, 1)
	queue := planner.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Stretch: 2, Objective: time.Second}
	response := owner.submit(t.Context(), queue, "", "00000000000000aa", []byte(imitator.JobBody))
	quicktest.Assert(t, response.Status, quicktest.Equals, http.StatusOK)
	owner.journal.Abort()
	next := openOwner(t, store, 2)
	t.Cleanup(next.journal.Abort)
	queue.Name = "renamed"
	next.planner.Configure(planner.Config{Version: 2, Queues: []planner.Queue{queue}}, next.now())
	quicktest.Assert(t, next.planner.Pending("renamed"), quicktest.Equals, 1)
}
