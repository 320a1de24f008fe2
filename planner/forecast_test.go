package planner

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// newLearningFixture returns a fixture whose planner learns run times.
func newLearningFixture(t *testing.T, workers int) *fixture {
	f := newFixture(t, 0)
	config := f.p.config
	f.p, f.now = New(WithLearnedRunTimes()), second
	f.p.Configure(config, 0)
	for i := range workers {
		f.addWorker("w" + strconv.Itoa(i))
	}
	return f
}

// runJobs runs that many jobs of one task, each on w0 for that time.
func (f *fixture) runJobs(name string, n int, runTime time.Duration) {
	for i := range n {
		f.submit(name+strconv.Itoa(i), newStep(1))
		start := f.starts()[0]
		f.now += runTime
		f.listEnd(start, f.p.worker(start.Worker).lastSerial+1, Done)
	}
}

// observedSteps returns how many steps of the queue q were observed.
func (f *fixture) observedSteps() float64 {
	for _, q := range f.p.LearnedRunTimes() {
		return q.Steps
	}
	return 0
}

// TestTruthfulDeclarations guards against learned run times that change the results of a site
// whose declarations are true: the jobs that end in a replay, those refused, and the objectives.
func TestTruthfulDeclarations(t *testing.T) {
	c := quicktest.New(t)
	var ended, refused [2]float64
	for i, options := range [][]Option{nil, {WithLearnedRunTimes()}} {
		for seed := range uint64(10) {
			r := newReplay(t, largeLoad(), 275, 0.25, seed, options...)
			r.noise = 0.05
			r.run(3*second, 1)
			r.run(3*second, 2)
			r.run(4*second, 1)
			ended[i] += float64(len(r.lasts))
			refused[i] += float64(r.refused) / float64(r.jobs)
			for _, q := range r.p.LearnedRunTimes() {
				c.Check(math.Abs(q.Ratio-1) < 0.12, quicktest.IsTrue, quicktest.Commentf("%+v", q))
			}
		}
	}
	t.Logf("ended and refused, before and after: %v, %v", ended, refused)
	c.Assert(math.Abs(ended[1]/ended[0]-1) < 0.03, quicktest.IsTrue)
	c.Assert(math.Abs(refused[1]-refused[0]) < 0.03, quicktest.IsTrue)
}

// TestWrongDeclarations guards against forecasts in a whole replay that are worse than the
// declared run times, where these are off by log-normal factors.
func TestWrongDeclarations(t *testing.T) {
	for _, sigma := range []float64{0.2, 0.5, 0.9} {
		r := newReplay(t, largeLoad(), 275, 0.25, 1, WithLearnedRunTimes())
		r.declared = sigma
		r.run(10*second, 1)
		for _, q := range r.p.LearnedRunTimes() {
			t.Logf("off by e^%v: %+v", sigma, q)
			r.Check(q.Error < q.DeclaredError, quicktest.IsTrue)
		}
	}
}

// TestRunsNotLearned guards against run times learned from runs that tell nothing of their
// step: failed, stopped, resumed or inherited ones, those of tasks that may crash workers, and
// each member of a gang.
func TestRunsNotLearned(t *testing.T) {
	tells := map[string]func(*Planner, *run){
		"resumed":          func(_ *Planner, r *run) { r.resumed = true },
		"to be stopped":    func(p *Planner, r *run) { p.stop(r) },
		"stop answered":    func(_ *Planner, r *run) { r.phase = phaseStopAnswered },
		"suspect":          func(_ *Planner, r *run) { r.step.setSuspect(r.taskIndex, true) },
		"inherited":        func(_ *Planner, r *run) { r.decidedAt = 0 },
		"silent worker":    func(p *Planner, _ *run) { p.HeartbeatMissed("w0") },
		"repeated":         func(_ *Planner, r *run) { r.repeated = true },
		"crashed a worker": func(_ *Planner, r *run) { r.step.tasks[r.taskIndex].crashes.crashes = make([]Crash, 1) },
		RunFailed:          func(*Planner, *run) {},
		Stopped:            func(*Planner, *run) {},
	}
	for name, apply := range tells {
		t.Run(name, func(t *testing.T) {
			f := newLearningFixture(t, 1)
			f.runJobs("known", 4, second)
			f.submit("j", newStep(1))
			start := f.starts()[0]
			apply(f.p, f.p.worker("w0").runs[runKey{start.Task, start.Number}])
			f.now += 50 * second
			result := Done
			if name == RunFailed || name == Stopped {
				result = name
			}
			f.listEnd(start, 5, result)
			f.Assert(f.observedSteps(), quicktest.Equals, 4.0)
		})
	}
	t.Run("gang", func(t *testing.T) {
		f := newLearningFixture(t, 2)
		f.runJobs("known", 4, second)
		f.submit("gang", newWideGang())
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 2)
		f.now += second
		for _, start := range starts {
			f.listEnd(start, f.p.worker(start.Worker).lastSerial+1, Done)
		}
		f.Assert(f.observedSteps(), quicktest.Equals, 5.0)
	})
}

