package planner

import (
	"strconv"
	"strings"
	"time"

	"filberthaven.example/estimator"
	"filberthaven.example/placer"
	"filberthaven.example/profiler"
	"filberthaven.example/reserver"
)

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// job is one admitted job.
type job struct {
	spec         JobSpec
	queue        Queue         // as in the newest configuration that has it
	stats        *queueStats   // of its queue; nil for a run of an unknown job
	team         *team         // nil on a queue open to all
	acceptedAt   time.Duration // may be before this owner took over
	stored       bool          // the journal holds the job; nothing starts before
	ordered      bool          // the start of a task was decided, by this owner or an earlier one
	begun        bool          // a worker is known to have begun a task; of a gang, all members of one try
	finalState   State         // Completed, Failed or Cancelled; empty if the job has not ended
	endStored    bool          // the journal holds the end, so callers may see it
	endedAt      time.Duration
	failure      Failure         // why the job has failed, if this owner has failed it
	occurrences  []*occurrence   // those that have begun and are not finished
	next         int             // index of the next occurrence to begin
	unfinished   int             // number of occurrences not finished, including future ones
	criticalPath time.Duration   // estimate for one whole occurrence; 0 until computed
	expected     []time.Duration // run times of the tasks of each step as expected on admission or takeover; nil if none are learned
	suspects     int             // tasks that may have crashed a worker
	separateRuns int             // runs that have workers of their own
	cleared      bool            // a suspect has turned out not to crash its worker
}

// isOver reports whether the job has ended and the journal holds its end, so that callers
// may see it.
func (j *job) isOver() bool { return j.finalState != "" && j.endStored }

// isLongRunning reports whether the job has tasks that run until it is cancelled.
func (j *job) isLongRunning() bool {
	for i := range j.spec.Steps {
		if j.spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job        *job
	index      int
	steps      []*step
	unfinished int           // number of steps not finished
	due        time.Duration // when it should begin: when the job was accepted or, for a repeating job, by its interval
}

// step holds the tasks of one step in one occurrence.
type step struct {
	occurrence        *occurrence
	index             int
	spec              *StepSpec
	name              string // ID.K.STEP; K is the index of the occurrence
	unknown           bool   // it stands for a run that is not known; name is the name of its only task, as the worker lists it
	tasks             []task
	waitingTasks      int // tasks that are not done and have no run
	doneTasks         int
	ready             bool               // all steps named in After are finished; not maintained once this step is finished
	openPrerequisites int                // number of steps named in After that are not finished; -1 once this step is finished
	lastRun           int                // newest run number of any task
	failedRuns        []int              // numbers of the failed runs of a gang; empty if the step is none
	failedOn          map[string]bool    // IDs of the workers on which runs have failed since one last succeeded
	siblings          estimator.Siblings // finished tasks with a known run time
	forecast          stepForecast       // the newest one
	queueStats        *queueStats        // of its queue; nil if it declares no run time
	advice            advice
	startedAt         time.Duration        // when the newest start of a task was decided by this owner, else 0
	reportedAt        time.Duration        // when TakeWaits last returned it, else 0
	lacksRoom         bool                 // a gang that did not fit when it was last looked at
	reservation       reserver.Reservation // of a gang in the current decision; without allotments if it has none
	peers             profiler.Group       // finished runs whose times are not compared yet
	runTimes          []time.Duration      // of its tasks that this owner has seen done, if it is speculative; shortest first
}

// task is one task of a step.
type task struct {
	lastRun    int   // newest run number, 0 before the first
	failedRuns []int // numbers of its failed runs
	done       bool
	checkpoint string
	crashes    crashHistory
	runs       []*run // those that may not have ended yet
}

// phase is what is known of a run that has not ended.
type phase int

const (
	phaseDecided      phase = iota // the start was decided; its outcome was not reported yet
	phaseRunning                   // the worker has confirmed that the run started
	phaseUnanswered                // the start got no answer and may still be carried out
	phaseStopAnswered              // the worker has answered a stop; the run may not have ended yet
	phaseInherited                 // an earlier owner may have ordered the start; this owner has no answer yet
)

// run is one start of a task on a worker. Its capacity stays allocated until it has
// certainly ended there.
type run struct {
	step              *step
	taskIndex         int // index of the task in its step
	number            int // run number
	worker            *worker
	size              placer.Resources
	phase             phase
	decidedAt         time.Duration // when its start was decided, or when an unexpected run was first listed; 0 if inherited
	confirmedAt       time.Duration // when the worker confirmed its start or, later, answered its stop
	obsolete          bool          // its result is not needed: it was abandoned, or another member completed its gang
	stopOrdered       bool          // a stop was ordered
	progress          int           // percent, as last listed by the worker
	progressAt        time.Duration // when progress was listed
	firstProgress     int           // as first listed to this owner, or 0 at confirmedAt if that run began at 0
	firstProgressAt   time.Duration // when the run had firstProgress
	resumed           bool          // it began from a checkpoint, or may have
	checkpoint        string        // as last listed by the worker
	team              *team         // team to which its size is allocated; nil if none or once released
	workerRestartedAt time.Duration // when its worker restarted without having answered the start; else 0
	ticket            bool          // its order carries a ticket, so that no other incarnation of its worker executes it
	settled           bool          // its order can't be executed any more; not maintained with a ticket
	lateUntil         time.Duration // until when an incarnation of its worker may still carry its start out; 0 if none may but the known one
	earlierUntil      time.Duration // as lateUntil, for earlier orders once the order is repeated; else 0
	repeated          bool          // it may have been ordered more than once
	repeats           int           // how often this owner has repeated the order; maxRepeats if that would be refused
	lateLeaseExpiry   time.Duration // when the lease of a start that was carried out at lateUntil has certainly expired; else 0
	absent            bool          // the known incarnation of the worker refuses its start, and did not list it afterwards
	startedAt         time.Duration // when its start was ordered, or written to the journal if inherited
	incarnation       int64         // of the worker, the first that may have it: as known when the start was decided; 0 if unknown
	listed            bool          // the known incarnation of the worker has listed it
	started           bool          // the worker has answered the start or listed the run to this owner
	separate          bool          // no run but those of its gang may be on its worker
	crash             *Crash        // of its worker, which has ended the run unless the worker lists it again; else nil
	preemptedAt       time.Duration // when its stop was decided to make room for an urgent step; else 0
	copyOf            int           // number of the run that it is a copy of; 0 if it is none
	ordered           bool          // this owner is ordering it or has ordered it
	sound             bool          // it has gone on for soundTime, and its task is a long-running one
	silent            bool          // its worker left a call unanswered meanwhile, so the time of its end is not known
}

// holdLateStart holds a run whose start got no answer until no incarnation of its worker can
// carry the start out any more. A stop that was answered binds the incarnation that has
// answered it only. A ticket is valid for one incarnation, so a start with one needs no hold.
func (r *run) holdLateStart() {
	r.lateUntil = r.startedAt + maxOrderDelay
	r.lateLeaseExpiry = r.lateUntil + max(0, r.worker.leaseExpiry-r.startedAt)
}

// mayComeLate reports whether the start, which its worker is not known to have carried out,
// may have come after a call to the worker that was sent at sentAt.
func (r *run) mayComeLate(sentAt time.Duration) bool { return !r.started && sentAt < r.lateUntil }

func (r *run) key() runKey { return runKey{r.step.taskName(r.taskIndex), r.number} }

// taskPrefix returns ID.K.STEP, the part of a task's name that names its step.
func taskPrefix(id string, k, index int) string {
	return id + "." + strconv.Itoa(k) + "." + strconv.Itoa(index)
}

// taskName returns ID.K.STEP.INDEX, or the name of an unknown task as its worker lists it.
func (s *step) taskName(index int) string {
	if s.unknown {
		return s.name
	}
	return s.name + "." + strconv.Itoa(index)
}

// parseTask splits ID.K.STEP.INDEX.
func parseTask(name string) (id string, k, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, false
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return "", 0, 0, 0, false
		}
		numbers[i] = n
	}
	return parts[0], numbers[0], numbers[1], numbers[2], true
}

