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
	// DefaultPollInterval is the delay between two watches. The changes made during it
	// come in one response.
	DefaultPollInterval = 100 * time.Millisecond
	// DefaultDisconnectTimeout is the time after the last response at which a mirror
	// counts as disconnected.
	DefaultDisconnectTimeout = 2 * time.Second
	// DefaultMaxBackoff is the longest back-off after an error.
	DefaultMaxBackoff = time.Second
	// minBackoff is the first back-off after an error.
	minBackoff = 50 * time.Millisecond
	// pollIntervalPerWatcher and backoffPerWatcher, multiplied by the number of mirrors
	// of a prefix, are the least poll interval and the least limit on the back-off. They
	// bound the calls of all these mirrors together: a change wakes all of them, and 300
	// that call at once use up the store's rate limit for a second. 300 mirrors make at
	// most about 1,000 calls per second, a tenth of that after errors.
	pollIntervalPerWatcher = time.Millisecond
	backoffPerWatcher      = 10 * time.Millisecond
)

// Mirror is a copy of all keys under a prefix, kept up to date with one watch at a time.
type Mirror struct {
	store             Store
	prefix            string
	pollInterval      time.Duration
	disconnectTimeout time.Duration
	maxBackoff        time.Duration
	watcherCount      func() int // number of mirrors of the prefix, as far as known
	now               func() time.Duration
	log               hclog.Logger

	notifyMu sync.Mutex // held while subscribers are notified; locked before mu

	mu             sync.RWMutex
	entries        map[string]Entry // by key; includes deletions; a key's version only rises
	subscribers    []subscriber     // changed with notifyMu locked as well
	next           uint64           // version to watch from; only rises
	connectedSince time.Time        // zero before the first response and after an error
	lastResponse   time.Time        // when the last response came
	respondedAt    time.Duration    // as lastResponse, by now; valid unless lastResponse is zero
}

// subscriber is notified of changes under a prefix.
type subscriber struct {
	prefix string
	notify func(Entry)
}

// MirrorOption configures a Mirror.
type MirrorOption func(*Mirror)

// WithPollInterval sets the delay between two watches.
func WithPollInterval(interval time.Duration) MirrorOption {
	return func(m *Mirror) { m.pollInterval = interval }
}

// WithDisconnectTimeout sets the time after the last response at which the mirror
// counts as disconnected.
func WithDisconnectTimeout(timeout time.Duration) MirrorOption {
	return func(m *Mirror) { m.disconnectTimeout = timeout }
}

// WithMaxBackoff sets the longest back-off after an error. It bounds how late the mirror
// finds out that the store is available again.
func WithMaxBackoff(limit time.Duration) MirrorOption {
	return func(m *Mirror) { m.maxBackoff = limit }
}

// WithWatcherCount sets the function that returns the number of mirrors of the prefix.
// The poll interval and the longest back-off grow with that number.
func WithWatcherCount(count func() int) MirrorOption {
	return func(m *Mirror) { m.watcherCount = count }
}

// WithClock sets the clock of Fresh. It should include the time for which the VM was
// suspended. The default is a monotonic clock that need not.
func WithClock(now func() time.Duration) MirrorOption { return func(m *Mirror) { m.now = now } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) MirrorOption {
	return func(m *Mirror) { m.log = log.Named("mirror") }
}

