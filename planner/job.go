package planner

import (
	"strconv"
	"strings"
	"time"

	"filberthaven.example/placer"
)

// State is what a caller is told of a job.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// job is one accepted or nearly accepted job.
type job struct {
	spec      JobSpec
	queue     Queue         // as the newest configuration that had it says
	team      *team         // nil on a queue open to all
	arrived   time.Duration // when it was accepted
	stored    bool          // the journal holds it; nothing starts before
	started   bool          // a task has ever started
	ended     State         // Completed, Failed or Cancelled; else empty
	shown     bool          // the journal holds the end, so callers may be told
	endedAt   time.Duration
	rounds    []*occurrence // unfinished ones that are due or nearly
	next      int           // number of the next occurrence to begin
	remaining int           // occurrences that are not finished
	span      time.Duration // estimated chain of one occurrence, 0 until reckoned
}

// lasts reports whether the job has tasks that run until it is cancelled.
func (j *job) lasts() bool {
	for i := range j.spec.Steps {
		if j.spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// occurrence is one time that a job's steps run.
type occurrence struct {
	job   *job
	index int
	steps []*step
	left  int           // steps that are not finished
	due   time.Duration // when it was to begin: at the job's arrival, or at its own time
}

// step is the tasks of one step in one occurrence.
type step struct {
	round     *occurrence
	index     int
	spec      *StepSpec
	name      string // ID.K.STEP
	tasks     []task
	todo      int // tasks that wait to be started
	done      int
	ready     bool // all earlier steps have ended
	blocked   int  // earlier steps that have not ended
	failures  int  // failed runs, of a gang
	number    int  // newest run number, of a gang
	failedRun int  // newest run number whose failure was counted, of a gang
	advice    advice
}

// task is one task of a step.
type task struct {
	number     int // newest run number, 0 before the first
	failures   int
	failedRun  int // newest run number whose failure was counted
	done       bool
	checkpoint string
	runs       []*run // those not known to have ended
}

// phase is how far a run is known to have come.
type phase int

const (
	sent       phase = iota // the order is under way
	running                 // the worker has confirmed it
	unanswered              // the order got no answer; it may be carried out yet
	stopping                // a stop was ordered
	recorded                // an earlier owner may have ordered it
)

// run is one start of a task on a worker. Its capacity is charged until it has
// surely ended there.
type run struct {
	step     *step
	index    int
	number   int
	on       *worker
	size     placer.Resources
	phase    phase
	began    time.Duration // when it was ordered, 0 when an earlier owner did
	answered time.Duration // when the worker confirmed it
	over     bool          // it was given up, or its gang is done; it is to end
	asked    bool          // a stop is under way
	progress int           // percent as last listed
	told     time.Duration // when that was
	saved    string        // checkpoint as last listed
	team     *team         // charged, nil once released
	crossed  time.Duration // when its worker began a new life before the order was answered; else 0
}

func (r *run) key() runKey { return runKey{r.step.taskName(r.index), r.number} }

// taskPrefix returns ID.K.STEP.
func taskPrefix(id string, k, index int) string {
	return id + "." + strconv.Itoa(k) + "." + strconv.Itoa(index)
}

// taskName returns ID.K.STEP.INDEX.
func (s *step) taskName(index int) string { return s.name + "." + strconv.Itoa(index) }

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

// begin adds the next occurrence of the job, which was due at that time.
func (j *job) begin(due time.Duration) {
	j.rounds = append(j.rounds, newRound(j, j.next, due))
	j.next++
}

// dueAt returns when occurrence k of a job that repeats is due, in Unix
// milliseconds.
func (s *JobSpec) dueAt(k int) int64 { return s.First + int64(k)*s.Interval }

// newRound returns occurrence k of the job with nothing run.
func newRound(j *job, k int, due time.Duration) *occurrence {
	o := &occurrence{job: j, index: k, left: len(j.spec.Steps), due: due}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{
			round: o, index: i, spec: spec, tasks: make([]task, spec.Tasks), todo: spec.Tasks,
			name: taskPrefix(j.spec.ID, k, i), blocked: len(spec.After),
		}
		s.ready = s.blocked == 0
		o.steps = append(o.steps, s)
	}
	return o
}

// finish marks a step as ended and readies those that waited for it.
func (o *occurrence) finish(s *step) {
	o.left--
	for _, later := range o.steps[s.index+1:] {
		for _, after := range later.spec.After {
			if after == s.index {
				later.blocked--
			}
		}
		later.ready = later.blocked == 0
	}
}

// chain returns the estimated time of the longest chain of work that is left.
func (o *occurrence) chain() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		begin := time.Duration(0)
		for _, after := range s.spec.After {
			begin = max(begin, ends[after])
		}
		ends[i] = begin
		if s.done < s.spec.Tasks {
			ends[i] += time.Duration(s.spec.Estimate) * time.Millisecond
			if a := o.job.queue.Advice; a != nil {
				ends[i] += a.Base + usualNamed*a.Each
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// usualNamed is the number of workers named in the call for advice that callers
// count as part of a job's work.
const usualNamed = 30
