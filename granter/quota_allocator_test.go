package granter_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/granter"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// team is the team of all tests.
const team = "essiccatoi"

// shardAllocator is one shard's quota allocator with the amount that runs in
// the shard.
type shardAllocator struct {
	*granter.QuotaAllocator
	client  *emulator.Client
	cancel  context.CancelFunc
	done    chan error
	running int64
}

// startAllocator starts the quota allocator of a shard, which has no quota before it runs.
func startAllocator(c *qt.C, store *emulator.Store, shard string, term uint64) *shardAllocator {
	c.Helper()
	a := &shardAllocator{client: store.Client(fmt.Sprint(shard, term)), done: make(chan error, 1)}
	kv := a.client.KV()
	mirror := keeper.NewMirror(kv, "live/")
	allocator, err := granter.NewQuotaAllocator(kv, mirror, shard, granter.WithTerm(term), granter.WithGroups(2))
	c.Assert(err, qt.IsNil)
	c.Assert(allocator.Quota(team, granter.CPU), qt.Equals, int64(0))
	a.QuotaAllocator = allocator
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	c.Cleanup(cancel)
	go func() { _ = mirror.Run(ctx) }()
	go func() { a.done <- allocator.Run(ctx) }()
	return a
}

// start reserves the amount step by step, until a step is refused.
func (a *shardAllocator) start(amount, step int64) {
	for ; amount > 0 && a.Reserve(team, granter.CPU, step); amount -= step {
		a.running += step
	}
}

// stop releases an amount, or all that runs if that is less.
func (a *shardAllocator) stop(amount int64) {
	amount = min(amount, a.running)
	a.running -= amount
	a.Release(team, granter.CPU, amount)
}

// assertWithin asserts that neither the sum of usage nor that of quotas exceeds
// the limit, and that no shard uses more than its quota.
func assertWithin(c *qt.C, limit int64, allocators ...*shardAllocator) {
	c.Helper()
	running, quotas := int64(0), int64(0)
	for _, a := range allocators {
		running += a.running
		quotas += a.Quota(team, granter.CPU)
		c.Assert(a.running <= a.Quota(team, granter.CPU), qt.IsTrue)
	}
	c.Assert(running <= limit, qt.IsTrue, qt.Commentf("%d running of %d", running, limit))
	c.Assert(quotas <= limit, qt.IsTrue, qt.Commentf("%d allocated of %d", quotas, limit))
}

// advance lets time pass and calls assertWithin every 37 ms.
func advance(c *qt.C, d time.Duration, limit int64, allocators ...*shardAllocator) {
	c.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(37 * time.Millisecond)
		assertWithin(c, limit, allocators...)
	}
}

// runInBubble runs a subtest in a synctest bubble of its own.
func runInBubble(t *testing.T, name string, check func(*qt.C, *emulator.Store)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { check(qt.New(t), emulator.NewStore()) })
	})
}

// startPair starts two shards under one limit.
func startPair(c *qt.C, store *emulator.Store, limit int64) (a, b *shardAllocator) {
	c.Helper()
	a, b = startAllocator(c, store, "pianura-a.0", 1), startAllocator(c, store, "pianura-b.0", 1)
	for _, allocator := range []*shardAllocator{a, b} {
		allocator.SetLimit(team, granter.CPU, limit, 1)
	}
	return a, b
}