// beginNext adds the next occurrence of the job.
func (j *job) beginNext(due time.Duration) {
	j.occurrences = append(j.occurrences, newOccurrence(j, j.next, due))
	j.next++
}

// dueUnixMs returns when occurrence k of a repeating job is due, in Unix milliseconds.
func (s *JobSpec) dueUnixMs(k int) int64 { return s.First + int64(k)*s.Interval }

// newOccurrence returns occurrence k of the job with all tasks waiting.
func newOccurrence(j *job, k int, due time.Duration) *occurrence {
	o := &occurrence{job: j, index: k, unfinished: len(j.spec.Steps), due: due}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{
			occurrence: o, index: i, spec: spec, tasks: make([]task, spec.Tasks), waitingTasks: spec.Tasks,
			name: taskPrefix(j.spec.ID, k, i), openPrerequisites: len(spec.After),
			siblings: estimator.NewSiblings(spec.Tasks, 0, 0),
		}
		if spec.Estimate > 0 {
			s.queueStats = j.stats
		}
		if spec.Gang {
			s.siblings = estimator.NewSiblings(1, 0, 0)
		}
		s.ready = s.openPrerequisites == 0
		o.steps = append(o.steps, s)
	}
	return o
}

// finish counts a step as finished, and makes those later steps ready for which it was
// the last prerequisite.
func (o *occurrence) finish(s *step) {
	o.unfinished--
	for _, later := range o.steps[s.index+1:] {
		for _, after := range later.spec.After {
			if after == s.index {
				later.openPrerequisites--
			}
		}
		later.ready = later.openPrerequisites == 0
	}
}

// criticalPath returns the estimated time of the longest chain of dependent steps.
// Finished steps count as zero.
func (o *occurrence) criticalPath() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		begin := time.Duration(0)
		for _, after := range s.spec.After {
			begin = max(begin, ends[after])
		}
		ends[i] = begin
		if s.doneTasks < s.spec.Tasks {
			ends[i] += s.expectedAtAdmission()
			if a := o.job.queue.AdviceCost; a != nil {
				ends[i] += a.Base + typicalQueried*a.PerWorker
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// typicalQueried is the assumed number of workers in an advice request. The time of one
// such request counts towards a critical path, since callers count it as part of a job.
const typicalQueried = 30
