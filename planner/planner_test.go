package planner

import (
	"strconv"
	"testing"
	"time"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

const (
	second = time.Second
	wall   = int64(1_700_000_000_000) // Unix ms at time 0
)

// bench drives a planner by hand.
type bench struct {
	*quicktest.C
	p       *Planner
	now     time.Duration
	actions []Action
	records [][]byte
}

func newBench(t *testing.T, workers int, queues ...Queue) *bench {
	b := &bench{C: quicktest.New(t), p: New()}
	if len(queues) == 0 {
		queues = []Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second}}
	}
	b.p.Configure(Config{Version: 1, Queues: queues, Teams: []Team{{Name: "team", Weight: 1}}}, 0)
	for i := range workers {
		b.add("w" + strconv.Itoa(i))
	}
	return b
}

// add lists a worker with 4 processors.
func (b *bench) add(id string) {
	b.p.Report(Report{ID: id, Centre: "c", Service: "s", Born: 1, Capacity: placer.NewResources(4000, 4096, 0), Labels: []string{"a", "r1"}}, b.now)
	b.p.Use(id)
	b.keep(Record{Use: id})
}

func (b *bench) keep(r Record) {
	r.At = wall + b.now.Milliseconds()
	data, err := r.Encode()
	b.Assert(err, quicktest.IsNil)
	b.records = append(b.records, data)
}

// submit hands a job in and has it stored.
func (b *bench) submit(id string, steps ...StepSpec) {
	spec := JobSpec{ID: id, Queue: "q", Team: "team", Payload: "p", Steps: steps, Accepted: wall + b.now.Milliseconds()}
	_, err := b.p.Submit(spec, b.now)
	b.Assert(err, quicktest.IsNil)
	b.keep(Record{Job: &spec})
	b.p.Stored(id)
}

// decide keeps the actions of one decision, and its starts in the journal.
func (b *bench) decide() []Action {
	b.actions = b.p.Decide(b.now, wall+b.now.Milliseconds())
	var begins []Begin
	for _, a := range b.actions {
		if a.Kind == Start {
			begins = append(begins, Begin{a.Task, a.Number, a.Worker})
		}
	}
	if len(begins) > 0 {
		b.keep(Record{Begins: begins})
	}
	return b.actions
}

// starts returns the starts of one decision, confirmed.
func (b *bench) starts() []Action {
	var starts []Action
	for _, a := range b.decide() {
		if a.Kind == Start {
			b.p.Started(a, Began, b.now)
			starts = append(starts, a)
		}
	}
	return starts
}

// end lists the end of a run and keeps it in the journal.
func (b *bench) end(a Action, serial uint64, how string) {
	ends := b.p.Listed(Listing{Worker: a.Worker, Born: 1, Asked: b.now, Ended: []EndEntry{{serial, End{Task: a.Task, Number: a.Number, How: how}}}}, b.now)
	b.keep(Record{Ends: ends})
	for _, id := range b.p.Ended() {
		b.p.Show(id)
	}
}

func (b *bench) assertState(id string, want State) {
	b.Helper()
	state, known := b.p.State(id, "q", "team")
	b.Assert(known, quicktest.IsTrue)
	b.Assert(state, quicktest.Equals, want)
}

// succeed replaces the planner by one that takes over from the journal.
func (b *bench) succeed(until time.Duration) {
	config := b.p.config
	b.p = New()
	b.Assert(b.p.Restore(nil, b.records, b.now, wall+b.now.Milliseconds(), until), quicktest.IsNil)
	b.p.Configure(config, b.now)
}

func tasks(n int) StepSpec { return StepSpec{Tasks: n, CPU: 1000, Memory: 100, Estimate: 1000} }

func TestSteps(t *testing.T) {
	b := newBench(t, 1)
	next := tasks(1)
	next.After = []int{0}
	b.submit("j", tasks(2), next)
	first := b.starts()
	b.Assert(first, quicktest.HasLen, 2)
	b.end(first[0], 1, Done)
	b.Assert(b.starts(), quicktest.HasLen, 0)
	b.end(first[1], 2, Done)
	last := b.starts()
	b.Assert(last, quicktest.HasLen, 1)
	b.assertState("j", Running)
	b.end(last[0], 3, Done)
	b.assertState("j", Completed)
}

