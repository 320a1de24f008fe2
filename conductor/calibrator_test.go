package conductor

import (
	"bytes"
	"math"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthaven.example/keeper"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// TestCalibrator checks that only a lasting slowdown counts, not an interrupted sample.
func TestCalibrator(t *testing.T) {
	now, step := time.Duration(0), 20*time.Microsecond
	c := NewCalibrator(func() time.Duration { now += step; return now })
	quicktest.Assert(t, c.Slowdown(), quicktest.Equals, 1.0)
	step = 4 * time.Millisecond
	for range calibrationSamples - 1 {
		c.Sample()
	}
	quicktest.Assert(t, c.Slowdown(), quicktest.Equals, 1.0)
	step = 100 * time.Microsecond
	for range calibrationSamples {
		c.Sample()
	}
	quicktest.Assert(t, c.Slowdown(), quicktest.Equals, 5.0)
}

// TestHandOverOfSlowOwner checks which owners with slow orders give up the ownership. On
// padana-slot-large an overloaded owner gave it up, and each of its successors again.
func TestHandOverOfSlowOwner(t *testing.T) {
	for _, test := range []struct {
		name     string
		slowdown int // of the processor
		inFlight int // orders
		larger   bool
		want     bool
	}{
		{"overloaded", 1, 200, false, false},
		{"overloaded small VM", 1, 200, true, true},
		{"slow VM with much to do", 5, 200, false, true},
		{"slow VM with little to do", 5, 3, false, true},
		{"slow network", 1, 3, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now, step := time.Minute, 20*time.Microsecond
			resigned := false
			var log bytes.Buffer
			c, err := New(keeper.Store{}, nil, "vm", 1, WithClock(func() time.Duration { now += step; return now }), WithResignSlow(func() { resigned = true }),
				WithHasLargerPeer(func() bool { return test.larger }), WithLogger(hclog.New(&hclog.LoggerOptions{Output: &log})))
			quicktest.Assert(t, err, quicktest.IsNil)
			step *= time.Duration(test.slowdown)
			for range 2 * latencySamples {
				c.calibrator.Sample()
				c.observeLatency(time.Second, test.inFlight)
			}
			quicktest.Assert(t, resigned, quicktest.Equals, test.want)
			if !test.want {
				quicktest.Assert(t, strings.Count(log.String(), "keeping the ownership"), quicktest.Equals, 1, quicktest.Commentf("two full windows within a second"))
			}
		})
	}
}

// TestRunQueue checks that goroutines that wait for the only processor show as a saturated
// processor, and that this ends when they have ended.
func TestRunQueue(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var q runQueue
	q.update()
	quicktest.Assert(t, q.saturated(), quicktest.IsFalse)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for start := time.Now(); time.Since(start) < 5*time.Millisecond; {
			}
		})
	}
	wg.Wait()
	q.update()
	quicktest.Assert(t, q.saturated(), quicktest.IsTrue, quicktest.Commentf("%v", q.delay))
	time.Sleep(time.Millisecond)
	q.update()
	quicktest.Assert(t, q.saturated(), quicktest.IsFalse, quicktest.Commentf("%v", q.delay))
}

// TestQuantileSince checks quantiles of what a histogram has gained.
func TestQuantileSince(t *testing.T) {
	buckets := []float64{math.Inf(-1), 0.001, 0.01, 0.1, math.Inf(1)}
	before := []uint64{100, 0, 7, 0}
	quicktest.Check(t, quantileSince(nil, before, buckets, 0.5), quicktest.Equals, time.Duration(0))
	quicktest.Check(t, quantileSince(before, before, buckets, 0.5), quicktest.Equals, time.Duration(0))
	quicktest.Check(t, quantileSince(before, []uint64{101, 1, 7, 2}, buckets, 0.5), quicktest.Equals, time.Millisecond)
	quicktest.Check(t, quantileSince(before, []uint64{101, 1, 7, 2}, buckets, 0.75), quicktest.Equals, 100*time.Millisecond)
}
