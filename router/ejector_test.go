package router_test

import (
	"testing"
	"time"

	"filberthaven.example/router"
	qt "github.com/frankban/quicktest"
)

// ejectorFixture is an Ejector with a fake clock and a service of four executors.
type ejectorFixture struct {
	*router.Ejector
	now time.Time
}

func newEjectorFixture() *ejectorFixture {
	e := &ejectorFixture{now: time.Unix(1000, 0)}
	e.Ejector = router.NewEjector(router.WithEjectorClock(func() time.Time { return e.now }))
	for _, executor := range []string{"a", "b", "c", "d"} {
		e.Avoid("prenota", executor) // Adds the executor to the service.
	}
	return e
}

// report begins and reports n requests to an executor.
func (e *ejectorFixture) report(executor string, n int, ok bool, latency time.Duration) {
	for range n {
		e.Begin("prenota", executor)
		e.Report("prenota", executor, ok, latency)
	}
}

func TestEjectFailures(t *testing.T) {
	c := qt.New(t)
	e := newEjectorFixture()
	e.report("a", 4, false, 0)
	e.report("a", 1, true, time.Millisecond)
	e.report("a", 4, false, 0)
	c.Assert(e.Avoid("prenota", "a"), qt.IsFalse)
	e.report("a", 1, false, 0)
	c.Assert(e.Avoid("prenota", "a"), qt.IsTrue)
	c.Assert(e.Avoid("other", "a"), qt.IsFalse)

	c.Run("one probe after the ejection time", func(c *qt.C) {
		e.now = e.now.Add(6 * time.Second)
		c.Assert(e.Avoid("prenota", "a"), qt.IsFalse)
		e.Begin("prenota", "a")
		c.Assert(e.Avoid("prenota", "a"), qt.IsTrue)
	})
	c.Run("a failed probe prolongs the ejection", func(c *qt.C) {
		e.Report("prenota", "a", false, 0)
		e.now = e.now.Add(9 * time.Second)
		c.Assert(e.Avoid("prenota", "a"), qt.IsTrue)
		e.now = e.now.Add(3 * time.Second)
		c.Assert(e.Avoid("prenota", "a"), qt.IsFalse)
	})
	c.Run("a successful probe reinstates the executor", func(c *qt.C) {
		e.report("a", 1, true, time.Millisecond)
		c.Assert(e.Ejected("prenota"), qt.HasLen, 0)
	})
}

func TestEjectAtMostHalf(t *testing.T) {
	c := qt.New(t)
	e := newEjectorFixture()
	for _, executor := range []string{"a", "b", "c", "d"} {
		e.report(executor, 20, false, 0)
	}
	c.Assert(e.Ejected("prenota"), qt.DeepEquals, []string{"a", "b"})
	c.Run("a removed executor allows no further ejection", func(c *qt.C) {
		e.Forget("prenota", "d")
		e.report("c", 20, false, 0)
		c.Assert(e.Ejected("prenota"), qt.DeepEquals, []string{"a", "b"})
	})
}

func TestEjectSlow(t *testing.T) {
	c := qt.New(t)
	e := newEjectorFixture()
	for range 40 {
		for _, executor := range []string{"b", "c", "d"} {
			e.report(executor, 1, true, 20*time.Millisecond)
		}
		if !e.Avoid("prenota", "a") {
			e.report("a", 1, true, 500*time.Millisecond)
		}
		e.now = e.now.Add(100 * time.Millisecond)
	}
	c.Assert(e.Ejected("prenota"), qt.DeepEquals, []string{"a"})
}
