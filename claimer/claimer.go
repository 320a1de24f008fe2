package claimer

import (
	"context"
	"sync"
	"time"

	"filberthaven.example/keeper"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"
)

const (
	// DefaultTTL is the duration of the owner's lease. It bounds how long the claim of a
	// lost owner keeps others from claiming, and also the longest outage of the store
	// that does not pause the owner. The store grants at least 1 s. A renewal takes
	// 0.25 s when the store is 60 times slower than usual.
	DefaultTTL = 1500 * time.Millisecond
	// memberTTL is the duration of the lease of an entry VM's own record.
	memberTTL = 6 * time.Second
	// renewalsPerTTL is how many times a lease is renewed in its duration.
	renewalsPerTTL = 4
	// leaseMargin is how long before the expiry of its lease an owner stops acting as the
	// owner, so that what it has sent arrives before the expiry.
	leaseMargin = 200 * time.Millisecond
	// claimJitter is the time over which up to claimJitterVMs VMs spread their claims
	// after the owner was lost. For more VMs it grows with their number: the first claim
	// still comes as early, and the others do not flood the store.
	claimJitter    = 40 * time.Millisecond
	claimJitterVMs = 10
	// deprioritizedDelay is the claim delay of deprioritized VMs, so that they claim only
	// if no other VM does. These are a VM that has resigned because it was too slow, and
	// all VMs of a data centre whose owner has resigned because it reached too few
	// workers.
	deprioritizedDelay = 1500 * time.Millisecond
	// deprioritizedTTL is how long VMs stay deprioritized.
	deprioritizedTTL = 8 * time.Second
	// smallVMDelay is the claim delay of a small VM. It is longer than the 0.3 s within
	// which the platform starts all VMs.
	smallVMDelay = 400 * time.Millisecond
	// muchLargerFactor defines a much larger VM: its processor is more than this multiple
	// of the VM's own. The owner of a large fleet uses up to 0.25 of a core.
	muchLargerFactor = 1.5
	// ownerProcessor is the part of a core below which a VM lets others claim first, whether
	// it knows of larger ones or not. Owners of 1,100 workers use 0.3 of a core.
	ownerProcessor = 0.3
	// startupDelay is how long a starting VM waits for others to register, so that a
	// large one claims first. A VM waits if it knows no other VM, or if the whole system
	// starts for the first time. The platform starts all VMs within 0.3 s.
	startupDelay = 400 * time.Millisecond
	// pollInterval is how long changes of the records are batched. It is short because a
	// new owner must be known at once.
	pollInterval = 5 * time.Millisecond
	// maxStoreBackoff is how late a VM may notice that the store is available again. It
	// is short because the owner may have been lost during the outage.
	maxStoreBackoff = 250 * time.Millisecond
	// disconnectTimeout is how long after the last answer the store counts as
	// disconnected. It is longer than a watch waits for a change, so that a watch
	// without changes does not count as disconnected.
	disconnectTimeout = 40 * time.Second
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 150 * time.Millisecond
	// maxRegisterBackoff is the longest delay between two attempts to register. It is long
	// because hundreds of VMs start at once, and the store accepts a few hundred writes
	// a second.
	maxRegisterBackoff = 3 * time.Second
)

// Keys and prefixes of the records in the store.
const (
	livePrefix          = "live/"
	ownerKey            = livePrefix + "owner"
	vmPrefix            = livePrefix + "vm/"
	deprioritizedPrefix = livePrefix + "unfit/" // followed by a deprioritized data centre or VM id; other VMs read this key, so it keeps its name
)

// Claimer registers one entry VM and claims the ownership of the fleet for it.
type Claimer struct {
	store        keeper.Store
	mirror       *keeper.Mirror
	roster       *roster       // decoded records of mirror
	self         record        // of this VM
	ttl          time.Duration // of the owner's lease
	now          func() time.Duration
	log          hclog.Logger
	onElected    func(ctx context.Context, term uint64)
	ownerChanged chan struct{} // of capacity 1; has an element if the owner's record may have changed
	// bootstrap is set when the whole system starts for the first time.
	bootstrap bool

	mu              sync.Mutex    // guards the fields below
	term            uint64        // of the ownership of this VM, 0 if it has none
	ownedUntil      time.Duration // before that time the lease cannot have expired
	resignScope     string        // data centre or VM to deprioritize after this ownership
	leaving         bool          // this VM makes no more claims
	cancelOwnership context.CancelFunc
}

