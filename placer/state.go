package placer

import (
	"math"
	"time"
)

// phase is where a task is in its life.
type phase uint8

const (
	waiting phase = iota // in the queue
	resting              // waits for a time before it is in the queue again
	running              // on a node
	ending               // on a node, with an order to stop or checkpoint
	ended                // never runs again
)

// task is one task of a job.
type task struct {
	node     *node // set while running or ending
	started  int64 // nanoseconds since 1970
	at       int32 // position among the tasks of the node
	avoid    int32 // 1 + serial of the node where it failed last, or 0
	seen     int32 // MiB that it used as last reported
	phase    phase
	placed   bool  // was on a node at some time
	failures uint8 // runs that failed, as far as the job is to blame
	pressed  Kind  // last order to make room; 0 for none
	asked    int64 // when pressed last changed or seen was reported; nanoseconds since 1970
}

// job is a JobSpec with the state of its tasks.
type job struct {
	spec      JobSpec
	team      *team
	serial    uint64        // order of arrival; breaks ties
	tasks     []task        // nil until the first start
	next      int32         // tasks from here on were never placed
	again     []int32       // tasks to place once more; entries that don't wait are skipped
	pending   int32         // tasks that wait and aren't delayed
	delayed   int32         // tasks that wait for a time
	active    int32         // tasks on nodes
	failed    int32         // tasks that ended without success
	latest    int64         // latest start that meets the deadline; nanoseconds since 1970
	expected  time.Duration // learned run time of a task when latest was reckoned, 0 when unknown
	estimated int64         // when latest was reckoned; nanoseconds since 1970
	lane      lane
	queued    bool // in the tree of its lane
	paused    bool // must not start yet
	cancelled bool
	holds     []*hold
	cursor    int32 // next rack to try when spreading
	at        int32 // position among the jobs of the team
	record    record
	roll      *roll // change to another version under way, else nil
}

// lane is a queue within a team.
type lane uint8

const (
	urgentLane lane = iota
	serviceLane
	gangLane
	deferredLane
	lateLane // deferred jobs that can't meet their deadline any more
	effortLane
	lanes
)

const never = math.MaxInt64

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func moment(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}

// yields reports whether a task of the job may be preempted.
func (j *job) yields() bool {
	return j.spec.class >= Deferred && j.spec.idempotent && !j.spec.gang
}

func (j *job) unfinished() int32 { return j.pending + j.delayed + j.active }

func (j *job) firstLane() lane {
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
	return effortLane
}

// unfold makes the table of tasks, which a job without a start doesn't have.
func (j *job) unfold() {
	if j.tasks == nil {
		j.tasks = make([]task, j.spec.tasks)
	}
}

// take returns the index of the next task to place; pending must be above 0.
func (j *job) take() int32 {
	j.unfold()
	for len(j.again) > 0 {
		last := len(j.again) - 1
		index := j.again[last]
		j.again = j.again[:last]
		if j.tasks[index].phase == waiting {
			return index
		}
	}
	for j.tasks[j.next].placed {
		j.next++
	}
	j.next++
	return j.next - 1
}

func (j *job) less(o *job) bool {
	if j.latest != o.latest {
		return j.latest < o.latest
	}
	return j.serial < o.serial
}

func (j *job) running(index int32) RunningTask {
	t := &j.tasks[index]
	return RunningTask{NewTaskID(j.spec.id, int(index)), t.node.worker.id, moment(t.started)}
}
