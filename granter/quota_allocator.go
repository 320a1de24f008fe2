package granter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"filberthaven.example/keeper"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"
	"golang.org/x/time/rate"
)

const (
	// limitPrefix is the key prefix of the records of limits.
	limitPrefix = "live/limit/"
	// DefaultGroups is the number of records that teams are spread over.
	DefaultGroups = 16
	// DefaultInterval is the mean time between two checks of the quotas.
	DefaultInterval = time.Second
	// DefaultWriteRate bounds the mean number of writes per second of one
	// shard.
	DefaultWriteRate rate.Limit = 2
	// writeBurst is how many writes may be made at once.
	writeBurst = 16
	// wakeupDelayDivisor divides the interval to give the delay after a
	// wake-up, so that one check covers several teams that need more.
	wakeupDelayDivisor = 20
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
)

// ErrDeposed means that a newer owner of the shard has written quotas.
var ErrDeposed = errors.New("shard has another owner")

// QuotaAllocator divides the teams' upper limits into quotas, one for each
// shard, on behalf of one shard's owner.
type QuotaAllocator struct {
	store      keeper.Store
	mirror     *keeper.Mirror
	shard      string
	term       uint64
	groupCount int // at least 1, the same for all shards
	interval   time.Duration
	limiter    *rate.Limiter
	log        hclog.Logger
	wakeup     chan struct{} // capacity 1; makes Run check the quotas soon
	groups     []*group      // each with its own lock
}

// QuotaAllocatorOption configures a QuotaAllocator.
type QuotaAllocatorOption func(*QuotaAllocator)

// WithTerm sets the term of the ownership. Once a newer term is in a record,
// writes under older terms fail.
func WithTerm(term uint64) QuotaAllocatorOption { return func(a *QuotaAllocator) { a.term = term } }

// WithGroups sets the number of records that teams are spread over. It must be
// the same for all shards and must never change.
func WithGroups(count int) QuotaAllocatorOption {
	return func(a *QuotaAllocator) { a.groupCount = count }
}

// WithInterval sets the mean time between two checks of the quotas.
func WithInterval(interval time.Duration) QuotaAllocatorOption {
	return func(a *QuotaAllocator) { a.interval = interval }
}

// WithQuotaLogger sets the logger.
func WithQuotaLogger(log hclog.Logger) QuotaAllocatorOption {
	return func(a *QuotaAllocator) { a.log = log.Named("allotter") }
}

// NewQuotaAllocator returns the quota allocator of a shard. The mirror must
// cover the key prefix live/. The caller runs the mirror.
func NewQuotaAllocator(store keeper.Store, mirror *keeper.Mirror, shard string, options ...QuotaAllocatorOption) (*QuotaAllocator, error) {
	a := &QuotaAllocator{
		store:      store,
		mirror:     mirror,
		shard:      shard,
		term:       1,
		groupCount: DefaultGroups,
		interval:   DefaultInterval,
		limiter:    rate.NewLimiter(DefaultWriteRate, writeBurst),
		log:        hclog.NewNullLogger(),
		wakeup:     make(chan struct{}, 1),
	}
	for _, option := range options {
		option(a)
	}
	if shard == "" || a.term == 0 || a.groupCount < 1 {
		return nil, oops.In("allotter").With("shard", shard).Errorf("quota allocator lacks a shard, a term or groups")
	}
	for n := range a.groupCount {
		a.groups = append(a.groups, newGroup(groupKey(n), shard, a.term))
	}
	mirror.Subscribe(limitPrefix, a.mergeEntry)
	return a, nil
}

// groupKey returns the key of a group's record.
func groupKey(n int) string { return fmt.Sprintf("%s%03d", limitPrefix, n) }

// Quota returns how much of a resource the team may use in this shard. The
// quota is 0 until the owner's term is in the record. While the outcome of a
// write is unknown, the smaller of the old and the new quota counts.
func (a *QuotaAllocator) Quota(team string, resource Resource) int64 {
	return a.groupOf(team).quota(team, resource)
}

// StartLimit returns the amount of a resource up to which the team's tasks may
// start in this shard: the quota, or less while a part of the quota is to move
// to another shard.
func (a *QuotaAllocator) StartLimit(team string, resource Resource) int64 {
	g := a.groupOf(team)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.startLimitLocked(team, resource)
}

// Reserve adds an amount to the team's usage if the sum stays within the start
// limit, and reports whether it does. Call Reserve before a start.
func (a *QuotaAllocator) Reserve(team string, resource Resource, amount int64) bool {
	ok := a.groupOf(team).reserve(team, resource, amount)
	if !ok {
		a.wake()
	}
	return ok
}

// Release subtracts an amount from the team's usage. Call Release after the
// tasks or requests that used the amount have ended.
func (a *QuotaAllocator) Release(team string, resource Resource, amount int64) {
	a.groupOf(team).release(team, resource, amount)
}

// SetUsage sets how much of a resource the team uses, including what is about
// to start, and how much more it would use if it could. If the new usage is
// above both the old usage and the start limit, the old usage stays and
// SetUsage returns false: then nothing may start.
func (a *QuotaAllocator) SetUsage(team string, resource Resource, running, demand int64) bool {
	ok, underserved := a.groupOf(team).setUsage(team, resource, running, demand)
	if underserved {
		a.wake()
	}
	return ok
}

