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
	// DefaultTTL is the lease of the owner: the longest time without an owner
	// after it was lost, and the longest outage of the store that it bears
	// without pausing. The store grants 1 s at least; a store that is 60 times
	// slower than usual takes 0.25 s for a renewal.
	DefaultTTL = 1500 * time.Millisecond
	// memberTTL is the lease of an entry VM's own record.
	memberTTL = 6 * time.Second
	// renewals is the number of tries that fit into a lease.
	renewals = 4
	// validMargin is kept to the end of a lease, for the way of what is sent.
	validMargin = 200 * time.Millisecond
	// claimSpread spreads the claims of up to claimCrowd VMs that see the owner go;
	// more are spread over as much longer, so that the first of them claims as soon
	// and the store is not flooded by the rest.
	claimSpread = 40 * time.Millisecond
	claimCrowd  = 10
	// unfitDelay is added for the VMs of a data centre whose owner has just
	// resigned because it reached too few workers; they claim if nobody else does.
	unfitDelay = 1500 * time.Millisecond
	// unfitTime is how long the VMs of its data centre let others go first.
	unfitTime = 8 * time.Second
	// smallDelay is how long a VM lets much larger ones claim first; longer than the
	// 0.3 s within which the platform starts all.
	smallDelay = 400 * time.Millisecond
	// muchLarger is the multiple of its own processor at which a VM makes way: the
	// owner of a large fleet uses up to 0.25 of a core.
	muchLarger = 1.5
	// companyTime is how long VMs that start for the first time, or know no other, wait
	// for each other, so that a large one claims; the platform starts all within 0.3 s.
	companyTime = 400 * time.Millisecond
	// gatherPause is how long changes of the records gather; a new owner is to be
	// known at once.
	gatherPause = 5 * time.Millisecond
	// returnLimit is how late a VM may notice that the store is back: an owner may
	// have been lost meanwhile.
	returnLimit = 250 * time.Millisecond
	// watchGap is longer than any watch waits for a change.
	watchGap = 40 * time.Second
	// retryPause is the pause after an error of the store.
	retryPause = 150 * time.Millisecond
	// registerLimit is the longest pause between two tries to register: hundreds of
	// VMs start at once, and the store takes some hundred writes a second.
	registerLimit = 3 * time.Second
)

// Keys of the records.
const (
	livePrefix = "live/"
	ownerKey   = livePrefix + "owner"
	vmPrefix   = livePrefix + "vm/"
	unfitKey   = livePrefix + "unfit/" // followed by a data centre or a VM that lets others claim first
)

// Claimer registers one entry VM and claims ownership for it.
type Claimer struct {
	store   keeper.Store
	mirror  *keeper.Mirror
	roster  *roster // of the mirror's records
	self    record
	ttl     time.Duration
	now     func() time.Duration
	log     hclog.Logger
	own     func(ctx context.Context, term uint64)
	changed chan struct{} // of capacity 1: the owner's record has changed
	// bootstrap means that the whole system starts for the first time.
	bootstrap bool

	mu      sync.Mutex
	term    uint64        // of the ownership held, 0 when none
	valid   time.Duration // until when the lease of the ownership surely runs
	unfit   string        // data centre or VM that is to let others claim first after this ownership
	leaving bool          // the VM claims nothing any more
	drop    context.CancelFunc
}

// Option changes a Claimer under construction.
type Option func(*Claimer)

// WithTTL sets the lease of the owner.
func WithTTL(ttl time.Duration) Option { return func(c *Claimer) { c.ttl = ttl } }

// WithProcessor sets the part of a core that this VM may use. Of VMs that differ
// much, the larger ones claim first.
func WithProcessor(cores float64) Option { return func(c *Claimer) { c.self.Processor = cores } }

// WithBootstrap tells whether the whole system starts for the first time.
func WithBootstrap(bootstrap bool) Option { return func(c *Claimer) { c.bootstrap = bootstrap } }

// WithClock sets the steady clock that counts suspension.
func WithClock(now func() time.Duration) Option { return func(c *Claimer) { c.now = now } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(c *Claimer) { c.log = log.Named("claimer") } }

// WithOnElected sets what is run while this VM is the owner, with a context that ends
// when the ownership does. The claimer waits for it to return.
func WithOnElected(own func(ctx context.Context, term uint64)) Option {
	return func(c *Claimer) { c.own = own }
}

// New returns a claimer for the VM with that id, whose peers call it at address.
// life differs with each start of the process.
func New(store keeper.Store, id, life, address, centre string, options ...Option) (*Claimer, error) {
	if id == "" || life == "" || address == "" {
		return nil, oops.In("claimer").Errorf("entry VM has no id, life or address")
	}
	c := &Claimer{
		store:   store,
		self:    record{ID: id, Life: life, Address: address, Centre: centre},
		ttl:     DefaultTTL,
		now:     Now,
		log:     hclog.NewNullLogger(),
		own:     func(ctx context.Context, _ uint64) { <-ctx.Done() },
		changed: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(c)
	}
	c.mirror = keeper.NewMirror(store, livePrefix, keeper.WithPollInterval(gatherPause), keeper.WithDisconnectTimeout(watchGap), keeper.WithMaxBackoff(returnLimit), keeper.WithWatcherCount(c.crowd), keeper.WithLogger(c.log))
	c.roster = newRoster(c.log)
	c.mirror.Subscribe(vmPrefix, c.roster.changeVM)
	c.mirror.Subscribe(ownerKey, func(entry keeper.Entry) {
		c.roster.changeOwner(entry)
		c.wake()
	})
	return c, nil
}

func (c *Claimer) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Run registers the VM and claims ownership whenever nobody has it, until the
// context ends.
func (c *Claimer) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	parts.Go(func() { _ = c.mirror.Run(ctx) }) // ends with the context only
	parts.Go(func() { c.register(ctx) })
	c.claimOn(ctx)
	parts.Wait()
	return ctx.Err()
}

// IsOwner reports whether this VM is surely still the owner under that term.
func (c *Claimer) IsOwner(term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term == term && c.now() < c.valid
}

// Resign gives the ownership up.
func (c *Claimer) Resign() { c.resign("") }

func (c *Claimer) resign(unfit string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != 0 && c.unfit == "" {
		c.unfit = unfit
	}
	if c.drop != nil {
		c.drop()
	}
}

// Leave gives the ownership up and claims it no more.
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

// Owner returns the VM that owns the fleet as far as this one knows, and its term.
func (c *Claimer) Owner() (Member, uint64, bool) {
	r, term := c.roster.current()
	return r.member(), term, term != 0
}
