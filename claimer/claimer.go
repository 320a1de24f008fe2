package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"filberthaven.example/keeper"
	"github.com/cenkalti/backoff/v5"
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

// record is what an entry VM tells others of itself.
type record struct {
	ID      string `json:"id"`
	Life    string `json:"life"` // differs with each start of the process
	Address string `json:"address"`
	Centre  string `json:"centre"`
	// Processor is the part of a core that the VM may use; 0 when it isn't told.
	Processor float64 `json:"processor,omitempty"`
}

// Member is an entry VM that is registered.
type Member struct{ id, address, centre string }

// NewMember returns an entry VM that its peers call at address.
func NewMember(id, address, centre string) Member { return Member{id, address, centre} }

// ID returns the name of the VM.
func (m Member) ID() string { return m.id }

// Address returns where its peers call it.
func (m Member) Address() string { return m.address }

// Centre returns its data centre.
func (m Member) Centre() string { return m.centre }

// Claimer registers one entry VM and claims ownership for it.
type Claimer struct {
	store   keeper.Store
	mirror  *keeper.Mirror
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

// WithOwner sets what is run while this VM is the owner, with a context that ends
// when the ownership does. The claimer waits for it to return.
func WithOwner(own func(ctx context.Context, term uint64)) Option {
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
	c.mirror = keeper.NewMirror(store, livePrefix, keeper.WithPause(gatherPause), keeper.WithGap(watchGap), keeper.WithRetry(returnLimit), keeper.WithCrowd(c.crowd), keeper.WithLogger(c.log))
	c.mirror.Subscribe(ownerKey, func(keeper.Entry) { c.wake() })
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

// register keeps the VM's own record alive.
func (c *Claimer) register(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryPause, registerLimit
	for ctx.Err() == nil {
		lease, err := c.store.Grant(ctx, memberTTL)
		if err == nil {
			err = c.putMember(ctx, lease)
		}
		if err == nil {
			retry.Reset()
		}
		for err == nil && ctx.Err() == nil {
			sleep(ctx, memberTTL/renewals)
			if err = c.store.Renew(ctx, lease); err != nil && !errors.Is(err, keeper.ErrLeaseExpired) && ctx.Err() == nil {
				// The lease may outlast an outage of the store.
				sleep(ctx, retryPause)
				err = c.store.Renew(ctx, lease)
			}
		}
		if ctx.Err() == nil {
			c.log.Warn("registration lost", "error", err)
		}
		sleep(ctx, retry.NextBackOff())
	}
	// The record goes at once after a planned stop.
	if entry, found := c.mirror.Get(vmPrefix + c.self.ID); found {
		after, cancel := context.WithTimeout(context.WithoutCancel(ctx), retryPause)
		defer cancel()
		if err := c.store.Delete(after, entry.Key(), entry.Version()); err != nil {
			c.log.Info("record outlives the process until its lease ends", "error", err)
		}
	}
}

func (c *Claimer) putMember(ctx context.Context, lease keeper.LeaseID) error {
	value, err := json.Marshal(c.self)
	if err != nil {
		return err
	}
	key := vmPrefix + c.self.ID
	expect := uint64(0)
	if entry, err := c.store.Get(ctx, key); err == nil {
		expect = entry.Version()
	} else if !errors.Is(err, keeper.ErrNotFound) {
		return err
	}
	_, err = c.store.Put(ctx, key, value, expect, lease)
	return err
}

// claimOn claims the ownership whenever there is no owner.
func (c *Claimer) claimOn(ctx context.Context) {
	// Nothing tells of a change if there was no owner to begin with.
	for ctx.Err() == nil && c.mirror.Contact() == 0 {
		sleep(ctx, gatherPause)
	}
	if _, owned := c.mirror.Get(ownerKey); !owned && (c.bootstrap || len(c.Members()) < 2) {
		sleep(ctx, companyTime)
	}
	c.wake()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		case <-time.After(c.ttl):
		}
		if c.mirror.Contact() == 0 {
			// The copy may be old. What woke this VM is looked at when it is fresh.
			sleep(ctx, claimSpread)
			c.wake()
			continue
		}
		c.release(ctx)
		if _, owned := c.mirror.Get(ownerKey); owned || c.isLeaving() {
			continue
		}
		sleep(ctx, rand.N(claimSpread*time.Duration(max(1, c.crowd()/claimCrowd)))+c.handicap())
		if _, owned := c.mirror.Get(ownerKey); owned || c.isLeaving() || ctx.Err() != nil {
			continue
		}
		if err := c.claim(ctx); err != nil && ctx.Err() == nil {
			c.log.Info("ownership not claimed", "error", err)
			c.wake()
			sleep(ctx, retryPause)
		}
	}
}