// SetDemand sets how much more of a resource the team would use if it could,
// and leaves its usage unchanged.
func (a *QuotaAllocator) SetDemand(team string, resource Resource, demand int64) {
	if a.groupOf(team).setDemand(team, resource, demand) {
		a.wake()
	}
}

// Recover sets the team's usage to that of the tasks that a former owner of the
// shard started, even if it exceeds the quota. Until Recover or SetUsage is called
// for a team, its quota doesn't shrink, since what runs is not known. 30 s after
// the first Recover for any team, the teams without such a call count as running
// nothing.
func (a *QuotaAllocator) Recover(team string, resource Resource, running int64) {
	a.groupOf(team).recover(team, resource, running)
	now := time.Now()
	for _, g := range a.groups {
		g.startRecovery(now)
	}
}

// SetLimit sets a team's upper limit. revision, at least 1, is that of the
// configuration with the limit; a call with an older revision than the newest
// one known has no effect.
func (a *QuotaAllocator) SetLimit(team string, resource Resource, limit int64, revision uint64) {
	a.groupOf(team).setLimit(team, resource, limit, revision)
	a.wake()
}

// Excess returns how much of a resource the team uses in this shard above the
// shard's part of a limit that was lowered. The owner of the shard must stop
// that much, newest deferred work first.
func (a *QuotaAllocator) Excess(team string, resource Resource) int64 {
	return a.groupOf(team).excess(team, resource)
}

// Run adjusts this shard's quotas to the demand in all shards until the context
// ends. It returns ErrDeposed once a newer owner has written quotas.
func (a *QuotaAllocator) Run(ctx context.Context) error {
	for {
		if err := a.balance(ctx); err != nil {
			return err
		}
		interval := a.interval - a.interval/8 + rand.N(a.interval/4)
		if a.sleep(ctx, interval, a.wakeup) {
			a.sleep(ctx, a.interval/wakeupDelayDivisor, nil)
		}
	}
}

// sleep waits for d, a wake-up or the end of the context, and reports whether a
// wake-up ended the wait.
func (a *QuotaAllocator) sleep(ctx context.Context, d time.Duration, wakeup <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wakeup:
		return true
	case <-timer.C:
		return false
	}
}

// balance checks all groups once, in random order.
func (a *QuotaAllocator) balance(ctx context.Context) error {
	for _, n := range rand.Perm(len(a.groups)) {
		if err := a.balanceGroup(ctx, a.groups[n]); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// balanceGroup writes a group's record if its quotas should change.
func (a *QuotaAllocator) balanceGroup(ctx context.Context, g *group) error {
	if err := a.ensureLoaded(ctx, g); err != nil {
		return a.logUnlessDeposed(g, err)
	}
	if !g.needsWrite(time.Now()) {
		return nil
	}
	if err := a.limiter.Wait(ctx); err != nil {
		return ctx.Err()
	}
	p, ok, err := g.propose(time.Now())
	if err != nil || !ok {
		return a.logUnlessDeposed(g, err)
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := a.store.Put(callCtx, g.key, p.value, p.expect, 0)
	if err == nil {
		g.commit(p, version)
		return nil
	}
	if errors.Is(err, keeper.ErrUnavailable) {
		g.discard(p)
	}
	return a.logUnlessDeposed(g, errors.Join(err, a.refresh(ctx, g)))
}

// logUnlessDeposed returns ErrDeposed and only logs other errors: only the
// writes of a newer owner stop the allocator.
func (a *QuotaAllocator) logUnlessDeposed(g *group, err error) error {
	if errors.Is(err, ErrDeposed) {
		return ErrDeposed
	}
	if err != nil {
		a.log.Debug("failed to update quotas", "group", g.key, "err", err)
	}
	return nil
}

// ensureLoaded reads the group's record unless it was read before. It returns
// ErrDeposed if a newer owner has written the record.
func (a *QuotaAllocator) ensureLoaded(ctx context.Context, g *group) error {
	loaded, err := g.loadState()
	if loaded || err != nil {
		return err
	}
	return a.refresh(ctx, g)
}

// refresh reads a record from the store, bypassing the mirror.
func (a *QuotaAllocator) refresh(ctx context.Context, g *group) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := a.store.Get(callCtx, g.key)
	if errors.Is(err, keeper.ErrNotFound) {
		g.setAbsent()
		return nil
	}
	if err != nil {
		return err
	}
	return g.merge(entry)
}

// mergeEntry merges a record that the mirror has received into the group with
// its key.
func (a *QuotaAllocator) mergeEntry(entry keeper.Entry) {
	for _, g := range a.groups {
		if g.key == entry.Key() {
			_ = a.logUnlessDeposed(g, g.merge(entry))
		}
	}
}

// groupOf returns the group that the team belongs to.
func (a *QuotaAllocator) groupOf(team string) *group {
	return a.groups[xxhash.Sum64String(team)%uint64(len(a.groups))]
}

// wake makes Run check the quotas soon.
func (a *QuotaAllocator) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}
