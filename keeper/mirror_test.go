package keeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// response is the result of a watch.
type response struct {
	entries []keeper.Entry
	next    uint64
	err     error
}

// startMirror runs a mirror whose watches return the responses sent to the channel.
func startMirror(c *qt.C, options ...keeper.MirrorOption) (*keeper.Mirror, chan<- response) {
	c.Helper()
	responses := make(chan response)
	mirror := keeper.NewMirror(keeper.Store{
		Watch: func(ctx context.Context, _ string, _ uint64) ([]keeper.Entry, uint64, error) {
			select {
			case r := <-responses:
				return r.entries, r.next, r.err
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		},
	}, "live/", options...)
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go func() { _ = mirror.Run(ctx) }()
	return mirror, responses
}

// entryResponse returns a response with one entry.
func entryResponse(key, value string, version uint64) response {
	return response{entries: []keeper.Entry{keeper.NewEntry(key, []byte(value), version, false)}, next: version}
}

// assertValue asserts the value of a key in the mirror.
func assertValue(c *qt.C, mirror *keeper.Mirror, key, value string) {
	c.Helper()
	synctest.Wait()
	entry, ok := mirror.Get(key)
	c.Assert(ok, qt.IsTrue)
	c.Assert(string(entry.Value()), qt.Equals, value)
}

func TestMirror(t *testing.T) {
	run := func(name string, check func(*qt.C)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { check(qt.New(t)) })
		})
	}
	run("an entry is not replaced by an older version", func(c *qt.C) {
		mirror, responses := startMirror(c)
		responses <- entryResponse("live/a", "new", 7)
		responses <- entryResponse("live/a", "old", 5)
		assertValue(c, mirror, "live/a", "new")
		mirror.Merge(keeper.NewEntry("live/a", []byte("older"), 3, false))
		assertValue(c, mirror, "live/a", "new")
	})
	run("a deletion isn't undone by an older version", func(c *qt.C) {
		mirror, responses := startMirror(c)
		responses <- entryResponse("live/a", "x", 3)
		responses <- response{entries: []keeper.Entry{keeper.NewEntry("live/a", nil, 8, true)}, next: 8}
		responses <- entryResponse("live/a", "x", 3)
		synctest.Wait()
		_, ok := mirror.Get("live/a")
		c.Assert(ok, qt.IsFalse)
		c.Assert(mirror.List("live/"), qt.HasLen, 0)
	})
	run("subscribers are notified of existing entries and of changes", func(c *qt.C) {
		mirror, responses := startMirror(c)
		responses <- entryResponse("live/a/1", "x", 1)
		synctest.Wait()
		var notified []string
		mirror.Subscribe("live/a/", func(e keeper.Entry) { notified = append(notified, e.Key()+"="+string(e.Value())) })
		responses <- entryResponse("live/b/1", "y", 2)
		responses <- entryResponse("live/a/1", "z", 3)
		synctest.Wait()
		c.Assert(notified, qt.DeepEquals, []string{"live/a/1=x", "live/a/1=z"})
	})
	run("the mirror is connected until an error", func(c *qt.C) {
		mirror, responses := startMirror(c)
		c.Assert(mirror.ConnectedFor(), qt.Equals, time.Duration(0))
		for range 10 {
			responses <- response{}
			time.Sleep(time.Second)
		}
		c.Assert(mirror.ConnectedFor() >= 9*time.Second, qt.IsTrue)
		responses <- response{err: keeper.ErrUnavailable}
		synctest.Wait()
		c.Assert(mirror.ConnectedFor(), qt.Equals, time.Duration(0))
		responses <- response{}
		time.Sleep(time.Second)
		c.Assert(mirror.ConnectedFor() <= time.Second, qt.IsTrue)
	})
	run("the mirror stays fresh after an error, and not after a suspension", func(c *qt.C) {
		suspended := time.Duration(0)
		started := time.Now()
		mirror, responses := startMirror(c, keeper.WithClock(func() time.Duration { return time.Since(started) + suspended }))
		c.Assert(mirror.Fresh(time.Hour), qt.IsFalse)
		responses <- response{}
		synctest.Wait()
		responses <- response{err: keeper.ErrUnavailable}
		time.Sleep(time.Second)
		c.Assert(mirror.Fresh(2*time.Second), qt.IsTrue)
		time.Sleep(2 * time.Second)
		c.Assert(mirror.Fresh(2*time.Second), qt.IsFalse)
		responses <- response{}
		synctest.Wait()
		c.Assert(mirror.Fresh(2*time.Second), qt.IsTrue)
		suspended = 5 * time.Second
		c.Assert(mirror.Fresh(2*time.Second), qt.IsFalse)
	})
	run("a gap without responses disconnects the mirror", func(c *qt.C) {
		mirror, responses := startMirror(c)
		responses <- response{}
		time.Sleep(3 * time.Second)
		c.Assert(mirror.ConnectedFor(), qt.Equals, time.Duration(0))
		responses <- response{}
		synctest.Wait()
		c.Assert(mirror.ConnectedFor(), qt.Equals, time.Duration(0))
		time.Sleep(time.Second)
		c.Assert(mirror.ConnectedFor(), qt.Equals, time.Second)
	})
}
