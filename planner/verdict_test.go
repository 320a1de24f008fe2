package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestCombinedChance checks the probability that crashes come by chance against that of a
// sum of exponential variates.
func TestCombinedChance(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range []struct {
		chances []float64
		want    float64
	}{
		{nil, 1},
		{[]float64{1, 1, 1}, 1},
		{[]float64{0, 0.01}, 0.01},
		{[]float64{0.01}, 0.01},
		{[]float64{0.01, 1}, 0.01},
		{[]float64{0.1, 0.1}, 0.0560},
		{[]float64{0.01, 0.01}, 0.00102},
		{[]float64{0.35, 0.35, 0.35, 0.35, 0.35}, 0.398},
	} {
		got := combinedChance(test.chances)
		c.Check(got > 0.98*test.want && got < 1.02*test.want, quicktest.IsTrue, quicktest.Commentf("%v: %g", test.chances, got))
	}
}

// lostPromptly starts the task of a job that many times, each time on a worker whose machine
// refuses connections right after that, until its leases have expired. It returns the workers.
func lostPromptly(f *crashFixture, times int) []string {
	f.Helper()
	var lost []string
	for range times {
		id := f.startAgain().Worker
		lost = append(lost, id)
		f.now += 10 * time.Millisecond
		f.p.ObserveClosed(id, f.now)
		f.expire(id)
	}
	f.assertNoStart()
	return lost
}

// TestTaskWaitsForFateOfWorkers checks that a task does not start while three workers that were
// lost right after its starts may have crashed (BUDGET), and that it does as soon as one is back
// as it was (LOST), also under the next owner.
func TestTaskWaitsForFateOfWorkers(t *testing.T) {
	takeOver := func(f *crashFixture) {
		f.record(Record{})
		f.takeOver(f.now)
		for id := range f.incarnation {
			f.addWorker(id)
			f.answer(id)
		}
	}
	snapshot := func(f *crashFixture) {
		state, err := f.p.Snapshot(f.now, wall+f.now.Milliseconds())
		f.Assert(err, quicktest.IsNil)
		config := f.p.config
		f.p = New()
		f.Assert(f.p.Restore(state, nil, f.now, wall+f.now.Milliseconds(), f.now), quicktest.IsNil)
		f.p.Configure(config, f.now)
		for id := range f.incarnation {
			f.addWorker(id)
			f.answer(id)
		}
	}
	for name, change := range map[string]func(*crashFixture){"same owner": func(*crashFixture) {}, "next owner": takeOver, "snapshot": snapshot} {
		t.Run(name, func(t *testing.T) {
			t.Run("back as it was", func(t *testing.T) {
				f := newCrashFixture(t, 6)
				f.submit("j", newStep(1))
				lost := lostPromptly(f, 3)
				change(f)
				f.now += second
				f.assertNoStart()
				f.returns(lost[1])
				f.Assert(f.starts(), quicktest.HasLen, 1)
				f.assertState("j", Running)
			})
			t.Run("next incarnations", func(t *testing.T) {
				f := newCrashFixture(t, 6)
				f.submit("j", newStep(1))
				lost := lostPromptly(f, 3)
				change(f)
				f.now += second
				for _, id := range lost {
					f.incarnation[id] = 1
					f.restart(id)
				}
				f.decide()
				f.Assert(f.p.FinalState("j"), quicktest.Equals, Failed)
			})
			t.Run("other workers at their addresses", func(t *testing.T) {
				f := newCrashFixture(t, 6)
				for _, w := range f.p.fleet {
					w.reg.Address = "address of " + w.reg.ID
				}
				f.submit("j", newStep(1))
				lost := lostPromptly(f, 3)
				change(f)
				f.now += second
				for _, id := range lost {
					next := "next of " + id
					f.addWorker(next)
					f.p.workers[next].reg.Address = "address of " + id
					f.incarnation[next] = 1
					f.answer(next)
				}
				f.decide()
				f.Assert(f.p.FinalState("j"), quicktest.Equals, Failed)
			})
		})
	}
}

// TestVerdictAppliesOnce checks that a record of what has become of a worker changes nothing
// when it is replayed again.
func TestVerdictAppliesOnce(t *testing.T) {
	f := newCrashFixture(t, 6)
	f.submit("j", newStep(1))
	lost := lostPromptly(f, 3)
	f.returns(lost[0])
	f.record(Record{})
	f.records = append(f.records, f.records...)
	f.takeOver(f.now)
	f.assertCrashes("j.0.0.0", 2)
}

