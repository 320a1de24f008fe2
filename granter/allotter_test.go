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

// holder is one shard's allotter with what runs in the shard.
type holder struct {
	*granter.QuotaAllocator
	client  *emulator.Client
	cancel  context.CancelFunc
	ended   chan error
	running int64
}

// hold starts the allotter of a shard.
func hold(c *qt.C, store *emulator.Store, shard string, term uint64) *holder {
	c.Helper()
	h := &holder{client: store.Client(fmt.Sprint(shard, term)), ended: make(chan error, 1)}
	seam := h.client.Seam()
	mirror := keeper.NewMirror(seam, "live/")
	allotter, err := granter.NewQuotaAllocator(seam, mirror, shard, granter.WithTerm(term), granter.WithGroups(2))
	c.Assert(err, qt.IsNil)
	h.QuotaAllocator = allotter
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	c.Cleanup(cancel)
	go func() { _ = mirror.Run(ctx) }()
	go func() { h.ended <- allotter.Run(ctx) }()
	return h
}

// start reserves as much of the amount as it can, in steps.
func (h *holder) start(amount, step int64) {
	for ; amount > 0 && h.Reserve(team, granter.CPU, step); amount -= step {
		h.running += step
	}
}

// stop releases an amount.
func (h *holder) stop(amount int64) {
	amount = min(amount, h.running)
	h.running -= amount
	h.Release(team, granter.CPU, amount)
}

// within asserts that neither what runs nor what may run passes the limit.
func within(c *qt.C, limit int64, holders ...*holder) {
	c.Helper()
	running, allotted := int64(0), int64(0)
	for _, h := range holders {
		running += h.running
		allotted += h.Quota(team, granter.CPU)
		c.Assert(h.running <= h.Quota(team, granter.CPU), qt.IsTrue)
	}
	c.Assert(running <= limit, qt.IsTrue, qt.Commentf("%d running of %d", running, limit))
	c.Assert(allotted <= limit, qt.IsTrue, qt.Commentf("%d allotted of %d", allotted, limit))
}

// pass lets time go by and asserts within at each step.
func pass(c *qt.C, d time.Duration, limit int64, holders ...*holder) {
	c.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(37 * time.Millisecond)
		within(c, limit, holders...)
	}
}

// bubble runs a check in a bubble of its own.
func bubble(t *testing.T, name string, check func(*qt.C, *emulator.Store)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { check(qt.New(t), emulator.NewStore()) })
	})
}

// pair starts two shards under a limit.
func pair(c *qt.C, store *emulator.Store, limit int64) (a, b *holder) {
	c.Helper()
	a, b = hold(c, store, "pianura-a.0", 1), hold(c, store, "pianura-b.0", 1)
	for _, h := range []*holder{a, b} {
		h.SetLimit(team, granter.CPU, limit, 1)
	}
	return a, b
}

func TestAllotter(t *testing.T) {
	bubble(t, "one shard gets what it wants", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 8000)
		pass(c, 2*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.CPU) >= 8000, qt.IsTrue)
		a.start(8000, 1000)
		c.Assert(a.running, qt.Equals, int64(8000))
	})
	bubble(t, "demand moves allotments, what runs stays", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		pass(c, 2*time.Second, 10000, a, b)
		a.start(10000, 1000)
		b.SetUsage(team, granter.CPU, 0, 10000)
		pass(c, 3*time.Second, 10000, a, b)
		c.Assert(b.Quota(team, granter.CPU), qt.Equals, int64(0))
		a.stop(10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		pass(c, 4*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.CPU), qt.Equals, int64(5000))
		c.Assert(b.Quota(team, granter.CPU), qt.Equals, int64(5000))
	})
	bubble(t, "a backlog gives parts away as its tasks end", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 20000)
		pass(c, 2*time.Second, 10000, a, b)
		a.start(10000, 1000)
		b.SetUsage(team, granter.CPU, 0, 20000)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			a.stop(1000)
			a.start(1000, 1000)
			b.start(1000, 1000)
			within(c, 10000, a, b)
		}
		c.Assert(a.running, qt.Equals, int64(5000))
		c.Assert(b.running, qt.Equals, int64(5000))
	})
	bubble(t, "a lowered limit stops growth and tells the excess", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 8000)
		pass(c, 2*time.Second, 10000, a, b)
		a.start(8000, 1000)
		a.SetLimit(team, granter.CPU, 5000, 2)
		c.Assert(a.Reserve(team, granter.CPU, 1000), qt.IsFalse)
		time.Sleep(3 * time.Second)
		c.Assert(a.Excess(team, granter.CPU), qt.Equals, int64(3000))
		a.stop(3000)
		time.Sleep(3 * time.Second)
		c.Assert(a.Excess(team, granter.CPU), qt.Equals, int64(0))
		c.Assert(b.Reserve(team, granter.CPU, 1000), qt.IsFalse)
		pass(c, 3*time.Second, 5000, a, b)
	})
	bubble(t, "an older configuration can't raise a limit", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetLimit(team, granter.CPU, 3000, 2)
		a.SetUsage(team, granter.CPU, 0, 1000)
		pass(c, 2*time.Second, 10000, a, b)
		b.SetUsage(team, granter.CPU, 0, 10000)
		pass(c, 3*time.Second, 3000, a, b)
	})
	bubble(t, "kinds are apart", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetLimit(team, granter.Slots, 4, 1)
		a.SetUsage(team, granter.Slots, 0, 10)
		pass(c, 3*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.Slots) <= 4, qt.IsTrue)
		c.Assert(a.Reserve(team, granter.Slots, 1), qt.IsTrue)
	})
	bubble(t, "a part not used for long is given back", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		pass(c, 2*time.Second, 10000, a, b)
		a.SetUsage(team, granter.CPU, 0, 0)
		pass(c, 35*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.CPU), qt.Equals, int64(0))
	})
	bubble(t, "an idle fleet writes nothing", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 4000)
		b.SetUsage(team, granter.CPU, 0, 4000)
		pass(c, 5*time.Second, 10000, a, b)
		before := store.Counts()
		pass(c, 20*time.Second, 10000, a, b)
		c.Assert(store.Counts().Sub(before).Writes(), qt.Equals, uint64(0))
	})
}

