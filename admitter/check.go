package admitter

import (
	"fmt"
	"time"

	"filberthaven.example/placer"
)

// Fleet is what the check of jobs knows of the fleet and of the team.
type Fleet struct {
	workers []placer.Resources // total size of each worker, all data centres
	limit   int64              // the team's upper limit in thousandths of a processor; 0: none
}

// NewFleet returns what a job is checked against: the total size of each
// worker, and the team's upper limit in thousandths of a processor (0: none).
func NewFleet(workers []placer.Resources, limit int64) Fleet {
	return Fleet{workers: workers, limit: limit}
}

// CheckJob returns a *RefusalError of the kind Never when the job can never run, or
// can't meet its deadline, with the reason. A fleet without workers lets all
// through, since the list of VMs may not have come yet.
func CheckJob(spec placer.JobSpec, fleet Fleet, now time.Time) error {
	if err := checkDeadline(spec, now); err != nil {
		return err
	}
	if err := checkLimit(spec, fleet.limit); err != nil {
		return err
	}
	if len(fleet.workers) == 0 {
		return nil
	}
	return checkRoom(spec, fleet.workers)
}

// checkDeadline refuses a deadline that has passed or is nearer than the
// estimate.
func checkDeadline(spec placer.JobSpec, now time.Time) error {
	if spec.Deadline().IsZero() {
		return nil
	}
	left := spec.Deadline().Sub(now)
	if left <= 0 {
		return NewRefusal(Permanent, "deadline", "the deadline has passed", 0)
	}
	if spec.Estimate() > left {
		reason := fmt.Sprintf("a task takes %v by its estimate, the deadline is in %v", spec.Estimate(), left.Round(time.Second))
		return NewRefusal(Permanent, "deadline", reason, 0)
	}
	return nil
}

// checkLimit refuses what can't start under the team's upper limit.
func checkLimit(spec placer.JobSpec, limit int64) error {
	if limit <= 0 {
		return nil
	}
	least := spec.Size().CPU()
	if spec.Gang() {
		least *= int64(spec.Tasks())
	}
	if least <= limit {
		return nil
	}
	return NewRefusal(Permanent, "limit", fmt.Sprintf("it needs %dm of cpu at once, the team's limit is %dm", least, limit), 0)
}

// checkRoom refuses tasks bigger than any worker and gangs bigger than the
// empty fleet.
func checkRoom(spec placer.JobSpec, workers []placer.Resources) error {
	room, need := 0, 1
	if spec.Gang() {
		need = spec.Tasks()
	}
	for _, worker := range workers {
		room += tasksIn(worker, spec.Size(), need)
		if room >= need {
			return nil
		}
	}
	if room == 0 {
		return NewRefusal(Permanent, "size", fmt.Sprintf("a task of %v fits on no worker", spec.Size()), 0)
	}
	return NewRefusal(Permanent, "gang", fmt.Sprintf("the gang has %d tasks, the empty fleet holds %d", need, room), 0)
}

// tasksIn returns how many tasks of that size an empty worker holds, at most
// bound.
func tasksIn(worker, size placer.Resources, bound int) int {
	count := int64(bound)
	for _, part := range [...][2]int64{
		{size.CPU(), worker.CPU()},
		{size.Memory(), worker.Memory()},
		{size.Accelerators(), worker.Accelerators()},
	} {
		if part[0] > 0 {
			count = min(count, part[1]/part[0])
		}
	}
	return int(count)
}
