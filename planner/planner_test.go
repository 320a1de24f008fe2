package planner

import (
	"strconv"
	"testing"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

func TestSteps(t *testing.T) {
	b := newFixture(t, 1)
	next := newStep(1)
	next.After = []int{0}
	b.submit("j", newStep(2), next)
	first := b.starts()
	b.Assert(first, quicktest.HasLen, 2)
	b.listEnd(first[0], 1, Done)
	b.Assert(b.starts(), quicktest.HasLen, 0)
	b.listEnd(first[1], 2, Done)
	last := b.starts()
	b.Assert(last, quicktest.HasLen, 1)
	b.assertState("j", Running)
	b.listEnd(last[0], 3, Done)
	b.assertState("j", Completed)
}

// A start without an answer may be carried out late: its task must not start
// elsewhere before the stop of that run was answered and the worker lists it no
// more.
func TestUnansweredStart(t *testing.T) {
	b := newFixture(t, 2)
	b.submit("j", newStep(1))
	start := b.decide()[0]
	b.p.Started(start, Unknown, b.now)
	halt := b.decide()
	b.Assert(halt, quicktest.HasLen, 1)
	b.Assert(halt[0].Kind, quicktest.Equals, Stop)
	b.now += second / 10
	b.p.Halted(halt[0], true, b.now)
	b.Assert(b.starts(), quicktest.HasLen, 0)
	b.now += second / 10
	b.p.HandleStatus(WorkerStatus{Worker: start.Worker, Incarnation: 1, Asked: b.now}, b.now)
	again := b.starts()
	b.Assert(again, quicktest.HasLen, 1)
	b.Assert(again[0].Number, quicktest.Equals, 2)
}

// A task that is done while a stray run of it is on the books has that stopped.
func TestDoneWithSecondRun(t *testing.T) {
	b := newFixture(t, 2)
	b.submit("j", newStep(2))
	start := b.starts()[0]
	other := "w0"
	if start.Worker == other {
		other = "w1"
	}
	b.p.HandleStatus(WorkerStatus{Worker: other, Incarnation: 1, Asked: b.now, Running: []Entry{{Task: start.Task, Number: 9}}}, b.now)
	b.listEnd(start, 1, Done)
	var stopped []int
	for _, a := range b.decide() {
		if a.Kind == Stop {
			stopped = append(stopped, a.Number)
		}
	}
	b.Assert(stopped, quicktest.DeepEquals, []int{9})
}

// A worker that answers no call gets no longer lease, so that its runs lapse.
func TestSilentWorkerLapses(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("j", newStep(1))
	b.starts()
	b.p.ExtendLease("w0", 6*second)
	b.Assert(b.p.Renewable("w0"), quicktest.IsTrue)
	b.p.HeartbeatMissed("w0")
	b.Assert(b.p.Renewable("w0"), quicktest.IsFalse)
	b.addWorker("w1")
	b.now = 6 * second
	again := b.starts()
	b.Assert(again, quicktest.HasLen, 1)
	b.Assert(again[0].Worker, quicktest.Equals, "w1")
}

// Just after a takeover no worker was heard yet; that is no overload.
func TestNoRefusalBeforeWorkersWereHeard(t *testing.T) {
	b := newFixture(t, 4)
	b.submit("old", newStep(8))
	b.takeOver(6 * second)
	for i := range 4 {
		b.p.Register(Registration{ID: "w" + strconv.Itoa(i), Centre: "c", Service: "s", Capacity: placer.NewResources(4000, 4096, 0)}, b.now)
	}
	b.submit("new", newStep(1))
}

// An owner in a data centre that is cut off sees more workers silent than
// answering; a few lost workers are no sign of that.
func TestCutOff(t *testing.T) {
	for _, test := range []struct {
		silent int
		want   bool
	}{{0, false}, {3, false}, {5, true}} {
		b := newFixture(t, 8)
		b.now = second
		for i := range 8 {
			id := "w" + strconv.Itoa(i)
			if i < test.silent {
				b.p.HeartbeatMissed(id)
				continue
			}
			b.p.HandleStatus(WorkerStatus{Worker: id, Incarnation: 1, Asked: b.now}, b.now)
		}
		b.Assert(b.p.Partitioned(), quicktest.Equals, test.want)
	}
}

// A job that was cancelled in memory but whose record is not stored yet must not
// be acknowledged as cancelled: the next owner would run it.
func TestCancelIsShownWhenStored(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("j", newStep(1))
	b.Assert(b.p.Cancel("j", "team", b.now), quicktest.Equals, Cancellation{Known: true})
	b.Assert(b.p.Cancel("j", "team", b.now), quicktest.Equals, Cancellation{Known: true, Ended: true})
	b.p.MarkEndStored("j")
	b.Assert(b.p.Cancel("j", "team", b.now), quicktest.Equals, Cancellation{Known: true, Ended: true, Stored: true})
	b.Assert(b.p.Cancel("other", "team", b.now), quicktest.Equals, Cancellation{})
}

// A team that sends four times its rate on a busy fleet is refused, the others
// are not; on an idle fleet nobody is.
func TestHotTeam(t *testing.T) {
	queue := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second, Priority: 1}
	b := newFixture(t, 1, queue)
	b.p.Configure(Config{Version: 2, Queues: []Queue{queue}, Teams: []Team{{Name: "team", Weight: 1}, {Name: "calm", Weight: 1}}}, 0)
	refused := map[string]int{}
	send := func(team string, n int) {
		id := team + strconv.Itoa(n)
		_, err := b.p.Submit(JobSpec{ID: id, Queue: "q", Team: team, Payload: "p", Steps: []StepSpec{newStep(2)}}, b.now)
		if err != nil {
			refused[team]++
			return
		}
		b.p.Stored(id)
	}
	for n := range 12 {
		send("team", n)
		if n%4 == 0 {
			send("calm", n)
		}
		b.now += second / 4
	}
	b.Assert(refused["team"] > 3, quicktest.IsTrue, quicktest.Commentf("refused %v", refused))
	b.Assert(refused["calm"], quicktest.Equals, 0)
}

