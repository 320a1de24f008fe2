package planner

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// startAgain decides until the task that was lost starts again, for at most a minute.
func (f *crashFixture) startAgain() Action {
	f.Helper()
	for end := f.now + 60*second; f.now < end; f.now += second / 4 {
		if starts := f.starts(); len(starts) > 0 {
			f.Assert(starts, quicktest.HasLen, 1)
			return starts[0]
		}
	}
	f.Fatalf("the task has not started again: %v %v", f.p.FinalState("j"), f.p.FailureOf("j"))
	return Action{}
}

// returns makes a worker that was cut off answer again. It has not crashed.
func (f *crashFixture) returns(id string) {
	f.incarnation[id] = 0
	f.restart(id)
}

// TestExpiredLeasesFailNoJob checks that a job does not fail however often the leases of its
// runs expire behind cuts (LOST, issue 39): no worker is known to have crashed.
func TestExpiredLeasesFailNoJob(t *testing.T) {
	const losses = 10
	for name, test := range map[string]struct{ refused, back bool }{
		"silent":                      {false, false},
		"silent, and back as it was":  {false, true},
		"refused":                     {true, false},
		"refused, and back as it was": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFixture(t, losses+1)
			f.submit("j", newStep(1))
			a := f.startAgain()
			for range losses {
				id := a.Worker
				f.now += 2 * second
				if test.refused {
					f.p.ObserveClosed(id, f.now)
				}
				f.expire(id)
				a = f.startAgain()
				if test.back {
					f.returns(id)
				}
			}
			f.assertState("j", Running)
		})
	}
}

// TestCutsRightAfterStartsFailNoJob checks that a job does not fail by cuts that begin right
// after the starts of its task (LOST, issue 39): the workers come back as they were.
func TestCutsRightAfterStartsFailNoJob(t *testing.T) {
	f := newCrashFixture(t, 11)
	f.submit("j", newStep(1))
	a := f.startAgain()
	for range 10 {
		id := a.Worker
		f.now += 10 * time.Millisecond
		f.p.ObserveClosed(id, f.now)
		f.expire(id)
		if starts := f.starts(); len(starts) > 0 {
			a = starts[0]
			f.returns(id)
		} else { // held until it is known what has become of the worker
			f.returns(id)
			a = f.startAgain()
		}
	}
	f.assertState("j", Running)
}

// crashLoop plays a fleet of which a third of the workers crash at random every two seconds,
// and are back at once.
type crashLoop struct {
	*crashFixture
	random *rand.Rand
	ends   map[string]time.Duration // by worker and task: when the run is done
}

// play runs the loop for d in steps of 50 ms. Tasks of the job "deadly" crash their workers
// 20 ms after the start, others are done after three seconds.
func (l *crashLoop) play(d time.Duration, takeOvers bool) {
	for end := l.now + d; l.now < end; {
		for _, a := range l.decide() {
			if a.Kind == Stop {
				l.running[a.Worker] = slices.DeleteFunc(l.running[a.Worker], func(r Action) bool { return r.Task == a.Task && r.Number == a.Number })
				l.p.ReportStop(a, true, l.now)
			}
			if a.Kind != Start {
				continue
			}
			l.p.ExtendLease(a.Worker, l.now+6*second)
			l.p.MarkOrdered(a, l.now)
			l.p.ReportStart(a, Accepted, l.now)
			l.running[a.Worker] = append(l.running[a.Worker], a)
			l.ends[a.Task] = l.now + 3*second
			if l.deadly(a) && l.crashed[a.Task] >= 3 {
				l.late[a.Task]++
			}
		}
		l.now += 20 * time.Millisecond
		for _, id := range l.ids() {
			for _, a := range l.running[id] {
				if l.deadly(a) {
					l.crashed[a.Task]++
					l.crashNow(id)
				}
			}
		}
		l.now += 30 * time.Millisecond
		if l.now%(2*second) == 0 {
			for _, id := range l.ids() {
				if l.random.IntN(3) == 0 {
					l.crashNow(id)
				}
			}
		}
		if takeOvers && l.now%(14*second) == 0 {
			l.takeOver(l.now + 6*second)
			for _, id := range l.ids() {
				l.incarnation[id]--
				l.restart(id)
			}
		}
		if l.now%(second/4) == 0 {
			for _, id := range l.ids() {
				l.list(id)
			}
		}
	}
}

// ids returns the ids of the workers in order.
func (l *crashLoop) ids() []string {
	ids := make([]string, len(l.incarnation))
	for i := range ids {
		ids[i] = "w" + strconv.Itoa(i)
	}
	return ids
}

// crashNow crashes a worker; its connections are closed, and its next incarnation answers.
func (l *crashLoop) crashNow(id string) {
	l.running[id] = nil
	l.p.ObserveClosed(id, l.now)
	l.restart(id)
	l.record(Record{Failed: l.p.Failed(l.p.TakeEnded())})
}

// list makes a worker list its runs, and those that are done.
func (l *crashLoop) list(id string) {
	l.p.ExtendLease(id, l.now+6*second)
	status := WorkerStatus{Worker: id, Incarnation: l.incarnation[id], SentAt: l.now}
	var left []Action
	for _, a := range l.running[id] {
		if l.now < l.ends[a.Task] {
			left = append(left, a)
			status.Running = append(status.Running, RunningEntry{Task: a.Task, Number: a.Number, Progress: 50})
			continue
		}
		l.serials[id]++
		status.Ended = append(status.Ended, EndEntry{l.serials[id], End{Task: a.Task, Number: a.Number, Result: Done}})
	}
	l.running[id] = left
	l.apply(status)
}

// TestCrashLoopFailsNoJob checks that jobs that crash nothing do not fail where workers crash
// again and again for another reason (LOST, issue 39; review/2), and that a job that does crash
// them is given up in time beside them (BUDGET).
func TestCrashLoopFailsNoJob(t *testing.T) {
	for _, takeOvers := range []bool{false, true} {
		for seed := range uint64(8) {
			t.Run("seed "+strconv.FormatUint(seed, 10)+", owner changes "+strconv.FormatBool(takeOvers), func(t *testing.T) {
				l := &crashLoop{newCrashFixture(t, 24), rand.New(rand.NewPCG(seed, 39)), map[string]time.Duration{}}
				for n := range 60 {
					l.submit("j"+strconv.Itoa(n), newStep(2))
				}
				l.play(6*second, takeOvers)
				l.submit("deadly", newStep(1))
				l.play(40*second, takeOvers)
				for n := range 60 {
					id := "j" + strconv.Itoa(n)
					l.Check(l.p.FinalState(id), quicktest.Not(quicktest.Equals), Failed, quicktest.Commentf("%s: %v", id, l.p.FailureOf(id)))
				}
				l.Check(l.p.FinalState("deadly"), quicktest.Equals, Failed)
				for task, n := range l.late {
					l.Check(n <= 2, quicktest.IsTrue, quicktest.Commentf("%s was started %d times after three workers had crashed", task, n))
				}
			})
		}
	}
}
