package planner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// attemptsFleet plays workers whose tasks fail at random, cuts, changes of the configuration
// and of the owner. It knows which ends the owner has been told.
type attemptsFleet struct {
	*fixture
	random   *rand.Rand
	workers  map[string]*attemptsWorker
	queued   []queuedRecord              // not in the journal yet
	owned    []Record                    // that the journal holds, or this owner has queued
	shown    map[string]State            // final states that a caller may have seen
	checked  map[string]bool             // jobs of which a failure was checked
	version  uint64                      // of the configuration
	attempts int                         // of the queue
	snapshot []byte                      // nil, or a state that holds the first records, or more than these
	covered  int                         // number of records that snapshot certainly holds
	failed   map[string]map[int]bool     // runs that this owner or the journal knows as failed, by task
	tries    map[string]map[int]bool     // the same of gangs, by step
	stats    struct{ failed, gangs int } // jobs that have failed, and those of them that only a gang has failed
}

type attemptsWorker struct {
	running []Action
	ended   []EndEntry
	cut     time.Duration // end of the cut; 0 if there is none
	lapses  time.Duration // when the lease ends on the worker
}

// queuedRecord is a record that waits for the journal.
type queuedRecord struct {
	data   []byte
	record Record
	starts []Action
	ended  []string
}

func attemptsQueue(attempts int) Queue {
	return Queue{Name: "q", Service: "s", Attempts: attempts, Stretch: 2, Objective: 100 * second}
}

func newAttemptsFleet(t *testing.T, seed uint64) *attemptsFleet {
	l := &attemptsFleet{
		fixture: newFixture(t, 0, attemptsQueue(2)), random: rand.New(rand.NewPCG(seed, 345)), workers: map[string]*attemptsWorker{}, version: 1, attempts: 2,
		shown: map[string]State{}, checked: map[string]bool{}, failed: map[string]map[int]bool{}, tries: map[string]map[int]bool{},
	}
	for n := range 6 {
		id := "w" + strconv.Itoa(n)
		l.addWorker(id)
		l.workers[id] = &attemptsWorker{}
	}
	return l
}

func (l *attemptsFleet) ids() []string { return slices.Sorted(maps.Keys(l.workers)) }

// enqueue queues a record with the facts and ends that no record holds yet.
func (l *attemptsFleet) enqueue(r Record, starts []Action) {
	ended := l.p.TakeEnded()
	r.At, r.Failed = wall+l.now.Milliseconds(), l.p.Failed(ended)
	r.Begun, r.Crashes = l.p.TakeBegun(), l.p.TakeCrashes()
	data, err := r.Encode()
	l.Assert(err, quicktest.IsNil)
	l.queued = append(l.queued, queuedRecord{data, r, starts, ended})
	l.know(r.Ends)
}

// know notes the ends that the owner has been told.
func (l *attemptsFleet) know(ends []End) {
	for _, e := range ends {
		if e.Result != RunFailed {
			continue
		}
		add := func(known map[string]map[int]bool, name string) {
			if known[name] == nil {
				known[name] = map[int]bool{}
			}
			known[name][e.Number] = true
		}
		id, k, step, _, ok := parseTask(e.Task)
		l.Assert(ok, quicktest.IsTrue)
		add(l.failed, e.Task)
		add(l.tries, taskPrefix(id, k, step))
	}
}

// store puts the first n queued records into the journal, and orders their starts.
func (l *attemptsFleet) store(n int) {
	for _, q := range l.queued[:n] {
		l.records = append(l.records, q.data)
		l.owned = append(l.owned, q.record)
		for _, id := range q.ended {
			l.p.MarkEndStored(id)
			l.shown[id] = l.p.FinalState(id)
		}
		for _, a := range q.starts {
			l.order(a)
		}
	}
	l.queued = l.queued[n:]
}

