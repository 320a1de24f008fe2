package placer

import (
	"fmt"
	"slices"
)

// roll is the change of a service to a new version, task by task.
type roll struct {
	from, to *job
	surplus  int32 // tasks of both beyond the count of from, at least 1
}

// RollingUpdate changes a running service to a new version under another identifier.
// Tasks of the new one start as far as both together have at most surplus, at
// least 1, more than the old one; for each that runs one of the old one ends.
// Errors: ErrUnknownJob, ErrInvalidJob when one isn't a service or is changing
// already, and those of Submit.
func (p *Placer) RollingUpdate(id string, spec JobSpec, surplus int) error {
	from := p.jobs[id]
	if from == nil {
		return fmt.Errorf("%w: %q", ErrUnknownJob, id)
	}
	if from.spec.class != Service || spec.class != Service || from.spec.gang || spec.gang || surplus < 1 || from.roll != nil {
		return fmt.Errorf("%w: %q can't be changed to %q with a surplus of %d", ErrInvalidJob, id, spec.id, surplus)
	}
	if err := p.Submit(spec); err != nil {
		return err
	}
	r := &roll{from: from, to: p.jobs[spec.id], surplus: int32(surplus)}
	from.roll, r.to.roll = r, r
	p.rolls = append(p.rolls, r)
	return nil
}

// permits reports whether the change allows one more task of the job.
func (c *roll) permits(j *job) bool {
	return j == c.to && c.from.active+c.to.active < int32(c.from.spec.tasks)+c.surplus
}

// rollOn ends a task of an old version for each one of the new that runs.
func (p *Placer) rollOn(r *round) {
	p.rolls = slices.DeleteFunc(p.rolls, func(c *roll) bool {
		if p.jobs[c.from.spec.id] == c.from && p.jobs[c.to.spec.id] == c.to {
			p.shrink(r, c.from, max(int32(c.from.spec.tasks)-c.to.active, 0))
			return false
		}
		c.from.roll, c.to.roll = nil, nil
		p.released = true
		return true
	})
}

// shrink ends tasks of a job beyond a count: first those that wait, then the
// newest.
func (p *Placer) shrink(r *round, j *job, count int32) {
	var victims []runRef
	for i := range j.tasks {
		if j.tasks[i].phase == running {
			victims = append(victims, runRef{j, int32(i)})
		}
	}
	excess := int32(len(victims)) + j.pending - count
	for ; excess > 0 && j.pending > 0; excess-- {
		j.tasks[j.take()].phase = ended
		j.pending--
		p.wait(j, -1)
	}
	if j.pending == 0 {
		j.team.dequeue(j)
	}
	slices.SortStableFunc(victims, func(a, b runRef) int { return int(sign(j.tasks[b.index].started - j.tasks[a.index].started)) })
	for _, v := range victims[:max(min(int(excess), len(victims)), 0)] {
		p.press(r, v, Stop, len(victims), "a task of the new version has taken its place")
	}
	p.retire(j)
}

func sign(d int64) int64 { return min(max(d, -1), 1) }
