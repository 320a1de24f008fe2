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
	// DefaultTTL is how long an owner may go without a renewal before its
	// shards are taken over.
	DefaultTTL = 2500 * time.Millisecond
	// DefaultRenewInterval is the time between two renewals.
	DefaultRenewInterval = time.Second
	// checkInterval is the time after which the shards are checked again without
	// a wake-up.
	checkInterval = 100 * time.Millisecond
	// rankDelay is the extra wait per rank before a VM acquires a shard that
	// several VMs could acquire.
	rankDelay = 250 * time.Millisecond
	// discoveryDelay is how long the VM must have been connected to the store
	// before it acquires a shard without an owner, so that it knows the other
	// VMs by then.
	discoveryDelay = 500 * time.Millisecond
	// sweepInterval is the time between two sweeps for stale VM records.
	sweepInterval = time.Minute
	// staleAfter is how long a VM goes without a renewal before its record is
	// deleted.
	staleAfter = 10 * time.Minute
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
)

// Errors of an Elector. Test for them with errors.Is.
var (
	// ErrReplaced means that a newer process of this VM has registered.
	ErrReplaced = errors.New("vm has a newer incarnation")
	// ErrNotOwner means that this process does not own the shard.
	ErrNotOwner = errors.New("shard owned elsewhere")
	// ErrNoSuccessor means that the VM to hand a shard to is not live.
	ErrNoSuccessor = errors.New("no live vm to hand over to")
)

// Elector acquires, keeps and hands over shards on behalf of one process of an
// entry VM.
type Elector struct {
	store         keeper.Store
	mirror        *keeper.Mirror
	vm            VM
	ttl           time.Duration
	renewInterval time.Duration
	log           hclog.Logger
	onElected     func(shard string, term uint64)
	onDeposed     func(shard string)
	wakeup        chan struct{} // capacity 1; makes checkShards check at once

	renewNow chan struct{} // capacity 1; makes the next renewal due at once

	mu            sync.Mutex            // guards the fields below
	eligible      map[string]bool       // shards that this VM may own
	leaving       bool                  // acquires no more shards
	lastRenewal   map[process]time.Time // when a renewal was last seen
	vacantSince   map[string]time.Time  // when a shard was first found vacant
	ownedTerms    map[string]uint64     // term passed to onElected, by shard
	observedTerms map[string]uint64     // highest term passed to ObserveTerm, by shard
}

// process is one incarnation of a VM.
type process struct {
	id          string
	incarnation uint64
}

// Option configures an Elector.
type Option func(*Elector)

// WithTTL sets how long an owner may go without a renewal. It must be at least
// twice the renew interval.
func WithTTL(ttl time.Duration) Option { return func(e *Elector) { e.ttl = ttl } }

// WithRenewInterval sets the time between two renewals.
func WithRenewInterval(interval time.Duration) Option {
	return func(e *Elector) { e.renewInterval = interval }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(e *Elector) { e.log = log.Named("elector") } }

// WithOnElected sets the function to call when this process has become the owner of
// a shard. Callbacks are called one at a time and must not block.
func WithOnElected(elected func(shard string, term uint64)) Option {
	return func(e *Elector) { e.onElected = elected }
}

// WithOnDeposed sets the function to call when this process has learned that it no
// longer owns a shard.
func WithOnDeposed(deposed func(shard string)) Option {
	return func(e *Elector) { e.onDeposed = deposed }
}

// New returns an elector for the VM. The mirror must cover the prefix live/; the
// caller runs the mirror.
func New(store keeper.Store, mirror *keeper.Mirror, vm VM, options ...Option) (*Elector, error) {
	e := &Elector{
		store:         store,
		mirror:        mirror,
		vm:            vm,
		ttl:           DefaultTTL,
		renewInterval: DefaultRenewInterval,
		log:           hclog.NewNullLogger(),
		onElected:     func(string, uint64) {},
		onDeposed:     func(string) {},
		wakeup:        make(chan struct{}, 1),
		renewNow:      make(chan struct{}, 1),
		eligible:      map[string]bool{},
		lastRenewal:   map[process]time.Time{},
		vacantSince:   map[string]time.Time{},
		ownedTerms:    map[string]uint64{},
		observedTerms: map[string]uint64{},
	}
	for _, option := range options {
		option(e)
	}
	if vm.id == "" || vm.incarnation == 0 || vm.centre == "" {
		return nil, oops.In("elector").With("vm", vm.id).Errorf("vm lacks an id, an incarnation or a data centre")
	}
	if e.ttl < 2*e.renewInterval {
		return nil, oops.In("elector").Errorf("ttl %v is shorter than two renew intervals of %v", e.ttl, e.renewInterval)
	}
	mirror.Subscribe(vmPrefix, e.observeRenewal)
	mirror.Subscribe(shardPrefix, func(keeper.Entry) { e.wake() })
	return e, nil
}

// SetEligibleShards sets the shards that this VM may own: those of its data
// centre.
func (e *Elector) SetEligibleShards(shards ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eligible = map[string]bool{}
	for _, shard := range shards {
		e.eligible[shard] = true
	}
	e.wake()
}

// Run renews this VM's record and acquires shards until the context ends. It
// returns ErrReplaced once a newer process of the VM has registered.
func (e *Elector) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.renew(ctx) })
	group.Go(func() error { return e.checkShards(ctx) })
	err := group.Wait()
	if errors.Is(err, ErrReplaced) {
		e.deposeAll()
	}
	return err
}

// Owner returns the owner of a shard according to the mirror, and whether the
// shard has an owner.
func (e *Elector) Owner(shard string) (Owner, bool) {
	record, _, ok := e.record(shard)
	return record.owner(), ok && record.Owner != ""
}

// Live returns the live VMs of this VM's data centre, sorted by id: this VM,
// and the others that are not leaving and have not expired.
func (e *Elector) Live() []VM {
	vms := []VM{e.vm}
	for _, entry := range e.mirror.List(vmPrefix) {
		id := entry.Key()[len(vmPrefix):]
		record, ok := decodeRecord[vmRecord](entry)
		if !ok || id == e.vm.id || record.Leaving || record.Centre != e.vm.centre || e.expired(process{id, record.Incarnation}) {
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

// ObserveTerm records a term of the shard that was seen outside the store, such
// as in a worker's refusal. If the term is higher than the one under which this
// process owns the shard, the ownership ends, whatever the mirror says.
func (e *Elector) ObserveTerm(shard string, term uint64) {
	e.mu.Lock()
	e.observedTerms[shard] = max(e.observedTerms[shard], term)
	e.mu.Unlock()
	e.wake()
}

// observeRenewal records the time of a VM's renewal.
func (e *Elector) observeRenewal(entry keeper.Entry) {
	record, ok := decodeRecord[vmRecord](entry)
	if !ok || entry.Deleted() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastRenewal[process{entry.Key()[len(vmPrefix):], record.Incarnation}] = time.Now()
}

// expired reports whether no renewal by the process was seen for a whole TTL,
// while the connection to the store was unbroken. A process that was never seen
// counts as expired once the connection is a TTL old.
func (e *Elector) expired(p process) bool {
	if e.mirror.ConnectedFor() < e.ttl {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.lastRenewal[p]) >= e.ttl
}

// record returns a shard's record and its version from the mirror.
func (e *Elector) record(shard string) (shardRecord, uint64, bool) {
	entry, ok := e.mirror.Get(shardPrefix + shard)
	if !ok {
		return shardRecord{}, 0, false
	}
	record, ok := decodeRecord[shardRecord](entry)
	return record, entry.Version(), ok
}

// wake makes checkShards check the shards at once.
func (e *Elector) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}