// NewMirror returns an empty mirror of the keys under prefix. Run fills it.
func NewMirror(store Store, prefix string, options ...MirrorOption) *Mirror {
	started := time.Now()
	m := &Mirror{
		store:             store,
		prefix:            prefix,
		pollInterval:      DefaultPollInterval,
		disconnectTimeout: DefaultDisconnectTimeout,
		maxBackoff:        DefaultMaxBackoff,
		watcherCount:      func() int { return 1 },
		now:               func() time.Duration { return time.Since(started) },
		log:               hclog.NewNullLogger(),
		entries:           map[string]Entry{},
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Run keeps the mirror up to date until the context ends, and returns the context's error.
func (m *Mirror) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minBackoff
	for ctx.Err() == nil {
		watchers := time.Duration(m.watcherCount())
		retry.MaxInterval = max(m.maxBackoff, watchers*backoffPerWatcher)
		delay := max(m.pollInterval, watchers*pollIntervalPerWatcher)
		delay -= rand.N(delay/10 + 1)
		entries, next, err := m.store.Watch(ctx, m.prefix, m.nextVersion())
		if errors.Is(err, ErrCompacted) {
			entries, next, err = m.relist(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			m.recordFailure(err)
			delay = jitter(retry.NextBackOff())
		default:
			retry.Reset()
			m.recordResponse(next)
			m.apply(entries)
		}
		Sleep(ctx, delay)
	}
	return ctx.Err()
}

// relist lists all keys after the store has dropped the history. For each key of the
// mirror that is not in the list it adds a deletion at the version of the list, unless the
// mirror's entry is newer than that.
func (m *Mirror) relist(ctx context.Context) ([]Entry, uint64, error) {
	entries, next, err := m.store.Watch(ctx, m.prefix, 0)
	if err != nil {
		return nil, 0, err
	}
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[entry.key] = true
	}
	for _, mirrored := range m.List(m.prefix) {
		if !present[mirrored.key] && mirrored.version <= next {
			entries = append(entries, NewEntry(mirrored.key, nil, next, true))
		}
	}
	m.log.Info("watch history compacted; all keys listed again", "version", next, "entries", len(entries))
	return entries, next, nil
}

// Get returns the entry of a key, and whether the key exists.
func (m *Mirror) Get(key string) (Entry, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	entry, ok := m.entries[key]
	return entry, ok && !entry.deleted
}

// List returns the entries that exist under prefix, sorted by key.
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

// Subscribe calls notify with each entry that exists under prefix, then with each
// change and deletion, in rising versions for each key. notify must not block and must
// not call Subscribe or Merge.
func (m *Mirror) Subscribe(prefix string, notify func(Entry)) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.mu.Lock()
	m.subscribers = append(m.subscribers, subscriber{prefix, notify})
	m.mu.Unlock()
	for _, entry := range m.List(prefix) {
		notify(entry)
	}
}

// Merge adds an entry from another source, such as a write of this VM. An entry that
// is not newer than the mirror's has no effect.
func (m *Mirror) Merge(entry Entry) { m.apply([]Entry{entry}) }

// ConnectedFor returns how long the mirror has been connected to the store, by the
// monotonic clock. It returns 0 while disconnected.
func (m *Mirror) ConnectedFor() time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.connectedSince.IsZero() || time.Since(m.lastResponse) > m.disconnectTimeout {
		return 0
	}
	return time.Since(m.connectedSince)
}

// Fresh reports whether the store has answered within the last limit, so that the mirror
// holds all that was written before then. A failed watch since does not matter.
func (m *Mirror) Fresh(limit time.Duration) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return !m.lastResponse.IsZero() && m.now()-m.respondedAt <= limit
}

// nextVersion returns the version from which the next watch continues.
func (m *Mirror) nextVersion() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.next
}

// recordFailure marks the mirror as disconnected after a watch has failed.
func (m *Mirror) recordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.connectedSince.IsZero() {
		m.log.Warn("disconnected from the key-value service", "err", err)
	}
	m.connectedSince = time.Time{}
}

// recordResponse marks the mirror as connected after a response. If the previous response
// is older than disconnectTimeout, as after a pause of the process, the connection counts
// as new.
func (m *Mirror) recordResponse(next uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.connectedSince.IsZero() || now.Sub(m.lastResponse) > m.disconnectTimeout {
		m.log.Info("connected to the key-value service", "version", next)
		m.connectedSince = now
	}
	m.lastResponse, m.respondedAt = now, m.now()
	m.next = max(m.next, next)
}

// apply adds the entries that are newer than the mirror's, and notifies the subscribers of
// each of them.
func (m *Mirror) apply(entries []Entry) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	for _, entry := range entries {
		if !m.update(entry) {
			continue
		}
		for _, s := range m.subscribers {
			if strings.HasPrefix(entry.key, s.prefix) {
				s.notify(entry)
			}
		}
	}
}

// update stores the entry if it is newer than the mirror's, and reports whether it is.
func (m *Mirror) update(entry Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if entry.version <= m.entries[entry.key].version {
		return false
	}
	m.entries[entry.key] = entry
	return true
}

// jitter returns a random duration from d/2 to d, so that VMs don't all retry at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// Sleep waits for d or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