func (l *attemptsFleet) order(a Action) {
	w := l.workers[a.Worker]
	if !l.p.Wanted(a) || !l.p.Accepts(a.Worker) {
		l.p.ReportStart(a, Withdrawn, l.now)
		return
	}
	l.p.ExtendLease(a.Worker, l.now+2*second)
	w.lapses = l.now + 2*second
	l.p.MarkOrdered(a, l.now)
	if w.cut != 0 {
		l.p.ReportStart(a, Unknown, l.now)
		return
	}
	l.p.ReportStart(a, Accepted, l.now)
	w.running = append(w.running, a)
}

// end ends a run on its worker.
func (w *attemptsWorker) end(a Action, result string) {
	w.running = slices.DeleteFunc(w.running, func(other Action) bool { return other.Task == a.Task && other.Number == a.Number })
	w.ended = append(w.ended, EndEntry{uint64(len(w.ended) + 1), End{Task: a.Task, Number: a.Number, Result: result}})
}

// isGang reports whether the step of the job is a gang.
func isGang(job string, step int) bool { return strings.HasPrefix(job, "gang") && step == 0 }

// endGang ends the other members of a gang's run, on workers that are not cut off.
func (l *attemptsFleet) endGang(ended Action, result string) {
	id, k, step, _, _ := parseTask(ended.Task)
	if !isGang(id, step) {
		return
	}
	for _, other := range l.ids() {
		if l.workers[other].cut != 0 {
			continue
		}
		for _, a := range slices.Clone(l.workers[other].running) {
			otherID, otherK, otherStep, _, _ := parseTask(a.Task)
			if otherID == id && otherK == k && otherStep == step && a.Number == ended.Number {
				l.workers[other].end(a, result)
			}
		}
	}
}

// run lets the workers go on: runs end at random, leases expire behind cuts, which begin at
// random.
func (l *attemptsFleet) run() {
	for _, id := range l.ids() {
		w := l.workers[id]
		switch {
		case w.cut != 0 && l.now >= w.cut:
			w.cut = 0
		case w.cut == 0 && l.random.IntN(60) == 0:
			w.cut = l.now + time.Duration(l.random.IntN(6000))*time.Millisecond
		}
		for _, a := range slices.Clone(w.running) {
			if !slices.ContainsFunc(w.running, func(b Action) bool { return b.Task == a.Task && b.Number == a.Number }) {
				continue // ended with its gang
			}
			if l.now >= w.lapses {
				w.end(a, LeaseExpired)
				continue
			}
			switch l.random.IntN(30) {
			case 0:
				w.end(a, Done)
				l.endGang(a, Done)
			case 1, 2, 3:
				w.end(a, RunFailed)
				l.endGang(a, GangBroken)
			case 4:
				w.end(a, []string{GangBroken, GangIncomplete, Stopped}[l.random.IntN(3)])
			}
		}
	}
}

// list lets the workers that are not cut off list what they have. They have forgotten no end.
func (l *attemptsFleet) list() {
	for _, id := range l.ids() {
		w := l.workers[id]
		if w.cut != 0 {
			l.p.HeartbeatMissed(id)
			continue
		}
		if l.p.Renewable(id) {
			l.p.ExtendLease(id, l.now+2*second)
			w.lapses = l.now + 2*second
		}
		status := WorkerStatus{Worker: id, Incarnation: 1, SentAt: l.now, Ended: w.ended}
		for _, a := range w.running {
			status.Running = append(status.Running, RunningEntry{Task: a.Task, Number: a.Number, Progress: 10})
		}
		if ends := l.p.HandleStatus(status, l.now); len(ends) > 0 {
			l.enqueue(Record{Ends: ends}, nil)
		}
	}
}

