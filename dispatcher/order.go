package dispatcher

import (
	"time"

	"filberthaven.example/placer"
)

// Kind is what an order asks for.
type Kind uint8

// The kinds of orders.
const (
	Start Kind = iota + 1
	Stop
	Checkpoint
	Throttle
	// Acknowledge lets the worker forget an ended run.
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

// Order asks a worker for one thing. An order for a run that has it already
// changes nothing, so that orders can be repeated.
type Order struct {
	kind    Kind
	attempt Attempt
	launch  TaskSpec // only with Start
	cpu     int64    // thousandths of a processor; only with Throttle
}

// TaskSpec is what a worker needs to know to start a task.
type TaskSpec struct {
	team       string           // who pays
	name       string           // the job's name
	size       placer.Resources // to set aside while it runs
	estimate   time.Duration    // declared run time; 0 when unknown
	idempotent bool             // it may be run again
	service    bool             // it runs until it is stopped
}

// NewTaskSpec returns what a worker needs to start a task of the job.
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

// Team returns the team that pays.
func (l TaskSpec) Team() string { return l.team }

// Name returns the name of the job.
func (l TaskSpec) Name() string { return l.name }

// Size returns what the worker sets aside.
func (l TaskSpec) Size() placer.Resources { return l.size }

// Estimate returns the declared run time, 0 when unknown.
func (l TaskSpec) Estimate() time.Duration { return l.estimate }

// Idempotent reports whether the task may be run again.
func (l TaskSpec) Idempotent() bool { return l.idempotent }

// Service reports whether the task runs until it is stopped.
func (l TaskSpec) Service() bool { return l.service }

// StartOrder asks for a run of a task.
func StartOrder(attempt Attempt, launch TaskSpec) Order {
	return Order{kind: Start, attempt: attempt, launch: launch}
}

// StopOrder ends a run.
func StopOrder(attempt Attempt) Order { return Order{kind: Stop, attempt: attempt} }

// CheckpointOrder saves the progress of a run and ends it.
func CheckpointOrder(attempt Attempt) Order { return Order{kind: Checkpoint, attempt: attempt} }

// ThrottleOrder bounds a run to cpu thousandths of a processor.
func ThrottleOrder(attempt Attempt, cpu int64) Order {
	return Order{kind: Throttle, attempt: attempt, cpu: cpu}
}

// AcknowledgeOrder lets the worker forget an ended run. It is sent only after
// the outcome is in the journal.
func AcknowledgeOrder(attempt Attempt) Order { return Order{kind: Acknowledge, attempt: attempt} }

// Kind returns what is asked for.
func (o Order) Kind() Kind { return o.kind }

// Attempt returns the run that the order is about.
func (o Order) Attempt() Attempt { return o.attempt }

// Spec returns what to start, with Start.
func (o Order) Spec() TaskSpec { return o.launch }

// CPU returns the bound in thousandths of a processor, with Throttle.
func (o Order) CPU() int64 { return o.cpu }

// Batch is all that an owner has for one worker at a time.
type Batch struct {
	term     uint64
	sequence uint64        // rises within the term
	token    uint64        // of the worker's last answer in this term; 0 when there was none
	lease    time.Duration // 0: fence only, the lease is left as it is
	orders   []Order
}

// Term returns the term of the owner that sent the batch.
func (b Batch) Term() uint64 { return b.term }

// Response is a worker's answer to a batch.
type Response struct {
	token   uint64  // to echo in the next batch
	report  Report  // the state after the orders
	refused []error // one for each order, nil when it was carried out
}

// Report returns the state of the worker after the orders.
func (a Response) Report() Report { return a.report }

// Errors returns for each order why the worker surely didn't carry it out, or
// nil when it did.
func (a Response) Errors() []error { return a.refused }
