package scheduler

import (
	"fmt"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// result is how a run of a task ended, as encoded in journal records.
type result uint8

const (
	resultRequeued  result = iota + 1 // the task is queued again
	resultDone                        // final
	resultFailed                      // final
	resultUnknown                     // final: the outcome is unknown, the run may have completed
	resultCancelled                   // final
)

// taskStage is how far the start of a run has progressed.
type taskStage uint8

const (
	taskRecovered taskStage = iota // unknown until the worker's next report, as after a takeover
	taskRecording                  // the outcome of its start record is awaited
	taskOrdered                    // its order is queued and has certainly not been sent
	taskSent                       // its order may have reached the worker
	taskConfirmed                  // the worker has accepted or reported it
)

// incarnation is one start of a worker process. Tasks share the pointers that
// shardState.incarnation returns.
type incarnation struct{ worker, id string }

// task is the state of one task of a job.
type task struct {
	incarnation *incarnation // where it runs; nil unless running
	attempt     uint32       // number of the last run, 0 before the first
	running     bool         // started, or about to be, and not known to have ended
	stage       taskStage    // progress of the start
	final       result       // 0 while the task may still run
	losses      uint8        // consecutive runs lost with their workers under this owner
}

// job is an accepted job.
type job struct {
	spec        placer.JobSpec
	requestID   string // chosen by the caller, empty for none
	digest      uint64 // hash of the content, to detect reuse of the request id
	tasks       []task // nil before the first start
	running     int    // number of tasks that are running
	results     [resultCancelled + 1]int32
	unpersisted int32  // ends of runs and of the job that are not yet persisted
	hop         uint32 // number of moves between shards
	target      string // shard that the job is moving or has moved to, empty for none
	moved       bool   // the target shard has accepted it
	cancelled   bool
	expired     bool
	endedAt     time.Time     // end in this shard; zero before
	ended       chan struct{} // closed once the end is persisted; nil without a waiter
}

// ensureTasks allocates the state of the tasks.
func (j *job) ensureTasks() {
	if j.tasks == nil {
		j.tasks = make([]task, j.spec.Tasks())
	}
}

// task returns the state of a task, or nil when there is none with that index.
func (j *job) task(index int) *task {
	if index < 0 || index >= j.spec.Tasks() {
		return nil
	}
	j.ensureTasks()
	return &j.tasks[index]
}

// applyStart marks a task as running, and reports false if this run or a later one
// is known already or the task has a final result.
func (j *job) applyStart(index int, attempt uint32, at *incarnation) bool {
	t := j.task(index)
	if t == nil || attempt <= t.attempt || t.final != 0 {
		return false
	}
	if !t.running {
		j.running++
	}
	*t = task{incarnation: at, attempt: attempt, running: true, losses: t.losses}
	return true
}

// applyEnd stores the result of a run, and reports false if its end or a later run
// is known already or the task has a final result.
func (j *job) applyEnd(index int, attempt uint32, r result) bool {
	t := j.task(index)
	if t == nil || t.final != 0 || attempt < t.attempt || attempt == t.attempt && !t.running {
		return false
	}
	if t.running {
		j.running--
	}
	*t = task{attempt: attempt, losses: t.losses}
	if r != resultRequeued {
		t.final = r
		j.results[r]++
	}
	return true
}

// withdrawn reports whether the job was cancelled or has expired, so that none of
// its tasks starts again.
func (j *job) withdrawn() bool { return j.cancelled || j.expired }

// movedOrMoving reports whether the job belongs to another shard or is on its way
// there.
func (j *job) movedOrMoving() bool { return j.target != "" }

// movedError returns ErrMoved after a move, ErrNotRun during one and nil otherwise.
func (j *job) movedError() error {
	switch {
	case j.moved:
		return fmt.Errorf("%w: job %s to shard %s", ErrMoved, j.spec.ID(), j.target)
	case j.movedOrMoving():
		return fmt.Errorf("%w: job %s moves to shard %s", ErrNotRun, j.spec.ID(), j.target)
	default:
		return nil
	}
}

// hasEnded reports whether the shard has no work left for the job.
func (j *job) hasEnded() bool {
	if j.running > 0 || j.movedOrMoving() && !j.moved {
		return false
	}
	if j.moved || j.withdrawn() {
		return true
	}
	total := 0
	for _, n := range j.results {
		total += int(n)
	}
	return total == j.spec.Tasks()
}

// endPersisted reports whether the job has ended and all of that is persisted.
func (j *job) endPersisted() bool { return !j.endedAt.IsZero() && j.unpersisted == 0 }

// state returns the state that callers see. It is final only once it is persisted.
func (j *job) state() State {
	switch {
	case j.moved:
		return Moved
	case !j.endPersisted():
		if j.running > 0 || j.unpersisted > 0 {
			return Running
		}
		return Queued
	case j.results[resultUnknown] > 0:
		return Unknown
	case j.cancelled && int(j.results[resultDone]) < j.spec.Tasks():
		return Cancelled
	case j.expired || j.results[resultFailed] > 0:
		return Failed
	default:
		return Done
	}
}

// attemptOf identifies the last run of a task.
func (j *job) attemptOf(index int) dispatcher.Attempt {
	return dispatcher.NewAttempt(placer.NewTaskID(j.spec.ID(), index), j.tasks[index].attempt)
}