// decide carries out a decision. No task may start whose attempts are used up (BUDGET).
func (l *attemptsFleet) decide() {
	var starts []Action
	var begins []Begin
	for _, a := range l.p.Decide(l.now, wall+l.now.Milliseconds()) {
		switch a.Kind {
		case Stop:
			w := l.workers[a.Worker]
			for _, r := range slices.Clone(w.running) {
				if w.cut == 0 && r.Task == a.Task && r.Number == a.Number {
					w.end(r, Stopped)
				}
			}
			l.p.ReportStop(a, w.cut == 0, l.now)
		case Start:
			failed := l.failed[a.Task]
			if id, k, step, _, _ := parseTask(a.Task); isGang(id, step) {
				failed = l.tries[taskPrefix(id, k, step)]
			}
			l.Check(len(failed) < l.attempts, quicktest.IsTrue, quicktest.Commentf("run %d of %s starts, %v have failed, %d are allowed", a.Number, a.Task, slices.Sorted(maps.Keys(failed)), l.attempts))
			starts, begins = append(starts, a), append(begins, a.Begin())
		}
	}
	if len(starts) > 0 {
		l.enqueue(Record{Begins: begins}, starts)
	}
	l.flush()
}

// flush queues a record of the jobs that have failed without an end.
func (l *attemptsFleet) flush() {
	if l.p.HasEnded() {
		l.enqueue(Record{}, nil)
	}
}

// configure changes the attempts or the name of the queue.
func (l *attemptsFleet) configure() {
	l.version++
	l.attempts = 2 + l.random.IntN(3)
	l.p.Configure(Config{Version: l.version, Queues: []Queue{attemptsQueue(l.attempts)}, Teams: []Team{{Name: "team", Weight: 100}}}, l.now)
	l.flush()
}

// takeOver replaces the owner. Its last records may have been refused. The next owner reads
// a snapshot, if there is one, and records of which the snapshot may hold some.
func (l *attemptsFleet) takeOver() {
	l.store(l.random.IntN(len(l.queued) + 1))
	l.queued = nil
	config := l.p.config
	l.p = New()
	l.Assert(l.p.Restore(l.snapshot, l.records[l.covered:], l.now, wall+l.now.Milliseconds(), l.now+2*second), quicktest.IsNil)
	l.failed, l.tries = map[string]map[int]bool{}, map[string]map[int]bool{}
	for _, r := range l.owned {
		l.know(r.Ends)
	}
	config.Version = max(config.Version, l.version)
	l.p.Configure(config, l.now)
	l.flush()
	for _, id := range l.ids() {
		l.addListed(id)
	}
	for id, state := range l.shown {
		l.Check(l.p.FinalState(id), quicktest.Equals, state, quicktest.Commentf("%s at the next owner", id))
	}
}

// addListed registers a worker that the journal names.
func (l *attemptsFleet) addListed(id string) {
	records := len(l.records)
	l.addWorker(id)
	l.records = l.records[:records]
}

// capture takes a snapshot. Beside the records that the journal holds, it holds the effect of
// the queued ones, so these have to be stored.
func (l *attemptsFleet) capture() {
	covered := len(l.records)
	state, err := l.p.Snapshot(l.now, wall+l.now.Milliseconds())
	l.Assert(err, quicktest.IsNil)
	l.store(len(l.queued))
	l.snapshot, l.covered = state, covered
}

// check checks that each job that this owner has failed has a task, or a gang, that has failed
// as often as the queue allows.
func (l *attemptsFleet) check() {
	for _, id := range slices.Sorted(maps.Keys(l.p.jobs)) {
		failure := l.p.FailureOf(id)
		if l.checked[id] || failure.Attempts == 0 {
			continue
		}
		l.checked[id] = true
		jobID, k, step, _, _ := parseTask(failure.Task)
		byTask, byGang := len(l.failed[failure.Task]), 0
		if isGang(jobID, step) {
			byGang = len(l.tries[taskPrefix(jobID, k, step)])
		}
		comment := quicktest.Commentf("%s: %v; %d and %d by the lists", id, failure, byTask, byGang)
		l.Check(failure.Attempts, quicktest.Equals, l.attempts, comment)
		l.Check(failure.Failures <= byTask && failure.GangFailures <= byGang, quicktest.IsTrue, comment)
		l.Check(max(byTask, byGang) >= l.attempts, quicktest.IsTrue, comment)
		l.stats.failed++
		if byTask < l.attempts {
			l.stats.gangs++
		}
	}
}