// TestRunTimesOverTakeover guards against a new owner that has forgotten what was learned, and
// against snapshots that an owner with or without learned run times can't read.
func TestRunTimesOverTakeover(t *testing.T) {
	f := newLearningFixture(t, 2)
	f.runJobs("known", 40, 5*second)
	f.submit("wide", newStep(3))
	starts := f.starts()
	f.now += 20 * second
	f.listEnd(starts[0], f.p.worker(starts[0].Worker).lastSerial+1, Done)
	s, _ := f.p.stepOf("wide.0.0.1")
	want := f.p.expected(s)
	state, err := f.p.Snapshot(f.now, wall+f.now.Milliseconds())
	f.Assert(err, quicktest.IsNil)
	config := f.p.config
	restore := func(p *Planner, state []byte) *step {
		f.Assert(p.Restore(state, nil, f.now, wall+f.now.Milliseconds(), f.now), quicktest.IsNil)
		p.Configure(config, f.now)
		s, _ := p.stepOf("wide.0.0.1")
		return s
	}
	next := New(WithLearnedRunTimes())
	s = restore(next, state)
	f.Assert(math.Abs(next.expected(s)/want-1) < 0.05, quicktest.IsTrue, quicktest.Commentf("%v, %v", next.expected(s), want))
	f.Assert(s.occurrence.job.objective() > 9*second, quicktest.IsTrue) // stretch 2
	older := New()
	s = restore(older, state)
	f.Assert(older.expected(s), quicktest.Equals, 1000.0)
	state, err = older.Snapshot(f.now, wall+f.now.Milliseconds())
	f.Assert(err, quicktest.IsNil)
	next = New(WithLearnedRunTimes())
	restore(next, state)
	f.Assert(next.LearnedRunTimes(), quicktest.HasLen, 0)
}

// TestObjectiveKept guards against the place of a waiting job that changes with each run that
// ends: its objective is that of its admission, and the work ahead follows the newest runs.
func TestObjectiveKept(t *testing.T) {
	f := newLearningFixture(t, 2)
	wide := newStep(1)
	wide.CPU = 5000 // fits nowhere
	f.submit("waits", wide)
	s, _ := f.p.stepOf("waits.0.0.0")
	before := f.p.rank(s.occurrence, 0)
	f.runJobs("known", 40, 5*second)
	f.Assert(f.p.rank(s.occurrence, 0), quicktest.Equals, before)
	f.Assert(f.p.expected(s) > 4500, quicktest.IsTrue)
	f.submit("later", wide)
	s, _ = f.p.stepOf("later.0.0.0")
	f.Assert(s.occurrence.job.objective() > 9*second, quicktest.IsTrue) // stretch 2
}

// TestRemainingTime guards against a run whose progress is not used, or is used when it tells
// nothing, and against one that is expected to end at once since it has run for long.
func TestRemainingTime(t *testing.T) {
	f := newLearningFixture(t, 1)
	f.runJobs("known", 40, 5*second)
	f.submit("runs", newStep(1))
	start := f.starts()[0]
	r := f.p.worker(start.Worker).runs[runKey{start.Task, start.Number}]
	assertLeft := func(least, most time.Duration) {
		f.Helper()
		left := f.p.remainingTime(r, f.now)
		f.Assert(left >= least && left <= most, quicktest.IsTrue, quicktest.Commentf("%v", left))
	}
	assertLeft(4500*time.Millisecond, 6500*time.Millisecond)
	f.now += 2 * second
	r.observeProgress(5, f.now)
	assertLeft(2500*time.Millisecond, 4500*time.Millisecond)
	r.observeProgress(20, f.now)
	assertLeft(8*second, 8*second)
	r.observeProgress(0, f.now)
	f.now += 20 * second
	assertLeft(5*second, 60*second)
	r.resumed, r.progressAt = true, 0
	r.observeProgress(60, f.now)
	assertLeft(second, 3*second)
	f.now += 2 * second
	r.observeProgress(80, f.now)
	assertLeft(2*second, 2*second)
}

// TestHugeDeclaration guards against a declared run time that overflows, and then counts as short or
// as negative.
func TestHugeDeclaration(t *testing.T) {
	for _, estimate := range []int64{9_223_372_036_855, 18_446_744_073_710, math.MaxInt64} {
		s := StepSpec{Estimate: estimate}
		quicktest.Check(t, s.declared() >= 99*365*24*time.Hour, quicktest.IsTrue, quicktest.Commentf("%d ms: %v", estimate, s.declared()))
	}
}
