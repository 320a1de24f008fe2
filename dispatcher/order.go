package dispatcher

import (
	"time"

	"filberthaven.example/placer"
)

// Kind is the kind of an order.
type Kind uint8

// The kinds of orders.
const (
	Start Kind = iota + 1
	Stop
	Checkpoint
	Throttle
	// Acknowledge removes an ended run from the worker's reports.
	Acknowledge
)

var kindNames = [...]string{Start: "start", Stop: "stop", Checkpoint: "checkpoint", Throttle: "throttle", Acknowledge: "acknowledge"}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Order is an instruction to a worker about one run. Repeating an order that has
// been carried out changes nothing.
type Order struct {
	kind    Kind
	attempt Attempt
	spec    TaskSpec // of a Start
	cpu     int64    // limit of a Throttle, in thousandths of a processor
}

// TaskSpec describes a task to the worker that starts it.
type TaskSpec struct {
	team       string           // charged for the run
	name       string           // the job's name
	size       placer.Resources // allocated by the worker while it runs
	estimate   time.Duration    // declared run time; 0: unknown
	idempotent bool             // the task may be run again
	service    bool             // the task runs until it is stopped
}

// NewTaskSpec returns the description of a task of the job.
func NewTaskSpec(spec placer.JobSpec) TaskSpec {
	return TaskSpec{
		team:       spec.Team(),
		name:       spec.Name(),
		size:       spec.Size(),
		estimate:   spec.Estimate(),
		idempotent: spec.Idempotent(),
		service:    spec.Class() == placer.Service,
	}
}

// Team returns the team that is charged for the run.
func (s TaskSpec) Team() string { return s.team }

// Name returns the name of the job.
func (s TaskSpec) Name() string { return s.name }

// Size returns the resources that the worker allocates.
func (s TaskSpec) Size() placer.Resources { return s.size }

// Estimate returns the declared run time, or 0 if it is unknown.
func (s TaskSpec) Estimate() time.Duration { return s.estimate }

// Idempotent reports whether the task may be run again.
func (s TaskSpec) Idempotent() bool { return s.idempotent }

// Service reports whether the task runs until it is stopped.
func (s TaskSpec) Service() bool { return s.service }

// StartOrder returns an order to start a run of a task.
func StartOrder(attempt Attempt, spec TaskSpec) Order {
	return Order{kind: Start, attempt: attempt, spec: spec}
}

// StopOrder returns an order to end a run.
func StopOrder(attempt Attempt) Order { return Order{kind: Stop, attempt: attempt} }

// CheckpointOrder returns an order to save the progress of a run and end it.
func CheckpointOrder(attempt Attempt) Order { return Order{kind: Checkpoint, attempt: attempt} }

// ThrottleOrder returns an order to limit a run to cpu thousandths of a
// processor.
func ThrottleOrder(attempt Attempt, cpu int64) Order {
	return Order{kind: Throttle, attempt: attempt, cpu: cpu}
}

// AcknowledgeOrder returns an order to remove an ended run from the worker's
// reports. Send it only after the outcome is in the journal: a run whose end
// neither the journal nor the worker knows counts as never started.
func AcknowledgeOrder(attempt Attempt) Order { return Order{kind: Acknowledge, attempt: attempt} }

// Kind returns the kind of the order.
func (o Order) Kind() Kind { return o.kind }

// Attempt returns the run that the order is about.
func (o Order) Attempt() Attempt { return o.attempt }

// Spec returns the task of a Start.
func (o Order) Spec() TaskSpec { return o.spec }

// CPU returns the limit of a Throttle in thousandths of a processor.
func (o Order) CPU() int64 { return o.cpu }

// Batch is one message of an owner to a worker. It carries the owner's term and
// orders, if any, and may renew the lease.
type Batch struct {
	term     uint64
	sequence uint64        // increases within the term, from 1
	token    uint64        // of the worker's last response in this term; 0: none
	lease    time.Duration // 0: the batch does not change the lease
	orders   []Order
}

// Term returns the term of the owner that sent the batch.
func (b Batch) Term() uint64 { return b.term }

// Response is the answer of a worker to a batch.
type Response struct {
	token  uint64  // echoed in the next batch
	report Report  // after the orders
	errs   []error // one for each order; nil: carried out
}

// Report returns the state of the worker after the orders.
func (r Response) Report() Report { return r.report }

// Errors returns, for each order of the batch, why the worker did not carry it
// out, or nil if it did.
func (r Response) Errors() []error { return r.errs }
