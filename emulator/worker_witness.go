package emulator

import (
	"fmt"
	"sync"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// brokenLimit bounds the broken promises that a Witness keeps.
const brokenLimit = 100

// InvariantChecker sees all starts and ends over the fleet and records broken promises.
type InvariantChecker struct {
	mu      sync.Mutex
	places  map[placer.TaskID]string // the worker that runs the task
	runs    map[placer.TaskID]int    // starts of non-idempotent tasks
	saved   map[placer.TaskID]time.Duration
	teams   map[string]int64     // thousandths of a processor running
	limits  map[string]int64     // of the teams that have one
	drained map[string]time.Time // data centres, and since when no start is right
	starts  int
	named   map[string]int        // starts by job name
	done    map[placer.TaskID]int // runs that ended as done
	broken  []string
}

// NewInvariantChecker returns a witness that has seen nothing.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{
		places:  map[placer.TaskID]string{},
		runs:    map[placer.TaskID]int{},
		named:   map[string]int{},
		done:    map[placer.TaskID]int{},
		saved:   map[placer.TaskID]time.Duration{},
		teams:   map[string]int64{},
		limits:  map[string]int64{},
		drained: map[string]time.Time{},
	}
}

// SetLimit sets a team's upper limit in thousandths of a processor.
func (w *InvariantChecker) SetLimit(team string, cpu int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits[team] = cpu
}

// SetDrained makes each start in the data centre from then on a broken promise.
func (w *InvariantChecker) SetDrained(dataCentre string, from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drained[dataCentre] = from
}

// SetReturned makes starts in the data centre right again.
func (w *InvariantChecker) SetReturned(dataCentre string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.drained, dataCentre)
}

// Violations returns the promises seen broken, the first of them.
func (w *InvariantChecker) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

// Starts returns the number of starts seen.
func (w *InvariantChecker) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Runs returns how often a non-idempotent task was started.
func (w *InvariantChecker) Runs(task placer.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[task]
}

// StartsOf returns the number of starts of tasks of jobs with that name.
func (w *InvariantChecker) StartsOf(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.named[name]
}

// Done returns how many runs of a task ended as done.
func (w *InvariantChecker) Done(task placer.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[task]
}

// onStart judges a start; the worker is locked and has booked it already.
func (w *InvariantChecker) onStart(worker *Worker, attempt dispatcher.Attempt, launch dispatcher.TaskSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.named[launch.Name()]++
	task := attempt.Task()
	if !worker.booked.Fits(worker.capacity) {
		w.breach("worker %s overcommitted by %s: %s booked", worker.id, task, worker.booked)
	}
	if other, ok := w.places[task]; ok {
		w.breach("task %s in two places: %s and %s", task, other, worker.id)
	}
	w.places[task] = worker.id
	if !launch.Idempotent() {
		w.runs[task]++
		if w.runs[task] > 1 {
			w.breach("non-idempotent task %s started %d times, now attempt %d on %s", task, w.runs[task], attempt.Number(), worker.id)
		}
	}
	w.teams[launch.Team()] += launch.Size().CPU()
	if limit, ok := w.limits[launch.Team()]; ok && w.teams[launch.Team()] > limit {
		w.breach("team %s runs %d of at most %d", launch.Team(), w.teams[launch.Team()], limit)
	}
	if from, ok := w.drained[worker.dataCentre]; ok && !time.Now().Before(from) {
		w.breach("task %s started in drained data centre %s", task, worker.dataCentre)
	}
}

func (w *InvariantChecker) onEnd(worker *Worker, attempt dispatcher.Attempt, launch dispatcher.TaskSpec, outcome dispatcher.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if outcome == dispatcher.Done {
		w.done[attempt.Task()]++
	}
	if w.places[attempt.Task()] == worker.id {
		delete(w.places, attempt.Task())
	}
	w.teams[launch.Team()] -= launch.Size().CPU()
}

// save keeps the progress of a task for its next run.
func (w *InvariantChecker) save(task placer.TaskID, done time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.saved[task] += done
}

func (w *InvariantChecker) progress(task placer.TaskID) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.saved[task]
}

func (w *InvariantChecker) breach(format string, args ...any) {
	if len(w.broken) < brokenLimit {
		w.broken = append(w.broken, time.Now().Format(time.StampMilli)+": "+fmt.Sprintf(format, args...))
	}
}
