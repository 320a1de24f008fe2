package emulator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// held asserts that the key holds the value.
func held(c *qt.C, store *emulator.Store, key, value string) {
	c.Helper()
	entry, err := store.Client("checker").KV().Get(context.Background(), key)
	c.Assert(err, qt.IsNil)
	c.Assert(string(entry.Value()), qt.Equals, value)
}

func TestStore(t *testing.T) {
	run := func(name string, check func(*qt.C, *emulator.Store, keeper.Store)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := emulator.NewStore()
				check(qt.New(t), store, store.Client("a").KV())
			})
		})
	}
	ctx := context.Background()

	run("compare and swap", func(c *qt.C, _ *emulator.Store, seam keeper.Store) {
		first, err := seam.Put(ctx, "k", []byte("1"), 0, 0)
		c.Assert(err, qt.IsNil)
		_, err = seam.Put(ctx, "k", []byte("2"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrConflict)
		second, err := seam.Put(ctx, "k", []byte("2"), first, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(second > first, qt.IsTrue)
		c.Assert(seam.Delete(ctx, "k", first), qt.ErrorIs, keeper.ErrConflict)
		c.Assert(seam.Delete(ctx, "k", second), qt.IsNil)
		_, err = seam.Get(ctx, "k")
		c.Assert(err, qt.ErrorIs, keeper.ErrNotFound)
	})
	run("too large", func(c *qt.C, _ *emulator.Store, seam keeper.Store) {
		_, err := seam.Put(ctx, "k", make([]byte, keeper.ValueLimit+1), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrTooLarge)
	})
	run("watch tells changes and deletions in order", func(c *qt.C, _ *emulator.Store, seam keeper.Store) {
		go func() {
			time.Sleep(300 * time.Millisecond)
			_, _ = seam.Put(ctx, "live/a", []byte("1"), 0, 0)
		}()
		begun := time.Now()
		entries, next, err := seam.Watch(ctx, "live/", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(begun), qt.Equals, 300*time.Millisecond)
		c.Assert(entries, qt.HasLen, 1)
		c.Assert(seam.Delete(ctx, "live/a", entries[0].Version()), qt.IsNil)
		entries, _, err = seam.Watch(ctx, "live/", next)
		c.Assert(err, qt.IsNil)
		c.Assert(entries, qt.HasLen, 1)
		c.Assert(entries[0].Deleted(), qt.IsTrue)
	})
	run("watch waits no longer than the limit", func(c *qt.C, _ *emulator.Store, seam keeper.Store) {
		begun := time.Now()
		entries, _, err := seam.Watch(ctx, "live/", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(entries, qt.HasLen, 0)
		c.Assert(time.Since(begun), qt.Equals, emulator.DefaultWait)
	})
	run("lease takes its keys along", func(c *qt.C, _ *emulator.Store, seam keeper.Store) {
		id, err := seam.Grant(ctx, time.Second)
		c.Assert(err, qt.IsNil)
		_, err = seam.Put(ctx, "k", []byte("1"), 0, id)
		c.Assert(err, qt.IsNil)
		time.Sleep(900 * time.Millisecond)
		c.Assert(seam.Renew(ctx, id), qt.IsNil)
		time.Sleep(900 * time.Millisecond)
		_, err = seam.Get(ctx, "k")
		c.Assert(err, qt.IsNil)
		time.Sleep(200 * time.Millisecond)
		_, err = seam.Get(ctx, "k")
		c.Assert(err, qt.ErrorIs, keeper.ErrNotFound)
		c.Assert(seam.Renew(ctx, id), qt.ErrorIs, keeper.ErrLeaseExpired)
	})
}

func TestFaults(t *testing.T) {
	run := func(name string, check func(*qt.C, *emulator.Store, keeper.Store)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := emulator.NewStore()
				check(qt.New(t), store, store.Client("a").KV())
			})
		})
	}
	ctx := context.Background()

	run("down refuses", func(c *qt.C, store *emulator.Store, seam keeper.Store) {
		store.SetFaults(emulator.Down())
		_, err := seam.Put(ctx, "k", nil, 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrUnavailable)
		store.SetFaults()
		_, err = seam.Get(ctx, "k")
		c.Assert(err, qt.ErrorIs, keeper.ErrNotFound)
	})
	run("down ends watches", func(c *qt.C, store *emulator.Store, seam keeper.Store) {
		time.AfterFunc(100*time.Millisecond, func() { store.SetFaults(emulator.Down()) })
		_, _, err := seam.Watch(ctx, "live/", 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrUnavailable)
	})
	run("cut is of one client", func(c *qt.C, store *emulator.Store, seam keeper.Store) {
		store.Client("a").SetFaults(emulator.Partition())
		begun := time.Now()
		_, err := seam.Put(ctx, "k", []byte("1"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
		c.Assert(time.Since(begun), qt.Equals, emulator.PartitionTimeout)
		_, err = store.Client("b").KV().Put(ctx, "k", []byte("2"), 0, 0)
		c.Assert(err, qt.IsNil)
	})
	run("lost answer holds", func(c *qt.C, store *emulator.Store, seam keeper.Store) {
		store.SetFaults(emulator.LoseAnswers(1))
		_, err := seam.Put(ctx, "k", []byte("1"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
		held(c, store, "k", "1")
	})
	run("late write holds later", func(c *qt.C, store *emulator.Store, seam keeper.Store) {
		store.SetFaults(emulator.LateWrites(1, time.Second))
		_, err := seam.Put(ctx, "k", []byte("1"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
		_, err = seam.Get(ctx, "k")
		c.Assert(err, qt.ErrorIs, keeper.ErrNotFound)
		time.Sleep(1001 * time.Millisecond)
		held(c, store, "k", "1")
	})
	run("slow write outlives its caller", func(c *qt.C, store *emulator.Store, seam keeper.Store) {
		store.SetFaults(emulator.Slow(time.Second))
		short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_, err := seam.Put(short, "k", []byte("1"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
		time.Sleep(701 * time.Millisecond)
		store.SetFaults()
		held(c, store, "k", "1")
	})
	run("stale read is one version old", func(c *qt.C, store *emulator.Store, seam keeper.Store) {
		first, _ := seam.Put(ctx, "k", []byte("1"), 0, 0)
		_, _ = seam.Put(ctx, "k", []byte("2"), first, 0)
		store.SetFaults(emulator.StaleReads(1))
		entry, err := seam.Get(ctx, "k")
		c.Assert(err, qt.IsNil)
		c.Assert(string(entry.Value()), qt.Equals, "1")
	})
	run("calls are counted", func(c *qt.C, store *emulator.Store, seam keeper.Store) {
		_, _ = seam.Put(ctx, "k", []byte("1"), 0, 0)
		_, _ = seam.Get(ctx, "k")
		_, _, _ = seam.Watch(ctx, "k", 0)
		counts := store.Client("a").Counts()
		c.Assert([]uint64{counts.Reads(), counts.Writes(), counts.Watches()}, qt.DeepEquals, []uint64{1, 1, 1})
	})
}
