package relayer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/claimer"
	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	"filberthaven.example/messenger"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// peer is another entry VM.
type peer struct {
	relayer *Relayer
	member  claimer.Member
}

// newPeerRelayer starts a peer that calls store for itself and for others, and has no peers.
func newPeerRelayer(t *testing.T, id string, store keeper.Store) peer {
	m, err := messenger.New()
	quicktest.New(t).Assert(err, quicktest.IsNil)
	mux := http.NewServeMux()
	none := func() []claimer.Member { return nil }
	r := New(store, store, id, m, none, hclog.NewNullLogger(), metrics.NewRegistry())
	r.Register(mux)
	return peer{r, serve(t, id, mux)}
}

func newPeer(t *testing.T, id string, store keeper.Store) claimer.Member {
	return newPeerRelayer(t, id, store).member
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

// TestPeerWithoutTheStoreRefuses checks that a peer whose own calls to the store fail refuses
// relayed calls at once, so that another peer is asked in time.
func TestPeerWithoutTheStoreRefuses(t *testing.T) {
	c := quicktest.New(t)
	var silent keeper.Store
	silent.Get = func(context.Context, string) (keeper.Entry, error) { return keeper.Entry{}, keeper.ErrUnavailable }
	silent.Put = func(ctx context.Context, _ string, _ []byte, _ uint64, _ keeper.LeaseID) (uint64, error) {
		<-ctx.Done()
		return 0, keeper.ErrOutcomeUnknown
	}
	bad := newPeerRelayer(t, "bad", silent)
	_, err := bad.relayer.Store().Get(t.Context(), "k")
	c.Assert(err, quicktest.ErrorIs, keeper.ErrUnavailable)
	r := newWithPeers(t, bad.member, newPeer(t, "good", emulator.NewStore().KV()))
	c.Assert(countFailures(t, r, 20), quicktest.Equals, 0)
}

// TestSilentWatchEndsOncePeersAreServed checks that a watch whose answer is overdue ends once
// a call has shown that the store serves a peer but not this VM. The owner of the fleet must
// not act on state that is 1.7 s old.
func TestSilentWatchEndsOncePeersAreServed(t *testing.T) {
	c := quicktest.New(t)
	store := emulator.NewStore().KV()
	refused := failingStore(keeper.ErrUnavailable)
	watching := make(chan struct{})
	refused.Watch = func(ctx context.Context, _ string, _ uint64) ([]keeper.Entry, uint64, error) {
		close(watching)
		<-ctx.Done()
		return nil, 0, keeper.ErrUnavailable
	}
	s := newWithPeer(t, refused, store).Store()
	version, err := store.Put(t.Context(), "k", []byte("v"), 0, 0)
	c.Assert(err, quicktest.IsNil)
	ended := make(chan error, 1)
	go func() {
		_, _, err := s.Watch(t.Context(), "k", 0)
		ended <- err
	}()
	<-watching
	_, err = s.Get(t.Context(), "k")
	c.Assert(err, quicktest.IsNil)
	select {
	case err := <-ended:
		c.Assert(err, quicktest.ErrorIs, keeper.ErrUnavailable)
	case <-time.After(5 * time.Second):
		c.Fatal("the watch goes on")
	}
	_, next, err := s.Watch(t.Context(), "k", 0)
	c.Assert(err, quicktest.IsNil)
	c.Assert(next >= version, quicktest.IsTrue)
}

// TestReadsFindOutWhetherTheStoreServes checks that, after the store has failed, writes go
// through a peer until a read or renewal that was made directly has been answered. A direct
// write whose answer is lost holds up the journal.
func TestReadsFindOutWhetherTheStoreServes(t *testing.T) {
	c := quicktest.New(t)
	r := newWithPeers(t, newPeer(t, "good", emulator.NewStore().KV()))
	now := time.Second
	r.now = func() time.Duration { return now }
	serves, gets, puts := false, 0, 0
	var direct keeper.Store
	direct.Get = func(context.Context, string) (keeper.Entry, error) {
		gets++
		if serves {
			return keeper.Entry{}, nil
		}
		return keeper.Entry{}, keeper.ErrUnavailable
	}
	direct.Put = func(context.Context, string, []byte, uint64, keeper.LeaseID) (uint64, error) {
		puts++
		return 1, nil
	}
	s := r.Wrap(direct)
	for _, test := range []struct {
		serves             bool
		elapsed            time.Duration
		wantGets, wantPuts int // in all, after a write, a read and a write
	}{
		{false, 0, 1, 1},
		{false, directBackoff - 1, 1, 1},
		{false, directBackoff, 2, 1},
		{true, directBackoff, 3, 2},
	} {
		serves = test.serves
		now += test.elapsed
		for i := range 2 {
			_, err := s.Put(t.Context(), now.String()+string(rune('a'+i)), nil, 0, 0)
			c.Assert(err, quicktest.IsNil)
			if i == 0 {
				_, _ = s.Get(t.Context(), "k")
			}
		}
		c.Check(gets, quicktest.Equals, test.wantGets)
		c.Check(puts, quicktest.Equals, test.wantPuts)
	}
}

// TestLargePeersFirst guards against a journal that is relayed through a VM with a narrow link
// while a large VM could relay it.
func TestLargePeersFirst(t *testing.T) {
	c := quicktest.New(t)
	member := func(id string, processor float64) claimer.Member {
		return claimer.NewMember(id, id+":1", "c", claimer.WithMemberProcessor(processor))
	}
	r := newWithPeers(t, member("small", 0.192), member("large", 0.8), member("medium", 0.48), member("unknown", 0))
	chosen := map[string]bool{}
	for range 100 {
		peer, found := r.choosePeer()
		c.Assert(found, quicktest.IsTrue)
		chosen[peer.ID()] = true
	}
	c.Assert(chosen, quicktest.DeepEquals, map[string]bool{"large": true, "medium": true})
	r.avoidPeer("large")
	r.avoidPeer("medium")
	peer, _ := r.choosePeer()
	c.Assert(peer.ID(), quicktest.Equals, "small")
	c.Assert(len(largePeers([]claimer.Member{member("a", 0), member("b", 0)})), quicktest.Equals, 2)
}

// TestPeerRefusesBody guards against a write whose outcome counts as unknown although its peer has
// refused the body, so that no other peer is tried.
func TestPeerRefusesBody(t *testing.T) {
	c := quicktest.New(t)
	m, err := messenger.New()
	c.Assert(err, quicktest.IsNil)
	mux := http.NewServeMux()
	messenger.Handle(m, mux, procedure, func(context.Context, *request) (*response, error) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("body refused"))
	})
	busy := serve(t, "busy", mux)
	r := newWithPeers(t, busy)
	_, err = r.callPeer(context.Background(), busy, request{Operation: put, Key: "k"})
	c.Assert(errors.Is(err, keeper.ErrUnavailable), quicktest.IsTrue, quicktest.Commentf("%v", err))
}
