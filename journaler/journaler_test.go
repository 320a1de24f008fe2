package journaler_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	qt "github.com/frankban/quicktest"
)

// shard is the name of the shard in all tests.
const shard = "pianura-a.0"

// owner is an open journal and its state, which is the list of its records.
type owner struct {
	*journaler.Journaler
	client *emulator.Client
	state  []string // after Open changed only by done callbacks, hence by one goroutine
}

// open opens the journal under a term, through the store client called name.
func open(c *qt.C, store *emulator.Store, name string, term uint64, options ...journaler.Option) *owner {
	c.Helper()
	o, err := tryOpen(c, store, name, term, options...)
	c.Assert(err, qt.IsNil)
	return o
}

// tryOpen is like open but returns the error.
func tryOpen(c *qt.C, store *emulator.Store, name string, term uint64, options ...journaler.Option) (*owner, error) {
	c.Helper()
	o := &owner{client: store.Client(name)}
	options = append([]journaler.Option{journaler.WithSlots(16), journaler.WithRate(1000)}, options...)
	j, err := journaler.New(o.client.KV(), shard, options...)
	c.Assert(err, qt.IsNil)
	o.Journaler = j
	j.SetSnapshotter(func() []byte { return []byte(strings.Join(o.state, "\n")) })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	recovery, err := j.Open(ctx, term)
	if err != nil {
		return nil, err
	}
	if len(recovery.Snapshot()) > 0 {
		o.state = strings.Split(string(recovery.Snapshot()), "\n")
	}
	for _, record := range recovery.Records() {
		o.state = append(o.state, string(record))
	}
	return o, nil
}

// write writes a record and adds it to the state once it is persisted.
func (o *owner) write(text string) error {
	result := make(chan error, 1)
	err := o.Enqueue([]byte(text), func(err error) {
		if err == nil {
			o.state = append(o.state, text)
		}
		result <- err
	})
	if err != nil {
		return err
	}
	return <-result
}

// writeUntilAccepted writes a record and retries after each refusal. Refusals are
// allowed under lasting faults (DESIGN.md, Outcomes), but a refused record must not be
// in the journal, or the next owner finds it twice.
func (o *owner) writeUntilAccepted(c *qt.C, text string) {
	c.Helper()
	err := o.write(text)
	for range 20 {
		if err == nil {
			break
		}
		c.Assert(err, qt.ErrorIs, journaler.ErrUnavailable)
		time.Sleep(100 * time.Millisecond)
		err = o.write(text)
	}
	c.Assert(err, qt.IsNil)
}

// assertRecords asserts that a new owner under term finds exactly these records. It ends
// all faults of the store first.
func assertRecords(c *qt.C, store *emulator.Store, term uint64, records ...string) {
	c.Helper()
	store.SetFaults()
	o := open(c, store, "successor", term)
	defer o.Abort()
	c.Assert(o.state, qt.DeepEquals, records)
}

// run runs a check as a subtest, in a synctest bubble of its own.
func run(t *testing.T, name string, check func(*qt.C, *emulator.Store)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { check(qt.New(t), emulator.NewStore()) })
	})
}

func TestJournaler(t *testing.T) {
	run(t, "a record outlives its owner", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		c.Assert(o.write("x"), qt.IsNil)
		c.Assert(o.write("y"), qt.IsNil)
		o.Abort()
		assertRecords(c, store, 2, "x", "y")
	})
	run(t, "records are batched into one segment", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		before := o.client.Counts()
		results := make(chan error, 50)
		for n := range 50 {
			c.Assert(o.Enqueue(fmt.Appendf(nil, "%d", n), func(err error) { results <- err }), qt.IsNil)
		}
		for range 50 {
			c.Assert(<-results, qt.IsNil)
		}
		c.Assert(o.client.Counts().Sub(before).Writes(), qt.Equals, uint64(1))
		o.Abort()
	})
	run(t, "snapshots free the ring", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		var want []string
		for n := range 100 {
			want = append(want, fmt.Sprint(n))
			c.Assert(o.write(want[n]), qt.IsNil)
		}
		o.Abort()
		assertRecords(c, store, 2, want...)
		entries, err := store.KV().List(context.Background(), "snapshot/")
		c.Assert(err, qt.IsNil)
		c.Assert(entries, qt.HasLen, 1)
	})
	run(t, "a close leaves no records to replay", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		c.Assert(o.write("x"), qt.IsNil)
		c.Assert(o.Close(context.Background()), qt.IsNil)
		c.Assert(o.write("y"), qt.ErrorIs, journaler.ErrUnavailable)
		j, err := journaler.New(store.KV(), shard, journaler.WithSlots(16))
		c.Assert(err, qt.IsNil)
		recovery, err := j.Open(context.Background(), 2)
		c.Assert(err, qt.IsNil)
		c.Assert(recovery.Records(), qt.HasLen, 0)
		c.Assert(string(recovery.Snapshot()), qt.Equals, "x")
		j.Abort()
	})
	run(t, "a large state is written in chunks", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		var want []string
		for n := range 20 {
			want = append(want, fmt.Sprint(n)+strings.Repeat("x", 200<<10))
			c.Assert(o.write(want[n]), qt.IsNil)
		}
		c.Assert(o.Close(context.Background()), qt.IsNil)
		assertRecords(c, store, 2, want...)
	})
	run(t, "an oversized record is refused", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		c.Assert(o.Append(context.Background(), make([]byte, journaler.RecordLimit+1)), qt.ErrorIs, journaler.ErrTooLarge)
		o.Abort()
	})
	run(t, "a journal aborted while it opens doesn't open", func(c *qt.C, store *emulator.Store) {
		store.SetFaults(emulator.Down())
		j, err := journaler.New(store.KV(), shard)
		c.Assert(err, qt.IsNil)
		opened := make(chan error, 1)
		go func() {
			_, err := j.Open(context.Background(), 1)
			opened <- err
		}()
		result := make(chan error, 1)
		c.Assert(j.Enqueue([]byte("x"), func(err error) { result <- err }), qt.IsNil)
		time.Sleep(time.Second)
		j.Abort()
		c.Assert(<-result, qt.ErrorIs, journaler.ErrUnavailable)
		c.Assert(j.Close(context.Background()), qt.IsNil)
		store.SetFaults()
		c.Assert(<-opened, qt.ErrorIs, journaler.ErrUnavailable)
		<-j.Done()
	})
	run(t, "a journal can be aborted twice", func(c *qt.C, store *emulator.Store) {
		o := open(c, store, "a", 1)
		o.Abort()
		o.Abort()
		c.Assert(o.Close(context.Background()), qt.IsNil)
		c.Assert(o.write("x"), qt.ErrorIs, journaler.ErrUnavailable)
	})
}