// TestCommonCauseProvesNothing checks that crashes of workers that are lost together with
// many others do not prove that the task that was alone there is the cause (LOST).
func TestCommonCauseProvesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		others int
		want   State
	}{"alone": {0, Failed}, "with a third of the others": {8, ""}} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFixture(t, 24)
			f.submit("j", newStep(1))
			for range minPrompt {
				id := f.startAgain().Worker
				f.now += 10 * time.Millisecond
				lost := []string{id}
				for other := range f.incarnation {
					if other != id && len(lost) <= test.others {
						lost = append(lost, other)
					}
				}
				for _, l := range lost {
					f.p.ObserveClosed(l, f.now)
				}
				f.now += second
				for _, l := range lost {
					f.restart(l)
				}
				f.now += 30 * second
			}
			f.Assert(f.p.FinalState("j"), quicktest.Equals, test.want)
		})
	}
}

// TestTaskIsGivenUpBesideOpenLoss checks that a task is given up with its fifth lost worker
// although it is not known whether the first one has crashed, and none of them has answered
// the start (BUDGET; deadly10.toml --seed 31).
func TestTaskIsGivenUpBesideOpenLoss(t *testing.T) {
	f := newCrashFixture(t, 8)
	f.submit("j", newStep(1))
	f.expire(f.startAgain().Worker)
	s, _ := f.p.stepOf("j.0.0.0")
	for range minLosses - 1 {
		f.Assert(f.p.FinalState("j"), quicktest.Equals, State(""))
		f.decide() // expires the leases of the first worker
		s.setSuspect(0, true)
		starts := f.actions
		if len(starts) == 0 {
			f.now += second
			starts = f.decide()
		}
		f.Assert(starts, quicktest.HasLen, 1)
		starts[0].Ticket = "t" // without one, the start is held for maxOrderDelay
		f.p.ReportStart(starts[0], Unknown, f.now)
		f.now += 10 * time.Millisecond
		f.p.ObserveClosed(starts[0].Worker, f.now)
		f.restart(starts[0].Worker)
		for _, a := range f.decide() {
			f.p.ReportStop(a, true, f.now)
		}
		f.now += second
		f.answer(starts[0].Worker)
	}
	f.Assert(f.p.FinalState("j"), quicktest.Equals, Failed)
}

// TestWorkersThatComeBackLateHaveNotCrashed checks that workers that were gone for so long that
// they counted as crashed do not count any more when they come back as they were (LOST, issue 39).
func TestWorkersThatComeBackLateHaveNotCrashed(t *testing.T) {
	for name, takeOver := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFixture(t, 6)
			f.submit("j", newStep(1))
			lost := lostPromptly(f, 3)
			f.returns(lost[2])
			f.now += goneTimeout
			f.decide()
			f.assertCrashes("j.0.0.0", 2)
			if takeOver {
				f.record(Record{})
				f.takeOver(f.now)
			}
			for _, id := range lost[:2] {
				f.returns(id)
			}
			f.assertCrashes("j.0.0.0", 0)
		})
	}
}

// TestGangWithHeldSuspectWaits checks that a gang does not start while three workers that were lost
// right after starts of one member may have crashed, although another member was cleared (BUDGET).
func TestGangWithHeldSuspectWaits(t *testing.T) {
	f := newCrashFixture(t, 8)
	f.submit("j", newWideGang())
	f.p.jobs["j"].cleared = true
	for n := range 3 {
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 2)
		for _, a := range starts {
			if a.Task != "j.0.0.0" {
				f.listEnd(a, uint64(n+1), GangBroken)
				continue
			}
			f.now += 10 * time.Millisecond
			f.p.ObserveClosed(a.Worker, f.now)
			f.expire(a.Worker)
		}
	}
	f.assertNoStart()
	f.assertCrashes("j.0.0.0", 3)
	f.now += second
	f.assertNoStart()
}

