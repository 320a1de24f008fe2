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
	// limitPrefix is the prefix of the records of limits.
	limitPrefix = "live/limit/"
	// DefaultGroups is the number of records that teams are spread over.
	DefaultGroups = 16
	// DefaultInterval is the time between two looks at the allotments.
	DefaultInterval = time.Second
	// DefaultWriteRate is how many writes a second one shard makes over a longer time.
	DefaultWriteRate rate.Limit = 2
	// writeBurst is how many writes may go out at once.
	writeBurst = 16
	// kickPart is the part of an interval after which a lack is looked at, so that
	// several are seen together.
	kickPart = 20
	// allotTimeout bounds one call to the service.
	allotTimeout = time.Second
)

// ErrDeposed means that a newer owner of the shard has written allotments.
var ErrDeposed = errors.New("shard has another owner")

// QuotaAllocator cuts the teams' upper limits into allotments, one for each shard, on
// behalf of one shard's owner.
type QuotaAllocator struct {
	store    keeper.Store
	mirror   *keeper.Mirror
	shard    string
	term     uint64
	groups   int // at least 1, the same for the whole fleet
	interval time.Duration
	limiter  *rate.Limiter
	log      hclog.Logger
	kick     chan struct{} // of capacity 1; a team lacks something
	books    []*book       // one for each group, each with a lock of its own
}

// QuotaAllocatorOption changes an Allotter under construction.
type QuotaAllocatorOption func(*QuotaAllocator)

// WithTerm sets the term of the ownership. A newer term ends the older one's
// writes.
func WithTerm(term uint64) QuotaAllocatorOption { return func(a *QuotaAllocator) { a.term = term } }

// WithGroups sets the number of records that teams are spread over. It must be
// the same for the whole fleet, for good.
func WithGroups(groups int) QuotaAllocatorOption {
	return func(a *QuotaAllocator) { a.groups = groups }
}

// WithInterval sets the time between two looks at the allotments.
func WithInterval(interval time.Duration) QuotaAllocatorOption {
	return func(a *QuotaAllocator) { a.interval = interval }
}

// WithQuotaLogger sets the logger.
func WithQuotaLogger(log hclog.Logger) QuotaAllocatorOption {
	return func(a *QuotaAllocator) { a.log = log.Named("allotter") }
}

// NewQuotaAllocator returns an allotter for the shard. The mirror has to cover live/
// and be run by the caller.
func NewQuotaAllocator(store keeper.Store, mirror *keeper.Mirror, shard string, options ...QuotaAllocatorOption) (*QuotaAllocator, error) {
	a := &QuotaAllocator{
		store:    store,
		mirror:   mirror,
		shard:    shard,
		term:     1,
		groups:   DefaultGroups,
		interval: DefaultInterval,
		limiter:  rate.NewLimiter(DefaultWriteRate, writeBurst),
		log:      hclog.NewNullLogger(),
		kick:     make(chan struct{}, 1),
	}
	for _, option := range options {
		option(a)
	}
	if shard == "" || a.term == 0 || a.groups < 1 {
		return nil, oops.In("allotter").With("shard", shard).Errorf("allotter lacks a shard, a term or groups")
	}
	for n := range a.groups {
		a.books = append(a.books, newBook(groupKey(n), shard, a.term))
	}
	mirror.Subscribe(limitPrefix, a.learn)
	return a, nil
}

// groupKey returns the key of a group's record.
func groupKey(n int) string { return fmt.Sprintf("%s%03d", limitPrefix, n) }

// Quota returns how much of a kind the team may use in this shard. It is the
// smaller of the old and the new amount while a write's outcome is unknown.
func (a *QuotaAllocator) Quota(team string, kind Resource) int64 {
	return a.book(team).allotment(team, kind)
}

// StartLimit returns up to which amount of a kind the team's tasks may start in this
// shard: the allotment, or less while a part of it is to go to another shard.
func (a *QuotaAllocator) StartLimit(team string, kind Resource) int64 {
	b := a.book(team)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startable(team, kind)
}

// Reserve counts an amount as running if it fits into the allotment, and reports
// whether it does. It is called before a start.
func (a *QuotaAllocator) Reserve(team string, kind Resource, amount int64) bool {
	ok := a.book(team).reserve(team, kind, amount)
	if !ok {
		a.wake()
	}
	return ok
}

// Release takes back an amount reserved, after the end of what was started.
func (a *QuotaAllocator) Release(team string, kind Resource, amount int64) {
	a.book(team).release(team, kind, amount)
}

// SetUsage tells how much of a kind the team uses, with what is about to start,
// and how much more it would use if it could. If more would run than before and
// than the allotment, the old amount stays and it reports false: then nothing
// may start.
func (a *QuotaAllocator) SetUsage(team string, kind Resource, running, wanted int64) bool {
	ok, lacking := a.book(team).setUsage(team, kind, running, wanted)
	if lacking {
		a.wake()
	}
	return ok
}

