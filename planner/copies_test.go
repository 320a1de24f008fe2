package planner

import (
	"strconv"
	"testing"

	"github.com/frankban/quicktest"
)

// copying is a fixture with a speculative step of four tasks, three of which are done after 1 s. The others
// take long.
type copying struct {
	*fixture
	slow    Action   // start of the last one, which takes long
	all     []Action // starts of all
	serials map[string]uint64
}

func newCopying(t *testing.T, change func(*StepSpec), options ...Option) *copying {
	queue := Queue{Name: "q", Service: "s", Priority: 1, Attempts: 3, Stretch: 2, Objective: 1000 * second}
	f := &copying{fixture: newFixture(t, 0), serials: map[string]uint64{}}
	f.p = New(append([]Option{WithCopies(true)}, options...)...)
	f.p.Configure(Config{Version: 1, Queues: []Queue{queue}, Teams: []Team{{Name: "team", Weight: 1}}}, 0)
	for n := range 10 {
		f.addWorker("w" + strconv.Itoa(n))
	}
	f.now = second
	step := newStep(4)
	step.Speculative, step.MaxPerWorker = true, 1 // as the fixture lists one run of a worker at a time
	change(&step)
	f.submit("j", step)
	starts := f.starts()
	f.Assert(starts, quicktest.HasLen, step.Tasks)
	f.now += second
	for _, a := range starts[:3] {
		f.end(a, Done)
	}
	f.slow, f.all = starts[len(starts)-1], starts
	f.now += 1500 * millisecond
	for _, a := range starts[3:] {
		f.list(a)
	}
	f.now += second / 10
	f.p.step("j").spec.MaxPerWorker = 0
	return f
}

const millisecond = second / 1000

// end makes a worker list the end of a run.
func (f *copying) end(a Action, result string) {
	f.serials[a.Worker]++
	f.listEnd(a, f.serials[a.Worker], result)
}

// decideCopy returns the start of a copy.
func (f *copying) decideCopy() Action {
	f.Helper()
	f.now += copyInterval
	actions := f.decide()
	f.Assert(actions, quicktest.HasLen, 1)
	f.Assert(actions[0].CopyOf, quicktest.Equals, f.slow.Number)
	f.Assert(actions[0].Worker, quicktest.Not(quicktest.Equals), f.slow.Worker)
	return actions[0]
}

// copied returns a copy that has started.
func (f *copying) copied() Action {
	f.Helper()
	a := f.decideCopy()
	f.p.MarkOrdered(a, f.now)
	f.p.ReportStart(a, Accepted, f.now)
	f.now += second / 10
	return a
}

// assertStop checks that the decision is to stop the run and nothing else.
func (f *copying) assertStop(a Action) {
	f.Helper()
	actions := f.decide()
	f.Assert(actions, quicktest.HasLen, 1)
	f.Assert(actions[0].Kind, quicktest.Equals, Stop)
	f.Assert(actions[0].Number, quicktest.Equals, a.Number)
	f.Assert(actions[0].Worker, quicktest.Equals, a.Worker)
}

// TestFirstEndCounts checks that the first end done of two runs completes the task, and that the other
// run is stopped. It would use the room in vain.
func TestFirstEndCounts(t *testing.T) {
	for _, first := range []string{"copy", "copied run"} {
		t.Run(first, func(t *testing.T) {
			f := newCopying(t, unchanged)
			winner, loser := f.copied(), f.slow
			if first != "copy" {
				winner, loser = loser, winner
			}
			f.assertNoAction()
			f.end(winner, Done)
			f.assertState("j", Completed)
			f.assertStop(loser)
			f.end(loser, Stopped)
			f.assertNoAction()
		})
	}
}

// TestTwoEndsAtOnce checks two ends done of a task, the second of which must neither complete the step again
// nor make the task wait again (TWICE).
func TestTwoEndsAtOnce(t *testing.T) {
	f := newCopying(t, unchanged)
	f.end(f.copied(), Done)
	f.end(f.slow, Done)
	f.assertState("j", Completed)
	f.assertNoStart()
	for _, w := range f.p.fleet {
		f.Assert(w.allocated.IsZero(), quicktest.IsTrue)
	}
}

// TestFailedEndOfOneRun checks that a failed end leaves the other run alone, and counts as an attempt. A third
// run beside it would break the rule that there are two (TWICE).
func TestFailedEndOfOneRun(t *testing.T) {
	f := newCopying(t, unchanged)
	f.copied()
	f.end(f.slow, RunFailed)
	f.now += second / 10
	f.assertNoAction()
	s, _ := f.p.stepOf(f.slow.Task)
	f.Assert(s.waitingTasks, quicktest.Equals, 0)
	f.Assert(s.tasks[3].failedRuns, quicktest.HasLen, 1)
}

