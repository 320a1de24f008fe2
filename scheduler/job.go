package scheduler

import (
	"fmt"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

// result is what becomes of a task when a run of it ends, as encoded in journal records.
type result uint8

const (
	resultRequeued  result = iota + 1 // the task is queued again
	resultDone                        // final
	resultFailed                      // final
	resultUnknown                     // final: the run was lost and may have completed
	resultCancelled                   // final
)

// startStage is how far the start of a run has progressed.
type startStage uint8

const (
	startUnverified startStage = iota // the worker's next report shows whether the run started, as after a takeover
	startRecording                    // the start record is being written
	startOrdered                      // the start order is queued and has certainly not been sent
	startSent                         // the start order may have reached the worker
	startConfirmed                    // the worker has accepted the order or reported the run
)

// incarnation is one start of a worker process. Tasks share the pointers that
// shardState.incarnation returns.
type incarnation struct{ worker, id string }

// task is the state of one task of a job.
type task struct {
	incarnation *incarnation // of the worker that runs it; nil unless running
	attempt     uint32       // number of the last run, 0 before the first
	running     bool         // started, or about to be, and not known to have ended
	begun       bool         // running, as its worker has confirmed or, after a takeover, the journal lets assume
	stage       startStage   // progress of the start
	finalResult result       // 0 while the task may still run
	losses      uint8        // consecutive runs lost with their workers; persisted with the end of each run
}

// job is an accepted job.
type job struct {
	spec        placer.JobSpec
	requestID   string                     // chosen by the caller, empty for none
	digest      uint64                     // hash of the content, to detect reuse of the request id
	tasks       []task                     // nil before the first start
	running     int                        // number of tasks that are running
	begun       int                        // number of these that have begun; callers see only them as running
	finalCounts [resultCancelled + 1]int32 // number of tasks by their final result
	unpersisted int32                      // ends of runs and of the job that are not yet persisted
	hasBegun    bool                       // a worker has confirmed a run since none was running; persisted
	begunEnds   int32                      // of these, ends of runs that had begun
	hop         uint32                     // number of moves between shards
	target      string                     // shard that the job is moving or has moved to, empty for none
	moved       bool                       // the target shard has accepted it
	cancelled   bool
	expired     bool
	endedAt     time.Time     // end in this shard; zero before
	ended       chan struct{} // closed once the end is persisted; nil if nobody waits for that
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
func (j *job) applyStart(index int, attempt uint32, on *incarnation) bool {
	t := j.task(index)
	if t == nil || attempt <= t.attempt || t.finalResult != 0 {
		return false
	}
	if !t.running {
		j.running++
	}
	if t.begun {
		j.begun--
	}
	*t = task{incarnation: on, attempt: attempt, running: true, losses: t.losses}
	return true
}

// applyEnd stores the result of a run and the task's consecutive losses up to it, and
// reports false if its end or a later run is known already or the task has a final result.
func (j *job) applyEnd(index int, attempt uint32, r result, losses uint8) bool {
	t := j.task(index)
	if t == nil || t.finalResult != 0 || attempt < t.attempt || attempt == t.attempt && !t.running {
		return false
	}
	if t.running {
		j.running--
	}
	if t.begun {
		j.begun--
	}
	*t = task{attempt: attempt, losses: losses}
	j.hasBegun = j.hasBegun && j.running > 0
	if r != resultRequeued {
		t.finalResult = r
		j.finalCounts[r]++
	}
	return true
}

// applyBegun stores that a run was confirmed, unless it has ended or is unknown.
func (j *job) applyBegun(index int, attempt uint32) {
	if t := j.task(index); t != nil && t.running && t.attempt == attempt {
		j.hasBegun = true
	}
}

// markBegun marks a running task as begun, and reports false if it was or doesn't run.
func (j *job) markBegun(t *task) bool {
	if !t.running || t.begun {
		return false
	}
	t.begun = true
	j.begun++
	return true
}

// withdrawn reports whether the job was cancelled or has expired, so that none of
// its tasks starts again.
func (j *job) withdrawn() bool { return j.cancelled || j.expired }

// movedOrMoving reports whether the job belongs to another shard or is on its way
// there.
func (j *job) movedOrMoving() bool { return j.target != "" }

// movedError returns ErrMoved if another shard has accepted the job, ErrNotRun while the
// job is on its way there, and nil otherwise.
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

// hasEnded reports whether this shard has no work left for the job.
func (j *job) hasEnded() bool {
	if j.running > 0 || j.movedOrMoving() && !j.moved {
		return false
	}
	if j.moved || j.withdrawn() {
		return true
	}
	total := 0
	for _, n := range j.finalCounts {
		total += int(n)
	}
	return total == j.spec.Tasks()
}

// endPersisted reports whether the job has ended and the ends of its runs and of the job
// are persisted.
func (j *job) endPersisted() bool { return !j.endedAt.IsZero() && j.unpersisted == 0 }

// state returns the state that callers see. It is final only once the end is persisted. A
// job is queued while no worker has confirmed a start, since the order may not arrive.
func (j *job) state() State {
	switch {
	case j.moved:
		return Moved
	case !j.endPersisted():
		if j.begun > 0 || j.begunEnds > 0 {
			return Running
		}
		return Queued
	case j.finalCounts[resultUnknown] > 0:
		return Unknown
	case j.cancelled && int(j.finalCounts[resultDone]) < j.spec.Tasks():
		return Cancelled
	case j.expired || j.finalCounts[resultFailed] > 0:
		return Failed
	default:
		return Done
	}
}

// explainRuns says what a job does of which no task waits for a worker.
func (j *job) explainRuns() string {
	if unconfirmed := j.running - j.begun; unconfirmed > 0 {
		return fmt.Sprintf("%d tasks run; %d more are assigned to workers that have not confirmed the start yet.", j.begun, unconfirmed)
	}
	return fmt.Sprintf("Nothing waits: %d tasks run.", j.begun)
}

// attemptOf identifies the last run of a task.
func (j *job) attemptOf(index int) dispatcher.Attempt {
	return dispatcher.NewAttempt(placer.NewTaskID(j.spec.ID(), index), j.tasks[index].attempt)
}
