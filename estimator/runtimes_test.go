package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"filberthaven.example/estimator"
	qt "github.com/frankban/quicktest"
)

// site draws steps and the run times of their tasks. The same seed repeats them.
type site struct {
	random      *rand.Rand
	center      time.Duration // usual run time
	spread      float64       // of the logarithms of the true run times of steps
	declaration float64       // spread of the logarithms of the errors of declarations
	factors     []float64     // run times on the workers as multiples of the usual
	tail        float64       // share of tasks that take seven times as long
}

func newSite(seed uint64, declaration float64) *site {
	return &site{random: rand.New(rand.NewPCG(seed, 1)), center: 2 * time.Second, spread: 0.5, declaration: declaration, factors: []float64{0.8, 1, 1.25}}
}

func (s *site) vary(d time.Duration, spread float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(spread*s.random.NormFloat64()))
}

// step returns the declared run time of a step and the run times of its tasks.
func (s *site) step(tasks int) (declared time.Duration, actual []time.Duration) {
	usual := s.vary(s.center, s.spread)
	for range tasks {
		factor := s.factors[s.random.IntN(len(s.factors))]
		if s.random.Float64() < s.tail {
			factor *= 7
		}
		actual = append(actual, time.Duration(float64(usual)*factor))
	}
	return s.vary(usual, s.declaration), actual
}

// observeSteps lets r learn from that many steps of a queue, and returns the mean absolute
// errors of the logarithms of the declared times corrected by a ratio, which were used
// before, of the forecasts, and of the forecasts by finished tasks of the same step. The first
// quarter of the steps does not count.
func (s *site) observeSteps(c *qt.C, r *estimator.RunTimes, queue string, steps, tasks int) (ratio, forecast, within float64) {
	var declaredWork, actualWork, n, nWithin float64
	for i := range steps {
		declared, actual := s.step(tasks)
		siblings := estimator.NewSiblings(tasks, 0, 0)
		if i == 0 {
			declaredWork, actualWork = declared.Seconds(), declared.Seconds()
		}
		for _, d := range actual {
			logActual := math.Log(d.Seconds())
			logError := func(f time.Duration) float64 { return math.Abs(math.Log(f.Seconds()) - logActual) }
			if i >= steps/4 {
				ratio += logError(time.Duration(float64(declared) * actualWork / declaredWork))
				forecast += logError(r.Expect(queue, "team", declared, estimator.Siblings{}).Typical())
				n++
				if siblings.Finished() > 0 {
					within += logError(r.Expect(queue, "team", declared, siblings).Typical())
					nWithin++
				}
			}
			actualWork += 0.02 * (d.Seconds() - actualWork)
			declaredWork += 0.02 * (declared.Seconds() - declaredWork)
			c.Assert(r.Observe(queue, "team", declared, d, &siblings), qt.IsNil)
		}
	}
	return ratio / n, forecast / n, within / max(1, nWithin)
}

// TestForecastError guards against forecasts that are worse than the declared times corrected
// by one ratio for each queue, which they replace: on uneven workers, with declarations off by
// several factors, and with a tail.
func TestForecastError(t *testing.T) {
	for _, tail := range []float64{0, 0.03} {
		for sigma, most := range map[float64]float64{0: 1.05, 0.2: 1, 0.5: 0.9, 0.9: 0.7} { // most error as a multiple of that before; true declarations leave nothing to learn
			t.Run(fmt.Sprintf("sigma %v, tail %v", sigma, tail), func(t *testing.T) {
				c := qt.New(t)
				s := newSite(7, sigma)
				s.tail = tail
				if tail > 0 {
					s.factors = []float64{0.55, 1.2, 1.2, 1.2}
				}
				before, after, within := s.observeSteps(c, estimator.NewRunTimes(), "queue", 800, 8)
				t.Logf("mean absolute error of log run time: %.3f before, %.3f by declarations, %.3f by tasks of the step", before, after, within)
				c.Assert(after <= most*before, qt.IsTrue)
				c.Assert(within <= after*1.05, qt.IsTrue)
			})
		}
	}
}

// TestUnknownQueue guards against a forecast other than the declared run time where nothing
// was observed, and against runs without a declared time.
func TestUnknownQueue(t *testing.T) {
	c := qt.New(t)
	r := estimator.NewRunTimes()
	var step estimator.Siblings
	c.Assert(r.Observe("queue", "team", 0, time.Second, &step), qt.IsNil)
	f := r.Expect("queue", "team", 3*time.Second, step)
	c.Assert(f.Known(), qt.IsFalse)
	c.Assert(f.Typical(), qt.Equals, 3*time.Second)
	c.Assert(f.Mean(), qt.Equals, 3*time.Second)
	assertNear(c, f.Remaining(time.Second), 2*time.Second)
}

