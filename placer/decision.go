package placer

import "time"

// Kind is the kind of action that a decision asks for.
type Kind uint8

// The kinds of decisions.
const (
	Start      Kind = iota + 1 // start the task on the worker
	Stop                       // stop the task; call Finish with Preempted when it has ended
	Checkpoint                 // save the state of the task and stop it; call Finish with Preempted when it has ended
	Throttle                   // limit the task to its declared size
	Expire                     // drop the job, whose deadline passed before it started
)

var kindNames = [...]string{Start: "start", Stop: "stop", Checkpoint: "checkpoint", Throttle: "throttle", Expire: "expire"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Decision is an order to carry out, with its reason.
type Decision struct {
	kind          Kind
	task          TaskID
	worker        string // empty for Expire
	examined      int    // workers or tasks that were examined
	priorFailures int    // for Start: earlier runs of the task that failed
	reason        string // for logs, never empty
}

// Kind returns the action.
func (d Decision) Kind() Kind { return d.kind }

// Task returns the task; for Expire its index is 0.
func (d Decision) Task() TaskID { return d.task }

// Worker returns the identifier of the worker, "" for Expire.
func (d Decision) Worker() string { return d.worker }

// Examined returns how many workers or tasks were examined.
func (d Decision) Examined() int { return d.examined }

// PriorFailures returns, for a Start decision, how many earlier runs of the task failed. Failures
// for which the worker is at fault don't count.
func (d Decision) PriorFailures() int { return d.priorFailures }

// Reason returns the reason, for logs.
func (d Decision) Reason() string { return d.reason }

// Outcome is how a run of a task ended.
type Outcome uint8

// The outcomes of a run.
const (
	Succeeded Outcome = iota + 1
	Failed            // it ran and failed
	Preempted         // it ended after a Stop or Checkpoint decision
	Lost              // its worker is gone; it is unknown whether it ended
	Cancelled         // it ended because its job was cancelled
)

var outcomeNames = [...]string{Succeeded: "succeeded", Failed: "failed", Preempted: "preempted", Lost: "lost", Cancelled: "cancelled"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// FinishResult is the state of a task and its job after a run.
type FinishResult struct {
	requeued    bool      // the task waits again, possibly in back-off
	notBefore   time.Time // earliest next start when requeued after a failure, else zero
	jobDone     bool      // no task of the job waits or runs
	failedTasks int       // tasks of the job that failed or were lost and won't run again
}

// Requeued reports whether the task waits to run again.
func (r FinishResult) Requeued() bool { return r.requeued }

// NotBefore returns the earliest next start of a task that waits after a failure, else the
// zero time.
func (r FinishResult) NotBefore() time.Time { return r.notBefore }

// JobDone reports whether no task of the job waits or runs.
func (r FinishResult) JobDone() bool { return r.jobDone }

// FailedTasks returns how many tasks of the job failed or were lost and won't run again.
// Cancelled tasks count only when MarkEnded reported them.
func (r FinishResult) FailedTasks() int { return r.failedTasks }

// RunningTask is a task that is on a worker.
type RunningTask struct {
	task    TaskID
	worker  string
	started time.Time
}

// Task returns the task.
func (r RunningTask) Task() TaskID { return r.task }

// Worker returns the identifier of the task's worker.
func (r RunningTask) Worker() string { return r.worker }

// StartedAt returns when the placer started or restored the task.
func (r RunningTask) StartedAt() time.Time { return r.started }
