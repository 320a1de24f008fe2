package scheduler

import (
	"strings"
	"time"

	"filberthaven.example/placer"
)

// State is the state of a job.
type State uint8

// The states of a job. Done and those after it are final. Before it moves or ends, a job is
// Running while workers have confirmed runs of it or the ends of such runs are not
// persisted, and otherwise Queued.
const (
	Queued State = iota + 1
	Running
	// Moved means that another shard has the job.
	Moved
	Done
	Failed
	Cancelled
	// Unknown means that a non-idempotent task was lost, so that its outcome is
	// unknown.
	Unknown
)

var stateNames = [...]string{
	Queued: "queued", Running: "running", Moved: "moved",
	Done: "done", Failed: "failed", Cancelled: "cancelled", Unknown: "unknown",
}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Final reports whether the job has ended.
func (s State) Final() bool { return s >= Done }

// Status is the progress of a job, as its shard sees it.
type Status struct {
	spec    placer.JobSpec
	state   State
	running int       // tasks whose workers have confirmed the start
	ended   int       // tasks with a final result
	done    int       // ended tasks that succeeded
	failed  int       // ended tasks that failed
	lost    int       // ended tasks whose outcome is unknown
	target  string    // shard that has the job; only with Moved
	endedAt time.Time // zero before the end
}

// Spec returns the job that the team submitted.
func (s Status) Spec() placer.JobSpec { return s.spec }

// ID returns the job's identifier.
func (s Status) ID() string { return s.spec.ID() }

// Team returns the team that pays for the job.
func (s Status) Team() string { return s.spec.Team() }

// Name returns the job's name.
func (s Status) Name() string { return s.spec.Name() }

// State returns the state of the job.
func (s Status) State() State { return s.state }

// Tasks returns the number of tasks.
func (s Status) Tasks() int { return s.spec.Tasks() }

// Running returns the number of tasks that run, as confirmed by their workers. A task
// whose start is not confirmed yet counts as waiting.
func (s Status) Running() int { return s.running }

// Ended returns the number of tasks with a final result.
func (s Status) Ended() int { return s.ended }

// Done returns the number of tasks that succeeded.
func (s Status) Done() int { return s.done }

// Failed returns the number of tasks that failed and don't run again.
func (s Status) Failed() int { return s.failed }

// Lost returns the number of tasks whose outcome is unknown and that don't run again.
func (s Status) Lost() int { return s.lost }

// Target returns the shard that has the job; empty unless the state is Moved.
func (s Status) Target() string { return s.target }

// EndedAt returns when the job ended; zero before the end.
func (s Status) EndedAt() time.Time { return s.endedAt }

func (j *job) status() Status {
	ended := 0
	for _, n := range j.finalCounts {
		ended += int(n)
	}
	status := Status{
		spec: j.spec, state: j.state(), running: j.begun, ended: ended,
		done: int(j.finalCounts[resultDone]), failed: int(j.finalCounts[resultFailed]), lost: int(j.finalCounts[resultUnknown]),
	}
	if j.moved {
		status.target = j.target
	}
	if j.endPersisted() {
		status.endedAt = j.endedAt
	}
	return status
}

// Receipt is the result of an accepted Submit.
type Receipt struct {
	jobID   string
	created bool // this call created the job
}

// JobID returns the job's identifier.
func (r Receipt) JobID() string { return r.jobID }

// Created reports whether this call created the job; false when its request id was
// known already.
func (r Receipt) Created() bool { return r.created }

// ShardOf returns the shard that first accepted a job, which the job's identifier names.
// It returns an empty name if the identifier is malformed.
func ShardOf(job string) string {
	for range 2 {
		dot := strings.LastIndexByte(job, '.')
		if dot < 0 {
			return ""
		}
		job = job[:dot]
	}
	return job
}

// withIdentity returns the spec with an identifier and a time of submission. A job
// without a name of its own gets that of its team.
func withIdentity(spec placer.JobSpec, id string, submitted time.Time) placer.JobSpec {
	r := newSpecRecord(spec)
	r.ID = id
	if r.Name == "" || r.Name == spec.ID() {
		r.Name = spec.Team()
	}
	r.Submitted = millis(submitted)
	return r.spec()
}