// TestLongerRunRefutesCrashes checks that crashes right after starts of a task do not fail its
// job if a run of it is known to have gone on for longer (LOST; crashloop.toml, seeds 1 and 3),
// also under the next owner.
func TestLongerRunRefutesCrashes(t *testing.T) {
	for name, test := range map[string]struct {
		longer, takeOver bool
		want             State
	}{"no longer run": {false, false, Failed}, "a longer run": {true, false, ""}, "a longer run, next owner": {true, true, ""}} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFixture(t, 8)
			f.submit("j", newStep(1))
			crash := func() {
				a := f.startAgain()
				f.running[a.Worker] = []Action{a}
				if test.longer && a.Number == 1 {
					f.now += second
					f.answer(a.Worker)
				}
				f.running[a.Worker] = nil
				f.now += 10 * time.Millisecond
				f.p.ObserveClosed(a.Worker, f.now)
				f.now += second / 10
				f.restart(a.Worker)
			}
			crash()
			if test.takeOver {
				f.record(Record{})
				f.takeOver(f.now)
				for id := range f.incarnation {
					f.addWorker(id)
				}
				f.now += second
				for id := range f.incarnation {
					f.answer(id)
				}
			}
			for range minPrompt {
				if f.p.FinalState("j") == "" {
					crash()
				}
			}
			f.Assert(f.p.FinalState("j"), quicktest.Equals, test.want)
		})
	}
}

// TestCrashesOfOneTaskScatter checks that a run which went on for little longer than others does not
// refute their crashes: a task that crashes its workers does so at somewhat different ages (BUDGET).
func TestCrashesOfOneTaskScatter(t *testing.T) {
	c := quicktest.New(t)
	crashes := make([]Crash, minPrompt)
	for i, age := range []int64{180, 230, 190} {
		crashes[i] = Crash{Number: i + 1, Ended: true, Started: true, Prompt: true, Separate: true, Age: age, Chance: 0.001}
	}
	for longest, want := range map[time.Duration]bool{0: true, 225 * time.Millisecond: true, second: false} {
		c.Check(New().isProof(crashes, longest, false, time.Hour), quicktest.Equals, want, quicktest.Commentf("%v", longest))
	}
}

// TestCrashAfterGangIsDoneFailsNoJob checks that a crash under a member of a gang that is done
// fails no job, whatever was noted before (LOST).
func TestCrashAfterGangIsDoneFailsNoJob(t *testing.T) {
	f := newCrashFixture(t, 4)
	next := newStep(1)
	next.After = []int{0}
	f.submit("j", newWideGang(), next)
	members := f.starts()
	f.Assert(members, quicktest.HasLen, 2)
	r := f.p.workers[members[1].Worker].runs[runKey{members[1].Task, 1}]
	r.crash = &Crash{Task: members[1].Task, Number: 1, Suspect: true, Proven: true}
	f.now += second
	f.apply(WorkerStatus{Worker: members[0].Worker, Incarnation: 1, SentAt: f.now, Ended: []EndEntry{{1, End{Task: members[0].Task, Number: 1, Result: Done}}}})
	f.p.loseRuns([]*run{r}, Lost, f.now)
	f.Assert(f.p.FinalState("j"), quicktest.Equals, State(""))
}

// TestLossCountsOnce checks that the next owner counts the loss of a worker once towards the rate of
// crashes, although the journal holds it again with what became known of it later (BUDGET).
func TestLossCountsOnce(t *testing.T) {
	f := newCrashFixture(t, 6)
	f.submit("j", newStep(1))
	id := f.startAgain().Worker
	f.now += 10 * time.Millisecond
	f.p.ObserveClosed(id, f.now)
	f.expire(id)
	f.startAgain()
	f.now += 5 * second
	f.incarnation[id] = 1
	f.restart(id)
	f.record(Record{})
	f.Assert(f.p.losses, quicktest.HasLen, 1)
	f.takeOver(f.now)
	f.Assert(f.p.losses, quicktest.HasLen, 1)
}

// crashAt starts the task of a job and crashes its worker at that age of the run. The worker lists
// the run half-way.
func crashAt(f *crashFixture, age time.Duration) {
	f.Helper()
	a := f.startAgain()
	f.running[a.Worker] = []Action{a}
	f.now += age / 2
	f.answer(a.Worker)
	f.running[a.Worker] = nil
	f.now += age - age/2
	f.p.ObserveClosed(a.Worker, f.now)
	f.now += second / 10
	f.restart(a.Worker)
}

// TestTaskWithLongRunIsNoSuspect checks that a task does not wait for a worker of its own after
// crashes at ages which a run of it has passed, and that it does after as many at one age.
func TestTaskWithLongRunIsNoSuspect(t *testing.T) {
	for name, test := range map[string]struct {
		ages []time.Duration
		want bool
	}{
		"one age":      {[]time.Duration{2 * second, 2 * second, 2 * second}, true},
		"a longer run": {[]time.Duration{4 * second, second, second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFixture(t, 8)
			f.submit("j", newStep(1))
			for _, age := range test.ages {
				crashAt(f, age)
			}
			f.Assert(f.startAgain().Separate, quicktest.Equals, test.want)
		})
	}
}

