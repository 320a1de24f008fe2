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
			for range minCrashes {
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
