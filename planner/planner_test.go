package planner

import (
	"errors"
	"strconv"
	"testing"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

// TestStepAfterAnother checks that a step starts once all tasks of the step before it
// are done, and that the job is then completed by the last step.
func TestStepAfterAnother(t *testing.T) {
	f := newFixture(t, 1)
	next := newStep(1)
	next.After = []int{0}
	f.submit("j", newStep(2), next)
	first := f.starts()
	f.Assert(first, quicktest.HasLen, 2)
	f.listEnd(first[0], 1, Done)
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.listEnd(first[1], 2, Done)
	last := f.starts()
	f.Assert(last, quicktest.HasLen, 1)
	f.assertState("j", Running)
	f.listEnd(last[0], 3, Done)
	f.assertState("j", Completed)
}

// TestUnansweredStart checks a start that got no answer and may be carried out late. The
// task must not start again until the worker has answered the stop of that run, does not
// list it, and none of its incarnations can carry the start out any more.
func TestUnansweredStart(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("j", newStep(1))
	start := f.decide()[0]
	f.p.ReportStart(start, Unknown, f.now)
	stops := f.decide()
	f.Assert(stops, quicktest.HasLen, 1)
	f.Assert(stops[0].Kind, quicktest.Equals, Stop)
	f.now += second / 10
	f.p.ReportStop(stops[0], true, f.now)
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.now += second / 10
	f.p.HandleStatus(WorkerStatus{Worker: start.Worker, Incarnation: 1, SentAt: f.now}, f.now)
	f.Assert(f.starts(), quicktest.HasLen, 0) // the worker's next incarnation may still carry it out
	f.now = maxOrderDelay
	f.p.HandleStatus(WorkerStatus{Worker: start.Worker, Incarnation: 1, SentAt: f.now}, f.now)
	restarts := f.starts()
	f.Assert(restarts, quicktest.HasLen, 1)
	f.Assert(restarts[0].Number, quicktest.Equals, 2)
}

// TestUnexpectedRunStopped checks that an unexpected second run of a task is stopped,
// although the task is done by the time of the decision.
func TestUnexpectedRunStopped(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("j", newStep(2))
	start := f.starts()[0]
	other := "w0"
	if start.Worker == other {
		other = "w1"
	}
	f.p.HandleStatus(WorkerStatus{Worker: other, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: start.Task, Number: 9}}}, f.now)
	f.listEnd(start, 1, Done)
	var stopped []int
	for _, a := range f.decide() {
		if a.Kind == Stop {
			stopped = append(stopped, a.Number)
		}
	}
	f.Assert(stopped, quicktest.DeepEquals, []int{9})
}

// TestUnresponsiveWorkerLeaseExpires checks that the lease of a worker that misses a
// heartbeat must not be renewed, and that its tasks start elsewhere once it expires.
func TestUnresponsiveWorkerLeaseExpires(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", newStep(1))
	f.starts()
	f.p.ExtendLease("w0", 6*second)
	f.Assert(f.p.Renewable("w0"), quicktest.IsTrue)
	f.p.HeartbeatMissed("w0")
	f.Assert(f.p.Renewable("w0"), quicktest.IsFalse)
	f.addWorker("w1")
	f.now = 6 * second
	restarts := f.starts()
	f.Assert(restarts, quicktest.HasLen, 1)
	f.Assert(restarts[0].Worker, quicktest.Equals, "w1")
}

// TestNoRefusalAfterTakeover checks that a job is admitted just after a takeover. A fleet
// of workers that have not answered yet must not count as overloaded.
func TestNoRefusalAfterTakeover(t *testing.T) {
	f := newFixture(t, 4)
	f.submit("old", newStep(8))
	f.takeOver(6 * second)
	for i := range 4 {
		f.p.Register(Registration{ID: "w" + strconv.Itoa(i), Centre: "c", Service: "s", Capacity: placer.NewResources(4000, 4096, 0)}, f.now)
	}
	f.submit("new", newStep(1))
}

// TestPartitioned checks that an owner counts as partitioned when most workers are
// unresponsive, and not when a few are.
func TestPartitioned(t *testing.T) {
	for _, test := range []struct {
		unresponsive int
		want         bool
	}{{0, false}, {3, false}, {5, true}} {
		f := newFixture(t, 8)
		f.now = second
		for i := range 8 {
			id := "w" + strconv.Itoa(i)
			if i < test.unresponsive {
				f.p.HeartbeatMissed(id)
				continue
			}
			f.p.HandleStatus(WorkerStatus{Worker: id, Incarnation: 1, SentAt: f.now}, f.now)
		}
		f.Assert(f.p.Partitioned(f.now), quicktest.Equals, test.want)
	}
}