// A start without an answer may be carried out late: its task must not start
// elsewhere before the stop of that run was answered and the worker lists it no
// more.
func TestUnansweredStart(t *testing.T) {
	b := newBench(t, 2)
	b.submit("j", tasks(1))
	start := b.decide()[0]
	b.p.Started(start, Unsure, b.now)
	halt := b.decide()
	b.Assert(halt, quicktest.HasLen, 1)
	b.Assert(halt[0].Kind, quicktest.Equals, Stop)
	b.now += second / 10
	b.p.Halted(halt[0], true, b.now)
	b.Assert(b.starts(), quicktest.HasLen, 0)
	b.now += second / 10
	b.p.Listed(Listing{Worker: start.Worker, Born: 1, Asked: b.now}, b.now)
	again := b.starts()
	b.Assert(again, quicktest.HasLen, 1)
	b.Assert(again[0].Number, quicktest.Equals, 2)
}

// Attempts that an earlier owner counted hold for the next one, although it reads
// its journal before it knows the queues.
func TestAttemptsOutlastOwner(t *testing.T) {
	b := newBench(t, 1)
	b.submit("j", tasks(1))
	b.end(b.starts()[0], 1, Faulty)
	b.end(b.starts()[0], 2, Faulty)
	b.assertState("j", Failed)
	b.succeed(0)
	b.add("w0")
	b.now += second
	b.Assert(b.starts(), quicktest.HasLen, 0)
	b.Assert(b.p.Verdict("j"), quicktest.Equals, Failed)
}

// A job restored from a snapshot goes on after the steps that are done.
func TestSnapshotKeepsFinishedSteps(t *testing.T) {
	b := newBench(t, 1)
	next := tasks(1)
	next.After = []int{0}
	b.submit("j", tasks(1), next)
	b.end(b.starts()[0], 1, Done)
	state, err := b.p.Snapshot(b.now, wall)
	b.Assert(err, quicktest.IsNil)
	config := b.p.config
	b.p = New()
	b.Assert(b.p.Restore(state, nil, b.now, wall, second), quicktest.IsNil)
	b.p.Configure(config, b.now)
	b.add("w0")
	b.now += second
	b.Assert(b.starts(), quicktest.HasLen, 0) // the worker has not been heard
	b.p.Listed(Listing{Worker: "w0", Born: 1, Asked: b.now}, b.now)
	starts := b.starts()
	b.Assert(starts, quicktest.HasLen, 1)
	b.Assert(starts[0].Task, quicktest.Equals, "j.0.1.0")
}

// A new owner starts nothing twice: a task whose start the journal holds waits
// until its worker was heard or its lease has lapsed; other tasks start at once.
func TestTakeover(t *testing.T) {
	b := newBench(t, 1)
	b.submit("known", tasks(1))
	b.Assert(b.starts(), quicktest.HasLen, 1)
	b.submit("waiting", tasks(1))
	b.succeed(6 * second)
	b.add("w1")
	starts := b.starts()
	b.Assert(starts, quicktest.HasLen, 1)
	b.Assert(starts[0].Task, quicktest.Equals, "waiting.0.0.0")
	b.now = 5 * second
	b.Assert(b.starts(), quicktest.HasLen, 0)
	b.now = 7 * second
	lapsed := b.starts()
	b.Assert(lapsed, quicktest.HasLen, 1)
	b.Assert(lapsed[0].Task, quicktest.Equals, "known.0.0.0")
	b.Assert(lapsed[0].Number, quicktest.Equals, 2)
}

// A gang whose members run on is done as a whole by the end of one, also when a
// new owner replays that from the journal; members still on the books must not
// hang the replay.
func TestGangDoneInReplay(t *testing.T) {
	b := newBench(t, 1)
	gang := tasks(3)
	gang.Gang = true
	b.submit("j", gang)
	starts := b.starts()
	b.Assert(starts, quicktest.HasLen, 3)
	b.Assert(starts[0].Number, quicktest.Equals, starts[2].Number)
	b.end(starts[0], 1, Done)
	b.assertState("j", Completed)
	b.succeed(6 * second)
	b.Assert(b.p.Verdict("j"), quicktest.Equals, Completed)
}

