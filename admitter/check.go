package admitter

import (
	"fmt"
	"time"

	"filberthaven.example/placer"
)

// JobBounds is what CheckJob checks a job against: the workers and the team's limit.
type JobBounds struct {
	workers []placer.Resources // total size of each worker, all data centres
	limit   int64              // the team's upper limit in thousandths of a processor; 0: none
}

// NewJobBounds returns the bounds for CheckJob: the total size of each worker in all data
// centres, and the team's upper limit in thousandths of a processor; 0 means no limit.
func NewJobBounds(workers []placer.Resources, limit int64) JobBounds {
	return JobBounds{workers: workers, limit: limit}
}

// CheckJob returns a *RefusalError of the kind Permanent if the job can never run or
// can't meet its deadline. Without any workers the size of the job is not checked,
// because the list of workers may not have arrived yet.
func CheckJob(spec placer.JobSpec, bounds JobBounds, now time.Time) error {
	if err := checkDeadline(spec, now); err != nil {
		return err
	}
	if err := checkLimit(spec, bounds.limit); err != nil {
		return err
	}
	if len(bounds.workers) == 0 {
		return nil
	}
	return checkCapacity(spec, bounds.workers)
}

// checkDeadline refuses a job whose deadline has passed or leaves less time than the
// estimated run time of a task.
func checkDeadline(spec placer.JobSpec, now time.Time) error {
	if spec.Deadline().IsZero() {
		return nil
	}
	remaining := spec.Deadline().Sub(now)
	if remaining <= 0 {
		return NewRefusal(Permanent, "deadline", "the deadline has passed", 0)
	}
	if spec.Estimate() > remaining {
		reason := fmt.Sprintf("a task takes %v by its estimate, the deadline is in %v", spec.Estimate(), remaining.Round(time.Second))
		return NewRefusal(Permanent, "deadline", reason, 0)
	}
	return nil
}

// checkLimit refuses a job if one of its tasks, or all tasks of a gang together,
// exceed the team's upper limit.
func checkLimit(spec placer.JobSpec, limit int64) error {
	if limit <= 0 {
		return nil
	}
	needed := spec.Size().CPU()
	if spec.Gang() {
		needed *= int64(spec.Tasks())
	}
	if needed <= limit {
		return nil
	}
	return NewRefusal(Permanent, "limit", fmt.Sprintf("it needs %dm of cpu at once, the team's limit is %dm", needed, limit), 0)
}

// checkCapacity refuses a job whose tasks are larger than any worker, and a gang that
// doesn't fit on all workers while they are empty.
func checkCapacity(spec placer.JobSpec, workers []placer.Resources) error {
	capacity, needed := 0, 1
	if spec.Gang() {
		needed = spec.Tasks()
	}
	for _, worker := range workers {
		capacity += tasksIn(worker, spec.Size(), needed)
		if capacity >= needed {
			return nil
		}
	}
	if capacity == 0 {
		return NewRefusal(Permanent, "size", fmt.Sprintf("a task of %v fits on no worker", spec.Size()), 0)
	}
	return NewRefusal(Permanent, "gang", fmt.Sprintf("the gang has %d tasks, the empty fleet holds %d", needed, capacity), 0)
}

// tasksIn returns how many tasks of the given size fit on the empty worker, but at
// most bound.
func tasksIn(worker, size placer.Resources, bound int) int {
	count := int64(bound)
	for _, resource := range [...][2]int64{ // size and capacity
		{size.CPU(), worker.CPU()},
		{size.Memory(), worker.Memory()},
		{size.Accelerators(), worker.Accelerators()},
	} {
		if resource[0] > 0 {
			count = min(count, resource[1]/resource[0])
		}
	}
	return int(count)
}
