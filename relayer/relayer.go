// Package relayer sends calls to the platform's store through another entry VM, a peer,
// while the store refuses this VM's calls or is unreachable from it. All writes are
// conditional and all leases have ids, so that it makes no difference which VM calls.
//
// A Relayer is made once with New and lives as long as its VM. Register lets it serve
// peers, and Store and Wrap return the stores whose calls it relays.
//
//   - A put, a deletion or a grant whose outcome is unknown is never made again.
//   - A call for a peer goes to the store directly, never through a third VM.
//   - A peer that has failed is avoided for some time while there are others.
//   - Watches that the store has not answered end once it serves a peer and not this VM, so
//     that they go on through a peer.
//   - A watch that fails directly is not relayed and starts no back-off, since it may be
//     interrupted at any time.
package relayer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/keeper"
	"filberthaven.example/messenger"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

const (
	// procedure is the RPC that relays a call through a peer.
	procedure = "/store/relay"
	// directBackoff is how long all calls go through peers after a direct call to the store
	// has failed. From then on one call is made directly, and the others still go through
	// peers until the store has answered.
	directBackoff = 3 * time.Second
	// probeTimeout bounds the direct call that finds out whether the store serves this VM
	// again, so that it can still be made through a peer.
	probeTimeout = 300 * time.Millisecond
	// peerBackoff is how long no call goes to a peer after all peers that a call was sent to
	// have failed too, since then the store is likely to be down for all VMs.
	peerBackoff = 500 * time.Millisecond
	// callTimeout bounds a relayed call other than a watch or a list.
	callTimeout = 700 * time.Millisecond
	// watchTimeout bounds a relayed watch. peerStore waits for a change for less than that.
	watchTimeout = 700 * time.Millisecond
	// listTimeout bounds a relayed list, which may read many keys.
	listTimeout = 3 * time.Second
)

// operation identifies a method of the store.
type operation string

const (
	get    operation = "get"
	list   operation = "list"
	put    operation = "put"
	remove operation = "delete"
	watch  operation = "watch"
	grant  operation = "grant"
	renew  operation = "renew"
	revoke operation = "revoke"
)

// request is a relayed call to the store.
type request struct {
	Operation operation      `cbor:"1,keyasint"`
	Key       string         `cbor:"2,keyasint,omitempty"` // or prefix
	Value     []byte         `cbor:"3,keyasint,omitempty"`
	Version   uint64         `cbor:"4,keyasint,omitempty"` // expected by a write, or after which a watch continues
	Lease     keeper.LeaseID `cbor:"5,keyasint,omitempty"`
	TTL       time.Duration  `cbor:"6,keyasint,omitempty"`
}

// response is the result of a relayed call.
type response struct {
	Entries []entry        `cbor:"1,keyasint,omitempty"`
	Version uint64         `cbor:"2,keyasint,omitempty"`
	Lease   keeper.LeaseID `cbor:"3,keyasint,omitempty"`
	Failure int            `cbor:"4,keyasint,omitempty"` // 1 plus the index of the error in wireErrors; 0 if none
}

// entry is a key with its value.
type entry struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// wireErrors returns the errors that a response carries by their index. Any other
// error fails the RPC.
func wireErrors() []error {
	return []error{
		keeper.ErrUnavailable, keeper.ErrOutcomeUnknown, keeper.ErrNotFound, keeper.ErrConflict,
		keeper.ErrTooLarge, keeper.ErrCompacted, keeper.ErrLeaseExpired,
	}
}

// Relayer calls the store directly or through a peer, and makes calls for peers.
type Relayer struct {
	direct           keeper.Store
	peerStore        keeper.Store // for calls of peers; its watches wait for less than watchTimeout
	members          func() []claimer.Member
	self             string
	messenger        *messenger.Messenger
	log              hclog.Logger
	now              func() time.Duration
	relayed          metrics.Counter
	outages          outageDetector
	failures         peerFailures
	nextProbe        atomic.Int64 // ns of the steady clock at which a call tries the store directly again; 0 while the store serves this VM
	peerBackoffUntil atomic.Int64 // ns of the steady clock; until then no call goes to a peer
}

