package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// usageLag is how far the usage that a worker reports lies in the past. A younger run is
// reported with no usage.
const usageLag = 5 * time.Second

// defaultRunTime is the run time of a task without an estimate.
const defaultRunTime = time.Second

// Worker is a fake of a worker VM that runs each task as a timer. The methods in
// worker_faults.go switch its faults on and off.
type Worker struct {
	id         string
	dataCentre string
	capacity   placer.Resources
	checker    *InvariantChecker
	runTime    func(dispatcher.Attempt, dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome)

	mu             sync.Mutex
	guard          *dispatcher.Guard            // replaced at each restart
	unfencedGuards map[uint64]*dispatcher.Guard // by term; used while the worker is unfenced
	incarnation    int                          // increases with each restart
	running        map[dispatcher.Attempt]*workerRun
	finished       map[dispatcher.Attempt]dispatcher.Outcome // outcomes not yet acknowledged
	used           placer.Resources                          // sum of the sizes of the running tasks
	faults         workerFaults
}

// workerRun is a running task.
type workerRun struct {
	spec     dispatcher.TaskSpec
	term     uint64 // of the order that started it
	started  time.Time
	duration time.Duration // from the start to the end, if the run ends by itself
	outcome  dispatcher.Outcome
	timer    *time.Timer // ends the run; nil for a service that does not end by itself
}

// WorkerOption changes a Worker under construction.
type WorkerOption func(*Worker)

// WithInvariantChecker sets the checker that the worker reports its starts and ends to.
// The workers of a fleet share one.
func WithInvariantChecker(checker *InvariantChecker) WorkerOption {
	return func(w *Worker) { w.checker = checker }
}

// WithDataCentre sets the worker's data centre, for the invariant checker.
func WithDataCentre(name string) WorkerOption { return func(w *Worker) { w.dataCentre = name } }

// WithRunTime sets the function that returns how long a run takes and how it ends. By
// default, a run takes its estimate and succeeds.
func WithRunTime(f func(dispatcher.Attempt, dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome)) WorkerOption {
	return func(w *Worker) { w.runTime = f }
}

// NewWorker returns a running worker with that capacity.
func NewWorker(id string, capacity placer.Resources, options ...WorkerOption) *Worker {
	w := &Worker{id: id, capacity: capacity, runTime: declaredRunTime}
	for _, option := range options {
		option(w)
	}
	if w.checker == nil {
		w.checker = NewInvariantChecker()
	}
	w.reset()
	return w
}

// declaredRunTime is the default of WithRunTime.
func declaredRunTime(_ dispatcher.Attempt, spec dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome) {
	if spec.Estimate() > 0 {
		return spec.Estimate(), dispatcher.Done
	}
	return defaultRunTime, dispatcher.Done
}

// ID returns the id of the worker.
func (w *Worker) ID() string { return w.id }

// Capacity returns the capacity of the worker.
func (w *Worker) Capacity() placer.Resources { return w.capacity }

// Incarnation returns the name of the current incarnation.
func (w *Worker) Incarnation() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnationName()
}

// Running returns the number of running tasks.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// Guard returns the guard of the current incarnation, for dispatcher.Handle.
func (w *Worker) Guard() *dispatcher.Guard {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.guard
}

// Close kills the worker, which stops all its timers.
func (w *Worker) Close() { w.Kill() }

// reset starts a new incarnation, which knows no runs and no terms.
func (w *Worker) reset() {
	w.incarnation++
	w.running = map[dispatcher.Attempt]*workerRun{}
	w.finished = map[dispatcher.Attempt]dispatcher.Outcome{}
	w.used = placer.Resources{}
	w.unfencedGuards = map[uint64]*dispatcher.Guard{}
	w.guard = dispatcher.NewGuard(w.agent(w.incarnation))
}

func (w *Worker) incarnationName() string { return fmt.Sprintf("%s-%d", w.id, w.incarnation) }

