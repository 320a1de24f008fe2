package planner

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

// playedRun is a run on a played worker.
type playedRun struct {
	size   placer.Resources
	team   bool          // it counts towards the limit of the limited team
	copied bool          // its task may run in two places
	endsAt time.Duration // when it is done
	stopAt time.Duration // when a stop ends it, 0 if none was executed
}

// playedWorker runs several tasks, and executes orders late, as the platform's do.
type playedWorker struct {
	incarnation int64
	fence       int
	runs        map[runKey]*playedRun
	highest     map[string]int // by task, number of runs that ended here or were stopped
	serial      uint64
	ended       []EndEntry
}

// playedOrder is a start or a stop that gets no answer.
type playedOrder struct {
	Action
	fence      int
	executedAt time.Duration
}

// contention plays a small full fleet with urgent and deferred jobs. Orders get no answer and are
// executed up to 12 s later, stops take up to 0.9 s, workers restart, runs fail or take long, and
// owners change.
type contention struct {
	*fixture
	random      *rand.Rand
	fence       int
	ids         []string // of the workers
	workers     map[string]*playedWorker
	orders      []playedOrder
	jobs        []string
	done        map[string]bool         // tasks of which an end done was taken note of
	failed      map[string]map[int]bool // failed runs that were taken note of, by task
	preempted   map[string]map[int]bool // runs that were stopped for urgent steps, by task
	speculative bool                    // half of the deferred jobs may have copies
	preemptions int
	copies      int
	log         []string
}

const (
	contentionAttempts = 3
	contentionLimit    = 5000 // thousandths of a processor of the limited team
)

func contentionQueues() []Queue {
	return []Queue{
		{Name: "q", Service: "s", Priority: 1, Attempts: contentionAttempts, Stretch: 4, Objective: 1000 * second},
		{Name: "urgent", Service: "s", Attempts: contentionAttempts, Stretch: 1.5, Objective: 2 * second},
	}
}

func newContention(t *testing.T, seed uint64, workers int, options ...Option) *contention {
	l := &contention{
		fixture: newFixture(t, 0), random: rand.New(rand.NewPCG(seed, 46)), fence: 1, workers: map[string]*playedWorker{},
		done: map[string]bool{}, failed: map[string]map[int]bool{}, preempted: map[string]map[int]bool{},
	}
	l.p = New(options...)
	l.p.Configure(Config{Version: 1, Queues: contentionQueues(), Teams: []Team{{Name: "team", Weight: 100, Limit: placer.NewResources(contentionLimit, 0, 0)}}}, 0)
	for n := range workers {
		id := fmt.Sprintf("w%d", n)
		l.addWorker(id)
		l.ids, l.workers[id] = append(l.ids, id), newPlayedWorker(1)
	}
	l.now = second
	return l
}

func newPlayedWorker(incarnation int64) *playedWorker {
	return &playedWorker{incarnation: incarnation, runs: map[runKey]*playedRun{}, highest: map[string]int{}}
}

func (l *contention) happens(chance float64) bool { return l.random.Float64() < chance }

func (l *contention) duration(limit time.Duration) time.Duration {
	return time.Duration(l.random.Int64N(int64(limit)))
}

func (l *contention) logf(format string, args ...any) {
	l.log = append(l.log, fmt.Sprintf("%7.3f ", l.now.Seconds())+fmt.Sprintf(format, args...))
}

// check fails the test with the newest lines of the log.
func (l *contention) check(ok bool, what string) {
	l.Helper()
	l.Assert(ok, quicktest.IsTrue, quicktest.Commentf("%s\n%s", what, strings.Join(l.log[max(0, len(l.log)-80):], "\n")))
}

// submitJob submits an urgent job, or a deferred one with checkpoints.
func (l *contention) submitJob(urgent bool) {
	spec := JobSpec{ID: fmt.Sprintf("j%d", len(l.jobs)), Queue: "q", Team: "team", Payload: "p", AcceptedAt: wall + l.now.Milliseconds()}
	step := newStep(1 + l.random.IntN(4))
	step.CPU, step.Checkpoint, step.Estimate = 1400, l.happens(0.8), 12_000
	if l.speculative && l.happens(0.5) {
		step.Tasks, step.CPU, step.Estimate, step.Speculative = 5, 600, 1500, true
	}
	if urgent {
		spec.Queue, step = "urgent", newStep(1)
		step.CPU = 2000 + 1000*l.random.Int64N(2)
	}
	if l.happens(0.5) {
		spec.Team = "other"
	}
	spec.Steps = []StepSpec{step}
	if _, err := l.p.Submit(spec, l.now); err != nil {
		return
	}
	l.record(Record{Job: &spec})
	l.p.MarkStored(spec.ID)
	l.jobs = append(l.jobs, spec.ID)
}

