package conductor

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/keeper"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"filberthaven.example/platform/imitator"
	"github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// TestNoDecisionsWithoutJournal checks that an owner whose journal takes no records does
// not decide and take back the same starts again and again. In scenario trouble-1 of
// padana-slot-large 8,707 starts were decided in the second after the store was lost.
func TestNoDecisionsWithoutJournal(t *testing.T) {
	c := quicktest.New(t)
	p := imitator.New(1)
	defer p.Close()
	c.Assert(p.Configure(1), quicktest.IsNil)
	store := platform.NewStore(p.StoreAddress, 300*time.Millisecond, metrics.NewRegistry()).KV()
	var journalFails atomic.Bool
	put := store.Put
	store.Put = func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
		if journalFails.Load() && strings.HasPrefix(key, "journal/") {
			return 0, keeper.ErrUnavailable
		}
		return put(ctx, key, value, expect, lease)
	}
	registry := metrics.NewRegistry()
	advisor := platform.NewAdviceClient(p.AdviceAddress)
	advise := func(ctx context.Context, _ claimer.Member, a planner.Action) (map[string]string, time.Duration, error) {
		return advisor.Tickets(ctx, a.Step, a.Workers)
	}
	owner, err := New(store, platform.NewExecutorClient(platform.DefaultIdle), "vm", 1, WithRegistry(registry),
		WithMembers(func() []claimer.Member { return nil }, advise))
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- owner.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	request := Request{Method: http.MethodPost, Host: imitator.Host, Path: imitator.QueuePrefix + "00000000000000aa", Key: imitator.APIKey, Body: []byte(imitator.JobBody)}
	for end := time.Now().Add(time.Minute); owner.Serve(ctx, request).Status != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("job not accepted"))
	}
	journalFails.Store(true)
	for n := range 8 {
		c.Assert(p.AddExecutor("w"+string(rune('a'+n)), "s", "a", 4000), quicktest.IsNil)
		owner.mu.Lock()
		owner.planner.MarkWorkerStored("w" + string(rune('a'+n)))
		owner.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	before := owner.metrics.starts.Count()
	c.Assert(before > 0, quicktest.IsTrue)
	for range 300 {
		owner.wake() // as heartbeats do
		time.Sleep(10 * time.Millisecond)
	}
	// The journal refuses starts once nothing was written for 1 s, and tries again when the
	// store answers reads. So the three ready tasks are decided at most four times in 3 s.
	again := owner.metrics.starts.Count() - before
	c.Assert(again <= 4*3, quicktest.IsTrue, quicktest.Commentf("%d starts decided in 3 s", again))
	journalFails.Store(false)
	for end := time.Now().Add(time.Minute); owner.metrics.completed.Count() == 0; time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("job not completed after the outage"))
	}
}
