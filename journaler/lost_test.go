package journaler_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// openOn opens the journal in kv.
func openOn(c *qt.C, kv keeper.Store) *journaler.Journaler {
	c.Helper()
	j, err := journaler.New(kv, shard)
	c.Assert(err, qt.IsNil)
	c.Cleanup(j.Abort)
	_, err = j.Open(context.Background(), 1)
	c.Assert(err, qt.IsNil)
	return j
}

// enqueue enqueues a record and returns a channel that receives its outcome.
func enqueue(c *qt.C, j *journaler.Journaler, record []byte) <-chan error {
	c.Helper()
	result := make(chan error, 1)
	c.Assert(j.Enqueue(record, func(err error) { result <- err }), qt.IsNil)
	return result
}

// losePuts returns kv with puts that are lost while *lost is positive. The caller of a lost
// put waits until its context ends, as on a connection on which no answer comes.
func losePuts(kv keeper.Store, lost *int) keeper.Store {
	put := kv.Put
	kv.Put = func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
		if *lost > 0 {
			*lost--
			<-ctx.Done()
			return 0, keeper.ErrOutcomeUnknown
		}
		return put(ctx, key, value, expect, lease)
	}
	return kv
}

// TestLostAnswer checks that a write without an answer is made again before the journal
// counts as stalled and refuses the records behind it.
func TestLostAnswer(t *testing.T) {
	run(t, "the records behind it are accepted", func(c *qt.C, store *emulator.Store) {
		lost := 0
		j := openOn(c, losePuts(store.KV(), &lost))
		lost = 1
		first := enqueue(c, j, []byte("x"))
		time.Sleep(100 * time.Millisecond)
		second := enqueue(c, j, []byte("y"))
		c.Assert(<-first, qt.IsNil)
		c.Assert(<-second, qt.IsNil)
		c.Assert(j.Available(), qt.IsTrue)
	})
	run(t, "the journal opens", func(c *qt.C, store *emulator.Store) {
		lost := 1
		startedAt := time.Now()
		openOn(c, losePuts(store.KV(), &lost))
		c.Assert(time.Since(startedAt) < time.Second, qt.IsTrue)
	})
}

// TestSlowStore checks that a write to a slow store over a slow link is made only once.
func TestSlowStore(t *testing.T) {
	const (
		slowAnswer  = 360 * time.Millisecond // 90 times the usual
		timePerByte = 1067 * time.Nanosecond // in base64 at 10 Mbit/s
	)
	for name, size := range map[string]int{"small record": 1, "large record": journaler.PartLimit} {
		run(t, name, func(c *qt.C, store *emulator.Store) {
			puts := 0
			kv := store.KV()
			put := kv.Put
			kv.Put = func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
				puts++
				time.Sleep(slowAnswer + time.Duration(len(value))*timePerByte)
				version, err := put(context.WithoutCancel(ctx), key, value, expect, lease)
				if ctx.Err() != nil {
					return 0, keeper.ErrOutcomeUnknown
				}
				return version, err
			}
			j := openOn(c, kv)
			record := make([]byte, size)
			_, _ = rand.NewChaCha8([32]byte{}).Read(record) // can't fail
			before := puts
			c.Assert(<-enqueue(c, j, record), qt.IsNil)
			c.Assert(puts-before, qt.Equals, 1)
		})
	}
}