// TestOwnerKilledBetweenCopyAndEnd checks that the next owner knows both runs. Otherwise it would start a third
// (TWICE), use their room twice (LIMIT) or not stop the one that is not needed.
func TestOwnerKilledBetweenCopyAndEnd(t *testing.T) {
	for name, restore := range map[string]func(*copying){
		"records": func(f *copying) { f.takeOver(f.now + 6*second) }, "snapshot": func(f *copying) { f.restoreSnapshot(f.now + 6*second) },
		"snapshot of a snapshot": func(f *copying) {
			f.restoreSnapshot(f.now + 6*second)
			f.restoreSnapshot(f.now + 6*second)
		},
	} {
		for _, first := range []string{"copy", "copied run"} {
			t.Run(name+", "+first, func(t *testing.T) {
				f := newCopying(t, unchanged)
				winner, loser := f.copied(), f.slow
				restore(f)
				for _, w := range f.p.fleet {
					f.restartWorker(w.reg.ID, 1)
				}
				f.Assert(f.p.workers[winner.Worker].runs, quicktest.HasLen, 1)
				f.Assert(f.p.workers[loser.Worker].runs, quicktest.HasLen, 1)
				f.assertNoStart()
				f.now += second / 10
				f.list(winner)
				f.list(loser)
				if first != "copy" {
					winner, loser = loser, winner
				}
				f.end(winner, Done)
				f.assertState("j", Completed)
				f.assertStop(loser)
			})
		}
	}
}

// TestLoserIsStoppedByNextOwner checks that the next owner stops the run whose task is done. It would go on in vain.
func TestLoserIsStoppedByNextOwner(t *testing.T) {
	f := newCopying(t, unchanged)
	f.p.step("j").spec.Tasks++ // so that the job is not over
	f.p.step("j").tasks = append(f.p.step("j").tasks, task{done: true})
	winner := f.copied()
	f.end(winner, Done)
	f.assertStop(f.slow)
	f.restoreSnapshot(f.now + 6*second)
	for _, w := range f.p.fleet {
		f.restartWorker(w.reg.ID, 1)
	}
	f.assertStop(f.slow)
}

// TestEndsOfTwoWorkersWaitForEachOther checks two workers whose first ends wait for copies on the other one, which
// have ended there. Nothing would be known of both workers for 15 s.
func TestEndsOfTwoWorkersWaitForEachOther(t *testing.T) {
	f := newCopying(t, func(s *StepSpec) { s.Tasks = 5 })
	f.now += copyInterval
	copies := f.decide()
	f.Assert(copies, quicktest.HasLen, 2)
	for i, a := range copies {
		f.Assert(a.Worker, quicktest.Equals, f.all[4-i].Worker)
		f.p.MarkOrdered(a, f.now)
	}
	for range 2 {
		for i, a := range copies {
			original := f.all[4-i]
			ended := []EndEntry{{1, End{Task: original.Task, Number: original.Number, Result: Done}}, {2, End{Task: a.Task, Number: a.Number, Result: Done}}}
			f.p.HandleStatus(WorkerStatus{Worker: a.Worker, Incarnation: 1, SentAt: f.now, Ended: ended}, f.now)
		}
	}
	f.Assert(f.p.FinalState("j"), quicktest.Equals, Completed)
}

