package journaler_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// startWrite starts a write and returns a channel that receives its outcome.
func (o *owner) startWrite(text string) <-chan error {
	result := make(chan error, 1)
	go func() { result <- o.write(text) }()
	return result
}

func TestStoreFaults(t *testing.T) {
	run(t, "a write whose response is lost is read back", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		o.client.SetFaults(emulator.LoseResponses(1))
		for n := range 40 {
			c.Assert(o.write(fmt.Sprint(n)), qt.IsNil)
		}
		o.Abort()
		assertRecords(c, store, 2, o.state...)
	})
	run(t, "a late write is not written twice", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		o.client.SetFaults(emulator.LateWrites(1, 50*time.Millisecond))
		c.Assert(o.write("x"), qt.IsNil)
		c.Assert(o.write("y"), qt.IsNil)
		o.Abort()
		time.Sleep(time.Second)
		assertRecords(c, store, 2, "x", "y")
	})
	run(t, "stale reads don't corrupt the journal", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		o.client.SetFaults(emulator.LoseResponses(0.5), emulator.StaleReads(0.5))
		for n := range 40 {
			o.writeUntilAccepted(c, fmt.Sprint(n))
		}
		o.Abort()
		assertRecords(c, store, 2, o.state...)
	})
	run(t, "opening with stale reads finds all records or fails", func(c *qt.C, store *emulator.Store) {
		var want []string
		for term := range uint64(30) {
			store.SetFaults()
			o, err := tryOpen(c, store, "a", term+1)
			c.Assert(err, qt.IsNil)
			c.Assert(o.state, qt.DeepEquals, want)
			o.client.SetFaults(emulator.StaleReads(0.3), emulator.LoseResponses(0.3))
			for n := range 3 {
				o.writeUntilAccepted(c, fmt.Sprint(term, n))
			}
			want = o.state
			o.Abort()
			// An owner with stale reads may fail to open, but must not recover old data.
			store.Client("b").SetFaults(emulator.StaleReads(0.3))
			stale, err := tryOpen(c, store, "b", term+1)
			if err == nil {
				c.Assert(stale.state, qt.DeepEquals, want)
				stale.Abort()
			}
		}
	})
}

func TestOutage(t *testing.T) {
	run(t, "new records are refused at once during an outage and accepted after it", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		store.SetFaults(emulator.Down())
		started := time.Now()
		c.Assert(o.write("x"), qt.ErrorIs, journaler.ErrUnavailable)
		c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue)
		started = time.Now()
		c.Assert(o.write("y"), qt.ErrorIs, journaler.ErrUnavailable)
		c.Assert(time.Since(started), qt.Equals, time.Duration(0))
		c.Assert(o.Available(), qt.IsFalse)
		time.Sleep(time.Minute)
		store.SetFaults()
		time.Sleep(2 * time.Second)
		c.Assert(o.Available(), qt.IsTrue)
		c.Assert(o.write("z"), qt.IsNil)
		o.Abort()
		assertRecords(c, store, 2, "z")
	})
	run(t, "a record in flight waits for its outcome, one queued behind it fails", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		store.SetFaults(emulator.Partition())
		first := o.startWrite("x")
		time.Sleep(100 * time.Millisecond)
		second := o.startWrite("y")
		c.Assert(<-second, qt.ErrorIs, journaler.ErrUnavailable)
		time.Sleep(10 * time.Second)
		c.Assert(first, qt.HasLen, 0)
		store.SetFaults()
		c.Assert(<-first, qt.IsNil)
		o.Abort()
		assertRecords(c, store, 2, "x")
	})
	run(t, "a caller whose context ends gets an unknown outcome only for a record in flight", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		store.SetFaults(emulator.Partition())
		callCtx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		first := make(chan error, 1)
		go func() { first <- o.Append(callCtx, []byte("x")) }()
		time.Sleep(100 * time.Millisecond)
		second := make(chan error, 1)
		go func() { second <- o.Append(callCtx, []byte("y")) }()
		c.Assert(<-first, qt.ErrorIs, journaler.ErrOutcomeUnknown)
		c.Assert(<-second, qt.ErrorIs, journaler.ErrUnavailable)
		o.Abort()
		assertRecords(c, store, 2)
	})
	run(t, "a mandatory record waits for the store", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		store.SetFaults(emulator.Down())
		result := make(chan error, 1)
		c.Assert(o.EnqueueMandatory([]byte("x"), func(err error) { result <- err }), qt.IsNil)
		time.Sleep(time.Minute)
		c.Assert(o.EnqueueMandatory([]byte("y"), func(error) {}), qt.IsNil)
		c.Assert(result, qt.HasLen, 0)
		store.SetFaults()
		c.Assert(<-result, qt.IsNil)
		time.Sleep(time.Second)
		o.Abort()
		assertRecords(c, store, 2, "x", "y")
	})
	run(t, "an abort leaves the outcome of a record in flight unknown", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		store.SetFaults(emulator.Partition())
		first := o.startWrite("x")
		time.Sleep(100 * time.Millisecond)
		o.Abort()
		c.Assert(<-first, qt.ErrorIs, journaler.ErrOutcomeUnknown)
		c.Assert(o.write("y"), qt.ErrorIs, journaler.ErrUnavailable)
	})
}