// New returns a Relayer on the VM called self. It calls the store through direct, and for
// peers through peerStore, whose watches must wait for less than watchTimeout. members
// returns all entry VMs.
func New(direct, peerStore keeper.Store, self string, m *messenger.Messenger, members func() []claimer.Member, log hclog.Logger, registry metrics.Registry) *Relayer {
	return &Relayer{
		direct: direct, peerStore: peerStore, members: members, self: self, messenger: m, log: log.Named("relayer"), now: claimer.Now,
		relayed: metrics.GetOrRegisterCounter("store.relayed", registry), outages: newOutageDetector(),
		failures: peerFailures{failedAt: map[string]time.Duration{}},
	}
}

// Wrap is like Store, but its direct calls go through direct, for instance with another
// time limit of watches. All stores of a Relayer share its back-offs and its outage
// detection.
func (r *Relayer) Wrap(direct keeper.Store) keeper.Store {
	return r.store(direct)
}

// Store returns a store that calls the platform's store directly, or through a peer if
// that fails.
func (r *Relayer) Store() keeper.Store { return r.store(r.direct) }

func (r *Relayer) store(direct keeper.Store) keeper.Store {
	call := func(ctx context.Context, req request) (response, error) { return r.route(ctx, direct, req) }
	return keeper.Store{
		Get: func(ctx context.Context, key string) (keeper.Entry, error) {
			resp, err := call(ctx, request{Operation: get, Key: key})
			if err != nil || len(resp.Entries) == 0 {
				return keeper.Entry{}, err
			}
			return resp.Entries[0].toKeeper(), nil
		},
		List: func(ctx context.Context, prefix string) ([]keeper.Entry, error) {
			resp, err := call(ctx, request{Operation: list, Key: prefix})
			return entriesFromWire(resp.Entries), err
		},
		Put: func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
			resp, err := call(ctx, request{Operation: put, Key: key, Value: value, Version: expect, Lease: lease})
			return resp.Version, err
		},
		Delete: func(ctx context.Context, key string, expect uint64) error {
			_, err := call(ctx, request{Operation: remove, Key: key, Version: expect})
			return err
		},
		Watch: func(ctx context.Context, prefix string, after uint64) ([]keeper.Entry, uint64, error) {
			resp, err := call(ctx, request{Operation: watch, Key: prefix, Version: after})
			return entriesFromWire(resp.Entries), resp.Version, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
			resp, err := call(ctx, request{Operation: grant, TTL: ttl})
			return resp.Lease, err
		},
		Renew: func(ctx context.Context, lease keeper.LeaseID) error {
			_, err := call(ctx, request{Operation: renew, Lease: lease})
			return err
		},
		Revoke: func(ctx context.Context, lease keeper.LeaseID) error {
			_, err := call(ctx, request{Operation: revoke, Lease: lease})
			return err
		},
	}
}

// route makes a call directly, or through a peer if the store is unavailable. It does
// not repeat a write whose outcome is unknown, which the caller has to determine.
func (r *Relayer) route(ctx context.Context, direct keeper.Store, req request) (response, error) {
	probes := r.beginProbe(req)
	if r.isRefused() && !probes {
		if resp, err := r.callPeers(ctx, req); !errors.Is(err, keeper.ErrUnavailable) {
			return resp, err
		}
	}
	resp, err := r.callDirect(ctx, direct, req, probes)
	if err == nil || ctx.Err() != nil || !errors.Is(err, keeper.ErrUnavailable) {
		return resp, err
	}
	if req.Operation == watch {
		// A watch may be interrupted at any time. Only the failure of another call
		// means that the store is unreachable.
		return resp, err
	}
	r.nextProbe.Store(int64(r.now() + directBackoff))
	relayed, relayErr := r.callPeers(ctx, req)
	if errors.Is(relayErr, keeper.ErrUnavailable) {
		return resp, err
	}
	return relayed, relayErr
}