// Option configures a Claimer.
type Option func(*Claimer)

// WithTTL sets the duration of the owner's lease.
func WithTTL(ttl time.Duration) Option { return func(c *Claimer) { c.ttl = ttl } }

// WithProcessor sets the part of a core that this VM may use. Much larger VMs claim
// before smaller ones.
func WithProcessor(cores float64) Option { return func(c *Claimer) { c.self.Processor = cores } }

// WithBootstrap sets whether the whole system starts for the first time. If so, the VMs
// wait for each other before they claim.
func WithBootstrap(bootstrap bool) Option { return func(c *Claimer) { c.bootstrap = bootstrap } }

// WithClock sets the monotonic clock, which must include suspended time.
func WithClock(now func() time.Duration) Option { return func(c *Claimer) { c.now = now } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(c *Claimer) { c.log = log.Named("claimer") } }

// WithOnElected sets the function that runs while this VM is the owner. Its context
// ends with the ownership, and the claimer waits for it to return.
func WithOnElected(onElected func(ctx context.Context, term uint64)) Option {
	return func(c *Claimer) { c.onElected = onElected }
}

// New returns a claimer for the VM with that id, which its peers call at address.
// incarnation differs with each start of the process.
func New(store keeper.Store, id, incarnation, address, centre string, options ...Option) (*Claimer, error) {
	if id == "" || incarnation == "" || address == "" {
		return nil, oops.In("claimer").Errorf("entry VM has no id, incarnation or address")
	}
	c := &Claimer{
		store:        store,
		self:         record{ID: id, Incarnation: incarnation, Address: address, Centre: centre},
		ttl:          DefaultTTL,
		now:          Now,
		log:          hclog.NewNullLogger(),
		onElected:    func(ctx context.Context, _ uint64) { <-ctx.Done() },
		ownerChanged: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(c)
	}
	c.mirror = keeper.NewMirror(store, livePrefix, keeper.WithPollInterval(pollInterval), keeper.WithDisconnectTimeout(disconnectTimeout), keeper.WithMaxBackoff(maxStoreBackoff), keeper.WithWatcherCount(c.vmCount), keeper.WithLogger(c.log))
	c.roster = newRoster(c.log, c.now)
	c.mirror.Subscribe(vmPrefix, c.roster.applyVM)
	c.mirror.Subscribe(ownerKey, func(entry keeper.Entry) {
		c.roster.applyOwner(entry)
		c.wake()
	})
	return c, nil
}

// wake makes runClaims check whether there is an owner.
func (c *Claimer) wake() {
	select {
	case c.ownerChanged <- struct{}{}:
	default:
	}
}

// Run registers the VM and claims the ownership whenever there is no owner, until ctx
// ends. It returns the error of ctx.
func (c *Claimer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.mirror.Run(ctx) }) // ends with the context only
	wg.Go(func() { c.register(ctx) })
	c.runClaims(ctx)
	wg.Wait()
	return ctx.Err()
}

// IsOwner reports whether this VM certainly still owns the fleet under that term.
func (c *Claimer) IsOwner(term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term == term && c.now() < c.ownedUntil
}

// Resign gives up the ownership.
func (c *Claimer) Resign() { c.resign("") }

// resign gives up the ownership. The scope is a data centre or VM that is deprioritized
// when the ownership ends; it may be empty.
func (c *Claimer) resign(scope string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != 0 && c.resignScope == "" {
		c.resignScope = scope
	}
	if c.cancelOwnership != nil {
		c.cancelOwnership()
	}
}

// Leave gives up the ownership for good: this VM makes no more claims.
func (c *Claimer) Leave() {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.Resign()
}

func (c *Claimer) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// Owner returns the last known owner of the fleet and its term, or false if there is
// none.
func (c *Claimer) Owner() (Member, uint64, bool) {
	r, term := c.roster.currentOwner()
	return r.member(), term, term != 0
}