// crowd returns the number of entry VMs that are known.
func (c *Claimer) crowd() int { return max(1, len(c.mirror.List(vmPrefix))) }

// release removes the claim of an earlier life of this VM, which has surely
// ended, as this process holds its address.
func (c *Claimer) release(ctx context.Context) {
	entry, owned := c.mirror.Get(ownerKey)
	if !owned {
		return
	}
	var r record
	if json.Unmarshal(entry.Value(), &r) != nil || r.ID != c.self.ID || r.Life == c.self.Life {
		return
	}
	if err := c.store.Delete(ctx, ownerKey, entry.Version()); err != nil {
		c.log.Info("claim of an earlier life not removed", "error", err)
		return
	}
	c.log.Info("claim of an earlier life removed", "life", r.Life)
}

// claim tries to become the owner and, if it did, stays owner as long as it can.
func (c *Claimer) claim(ctx context.Context) error {
	value, err := json.Marshal(c.self)
	if err != nil {
		return err
	}
	granted := c.now()
	lease, err := c.store.Grant(ctx, c.ttl)
	if err != nil {
		return err
	}
	term, err := c.store.Put(ctx, ownerKey, value, 0, lease)
	if errors.Is(err, keeper.ErrConflict) {
		c.end(ctx, lease)
		return nil
	}
	if err != nil {
		// The write may take effect yet; its lease ends it.
		c.end(ctx, lease)
		return err
	}
	c.mirror.Learn(keeper.NewEntry(ownerKey, value, term, false))
	c.hold(ctx, term, lease, granted)
	return nil
}

// end ends a lease, so that a claim bound to it can't come into force.
func (c *Claimer) end(ctx context.Context, lease keeper.LeaseID) {
	if err := c.store.Revoke(ctx, lease); err != nil {
		c.log.Info("lease not ended; it runs out", "error", err)
	}
}

// hold runs the owner's work until the ownership ends.
func (c *Claimer) hold(ctx context.Context, term uint64, lease keeper.LeaseID, granted time.Duration) {
	owning, drop := context.WithCancel(ctx)
	c.mu.Lock()
	c.term, c.valid, c.drop = term, granted+c.ttl-validMargin, drop
	c.mu.Unlock()
	c.log.Info("ownership claimed", "term", term)
	var work sync.WaitGroup
	work.Go(func() { c.own(owning, term) })
	c.renew(owning, lease, term)
	drop()
	work.Wait()
	c.mu.Lock()
	unfit := c.unfit
	c.term, c.unfit = 0, ""
	c.mu.Unlock()
	after, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.ttl)
	defer cancel()
	if unfit != "" {
		c.mark(after, unfit)
	}
	c.end(after, lease)
	c.log.Info("ownership ended", "term", term, "unfit", unfit)
	c.wake()
}

