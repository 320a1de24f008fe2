package relayer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	"filberthaven.example/messenger"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// newPeer starts a peer that relays calls to store.
func newPeer(t *testing.T, id string, store keeper.Store) claimer.Member {
	c := quicktest.New(t)
	m, err := messenger.New()
	c.Assert(err, quicktest.IsNil)
	mux := http.NewServeMux()
	New(store, store, id, m, nil, hclog.NewNullLogger(), metrics.NewRegistry()).Register(mux)
	return serve(t, id, mux)
}

// newSilentPeer starts a peer that answers no call.
func newSilentPeer(t *testing.T, id string) claimer.Member {
	ended := make(chan struct{})
	peer := serve(t, id, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended }))
	t.Cleanup(func() { close(ended) })
	return peer
}

func serve(t *testing.T, id string, handler http.Handler) claimer.Member {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return claimer.NewMember(id, strings.TrimPrefix(server.URL, "http://"), "c")
}

// newWithPeers returns a relayer that the store refuses.
func newWithPeers(t *testing.T, peers ...claimer.Member) *Relayer {
	m, err := messenger.New()
	quicktest.New(t).Assert(err, quicktest.IsNil)
	members := func() []claimer.Member { return peers }
	refused := failingStore(keeper.ErrUnavailable)
	return New(refused, refused, "self", m, members, hclog.NewNullLogger(), metrics.NewRegistry())
}

// countFailures makes writes of different keys and returns how many of them fail.
func countFailures(t *testing.T, r *Relayer, writes int) int {
	s, failures := r.Store(), 0
	for i := range writes {
		if _, err := s.Put(t.Context(), string(rune('a'+i)), nil, 0, 0); err != nil {
			failures++
		}
	}
	return failures
}

// TestFailingPeersAreAvoided checks that calls go to a peer that is served, once another
// one has failed.
func TestFailingPeersAreAvoided(t *testing.T) {
	const writes = 20
	for _, test := range []struct {
		name     string
		peer     func(*testing.T) claimer.Member
		failures int // most writes that may fail
	}{
		{"silent", func(t *testing.T) claimer.Member { return newSilentPeer(t, "bad") }, 1},
		{"not reached", func(t *testing.T) claimer.Member {
			server := httptest.NewServer(nil)
			server.Close()
			return claimer.NewMember("bad", strings.TrimPrefix(server.URL, "http://"), "c")
		}, 0},
		{"refused by the store", func(t *testing.T) claimer.Member {
			return newPeer(t, "bad", failingStore(keeper.ErrUnavailable))
		}, 0},
		{"no answer of the store", func(t *testing.T) claimer.Member {
			return newPeer(t, "bad", failingStore(keeper.ErrOutcomeUnknown))
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			r := newWithPeers(t, test.peer(t), newPeer(t, "good", emulator.NewStore().KV()))
			c.Assert(countFailures(t, r, writes) <= test.failures, quicktest.IsTrue)
		})
	}
}

// TestAvoidedPeerIsUsedAgain checks that a peer that has failed is asked again after some
// time, and before that if there is no other.
func TestAvoidedPeerIsUsedAgain(t *testing.T) {
	c := quicktest.New(t)
	r := newWithPeers(t, claimer.NewMember("a", "a:1", "c"), claimer.NewMember("b", "b:1", "c"))
	now := time.Second
	r.now = func() time.Duration { return now }
	r.avoidPeer("a")
	for range 20 {
		peer, found := r.choosePeer()
		c.Assert(found, quicktest.IsTrue)
		c.Assert(peer.ID(), quicktest.Equals, "b")
	}
	now += time.Millisecond
	r.avoidPeer("b")
	peer, _ := r.choosePeer()
	c.Assert(peer.ID(), quicktest.Equals, "a") // the one that has failed first
	now += peerAvoidance
	chosen := map[string]bool{}
	for range 60 {
		peer, _ := r.choosePeer()
		chosen[peer.ID()] = true
	}
	c.Assert(chosen, quicktest.HasLen, 2)
}
