package keeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// answer is what a watch returns.
type answer struct {
	entries []keeper.Entry
	next    uint64
	err     error
}

// fed returns a mirror whose watches are answered from the channel, and runs it.
func fed(c *qt.C) (*keeper.Mirror, chan<- answer) {
	c.Helper()
	answers := make(chan answer)
	mirror := keeper.NewMirror(keeper.Store{
		Watch: func(ctx context.Context, _ string, _ uint64) ([]keeper.Entry, uint64, error) {
			select {
			case a := <-answers:
				return a.entries, a.next, a.err
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		},
	}, "live/")
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go func() { _ = mirror.Run(ctx) }()
	return mirror, answers
}

// put returns a watch's answer with one entry.
func put(key, value string, version uint64) answer {
	return answer{entries: []keeper.Entry{keeper.NewEntry(key, []byte(value), version, false)}, next: version}
}

// shows asserts what the mirror holds for a key.
func shows(c *qt.C, mirror *keeper.Mirror, key, value string) {
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
	run("never goes back", func(c *qt.C) {
		mirror, answers := fed(c)
		answers <- put("live/a", "new", 7)
		answers <- put("live/a", "old", 5)
		shows(c, mirror, "live/a", "new")
		mirror.Merge(keeper.NewEntry("live/a", []byte("older"), 3, false))
		shows(c, mirror, "live/a", "new")
	})
	run("a deletion isn't undone by an older version", func(c *qt.C) {
		mirror, answers := fed(c)
		answers <- put("live/a", "x", 3)
		answers <- answer{entries: []keeper.Entry{keeper.NewEntry("live/a", nil, 8, true)}, next: 8}
		answers <- put("live/a", "x", 3)
		synctest.Wait()
		_, ok := mirror.Get("live/a")
		c.Assert(ok, qt.IsFalse)
		c.Assert(mirror.List("live/"), qt.HasLen, 0)
	})
	run("subscribers are told of what is held and what changes", func(c *qt.C) {
		mirror, answers := fed(c)
		answers <- put("live/a/1", "x", 1)
		synctest.Wait()
		var told []string
		mirror.Subscribe("live/a/", func(e keeper.Entry) { told = append(told, e.Key()+"="+string(e.Value())) })
		answers <- put("live/b/1", "y", 2)
		answers <- put("live/a/1", "z", 3)
		synctest.Wait()
		c.Assert(told, qt.DeepEquals, []string{"live/a/1=x", "live/a/1=z"})
	})
	run("contact is unbroken until an error", func(c *qt.C) {
		mirror, answers := fed(c)
		c.Assert(mirror.ConnectedFor(), qt.Equals, time.Duration(0))
		for range 10 {
			answers <- answer{}
			time.Sleep(time.Second)
		}
		c.Assert(mirror.ConnectedFor() >= 9*time.Second, qt.IsTrue)
		answers <- answer{err: keeper.ErrUnavailable}
		synctest.Wait()
		c.Assert(mirror.ConnectedFor(), qt.Equals, time.Duration(0))
		answers <- answer{}
		time.Sleep(time.Second)
		c.Assert(mirror.ConnectedFor() <= time.Second, qt.IsTrue)
	})
	run("contact is broken by a long silence, also for a paused process", func(c *qt.C) {
		mirror, answers := fed(c)
		answers <- answer{}
		time.Sleep(3 * time.Second)
		c.Assert(mirror.ConnectedFor(), qt.Equals, time.Duration(0))
		answers <- answer{}
		synctest.Wait()
		c.Assert(mirror.ConnectedFor(), qt.Equals, time.Duration(0))
		time.Sleep(time.Second)
		c.Assert(mirror.ConnectedFor(), qt.Equals, time.Second)
	})
}