// renew prolongs the lease until the ownership ends. While the store is away the
// ownership pauses; it goes on if the lease has outlasted the outage.
func (c *Claimer) renew(ctx context.Context, lease keeper.LeaseID, term uint64) {
	for wait := c.ttl / renewals; ctx.Err() == nil; {
		sleep(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		sent := c.now()
		// A store that was silent does not answer what was sent meanwhile.
		bounded, cancel := context.WithTimeout(ctx, c.ttl/renewals)
		err := c.store.Renew(bounded, lease)
		cancel()
		wait = retryPause
		switch {
		case err == nil:
			wait = c.ttl / renewals
			c.mu.Lock()
			c.valid = max(c.valid, sent+c.ttl-validMargin)
			c.mu.Unlock()
		case errors.Is(err, keeper.ErrLeaseExpired):
			c.log.Warn("lease of the ownership has expired", "term", term)
			return
		case ctx.Err() == nil:
			c.log.Warn("lease of the ownership not renewed", "term", term, "error", err)
		}
		if entry, known := c.mirror.Get(ownerKey); c.mirror.Contact() > 0 && (!known || entry.Version() > term) {
			c.log.Warn("ownership was taken over", "term", term)
			return
		}
	}
}

// Valid reports whether this VM is surely still the owner under that term.
func (c *Claimer) Valid(term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term == term && c.now() < c.valid
}

// Resign gives the ownership up.
func (c *Claimer) Resign() { c.resign("") }

// ResignCentre gives the ownership up; the VMs of this data centre let others claim
// first for a while.
func (c *Claimer) ResignCentre() { c.resign(c.self.Centre) }

// ResignVM gives the ownership up; this VM lets others claim first for a while. It
// changes nothing while another VM does so: then it is the load that is too much.
func (c *Claimer) ResignVM() {
	for _, m := range c.Members() {
		if _, marked := c.mirror.Get(unfitKey + m.id); marked {
			return
		}
	}
	c.resign(c.self.ID)
}

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

// handicap returns how long this VM lets others claim first. It answers a fleet
// so large that its owner would use up the processor of a small VM.
func (c *Claimer) handicap() time.Duration {
	if c.isUnfit(c.self) {
		return unfitDelay
	}
	for _, entry := range c.mirror.List(vmPrefix) {
		var r record
		if json.Unmarshal(entry.Value(), &r) != nil {
			continue // a damaged record is of no VM
		}
		if !c.isUnfit(r) && r.Processor > muchLarger*c.self.Processor {
			return smallDelay
		}
	}
	return 0
}

// isUnfit reports whether a VM, or its data centre, is to let others claim first.
func (c *Claimer) isUnfit(r record) bool {
	_, vm := c.mirror.Get(unfitKey + r.ID)
	_, centre := c.mirror.Get(unfitKey + r.Centre)
	return vm || centre
}

// mark tells a VM, or the VMs of a data centre, to let others claim first.
func (c *Claimer) mark(ctx context.Context, scope string) {
	lease, err := c.store.Grant(ctx, unfitTime)
	if err == nil {
		key := unfitKey + scope
		entry, _ := c.mirror.Get(key)
		_, err = c.store.Put(ctx, key, []byte(c.self.ID), entry.Version(), lease)
	}
	if err != nil {
		c.log.Info("unfit VMs not marked", "scope", scope, "error", err)
	}
}

// Owner returns the VM that owns the fleet as far as this one knows, and its term.
func (c *Claimer) Owner() (Member, uint64, bool) {
	entry, owned := c.mirror.Get(ownerKey)
	if !owned {
		return Member{}, 0, false
	}
	m, ok := member(entry)
	return m, entry.Version(), ok
}

// Members returns the registered entry VMs by id.
func (c *Claimer) Members() []Member {
	var members []Member
	for _, entry := range c.mirror.List(vmPrefix) {
		if m, ok := member(entry); ok && strings.TrimPrefix(entry.Key(), vmPrefix) == m.id {
			members = append(members, m)
		}
	}
	return members
}

func member(entry keeper.Entry) (Member, bool) {
	var r record
	if err := json.Unmarshal(entry.Value(), &r); err != nil {
		return Member{}, false
	}
	return Member{r.ID, r.Address, r.Centre}, true
}

// sleep waits for d or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
