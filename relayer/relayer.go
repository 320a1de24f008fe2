// Package relayer reaches the platform's store through another entry VM while the
// store turns this one away or is out of its reach. All writes are under a
// condition and all leases have ids, so that it makes no difference who calls.
package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/keeper"
	"filberthaven.example/messenger"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

const (
	// procedure is the call that relays.
	procedure = "/store/relay"
	// directPause is how long calls go to a peer first after the store failed
	// this VM; then the store itself is tried again.
	directPause = 3 * time.Second
	// peerPause is how long peers are left alone after one found the store away
	// too: then the store is down for all.
	peerPause = 500 * time.Millisecond
	// peerTimeout bounds a relayed call other than a watch.
	peerTimeout = 700 * time.Millisecond
	// watchTimeout bounds a relayed watch: peers wait 0.8 s for a change.
	watchTimeout = 1500 * time.Millisecond
	// longTimeout bounds the relayed reading of many keys.
	longTimeout = 3 * time.Second
)

// operation says which call of the store is meant.
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

// request is one call of the store.
type request struct {
	Operation operation      `cbor:"1,keyasint"`
	Key       string         `cbor:"2,keyasint,omitempty"` // or prefix
	Value     []byte         `cbor:"3,keyasint,omitempty"`
	Version   uint64         `cbor:"4,keyasint,omitempty"` // expected, or to go on from
	Lease     keeper.LeaseID `cbor:"5,keyasint,omitempty"`
	TTL       time.Duration  `cbor:"6,keyasint,omitempty"`
}

// response is the store's answer.
type response struct {
	Entries []entry        `cbor:"1,keyasint,omitempty"`
	Version uint64         `cbor:"2,keyasint,omitempty"`
	Lease   keeper.LeaseID `cbor:"3,keyasint,omitempty"`
	Failure int            `cbor:"4,keyasint,omitempty"` // index into failures, from 1
}

// entry is a key with its value.
type entry struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// failures are the errors that travel; others travel as unavailable.
func failures() []error {
	return []error{
		keeper.ErrUnavailable, keeper.ErrOutcomeUnknown, keeper.ErrNotFound, keeper.ErrConflict,
		keeper.ErrTooLarge, keeper.ErrCompacted, keeper.ErrLeaseExpired,
	}
}

// Relayer is the store as seen by one entry VM.
type Relayer struct {
	direct    keeper.Store
	served    keeper.Store // for peers; its watches wait no longer than any of theirs
	members   func() []claimer.Member
	self      string
	messenger *messenger.Messenger
	log       hclog.Logger
	now       func() time.Duration
	relayed   metrics.Counter
	silence   silence
	avoid     atomic.Int64 // ns of the steady clock until which peers go first
	apart     atomic.Int64 // ns until which peers are left alone
}

// New returns the relayer of the VM called self over the direct store; peers are
// served from another view of it.
func New(direct, served keeper.Store, self string, m *messenger.Messenger, members func() []claimer.Member, log hclog.Logger, registry metrics.Registry) *Relayer {
	return &Relayer{
		direct: direct, served: served, members: members, self: self, messenger: m, log: log.Named("relayer"), now: claimer.Now,
		relayed: metrics.GetOrRegisterCounter("store.relayed", registry), silence: newSilence(),
	}
}

// Wrap returns a relayer with the same state over another view of the store.
func (r *Relayer) Wrap(direct keeper.Store) keeper.Store {
	return r.store(direct)
}

// Store returns the store that takes a detour when it has to.
func (r *Relayer) Store() keeper.Store { return r.store(r.direct) }

func (r *Relayer) store(direct keeper.Store) keeper.Store {
	do := func(ctx context.Context, q request) (response, error) { return r.do(ctx, direct, q) }
	return keeper.Store{
		Get: func(ctx context.Context, key string) (keeper.Entry, error) {
			a, err := do(ctx, request{Operation: get, Key: key})
			if err != nil || len(a.Entries) == 0 {
				return keeper.Entry{}, err
			}
			return a.Entries[0].keeper(), nil
		},
		List: func(ctx context.Context, prefix string) ([]keeper.Entry, error) {
			a, err := do(ctx, request{Operation: list, Key: prefix})
			return entries(a.Entries), err
		},
		Put: func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
			a, err := do(ctx, request{Operation: put, Key: key, Value: value, Version: expect, Lease: lease})
			return a.Version, err
		},
		Delete: func(ctx context.Context, key string, expect uint64) error {
			_, err := do(ctx, request{Operation: remove, Key: key, Version: expect})
			return err
		},
		Watch: func(ctx context.Context, prefix string, after uint64) ([]keeper.Entry, uint64, error) {
			a, err := do(ctx, request{Operation: watch, Key: prefix, Version: after})
			return entries(a.Entries), a.Version, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
			a, err := do(ctx, request{Operation: grant, TTL: ttl})
			return a.Lease, err
		},
		Renew: func(ctx context.Context, lease keeper.LeaseID) error {
			_, err := do(ctx, request{Operation: renew, Lease: lease})
			return err
		},
		Revoke: func(ctx context.Context, lease keeper.LeaseID) error {
			_, err := do(ctx, request{Operation: revoke, Lease: lease})
			return err
		},
	}
}

