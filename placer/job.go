package placer

import (
	"errors"
	"fmt"
	"time"
)

// Class is the scheduling policy of a job.
type Class uint8

// The classes, in the order in which they are served.
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

// ErrUnknownClass means that no class has the given name.
var ErrUnknownClass = errors.New("unknown class")

// ParseClass returns the class with that name. It returns ErrUnknownClass when there is none.
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

// JobSpec describes a job as a team submits it. It is built by NewJobSpec.
type JobSpec struct {
	id          string        // unique in the fleet, never reused
	team        string        // never empty
	name        string        // shared by jobs of the same kind; run times are estimated by it
	queue       string        // never empty
	class       Class         // one of the classes above
	tasks       int           // at least 1
	size        Resources     // of one task, as allocated on its worker
	estimate    time.Duration // declared run time of a task, 0 when unknown
	deadline    time.Time     // for all tasks; zero when there is none
	submitted   time.Time     // when the owner accepted the job
	gang        bool          // all tasks start together or not at all
	idempotent  bool          // a task may run again after a failure
	constraints Constraints   // where tasks may run
}

// Constraints restricts where the tasks of a job run. The zero value allows every worker.
type Constraints struct {
	rack         string // the only rack allowed, when set
	spread       bool   // prefer other racks and VMs than those of the job's tasks
	antiAffinity bool   // at most one task of the job on a VM
	near         string // job whose racks are preferred, when set
}

// NewConstraints returns constraints that allow only the given rack, or any when it is
// empty. With spread, tasks should go to different racks and VMs.
func NewConstraints(rack string, spread bool) Constraints {
	return Constraints{rack: rack, spread: spread}
}

// Rack returns the only rack allowed, or "" for any.
func (c Constraints) Rack() string { return c.rack }

// Spread reports whether tasks should go to different racks and VMs.
func (c Constraints) Spread() bool { return c.spread }

// WithAntiAffinity returns a copy that allows at most one task of the job on a VM.
func (c Constraints) WithAntiAffinity() Constraints {
	c.antiAffinity = true
	return c
}

// AntiAffinity reports whether a VM may run at most one task of the job.
func (c Constraints) AntiAffinity() bool { return c.antiAffinity }

// WithNear returns a copy that prefers racks with tasks of the job with that identifier.
func (c Constraints) WithNear(job string) Constraints {
	c.near = job
	return c
}

// Near returns the job whose racks are preferred, or "" for none.
func (c Constraints) Near() string { return c.near }

// JobOption changes a job spec under construction.
type JobOption func(*JobSpec)

// NewJobSpec returns a job with one idempotent best-effort task in the queue "default",
// named by its identifier, as changed by the options.
func NewJobSpec(id, team string, size Resources, options ...JobOption) JobSpec {
	spec := JobSpec{id: id, team: team, name: id, queue: "default", class: BestEffort, tasks: 1, size: size, idempotent: true}
	for _, option := range options {
		option(&spec)
	}
	return spec
}

// WithName sets the name by which run times are estimated.
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

// WithSubmittedAt sets when the job was accepted.
func WithSubmittedAt(t time.Time) JobOption { return func(s *JobSpec) { s.submitted = t } }

// WithGang makes all tasks start together or not at all.
func WithGang() JobOption { return func(s *JobSpec) { s.gang = true } }

// WithNonIdempotent keeps tasks that failed or were lost from running again.
func WithNonIdempotent() JobOption { return func(s *JobSpec) { s.idempotent = false } }

// WithConstraints sets where tasks may run.
func WithConstraints(c Constraints) JobOption { return func(s *JobSpec) { s.constraints = c } }

// ForTeam returns a copy for another team.
func (s JobSpec) ForTeam(team string) JobSpec {
	s.team = team
	return s
}

// ID returns the identifier of the job.
func (s JobSpec) ID() string { return s.id }

// Team returns the team that the job is accounted to.
func (s JobSpec) Team() string { return s.team }

// Name returns the name by which run times are estimated.
func (s JobSpec) Name() string { return s.name }

// Queue returns the queue that the job was submitted to.
func (s JobSpec) Queue() string { return s.queue }

// Class returns the scheduling policy.
func (s JobSpec) Class() Class { return s.class }

// Tasks returns the number of tasks.
func (s JobSpec) Tasks() int { return s.tasks }

// Size returns the resources of one task.
func (s JobSpec) Size() Resources { return s.size }

// Estimate returns the declared run time of a task, 0 when unknown.
func (s JobSpec) Estimate() time.Duration { return s.estimate }

// Deadline returns when all tasks must have finished; zero when there is none.
func (s JobSpec) Deadline() time.Time { return s.deadline }

// SubmittedAt returns when the job was accepted.
func (s JobSpec) SubmittedAt() time.Time { return s.submitted }

// Gang reports whether all tasks start together or not at all.
func (s JobSpec) Gang() bool { return s.gang }

// Idempotent reports whether a task may run again after a failure.
func (s JobSpec) Idempotent() bool { return s.idempotent }

// Constraints returns where tasks may run.
func (s JobSpec) Constraints() Constraints { return s.constraints }

// TaskID identifies one task of a job.
type TaskID struct {
	job   string // never empty
	index int    // from 0
}

// NewTaskID returns the identifier of the task with that index, from 0.
func NewTaskID(job string, index int) TaskID { return TaskID{job: job, index: index} }

// Job returns the job's identifier.
func (t TaskID) Job() string { return t.job }

// Index returns the task's index in its job, from 0.
func (t TaskID) Index() int { return t.index }

// String returns "job/index".
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.job, t.index) }