// TestTaskThatHasChangedIsGivenUp checks that a task is given up that has gone on for long once, and
// crashes each worker since (BUDGET).
func TestTaskThatHasChangedIsGivenUp(t *testing.T) {
	f := newCrashFixture(t, 8)
	f.submit("j", newStep(1))
	crashAt(f, 20*second)
	for range 2 * minLosses {
		if f.p.FinalState("j") == "" {
			crashAt(f, 10*time.Millisecond)
		}
	}
	f.Assert(f.p.FinalState("j"), quicktest.Equals, Failed)
}

// seriesOf returns five crashes by workers that have ended, the last one under a task that was
// alone, each of which comes by chance with that probability.
func seriesOf(chance float64) []Crash {
	crashes := make([]Crash, minLosses)
	for i := range crashes {
		crashes[i] = Crash{Number: i + 1, Ended: true, Separate: true, Age: 400, Chance: chance}
	}
	return crashes
}

// TestFiveCrashesProveUpToOneInTwenty checks the bound on the chance of five crashes: one that let
// fewer prove started a task that crashes its workers a sixth time (BUDGET), a larger one fails
// jobs by chance (LOST).
func TestFiveCrashesProveUpToOneInTwenty(t *testing.T) {
	c := quicktest.New(t)
	p := New()
	for _, test := range []struct {
		chance, combined float64
		want             bool
	}{{0.10, 0.0107, true}, {0.12, 0.0197, true}, {0.20, 0.0970, false}, {0.35, 0.398, false}} {
		crashes := seriesOf(test.chance)
		var chances []float64
		for _, crash := range crashes {
			chances = append(chances, crash.Chance)
		}
		combined := combinedChance(chances)
		c.Check(combined > 0.98*test.combined && combined < 1.02*test.combined, quicktest.IsTrue, quicktest.Commentf("%g: %g", test.chance, combined))
		c.Check(p.isProof(crashes, 0, false, time.Hour), quicktest.Equals, test.want, quicktest.Commentf("%g", test.chance))
		c.Check(p.isProof(crashes[1:], 0, false, time.Hour), quicktest.IsFalse, quicktest.Commentf("%g, four crashes", test.chance))
	}
}

// TestAnswersDecideOpenCrashesThatAreLeft checks that a crash is decided by an answer although other
// open crashes were dropped before, and that answers of other workers decide nothing.
func TestAnswersDecideOpenCrashesThatAreLeft(t *testing.T) {
	f := newCrashFixture(t, 6)
	f.submit("j", newStep(1))
	f.submit("k", newStep(1))
	starts := f.starts()
	f.Assert(starts, quicktest.HasLen, 2)
	lost := starts[0].Worker
	f.Assert(starts[1].Worker, quicktest.Equals, lost)
	f.now += 2 * second
	f.expire(lost)
	f.starts()
	f.Assert(f.p.openCrashes, quicktest.HasLen, 2)
	f.p.Cancel("j", "team", f.now)
	f.decide()
	f.Assert(f.p.openCrashes, quicktest.HasLen, 1)
	for id := range f.incarnation {
		f.now += second
		f.answer(id)
	}
	f.assertCrashes("k.0.0.0", 1)
	f.returns(lost)
	f.assertCrashes("k.0.0.0", 0)
}

// TestFlappingWorkerFailsNoJob checks that a worker that goes down and up again and again fails no job
// whose task fits nowhere else (review/12, LOST).
func TestFlappingWorkerFailsNoJob(t *testing.T) {
	f := newCrashFixture(t, 16)
	filler := newStep(15)
	filler.CPU, filler.MaxPerWorker, filler.Estimate = 4000, 1, 100_000
	f.submit("filler", filler)
	for _, a := range f.starts() {
		f.running[a.Worker] = []Action{a}
	}
	f.submit("j", newStep(1))
	for range 2 * minLosses {
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 1, quicktest.Commentf("%v", f.p.FailureOf("j")))
		id := starts[0].Worker
		f.running[id] = starts
		f.now += 600 * time.Millisecond
		f.answer(id)
		f.now += 20 * time.Millisecond
		f.running[id] = nil
		f.p.ObserveClosed(id, f.now)
		f.now += 800 * time.Millisecond
		f.restart(id)
	}
	f.Assert(f.starts(), quicktest.HasLen, 1)
	f.assertState("j", Running)
}