// agent returns the agent for the guard of one incarnation. Its calls do nothing after the
// incarnation has ended.
func (w *Worker) agent(incarnation int) dispatcher.Agent {
	ifAlive := func(f func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == incarnation && !w.faults.dead {
			f()
		}
	}
	return dispatcher.Agent{
		Fence: func(uint64) {},
		Report: func() (report dispatcher.Report) {
			ifAlive(func() { report = w.report() })
			return report
		},
		Start: func(term uint64, attempt dispatcher.Attempt, spec dispatcher.TaskSpec) error {
			ifAlive(func() { w.start(term, attempt, spec) })
			return nil
		},
		Stop: func(attempt dispatcher.Attempt) error {
			ifAlive(func() { w.end(attempt, dispatcher.Stopped) })
			return nil
		},
		Checkpoint: func(attempt dispatcher.Attempt) error {
			ifAlive(func() { w.checkpoint(attempt) })
			return nil
		},
		Throttle: func(dispatcher.Attempt, int64) error { return nil },
		Acknowledge: func(attempt dispatcher.Attempt) error {
			ifAlive(func() { delete(w.finished, attempt) })
			return nil
		},
		Renew:  func(time.Time) {},
		Expire: func() { ifAlive(w.expire) },
	}
}

// start starts a run, unless the worker knows the attempt already. It also carries out
// wrong orders, such as those that overcommit the worker, so that the invariant checker
// sees them.
func (w *Worker) start(term uint64, attempt dispatcher.Attempt, spec dispatcher.TaskSpec) {
	if _, known := w.running[attempt]; known {
		return
	}
	if _, known := w.finished[attempt]; known {
		return
	}
	duration, outcome := w.runTime(attempt, spec)
	if w.faults.failing {
		duration, outcome = time.Millisecond, dispatcher.Failed
	}
	duration = max(duration-w.checker.progress(attempt.Task()), time.Millisecond)
	r := &workerRun{spec: spec, term: term, started: time.Now(), duration: duration, outcome: outcome}
	w.running[attempt] = r
	w.used = w.used.Add(spec.Size())
	w.checker.onStart(w, attempt, spec)
	if !spec.Service() || outcome != dispatcher.Done {
		incarnation := w.incarnation
		r.timer = time.AfterFunc(duration, func() { w.onTimer(incarnation, attempt) })
	}
}

// onTimer ends a run whose duration has passed. On a paused worker it tries again every
// 100 ms.
func (w *Worker) onTimer(incarnation int, attempt dispatcher.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.running[attempt]
	if !ok || w.incarnation != incarnation {
		return
	}
	if w.faults.paused != nil {
		r.timer.Reset(time.Millisecond * 100)
		return
	}
	w.end(attempt, r.outcome)
}

// end ends a run and keeps its outcome until it is acknowledged.
func (w *Worker) end(attempt dispatcher.Attempt, outcome dispatcher.Outcome) {
	r, ok := w.running[attempt]
	if !ok {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.running, attempt)
	w.finished[attempt] = outcome
	w.used = w.used.Sub(r.spec.Size())
	w.checker.onEnd(w, attempt, r.spec, outcome)
}

func (w *Worker) checkpoint(attempt dispatcher.Attempt) {
	if r, ok := w.running[attempt]; ok {
		w.checker.saveProgress(attempt.Task(), time.Since(r.started))
	}
	w.end(attempt, dispatcher.Checkpointed)
}

// expire stops all runs, as a worker must when its lease has expired.
func (w *Worker) expire() {
	for attempt := range w.running {
		w.end(attempt, dispatcher.Stopped)
	}
}

func (w *Worker) report() dispatcher.Report {
	running := make([]dispatcher.RunningTask, 0, len(w.running))
	for attempt, r := range w.running {
		usage := placer.Resources{}
		if time.Since(r.started) >= usageLag {
			usage = r.spec.Size()
		}
		running = append(running, dispatcher.NewRunningTask(attempt, r.term, usage))
	}
	finished := make([]dispatcher.FinishedTask, 0, len(w.finished))
	for attempt, outcome := range w.finished {
		finished = append(finished, dispatcher.NewFinishedTask(attempt, outcome))
	}
	return dispatcher.NewReport(w.incarnationName(), running, finished)
}

// Deliver delivers a batch within the process, subject to the faults. It is a
// dispatcher.Transport without a network connection.
func (w *Worker) Deliver(ctx context.Context, batch dispatcher.Batch) (dispatcher.Response, error) {
	guard, err := w.awaitBatch(ctx, batch)
	if err != nil {
		return dispatcher.Response{}, err
	}
	response, err := guard.Deliver(ctx, batch)
	if err != nil {
		return dispatcher.Response{}, err
	}
	return response, w.awaitResponse(ctx)
}