// isRefused reports whether the store has not answered this VM since a direct call has failed.
func (r *Relayer) isRefused() bool { return r.nextProbe.Load() != 0 }

// beginProbe reports whether a call has to find out whether the store serves this VM again.
// That is a short call which may be made again through a peer.
func (r *Relayer) beginProbe(req request) bool {
	next, now := r.nextProbe.Load(), int64(r.now())
	if next == 0 || now < next || req.Operation != get && req.Operation != renew {
		return false
	}
	return r.nextProbe.CompareAndSwap(next, now+int64(directBackoff))
}

// callDirect calls the store from this VM and records the result in outages. A probe has
// little time.
func (r *Relayer) callDirect(ctx context.Context, direct keeper.Store, req request, probes bool) (response, error) {
	if probes {
		limited, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		ctx = limited
	}
	if req.Operation == watch {
		watchCtx, end := r.outages.addWatch(ctx, r.now())
		defer end()
		ctx = watchCtx
	}
	resp, err := execute(ctx, direct, req)
	if req.Operation == watch && ctx.Err() != nil {
		return resp, err // cancelled by the caller or by outages, which says nothing about the store
	}
	if errors.Is(err, keeper.ErrUnavailable) || errors.Is(err, keeper.ErrOutcomeUnknown) {
		r.outages.recordFailure()
		return resp, err
	}
	r.nextProbe.Store(0)
	if n := r.outages.recordAnswer(r.now()); n > 0 {
		r.log.Info("store answers again; watches begin anew", "watches", n)
	}
	return resp, err
}

// Register registers the handler for calls that peers relay through this VM. The handler
// calls the store directly, never through a third VM, and refuses calls while the store does
// not serve this VM.
func (r *Relayer) Register(mux messenger.Mux) {
	messenger.Handle(r.messenger, mux, procedure, func(ctx context.Context, req *request) (*response, error) {
		resp, err := response{}, keeper.ErrUnavailable
		if !r.isRefused() {
			resp, err = execute(ctx, r.peerStore, *req)
		}
		if err == nil {
			return &resp, nil
		}
		for i, failure := range wireErrors() {
			if errors.Is(err, failure) {
				return &response{Failure: i + 1}, nil
			}
		}
		r.log.Warn("call relayed for a peer failed", "operation", string(req.Operation), "error", err)
		return nil, err
	})
}

// execute makes the call that req describes.
func execute(ctx context.Context, store keeper.Store, req request) (response, error) {
	var resp response
	var err error
	switch req.Operation {
	case get:
		var found keeper.Entry
		found, err = store.Get(ctx, req.Key)
		resp.Entries = entriesToWire([]keeper.Entry{found})
	case list:
		var found []keeper.Entry
		found, err = store.List(ctx, req.Key)
		resp.Entries = entriesToWire(found)
	case put:
		resp.Version, err = store.Put(ctx, req.Key, req.Value, req.Version, req.Lease)
	case remove:
		err = store.Delete(ctx, req.Key, req.Version)
	case watch:
		var found []keeper.Entry
		found, resp.Version, err = store.Watch(ctx, req.Key, req.Version)
		resp.Entries = entriesToWire(found)
	case grant:
		resp.Lease, err = store.Grant(ctx, req.TTL)
	case renew:
		err = store.Renew(ctx, req.Lease)
	case revoke:
		err = store.Revoke(ctx, req.Lease)
	default:
		err = keeper.ErrUnavailable
	}
	if err != nil {
		return response{}, err
	}
	return resp, nil
}

func (e entry) toKeeper() keeper.Entry { return keeper.NewEntry(e.Key, e.Value, e.Version, e.Deleted) }

func entriesFromWire(entries []entry) []keeper.Entry {
	var out []keeper.Entry
	for _, e := range entries {
		out = append(out, e.toKeeper())
	}
	return out
}

func entriesToWire(entries []keeper.Entry) []entry {
	var out []entry
	for _, e := range entries {
		out = append(out, entry{e.Key(), e.Value(), e.Version(), e.Deleted()})
	}
	return out
}
