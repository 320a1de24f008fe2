package placer

import (
	"fmt"
	"time"
)

// Submit puts a job into the queue. Errors: ErrInvalidJob, ErrDuplicateJob,
// ErrNeverFits, ErrQueueFull.
func (p *Placer) Submit(spec JobSpec) error {
	if p.jobs[spec.id] != nil {
		return fmt.Errorf("%w: %q", ErrDuplicateJob, spec.id)
	}
	if err := p.Feasible(spec); err != nil {
		return err
	}
	t := p.teamNamed(spec.team)
	if t.pending+spec.tasks > p.settings.queue {
		return fmt.Errorf("%w: %d of %d tasks wait, job %q has %d", ErrQueueFull, t.pending, p.settings.queue, spec.id, spec.tasks)
	}
	p.insert(spec, t)
	return nil
}

// RestoreJob puts a job into the queue without checks of room or limits: it was
// accepted before. Errors: ErrInvalidJob, ErrDuplicateJob.
func (p *Placer) RestoreJob(spec JobSpec) error {
	if p.jobs[spec.id] != nil {
		return fmt.Errorf("%w: %q", ErrDuplicateJob, spec.id)
	}
	if err := valid(spec); err != nil {
		return err
	}
	p.insert(spec, p.teamNamed(spec.team))
	return nil
}

func (p *Placer) insert(spec JobSpec, t *team) {
	p.serial++
	j := &job{spec: spec, team: t, serial: p.serial, pending: int32(spec.tasks)}
	j.lane = j.firstLane()
	j.expected = p.settings.learned(spec)
	j.latest = p.latestStart(spec)
	j.estimated = nanos(spec.submitted)
	p.jobs[spec.id] = j
	t.addJob(j)
	p.wait(j, spec.tasks)
	t.arrived += j.load(j.pending)
	t.enqueue(j)
	p.released = true
}

// latestStart returns the key of a job in its lane.
func (p *Placer) latestStart(spec JobSpec) int64 {
	if spec.class != Deferred || spec.gang {
		return 0
	}
	if spec.deadline.IsZero() {
		return never
	}
	return nanos(spec.deadline.Add(-p.runTime(spec)))
}

func (p *Placer) runTime(spec JobSpec) time.Duration { return p.settings.expected(spec) }

// wait counts tasks that became pending; negative for tasks that are no more.
func (p *Placer) wait(j *job, tasks int) {
	p.pending += tasks
	j.team.pending += tasks
	j.team.backlog = max(j.team.backlog+j.load(int32(tasks)), 0)
	j.team.demand = j.team.demand.Add(j.spec.size.Scale(int64(tasks)))
}

// Feasible returns nil when the job could run on an otherwise empty fleet, else
// ErrInvalidJob or ErrNeverFits with the reason. The allotment isn't weighed: it
// follows demand.
func (p *Placer) Feasible(spec JobSpec) error {
	if err := valid(spec); err != nil {
		return err
	}
	together := 1
	if spec.gang {
		together = spec.tasks
	}
	if found := p.places(spec, together); found < together {
		return fmt.Errorf("%w: %d tasks of %v at once, empty workers hold %d", ErrNeverFits, together, spec.size, found)
	}
	return nil
}

// feasibleNow is Feasible under today's allotment as well.
func (p *Placer) feasibleNow(spec JobSpec) error {
	need := spec.size.cpu
	if spec.gang {
		need *= int64(spec.tasks)
	}
	if t := p.byTeam[spec.team]; t != nil && t.allotment >= 0 && need > t.allotment {
		return fmt.Errorf("%w: needs %dm processors together, limit of team %q here is %dm", ErrNeverFits, need, spec.team, t.allotment)
	}
	return p.Feasible(spec)
}

func valid(spec JobSpec) error {
	switch {
	case spec.id == "" || spec.team == "" || spec.queue == "":
		return fmt.Errorf("%w: id, team and queue must be set", ErrInvalidJob)
	case spec.tasks < 1:
		return fmt.Errorf("%w: %d tasks", ErrInvalidJob, spec.tasks)
	case !spec.size.IsValid() || spec.size.IsZero():
		return fmt.Errorf("%w: size %v", ErrInvalidJob, spec.size)
	case classNames[spec.class] == "":
		return fmt.Errorf("%w: class %d", ErrInvalidJob, spec.class)
	}
	return nil
}

// places counts the tasks of the job that the workers hold when empty, up to
// most.
func (p *Placer) places(spec JobSpec, most int) int {
	found := 0
	for _, n := range p.nodes {
		if n.gone || n.worker.state == Draining || !allowed(spec, n) {
			continue
		}
		found += fill(spec, n.worker.total, most-found)
		if found >= most {
			return most
		}
	}
	return found
}

// fill returns how many tasks of the job fit into an amount, up to most.
func fill(spec JobSpec, amount Resources, most int) int {
	if spec.constraints.apart {
		most = min(most, 1)
	}
	n := int64(most)
	for _, part := range [...][2]int64{
		{spec.size.cpu, amount.cpu},
		{spec.size.memory, amount.memory},
		{spec.size.accelerators, amount.accelerators},
	} {
		if part[0] > 0 {
			n = min(n, max(part[1], 0)/part[0])
		}
	}
	return int(n)
}

// allowed reports whether the hard constraints of the job admit the node.
func allowed(spec JobSpec, n *node) bool {
	return spec.constraints.rack == "" || spec.constraints.rack == n.worker.rack
}

// Cancel takes a job out of the queue at once and returns its tasks on workers,
// which are to be stopped; Finish is due for each.
func (p *Placer) Cancel(id string) []RunningTask {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	p.withdraw(j)
	var left []RunningTask
	for i := range j.tasks {
		if j.tasks[i].node != nil {
			j.tasks[i].phase = ending
			left = append(left, j.running(int32(i)))
		}
	}
	p.retire(j)
	return left
}

// withdraw takes all tasks of a job that wait out of the queue for good.
func (p *Placer) withdraw(j *job) {
	j.team.dequeue(j)
	j.cancelled = true
	p.wait(j, -int(j.pending+j.delayed))
	j.pending, j.delayed = 0, 0
	p.releaseHolds(j)
	if j.team.gang == j {
		j.team.gang = nil
	}
	p.released = true
}

// retire forgets a job that has nothing left.
func (p *Placer) retire(j *job) bool {
	if j.unfinished() > 0 {
		return false
	}
	if p.jobs[j.spec.id] == j {
		j.team.dequeue(j)
		j.team.removeJob(j)
		delete(p.jobs, j.spec.id)
	}
	return true
}

// SetPaused keeps the pending tasks of a job from starting, or lets them go on.
// Errors: ErrUnknownJob.
func (p *Placer) SetPaused(id string, on bool) error {
	j := p.jobs[id]
	if j == nil {
		return fmt.Errorf("%w: %q", ErrUnknownJob, id)
	}
	p.pause(j, on)
	return nil
}

// SetAllPaused does what SetHold does for every job that is known now.
func (p *Placer) SetAllPaused(on bool) {
	for _, t := range p.teams {
		for _, j := range t.jobs {
			p.pause(j, on)
		}
	}
}

func (p *Placer) pause(j *job, on bool) {
	j.paused = on
	if on {
		j.team.dequeue(j)
		p.releaseHolds(j)
	} else {
		j.team.enqueue(j)
	}
	p.released = true
}