// execute executes a start and returns its outcome.
func (l *contention) execute(a Action, fence int) Outcome {
	w, key := l.workers[a.Worker], runKey{a.Task, a.Number}
	if fence < w.fence || a.Number <= w.highest[a.Task] || w.runs[key] != nil {
		return Refused
	}
	s, _ := l.p.stepOf(a.Task)
	if s == nil {
		return Refused // of an ended job; its runs are checked by other tests
	}
	l.check(!l.done[a.Task], a.Task+" begins after its end done")
	took := l.duration(2*time.Duration(s.spec.Estimate)*time.Millisecond) + 1
	if s.spec.Speculative && l.happens(0.2) {
		took *= 7
	}
	w.fence = fence
	w.runs[key] = &playedRun{s.spec.Size, s.occurrence.job.spec.Team == "team", s.spec.Speculative, l.now + took, 0}
	l.logf("%s runs %v", a.Worker, key)
	return Accepted
}

// executeStop executes a stop.
func (l *contention) executeStop(a Action, fence int) bool {
	w := l.workers[a.Worker]
	if fence < w.fence {
		return false
	}
	w.fence, w.highest[a.Task] = fence, max(w.highest[a.Task], a.Number)
	if r := w.runs[runKey{a.Task, a.Number}]; r != nil && r.stopAt == 0 {
		r.stopAt = l.now + l.duration(900*time.Millisecond)
	}
	return true
}

// end ends a run on its worker.
func (l *contention) end(id string, key runKey, result string) {
	w := l.workers[id]
	delete(w.runs, key)
	w.serial++
	w.highest[key.task] = max(w.highest[key.task], key.number)
	w.ended = append(w.ended, EndEntry{w.serial, End{Task: key.task, Number: key.number, Result: result, Checkpoint: "c"}})
	l.logf("%v on %s has ended %s", key, id, result)
}

// call sends a heartbeat to a worker, and takes note of the ends.
func (l *contention) call(id string) {
	w := l.workers[id]
	w.fence = l.fence
	l.p.ExtendLease(id, l.now+6*second)
	status := WorkerStatus{Worker: id, Incarnation: w.incarnation, SentAt: l.now, Ended: slices.Clone(w.ended)}
	for _, key := range w.sorted() {
		status.Running = append(status.Running, RunningEntry{Task: key.task, Number: key.number})
	}
	ends := l.p.HandleStatus(status, l.now)
	w.ended = slices.DeleteFunc(w.ended, func(e EndEntry) bool { return e.Serial <= l.p.AppliedSerial(id) })
	for _, e := range ends {
		l.done[e.Task] = l.done[e.Task] || e.Result == Done
		if e.Result == RunFailed {
			add(l.failed, e.Task, e.Number)
			l.check(len(l.failed[e.Task]) <= contentionAttempts, e.Task+" has failed too often")
		}
	}
	l.flush(Record{Ends: ends})
}

// flush writes a record with what this owner has to store.
func (l *contention) flush(r Record) {
	ended := l.p.TakeEnded()
	r.Failed = l.p.Failed(ended)
	l.record(r)
	for _, id := range ended {
		l.p.MarkEndStored(id)
	}
}

func (w *playedWorker) sorted() []runKey {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
}

func add(runs map[string]map[int]bool, task string, number int) {
	if runs[task] == nil {
		runs[task] = map[int]bool{}
	}
	runs[task][number] = true
}

// decide carries out the actions of a decision.
func (l *contention) decide(calm bool) {
	actions := l.fixture.decide()
	l.flush(Record{})
	for _, a := range actions {
		lost, late := !calm && (l.happens(0.07) || a.CopyOf != 0 && l.happens(0.3)), playedOrder{a, l.fence, l.now + l.duration(12*second)}
		if lost {
			l.logf("order %d of %s run %d on %s gets no answer", a.Kind, a.Task, a.Number, a.Worker)
			l.orders = append(l.orders, late)
		}
		switch a.Kind {
		case Stop:
			if a.Preempting {
				l.preemptions++
				add(l.preempted, a.Task, a.Number)
				l.check(len(l.preempted[a.Task]) <= maxPreemptedRun, a.Task+" is stopped too often")
			}
			l.p.ReportStop(a, !lost && l.executeStop(a, l.fence), l.now)
		case Start:
			if a.CopyOf != 0 {
				l.copies++
			}
			l.check(!l.done[a.Task], a.Task+" starts after its end done")
			l.check(len(l.failed[a.Task]) < contentionAttempts, a.Task+" starts after its last attempt")
			l.start(a, lost)
		}
		if lost && l.happens(0.2) {
			l.changeOwner()
			return
		}
	}
}