// A task that is done while a stray run of it is on the books has that stopped.
func TestDoneWithSecondRun(t *testing.T) {
	b := newBench(t, 2)
	b.submit("j", tasks(2))
	start := b.starts()[0]
	other := "w0"
	if start.Worker == other {
		other = "w1"
	}
	b.p.Listed(Listing{Worker: other, Born: 1, Asked: b.now, Running: []Entry{{Task: start.Task, Number: 9}}}, b.now)
	b.end(start, 1, Done)
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
	b := newBench(t, 1)
	b.submit("j", tasks(1))
	b.starts()
	b.p.Held("w0", 6*second)
	b.Assert(b.p.Renewable("w0"), quicktest.IsTrue)
	b.p.Silent("w0")
	b.Assert(b.p.Renewable("w0"), quicktest.IsFalse)
	b.add("w1")
	b.now = 6 * second
	again := b.starts()
	b.Assert(again, quicktest.HasLen, 1)
	b.Assert(again[0].Worker, quicktest.Equals, "w1")
}

// Just after a takeover no worker was heard yet; that is no overload.
func TestNoRefusalBeforeWorkersWereHeard(t *testing.T) {
	b := newBench(t, 4)
	b.submit("old", tasks(8))
	b.succeed(6 * second)
	for i := range 4 {
		b.p.Report(Report{ID: "w" + strconv.Itoa(i), Centre: "c", Service: "s", Capacity: placer.NewResources(4000, 4096, 0)}, b.now)
	}
	b.submit("new", tasks(1))
}

// An owner in a data centre that is cut off sees more workers silent than
// answering; a few lost workers are no sign of that.
func TestCutOff(t *testing.T) {
	for _, test := range []struct {
		silent int
		want   bool
	}{{0, false}, {3, false}, {5, true}} {
		b := newBench(t, 8)
		b.now = second
		for i := range 8 {
			id := "w" + strconv.Itoa(i)
			if i < test.silent {
				b.p.Silent(id)
				continue
			}
			b.p.Listed(Listing{Worker: id, Born: 1, Asked: b.now}, b.now)
		}
		b.Assert(b.p.CutOff(), quicktest.Equals, test.want)
	}
}

// A job that was cancelled in memory but whose record is not stored yet must not
// be acknowledged as cancelled: the next owner would run it.
func TestCancelIsShownWhenStored(t *testing.T) {
	b := newBench(t, 1)
	b.submit("j", tasks(1))
	b.Assert(b.p.Cancel("j", "team", b.now), quicktest.Equals, Cancellation{Known: true})
	b.Assert(b.p.Cancel("j", "team", b.now), quicktest.Equals, Cancellation{Known: true, Ended: true})
	b.p.Show("j")
	b.Assert(b.p.Cancel("j", "team", b.now), quicktest.Equals, Cancellation{Known: true, Ended: true, Shown: true})
	b.Assert(b.p.Cancel("other", "team", b.now), quicktest.Equals, Cancellation{})
}

// A team that sends four times its rate on a busy fleet is refused, the others
// are not; on an idle fleet nobody is.
func TestHotTeam(t *testing.T) {
	queue := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second, Priority: 1}
	b := newBench(t, 1, queue)
	b.p.Configure(Config{Version: 2, Queues: []Queue{queue}, Teams: []Team{{Name: "team", Weight: 1}, {Name: "calm", Weight: 1}}}, 0)
	refused := map[string]int{}
	send := func(team string, n int) {
		id := team + strconv.Itoa(n)
		_, err := b.p.Submit(JobSpec{ID: id, Queue: "q", Team: team, Payload: "p", Steps: []StepSpec{tasks(2)}}, b.now)
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
	b := newBench(t, 1, patient, hurried)
	for n := range 10 {
		b.submit("patient"+strconv.Itoa(n), tasks(8))
	}
	b.now += second
	_, err := b.p.Submit(JobSpec{ID: "hurried", Queue: "hurried", Team: "calm", Payload: "p", Steps: []StepSpec{tasks(1)}}, b.now)
	b.Assert(err, quicktest.IsNil)
}

// Who waits for a cancel to be stored is not told when the submission is.
func TestAwaitedEvents(t *testing.T) {
	b := newBench(t, 1)
	told := 0
	b.p.Await("j", Concluded, func(error) { told++ })
	b.Assert(b.p.Awaited("j", Submitted), quicktest.HasLen, 0)
	for _, tell := range b.p.Awaited("j", Concluded) {
		tell(nil)
	}
	b.Assert(told, quicktest.Equals, 1)
	b.Assert(b.p.Awaited("j", Concluded), quicktest.HasLen, 0)
}

