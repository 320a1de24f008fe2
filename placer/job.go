package placer

import (
	"errors"
	"fmt"
	"time"
)

// Class is the kind of policy that a job is placed under.
type Class uint8

// The classes, from the first served to the last.
const (
	Urgent Class = iota + 1
	Service
	Deferred
	BestEffort
)

var classNames = map[Class]string{
	Urgent:     "urgent",
	Service:    "service",
	Deferred:   "deferred",
	BestEffort: "besteffort",
}

// ErrUnknownClass means that a text names no class.
var ErrUnknownClass = errors.New("unknown class")

// ParseClass returns the class with that name, or ErrUnknownClass.
func ParseClass(name string) (Class, error) {
	for class, known := range classNames {
		if known == name {
			return class, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrUnknownClass, name)
}

// String returns the name of the class.
func (c Class) String() string { return classNames[c] }

// JobSpec is what a team asks for. Its zero options mean one best-effort task
// that may be run again.
type JobSpec struct {
	id          string        // unique over the fleet, never used twice
	team        string        // never empty
	name        string        // stable over runs of the same work; keys the estimates
	queue       string        // never empty
	class       Class         // one of the constants
	tasks       int           // at least 1
	size        Resources     // per task; bounds what a worker sets aside
	estimate    time.Duration // declared run time of a task; 0 when unknown
	deadline    time.Time     // zero when there is none
	submitted   time.Time     // when the owner accepted the job
	gang        bool          // all tasks start together or none does
	idempotent  bool          // a task may be run again after a failure
	constraints Constraints   // where tasks may run
}

// Constraints says where the tasks of a job may run. Zero means anywhere.
type Constraints struct {
	rack   string // only this rack, when set
	spread bool   // prefer racks and VMs without a task of the job
	apart  bool   // at most one task of the job on a VM
	near   string // prefer racks with tasks of this job, when set
}

// NewConstraints returns constraints to a rack (empty: any) and to spreading.
func NewConstraints(rack string, spread bool) Constraints {
	return Constraints{rack: rack, spread: spread}
}

// Rack returns the only rack allowed, or "" for any.
func (c Constraints) Rack() string { return c.rack }

// Spread reports whether tasks should go to unlike racks and VMs.
func (c Constraints) Spread() bool { return c.spread }

// WithAntiAffinity returns the constraints with at most one task of the job on a VM.
func (c Constraints) WithAntiAffinity() Constraints {
	c.apart = true
	return c
}

// AntiAffinity reports whether a VM may run at most one task of the job.
func (c Constraints) AntiAffinity() bool { return c.apart }

// WithNear returns the constraints with a preference for racks that run tasks
// of the job with that identifier.
func (c Constraints) WithNear(job string) Constraints {
	c.near = job
	return c
}

// Near returns the job whose racks are preferred, or "" for none.
func (c Constraints) Near() string { return c.near }

// JobOption changes a job under construction.
type JobOption func(*JobSpec)

// NewJobSpec returns a job of one idempotent best-effort task, changed by the
// options.
func NewJobSpec(id, team string, size Resources, options ...JobOption) JobSpec {
	spec := JobSpec{id: id, team: team, name: id, queue: "default", class: BestEffort, tasks: 1, size: size, idempotent: true}
	for _, option := range options {
		option(&spec)
	}
	return spec
}

// WithName sets the name that keys the estimates.
func WithName(name string) JobOption { return func(s *JobSpec) { s.name = name } }

// WithQueue sets the queue.
func WithQueue(queue string) JobOption { return func(s *JobSpec) { s.queue = queue } }

// WithClass sets the class.
func WithClass(class Class) JobOption { return func(s *JobSpec) { s.class = class } }

// WithTasks sets the number of tasks.
func WithTasks(n int) JobOption { return func(s *JobSpec) { s.tasks = n } }

// WithEstimate sets the declared run time of a task.
func WithEstimate(d time.Duration) JobOption { return func(s *JobSpec) { s.estimate = d } }

// WithDeadline sets the time by which all tasks must have finished.
func WithDeadline(t time.Time) JobOption { return func(s *JobSpec) { s.deadline = t } }

// WithSubmitted sets the time of acceptance.
func WithSubmitted(t time.Time) JobOption { return func(s *JobSpec) { s.submitted = t } }

// WithGang makes all tasks start together or none.
func WithGang() JobOption { return func(s *JobSpec) { s.gang = true } }

// WithNonIdempotent makes every task run at most once.
func WithNonIdempotent() JobOption { return func(s *JobSpec) { s.idempotent = false } }

// WithConstraints sets where tasks may run.
func WithConstraints(c Constraints) JobOption { return func(s *JobSpec) { s.constraints = c } }

// ForTeam returns the job under another team.
func (s JobSpec) ForTeam(team string) JobSpec {
	s.team = team
	return s
}

// ID returns the identifier of the job.
func (s JobSpec) ID() string { return s.id }

// Team returns the team that pays for the job.
func (s JobSpec) Team() string { return s.team }

// Name returns the name that keys the estimates.
func (s JobSpec) Name() string { return s.name }

// Queue returns the queue that the job came through.
func (s JobSpec) Queue() string { return s.queue }

// Class returns the policy class.
func (s JobSpec) Class() Class { return s.class }

// Tasks returns the number of tasks.
func (s JobSpec) Tasks() int { return s.tasks }

// Size returns what one task asks for.
func (s JobSpec) Size() Resources { return s.size }

// Estimate returns the declared run time of a task, 0 when unknown.
func (s JobSpec) Estimate() time.Duration { return s.estimate }

// Deadline returns when all tasks must have finished; zero when there is none.
func (s JobSpec) Deadline() time.Time { return s.deadline }

// Submitted returns when the job was accepted.
func (s JobSpec) Submitted() time.Time { return s.submitted }

// Gang reports whether all tasks start together or none does.
func (s JobSpec) Gang() bool { return s.gang }

// Idempotent reports whether a task may be run again.
func (s JobSpec) Idempotent() bool { return s.idempotent }

// Constraints returns where tasks may run.
func (s JobSpec) Constraints() Constraints { return s.constraints }

// TaskID names one task of a job.
type TaskID struct {
	job   string // never empty
	index int    // from 0
}

// NewTaskID returns the name of the task with that index, from 0.
func NewTaskID(job string, index int) TaskID { return TaskID{job: job, index: index} }

// Job returns the job's identifier.
func (t TaskID) Job() string { return t.job }

// Index returns the task's index in its job, from 0.
func (t TaskID) Index() int { return t.index }

// String returns "job/index".
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.job, t.index) }