// TestCopyCarriedOutLate checks a copy whose start gets no answer. If the end done of the other run were taken note
// of before that order can't be executed any more, the task would begin again after that (TWICE).
func TestCopyCarriedOutLate(t *testing.T) {
	setUp := func(t *testing.T) (*copying, Action) {
		f := newCopying(t, unchanged)
		late := f.decideCopy()
		f.p.MarkOrdered(late, f.now)
		return f, late
	}
	t.Run("in flight", func(t *testing.T) {
		f, late := setUp(t)
		f.end(f.slow, Done)
		f.Assert(f.p.FinalState("j"), quicktest.Equals, State(""))
		f.p.ReportStart(late, Refused, f.now)
		f.serials[f.slow.Worker]--
		f.end(f.slow, Done)
		f.assertState("j", Completed)
	})
	t.Run("not answered", func(t *testing.T) {
		f, late := setUp(t)
		f.p.ReportStart(late, Unknown, f.now)
		f.assertStop(late)
		f.p.ReportStop(late, true, f.now)
		f.end(f.slow, Done)
		f.Assert(f.p.FinalState("j"), quicktest.Equals, State(""))
		f.Assert(f.p.AppliedSerial(f.slow.Worker), quicktest.Equals, f.serials[f.slow.Worker]-1)
		f.now += maxOrderDelay
		f.serials[f.slow.Worker]--
		f.end(f.slow, Done)
		f.assertState("j", Completed)
	})
	t.Run("under the next owner", func(t *testing.T) {
		f, late := setUp(t)
		f.takeOver(f.now + 6*second)
		f.end(f.slow, Done)
		f.Assert(f.p.FinalState("j"), quicktest.Equals, State(""))
		f.p.HandleStatus(WorkerStatus{Worker: late.Worker, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: late.Task, Number: late.Number}}}, f.now)
		f.serials[f.slow.Worker]--
		f.end(f.slow, Done)
		f.assertState("j", Completed)
	})
	t.Run("under the next owner, without an answer", func(t *testing.T) {
		f, late := setUp(t)
		f.takeOver(f.now + 60*second)
		f.p.ReportStop(late, false, f.now)
		f.end(f.slow, Done)
		f.Assert(f.p.FinalState("j"), quicktest.Equals, State(""))
		f.now += maxOrderDelay
		f.serials[f.slow.Worker]--
		f.end(f.slow, Done)
		f.assertState("j", Completed)
	})
	t.Run("not ordered", func(t *testing.T) {
		f := newCopying(t, unchanged)
		late := f.decideCopy()
		f.end(f.slow, Done)
		f.assertState("j", Completed)
		f.Assert(f.p.Wanted(late), quicktest.IsFalse)
	})
}

// TestNoCopy checks where no copy starts: the work would be done twice for no gain, or the rules of
// TestCopiesWithFaults broken.
func TestNoCopy(t *testing.T) {
	for name, change := range map[string]func(*copying){
		"soon done": func(f *copying) {
			f.p.HandleStatus(WorkerStatus{Worker: f.slow.Worker, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: f.slow.Task, Number: 1, Progress: 80}}}, f.now)
		},
		"few attempts left": func(f *copying) { f.p.jobs["j"].queue.Attempts = 1 },
		"team at its limit": func(f *copying) { f.p.team("team").spec.Limit = f.p.team("team").allocated },
		"a waiting step needs the room": func(f *copying) {
			f.submit("other", newStep(1))
			f.p.jobs["other"].queue.AdviceCost = &AdviceCost{Base: second, TicketValidity: second}
			known := map[*worker]*eligibleWorker{}
			for _, w := range f.p.fleet {
				known[w] = &eligibleWorker{worker: w} // the tickets have expired
			}
			f.p.step("other").advice.known = known
		},
		"share used up":              func(f *copying) { f.p.fleet = f.p.fleet[:4] },
		"lost with a worker":         func(f *copying) { f.p.step("j").tasks[3].crashes.crashes = []Crash{{Number: 1}} },
		"start not answered":         func(f *copying) { f.p.step("j").tasks[3].runs[0].phase = phaseUnanswered },
		"long-running":               func(f *copying) { f.p.step("j").spec.LongRunning = true },
		"a gang":                     func(f *copying) { f.p.step("j").spec.Gang = true },
		"not speculative":            func(f *copying) { f.p.step("j").spec.Speculative = false },
		"two others done":            func(f *copying) { f.p.step("j").runTimes = f.p.step("j").runTimes[:2] },
		"a copy runs":                func(f *copying) { f.copied() },
		"not longer than expected":   func(f *copying) { f.p.step("j").runTimes[1] = 2 * second },
		"stopped for an urgent step": func(f *copying) { f.p.step("j").tasks[3].runs[0].stopOrdered = true },
		"expired":                    func(f *copying) { f.p.jobs["j"].occurrences[0].due = -10_000 * second },
		"no room": func(f *copying) {
			for _, w := range f.p.fleet {
				w.allocated = w.reg.Capacity
			}
		},
		"switched off": func(f *copying) { f.p.settings.copies = false },
	} {
		t.Run(name, func(t *testing.T) {
			f := newCopying(t, unchanged)
			change(f)
			f.now += copyInterval
			for _, a := range f.decide() {
				f.Assert(a.CopyOf, quicktest.Equals, 0)
			}
		})
	}
}

// step returns the first step of a job.
func (p *Planner) step(id string) *step { return p.jobs[id].occurrences[0].steps[0] }
