package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// usageLag is how far a worker's report of usage lies in the past.
const usageLag = 5 * time.Second

// defaultRunTime is the run time of a task that declares none.
const defaultRunTime = time.Second

// Worker is a stand-in for a worker VM: a task is a timer. Its faults are
// switched on by the methods of worker_faults.go.
type Worker struct {
	id         string
	dataCentre string
	capacity   placer.Resources
	witness    *InvariantChecker
	runTime    func(dispatcher.Attempt, dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome)

	mu          sync.Mutex
	guard       *dispatcher.Guard            // replaced at a restart
	unfenced    map[uint64]*dispatcher.Guard // by term, while the fence is off
	incarnation int                          // rises with each restart
	running     map[dispatcher.Attempt]*workerRun
	finished    map[dispatcher.Attempt]dispatcher.Outcome
	booked      placer.Resources // the sum over running
	faults      workerFaults
}

// workerRun is one task that runs.
type workerRun struct {
	launch  dispatcher.TaskSpec
	term    uint64
	started time.Time
	length  time.Duration // what is left to run; 0 for a service
	outcome dispatcher.Outcome
	timer   *time.Timer // nil for a service
}

// WorkerOption changes a Worker under construction.
type WorkerOption func(*Worker)

// WithInvariantChecker reports starts and ends to a witness that sees the whole fleet.
func WithInvariantChecker(witness *InvariantChecker) WorkerOption {
	return func(w *Worker) { w.witness = witness }
}

// WithDataCentre sets the data centre that the witness is told of.
func WithDataCentre(name string) WorkerOption { return func(w *Worker) { w.dataCentre = name } }

// WithRunTime sets how long a run takes and how it ends. By default it takes the
// declared time and is done.
func WithRunTime(f func(dispatcher.Attempt, dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome)) WorkerOption {
	return func(w *Worker) { w.runTime = f }
}

// NewWorker returns a live worker that holds capacity.
func NewWorker(id string, capacity placer.Resources, options ...WorkerOption) *Worker {
	w := &Worker{id: id, capacity: capacity, runTime: declaredRunTime}
	for _, option := range options {
		option(w)
	}
	if w.witness == nil {
		w.witness = NewInvariantChecker()
	}
	w.reset()
	return w
}

func declaredRunTime(_ dispatcher.Attempt, launch dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome) {
	if launch.Estimate() > 0 {
		return launch.Estimate(), dispatcher.Done
	}
	return defaultRunTime, dispatcher.Done
}

// ID returns the worker's identifier.
func (w *Worker) ID() string { return w.id }

// Capacity returns what the worker holds.
func (w *Worker) Capacity() placer.Resources { return w.capacity }

// Incarnation returns the name of the present incarnation.
func (w *Worker) Incarnation() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.name()
}

// Running returns the number of tasks that run.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// Guard returns the guard of the present incarnation, for dispatcher.Handle.
func (w *Worker) Guard() *dispatcher.Guard {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.guard
}

// Close stops the timers of the worker.
func (w *Worker) Close() { w.Kill() }

// reset begins a new incarnation, which remembers nothing.
func (w *Worker) reset() {
	w.incarnation++
	w.running = map[dispatcher.Attempt]*workerRun{}
	w.finished = map[dispatcher.Attempt]dispatcher.Outcome{}
	w.booked = placer.Resources{}
	w.unfenced = map[uint64]*dispatcher.Guard{}
	w.guard = dispatcher.NewGuard(w.agent(w.incarnation))
}

func (w *Worker) name() string { return fmt.Sprintf("%s-%d", w.id, w.incarnation) }

// agent returns the functions behind the guard of one incarnation. Calls that
// reach an incarnation which has ended change nothing.
func (w *Worker) agent(incarnation int) dispatcher.Agent {
	locked := func(f func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == incarnation && !w.faults.dead {
			f()
		}
	}
	return dispatcher.Agent{
		Fence: func(uint64) {},
		Report: func() (report dispatcher.Report) {
			locked(func() { report = w.report() })
			return report
		},
		Start: func(term uint64, attempt dispatcher.Attempt, launch dispatcher.TaskSpec) error {
			locked(func() { w.start(term, attempt, launch) })
			return nil
		},
		Stop: func(attempt dispatcher.Attempt) error {
			locked(func() { w.end(attempt, dispatcher.Stopped) })
			return nil
		},
		Checkpoint: func(attempt dispatcher.Attempt) error {
			locked(func() { w.checkpoint(attempt) })
			return nil
		},
		Throttle: func(dispatcher.Attempt, int64) error { return nil },
		Acknowledge: func(attempt dispatcher.Attempt) error {
			locked(func() { delete(w.finished, attempt) })
			return nil
		},
		Renew:  func(time.Time) {},
		Expire: func() { locked(w.lapse) },
	}
}

// start runs a task. The witness judges whether that was right; the worker does
// as it is told.
func (w *Worker) start(term uint64, attempt dispatcher.Attempt, launch dispatcher.TaskSpec) {
	if _, known := w.running[attempt]; known {
		return
	}
	if _, known := w.finished[attempt]; known {
		return
	}
	length, outcome := w.runTime(attempt, launch)
	if w.faults.failing {
		length, outcome = time.Millisecond, dispatcher.Failed
	}
	length = max(length-w.witness.progress(attempt.Task()), time.Millisecond)
	r := &workerRun{launch: launch, term: term, started: time.Now(), length: length, outcome: outcome}
	w.running[attempt] = r
	w.booked = w.booked.Add(launch.Size())
	w.witness.onStart(w, attempt, launch)
	if !launch.Service() || outcome != dispatcher.Done {
		incarnation := w.incarnation
		r.timer = time.AfterFunc(length, func() { w.onTimer(incarnation, attempt) })
	}
}

// onTimer ends a run by itself; a paused worker does so when it goes on.
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

// end takes a run off the worker and keeps its outcome until it is acknowledged.
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
	w.booked = w.booked.Sub(r.launch.Size())
	w.witness.onEnd(w, attempt, r.launch, outcome)
}

func (w *Worker) checkpoint(attempt dispatcher.Attempt) {
	if r, ok := w.running[attempt]; ok {
		w.witness.save(attempt.Task(), time.Since(r.started))
	}
	w.end(attempt, dispatcher.Checkpointed)
}

// lapse ends all runs, since the lease has expired.
func (w *Worker) lapse() {
	for attempt := range w.running {
		w.end(attempt, dispatcher.Stopped)
	}
}

func (w *Worker) report() dispatcher.Report {
	running := make([]dispatcher.RunningTask, 0, len(w.running))
	for attempt, r := range w.running {
		usage := placer.Resources{}
		if time.Since(r.started) >= usageLag {
			usage = r.launch.Size()
		}
		running = append(running, dispatcher.NewRunningTask(attempt, r.term, usage))
	}
	finished := make([]dispatcher.FinishedTask, 0, len(w.finished))
	for attempt, outcome := range w.finished {
		finished = append(finished, dispatcher.NewFinishedTask(attempt, outcome))
	}
	return dispatcher.NewReport(w.name(), running, finished)
}

// Deliver takes a batch in the same process: a dispatcher.Transport without a
// socket, under the faults that are switched on.
func (w *Worker) Deliver(ctx context.Context, batch dispatcher.Batch) (dispatcher.Response, error) {
	guard, err := w.receive(ctx, batch)
	if err != nil {
		return dispatcher.Response{}, err
	}
	answer, err := guard.Deliver(ctx, batch)
	if err != nil {
		return dispatcher.Response{}, err
	}
	return answer, w.send(ctx)
}