// A worker that left the list and came back may be dropped in the journal after its
// return was kept. What was started there lapses for the next owner all the same.
func TestTakeoverWithDroppedWorker(t *testing.T) {
	b := newBench(t, 1)
	b.submit("j", tasks(1))
	b.Assert(b.starts(), quicktest.HasLen, 1)
	b.keep(Record{Drop: "w0"})
	b.succeed(6 * second)
	b.add("w1")
	b.Assert(b.starts(), quicktest.HasLen, 0)
	b.now = 7 * second
	again := b.starts()
	b.Assert(again, quicktest.HasLen, 1)
	b.Assert(again[0].Number, quicktest.Equals, 2)
}

// TestSlowTakeover replays a takeover that took longer than any lease: the journal
// was read over a slow link. A worker that can be asked is asked before its runs
// count as lapsed; it may list their ends yet.
func TestSlowTakeover(t *testing.T) {
	takeOver := func(t *testing.T) (*bench, Action) {
		b := newBench(t, 2)
		b.submit("j", tasks(1))
		first := b.starts()
		b.Assert(first, quicktest.HasLen, 1)
		b.now = 30 * second
		b.succeed(12 * second)
		b.add("w0")
		b.add("w1")
		for _, id := range []string{"w0", "w1"} {
			if id != first[0].Worker {
				b.p.Listed(Listing{Worker: id, Born: 1, Asked: b.now}, b.now)
			}
		}
		b.Assert(b.starts(), quicktest.HasLen, 0)
		return b, first[0]
	}
	t.Run("the end is listed", func(t *testing.T) {
		b, first := takeOver(t)
		b.end(first, 1, Done)
		b.Assert(b.starts(), quicktest.HasLen, 0)
		b.assertState("j", Completed)
	})
	t.Run("no answer", func(t *testing.T) {
		b, first := takeOver(t)
		b.p.Silent(first.Worker)
		again := b.starts()
		b.Assert(again, quicktest.HasLen, 1)
		b.Assert(again[0].Number, quicktest.Equals, 2)
	})
	t.Run("not listed any more", func(t *testing.T) {
		b, first := takeOver(t)
		b.p.Unlist(first.Worker)
		b.Assert(b.starts(), quicktest.HasLen, 1)
	})
}

// An end of a run that an earlier owner began tells nothing of its length.
func TestLearnFromOwnRunsOnly(t *testing.T) {
	b := newBench(t, 1)
	b.now = 1000 * second
	b.submit("j", tasks(1))
	first := b.starts()[0]
	b.succeed(1006 * second)
	b.add("w0")
	b.end(first, 1, Done)
	b.assertState("j", Completed)
	b.Assert(b.p.ratio("q"), quicktest.Equals, 1.0)
}

// TestCutOffAfterTakeover replays a takeover while a data centre is cut off: its
// workers were silent after 0.1 s, before the others had answered, and the new owner
// made way at once. So did an owner next to a data centre that was out of service,
// whose workers run nothing and are not called.
func TestCutOffAfterTakeover(t *testing.T) {
	b := newBench(t, 12)
	b.succeed(6 * second)
	for n := range 12 {
		b.add("w" + strconv.Itoa(n))
	}
	for n := range 6 {
		b.p.Silent("w" + strconv.Itoa(n))
	}
	b.Assert(b.p.CutOff(), quicktest.IsFalse)
	for n := 6; n < 9; n++ {
		b.p.Listed(Listing{Worker: "w" + strconv.Itoa(n), Born: 1, Asked: b.now}, b.now)
	}
	b.now += 10 * second
	b.Assert(b.p.CutOff(), quicktest.IsFalse)
	b.p.Silent("w9")
	b.Assert(b.p.CutOff(), quicktest.IsTrue)
}

// A start that waits for a slow store is not ordered on a worker that drains, left or
// lost its data centre meanwhile.
func TestAcceptsBeforeOrder(t *testing.T) {
	b := newBench(t, 1)
	b.Assert(b.p.Accepts("w0"), quicktest.IsTrue)
	b.p.Close("c", true)
	b.Assert(b.p.Accepts("w0"), quicktest.IsFalse)
	b.p.Close("c", false)
	b.p.Report(Report{ID: "w0", Centre: "c", Service: "s", Born: 1, Draining: true}, b.now)
	b.Assert(b.p.Accepts("w0"), quicktest.IsFalse)
	b.p.Report(Report{ID: "w0", Centre: "c", Service: "s", Born: 1}, b.now)
	b.Assert(b.p.Accepts("w0"), quicktest.IsTrue)
	b.p.Unlist("w0")
	b.Assert(b.p.Accepts("w0"), quicktest.IsFalse)
	b.Assert(b.p.Accepts("unknown"), quicktest.IsFalse)
}
