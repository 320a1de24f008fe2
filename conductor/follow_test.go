package conductor

import (
	"context"
	"net/http"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/platform"
	"filberthaven.example/platform/imitator"
	"github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// TestSilentWatches replays hunt-afea-23 and hunt-afea-31 of padana-slot: the owner's
// watches heard nothing more while its lease was renewed through a peer, and it judged
// requests by a configuration that had been replaced. It has to stop answering before
// the 2 s are over in which a configuration comes into force.
func TestSilentWatches(t *testing.T) {
	c := quicktest.New(t)
	p := imitator.New(1)
	defer p.Close()
	c.Assert(p.Configure(1), quicktest.IsNil)
	store := platform.NewStore(p.StoreAddress, 300*time.Millisecond, metrics.NewRegistry())
	// Its lease runs on: nothing but the silence can stop it.
	owner, err := New(store.KV(), platform.NewExecutorClient(), "vm", 1, WithValid(func() bool { return true }))
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- owner.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	look := func() Response {
		return owner.Serve(ctx, Request{Method: http.MethodGet, Host: imitator.Host, Path: imitator.QueuePrefix, Key: imitator.APIKey})
	}
	until := func(limit time.Duration, status int) time.Duration {
		begun := time.Now()
		for look().Status != status {
			c.Assert(time.Since(begun) < limit, quicktest.IsTrue, quicktest.Commentf("not %d within %v", status, limit))
			time.Sleep(10 * time.Millisecond)
		}
		return time.Since(begun)
	}
	until(time.Minute, http.StatusOK)
	p.SetStoreFaults(emulator.Cut())
	until(2*time.Second, http.StatusServiceUnavailable)
	c.Assert(look().NotReady, quicktest.IsTrue)
	p.SetStoreFaults()
	until(time.Minute, http.StatusOK)
}
