package emulator

import (
	"fmt"
	"sync"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// maxViolations limits how many violations an InvariantChecker keeps.
const maxViolations = 100

// InvariantChecker observes all starts and ends of tasks in a fleet and records invariant
// violations: overcommitted workers, tasks in two places, repeated starts of
// non-idempotent tasks, teams above their limit, and starts in drained data centres. It
// also keeps the progress that checkpoints save, for the next run of a task on any worker.
type InvariantChecker struct {
	mu                  sync.Mutex
	workers             map[placer.TaskID]string        // id of the worker that runs the task
	nonIdempotentStarts map[placer.TaskID]int           // number of starts of each non-idempotent task
	savedProgress       map[placer.TaskID]time.Duration // run time saved by checkpoints
	teamCPU             map[string]int64                // thousandths of a processor in use
	teamLimits          map[string]int64                // thousandths of a processor, of the teams that have a limit
	drained             map[string]time.Time            // by data centre: the time from which a start is a violation
	starts              int
	startsByName        map[string]int        // number of starts by job name
	doneRuns            map[placer.TaskID]int // number of runs that ended as done
	violations          []string
}

// NewInvariantChecker returns a checker that has observed nothing.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{
		workers:             map[placer.TaskID]string{},
		nonIdempotentStarts: map[placer.TaskID]int{},
		startsByName:        map[string]int{},
		doneRuns:            map[placer.TaskID]int{},
		savedProgress:       map[placer.TaskID]time.Duration{},
		teamCPU:             map[string]int64{},
		teamLimits:          map[string]int64{},
		drained:             map[string]time.Time{},
	}
}

// SetLimit sets a team's upper limit in thousandths of a processor.
func (c *InvariantChecker) SetLimit(team string, cpu int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.teamLimits[team] = cpu
}

// SetDrained makes each start in the data centre from that time on a violation.
func (c *InvariantChecker) SetDrained(dataCentre string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained[dataCentre] = from
}

// ClearDrained ends the effect of SetDrained.
func (c *InvariantChecker) ClearDrained(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drained, dataCentre)
}

// Violations returns descriptions of the first invariant violations, at most 100.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Starts returns the number of starts of all tasks.
func (c *InvariantChecker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// NonIdempotentStarts returns how often a non-idempotent task was started. It returns 0 for idempotent
// tasks, whose starts are not counted by task.
func (c *InvariantChecker) NonIdempotentStarts(task placer.TaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nonIdempotentStarts[task]
}

// StartsByName returns the number of task starts of jobs with that name.
func (c *InvariantChecker) StartsByName(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsByName[name]
}

// DoneRuns returns how many runs of a task ended as done.
func (c *InvariantChecker) DoneRuns(task placer.TaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doneRuns[task]
}

// onStart checks a start. The caller holds the worker's lock, and the task counts in the
// worker's used capacity already.
func (c *InvariantChecker) onStart(worker *Worker, attempt dispatcher.Attempt, spec dispatcher.TaskSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.startsByName[spec.Name()]++
	task := attempt.Task()
	if !worker.used.Fits(worker.capacity) {
		c.addViolation("worker %s overcommitted by %s: %s in use", worker.id, task, worker.used)
	}
	if other, ok := c.workers[task]; ok {
		c.addViolation("task %s in two places: %s and %s", task, other, worker.id)
	}
	c.workers[task] = worker.id
	if !spec.Idempotent() {
		c.nonIdempotentStarts[task]++
		if c.nonIdempotentStarts[task] > 1 {
			c.addViolation("non-idempotent task %s started %d times, now attempt %d on %s", task, c.nonIdempotentStarts[task], attempt.Number(), worker.id)
		}
	}
	c.teamCPU[spec.Team()] += spec.Size().CPU()
	if limit, ok := c.teamLimits[spec.Team()]; ok && c.teamCPU[spec.Team()] > limit {
		c.addViolation("team %s uses %d thousandths of a processor, limit %d", spec.Team(), c.teamCPU[spec.Team()], limit)
	}
	if from, ok := c.drained[worker.dataCentre]; ok && !time.Now().Before(from) {
		c.addViolation("task %s started in drained data centre %s", task, worker.dataCentre)
	}
}

// onEnd ends the observation of a run. The caller holds the worker's lock.
func (c *InvariantChecker) onEnd(worker *Worker, attempt dispatcher.Attempt, spec dispatcher.TaskSpec, outcome dispatcher.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == dispatcher.Done {
		c.doneRuns[attempt.Task()]++
	}
	if c.workers[attempt.Task()] == worker.id {
		delete(c.workers, attempt.Task())
	}
	c.teamCPU[spec.Team()] -= spec.Size().CPU()
}

// saveProgress adds the run time that a checkpoint has saved to that of earlier runs.
func (c *InvariantChecker) saveProgress(task placer.TaskID, progress time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.savedProgress[task] += progress
}

// progress returns the run time that the checkpoints of a task have saved.
func (c *InvariantChecker) progress(task placer.TaskID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.savedProgress[task]
}

func (c *InvariantChecker) addViolation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, time.Now().Format(time.StampMilli)+": "+fmt.Sprintf(format, args...))
	}
}
