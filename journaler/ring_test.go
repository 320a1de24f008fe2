package journaler_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// TestFullRing guards against a journal that stays blocked after the store has
// recovered. Snapshots fail until the ring is full and mandatory records are queued; the
// next snapshot must not wait for these records, which wait for the slots that it frees.
func TestFullRing(t *testing.T) {
	const (
		slots   = 16
		records = 20 // more than the ring holds
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var snapshotsFail atomic.Bool
		snapshotsFail.Store(true)
		kv := emulator.NewStore().KV()
		put := kv.Put
		kv.Put = func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
			if snapshotsFail.Load() && strings.HasPrefix(key, "snapshot/") {
				return 0, keeper.ErrUnavailable
			}
			return put(ctx, key, value, expect, lease)
		}
		j, err := journaler.New(kv, shard, journaler.WithSlots(slots), journaler.WithRate(1000))
		c.Assert(err, qt.IsNil)
		j.SetSnapshotter(func() []byte { return []byte("state") })
		_, err = j.Open(t.Context(), 1)
		c.Assert(err, qt.IsNil)
		defer j.Abort()
		var persisted atomic.Int64
		for range records {
			c.Assert(j.EnqueueMandatory([]byte("record"), func(err error) {
				if err == nil {
					persisted.Add(1)
				}
			}), qt.IsNil)
			time.Sleep(100 * time.Millisecond)
		}
		snapshotsFail.Store(false)
		time.Sleep(time.Minute)
		c.Check(persisted.Load(), qt.Equals, int64(records))
		c.Check(j.Append(t.Context(), []byte("last")), qt.IsNil)
	})
}

// TestFullRingAtOpen guards against an opening that hangs: the compaction of a ring that
// an earlier owner left full must not wait for records that were queued before.
func TestFullRingAtOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kv := emulator.NewStore().KV()
		first, err := journaler.New(kv, shard, journaler.WithSlots(16), journaler.WithRate(1000))
		c.Assert(err, qt.IsNil)
		_, err = first.Open(t.Context(), 1)
		c.Assert(err, qt.IsNil)
		for range 11 {
			c.Assert(first.Append(t.Context(), []byte("record")), qt.IsNil)
		}
		first.Abort()
		second, err := journaler.New(kv, shard, journaler.WithSlots(16), journaler.WithRate(1000))
		c.Assert(err, qt.IsNil)
		var persisted atomic.Bool
		c.Assert(second.EnqueueMandatory([]byte("early"), func(err error) { persisted.Store(err == nil) }), qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		recovery, err := second.Open(ctx, 2)
		c.Assert(err, qt.IsNil)
		defer second.Abort()
		c.Check(recovery.Records(), qt.HasLen, 11)
		time.Sleep(time.Second)
		c.Check(persisted.Load(), qt.IsTrue)
	})
}
