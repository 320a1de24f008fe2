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

// TestUnresponsiveWatches checks that an owner stops serving when its watches get no more
// answers although its lease is still renewed, for instance through a peer. It used to
// serve requests by a configuration that had been replaced (scenarios hunt-afea-23 and
// hunt-afea-31 of padana-slot). A new configuration comes into force within 2 s, so the
// owner has to stop within that time.
func TestUnresponsiveWatches(t *testing.T) {
	c := quicktest.New(t)
	p := imitator.New(1)
	defer p.Close()
	c.Assert(p.Configure(1), quicktest.IsNil)
	store := platform.NewStore(p.StoreAddress, 300*time.Millisecond, metrics.NewRegistry())
	// The ownership never ends, so only the unresponsive watches can stop the owner.
	owner, err := New(store.KV(), platform.NewExecutorClient(platform.DefaultIdle), "vm", 1, WithIsOwner(func() bool { return true }))
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- owner.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	get := func() Response {
		return owner.Serve(ctx, Request{Method: http.MethodGet, Host: imitator.Host, Path: imitator.QueuePrefix, Key: imitator.APIKey})
	}
	waitFor := func(timeout time.Duration, status int) time.Duration {
		start := time.Now()
		for get().Status != status {
			c.Assert(time.Since(start) < timeout, quicktest.IsTrue, quicktest.Commentf("not %d within %v", status, timeout))
			time.Sleep(10 * time.Millisecond)
		}
		return time.Since(start)
	}
	waitFor(time.Minute, http.StatusOK)
	p.SetStoreFaults(emulator.Partition())
	waitFor(2*time.Second, http.StatusServiceUnavailable)
	c.Assert(get().NotReady, quicktest.IsTrue)
	p.SetStoreFaults()
	waitFor(time.Minute, http.StatusOK)
}

// TestRefusedOwnerResigns checks which owners resign because the store does not serve them:
// in scenario inc-c2c7 of lychnos-fh the store reset the connections of the owner, which
// renewed its lease through peers and did nothing for 5.5 s.
func TestRefusedOwnerResigns(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, test := range []struct {
		name                     string
		isOwner, first, upToDate bool
		wantResigned             bool
	}{
		{"served", true, true, true, false},
		{"refused", true, true, false, true},
		{"store away for all", false, true, false, false},
		{"new owner still reads the lists", true, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r refusalWatch
			resigned := false
			r.observe(true, test.first, 0)
			for now := step; now <= maxRefusal+step; now += step {
				resigned = r.observe(test.isOwner, test.upToDate, now) || resigned
			}
			quicktest.Assert(t, resigned, quicktest.Equals, test.wantResigned)
		})
	}
	t.Run("refused for a moment", func(t *testing.T) {
		var r refusalWatch
		for now := time.Duration(0); now < 10*time.Second; now += step {
			quicktest.Assert(t, r.observe(true, now/step%5 == 0, now), quicktest.IsFalse)
		}
	})
}
