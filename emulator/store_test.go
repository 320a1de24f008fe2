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

// assertValue asserts that the key has the value.
func assertValue(c *qt.C, store *emulator.Store, key, value string) {
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

	run("compare and swap", func(c *qt.C, _ *emulator.Store, kv keeper.Store) {
		first, err := kv.Put(ctx, "k", []byte("1"), 0, 0)
		c.Assert(err, qt.IsNil)
		_, err = kv.Put(ctx, "k", []byte("2"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrConflict)
		second, err := kv.Put(ctx, "k", []byte("2"), first, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(second > first, qt.IsTrue)
		c.Assert(kv.Delete(ctx, "k", first), qt.ErrorIs, keeper.ErrConflict)
		c.Assert(kv.Delete(ctx, "k", second), qt.IsNil)
		_, err = kv.Get(ctx, "k")
		c.Assert(err, qt.ErrorIs, keeper.ErrNotFound)
	})
	run("too large", func(c *qt.C, _ *emulator.Store, kv keeper.Store) {
		_, err := kv.Put(ctx, "k", make([]byte, keeper.ValueLimit+1), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrTooLarge)
	})
	run("watch returns changes and deletions in order", func(c *qt.C, _ *emulator.Store, kv keeper.Store) {
		go func() {
			time.Sleep(300 * time.Millisecond)
			_, _ = kv.Put(ctx, "live/a", []byte("1"), 0, 0)
		}()
		start := time.Now()
		entries, next, err := kv.Watch(ctx, "live/", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start), qt.Equals, 300*time.Millisecond)
		c.Assert(entries, qt.HasLen, 1)
		c.Assert(kv.Delete(ctx, "live/a", entries[0].Version()), qt.IsNil)
		entries, _, err = kv.Watch(ctx, "live/", next)
		c.Assert(err, qt.IsNil)
		c.Assert(entries, qt.HasLen, 1)
		c.Assert(entries[0].Deleted(), qt.IsTrue)
	})
	run("watch times out without changes", func(c *qt.C, _ *emulator.Store, kv keeper.Store) {
		start := time.Now()
		entries, _, err := kv.Watch(ctx, "live/", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(entries, qt.HasLen, 0)
		c.Assert(time.Since(start), qt.Equals, emulator.DefaultWatchTimeout)
	})
	run("expired lease deletes its keys", func(c *qt.C, _ *emulator.Store, kv keeper.Store) {
		id, err := kv.Grant(ctx, time.Second)
		c.Assert(err, qt.IsNil)
		_, err = kv.Put(ctx, "k", []byte("1"), 0, id)
		c.Assert(err, qt.IsNil)
		time.Sleep(900 * time.Millisecond)
		c.Assert(kv.Renew(ctx, id), qt.IsNil)
		time.Sleep(900 * time.Millisecond)
		_, err = kv.Get(ctx, "k")
		c.Assert(err, qt.IsNil)
		time.Sleep(200 * time.Millisecond)
		_, err = kv.Get(ctx, "k")
		c.Assert(err, qt.ErrorIs, keeper.ErrNotFound)
		c.Assert(kv.Renew(ctx, id), qt.ErrorIs, keeper.ErrLeaseExpired)
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

	run("down refuses calls", func(c *qt.C, store *emulator.Store, kv keeper.Store) {
		store.SetFaults(emulator.Down())
		_, err := kv.Put(ctx, "k", nil, 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrUnavailable)
		store.SetFaults()
		_, err = kv.Get(ctx, "k")
		c.Assert(err, qt.ErrorIs, keeper.ErrNotFound)
	})
	run("down ends watches", func(c *qt.C, store *emulator.Store, kv keeper.Store) {
		time.AfterFunc(100*time.Millisecond, func() { store.SetFaults(emulator.Down()) })
		_, _, err := kv.Watch(ctx, "live/", 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrUnavailable)
	})
	run("partition of one client", func(c *qt.C, store *emulator.Store, kv keeper.Store) {
		store.Client("a").SetFaults(emulator.Partition())
		start := time.Now()
		_, err := kv.Put(ctx, "k", []byte("1"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
		c.Assert(time.Since(start), qt.Equals, emulator.PartitionTimeout)
		_, err = store.Client("b").KV().Put(ctx, "k", []byte("2"), 0, 0)
		c.Assert(err, qt.IsNil)
	})
	run("write with a lost response takes effect", func(c *qt.C, store *emulator.Store, kv keeper.Store) {
		store.SetFaults(emulator.LoseResponses(1))
		_, err := kv.Put(ctx, "k", []byte("1"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
		assertValue(c, store, "k", "1")
	})
	run("late write takes effect later", func(c *qt.C, store *emulator.Store, kv keeper.Store) {
		store.SetFaults(emulator.LateWrites(1, time.Second))
		_, err := kv.Put(ctx, "k", []byte("1"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
		_, err = kv.Get(ctx, "k")
		c.Assert(err, qt.ErrorIs, keeper.ErrNotFound)
		time.Sleep(1001 * time.Millisecond)
		assertValue(c, store, "k", "1")
	})
	run("slow write takes effect after its caller gave up", func(c *qt.C, store *emulator.Store, kv keeper.Store) {
		store.SetFaults(emulator.Slow(time.Second))
		short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_, err := kv.Put(short, "k", []byte("1"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
		time.Sleep(701 * time.Millisecond)
		store.SetFaults()
		assertValue(c, store, "k", "1")
	})
	run("stale read returns the previous version", func(c *qt.C, store *emulator.Store, kv keeper.Store) {
		first, _ := kv.Put(ctx, "k", []byte("1"), 0, 0)
		_, _ = kv.Put(ctx, "k", []byte("2"), first, 0)
		store.SetFaults(emulator.StaleReads(1))
		entry, err := kv.Get(ctx, "k")
		c.Assert(err, qt.IsNil)
		c.Assert(string(entry.Value()), qt.Equals, "1")
	})
	run("calls are counted", func(c *qt.C, store *emulator.Store, kv keeper.Store) {
		_, _ = kv.Put(ctx, "k", []byte("1"), 0, 0)
		_, _ = kv.Get(ctx, "k")
		_, _, _ = kv.Watch(ctx, "k", 0)
		counts := store.Client("a").Counts()
		c.Assert([]uint64{counts.Reads(), counts.Writes(), counts.Watches()}, qt.DeepEquals, []uint64{1, 1, 1})
	})
}
