package placer

import (
	"fmt"
	"slices"
)

// rollout is the rolling update of a service to a new version.
type rollout struct {
	from, to *job
	surplus  int32 // tasks that both jobs together may run beyond the task count of from; at least 1
}

// RollingUpdate replaces a running service by a new version with another identifier. The
// surplus, at least 1, is how many tasks both versions together may run beyond the task
// count of the old one. For each task of the new version that is on a worker, one of the
// old version ends. RollingUpdate returns ErrUnknownJob when there is no old version, the
// errors of Submit, and ErrInvalidJob when one of the jobs is a gang or not a service, the
// surplus is below 1, or the old version is part of an update already.
func (p *Placer) RollingUpdate(id string, spec JobSpec, surplus int) error {
	from := p.jobs[id]
	if from == nil {
		return fmt.Errorf("%w: %q", ErrUnknownJob, id)
	}
	if from.spec.class != Service || spec.class != Service || from.spec.gang || spec.gang || surplus < 1 || from.rollout != nil {
		return fmt.Errorf("%w: %q can't be changed to %q with a surplus of %d", ErrInvalidJob, id, spec.id, surplus)
	}
	if err := p.Submit(spec); err != nil {
		return err
	}
	r := &rollout{from: from, to: p.jobs[spec.id], surplus: int32(surplus)}
	from.rollout, r.to.rollout = r, r
	p.rollouts = append(p.rollouts, r)
	return nil
}

// allows reports whether the update lets one more task of the job start. Tasks of the old
// version never start.
func (r *rollout) allows(j *job) bool {
	return j == r.to && r.from.active+r.to.active < int32(r.from.spec.tasks)+r.surplus
}

// advanceRollouts ends a task of the old version for each task of the new version that is on
// a worker. An update is over when either job has been removed.
func (p *Placer) advanceRollouts(c *cycle) {
	p.rollouts = slices.DeleteFunc(p.rollouts, func(r *rollout) bool {
		if p.jobs[r.from.spec.id] == r.from && p.jobs[r.to.spec.id] == r.to {
			p.scaleDown(c, r.from, max(int32(r.from.spec.tasks)-r.to.active, 0))
			return false
		}
		r.from.rollout, r.to.rollout = nil, nil
		p.passNeeded = true
		return true
	})
}

// scaleDown ends as many tasks of a job as exceed a count: first tasks in the queue, and
// then the newest running ones.
func (p *Placer) scaleDown(c *cycle, j *job, count int32) {
	var victims []runRef
	for i := range j.tasks {
		if j.tasks[i].phase == running {
			victims = append(victims, runRef{j, int32(i)})
		}
	}
	excess := int32(len(victims)) + j.pending - count
	for ; excess > 0 && j.pending > 0; excess-- {
		j.tasks[j.takeNext()].phase = ended
		j.pending--
		p.addPending(j, -1)
	}
	if j.pending == 0 {
		j.team.dequeue(j)
	}
	slices.SortStableFunc(victims, func(a, b runRef) int { return int(sign(j.tasks[b.index].started - j.tasks[a.index].started)) })
	for _, v := range victims[:max(min(int(excess), len(victims)), 0)] {
		p.preempt(c, v, Stop, len(victims), "a task of the new version replaces it")
	}
	p.removeIfDone(j)
}

func sign(d int64) int64 { return min(max(d, -1), 1) }