// TestTruthful guards against forecasts that differ from declarations that are true.
func TestTruthful(t *testing.T) {
	c := qt.New(t)
	r, s := estimator.NewRunTimes(), newSite(1, 0)
	s.factors = []float64{1}
	s.observeSteps(c, r, "queue", 200, 4)
	for _, declared := range []time.Duration{time.Second / 2, 2 * time.Second, 8 * time.Second} {
		f := r.Expect("queue", "team", declared, estimator.Siblings{})
		assertNear(c, f.Typical(), declared)
		assertNear(c, f.Mean(), declared)
		assertNear(c, f.Remaining(declared/2), declared/2)
	}
}

// TestChangedRunTime guards against a queue whose run time has changed and is forecast as it
// was before.
func TestChangedRunTime(t *testing.T) {
	c := qt.New(t)
	r, s := estimator.NewRunTimes(), newSite(2, 0.9)
	s.observeSteps(c, r, "queue", 2000, 1)
	assertNear(c, r.Expect("queue", "team", s.center, estimator.Siblings{}).Typical(), s.center)
	s.center *= 4 // and the declarations with it, which carry little information
	s.observeSteps(c, r, "queue", 800, 1)
	got := r.Expect("queue", "team", s.center, estimator.Siblings{}).Typical()
	c.Assert(got > s.center*8/10 && got < s.center*12/10, qt.IsTrue, qt.Commentf("%v", got))
}

// TestWideStep guards against one wide step that outweighs many narrow ones.
func TestWideStep(t *testing.T) {
	c := qt.New(t)
	r, s := estimator.NewRunTimes(), newSite(3, 0)
	s.observeSteps(c, r, "queue", 100, 1)
	wide := estimator.NewSiblings(120, 0, 0)
	for range 120 {
		c.Assert(r.Observe("queue", "team", 2*time.Second, 20*time.Second, &wide), qt.IsNil)
	}
	assertNear(c, r.Expect("queue", "team", 2*time.Second, estimator.Siblings{}).Typical(), 2*time.Second)
	c.Assert(r.Expect("queue", "team", 2*time.Second, wide).Typical() > 15*time.Second, qt.IsTrue)
}

// TestTeams guards against one team whose declarations are off by its own factor, and which
// spoils the forecasts of others.
func TestTeams(t *testing.T) {
	c := qt.New(t)
	r := estimator.NewRunTimes()
	var step estimator.Siblings
	for i := range 600 {
		step = estimator.Siblings{}
		c.Assert(r.Observe("queue", fmt.Sprint(i%10), 2*time.Second, 2*time.Second, &step), qt.IsNil)
		if i%10 == 0 {
			step = estimator.Siblings{}
			c.Assert(r.Observe("queue", "off", 2*time.Second, 8*time.Second, &step), qt.IsNil)
		}
	}
	fair := r.Expect("queue", "1", 2*time.Second, estimator.Siblings{}).Typical()
	off := r.Expect("queue", "off", 2*time.Second, estimator.Siblings{}).Typical()
	c.Assert(fair < 2400*time.Millisecond && off > 6*time.Second, qt.IsTrue, qt.Commentf("%v, %v", fair, off))
}

// TestRemaining guards against a straggler that is expected to end at once, and against
// remaining times without a bound. Three tasks in a hundred take seven times as long.
func TestRemaining(t *testing.T) {
	c := qt.New(t)
	r, s := estimator.NewRunTimes(), newSite(4, 0)
	s.factors, s.tail = []float64{1}, 0.03
	s.observeSteps(c, r, "queue", 400, 4)
	f := r.Expect("queue", "team", 2*time.Second, estimator.Siblings{})
	straggler := f.Remaining(5 * time.Second)
	c.Assert(straggler > 7*time.Second && straggler < 12*time.Second, qt.IsTrue, qt.Commentf("%v", straggler))
	for age := time.Duration(0); age < time.Hour; age += time.Second {
		left := f.Remaining(age)
		c.Assert(left > 0 && left <= 10*f.Typical()+time.Millisecond, qt.IsTrue, qt.Commentf("%v after %v", left, age))
	}
}

