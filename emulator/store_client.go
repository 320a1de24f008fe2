package emulator

import (
	"context"
	"errors"
	"time"

	"filberthaven.example/keeper"
)

// Counts are numbers of calls to the service, a watch counted as one.
type Counts struct {
	reads   uint64
	writes  uint64
	watches uint64
}

// Reads returns the number of gets and lists.
func (c Counts) Reads() uint64 { return c.reads }

// Writes returns the number of puts, deletes and calls on leases.
func (c Counts) Writes() uint64 { return c.writes }

// Watches returns the number of watches.
func (c Counts) Watches() uint64 { return c.watches }

// Add returns the sum of both.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.reads + o.reads, c.writes + o.writes, c.watches + o.watches}
}

// Sub returns what was counted since o.
func (c Counts) Sub(o Counts) Counts {
	return Counts{c.reads - o.reads, c.writes - o.writes, c.watches - o.watches}
}

// Client is one client's view of a Store.
type Client struct {
	store  *Store
	faults faults // guarded by the store's lock
	counts Counts // guarded by the store's lock
}

// SetFaults replaces the faults of this client.
func (c *Client) SetFaults(list ...Fault) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.faults = collect(list)
	c.store.wake()
}

// Counts returns the calls of this client.
func (c *Client) Counts() Counts {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.counts
}

// KV returns the service as this client sees it.
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
		c.store.lapse(id)
		return nil
	})
}

func (c *Client) watch(ctx context.Context, prefix string, after uint64) ([]keeper.Entry, uint64, error) {
	c.count(func(counts *Counts) { counts.watches++ })
	if err := c.enter(ctx, keeper.ErrUnavailable); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(c.store.wait)
	defer timer.Stop()
	for {
		entries, next, changed, err := c.look(prefix, after)
		if err != nil || len(entries) > 0 {
			return entries, next, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, 0, keeper.ErrUnavailable
		}
	}
}

// look returns the changes above a version, and what to wait for without any.
func (c *Client) look(prefix string, after uint64) ([]keeper.Entry, uint64, <-chan struct{}, error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	f := c.faults.merge(c.store.faults)
	if f.down || f.cut || c.draws(f.lostReads) {
		return nil, 0, nil, keeper.ErrUnavailable
	}
	if c.draws(f.stale) {
		// A replica that lags behind sees no change yet.
		return nil, after, c.store.changed, nil
	}
	return c.store.after(prefix, after), max(after, c.store.revision), c.store.changed, nil
}

// read carries out a read under the client's faults.
func (c *Client) read(ctx context.Context, call func(stale bool) error) error {
	c.count(func(counts *Counts) { counts.reads++ })
	if err := c.enter(ctx, keeper.ErrUnavailable); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	f := c.faults.merge(c.store.faults)
	if c.draws(f.lostReads) {
		return keeper.ErrUnavailable
	}
	return call(c.draws(f.stale))
}

// write carries out a write under the client's faults.
func (c *Client) write(ctx context.Context, call func() error) error {
	c.count(func(counts *Counts) { counts.writes++ })
	started := time.Now()
	if err := c.enter(ctx, keeper.ErrOutcomeUnknown); err != nil {
		if slow := c.current(); errors.Is(err, keeper.ErrOutcomeUnknown) && !slow.cut {
			c.later(slow.delay-time.Since(started), call)
		}
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	f := c.faults.merge(c.store.faults)
	if c.draws(f.late) {
		c.later(f.lateness, call)
		return keeper.ErrOutcomeUnknown
	}
	err := call()
	if c.draws(f.lost) {
		return keeper.ErrOutcomeUnknown
	}
	return err
}

// later carries out a write whose client has given up.
func (c *Client) later(lateness time.Duration, call func() error) {
	time.AfterFunc(lateness, func() {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		_ = call()
	})
}

// enter delays, refuses or loses a call on its way; lost is what the client is
// left with when it is lost.
func (c *Client) enter(ctx context.Context, lost error) error {
	if ctx.Err() != nil {
		return keeper.ErrUnavailable
	}
	f := c.current()
	if f.down {
		return keeper.ErrUnavailable
	}
	if f.cut {
		wait(ctx, PartitionTimeout)
		return lost
	}
	if f.delay > 0 && !wait(ctx, f.delay) {
		return lost
	}
	return nil
}

// current returns the faults in force.
func (c *Client) current() faults {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.faults.merge(c.store.faults)
}

// count changes the counts.
func (c *Client) count(change func(*Counts)) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	change(&c.counts)
}

// draws decides whether something with that probability happens. The caller
// holds the store's lock.
func (c *Client) draws(part float64) bool { return part > 0 && c.store.random.Float64() < part }

// wait sleeps and reports whether the context outlived it.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
