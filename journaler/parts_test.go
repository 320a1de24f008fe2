package journaler_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// newLargeRecord returns a record of that many bytes.
func newLargeRecord(name string, size int) string {
	return name + strings.Repeat(name+"0123456789", size)[:size-len(name)]
}

// digest returns the lengths and hashes of records, which are too large for a failure's message.
func digest(records []string) []string {
	var list []string
	for _, r := range records {
		list = append(list, fmt.Sprintf("%d bytes, %x", len(r), sha256.Sum256([]byte(r))))
	}
	return list
}

// assertLarge is assertRecords for large records.
func assertLarge(c *qt.C, store *emulator.Store, term uint64, records ...string) {
	c.Helper()
	store.SetFaults()
	o := open(c, store, "successor", term)
	defer o.Abort()
	c.Assert(digest(o.state), qt.DeepEquals, digest(records))
}

// limitedStore returns a store that fails after that many more writes of segments.
func limitedStore(kv keeper.Store, writes *atomic.Int64) keeper.Store {
	put := kv.Put
	kv.Put = func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
		if writes.Add(-1) < 0 {
			writes.Store(0)
			return 0, keeper.ErrUnavailable
		}
		return put(ctx, key, value, expect, lease)
	}
	return kv
}

// TestRecordInParts checks that a record of any size is persisted, or none of it. One that was
// refused because of its size would be missing from the journal although it tells what has
// already happened (TWICE), or would be refused again and again (LOST).
func TestRecordInParts(t *testing.T) {
	run(t, "records of all sizes", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		var want []string
		for _, size := range []int{2, journaler.PartLimit - 1, journaler.PartLimit, journaler.PartLimit + 1, 2 * journaler.PartLimit, 3*journaler.PartLimit + 7} {
			want = append(want, newLargeRecord("x", size), "y")
		}
		results := make(chan error, len(want))
		for _, record := range want {
			c.Assert(o.EnqueueMandatory([]byte(record), func(err error) {
				o.state = append(o.state, record)
				results <- err
			}), qt.IsNil)
		}
		for range want {
			c.Assert(<-results, qt.IsNil)
		}
		o.Abort()
		assertLarge(c, store, 2, want...)
	})
	run(t, "its owner is lost between two parts", func(c *qt.C, store *emulator.Store) {
		kv := store.KV()
		var writes atomic.Int64
		writes.Store(3) // the opening segment, a record and one part
		j, err := journaler.New(limitedStore(kv, &writes), shard, journaler.WithSlots(16), journaler.WithRate(1000))
		c.Assert(err, qt.IsNil)
		_, err = j.Open(c.Context(), 1)
		c.Assert(err, qt.IsNil)
		c.Assert(j.Append(c.Context(), []byte("x")), qt.IsNil)
		result := make(chan error, 1)
		c.Assert(j.EnqueueMandatory([]byte(newLargeRecord("y", 2*journaler.PartLimit)), func(err error) { result <- err }), qt.IsNil)
		time.Sleep(time.Second)
		c.Assert(writes.Load(), qt.Equals, int64(0))
		j.Abort()
		c.Assert(<-result, qt.ErrorIs, journaler.ErrUnavailable)
		next := open(c, store, "b", 2)
		c.Assert(next.state, qt.DeepEquals, []string{"x"})
		c.Assert(next.write("z"), qt.IsNil)
		next.Abort()
		assertRecords(c, store, 3, "x", "z")
	})
	run(t, "an outage between two parts", func(c *qt.C, store *emulator.Store) {
		var writes atomic.Int64
		writes.Store(2) // the opening segment and one part
		j, err := journaler.New(limitedStore(store.KV(), &writes), shard, journaler.WithSlots(16), journaler.WithRate(1000))
		c.Assert(err, qt.IsNil)
		_, err = j.Open(c.Context(), 1)
		c.Assert(err, qt.IsNil)
		record := newLargeRecord("x", 2*journaler.PartLimit)
		begun, queued := make(chan error, 1), make(chan error, 1)
		c.Assert(j.Enqueue([]byte(record), func(err error) { begun <- err }), qt.IsNil)
		c.Assert(j.Enqueue([]byte("y"), func(err error) { queued <- err }), qt.IsNil)
		time.Sleep(10 * time.Second)
		c.Assert(<-queued, qt.ErrorIs, journaler.ErrUnavailable)
		c.Assert(begun, qt.HasLen, 0) // neither refused nor persisted
		writes.Store(1000)
		c.Assert(<-begun, qt.IsNil)
		j.Abort()
		assertLarge(c, store, 2, record)
	})
	run(t, "its caller leaves between two parts", func(c *qt.C, store *emulator.Store) {
		var writes atomic.Int64
		writes.Store(2) // the opening segment and one part
		j, err := journaler.New(limitedStore(store.KV(), &writes), shard, journaler.WithSlots(16), journaler.WithRate(1000))
		c.Assert(err, qt.IsNil)
		_, err = j.Open(c.Context(), 1)
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithTimeout(c.Context(), 500*time.Millisecond)
		defer cancel()
		record := newLargeRecord("x", 2*journaler.PartLimit)
		c.Assert(j.Append(ctx, []byte(record)), qt.ErrorIs, journaler.ErrOutcomeUnknown)
		writes.Store(1000)
		time.Sleep(5 * time.Second)
		j.Abort()
		assertLarge(c, store, 2, record)
	})
	run(t, "the ring is smaller than the record", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		c.Assert(o.write("x"), qt.IsNil)
		large := newLargeRecord("y", 20*journaler.PartLimit)
		c.Assert(o.write(large), qt.IsNil)
		c.Assert(o.write("z"), qt.IsNil)
		o.Abort()
		assertLarge(c, store, 2, "x", large, "z")
	})
	run(t, "a snapshot between two parts", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		large := newLargeRecord("y", 6*journaler.PartLimit)
		results := make(chan error, 16)
		done := func(err error) { results <- err }
		for range 6 { // most of the half of the ring at which a snapshot is due
			c.Assert(o.write("x"), qt.IsNil)
		}
		c.Assert(o.Enqueue([]byte(large), func(err error) {
			o.state = append(o.state, large)
			done(err)
		}), qt.IsNil)
		c.Assert(<-results, qt.IsNil)
		c.Assert(o.write("z"), qt.IsNil)
		o.Abort()
		assertLarge(c, store, 2, "x", "x", "x", "x", "x", "x", large, "z")
	})
}

// TestLostPartIsNoticed checks that a journal is not read without the beginning of a record.
func TestLostPartIsNoticed(t *testing.T) {
	run(t, "the segment before is missing", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		c.Assert(o.write(newLargeRecord("y", 2*journaler.PartLimit)), qt.IsNil)
		o.Abort()
		kv := store.KV()
		entries, err := kv.List(c.Context(), "journal/"+shard+"/")
		c.Assert(err, qt.IsNil)
		for _, entry := range entries {
			if strings.HasSuffix(entry.Key(), "000002") {
				c.Assert(kv.Delete(c.Context(), entry.Key(), entry.Version()), qt.IsNil)
			}
		}
		_, err = tryOpen(c, store, "b", 2)
		c.Assert(errors.Is(err, journaler.ErrCorrupt), qt.IsTrue)
	})
}
