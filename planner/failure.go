package planner

import (
	"fmt"
	"strings"
	"time"
)

// Failure tells why a job has failed. It is empty for a job that an earlier owner has failed.
type Failure struct {
	Task         string  // whose runs are the cause; any member, if it is a gang
	Failures     int     // failed runs of the task
	GangFailures int     // failed runs of its gang
	Attempts     int     // that the queue allows; 0 if the job failed by crashes
	Crashes      []Crash // of workers under the task, if these are the cause
}

// String describes the failure in a line for logs, with the runs that count. It is empty for
// an empty failure.
func (f Failure) String() string {
	switch {
	case f.Attempts > 0:
		return fmt.Sprintf("%d runs of the task and %d of its gang have failed, %d are allowed", f.Failures, f.GangFailures, f.Attempts)
	case len(f.Crashes) > 0:
		var runs []string
		for _, c := range f.Crashes {
			if !c.Survived {
				runs = append(runs, c.String())
			}
		}
		return "the task crashes its workers: " + strings.Join(runs, "; ")
	default:
		return ""
	}
}

// String describes the crash in a line for logs.
func (c Crash) String() string {
	return fmt.Sprintf("run %d on %s after %d ms (%s, started=%t, alone=%t, ended=%t, chance=%.2g, gone=%t)", c.Number, c.Worker, c.Age, c.Sign, c.Started, c.Separate, c.Ended, c.Chance, c.Gone)
}

// FailureOf returns why a job has failed.
func (p *Planner) FailureOf(id string) Failure {
	if j := p.jobs[id]; j != nil {
		return j.failure
	}
	return Failure{}
}

// fail ends a job as failed.
func (p *Planner) fail(j *job, failure Failure, now time.Duration) {
	j.failure = failure
	p.end(j, Failed, now)
}

// exhaustion returns the failure of a job of which the task with that index, or its gang, has
// used up its attempts.
func (s *step) exhaustion(index int) Failure {
	return Failure{
		Task: s.taskName(index), Failures: s.tasks[index].failures, GangFailures: s.gangFailures,
		Attempts: s.occurrence.job.queue.Attempts,
	}
}