func TestQuotaAllocator(t *testing.T) {
	runInBubble(t, "the only shard with demand gets what it wants", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 8000)
		advance(c, 2*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.CPU) >= 8000, qt.IsTrue)
		a.start(8000, 1000)
		c.Assert(a.running, qt.Equals, int64(8000))
	})
	runInBubble(t, "quotas follow demand, but not below what runs", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		advance(c, 2*time.Second, 10000, a, b)
		a.start(10000, 1000)
		b.SetUsage(team, granter.CPU, 0, 10000)
		advance(c, 3*time.Second, 10000, a, b)
		c.Assert(b.Quota(team, granter.CPU), qt.Equals, int64(0))
		a.stop(10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		advance(c, 4*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.CPU), qt.Equals, int64(5000))
		c.Assert(b.Quota(team, granter.CPU), qt.Equals, int64(5000))
	})
	runInBubble(t, "a shard with a backlog gives up quota as its tasks end", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 20000)
		advance(c, 2*time.Second, 10000, a, b)
		a.start(10000, 1000)
		b.SetUsage(team, granter.CPU, 0, 20000)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			a.stop(1000)
			a.start(1000, 1000)
			b.start(1000, 1000)
			assertWithin(c, 10000, a, b)
		}
		c.Assert(a.running, qt.Equals, int64(5000))
		c.Assert(b.running, qt.Equals, int64(5000))
	})
	runInBubble(t, "a lowered limit stops growth and reports the excess", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 8000)
		advance(c, 2*time.Second, 10000, a, b)
		a.start(8000, 1000)
		a.SetLimit(team, granter.CPU, 5000, 2)
		c.Assert(a.Reserve(team, granter.CPU, 1000), qt.IsFalse)
		time.Sleep(3 * time.Second)
		c.Assert(a.Excess(team, granter.CPU), qt.Equals, int64(3000))
		a.stop(3000)
		time.Sleep(3 * time.Second)
		c.Assert(a.Excess(team, granter.CPU), qt.Equals, int64(0))
		c.Assert(b.Reserve(team, granter.CPU, 1000), qt.IsFalse)
		advance(c, 3*time.Second, 5000, a, b)
	})
	runInBubble(t, "an older configuration can't raise a limit", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetLimit(team, granter.CPU, 3000, 2)
		a.SetUsage(team, granter.CPU, 0, 1000)
		advance(c, 2*time.Second, 10000, a, b)
		b.SetUsage(team, granter.CPU, 0, 10000)
		advance(c, 3*time.Second, 3000, a, b)
	})
	runInBubble(t, "resources are independent", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetLimit(team, granter.Slots, 4, 1)
		a.SetUsage(team, granter.Slots, 0, 10)
		advance(c, 3*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.Slots) <= 4, qt.IsTrue)
		c.Assert(a.Reserve(team, granter.Slots, 1), qt.IsTrue)
	})
	runInBubble(t, "a quota that is not used for long is given back", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		advance(c, 2*time.Second, 10000, a, b)
		a.SetUsage(team, granter.CPU, 0, 0)
		advance(c, 35*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.CPU), qt.Equals, int64(0))
	})
	runInBubble(t, "a steady cluster writes nothing", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 4000)
		b.SetUsage(team, granter.CPU, 0, 4000)
		advance(c, 5*time.Second, 10000, a, b)
		before := store.Counts()
		advance(c, 20*time.Second, 10000, a, b)
		c.Assert(store.Counts().Sub(before).Writes(), qt.Equals, uint64(0))
	})
}

func TestQuotaAllocatorUnderFaults(t *testing.T) {
	runInBubble(t, "the smaller quota counts while a write's outcome is unknown", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		advance(c, 2*time.Second, 10000, a, b)
		b.SetUsage(team, granter.CPU, 0, 10000)
		time.Sleep(100 * time.Millisecond)
		a.client.SetFaults(emulator.LateWrites(1, 5*time.Second), emulator.FailReads(1))
		advance(c, 3*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.CPU), qt.Equals, int64(5000))
		a.client.SetFaults()
		advance(c, 5*time.Second, 10000, a, b)
		c.Assert(b.Quota(team, granter.CPU), qt.Equals, int64(5000))
	})
	runInBubble(t, "a new owner takes over the quota and deposes the old one", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		advance(c, 2*time.Second, 10000, a, b)
		a.client.SetFaults(emulator.Partition())
		successor := startAllocator(c, store, "pianura-a.0", 2)
		time.Sleep(2 * time.Second)
		c.Assert(successor.Quota(team, granter.CPU), qt.Equals, int64(10000))
		a.client.SetFaults()
		c.Assert(<-a.done, qt.ErrorIs, granter.ErrDeposed)
		c.Assert(a.Quota(team, granter.CPU), qt.Equals, int64(0))
	})
	runInBubble(t, "a new owner without its term in the record starts nothing", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		advance(c, 2*time.Second, 10000, a, b)
		a.client.SetFaults(emulator.LateWrites(1, 4*time.Second))
		b.SetUsage(team, granter.CPU, 0, 10000)
		time.Sleep(2 * time.Second)
		store.Client("pianura-a.02").SetFaults(emulator.LateWrites(1, time.Hour))
		successor := startAllocator(c, store, "pianura-a.0", 2)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(successor.Quota(team, granter.CPU), qt.Equals, int64(0))
			c.Assert(successor.Reserve(team, granter.CPU, 1), qt.IsFalse)
			assertWithin(c, 10000, a, b)
		}
	})
	runInBubble(t, "a new owner gives up no quota before it knows what runs", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		advance(c, 2*time.Second, 10000, a, b)
		a.start(10000, 1000)
		a.cancel()
		successor := startAllocator(c, store, "pianura-a.0", 2)
		successor.SetLimit(team, granter.CPU, 10000, 1)
		b.SetUsage(team, granter.CPU, 0, 10000)
		time.Sleep(time.Minute)
		c.Assert(b.Quota(team, granter.CPU), qt.Equals, int64(0))
		successor.Recover(team, granter.CPU, 7000)
		time.Sleep(4 * time.Second)
		c.Assert(successor.Quota(team, granter.CPU), qt.Equals, int64(7000))
		c.Assert(b.Quota(team, granter.CPU), qt.Equals, int64(3000))
	})
	runInBubble(t, "a partitioned shard keeps its quota", func(c *qt.C, store *emulator.Store) {
		a, b := startPair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 6000)
		advance(c, 2*time.Second, 10000, a, b)
		a.start(6000, 1000)
		a.client.SetFaults(emulator.Partition())
		b.SetUsage(team, granter.CPU, 0, 10000)
		advance(c, 30*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.CPU) >= 6000, qt.IsTrue)
	})
}
