package placer

import "time"

// Kind is what a decision asks for.
type Kind uint8

// The kinds of decisions.
const (
	Start      Kind = iota + 1 // start the task on the worker
	Stop                       // stop the task; report Preempted when it has ended
	Checkpoint                 // save the task's state, then end it; report Preempted
	Throttle                   // hold the task to its declared size
	Expire                     // the deadline passed before the task started; the job is forgotten
)

var kindNames = [...]string{Start: "start", Stop: "stop", Checkpoint: "checkpoint", Throttle: "throttle", Expire: "expire"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Decision is one thing to do, with why.
type Decision struct {
	kind       Kind
	task       TaskID
	worker     string // empty for Expire
	candidates int    // workers or tasks that were looked at
	attempt    int    // earlier failures of the task
	reason     string // one short sentence, never empty
}

// Kind returns what to do.
func (d Decision) Kind() Kind { return d.kind }

// Task returns the task concerned.
func (d Decision) Task() TaskID { return d.task }

// Worker returns the identifier of the worker, "" for Expire.
func (d Decision) Worker() string { return d.worker }

// Examined returns how many workers or tasks were looked at.
func (d Decision) Examined() int { return d.candidates }

// Attempt returns how many times the task has failed before.
func (d Decision) Attempt() int { return d.attempt }

// Reason returns why, for logs.
func (d Decision) Reason() string { return d.reason }

// Outcome is how a run of a task ended.
type Outcome uint8

// The outcomes of a run.
const (
	Succeeded Outcome = iota + 1
	Failed            // it ran and failed
	Preempted         // it ended on a Stop or Checkpoint decision
	Lost              // its worker is gone; whether it ended is unknown
	Cancelled         // it ended since its job was cancelled
)

var outcomeNames = [...]string{Succeeded: "succeeded", Failed: "failed", Preempted: "preempted", Lost: "lost", Cancelled: "cancelled"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// FinishResult is what the end of a run means for its task and job.
type FinishResult struct {
	again  bool      // the task is pending again
	at     time.Time // earliest time of the next start when again; may be zero
	done   bool      // no task of the job is pending or running
	failed int       // tasks of the job that ended without success
}

// Requeued reports whether the task is pending again.
func (s FinishResult) Requeued() bool { return s.again }

// NotBefore returns the earliest time of the next start; zero for at once.
func (s FinishResult) NotBefore() time.Time { return s.at }

// JobDone reports whether the job is over.
func (s FinishResult) JobDone() bool { return s.done }

// FailedTasks returns how many tasks of the job ended without success.
func (s FinishResult) FailedTasks() int { return s.failed }

// RunningTask is a task on a worker.
type RunningTask struct {
	task    TaskID
	worker  string
	started time.Time
}

// Task returns the task.
func (r RunningTask) Task() TaskID { return r.task }

// Worker returns the identifier of its worker.
func (r RunningTask) Worker() string { return r.worker }

// Started returns when it was placed.
func (r RunningTask) Started() time.Time { return r.started }