// TestCrashedWorkersAreNoPartition checks that an owner does not count as partitioned because
// the machines of most workers refuse connections or answer for other workers: it reaches them, and they come back. It
// does if they refuse for so long that the platform's list would show a crash.
func TestCrashedWorkersAreNoPartition(t *testing.T) {
	f := newFixture(t, 8)
	f.now = second
	for i := range 7 {
		f.p.HeartbeatMissed("w" + strconv.Itoa(i))
		if i < 5 {
			f.p.ObserveReplaced("w"+strconv.Itoa(i), f.now)
		} else {
			f.p.ObserveClosed("w"+strconv.Itoa(i), f.now)
		}
	}
	f.Assert(f.p.Partitioned(f.now), quicktest.IsFalse)
	f.now += closedTimeout
	f.Assert(f.p.Partitioned(f.now), quicktest.IsTrue)
}

// TestCancelReportedWhenStored checks that a cancellation is not reported as stored
// before the journal holds it. If it were acknowledged earlier, the next owner might
// still run the job.
func TestCancelReportedWhenStored(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", newStep(1))
	f.Assert(f.p.Cancel("j", "team", f.now), quicktest.Equals, Cancellation{Known: true})
	f.Assert(f.p.Cancel("j", "team", f.now), quicktest.Equals, Cancellation{Known: true, Ended: true})
	f.p.MarkEndStored("j")
	f.Assert(f.p.Cancel("j", "team", f.now), quicktest.Equals, Cancellation{Known: true, Ended: true, Stored: true})
	f.Assert(f.p.Cancel("other", "team", f.now), quicktest.Equals, Cancellation{})
}

// TestTeamOverRate checks a busy fleet on which one team submits jobs at four times its
// rate. Some of its jobs are refused, and none of the other team's.
func TestTeamOverRate(t *testing.T) {
	queue := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second, Priority: 1}
	f := newFixture(t, 1, queue)
	f.p.Configure(Config{Version: 2, Queues: []Queue{queue}, Teams: []Team{{Name: "team", Weight: 1}, {Name: "calm", Weight: 1}}}, 0)
	refused := map[string]int{}
	submit := func(team string, n int) {
		id := team + strconv.Itoa(n)
		_, err := f.p.Submit(JobSpec{ID: id, Queue: "q", Team: team, Payload: "p", Steps: []StepSpec{newStep(2)}}, f.now)
		if err != nil {
			refused[team]++
			return
		}
		f.p.MarkStored(id)
	}
	for n := range 12 {
		submit("team", n)
		if n%4 == 0 {
			submit("calm", n)
		}
		f.now += second / 4
	}
	f.Assert(refused["team"] > 3, quicktest.IsTrue, quicktest.Commentf("refused %v", refused))
	f.Assert(refused["calm"], quicktest.Equals, 0)
}

// TestBacklogWithMoreSlack checks that a job with little slack is not refused because of
// a backlog with more slack, since the job is served before the backlog.
func TestBacklogWithMoreSlack(t *testing.T) {
	patient := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: 100 * second, Priority: 2}
	hurried := Queue{Name: "hurried", Service: "s", Attempts: 2, Stretch: 2, Objective: second, Priority: 2}
	f := newFixture(t, 1, patient, hurried)
	for n := range 10 {
		f.submit("patient"+strconv.Itoa(n), newStep(8))
	}
	f.now += second
	_, err := f.p.Submit(JobSpec{ID: "hurried", Queue: "hurried", Team: "calm", Payload: "p", Steps: []StepSpec{newStep(1)}}, f.now)
	f.Assert(err, quicktest.IsNil)
}

// TestWaiters checks that a function registered for the end of a job is returned for that
// event only, and only once.
func TestWaiters(t *testing.T) {
	f := newFixture(t, 1)
	notified := 0
	f.p.Await("j", JobEndStored, func(error) { notified++ })
	f.Assert(f.p.TakeWaiters("j", JobStored), quicktest.HasLen, 0)
	for _, notify := range f.p.TakeWaiters("j", JobEndStored) {
		notify(nil)
	}
	f.Assert(notified, quicktest.Equals, 1)
	f.Assert(f.p.TakeWaiters("j", JobEndStored), quicktest.HasLen, 0)
}

