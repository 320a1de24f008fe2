package placer

import (
	"math"
	"time"
)

// phase is the state of a task.
type phase uint8

const (
	waiting    phase = iota // in the queue
	backingOff              // in back-off before it returns to the queue
	running                 // on a node
	ending                  // on a node, ordered to stop or checkpoint, or cancelled
	ended                   // never runs again
)

// task is one task of a job.
type task struct {
	node       *node // set while running or ending
	started    int64 // nanoseconds since 1970
	position   int32 // index in the tasks of the node
	avoidNode  int32 // 1 + serial of the node where it failed last, or 0
	usedMemory int32 // MiB, as last reported
	phase      phase
	placed     bool  // was once on a node or marked as ended; takeNext skips it in the table
	failures   uint8 // failed runs that weren't the node's fault; stays at the largest value
	lastOrder  Kind  // last order to throttle, checkpoint or stop; 0 for none
	updatedAt  int64 // time of the last usage report while running, or of the last order while ending; nanoseconds since 1970
}

// job is a JobSpec with the state of its tasks.
type job struct {
	spec           JobSpec
	team           *team
	serial         uint64        // above 0, in order of arrival; breaks ties
	tasks          []task        // nil until one is started, restored or marked as ended
	nextIndex      int32         // tasks from this index on are new, except placed ones
	requeued       []int32       // indexes of tasks to start again; those of tasks that don't wait are skipped
	pending        int32         // tasks in the queue
	delayed        int32         // tasks in back-off
	active         int32         // tasks on nodes
	failed         int32         // tasks that failed or were lost for good, or that MarkEnded reported without success
	latestStart    int64         // orders the lane; see Placer.latestStart
	learnedRunTime time.Duration // of a task, as last refreshed; 0 when unknown
	estimatedAt    int64         // when the run time was last estimated, at first when submitted; nanoseconds since 1970
	lane           lane
	queued         bool // is in the queue of its lane
	paused         bool // must not start yet
	cancelled      bool
	reservations   []*reservation
	nextRack       int32 // rack that findSpread tries first; index in Placer.racks
	position       int32 // index in the jobs of the team
	runs           runRecord
	rollout        *rollout // rolling update that it is part of, else nil
}

// lane selects one of the queues of a team.
type lane uint8

const (
	urgentLane lane = iota
	serviceLane
	gangLane
	deferredLane
	lateLane // deferred jobs that can no longer meet their deadline
	bestEffortLane
	lanes // number of lanes
)

// never is the latest start of a job without a deadline.
const never = math.MaxInt64

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeOf(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}

// preemptible reports whether a task of the job may be preempted.
func (j *job) preemptible() bool {
	return j.spec.class >= Deferred && j.spec.idempotent && !j.spec.gang
}

func (j *job) unfinished() int32 { return j.pending + j.delayed + j.active }

func (j *job) initialLane() lane {
	switch {
	case j.spec.gang:
		return gangLane
	case j.spec.class == Urgent:
		return urgentLane
	case j.spec.class == Service:
		return serviceLane
	case j.spec.class == Deferred:
		return deferredLane
	}
	return bestEffortLane
}

// allocateTasks creates the table of tasks if the job has none yet.
func (j *job) allocateTasks() {
	if j.tasks == nil {
		j.tasks = make([]task, j.spec.tasks)
	}
}

// takeNext returns the index of the next task to start, and never the same one again unless
// it is requeued. The job must have pending tasks.
func (j *job) takeNext() int32 {
	j.allocateTasks()
	for len(j.requeued) > 0 {
		last := len(j.requeued) - 1
		index := j.requeued[last]
		j.requeued = j.requeued[:last]
		if j.tasks[index].phase == waiting {
			return index
		}
	}
	for j.tasks[j.nextIndex].placed {
		j.nextIndex++
	}
	j.nextIndex++
	return j.nextIndex - 1
}

func (j *job) less(o *job) bool {
	if j.latestStart != o.latestStart {
		return j.latestStart < o.latestStart
	}
	return j.serial < o.serial
}

func (j *job) runningTask(index int32) RunningTask {
	t := &j.tasks[index]
	return RunningTask{NewTaskID(j.spec.id, int(index)), t.node.worker.id, timeOf(t.started)}
}