// do makes a call directly or through a peer. A write whose outcome is unknown is
// not repeated here; its caller finds out.
func (r *Relayer) do(ctx context.Context, direct keeper.Store, q request) (response, error) {
	if r.now() < time.Duration(r.avoid.Load()) {
		if a, err := r.relay(ctx, q); !errors.Is(err, keeper.ErrUnavailable) {
			return a, err
		}
	}
	a, err := r.directly(ctx, direct, q)
	if err == nil || ctx.Err() != nil || !errors.Is(err, keeper.ErrUnavailable) {
		return a, err
	}
	if q.Operation == watch {
		// A watch may be cut at any time; only other calls tell that the store is
		// out of reach.
		return a, err
	}
	r.avoid.Store(int64(r.now() + directPause))
	detour, relayErr := r.relay(ctx, q)
	if errors.Is(relayErr, keeper.ErrUnavailable) {
		return a, err
	}
	return detour, relayErr
}

// directly makes a call to the store itself.
func (r *Relayer) directly(ctx context.Context, direct keeper.Store, q request) (response, error) {
	if q.Operation == watch {
		watching, end := r.silence.watch(ctx, r.now())
		defer end()
		ctx = watching
	}
	a, err := call(ctx, direct, q)
	if q.Operation == watch && ctx.Err() != nil {
		return a, err // it was cancelled here, which tells nothing of the store
	}
	if errors.Is(err, keeper.ErrUnavailable) || errors.Is(err, keeper.ErrOutcomeUnknown) {
		r.silence.fail()
		return a, err
	}
	if n := r.silence.answer(r.now()); n > 0 {
		r.log.Info("store answers again; watches begin anew", "watches", n)
	}
	return a, err
}

// relay makes the call through some peer. ErrUnavailable means that it surely was
// not carried out.
func (r *Relayer) relay(ctx context.Context, q request) (response, error) {
	if r.now() < time.Duration(r.apart.Load()) {
		return response{}, keeper.ErrUnavailable
	}
	peer, found := r.peer()
	if !found {
		return response{}, keeper.ErrUnavailable
	}
	timeout := peerTimeout
	switch q.Operation {
	case watch:
		timeout = watchTimeout
	case list:
		timeout = longTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.relayed.Inc(1)
	a, err := messenger.Call[request, response](ctx, r.messenger, peer.Address(), procedure, &q)
	switch {
	case err != nil && (q.Operation == put || q.Operation == remove || q.Operation == grant):
		return response{}, errors.Join(keeper.ErrOutcomeUnknown, err)
	case err != nil:
		return response{}, errors.Join(keeper.ErrUnavailable, err)
	case a.Failure > 0 && a.Failure <= len(failures()):
		failure := failures()[a.Failure-1]
		if errors.Is(failure, keeper.ErrUnavailable) {
			r.apart.Store(int64(r.now() + peerPause))
		}
		return response{}, failure
	}
	return *a, nil
}

func (r *Relayer) peer() (claimer.Member, bool) {
	var others []claimer.Member
	for _, m := range r.members() {
		if m.ID() != r.self {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return claimer.Member{}, false
	}
	return others[rand.IntN(len(others))], true
}

// Register registers the calls of peers. They go to the store directly, never
// through a third VM.
func (r *Relayer) Register(mux messenger.Mux) {
	messenger.Handle(r.messenger, mux, procedure, func(ctx context.Context, q *request) (*response, error) {
		a, err := call(ctx, r.served, *q)
		if err == nil {
			return &a, nil
		}
		for i, failure := range failures() {
			if errors.Is(err, failure) {
				return &response{Failure: i + 1}, nil
			}
		}
		r.log.Warn("store refused a relayed call", "operation", string(q.Operation), "error", err)
		return nil, err
	})
}

// call makes one call of the store.
func call(ctx context.Context, store keeper.Store, q request) (response, error) {
	var a response
	var err error
	switch q.Operation {
	case get:
		var e keeper.Entry
		e, err = store.Get(ctx, q.Key)
		a.Entries = wire([]keeper.Entry{e})
	case list:
		var found []keeper.Entry
		found, err = store.List(ctx, q.Key)
		a.Entries = wire(found)
	case put:
		a.Version, err = store.Put(ctx, q.Key, q.Value, q.Version, q.Lease)
	case remove:
		err = store.Delete(ctx, q.Key, q.Version)
	case watch:
		var found []keeper.Entry
		found, a.Version, err = store.Watch(ctx, q.Key, q.Version)
		a.Entries = wire(found)
	case grant:
		a.Lease, err = store.Grant(ctx, q.TTL)
	case renew:
		err = store.Renew(ctx, q.Lease)
	case revoke:
		err = store.Revoke(ctx, q.Lease)
	default:
		err = keeper.ErrUnavailable
	}
	if err != nil {
		return response{}, err
	}
	return a, nil
}

func (e entry) keeper() keeper.Entry { return keeper.NewEntry(e.Key, e.Value, e.Version, e.Deleted) }

func entries(list []entry) []keeper.Entry {
	var out []keeper.Entry
	for _, e := range list {
		out = append(out, e.keeper())
	}
	return out
}

func wire(list []keeper.Entry) []entry {
	var out []entry
	for _, e := range list {
		out = append(out, entry{e.Key(), e.Value(), e.Version(), e.Deleted()})
	}
	return out
}
