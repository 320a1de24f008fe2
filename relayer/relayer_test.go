package relayer

import (
	"context"
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

// failingStore returns a store whose calls fail with failure. List and Delete are not set.
func failingStore(failure error) keeper.Store {
	return keeper.Store{
		Get: func(context.Context, string) (keeper.Entry, error) { return keeper.Entry{}, failure },
		Put: func(context.Context, string, []byte, uint64, keeper.LeaseID) (uint64, error) { return 0, failure },
		Watch: func(context.Context, string, uint64) ([]keeper.Entry, uint64, error) {
			return nil, 0, failure
		},
		Grant:  func(context.Context, time.Duration) (keeper.LeaseID, error) { return 0, failure },
		Renew:  func(context.Context, keeper.LeaseID) error { return failure },
		Revoke: func(context.Context, keeper.LeaseID) error { return failure },
	}
}

// newWithPeer returns a relayer that calls direct itself and peerStore through its one
// peer.
func newWithPeer(t *testing.T, direct, peerStore keeper.Store) *Relayer {
	c := quicktest.New(t)
	m, err := messenger.New()
	c.Assert(err, quicktest.IsNil)
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	members := func() []claimer.Member {
		return []claimer.Member{claimer.NewMember("peer", strings.TrimPrefix(server.URL, "http://"), "c")}
	}
	New(peerStore, peerStore, "peer", m, members, hclog.NewNullLogger(), metrics.NewRegistry()).Register(mux)
	return New(direct, direct, "self", m, members, hclog.NewNullLogger(), metrics.NewRegistry())
}

func TestRelayThroughPeer(t *testing.T) {
	c := quicktest.New(t)
	store := emulator.NewStore()
	s := newWithPeer(t, failingStore(keeper.ErrUnavailable), store.KV()).Store()
	ctx := t.Context()
	lease, err := s.Grant(ctx, time.Minute)
	c.Assert(err, quicktest.IsNil)
	version, err := s.Put(ctx, "k", []byte("v"), 0, lease)
	c.Assert(err, quicktest.IsNil)
	_, err = s.Put(ctx, "k", []byte("w"), 0, 0)
	c.Assert(err, quicktest.ErrorIs, keeper.ErrConflict)
	got, err := s.Get(ctx, "k")
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(got.Value()), quicktest.Equals, "v")
	c.Assert(got.Version(), quicktest.Equals, version)
	_, err = s.Get(ctx, "absent")
	c.Assert(err, quicktest.ErrorIs, keeper.ErrNotFound)
	changes, next, err := s.Watch(ctx, "k", 0) // relayed, because other direct calls have failed
	c.Assert(err, quicktest.IsNil)
	c.Assert(changes, quicktest.HasLen, 1)
	c.Assert(next >= version, quicktest.IsTrue)
	c.Assert(s.Renew(ctx, lease), quicktest.IsNil)
	c.Assert(s.Revoke(ctx, lease), quicktest.IsNil)
	c.Assert(s.Renew(ctx, lease), quicktest.ErrorIs, keeper.ErrLeaseExpired)
}

// TestUnknownWriteIsNotRepeated checks that a write that may have been carried out is not
// repeated through a peer.
func TestUnknownWriteIsNotRepeated(t *testing.T) {
	c := quicktest.New(t)
	store := emulator.NewStore()
	s := newWithPeer(t, failingStore(keeper.ErrOutcomeUnknown), store.KV()).Store()
	_, err := s.Put(t.Context(), "k", []byte("v"), 0, 0)
	c.Assert(err, quicktest.ErrorIs, keeper.ErrOutcomeUnknown)
	_, err = store.KV().Get(t.Context(), "k")
	c.Assert(err, quicktest.ErrorIs, keeper.ErrNotFound)
}

func TestStoreDownForAll(t *testing.T) {
	c := quicktest.New(t)
	s := newWithPeer(t, failingStore(keeper.ErrUnavailable), failingStore(keeper.ErrUnavailable)).Store()
	_, err := s.Put(t.Context(), "k", []byte("v"), 0, 0)
	c.Assert(err, quicktest.ErrorIs, keeper.ErrUnavailable)
}

// TestFailedWatchIsNotRelayed checks that a failed watch returns its error to the caller,
// which has to start a new watch, since the store may have dropped the history.
func TestFailedWatchIsNotRelayed(t *testing.T) {
	c := quicktest.New(t)
	store := emulator.NewStore()
	s := newWithPeer(t, failingStore(keeper.ErrUnavailable), store.KV()).Store()
	_, _, err := s.Watch(t.Context(), "k", 1)
	c.Assert(err, quicktest.ErrorIs, keeper.ErrUnavailable)
}