// TestExtremes guards against single run times that are off by orders of magnitude and make
// the forecasts useless or invalid.
func TestExtremes(t *testing.T) {
	c := qt.New(t)
	r, s := estimator.NewRunTimes(), newSite(5, 0)
	s.observeSteps(c, r, "queue", 200, 1)
	for _, d := range []time.Duration{-1, 0, 1, math.MaxInt64} {
		var step estimator.Siblings
		c.Assert(r.Observe("queue", "team", 2*time.Second, d, &step), qt.IsNil)
		c.Assert(r.Observe("queue", "team", max(1, d), 2*time.Second, &step), qt.IsNil)
	}
	got := r.Expect("queue", "team", 2*time.Second, estimator.Siblings{}).Typical()
	c.Assert(got > 1500*time.Millisecond && got < 2700*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(r.Expect("queue", "team", math.MaxInt64, estimator.Siblings{}).Remaining(0) > 0, qt.IsTrue)
}

// TestEncoding guards against a state that loses knowledge, or grows without a bound: queues
// and teams come and go.
func TestEncoding(t *testing.T) {
	c := qt.New(t)
	r, s := estimator.NewRunTimes(), newSite(6, 0.5)
	for i := range 2000 {
		var step estimator.Siblings
		declared, actual := s.step(1)
		c.Assert(r.Observe(fmt.Sprint("old", i%100), fmt.Sprint("team", i), declared, actual[0], &step), qt.IsNil)
	}
	for i := range 24_000 {
		var step estimator.Siblings
		declared, actual := s.step(1)
		c.Assert(r.Observe(fmt.Sprint("queue", i%32), fmt.Sprint("team", i%20), declared, actual[0], &step), qt.IsNil)
		step = estimator.NewSiblings(8, 1, actual[0])
		c.Assert(r.Observe(fmt.Sprint("queue", i%32), fmt.Sprint("team", i%20), declared, actual[0], &step), qt.IsNil)
	}
	data, err := r.Encode()
	c.Assert(err, qt.IsNil)
	t.Logf("%d bytes", len(data))
	c.Assert(len(data) < 64<<10, qt.IsTrue)
	restored, err := estimator.DecodeRunTimes(data)
	c.Assert(err, qt.IsNil)
	for _, name := range []string{"queue0", "queue31"} {
		want, got := r.Expect(name, "team1", 3*time.Second, estimator.Siblings{}), restored.Expect(name, "team1", 3*time.Second, estimator.Siblings{})
		c.Assert(got.Known(), qt.IsTrue)
		c.Assert(math.Abs(got.Typical().Seconds()/want.Typical().Seconds()-1) < 0.001, qt.IsTrue)
		c.Assert(math.Abs(got.Remaining(9*time.Second).Seconds()/want.Remaining(9*time.Second).Seconds()-1) < 0.1, qt.IsTrue)
	}
	c.Assert(len(restored.Summaries()), qt.Equals, 32)
	for cut := range data {
		if damaged, err := estimator.DecodeRunTimes(data[:cut]); err == nil {
			c.Assert(damaged.Summaries(), qt.HasLen, 0)
		}
	}
}

func BenchmarkRunTimes(b *testing.B) {
	c := qt.New(b)
	r, s := estimator.NewRunTimes(), newSite(8, 0.5)
	s.observeSteps(c, r, "queue", 1000, 2)
	b.Run("observe", func(b *testing.B) {
		for b.Loop() {
			step := estimator.NewSiblings(8, 2, s.center)
			c.Check(r.Observe("queue", "team", s.center, s.vary(s.center, 0.5), &step), qt.IsNil)
		}
	})
	b.Run("expect", func(b *testing.B) {
		for b.Loop() {
			r.Expect("queue", "team", s.center, estimator.Siblings{})
		}
	})
	b.Run("remaining", func(b *testing.B) {
		f := r.Expect("queue", "team", s.center, estimator.Siblings{})
		for b.Loop() {
			f.Remaining(3 * time.Second)
		}
	})
}

// TestFullWindow guards against a remaining time that is not a number: the errors of the previous
// window weigh nothing once the current one is full.
func TestFullWindow(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(4) {
		r, random := estimator.NewRunTimes(), rand.New(rand.NewPCG(seed, 3))
		for range 3000 {
			factor := math.Exp(0.9 * random.NormFloat64())
			if random.IntN(33) == 0 {
				factor *= 7
			}
			var step estimator.Siblings
			c.Assert(r.Observe("queue", "team", time.Second, time.Duration(factor*float64(time.Second)), &step), qt.IsNil)
			state, err := r.Encode()
			c.Assert(err, qt.IsNil)
			restored, err := estimator.DecodeRunTimes(state)
			c.Assert(err, qt.IsNil)
			expected := restored.Expect("queue", "team", time.Second, estimator.Siblings{})
			for age := time.Second; age <= time.Minute; age *= 2 {
				c.Assert(expected.Remaining(age) >= 0, qt.IsTrue, qt.Commentf("seed %d, age %v: %v", seed, age, expected.Remaining(age)))
			}
		}
	}
}
