package scheduler

import (
	"fmt"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// result is how a run of a task ended, as the journal keeps it.
type result uint8

const (
	resultAgain     result = iota + 1 // the task waits again
	resultDone                        // final
	resultFailed                      // final
	resultUnknown                     // final: it may have run to its end
	resultCancelled                   // final
)

// taskStage is how far the start of a run has come.
type taskStage uint8

const (
	taskRecovered taskStage = iota // by an earlier owner; the worker will tell
	taskRecording                  // its record is on the way to the journal
	taskOrdered                    // its order surely has not gone out
	taskSent                       // its order may have arrived
	taskConfirmed                  // the worker has it
)

// place is a worker in one incarnation. Places are shared between tasks.
type place struct{ worker, incarnation string }

// task is the state of one task of a job.
type task struct {
	place   *place    // set while running
	attempt uint32    // the last run, 0 before the first
	running bool      // started, or about to be, and not known to have ended
	stage   taskStage // how far its start has come
	final   result    // 0 while the task may still run
	losses  uint8     // runs lost with their workers in a row, as this owner saw it
}

// job is an accepted job.
type job struct {
	spec       placer.JobSpec
	request    string // the caller's own id, "" for none
	digest     uint64 // of the content, for the request id
	tasks      []task // nil before the first start
	running    int    // tasks with running
	results    [resultCancelled + 1]int32
	unrecorded int32  // results that the journal lacks so far
	hop        uint32 // moves between shards so far
	target     string // shard that it is moving or has moved to, "" for none
	moved      bool   // target has it
	cancelled  bool
	expired    bool
	over       time.Time     // when it ended here; zero before
	ended      chan struct{} // closed when over and recorded; nil without a waiter
}

// ensureTasks makes room for the state of the tasks.
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

// start notes a run, unless the book knows of it or of a later one.
func (j *job) start(index int, attempt uint32, at *place) bool {
	t := j.task(index)
	if t == nil || attempt <= t.attempt || t.final != 0 {
		return false
	}
	if !t.running {
		j.running++
	}
	*t = task{place: at, attempt: attempt, running: true, losses: t.losses}
	return true
}

// end notes the end of a run, unless the book knows of it or of a later run.
func (j *job) end(index int, attempt uint32, r result) bool {
	t := j.task(index)
	if t == nil || t.final != 0 || attempt < t.attempt || attempt == t.attempt && !t.running {
		return false
	}
	if t.running {
		j.running--
	}
	*t = task{attempt: attempt, losses: t.losses}
	if r != resultAgain {
		t.final = r
		j.results[r]++
	}
	return true
}

// withdrawn reports whether no task starts any more.
func (j *job) withdrawn() bool { return j.cancelled || j.expired }

// gone reports whether the job is another shard's, or is about to be.
func (j *job) gone() bool { return j.target != "" }

// movedError returns ErrMoved or, while the job moves, ErrNotRun.
func (j *job) movedError() error {
	switch {
	case j.moved:
		return fmt.Errorf("%w: job %s to shard %s", ErrMoved, j.spec.ID(), j.target)
	case j.gone():
		return fmt.Errorf("%w: job %s moves to shard %s", ErrNotRun, j.spec.ID(), j.target)
	default:
		return nil
	}
}

// isOver reports whether nothing of the job is left to do here.
func (j *job) isOver() bool {
	if j.running > 0 || j.gone() && !j.moved {
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

// recorded reports whether the end of the job is in the journal.
func (j *job) recorded() bool { return !j.over.IsZero() && j.unrecorded == 0 }

// state sums up the job.
func (j *job) state() State {
	switch {
	case j.moved:
		return Moved
	case !j.recorded():
		if j.running > 0 || j.unrecorded > 0 {
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

// attemptOf returns the name of the last run of a task.
func (j *job) attemptOf(index int) dispatcher.Attempt {
	return dispatcher.NewAttempt(placer.NewTaskID(j.spec.ID(), index), j.tasks[index].attempt)
}