func TestAllotterUnderFaults(t *testing.T) {
	bubble(t, "the smaller amount counts while a write is unknown", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		pass(c, 2*time.Second, 10000, a, b)
		b.SetUsage(team, granter.CPU, 0, 10000)
		time.Sleep(100 * time.Millisecond)
		a.client.SetFaults(emulator.LateWrites(1, 5*time.Second), emulator.FailReads(1))
		pass(c, 3*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.CPU), qt.Equals, int64(5000))
		a.client.SetFaults()
		pass(c, 5*time.Second, 10000, a, b)
		c.Assert(b.Quota(team, granter.CPU), qt.Equals, int64(5000))
	})
	bubble(t, "a new owner ends the old one's writes first", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		pass(c, 2*time.Second, 10000, a, b)
		a.client.SetFaults(emulator.Cut())
		successor := hold(c, store, "pianura-a.0", 2)
		c.Assert(successor.Quota(team, granter.CPU), qt.Equals, int64(0))
		time.Sleep(2 * time.Second)
		c.Assert(successor.Quota(team, granter.CPU), qt.Equals, int64(10000))
		a.client.SetFaults()
		c.Assert(<-a.ended, qt.ErrorIs, granter.ErrDeposed)
		c.Assert(a.Quota(team, granter.CPU), qt.Equals, int64(0))
	})
	bubble(t, "a new owner without its term in the record starts nothing", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		pass(c, 2*time.Second, 10000, a, b)
		a.client.SetFaults(emulator.LateWrites(1, 4*time.Second))
		b.SetUsage(team, granter.CPU, 0, 10000)
		time.Sleep(2 * time.Second)
		store.Client("pianura-a.02").SetFaults(emulator.LateWrites(1, time.Hour))
		successor := hold(c, store, "pianura-a.0", 2)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(successor.Quota(team, granter.CPU), qt.Equals, int64(0))
			c.Assert(successor.Reserve(team, granter.CPU, 1), qt.IsFalse)
			within(c, 10000, a, b)
		}
	})
	bubble(t, "a new owner gives nothing up before it knows what runs", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 10000)
		pass(c, 2*time.Second, 10000, a, b)
		a.start(10000, 1000)
		a.cancel()
		successor := hold(c, store, "pianura-a.0", 2)
		successor.SetLimit(team, granter.CPU, 10000, 1)
		b.SetUsage(team, granter.CPU, 0, 10000)
		time.Sleep(time.Minute)
		c.Assert(b.Quota(team, granter.CPU), qt.Equals, int64(0))
		successor.Recover(team, granter.CPU, 7000)
		time.Sleep(4 * time.Second)
		c.Assert(successor.Quota(team, granter.CPU), qt.Equals, int64(7000))
		c.Assert(b.Quota(team, granter.CPU), qt.Equals, int64(3000))
	})
	bubble(t, "a shard cut off keeps its part", func(c *qt.C, store *emulator.Store) {
		a, b := pair(c, store, 10000)
		a.SetUsage(team, granter.CPU, 0, 6000)
		pass(c, 2*time.Second, 10000, a, b)
		a.start(6000, 1000)
		a.client.SetFaults(emulator.Cut())
		b.SetUsage(team, granter.CPU, 0, 10000)
		pass(c, 30*time.Second, 10000, a, b)
		c.Assert(a.Quota(team, granter.CPU) >= 6000, qt.IsTrue)
	})
}
