package placer

// WorkerState says whether a worker takes new tasks.
type WorkerState uint8

// The states of a worker.
const (
	Live        WorkerState = iota // takes new tasks
	Draining                       // takes no new tasks while its tasks end
	Quarantined                    // takes one task at a time, on trial, after a cool-down
)

// workerStateNames holds the texts that String returns. That of Draining is "leaving", as in
// the platform's list of VMs.
var workerStateNames = [...]string{Live: "live", Draining: "leaving", Quarantined: "quarantined"}

// String returns the name of the state.
func (s WorkerState) String() string { return workerStateNames[s] }

// Worker is a VM that runs tasks.
type Worker struct {
	id    string    // unique in the fleet
	rack  string    // shared by VMs that may fail together
	total Resources // for all its tasks together
	state WorkerState
}

// WorkerOption changes a worker under construction.
type WorkerOption func(*Worker)

// NewWorker returns a live worker, changed by the options.
func NewWorker(id, rack string, total Resources, options ...WorkerOption) Worker {
	worker := Worker{id: id, rack: rack, total: total}
	for _, option := range options {
		option(&worker)
	}
	return worker
}

// WithState sets the state.
func WithState(state WorkerState) WorkerOption { return func(w *Worker) { w.state = state } }

// ID returns the identifier.
func (w Worker) ID() string { return w.id }

// Rack returns the rack.
func (w Worker) Rack() string { return w.rack }

// Total returns the resources for all tasks of the worker.
func (w Worker) Total() Resources { return w.total }

// State returns the state.
func (w Worker) State() WorkerState { return w.state }
