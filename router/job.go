package router

import (
	"time"

	"filberthaven.example/placer"
)

// TaskCounts holds the number of tasks of a job in each state.
type TaskCounts struct {
	pending, running, done, failed, unknown int // none negative
}

// NewTaskCounts returns the number of tasks in each state. unknown counts the tasks
// that must not run again and whose end was not observed.
func NewTaskCounts(pending, running, done, failed, unknown int) TaskCounts {
	return TaskCounts{pending: pending, running: running, done: done, failed: failed, unknown: unknown}
}

// Job describes a job to its team.
type Job struct {
	spec     placer.JobSpec
	state    string // one word, never empty
	terminal bool   // the state is final
	counts   TaskCounts
	reason   string // why the job is in that state; may be empty
}

// NewJob returns a job in a state, which is one word such as "pending". terminal says
// that the state is final. reason explains the state and may be empty.
func NewJob(spec placer.JobSpec, state string, terminal bool, counts TaskCounts, reason string) Job {
	return Job{spec: spec, state: state, terminal: terminal, counts: counts, reason: reason}
}

// Spec returns the job as the team submitted it.
func (j Job) Spec() placer.JobSpec { return j.spec }

// State returns the name of the job's state.
func (j Job) State() string { return j.state }

// Terminal reports whether the job's state is final.
func (j Job) Terminal() bool { return j.terminal }

// jobBody is the JSON form of a job.
type jobBody struct {
	ID           string     `json:"id"`
	Name         string     `json:"name"`
	Team         string     `json:"team"`
	Queue        string     `json:"queue"`
	Class        string     `json:"class"`
	State        string     `json:"state"`
	Terminal     bool       `json:"terminal"`
	Reason       string     `json:"reason,omitempty"`
	Tasks        int        `json:"tasks"`
	CPU          float64    `json:"cpu"`
	Memory       int64      `json:"memory"`
	Accelerators int64      `json:"accelerators,omitempty"`
	Gang         bool       `json:"gang,omitempty"`
	Idempotent   bool       `json:"idempotent"`
	Estimate     string     `json:"estimate,omitempty"`
	Deadline     *time.Time `json:"deadline,omitempty"`
	Submitted    *time.Time `json:"submitted,omitempty"`
	Pending      int        `json:"pending"`
	Running      int        `json:"running"`
	Done         int        `json:"done"`
	Failed       int        `json:"failed"`
	Unknown      int        `json:"unknown"`
}

// body returns the job as it is sent to its team.
func (j Job) body() jobBody {
	spec, size := j.spec, j.spec.Size()
	body := jobBody{
		ID: spec.ID(), Name: spec.Name(), Team: spec.Team(), Queue: spec.Queue(), Class: spec.Class().String(),
		State: j.state, Terminal: j.terminal, Reason: j.reason, Tasks: spec.Tasks(),
		CPU: float64(size.CPU()) / milliPerCPU, Memory: size.Memory(), Accelerators: size.Accelerators(),
		Gang: spec.Gang(), Idempotent: spec.Idempotent(),
		Deadline: timeOrNil(spec.Deadline()), Submitted: timeOrNil(spec.SubmittedAt()),
		Pending: j.counts.pending, Running: j.counts.running, Done: j.counts.done,
		Failed: j.counts.failed, Unknown: j.counts.unknown,
	}
	if spec.Estimate() > 0 {
		body.Estimate = spec.Estimate().String()
	}
	return body
}

// timeOrNil returns nil for the zero time.
func timeOrNil(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}