// start orders a start, which gets an answer or not.
func (l *contention) start(a Action, lost bool) {
	if !l.p.Wanted(a) || !l.p.Accepts(a.Worker) {
		l.orders = slices.DeleteFunc(l.orders, func(o playedOrder) bool { return o.Kind == Start && o.Task == a.Task && o.Number == a.Number })
		l.p.ReportStart(a, Withdrawn, l.now)
		return
	}
	l.p.MarkOrdered(a, l.now)
	if lost {
		l.p.ReportStart(a, Unknown, l.now)
		return
	}
	l.p.ReportStart(a, l.execute(a, l.fence), l.now)
}

func (l *contention) changeOwner() {
	l.logf("owner changes")
	l.fence++
	if l.happens(0.4) {
		l.restoreSnapshot(l.now + 6*second)
	} else {
		l.takeOver(l.now + 6*second)
	}
	for _, id := range l.ids {
		l.restartWorker(id, l.workers[id].incarnation)
	}
}

// step plays 100 ms.
func (l *contention) step(calm bool) {
	l.now += second / 10
	l.orders = slices.DeleteFunc(l.orders, func(o playedOrder) bool {
		switch {
		case l.now < o.executedAt:
			return false
		case o.Kind == Stop:
			l.executeStop(o.Action, o.fence)
		case o.Kind == Start:
			l.execute(o.Action, o.fence)
		}
		return true
	})
	if !calm && l.happens(0.12) {
		l.submitJob(l.happens(0.7))
	}
	for _, id := range l.ids {
		w := l.workers[id]
		for _, key := range w.sorted() {
			switch r := w.runs[key]; {
			case !calm && l.happens(0.005):
				l.end(id, key, RunFailed)
			case l.now >= r.endsAt:
				l.end(id, key, Done)
			case r.stopAt != 0 && l.now >= r.stopAt:
				l.end(id, key, Stopped)
			}
		}
		if !calm && l.happens(0.002) {
			l.logf("%s restarts", id)
			l.workers[id] = newPlayedWorker(w.incarnation + 1)
			l.restartWorker(id, w.incarnation+1)
		}
		l.assertRules()
		if l.happens(0.7) {
			l.call(id)
		}
	}
	if !calm && l.happens(0.005) {
		l.changeOwner()
	}
	l.decide(calm)
	l.assertRules()
}

// assertRules checks what really runs.
func (l *contention) assertRules() {
	l.Helper()
	running, team := map[string]int{}, int64(0)
	for id, w := range l.workers {
		var sum placer.Resources
		for key, r := range w.runs {
			running[key.task]++
			l.check(running[key.task] < 2 || r.copied && running[key.task] == 2, key.task+" runs in too many places")
			sum = sum.Add(r.size)
			if r.team {
				team += r.size.CPU()
			}
		}
		l.check(sum.Fits(placer.NewResources(4000, 4096, 0)), id+" is over its capacity")
	}
	l.check(team <= contentionLimit, "the team is over its limit")
}

// play plays for a minute with faults, and then without until all jobs have ended.
func (l *contention) play(seed uint64) {
	for range 600 {
		l.step(false)
	}
	for n := 0; n < 3000 && l.p.LiveJobs() > 0; n++ {
		l.step(true)
	}
	for _, id := range l.jobs {
		l.check(l.p.FinalState(id) != "", fmt.Sprintf("seed %d: %s has not ended", seed, id))
	}
}

// TestPreemptionWithFaults checks preemption with random faults: no task runs in two places (TWICE) or
// starts after its end done or its last attempt (BUDGET), no worker is over its capacity (LIMIT) and
// no team over its limit (QUOTA), no task is stopped more than twice, and every job ends (LOST).
func TestPreemptionWithFaults(t *testing.T) {
	preemptions := 0
	for seed := range 5 * *simulationSeeds {
		l := newContention(t, seed, 3, WithPreemption(true))
		l.play(seed)
		preemptions += l.preemptions
	}
	t.Logf("%d stops for urgent steps", preemptions)
	quicktest.New(t).Assert(preemptions > 0, quicktest.IsTrue)
}

// TestCopiesWithFaults checks the same with copies beside preemption, where a task of a speculative step
// may run in two places and no more. None may begin after the end done of the other run was taken note of.
func TestCopiesWithFaults(t *testing.T) {
	copies, preemptions := 0, 0
	for seed := range 5 * *simulationSeeds {
		l := newContention(t, seed, 5, WithPreemption(true), WithCopies(true))
		l.speculative = true
		l.play(seed)
		copies, preemptions = copies+l.copies, preemptions+l.preemptions
	}
	t.Logf("%d copies, %d stops for urgent steps", copies, preemptions)
	quicktest.New(t).Assert(copies > 0 && preemptions > 0, quicktest.IsTrue)
}
