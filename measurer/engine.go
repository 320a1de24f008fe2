package measurer

import (
	"container/heap"
	"time"

	"filberthaven.example/placer"
)

// Intervals of the virtual time.
const (
	tick           = 10 * time.Millisecond  // events within one tick are applied together
	idleTick       = time.Second            // decisions are taken at least this often
	checkpointTime = 300 * time.Millisecond // from an order to checkpoint or stop a task to its end
	failTime       = time.Second            // a task on a broken worker fails after this
	sampleInterval = 30 * time.Second
)

// epoch is the start of the virtual time.
var epoch = time.Date(2027, 9, 1, 18, 0, 0, 0, time.UTC)

// policy makes the decisions that are measured: those of the placer or of a baseline.
type policy struct {
	name   string
	submit func(j *job, now time.Time) error                                             // an error refuses the job
	finish func(id placer.TaskID, outcome placer.Outcome, now time.Time) (requeued bool) // called when a run has ended
	decide func(now time.Time) []order
	sample func(now time.Time) // may be nil
}

// order is a decision that the engine executes at once.
type order struct {
	kind   placer.Kind
	task   placer.TaskID
	worker string
}

// event is the arrival of a job or the end of a run of a task.
type event struct {
	at       time.Duration
	sequence uint64 // order of events at the same time
	job      *job
	index    int // index of the task in the job; -1 for an arrival
	run      int // number of the run that ends; the end of an earlier run is ignored
	outcome  placer.Outcome
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

func (e events) Less(i, k int) bool {
	if e[i].at != e[k].at {
		return e[i].at < e[k].at
	}
	return e[i].sequence < e[k].sequence
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// engine drives a policy through a load in virtual time.
type engine struct {
	load     *load
	policy   *policy
	events   events
	sequence uint64
	jobs     map[string]*job
	tasks    map[placer.TaskID]*taskState
	usedCPU  int64 // thousandths of a processor
	tally    *tally
}

// taskState is the state of one task in the engine.
type taskState struct {
	worker    string        // identifier, "" when the task doesn't run
	startedAt time.Duration // start of the run
	remaining time.Duration // run time that remains
	run       int           // number of the latest run
	started   bool          // whether any run has started
}

func newEngine(l *load, p *policy) *engine {
	e := &engine{load: l, policy: p, jobs: map[string]*job{}, tasks: map[placer.TaskID]*taskState{}, tally: newTally()}
	for _, j := range l.jobs {
		e.jobs[j.spec.ID()] = j
		e.push(event{at: j.arrival, job: j, index: -1})
	}
	return e
}

func (e *engine) push(ev event) {
	e.sequence++
	ev.sequence = e.sequence
	heap.Push(&e.events, ev)
}

// run runs the load until its horizon and returns what was counted.
func (e *engine) run() *tally {
	nextSample := time.Duration(0)
	for now := time.Duration(0); now < e.load.horizon; now = e.next(now) {
		for len(e.events) > 0 && e.events[0].at <= now {
			e.apply(heap.Pop(&e.events).(event), now)
		}
		start := time.Now()
		orders := e.policy.decide(epoch.Add(now))
		e.tally.recordDecisions(time.Since(start), len(orders))
		for _, o := range orders {
			e.execute(o, now)
		}
		if now >= nextSample {
			e.sample(now)
			nextSample += sampleInterval
		}
	}
	e.close()
	return e.tally
}

// next returns the time at which events are applied and decisions are taken next.
func (e *engine) next(now time.Duration) time.Duration {
	at := now + idleTick
	if len(e.events) > 0 {
		at = min(at, max(e.events[0].at.Truncate(tick), now)+tick)
	}
	return at
}

// apply applies an arrival or an end to the policy and the tally. It ignores the end of a
// run that is not the current run of its task.
func (e *engine) apply(ev event, now time.Duration) {
	if ev.index < 0 {
		e.tally.recordArrival(ev.job)
		if e.policy.submit(ev.job, epoch.Add(now)) != nil {
			ev.job.refused = true
			e.tally.refused++
		}
		return
	}
	id := placer.NewTaskID(ev.job.spec.ID(), ev.index)
	t := e.tasks[id]
	if t == nil || t.worker == "" || t.run != ev.run {
		return
	}
	t.worker = ""
	e.usedCPU -= ev.job.spec.Size().CPU()
	if ev.outcome == placer.Preempted {
		t.remaining = max(t.remaining-(now-t.startedAt), tick)
	}
	requeued := e.policy.finish(id, ev.outcome, epoch.Add(now))
	if ev.outcome == placer.Succeeded {
		delete(e.tasks, id)
		e.tally.recordSuccess(ev.job, ev.job.taskRunTime(ev.index), ev.at)
		return
	}
	if !requeued {
		ev.job.failed++
	}
}

func (e *engine) execute(o order, now time.Duration) {
	j := e.jobs[o.task.Job()]
	t := e.tasks[o.task]
	switch o.kind {
	case placer.Start:
		e.start(j, o, now)
	case placer.Checkpoint, placer.Stop:
		if t != nil && t.worker != "" {
			e.push(event{at: now + checkpointTime, job: j, index: o.task.Index(), run: t.run, outcome: placer.Preempted})
		}
	case placer.Expire:
		j.failed = j.spec.Tasks()
	}
}

// start starts a task and schedules its end. On a broken worker the task fails after
// failTime; elsewhere the tasks of services run to the horizon.
func (e *engine) start(j *job, o order, now time.Duration) {
	t := e.tasks[o.task]
	if t == nil {
		t = &taskState{remaining: j.taskRunTime(o.task.Index())}
		e.tasks[o.task] = t
	}
	if !t.started {
		t.started = true
		e.tally.recordWait(j, now-j.arrival)
	}
	t.worker, t.startedAt = o.worker, now
	t.run++
	e.usedCPU += j.spec.Size().CPU()
	if e.load.broken[o.worker] {
		e.push(event{at: now + failTime, job: j, index: o.task.Index(), run: t.run, outcome: placer.Failed})
		return
	}
	if j.spec.Class() != placer.Service {
		e.push(event{at: now + t.remaining, job: j, index: o.task.Index(), run: t.run, outcome: placer.Succeeded})
	}
}

func (e *engine) sample(now time.Duration) {
	e.tally.utilization = append(e.tally.utilization, float64(e.usedCPU)/float64(e.load.total.CPU()))
	if e.policy.sample != nil {
		e.policy.sample(epoch.Add(now))
	}
}

// close counts the jobs due by the horizon, and how many of these missed their deadline.
func (e *engine) close() {
	for _, j := range e.load.jobs {
		e.tally.recordDeadline(j, e.load.horizon)
	}
}