func TestOwners(t *testing.T) {
	run(t, "an older owner can't write", func(c *qt.C, store *emulator.Store) {
		old := open(c, store, "a", 1)
		c.Assert(old.write("x"), qt.IsNil)
		fresh := open(c, store, "b", 2)
		c.Assert(fresh.state, qt.DeepEquals, []string{"x"})
		c.Assert(old.write("y"), qt.ErrorIs, journaler.ErrDeposed)
		<-old.Done()
		c.Assert(old.Err(), qt.ErrorIs, journaler.ErrDeposed)
		c.Assert(old.write("z"), qt.ErrorIs, journaler.ErrDeposed)
		fresh.Abort()
		assertRecords(c, store, 3, "x")
	})
	run(t, "an older term can't open", func(c *qt.C, store *emulator.Store) {
		fresh := open(c, store, "b", 2)
		_, err := tryOpen(c, store, "a", 1)
		c.Assert(err, qt.ErrorIs, journaler.ErrDeposed)
		c.Assert(fresh.write("x"), qt.IsNil)
		fresh.Abort()
	})
	run(t, "a write of an older owner that arrives after the opening segment has no effect", func(c *qt.C, store *emulator.Store) {
		old := open(c, store, "a", 1)
		old.client.SetFaults(emulator.LateWrites(1, 500*time.Millisecond), emulator.FailReads(1))
		first := old.startWrite("x")
		time.Sleep(100 * time.Millisecond)
		fresh := open(c, store, "b", 2)
		c.Assert(fresh.write("y"), qt.IsNil)
		time.Sleep(time.Second)
		old.client.SetFaults()
		c.Assert(<-first, qt.ErrorIs, journaler.ErrDeposed)
		fresh.Abort()
		assertRecords(c, store, 3, "y")
	})
	run(t, "a late snapshot of an older owner loses no records", func(c *qt.C, store *emulator.Store) {
		old := open(c, store, "a", 1)
		for n := range 6 {
			c.Assert(old.write(fmt.Sprint(n)), qt.IsNil)
		}
		old.client.SetFaults(emulator.Slow(200 * time.Millisecond))
		for n := range 4 {
			c.Assert(old.write(fmt.Sprint(n+6)), qt.IsNil)
		}
		fresh := open(c, store, "b", 2)
		for n := range 30 {
			c.Assert(fresh.write(fmt.Sprint(n+10)), qt.IsNil)
			time.Sleep(50 * time.Millisecond)
		}
		old.Abort()
		fresh.Abort()
		assertRecords(c, store, 3, fresh.state...)
	})
	run(t, "owners that abort right after opening don't fill the ring", func(c *qt.C, store *emulator.Store) {
		first := open(c, store, "a", 1)
		c.Assert(first.write("x"), qt.IsNil)
		first.Abort()
		for term := range uint64(50) {
			open(c, store, "a", term+2).Abort()
		}
		assertRecords(c, store, 100, "x")
	})
	run(t, "without snapshots no segment is overwritten", func(c *qt.C, store *emulator.Store) {
		j, err := journaler.New(store.KV(), shard, journaler.WithSlots(16))
		c.Assert(err, qt.IsNil)
		_, err = j.Open(context.Background(), 1)
		c.Assert(err, qt.IsNil)
		var want []string
		for n := range 20 {
			err := j.Append(context.Background(), fmt.Append(nil, n))
			if err == nil {
				want = append(want, fmt.Sprint(n))
				continue
			}
			c.Assert(err, qt.ErrorIs, journaler.ErrUnavailable)
		}
		c.Assert(want, qt.HasLen, 11)
		j.Abort()
		assertRecords(c, store, 2, want...)
	})
}

// TestDamage checks that Open fails and writes nothing if stored data is damaged or has an
// unknown format.
func TestDamage(t *testing.T) {
	flipLastBit := func(data []byte) []byte {
		data[len(data)-1] ^= 1
		return data
	}
	check := func(name, prefix string, corrupt func([]byte) []byte, want error) {
		run(t, name, func(c *qt.C, store *emulator.Store) {
			o := open(c, store, "a", 1)
			for n := range 12 {
				c.Assert(o.write(fmt.Sprint(n)), qt.IsNil)
			}
			time.Sleep(time.Second)
			o.Abort()
			entries, err := store.KV().List(context.Background(), prefix)
			c.Assert(err, qt.IsNil)
			c.Assert(len(entries) > 0, qt.IsTrue)
			store.Corrupt(entries[0].Key(), corrupt)
			before, _ := store.KV().List(context.Background(), "")
			_, err = tryOpen(c, store, "b", 2)
			c.Assert(err, qt.ErrorIs, want)
			after, _ := store.KV().List(context.Background(), "")
			c.Assert(versions(after), qt.DeepEquals, versions(before))
		})
	}
	check("slot", "journal/"+shard+"/000009", flipLastBit, journaler.ErrCorrupt)
	check("manifest", "journal/"+shard+"/manifest", flipLastBit, journaler.ErrCorrupt)
	check("chunk", "snapshot/"+shard+"/", flipLastBit, journaler.ErrCorrupt)
	check("empty slot", "journal/"+shard+"/000009", func([]byte) []byte { return nil }, journaler.ErrCorrupt)
	check("unknown format", "journal/"+shard+"/000009", setUnknownFormat, journaler.ErrUnsupportedFormat)
}

// setUnknownFormat changes the format of an envelope. The format is its first key.
func setUnknownFormat(data []byte) []byte {
	for n := range data {
		if string(data[n:min(len(data), n+6)]) == "format" {
			data[n+6] = 9
			return data
		}
	}
	panic("no format")
}

// versions returns the version of each entry by its key.
func versions(entries []keeper.Entry) map[string]uint64 {
	versions := map[string]uint64{}
	for _, entry := range entries {
		versions[entry.Key()] = entry.Version()
	}
	return versions
}