// play plays the fleet for d.
func (l *attemptsFleet) play(d time.Duration) {
	for end := l.now + d; l.now < end; l.now += 50 * time.Millisecond {
		l.run()
		l.list()
		l.check()
		l.decide()
		l.check()
		switch l.random.IntN(60) {
		case 0:
			l.takeOver()
		case 1:
			l.configure()
		case 2:
			l.capture()
		}
		l.check()
		l.store(l.random.IntN(len(l.queued) + 1))
	}
}

// TestOnlyFailedRunsCountAsAttempts checks, over changes of the owner and of the attempts, that
// a job fails by attempts only if a task, or a gang, has failed so often; that nothing starts
// after that; and that the next owner shows what the last one has shown.
func TestOnlyFailedRunsCountAsAttempts(t *testing.T) {
	failed, gangs := 0, 0
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			l := newAttemptsFleet(t, seed)
			for n := range 60 {
				first, second := newStep(1+n%3), newStep(2)
				first.Gang, second.After = n%2 == 0, []int{0}
				if first.Gang {
					first.Tasks++
				}
				id := "job" + strconv.Itoa(n)
				if first.Gang {
					id = "gang" + strconv.Itoa(n)
				}
				l.submit(id, first, second)
			}
			for _, data := range l.records {
				var r Record
				l.Assert(cbor.Unmarshal(data, &r), quicktest.IsNil)
				l.owned = append(l.owned, r)
			}
			l.play(40 * second)
			failed, gangs = failed+l.stats.failed, gangs+l.stats.gangs
		})
	}
	t.Logf("%d jobs have failed, %d of them by a gang only", failed, gangs)
	quicktest.Assert(t, failed >= 100 && gangs >= 10, quicktest.IsTrue)
}

// TestLateEndCountsAsAttempt checks that a task does not start again once it has failed as often
// as its queue allows (BUDGET), although the end of an earlier run is read after that of a later one.
func TestLateEndCountsAsAttempt(t *testing.T) {
	for name, step := range map[string]StepSpec{"task": newStep(1), "gang": {Tasks: 1, CPU: 1000, Memory: 100, Estimate: 1000, Gang: true}} {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", owner changes ", takeOver), func(t *testing.T) {
				f := newFixture(t, 2)
				f.submit("j", step)
				first := f.starts()[0]
				f.p.ExtendLease(first.Worker, f.now+second)
				f.p.HeartbeatMissed(first.Worker)
				f.now += 2 * second
				second := f.starts()[0]
				f.Assert(second.Worker, quicktest.Not(quicktest.Equals), first.Worker)
				f.listEnd(second, 1, RunFailed)
				if takeOver {
					f.takeOver(f.now)
					f.addWorker("w0")
					f.addWorker("w1")
				}
				f.listEnd(first, 1, RunFailed)
				f.Assert(f.starts(), quicktest.HasLen, 0)
				f.assertState("j", Failed)
				f.takeOver(f.now)
				f.assertState("j", Failed)
			})
		}
	}
}

// TestFailureAfterDoneFailsNoJob checks that a job goes on with its next step although a run that
// was given up fails after another run of its task is done.
func TestFailureAfterDoneFailsNoJob(t *testing.T) {
	f := newFixture(t, 2)
	next := newStep(1)
	next.After = []int{0}
	f.submit("j", newStep(1), next)
	f.listEnd(f.starts()[0], 1, RunFailed)
	lost := f.starts()[0]
	f.p.ExtendLease(lost.Worker, f.now+second)
	f.p.HeartbeatMissed(lost.Worker)
	f.now += 2 * second
	done := f.starts()[0]
	f.Assert(done.Worker, quicktest.Not(quicktest.Equals), lost.Worker)
	f.p.HandleStatus(WorkerStatus{Worker: lost.Worker, Incarnation: 1, SentAt: f.now, Running: []RunningEntry{{Task: lost.Task, Number: lost.Number}}}, f.now)
	f.listEnd(done, 2, Done)
	f.listEnd(lost, 3, RunFailed)
	f.assertState("j", Running)
	f.takeOver(f.now)
	f.assertState("j", Running)
}
