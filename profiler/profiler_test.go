package profiler_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"filberthaven.example/profiler"
	"github.com/frankban/quicktest"
)

// fleet plays runs on workers whose speeds are known.
type fleet struct {
	*quicktest.C
	*profiler.Profiler
	random  *rand.Rand
	workers []*profiler.Worker
	factors []float64 // run time on each worker as a multiple of the usual
	runs    []int     // of each worker
	noise   float64   // spread of the run times of a step
	tail    float64   // fraction of runs that take seven times as long
	now     time.Duration
}

func newFleet(t *testing.T, seed uint64, factor func(worker int) float64) *fleet {
	f := &fleet{C: quicktest.New(t), Profiler: profiler.New(), random: rand.New(rand.NewPCG(seed, 3)), noise: 0.25, tail: 0.03, runs: make([]int, 100)}
	for n := range f.runs {
		f.workers = append(f.workers, &profiler.Worker{})
		f.factors = append(f.factors, factor(n))
	}
	return f
}

// play plays that many steps of three tasks, and classifies the workers after each ten.
func (f *fleet) play(steps int) {
	for n := range steps {
		var g profiler.Group
		usual := math.Exp(f.random.NormFloat64())
		for _, i := range f.random.Perm(len(f.workers))[:3] {
			runTime := usual * f.factors[i] * math.Exp(f.noise*f.random.NormFloat64())
			if f.random.Float64() < f.tail {
				runTime *= 7
			}
			f.Observe(&g, f.workers[i], time.Duration(runTime*float64(time.Second)), f.now)
			f.runs[i]++
		}
		f.Compare(&g, f.now)
		f.now += 10 * time.Millisecond
		if n%10 == 0 {
			f.Classify(slices.Values(f.workers), f.now)
		}
	}
}

// runsUntil plays until the worker is of the class, and returns how many runs it has had by then.
func (f *fleet) runsUntil(worker int, class profiler.Class) int {
	before := f.runs[worker]
	for f.workers[worker].Class() != class && f.runs[worker]-before < 100 {
		f.play(1)
	}
	return f.runs[worker] - before
}

// misclassified returns how many workers are not of the class that want returns.
func (f *fleet) misclassified(want func(worker int) profiler.Class) int {
	wrong := 0
	for n, w := range f.workers {
		if w.Class() != want(n) {
			wrong++
		}
	}
	return wrong
}

func equal(int) float64 { return 1 }

// TestEqualWorkers guards against classes made of noise: with equal workers, no worker may
// be fast or slow at any time.
func TestEqualWorkers(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, seed, equal)
		f.noise, f.tail = []float64{0.15, 0.3}[seed%2], []float64{0, 0.03, 0.03}[seed%3]
		for range 1000 {
			f.play(10)
			f.Assert(f.misclassified(func(int) profiler.Class { return profiler.Usual }), quicktest.Equals, 0)
		}
		f.Assert(f.IsOpen(), quicktest.IsFalse)
	}
}

// TestUnevenWorkers guards against speeds that are learned late or wrongly although they differ
// clearly, also with stragglers.
func TestUnevenWorkers(t *testing.T) {
	t.Run("a quarter is fast", func(t *testing.T) {
		f := newFleet(t, 1, func(n int) float64 { return []float64{0.55, 1.2, 1.2, 1.2}[n%4] })
		f.play(1000)
		f.Assert(f.IsOpen(), quicktest.IsTrue)
		wrong := f.misclassified(func(n int) profiler.Class { return []profiler.Class{profiler.Fast, 0, 0, 0}[n%4] })
		f.Assert(wrong <= 3, quicktest.IsTrue, quicktest.Commentf("%d workers", wrong))
	})
	t.Run("three speeds", func(t *testing.T) {
		f := newFleet(t, 1, func(n int) float64 { return []float64{0.8, 1, 1.25}[n%3] })
		f.play(2000)
		wrong := f.misclassified(func(n int) profiler.Class { return profiler.Class(n%3 - 1) })
		f.Assert(wrong <= 15, quicktest.IsTrue, quicktest.Commentf("%d workers", wrong))
		for n, w := range f.workers {
			f.Assert(w.Class() == profiler.Fast && n%3 == 2 || w.Class() == profiler.Slow && n%3 == 0, quicktest.IsFalse)
		}
	})
}

// TestChangeOfSpeed guards against a speed that sticks: a worker that becomes five times as slow,
// and later is as before, has to be recognised within some ten runs both times, also if it
// is the only one of its speed.
func TestChangeOfSpeed(t *testing.T) {
	fleets := map[string]func(int) float64{"equal": equal, "uneven": func(n int) float64 { return []float64{1.2, 0.55, 1.2, 1.2}[n%4] }}
	for name, factor := range fleets {
		for seed := range uint64(5) {
			t.Run(name+" "+strconv.Itoa(int(seed)), func(t *testing.T) {
				f := newFleet(t, seed, factor)
				f.play(1000)
				f.Assert(f.workers[0].Class(), quicktest.Equals, profiler.Usual)
				f.factors[0] *= 5
				slow := f.runsUntil(0, profiler.Slow)
				f.play(100)
				f.factors[0] /= 5
				usual := f.runsUntil(0, profiler.Usual)
				t.Logf("slow after %d runs, usual after %d", slow, usual)
				f.Assert(slow <= 12 && usual <= 12, quicktest.IsTrue, quicktest.Commentf("slow after %d runs, usual after %d", slow, usual))
			})
		}
	}
}

// TestWithoutRuns guards against a worker that stays slow for good since nothing starts on it.
func TestWithoutRuns(t *testing.T) {
	f := newFleet(t, 1, func(n int) float64 { return []float64{1.2, 0.55, 1.2, 1.2}[n%4] })
	f.play(1000)
	f.Assert(f.workers[1].Class(), quicktest.Equals, profiler.Fast)
	f.Assert(f.workers[1].Factor() < 0.7, quicktest.IsTrue)
	f.Classify(slices.Values(f.workers), f.now+2*time.Minute)
	f.Assert(f.workers[1].Class(), quicktest.Equals, profiler.Usual)
	f.Assert(f.workers[1].Factor(), quicktest.Equals, 1.0)
}

// TestLoneRuns guards against evidence from runs that can be compared with nothing.
func TestLoneRuns(t *testing.T) {
	f := newFleet(t, 1, equal)
	var g profiler.Group
	f.Observe(&g, f.workers[0], time.Hour, 0)
	f.Observe(&g, f.workers[1], 0, 0)
	f.Compare(&g, 0)
	f.Assert(*f.workers[0], quicktest.Equals, profiler.Worker{})
}
