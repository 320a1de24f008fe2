package estimator_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"filberthaven.example/estimator"
	qt "github.com/frankban/quicktest"
)

func newEstimator(c *qt.C, options ...estimator.Option) *estimator.Estimator {
	e, err := estimator.New(options...)
	c.Assert(err, qt.IsNil)
	return e
}

// observe records runs of a job name of the team north.
func observe(c *qt.C, e *estimator.Estimator, name string, runs int, actual, declared time.Duration) {
	for range runs {
		c.Assert(e.ObserveRunTime("north", name, actual, declared), qt.IsNil)
	}
}

func assertNear(c *qt.C, got, want time.Duration) {
	c.Helper()
	c.Assert(got > want*9/10 && got < want*11/10, qt.IsTrue, qt.Commentf("%v is not near %v", got, want))
}

func TestRunTime(t *testing.T) {
	c := qt.New(t)
	c.Run("declared run time without observations", func(c *qt.C) {
		e := newEstimator(c)
		c.Assert(e.RunTime("north", "rebuild", 0.5, time.Minute), qt.Equals, time.Minute)
	})
	c.Run("runs of the name replace the declared run time", func(c *qt.C) {
		e := newEstimator(c)
		observe(c, e, "rebuild", 5, 10*time.Minute, time.Minute)
		assertNear(c, e.RunTime("north", "rebuild", 0.5, time.Minute), 10*time.Minute)
	})
	c.Run("new name is corrected by the ratio of its team", func(c *qt.C) {
		e := newEstimator(c)
		observe(c, e, "rebuild", 5, 10*time.Minute, time.Minute)
		assertNear(c, e.RunTime("north", "tariff", 0.5, 2*time.Minute), 20*time.Minute)
		c.Assert(e.RunTime("south", "tariff", 0.5, 2*time.Minute), qt.Equals, 2*time.Minute)
	})
	c.Run("old runs lose their weight", func(c *qt.C) {
		e := newEstimator(c, estimator.WithWindow(16))
		observe(c, e, "rebuild", 100, time.Hour, 0)
		observe(c, e, "rebuild", 32, time.Minute, 0)
		assertNear(c, e.RunTime("north", "rebuild", 0.5, 0), time.Minute)
	})
	c.Run("quantiles follow the distribution", func(c *qt.C) {
		e := newEstimator(c, estimator.WithWindow(1000))
		for i := range 1000 {
			c.Assert(e.ObserveRunTime("north", "rebuild", time.Duration(i+1)*time.Second, 0), qt.IsNil)
		}
		assertNear(c, e.RunTime("north", "rebuild", 0.5, 0), 500*time.Second)
		assertNear(c, e.RunTime("north", "rebuild", 0.9, 0), 900*time.Second)
	})
}

func TestEviction(t *testing.T) {
	c := qt.New(t)
	e := newEstimator(c, estimator.WithMaxNames(10))
	for i := range 100 {
		observe(c, e, fmt.Sprint(i), 3, time.Hour, 0)
		observe(c, e, "kept", 1, time.Minute, 0)
	}
	c.Assert(e.NameCount(), qt.Equals, 10)
	assertNear(c, e.RunTime("north", "kept", 0.5, 0), time.Minute)
	c.Assert(e.RunTime("north", "0", 0.5, 0), qt.Equals, time.Duration(0))
	c.Assert(e.ObserveMemory("north", "kept", 512), qt.IsNil)
	c.Assert(e.Memory("north", "kept", 0.9), qt.Equals, int64(0))
}

func BenchmarkObserve(b *testing.B) {
	c := qt.New(b)
	e := newEstimator(c)
	for i := 0; b.Loop(); i++ {
		c.Assert(e.ObserveRunTime("north", fmt.Sprint(i%1024), time.Duration(i)*time.Second, time.Minute), qt.IsNil)
	}
}

// BenchmarkMemory reports the heap that a name with many runs takes.
func BenchmarkMemory(b *testing.B) {
	c := qt.New(b)
	const names, runs = 1024, 130
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		e := newEstimator(c)
		for i := range names * runs {
			c.Assert(e.ObserveRunTime("north", fmt.Sprint(i%names), time.Duration(i%977)*time.Second, 0), qt.IsNil)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/names, "B/name")
		runtime.KeepAlive(e)
	}
}