// A job with little slack is not refused because of a backlog that can wait longer:
// it is served before that.
func TestBacklogThatCanWait(t *testing.T) {
	patient := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: 100 * second, Priority: 2}
	hurried := Queue{Name: "hurried", Service: "s", Attempts: 2, Stretch: 2, Objective: second, Priority: 2}
	b := newFixture(t, 1, patient, hurried)
	for n := range 10 {
		b.submit("patient"+strconv.Itoa(n), newStep(8))
	}
	b.now += second
	_, err := b.p.Submit(JobSpec{ID: "hurried", Queue: "hurried", Team: "calm", Payload: "p", Steps: []StepSpec{newStep(1)}}, b.now)
	b.Assert(err, quicktest.IsNil)
}

// Who waits for a cancel to be stored is not told when the submission is.
func TestAwaitedEvents(t *testing.T) {
	b := newFixture(t, 1)
	told := 0
	b.p.Await("j", Concluded, func(error) { told++ })
	b.Assert(b.p.TakeWaiters("j", Submitted), quicktest.HasLen, 0)
	for _, tell := range b.p.TakeWaiters("j", Concluded) {
		tell(nil)
	}
	b.Assert(told, quicktest.Equals, 1)
	b.Assert(b.p.TakeWaiters("j", Concluded), quicktest.HasLen, 0)
}

// A start that waits for a slow store is not ordered on a worker that drains, left or
// lost its data centre meanwhile.
func TestAcceptsBeforeOrder(t *testing.T) {
	b := newFixture(t, 1)
	b.Assert(b.p.Accepts("w0"), quicktest.IsTrue)
	b.p.SetCordoned("c", true)
	b.Assert(b.p.Accepts("w0"), quicktest.IsFalse)
	b.p.SetCordoned("c", false)
	b.p.Register(Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 1, Draining: true}, b.now)
	b.Assert(b.p.Accepts("w0"), quicktest.IsFalse)
	b.p.Register(Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 1}, b.now)
	b.Assert(b.p.Accepts("w0"), quicktest.IsTrue)
	b.p.Deregister("w0")
	b.Assert(b.p.Accepts("w0"), quicktest.IsFalse)
	b.Assert(b.p.Accepts("unknown"), quicktest.IsFalse)
}
