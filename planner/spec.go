package planner

import (
	"errors"
	"fmt"
	"time"

	"filberthaven.example/placer"
)

// Limits of one job, against malformed or hostile submissions.
const (
	maxSteps       = 256
	maxTasks       = 10_000 // of all steps together, in one occurrence
	maxGangTasks   = 5_000  // of a gang: as many as an owner with 0.4 of a core orders while the first one waits for the others
	maxPayload     = 4000   // bytes; the limit of the callers' interface
	maxOccurrences = 10_000
)

// Errors that Submit wraps together with the details.
var (
	// ErrInvalidJob means that the job contradicts itself or is over a limit.
	ErrInvalidJob = errors.New("invalid job")
	// ErrUnsupported means that the job needs a feature that is not implemented.
	ErrUnsupported = errors.New("kind of work not supported")
)

// Config is the part of the operators' configuration that the planner uses.
type Config struct {
	Version uint64 // increases with each configuration
	Queues  []Queue
	Teams   []Team
}

// Queue is a class of jobs with the same objective, run by the workers of a service.
type Queue struct {
	Name       string
	Host       string // host of the callers' requests, without a port
	Prefix     string // path prefix of the callers' requests
	Service    string
	Priority   int           // 0 goes first and may preempt
	Attempts   int           // failed runs after which a task fails its job
	Stretch    float64       // multiple of a job's critical path within which it should be done
	Objective  time.Duration // time added to that multiple
	Public     bool          // callers need no key
	AdviceCost *AdviceCost   // nil if every worker may run the queue's steps
}

// AdviceCost is the time that requests to the advice service take and how long its
// tickets are valid. The service tells which workers may run a step.
type AdviceCost struct {
	Base           time.Duration // time that a request takes in any case
	PerWorker      time.Duration // time that each worker named in the request adds
	TicketValidity time.Duration // how long a ticket is valid
}

// Team is a customer's rate and limit.
type Team struct {
	Name   string
	Keys   []string
	Weight float64          // its rate: jobs per second that it may submit while work waits; 0 means no limit
	Limit  placer.Resources // capacity of all its runs together; 0 in a dimension means no limit
}

// StepSpec is one step of a job: a number of identical tasks.
type StepSpec struct {
	Tasks        int              `cbor:"1,keyasint"`
	CPU          int64            `cbor:"2,keyasint"` // thousandths of a processor
	Memory       int64            `cbor:"3,keyasint"` // MiB
	GPU          int64            `cbor:"4,keyasint,omitempty"`
	Estimate     int64            `cbor:"5,keyasint,omitempty"` // declared run time of a task in ms
	After        []int            `cbor:"6,keyasint,omitempty"` // indexes of earlier steps that have to be done first
	Gang         bool             `cbor:"7,keyasint,omitempty"`
	OneRack      bool             `cbor:"8,keyasint,omitempty"`
	Label        string           `cbor:"9,keyasint,omitempty"`  // label that the worker must have
	Rack         string           `cbor:"10,keyasint,omitempty"` // preferred rack: the one that has the data
	MaxPerWorker int              `cbor:"11,keyasint,omitempty"` // 0 means any number
	Checkpoint   bool             `cbor:"12,keyasint,omitempty"`
	Speculative  bool             `cbor:"13,keyasint,omitempty"` // copies of a task may run in parallel
	LongRunning  bool             `cbor:"14,keyasint,omitempty"` // tasks run until the job is cancelled
	Filler       bool             `cbor:"15,keyasint,omitempty"` // tasks run in capacity that others leave unused
	MayMiss      int              `cbor:"16,keyasint,omitempty"` // stored but not acted on
	Size         placer.Resources `cbor:"-"`                     // CPU, Memory and GPU
}

// JobSpec is a job as the caller submitted it.
type JobSpec struct {
	ID          string     `cbor:"1,keyasint"`
	Queue       string     `cbor:"2,keyasint"`
	Team        string     `cbor:"3,keyasint,omitempty"` // empty on a queue open to all
	Payload     string     `cbor:"4,keyasint,omitempty"`
	Steps       []StepSpec `cbor:"5,keyasint"`
	Occurrences int        `cbor:"6,keyasint,omitempty"`  // number of occurrences of a repeating job; 0 if the job is due once, on acceptance
	First       int64      `cbor:"7,keyasint,omitempty"`  // Unix ms at which occurrence 0 is due
	Interval    int64      `cbor:"8,keyasint,omitempty"`  // ms between occurrences
	AcceptedAt  int64      `cbor:"9,keyasint"`            // Unix ms at which it was accepted
	Host        string     `cbor:"10,keyasint,omitempty"` // of the queue when the job was submitted
	Prefix      string     `cbor:"11,keyasint,omitempty"` // of the queue when the job was submitted

	Accepted *AcceptedQueue `cbor:"12,keyasint,omitempty"` // nil if an earlier version has accepted the job
}

// check validates the job and fills in the sizes of its steps. Its error wraps
// ErrInvalidJob or ErrUnsupported.
func (s *JobSpec) check() error {
	if s.ID == "" || len(s.Payload) > maxPayload || len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return fmt.Errorf("%w: id, payload or number of steps", ErrInvalidJob)
	}
	if s.Occurrences < 0 || s.Occurrences > maxOccurrences || s.Occurrences > 1 && s.Interval <= 0 {
		return fmt.Errorf("%w: occurrences", ErrInvalidJob)
	}
	tasks := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		if err := step.check(i); err != nil {
			return err
		}
		tasks += step.Tasks
	}
	if tasks > maxTasks {
		return fmt.Errorf("%w: %d tasks are over %d", ErrInvalidJob, tasks, maxTasks)
	}
	return nil
}

func (s *StepSpec) check(index int) error {
	s.Size = placer.NewResources(s.CPU, s.Memory, s.GPU)
	if s.Tasks < 1 || s.Tasks > maxTasks || !s.Size.IsValid() || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MayMiss < 0 {
		return fmt.Errorf("%w: step %d has a number out of range", ErrInvalidJob, index)
	}
	if s.Gang && s.Tasks > maxGangTasks {
		return fmt.Errorf("%w: step %d is a gang of %d tasks, over %d", ErrInvalidJob, index, s.Tasks, maxGangTasks)
	}
	for _, after := range s.After {
		if after < 0 || after >= index {
			return fmt.Errorf("%w: step %d comes after step %d", ErrInvalidJob, index, after)
		}
	}
	if s.Filler {
		return fmt.Errorf("%w: step %d fills unused capacity", ErrUnsupported, index)
	}
	return nil
}

// restore fills in the sizes of the steps, which are not stored.
func (s *JobSpec) restore() {
	for i := range s.Steps {
		step := &s.Steps[i]
		step.Size = placer.NewResources(step.CPU, step.Memory, step.GPU)
	}
}