// SetDemand tells how much more of a kind the team would use if it could, and
// leaves what runs as it is.
func (a *QuotaAllocator) SetDemand(team string, kind Resource, wanted int64) {
	if a.book(team).setWanted(team, kind, wanted) {
		a.wake()
	}
}

// Recover counts an amount as running that a former owner of the shard started,
// whatever the allotment. Until Recover or SetUsage was called for a team, its
// part doesn't shrink, since nothing is known of what runs; 30 s after the first
// Recover teams not told of count as running nothing.
func (a *QuotaAllocator) Recover(team string, kind Resource, running int64) {
	a.book(team).recover(team, kind, running)
	now := time.Now()
	for _, b := range a.books {
		b.begin(now)
	}
}

// SetLimit tells a team's upper limit in the configuration with that revision,
// from 1. An older revision than one known changes nothing.
func (a *QuotaAllocator) SetLimit(team string, kind Resource, limit int64, revision uint64) {
	a.book(team).setLimit(team, kind, limit, revision)
	a.wake()
}

// Excess returns how much of a kind runs in this shard above its part of a limit
// that was lowered. The owner stops that much, newest deferred work first.
func (a *QuotaAllocator) Excess(team string, kind Resource) int64 {
	return a.book(team).excess(team, kind)
}

// Run moves allotments by demand until the context ends, or returns ErrDeposed.
func (a *QuotaAllocator) Run(ctx context.Context) error {
	for {
		if err := a.balance(ctx); err != nil {
			return err
		}
		interval := a.interval - a.interval/8 + rand.N(a.interval/4)
		if a.sleep(ctx, interval, a.kick) {
			a.sleep(ctx, a.interval/kickPart, nil)
		}
	}
}

// sleep waits for d or the end of the context, and reports whether it was cut
// short by a kick.
func (a *QuotaAllocator) sleep(ctx context.Context, d time.Duration, kick <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-kick:
		return true
	case <-timer.C:
		return false
	}
}

// balance looks at all allotments once, as Run does at each interval.
func (a *QuotaAllocator) balance(ctx context.Context) error {
	for _, n := range rand.Perm(len(a.books)) {
		if err := a.balanceBook(ctx, a.books[n]); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// balanceBook writes one group's record if something is to be moved.
func (a *QuotaAllocator) balanceBook(ctx context.Context, b *book) error {
	if err := a.load(ctx, b); err != nil {
		return a.note(b, err)
	}
	if !b.wants(time.Now()) {
		return nil
	}
	if err := a.limiter.Wait(ctx); err != nil {
		return ctx.Err()
	}
	move, ok, err := b.propose(time.Now())
	if err != nil || !ok {
		return a.note(b, err)
	}
	short, cancel := context.WithTimeout(ctx, allotTimeout)
	defer cancel()
	version, err := a.store.Put(short, b.key, move.value, move.expect, 0)
	if err == nil {
		b.settle(move, version)
		return nil
	}
	if errors.Is(err, keeper.ErrUnavailable) {
		b.forget(move)
	}
	return a.note(b, errors.Join(err, a.refresh(ctx, b)))
}

// note logs a failure. Only a newer owner's writes end the allotter.
func (a *QuotaAllocator) note(b *book, err error) error {
	if errors.Is(err, ErrDeposed) {
		return ErrDeposed
	}
	if err != nil {
		a.log.Debug("allotments not moved", "group", b.key, "err", err)
	}
	return nil
}

// load reads a record that was never read, and returns ErrDeposed if a newer
// owner has written the one known.
func (a *QuotaAllocator) load(ctx context.Context, b *book) error {
	loaded, err := b.state()
	if loaded || err != nil {
		return err
	}
	return a.refresh(ctx, b)
}

// refresh reads a record past the mirror.
func (a *QuotaAllocator) refresh(ctx context.Context, b *book) error {
	short, cancel := context.WithTimeout(ctx, allotTimeout)
	defer cancel()
	entry, err := a.store.Get(short, b.key)
	if errors.Is(err, keeper.ErrNotFound) {
		b.absent()
		return nil
	}
	if err != nil {
		return err
	}
	return b.adopt(entry)
}

// learn takes over what the mirror shows.
func (a *QuotaAllocator) learn(entry keeper.Entry) {
	for _, b := range a.books {
		if b.key == entry.Key() {
			_ = a.note(b, b.adopt(entry))
		}
	}
}

// book returns the book of the team's group.
func (a *QuotaAllocator) book(team string) *book {
	return a.books[xxhash.Sum64String(team)%uint64(len(a.books))]
}

// wake lets Run look at once.
func (a *QuotaAllocator) wake() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}
