package elector

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"filberthaven.example/keeper"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
)

const (
	// DefaultTTL is how long an owner may go without a renewal.
	DefaultTTL = 2500 * time.Millisecond
	// DefaultRenewInterval is the time between two renewals.
	DefaultRenewInterval = time.Second
	// decideInterval is the longest time between two looks at the shards.
	decideInterval = 100 * time.Millisecond
	// stagger is how much longer each further VM waits before it takes a shard
	// that several could take.
	stagger = 250 * time.Millisecond
	// acquaintance is how long contact has lasted when a shard without an owner is
	// taken, so that the other VMs are known.
	acquaintance = 500 * time.Millisecond
	// sweepInterval is the time between two looks for VMs that are gone.
	sweepInterval = time.Minute
	// goneLimit is how long a VM goes without a renewal until its record is
	// deleted.
	goneLimit = 10 * time.Minute
	// callTimeout bounds one call to the service.
	callTimeout = time.Second
)

// Errors. A caller tests for them with errors.Is.
var (
	// ErrReplaced means that a newer process of this VM has registered.
	ErrReplaced = errors.New("vm has a newer incarnation")
	// ErrNotOwner means that this process does not own the shard.
	ErrNotOwner = errors.New("shard owned elsewhere")
	// ErrNoSuccessor means that no other VM lives that could own the shard.
	ErrNoSuccessor = errors.New("no live vm to hand over to")
)

// Elector takes, keeps and hands over shards on behalf of one entry VM.
type Elector struct {
	store   keeper.Store
	mirror  *keeper.Mirror
	vm      VM
	ttl     time.Duration
	renewal time.Duration
	log     hclog.Logger
	elected func(shard string, term uint64)
	deposed func(shard string)
	kick    chan struct{} // of capacity 1; a shard's record has changed

	hasten chan struct{} // of capacity 1; the next renewal is due at once

	mu         sync.Mutex
	candidates map[string]bool       // shards that this VM may own
	leaving    bool                  // take nothing any more
	seen       map[process]time.Time // when a renewal was last seen
	free       map[string]time.Time  // since when a shard could be taken
	held       map[string]uint64     // term announced as elected, by shard
	fenced     map[string]uint64     // highest term known from elsewhere, by shard
}

// process is one incarnation of a VM.
type process struct {
	id          string
	incarnation uint64
}

// Option changes an Elector under construction.
type Option func(*Elector)

// WithTTL sets how long an owner may go without a renewal. It should be more
// than twice the time between renewals.
func WithTTL(ttl time.Duration) Option { return func(e *Elector) { e.ttl = ttl } }

// WithRenewInterval sets the time between two renewals.
func WithRenewInterval(renewal time.Duration) Option { return func(e *Elector) { e.renewal = renewal } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(e *Elector) { e.log = log.Named("elector") } }

// OnElected sets what is called when this process has become the owner of a
// shard. All callbacks come from one goroutine and must not block.
func OnElected(elected func(shard string, term uint64)) Option {
	return func(e *Elector) { e.elected = elected }
}

// OnDeposed sets what is called when this process is known to be no longer the
// owner of a shard.
func OnDeposed(deposed func(shard string)) Option { return func(e *Elector) { e.deposed = deposed } }

// New returns an elector for the VM. The mirror has to cover live/ and be run by
// the caller.
func New(store keeper.Store, mirror *keeper.Mirror, vm VM, options ...Option) (*Elector, error) {
	e := &Elector{
		store:      store,
		mirror:     mirror,
		vm:         vm,
		ttl:        DefaultTTL,
		renewal:    DefaultRenewInterval,
		log:        hclog.NewNullLogger(),
		elected:    func(string, uint64) {},
		deposed:    func(string) {},
		kick:       make(chan struct{}, 1),
		hasten:     make(chan struct{}, 1),
		candidates: map[string]bool{},
		seen:       map[process]time.Time{},
		free:       map[string]time.Time{},
		held:       map[string]uint64{},
		fenced:     map[string]uint64{},
	}
	for _, option := range options {
		option(e)
	}
	if vm.id == "" || vm.incarnation == 0 || vm.centre == "" {
		return nil, oops.In("elector").With("vm", vm.id).Errorf("vm lacks an id, an incarnation or a data centre")
	}
	if e.ttl < 2*e.renewal {
		return nil, oops.In("elector").Errorf("ttl %v is below two renewals of %v", e.ttl, e.renewal)
	}
	mirror.Subscribe(vmPrefix, e.see)
	mirror.Subscribe(shardPrefix, func(keeper.Entry) { e.wake() })
	return e, nil
}

// SetEligibleShards sets the shards that this VM may own, those of its data centre.
func (e *Elector) SetEligibleShards(shards ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.candidates = map[string]bool{}
	for _, shard := range shards {
		e.candidates[shard] = true
	}
	e.wake()
}

// Run renews this VM's record and takes shards until the context ends, or until
// a newer process of the VM registers, when it returns ErrReplaced.
func (e *Elector) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.renew(ctx) })
	group.Go(func() error { return e.decide(ctx) })
	err := group.Wait()
	if errors.Is(err, ErrReplaced) {
		e.dropAll()
	}
	return err
}

// Owner returns the owner of a shard as far as known here.
func (e *Elector) Owner(shard string) (Owner, bool) {
	record, _, ok := e.record(shard)
	return record.owner(), ok && record.Owner != ""
}

// Live returns the VMs of the own data centre that were seen to renew within a
// TTL and don't leave, this one included, by id.
func (e *Elector) Live() []VM {
	vms := []VM{e.vm}
	for _, entry := range e.mirror.List(vmPrefix) {
		id := entry.Key()[len(vmPrefix):]
		record, ok := decodeRecord[vmRecord](entry)
		if !ok || id == e.vm.id || record.Leaving || record.Centre != e.vm.centre || e.lapsed(process{id, record.Incarnation}) {
			continue
		}
		vms = append(vms, NewVM(id, record.Incarnation, record.Address, record.Centre))
	}
	slices.SortFunc(vms, func(a, b VM) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return vms
}

// ObserveTerm tells that a higher term of the shard was seen elsewhere, as in a
// worker's refusal: this process owns it no longer, whatever the copy says.
func (e *Elector) ObserveTerm(shard string, term uint64) {
	e.mu.Lock()
	e.fenced[shard] = max(e.fenced[shard], term)
	e.mu.Unlock()
	e.wake()
}

// see notes a renewal.
func (e *Elector) see(entry keeper.Entry) {
	record, ok := decodeRecord[vmRecord](entry)
	if !ok || entry.Deleted() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[process{entry.Key()[len(vmPrefix):], record.Incarnation}] = time.Now()
}

// lapsed reports whether a whole TTL has gone by without a renewal, in unbroken
// contact with the service. Of a process never seen it says so after a TTL of
// contact.
func (e *Elector) lapsed(p process) bool {
	if e.mirror.ConnectedFor() < e.ttl {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.seen[p]) >= e.ttl
}

// record returns a shard's record and its version.
func (e *Elector) record(shard string) (shardRecord, uint64, bool) {
	entry, ok := e.mirror.Get(shardPrefix + shard)
	if !ok {
		return shardRecord{}, 0, false
	}
	record, ok := decodeRecord[shardRecord](entry)
	return record, entry.Version(), ok
}

// wake lets decide look at the shards.
func (e *Elector) wake() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}