// TestAccepts checks that a worker accepts no starts after it began to drain,
// left the list or had its data centre taken out of service. This may happen while a
// decided start waits for a slow store.
func TestAccepts(t *testing.T) {
	f := newFixture(t, 1)
	f.Assert(f.p.Accepts("w0"), quicktest.IsTrue)
	f.p.SetCordoned("c", true)
	f.Assert(f.p.Accepts("w0"), quicktest.IsFalse)
	f.p.SetCordoned("c", false)
	f.p.Register(Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 1, Draining: true}, f.now)
	f.Assert(f.p.Accepts("w0"), quicktest.IsFalse)
	f.p.Register(Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 1}, f.now)
	f.Assert(f.p.Accepts("w0"), quicktest.IsTrue)
	f.p.Deregister("w0")
	f.Assert(f.p.Accepts("w0"), quicktest.IsFalse)
	f.Assert(f.p.Accepts("unknown"), quicktest.IsFalse)
}

// TestPendingUntilBegun checks that a job counts as pending until a worker has confirmed
// one of its starts, whatever was decided and whoever owns the fleet.
func TestPendingUntilBegun(t *testing.T) {
	for name, outcome := range map[string]Outcome{"unanswered": Unknown, "refused": Refused, "withdrawn": Withdrawn} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.submit("j", newStep(1))
			start := f.decide()[0]
			f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
			f.p.ReportStart(start, outcome, f.now)
			f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
			f.takeOver(10 * second)
			f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
			f.p.HandleStatus(WorkerStatus{Worker: start.Worker, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: start.Task, Number: start.Number}}}, f.now)
			f.Assert(f.p.Pending("q"), quicktest.Equals, 0)
		})
	}
	t.Run("begun", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("j", newStep(2))
		start := f.starts()[0]
		f.Assert(f.p.Pending("q"), quicktest.Equals, 0)
		f.listEnd(start, 1, Done)
		f.takeOver(10 * second)
		f.Assert(f.p.Pending("q"), quicktest.Equals, 0)
		state, err := f.p.Snapshot(f.now, wall)
		f.Assert(err, quicktest.IsNil)
		restored := New()
		f.Assert(restored.Restore(state, nil, f.now, wall, 10*second), quicktest.IsNil)
		f.Assert(restored.Pending("q"), quicktest.Equals, 0)
	})
}

// TestGangTryEnds checks that a member of a gang whose start is withdrawn ends the gang's
// try: members that run are stopped, those not ordered yet are not wanted any more. The
// members would otherwise wait for it in vain (rule GANG).
func TestGangTryEnds(t *testing.T) {
	f := newFixture(t, 1)
	gang := newStep(3)
	gang.Gang = true
	f.submit("j", gang)
	starts := f.decide()
	f.Assert(starts, quicktest.HasLen, 3)
	f.p.ReportStart(starts[0], Accepted, f.now)
	f.Assert(f.p.Wanted(starts[2]), quicktest.IsTrue)
	f.p.ReportStart(starts[1], Withdrawn, f.now)
	f.Assert(f.p.Wanted(starts[2]), quicktest.IsFalse)
	stops := f.decide()
	f.Assert(stops, quicktest.HasLen, 1, quicktest.Commentf("only the member that runs has to be stopped"))
	f.Assert(stops[0].Kind, quicktest.Equals, Stop)
	f.Assert(stops[0].Task, quicktest.Equals, starts[0].Task)
	f.p.ReportStart(starts[2], Accepted, f.now) // its order was sent before
	stops = f.decide()
	f.Assert(stops, quicktest.HasLen, 1)
	f.Assert(stops[0].Task, quicktest.Equals, starts[2].Task)
	f.listEnd(starts[0], 1, Stopped)
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.listEnd(starts[2], 2, Stopped)
	again := f.starts()
	f.Assert(again, quicktest.HasLen, 3)
	f.Assert(again[0].Number, quicktest.Equals, 2)
}

// TestPendingUntilGangComplete checks that a gang's job counts as pending until all members
// of one try have started, since none works before.
func TestPendingUntilGangComplete(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("j", newWideGang())
	starts := f.decide()
	f.Assert(starts, quicktest.HasLen, 2)
	f.p.ReportStart(starts[0], Accepted, f.now)
	f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
	f.p.HandleStatus(WorkerStatus{Worker: starts[0].Worker, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: starts[0].Task, Number: 1}}}, f.now)
	f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
	f.p.ReportStart(starts[1], Unknown, f.now)
	f.listEnd(starts[0], 1, Stopped)
	f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
	f.takeOver(10 * second)
	f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
}

