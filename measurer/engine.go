package measurer

import (
	"container/heap"
	"time"

	"filberthaven.example/placer"
)

// The rhythm of the virtual time.
const (
	tick           = 10 * time.Millisecond  // events within one are handled together
	idleTick       = time.Second            // decisions are taken at least this often
	checkpointTime = 300 * time.Millisecond // from the order to the end of a task
	failTime       = time.Second            // a task on a broken worker fails after this
	sampleEvery    = 30 * time.Second
)

// epoch is the start of the virtual time.
var epoch = time.Date(2027, 9, 1, 18, 0, 0, 0, time.UTC)

// policy is what is measured: the decisions of the placer or of a baseline.
type policy struct {
	name   string
	submit func(w *work, now time.Time) error
	finish func(id placer.TaskID, outcome placer.Outcome, now time.Time) (again bool)
	decide func(now time.Time) []order
	sample func(now time.Time) // may be nil
}

// order is a decision that is carried out at once.
type order struct {
	kind   placer.Kind
	task   placer.TaskID
	worker string
}

// event is something that happens at a virtual time.
type event struct {
	at     time.Duration
	serial uint64 // order of events at the same time
	work   *work
	index  int // of the task; -1 for an arrival
	run    int // run of the task that ends; older ones are void
	how    placer.Outcome
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

func (e events) Less(i, k int) bool {
	if e[i].at != e[k].at {
		return e[i].at < e[k].at
	}
	return e[i].serial < e[k].serial
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
	load   *load
	policy *policy
	events events
	serial uint64
	works  map[string]*work
	tasks  map[placer.TaskID]*progress
	busy   int64 // thousandths of a processor in use
	tally  *tally
}

// progress is the state of one task in the engine.
type progress struct {
	on      string        // worker, "" when it doesn't run
	since   time.Duration // start of the run
	left    time.Duration // what is still to do
	run     int
	started bool // at least once
}

func newEngine(l *load, p *policy) *engine {
	e := &engine{load: l, policy: p, works: map[string]*work{}, tasks: map[placer.TaskID]*progress{}, tally: newTally()}
	for _, w := range l.works {
		e.works[w.spec.ID()] = w
		e.push(event{at: w.arrive, work: w, index: -1})
	}
	return e
}

func (e *engine) push(ev event) {
	e.serial++
	ev.serial = e.serial
	heap.Push(&e.events, ev)
}

// run returns what was counted until the horizon of the load.
func (e *engine) run() *tally {
	nextSample := time.Duration(0)
	for now := time.Duration(0); now < e.load.horizon; now = e.next(now) {
		for len(e.events) > 0 && e.events[0].at <= now {
			e.handle(heap.Pop(&e.events).(event), now)
		}
		from := time.Now()
		orders := e.policy.decide(epoch.Add(now))
		e.tally.decided(time.Since(from), len(orders))
		for _, o := range orders {
			e.obey(o, now)
		}
		if now >= nextSample {
			e.sample(now)
			nextSample += sampleEvery
		}
	}
	e.close()
	return e.tally
}

// next returns the tick at which something happens next.
func (e *engine) next(now time.Duration) time.Duration {
	to := now + idleTick
	if len(e.events) > 0 {
		to = min(to, max(e.events[0].at.Truncate(tick), now)+tick)
	}
	return to
}

func (e *engine) handle(ev event, now time.Duration) {
	if ev.index < 0 {
		e.tally.arrived(ev.work)
		if e.policy.submit(ev.work, epoch.Add(now)) != nil {
			ev.work.refused = true
			e.tally.refused++
		}
		return
	}
	id := placer.NewTaskID(ev.work.spec.ID(), ev.index)
	t := e.tasks[id]
	if t == nil || t.on == "" || t.run != ev.run {
		return
	}
	t.on = ""
	e.busy -= ev.work.spec.Size().CPU()
	if ev.how == placer.Preempted {
		t.left = max(t.left-(now-t.since), tick)
	}
	again := e.policy.finish(id, ev.how, epoch.Add(now))
	if ev.how == placer.Succeeded {
		delete(e.tasks, id)
		e.tally.completed(ev.work, ev.work.run(ev.index), ev.at)
		return
	}
	if !again {
		ev.work.failed++
	}
}

func (e *engine) obey(o order, now time.Duration) {
	w := e.works[o.task.Job()]
	t := e.tasks[o.task]
	switch o.kind {
	case placer.Start:
		e.start(w, o, now)
	case placer.Checkpoint, placer.Stop:
		if t != nil && t.on != "" {
			e.push(event{at: now + checkpointTime, work: w, index: o.task.Index(), run: t.run, how: placer.Preempted})
		}
	case placer.Expire:
		w.failed = w.spec.Tasks()
	}
}

func (e *engine) start(w *work, o order, now time.Duration) {
	t := e.tasks[o.task]
	if t == nil {
		t = &progress{left: w.run(o.task.Index())}
		e.tasks[o.task] = t
	}
	if !t.started {
		t.started = true
		e.tally.waited(w, now-w.arrive)
	}
	t.on, t.since = o.worker, now
	t.run++
	e.busy += w.spec.Size().CPU()
	if e.load.broken[o.worker] {
		e.push(event{at: now + failTime, work: w, index: o.task.Index(), run: t.run, how: placer.Failed})
		return
	}
	if w.spec.Class() != placer.Service {
		e.push(event{at: now + t.left, work: w, index: o.task.Index(), run: t.run, how: placer.Succeeded})
	}
}

func (e *engine) sample(now time.Duration) {
	e.tally.used = append(e.tally.used, float64(e.busy)/float64(e.load.total.CPU()))
	if e.policy.sample != nil {
		e.policy.sample(epoch.Add(now))
	}
}

// close counts jobs that are unfinished at the horizon, and the waits of tasks
// that never started.
func (e *engine) close() {
	for _, w := range e.load.works {
		e.tally.closed(w, e.load.horizon)
	}
}
