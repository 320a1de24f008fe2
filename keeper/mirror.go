package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
)

const (
	// DefaultPollInterval is how long changes are gathered between two polls.
	DefaultPollInterval = 100 * time.Millisecond
	// DefaultDisconnectTimeout is the longest time between two answers of unbroken contact.
	DefaultDisconnectTimeout = 2 * time.Second
	// DefaultMaxBackoff is the longest pause after an error.
	DefaultMaxBackoff = time.Second
	// retryPause is the first pause after an error.
	retryPause = 50 * time.Millisecond
	// crowdPause and crowdRetry are added up for each mirror of a crowd: a change
	// wakes all of them, and 300 that ask at once use up the service's calls for a
	// second. 300 ask a thousand times a second at most, a tenth of that after errors.
	crowdPause = time.Millisecond
	crowdRetry = 10 * time.Millisecond
)

// Mirror keeps a copy of all keys under a prefix by one watch.
type Mirror struct {
	store  Store
	prefix string
	pause  time.Duration
	gap    time.Duration
	retry  time.Duration
	crowd  func() int // how many mirrors of the prefix there are, as far as known
	log    hclog.Logger

	telling sync.Mutex // held while subscribers are told, taken before mu

	mu          sync.RWMutex
	entries     map[string]Entry // tombstones included; a key's version only rises
	subscribers []subscriber     // changed under telling as well
	next        uint64           // version to watch from; only rises
	since       time.Time        // when contact began; zero while broken
	last        time.Time        // when the newest answer came
}

// subscriber is told of changes under a prefix.
type subscriber struct {
	prefix string
	tell   func(Entry)
}

// MirrorOption changes a Mirror under construction.
type MirrorOption func(*Mirror)

// WithPollInterval sets how long changes are gathered between two polls.
func WithPollInterval(pause time.Duration) MirrorOption { return func(m *Mirror) { m.pause = pause } }

// WithDisconnectTimeout sets the longest time between two answers of unbroken contact.
func WithDisconnectTimeout(gap time.Duration) MirrorOption { return func(m *Mirror) { m.gap = gap } }

// WithMaxBackoff sets the longest pause after an error: how late the copy may notice that
// the service is back.
func WithMaxBackoff(retry time.Duration) MirrorOption { return func(m *Mirror) { m.retry = retry } }

// WithWatcherCount sets what returns how many mirrors of the same prefix there are. They
// gather changes, and wait after errors, for the longer the more they are.
func WithWatcherCount(crowd func() int) MirrorOption { return func(m *Mirror) { m.crowd = crowd } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) MirrorOption {
	return func(m *Mirror) { m.log = log.Named("mirror") }
}

// NewMirror returns an empty copy of the keys under prefix. Run fills it.
func NewMirror(store Store, prefix string, options ...MirrorOption) *Mirror {
	m := &Mirror{
		store:   store,
		prefix:  prefix,
		pause:   DefaultPollInterval,
		gap:     DefaultDisconnectTimeout,
		retry:   DefaultMaxBackoff,
		crowd:   func() int { return 1 },
		log:     hclog.NewNullLogger(),
		entries: map[string]Entry{},
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Run keeps the copy until the context ends, and returns its error.
func (m *Mirror) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryPause
	for ctx.Err() == nil {
		crowd := time.Duration(m.crowd())
		retry.MaxInterval = max(m.retry, crowd*crowdRetry)
		pause := max(m.pause, crowd*crowdPause)
		pause -= rand.N(pause/10 + 1)
		entries, next, err := m.store.Watch(ctx, m.prefix, m.position())
		if errors.Is(err, ErrCompacted) {
			entries, next, err = m.relist(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			m.lost(err)
			pause = jitter(retry.NextBackOff())
		default:
			retry.Reset()
			m.heard(next)
			m.apply(entries)
		}
		Sleep(ctx, pause)
	}
	return ctx.Err()
}

// relist reads all that exists, after the history was lost. Keys that are gone
// come as deleted at the version of the reading.
func (m *Mirror) relist(ctx context.Context) ([]Entry, uint64, error) {
	entries, next, err := m.store.Watch(ctx, m.prefix, 0)
	if err != nil {
		return nil, 0, err
	}
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[entry.key] = true
	}
	for _, held := range m.List(m.prefix) {
		if !present[held.key] && held.version <= next {
			entries = append(entries, NewEntry(held.key, nil, next, true))
		}
	}
	m.log.Info("history was compacted; listed anew", "version", next, "entries", len(entries))
	return entries, next, nil
}

// Get returns the entry of a key that exists.
func (m *Mirror) Get(key string) (Entry, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	entry, ok := m.entries[key]
	return entry, ok && !entry.deleted
}

// List returns the entries that exist under prefix, by key.
func (m *Mirror) List(prefix string) []Entry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var entries []Entry
	for key, entry := range m.entries {
		if strings.HasPrefix(key, prefix) && !entry.deleted {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.key, b.key) })
	return entries
}

// Subscribe calls tell with each entry held under prefix, then with each change
// and deletion, in order of version. A call must neither block nor subscribe.
func (m *Mirror) Subscribe(prefix string, tell func(Entry)) {
	m.telling.Lock()
	defer m.telling.Unlock()
	m.mu.Lock()
	m.subscribers = append(m.subscribers, subscriber{prefix, tell})
	m.mu.Unlock()
	for _, entry := range m.List(prefix) {
		tell(entry)
	}
}

// Merge takes over an entry known from elsewhere, such as this VM's own write.
// An entry that is not newer than the copy changes nothing.
func (m *Mirror) Merge(entry Entry) { m.apply([]Entry{entry}) }

// ConnectedFor returns how long contact with the service has been unbroken, by the
// monotonic clock; 0 while it is broken.
func (m *Mirror) ConnectedFor() time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.since.IsZero() || time.Since(m.last) > m.gap {
		return 0
	}
	return time.Since(m.since)
}

// position returns the version to watch from.
func (m *Mirror) position() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.next
}

// lost notes that contact is broken.
func (m *Mirror) lost(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.since.IsZero() {
		m.log.Warn("contact lost", "err", err)
	}
	m.since = time.Time{}
}

// heard notes an answer. After too long a gap, as that of a paused process,
// contact begins anew.
func (m *Mirror) heard(next uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.since.IsZero() || now.Sub(m.last) > m.gap {
		m.log.Info("contact begins", "version", next)
		m.since = now
	}
	m.last = now
	m.next = max(m.next, next)
}

// apply takes over the newer of the entries and tells subscribers.
func (m *Mirror) apply(entries []Entry) {
	m.telling.Lock()
	defer m.telling.Unlock()
	for _, entry := range entries {
		if !m.hold(entry) {
			continue
		}
		for _, s := range m.subscribers {
			if strings.HasPrefix(entry.key, s.prefix) {
				s.tell(entry)
			}
		}
	}
}

// hold keeps the entry if it is newer than the one held, and reports that.
func (m *Mirror) hold(entry Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if entry.version <= m.entries[entry.key].version {
		return false
	}
	m.entries[entry.key] = entry
	return true
}

// jitter returns a time from half of d to d, so that VMs don't retry in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// Sleep waits for d or the end of the context.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
