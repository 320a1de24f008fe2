package dispatcher

import "filberthaven.example/placer"

// Attempt identifies one run of a task.
type Attempt struct {
	task   placer.TaskID
	number uint32 // from 1; increases with each run of the task
}

// NewAttempt returns the identifier of the task's run with that number, from 1.
func NewAttempt(task placer.TaskID, number uint32) Attempt {
	return Attempt{task: task, number: number}
}

// Task returns the task.
func (a Attempt) Task() placer.TaskID { return a.task }

// Number returns the number of the run among the task's runs, from 1.
func (a Attempt) Number() uint32 { return a.number }

// Outcome is how a run ended on its worker.
type Outcome uint8

// The outcomes that a worker reports.
const (
	// Done means that the task finished its work.
	Done Outcome = iota + 1
	// Failed means that the task ran and failed.
	Failed
	// Stopped means that the worker ended the run before it was done, by an order
	// or because the lease expired.
	Stopped
	// Checkpointed means that the worker saved the progress of the run and ended
	// it.
	Checkpointed
)

var outcomeNames = [...]string{Done: "done", Failed: "failed", Stopped: "stopped", Checkpointed: "checkpointed"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// RunningTask is a task that runs on a worker.
type RunningTask struct {
	attempt Attempt
	term    uint64           // of its start
	usage   placer.Resources // as last measured; lags
}

// NewRunningTask returns a running task with the term of its start and its usage.
func NewRunningTask(attempt Attempt, term uint64, usage placer.Resources) RunningTask {
	return RunningTask{attempt: attempt, term: term, usage: usage}
}

// Attempt returns the run of the task.
func (r RunningTask) Attempt() Attempt { return r.attempt }

// Term returns the term of the start.
func (r RunningTask) Term() uint64 { return r.term }

// Usage returns the resources in use as last measured, which lags.
func (r RunningTask) Usage() placer.Resources { return r.usage }

// FinishedTask is a run that has ended and that no owner has acknowledged.
type FinishedTask struct {
	attempt Attempt
	outcome Outcome
}

// NewFinishedTask returns a run that has ended with the outcome.
func NewFinishedTask(attempt Attempt, outcome Outcome) FinishedTask {
	return FinishedTask{attempt: attempt, outcome: outcome}
}

// Attempt returns the run that ended.
func (f FinishedTask) Attempt() Attempt { return f.attempt }

// Outcome returns how the run ended.
func (f FinishedTask) Outcome() Outcome { return f.outcome }

// Report is the complete state of a worker at one time.
type Report struct {
	incarnation string         // differs after each restart of the worker
	running     []RunningTask  // all running tasks
	finished    []FinishedTask // all ended runs that are not acknowledged
}

// NewReport returns the state of a worker.
func NewReport(incarnation string, running []RunningTask, finished []FinishedTask) Report {
	return Report{incarnation: incarnation, running: running, finished: finished}
}

// Incarnation returns the worker's incarnation. A new incarnation knows none of
// the runs of earlier ones.
func (r Report) Incarnation() string { return r.incarnation }

// Running returns the running tasks.
func (r Report) Running() []RunningTask { return r.running }

// Finished returns the ended runs that are not acknowledged.
func (r Report) Finished() []FinishedTask { return r.finished }
