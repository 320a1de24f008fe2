package configurer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/messenger"
	qt "github.com/frankban/quicktest"
)

// connection stands in for the connections from an entry VM to its peers.
type connection func(*http.Request) (*http.Response, error)

func (f connection) Do(request *http.Request) (*http.Response, error) { return f(request) }

// delay delays or fails a call that starts elapsed after the change.
type delay func(ctx context.Context, elapsed time.Duration) error

// none answers at once.
func none(context.Context, time.Duration) error { return nil }

// latency answers after d.
func latency(d time.Duration) delay {
	return func(ctx context.Context, _ time.Duration) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d):
			return nil
		}
	}
}

// silentUntil answers no call that starts before d, as a VM whose listener is open but not served.
func silentUntil(d time.Duration) delay {
	return func(ctx context.Context, elapsed time.Duration) error {
		if elapsed >= d {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}
}

var errRefused = errors.New("connection refused")

// closedUntil refuses each call that starts before d.
func closedUntil(d time.Duration) delay {
	return func(_ context.Context, elapsed time.Duration) error {
		if elapsed < d {
			return errRefused
		}
		return nil
	}
}

// paused pauses the calling VM for d in the first call that starts at from or later.
// A call whose timeout has passed meanwhile fails, although the peer has answered.
func paused(from, d time.Duration) delay {
	return func(ctx context.Context, elapsed time.Duration) error {
		if elapsed < from || elapsed >= from+d {
			return nil
		}
		time.Sleep(d)
		return ctx.Err()
	}
}

// sequence applies each of the delays.
func sequence(delays []delay) delay {
	return func(ctx context.Context, elapsed time.Duration) error {
		for _, d := range delays {
			if err := d(ctx, elapsed); err != nil {
				return err
			}
		}
		return nil
	}
}

// replicate brings revision 2 into force on entry-1 and replicates it to entry-2 and
// entry-3, which have revision 1. It returns the revisions and how long this took.
// A peer that refuses keeps its revision.
func replicate(c *qt.C, d delay, refuses bool) ([]VMRevision, time.Duration) {
	c.Helper()
	return replicateContext(c.Context(), c, d, refuses)
}

func replicateContext(ctx context.Context, c *qt.C, d delay, refuses bool) ([]VMRevision, time.Duration) {
	start := time.Now()
	hosts := map[string]http.Handler{}
	m, err := messenger.New(messenger.WithClient(connection(func(request *http.Request) (*http.Response, error) {
		if err := d(request.Context(), time.Since(start)); err != nil {
			return nil, err
		}
		recorder := httptest.NewRecorder()
		hosts[request.URL.Host].ServeHTTP(recorder, request)
		return recorder.Result(), nil
	}), "http"))
	c.Assert(err, qt.IsNil)
	for _, id := range []string{"entry-2", "entry-3"} {
		mux := http.NewServeMux()
		if refuses {
			messenger.Handle(m, mux, fetchProcedure, func(context.Context, *fetchRequest) (*fetchResponse, error) {
				return &fetchResponse{Revision: 1}, nil
			})
			messenger.Handle(m, mux, offerProcedure, func(context.Context, *offerRequest) (*offerResponse, error) {
				return &offerResponse{Revision: 1}, nil
			})
		} else {
			peer := NewCopy()
			c.Assert(peer.Offer(newTestRevision(c, 1).Data()), qt.IsTrue)
			peer.Handle(m, mux)
		}
		hosts[id] = mux
	}
	own := NewCopy()
	c.Assert(own.Offer(newTestRevision(c, 2).Data()), qt.IsTrue)
	peers := func() []Peer { return []Peer{NewPeer("entry-2", "entry-2"), NewPeer("entry-3", "entry-3")} }
	revisions := NewReplicator("entry-1", own, m, peers).Replicate(ctx)
	c.Assert(revisions, qt.HasLen, 3)
	return revisions, time.Since(start)
}

// assertPeers checks that both peers were reached and have the revision in force.
func assertPeers(c *qt.C, revisions []VMRevision, number uint64) {
	c.Helper()
	for _, vm := range revisions[1:] {
		c.Assert(vm.Err(), qt.IsNil, qt.Commentf("%s", vm.VM()))
		c.Assert(vm.Revision(), qt.Equals, number, qt.Commentf("%s", vm.VM()))
	}
}

// TestReplicate checks that a change is in force everywhere although the watch brings
// it nowhere and calls are late or fail for a while.
func TestReplicate(t *testing.T) {
	tests := map[string]struct {
		delay delay
		limit time.Duration // of the time that the change waits
	}{
		"no watch":        {none, pushDelay + pollInterval},
		"far away":        {latency(200 * time.Millisecond), time.Second},
		"not serving yet": {silentUntil(2 * time.Second), ReplicationTimeout},
		"refused":         {closedUntil(2 * time.Second), ReplicationTimeout},
		"paused briefly":  {paused(0, 2*time.Second), ReplicationTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				revisions, took := replicate(c, test.delay, false)
				assertPeers(c, revisions, 2)
				c.Assert(took <= test.limit, qt.IsTrue, qt.Commentf("%v", took))
			})
		})
	}
}

// TestReplicateSilent checks that peers that never answer are reported as not reached, in time.
func TestReplicateSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		revisions, took := replicate(c, silentUntil(time.Hour), false)
		for _, vm := range revisions[1:] {
			c.Assert(vm.Err(), qt.ErrorIs, context.DeadlineExceeded)
		}
		c.Assert(took <= ReplicationTimeout+2*callTimeout+pollInterval, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// TestReplicatePaused checks that peers are not reported as unreachable only because the
// calling VM was paused, once for longer than ReplicationTimeout or again in the last query.
func TestReplicatePaused(t *testing.T) {
	const long = ReplicationTimeout + time.Second
	tests := map[string][]delay{
		"in the first query": {paused(0, long)},
		"in a push":          {paused(pushDelay, long)},
		"in the last query":  {closedUntil(ReplicationTimeout), paused(ReplicationTimeout, 2*time.Second)},
		"three times":        {paused(0, long), paused(long, long), paused(2*long, long)},
	}
	for name, delays := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				revisions, _ := replicate(c, sequence(delays), false)
				assertPeers(c, revisions, 2)
			})
		})
	}
}

// TestReplicateCancelled checks that a change no longer waits when its caller has gone.
func TestReplicateCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, took := replicateContext(ctx, c, silentUntil(time.Hour), false)
		c.Assert(took, qt.Equals, 500*time.Millisecond)
	})
}

// TestReplicateBehind checks that a peer that answers with an older revision until the end
// is reported with it, not as unreachable.
func TestReplicateBehind(t *testing.T) {
	for _, d := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				revisions, _ := replicate(c, latency(d), true)
				assertPeers(c, revisions, 1)
			})
		})
	}
}
