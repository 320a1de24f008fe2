package conductor

import (
	"testing"
	"time"

	"filberthaven.example/keeper"
	"github.com/frankban/quicktest"
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
		slowdown float64
		delay    time.Duration // of each wake-up
		want     bool
	}{
		{"overloaded", 1.1, 80 * time.Millisecond, false},
		{"slow VM", 5, 80 * time.Millisecond, true},
		{"slow VM with spare time", 5, time.Millisecond, true},
		{"slow network", 1, time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var w wakeupWindow
			for range wakeupSamples {
				w.add(test.delay)
			}
			quicktest.Assert(t, mustHandOver(test.slowdown, w.saturated()), quicktest.Equals, test.want)
		})
	}
	t.Run("frozen once", func(t *testing.T) {
		var w wakeupWindow
		w.add(5 * time.Second)
		quicktest.Assert(t, w.saturated(), quicktest.IsFalse)
	})
}

// TestOverloadedOwnerStays checks that an owner whose orders take long because of its load
// keeps the ownership, and that one line with a count tells of it each second.
func TestOverloadedOwnerStays(t *testing.T) {
	now := time.Minute
	resigned := 0
	c, err := New(keeper.Store{}, nil, "vm", 1, WithClock(func() time.Duration { return now }), WithResignSlow(func() { resigned++ }))
	quicktest.Assert(t, err, quicktest.IsNil)
	for range wakeupSamples {
		c.wakeups.add(time.Second)
	}
	for range 10 * latencySamples {
		c.observeLatency(time.Second)
	}
	quicktest.Assert(t, resigned, quicktest.Equals, 0)
	quicktest.Assert(t, c.overloadLog.repeats > 0, quicktest.IsTrue)
	c.wakeups = wakeupWindow{}
	for range latencySamples {
		c.observeLatency(time.Second)
	}
	quicktest.Assert(t, resigned > 0, quicktest.IsTrue)
}