// TestQueuedUntilBegun checks that a job's state is queued until a worker has begun one of
// its tasks, as its queue's pending count says.
func TestQueuedUntilBegun(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", newStep(1))
	start := f.decide()[0]
	f.assertState("j", Queued)
	f.p.ReportStart(start, Unknown, f.now)
	f.assertState("j", Queued)
	f.takeOver(10 * second)
	f.assertState("j", Queued)
	f.p.HandleStatus(WorkerStatus{Worker: start.Worker, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: start.Task, Number: start.Number}}}, f.now)
	f.assertState("j", Running)
}

// TestBegunAfterTakeover checks that a begun job stays running, and not pending, for the
// next owner before its workers have answered that owner.
func TestBegunAfterTakeover(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", newStep(1))
	f.starts()
	f.submit("k", newStep(1))
	f.decide()
	f.takeOver(10 * second)
	f.assertState("j", Running)
	f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
}

// TestDoneOfReplacedRun checks that no run starts after the end "done" of an earlier one was
// acknowledged. The worker could not be reached until the lease had expired, and lists the
// end while the task runs elsewhere.
func TestDoneOfReplacedRun(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("j", newStep(1))
	replaced := f.starts()[0]
	f.p.ExtendLease(replaced.Worker, 6*second)
	f.p.HeartbeatMissed(replaced.Worker)
	f.now = 7 * second
	replacement := f.starts()[0]
	f.listEnd(replaced, 1, Done) // the journal holds the end, so the worker may forget it
	f.listEnd(replacement, 1, RunFailed)
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.assertState("j", Completed)
}

// TestDoneOfReplacedGang checks that the newer try of a gang is stopped once an earlier one
// is known to be done.
func TestDoneOfReplacedGang(t *testing.T) {
	f := newFixture(t, 4)
	f.submit("j", newWideGang())
	replaced := f.starts()
	f.Assert(replaced, quicktest.HasLen, 2)
	for _, a := range replaced {
		f.p.ExtendLease(a.Worker, 6*second)
		f.p.HeartbeatMissed(a.Worker)
	}
	f.now = 7 * second
	replacement := f.starts()
	f.Assert(replacement, quicktest.HasLen, 2)
	f.listEnd(replaced[0], 1, Done)
	f.assertState("j", Completed)
	stopped := map[string]bool{}
	for _, a := range f.decide() {
		f.Assert(a.Kind, quicktest.Equals, Stop)
		stopped[a.Worker] = true
	}
	f.Assert(stopped, quicktest.DeepEquals, map[string]bool{replacement[0].Worker: true, replacement[1].Worker: true})
}

// TestPendingAfterStoppedGangMember checks that a checkpoint of a member that was stopped
// while it waited for the others does not make its gang's job begun.
func TestPendingAfterStoppedGangMember(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("j", newWideGang())
	starts := f.decide()
	f.p.ReportStart(starts[0], Accepted, f.now)
	f.p.ReportStart(starts[1], Refused, f.now)
	f.p.HandleStatus(WorkerStatus{Worker: starts[0].Worker, Incarnation: 1, SentAt: f.now, Ended: []EndEntry{
		{1, End{Task: starts[0].Task, Number: 1, Result: Stopped, Checkpoint: "c"}},
	}}, f.now)
	f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
	for _, a := range f.starts() {
		f.p.HandleStatus(WorkerStatus{Worker: a.Worker, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: a.Task, Number: a.Number}}}, f.now)
	}
	f.Assert(f.p.Pending("q"), quicktest.Equals, 0)
}

// TestLargestGang checks that a gang that no owner can start in time is refused when it is
// submitted: it would reserve workers, and never run (LOST).
func TestLargestGang(t *testing.T) {
	for _, test := range []struct {
		tasks int
		gang  bool
		valid bool
	}{{maxGangTasks, true, true}, {maxGangTasks + 1, true, false}, {maxTasks, false, true}, {maxTasks + 1, false, false}} {
		t.Run(strconv.Itoa(test.tasks)+" tasks, gang "+strconv.FormatBool(test.gang), func(t *testing.T) {
			f := newFixture(t, 1)
			step := newStep(test.tasks)
			step.Gang = test.gang
			_, err := f.p.Submit(JobSpec{ID: "j", Queue: "q", Steps: []StepSpec{step}}, f.now)
			f.Assert(errors.Is(err, ErrInvalidJob), quicktest.Equals, !test.valid)
		})
	}
}
