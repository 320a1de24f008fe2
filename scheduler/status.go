package scheduler

import (
	"strings"
	"time"

	"filberthaven.example/placer"
)

// State sums up a job.
type State uint8

// The states of a job. Those from Done on are final.
const (
	Queued State = iota + 1
	Running
	// Moved means that another shard has the job.
	Moved
	Done
	Failed
	Cancelled
	// Unknown means that a task which must not run twice was lost with its
	// outcome.
	Unknown
)

var stateNames = [...]string{
	Queued: "queued", Running: "running", Moved: "moved",
	Done: "done", Failed: "failed", Cancelled: "cancelled", Unknown: "unknown",
}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Final reports whether the job has ended.
func (s State) Final() bool { return s >= Done }

// Status is what a shard knows of a job.
type Status struct {
	spec    placer.JobSpec
	state   State
	running int       // tasks that run
	ended   int       // tasks that ended for good
	done    int       // of those ended, tasks that ran to their end
	failed  int       // of those ended, tasks that failed for good
	lost    int       // of those ended, tasks whose outcome is unknown
	target  string    // shard that has the job, with Moved
	over    time.Time // when it ended; zero before
}

// Spec returns what the team asked for.
func (s Status) Spec() placer.JobSpec { return s.spec }

// ID returns the job's identifier.
func (s Status) ID() string { return s.spec.ID() }

// Team returns the team that pays for the job.
func (s Status) Team() string { return s.spec.Team() }

// Name returns the job's name.
func (s Status) Name() string { return s.spec.Name() }

// State returns the state.
func (s Status) State() State { return s.state }

// Tasks returns the number of tasks.
func (s Status) Tasks() int { return s.spec.Tasks() }

// Running returns the number of tasks that run.
func (s Status) Running() int { return s.running }

// Ended returns the number of tasks that ended for good.
func (s Status) Ended() int { return s.ended }

// Done returns the number of tasks that ran to their end.
func (s Status) Done() int { return s.done }

// Failed returns the number of tasks that failed for good.
func (s Status) Failed() int { return s.failed }

// Lost returns the number of tasks whose outcome is unknown for good.
func (s Status) Lost() int { return s.lost }

// Target returns the shard that has the job, with Moved.
func (s Status) Target() string { return s.target }

// EndedAt returns when the job ended; zero before.
func (s Status) EndedAt() time.Time { return s.over }

func (j *job) status() Status {
	ended := 0
	for _, n := range j.results {
		ended += int(n)
	}
	status := Status{
		spec: j.spec, state: j.state(), running: j.running, ended: ended,
		done: int(j.results[resultDone]), failed: int(j.results[resultFailed]), lost: int(j.results[resultUnknown]),
	}
	if j.moved {
		status.target = j.target
	}
	if j.recorded() {
		status.over = j.over
	}
	return status
}

// Receipt is the answer to an accepted job.
type Receipt struct {
	job   string
	first bool // this call accepted it
}

// JobID returns the job's identifier.
func (r Receipt) JobID() string { return r.job }

// Created reports whether this call accepted the job; false when the request id
// was known.
func (r Receipt) Created() bool { return r.first }

// ShardOf returns the shard that accepted a job, from the job's identifier, or
// "" when it is none.
func ShardOf(job string) string {
	for range 2 {
		cut := strings.LastIndexByte(job, '.')
		if cut < 0 {
			return ""
		}
		job = job[:cut]
	}
	return job
}

// withIdentity returns the spec under the shard's identifier.
func withIdentity(spec placer.JobSpec, id string, submitted time.Time) placer.JobSpec {
	r := newSpecRecord(spec)
	r.ID = id
	if r.Name == "" || r.Name == spec.ID() {
		r.Name = spec.Team()
	}
	r.Submitted = millis(submitted)
	return r.spec()
}
