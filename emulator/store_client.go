package emulator

import (
	"context"
	"errors"
	"time"

	"filberthaven.example/keeper"
)

// Counts are numbers of calls to the store. A watch counts once, however long it waits.
type Counts struct {
	reads   uint64
	writes  uint64
	watches uint64
}

// Reads returns the number of gets and lists.
func (c Counts) Reads() uint64 { return c.reads }

// Writes returns the number of puts, deletes and lease calls.
func (c Counts) Writes() uint64 { return c.writes }

// Watches returns the number of watches.
func (c Counts) Watches() uint64 { return c.watches }

// Add returns the sum of both counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{c.reads + other.reads, c.writes + other.writes, c.watches + other.watches}
}

// Sub returns the calls since other, which are earlier counts of the same client or store.
func (c Counts) Sub(other Counts) Counts {
	return Counts{c.reads - other.reads, c.writes - other.writes, c.watches - other.watches}
}

// Client is one client of a Store, with its own faults and counts.
type Client struct {
	store  *Store
	faults faults // guarded by the store's lock
	counts Counts // guarded by the store's lock
}

// SetFaults replaces the faults of this client.
func (c *Client) SetFaults(list ...Fault) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.faults = newFaults(list)
	c.store.wake()
}

// Counts returns the number of calls of this client.
func (c *Client) Counts() Counts {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.counts
}

// KV returns the store as this client sees it.
func (c *Client) KV() keeper.Store {
	return keeper.Store{
		Get:    c.get,
		List:   c.list,
		Put:    c.put,
		Delete: c.remove,
		Watch:  c.watch,
		Grant:  c.grant,
		Renew:  c.renew,
		Revoke: c.revoke,
	}
}

func (c *Client) get(ctx context.Context, key string) (keeper.Entry, error) {
	var entry keeper.Entry
	err := c.read(ctx, func(stale bool) error {
		found, ok := c.store.get(key, stale)
		if !ok {
			return keeper.ErrNotFound
		}
		entry = found
		return nil
	})
	return entry, err
}

func (c *Client) list(ctx context.Context, prefix string) ([]keeper.Entry, error) {
	var entries []keeper.Entry
	err := c.read(ctx, func(stale bool) error {
		entries = c.store.list(prefix, stale)
		return nil
	})
	return entries, err
}

func (c *Client) put(ctx context.Context, key string, value []byte, expect uint64, id keeper.LeaseID) (uint64, error) {
	var version uint64
	err := c.write(ctx, func() error {
		var err error
		version, err = c.store.put(key, value, expect, id)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

func (c *Client) remove(ctx context.Context, key string, expect uint64) error {
	return c.write(ctx, func() error { return c.store.remove(key, expect) })
}

func (c *Client) grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	var id keeper.LeaseID
	err := c.write(ctx, func() error {
		id = c.store.grant(ttl)
		return nil
	})
	return id, err
}

func (c *Client) renew(ctx context.Context, id keeper.LeaseID) error {
	return c.write(ctx, func() error { return c.store.renew(id) })
}

func (c *Client) revoke(ctx context.Context, id keeper.LeaseID) error {
	return c.write(ctx, func() error {
		c.store.expire(id)
		return nil
	})
}

func (c *Client) watch(ctx context.Context, prefix string, after uint64) ([]keeper.Entry, uint64, error) {
	c.updateCounts(func(counts *Counts) { counts.watches++ })
	if err := c.transmit(ctx, keeper.ErrUnavailable); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(c.store.watchTimeout)
	defer timer.Stop()
	for {
		entries, next, wakeup, err := c.poll(prefix, after)
		if err != nil || len(entries) > 0 {
			return entries, next, err
		}
		select {
		case <-wakeup:
		case <-timer.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, 0, keeper.ErrUnavailable
		}
	}
}

// poll returns the changes after a version, the version to continue from, and a channel
// that is closed when a key or a fault changes.
func (c *Client) poll(prefix string, after uint64) ([]keeper.Entry, uint64, <-chan struct{}, error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	f := c.faults.merge(c.store.faults)
	if f.down || f.partitioned || c.occurs(f.failedReads) {
		return nil, 0, nil, keeper.ErrUnavailable
	}
	if c.occurs(f.staleReads) {
		// A replica that lags behind has no changes yet.
		return nil, after, c.store.wakeup, nil
	}
	return c.store.changesAfter(prefix, after), max(after, c.store.revision), c.store.wakeup, nil
}

// read carries out a read subject to the faults.
func (c *Client) read(ctx context.Context, call func(stale bool) error) error {
	c.updateCounts(func(counts *Counts) { counts.reads++ })
	if err := c.transmit(ctx, keeper.ErrUnavailable); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	f := c.faults.merge(c.store.faults)
	if c.occurs(f.failedReads) {
		return keeper.ErrUnavailable
	}
	return call(c.occurs(f.staleReads))
}

// write carries out a write subject to the faults.
func (c *Client) write(ctx context.Context, call func() error) error {
	c.updateCounts(func(counts *Counts) { counts.writes++ })
	start := time.Now()
	if err := c.transmit(ctx, keeper.ErrOutcomeUnknown); err != nil {
		// The caller gave up during the delay. The write still takes effect.
		if f := c.currentFaults(); errors.Is(err, keeper.ErrOutcomeUnknown) && !f.partitioned {
			c.applyLater(f.delay-time.Since(start), call)
		}
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	f := c.faults.merge(c.store.faults)
	if c.occurs(f.lateWrites) {
		c.applyLater(f.lateness, call)
		return keeper.ErrOutcomeUnknown
	}
	err := call()
	if c.occurs(f.lostResponses) {
		return keeper.ErrOutcomeUnknown
	}
	return err
}

// applyLater carries out a write after delay. Its caller gets no result.
func (c *Client) applyLater(delay time.Duration, call func() error) {
	time.AfterFunc(delay, func() {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		_ = call()
	})
}

// transmit delays, refuses or loses a call on its way to the store. It returns nil if the
// call arrives, keeper.ErrUnavailable if it is refused or ctx has already ended, and
// errLost if it is lost or ctx ends during the delay.
func (c *Client) transmit(ctx context.Context, errLost error) error {
	if ctx.Err() != nil {
		return keeper.ErrUnavailable
	}
	f := c.currentFaults()
	if f.down {
		return keeper.ErrUnavailable
	}
	if f.partitioned {
		sleep(ctx, PartitionTimeout)
		return errLost
	}
	if f.delay > 0 && !sleep(ctx, f.delay) {
		return errLost
	}
	return nil
}

// currentFaults returns the faults of this client and of all clients, merged.
func (c *Client) currentFaults() faults {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.faults.merge(c.store.faults)
}

// updateCounts applies change to the counts of this client.
func (c *Client) updateCounts(change func(*Counts)) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	change(&c.counts)
}

// occurs decides at random, with the given probability, whether a fault affects a call.
// The caller must hold the store's lock.
func (c *Client) occurs(probability float64) bool {
	return probability > 0 && c.store.random.Float64() < probability
}

// sleep waits for d and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
