package placer

import (
	"fmt"
	"time"
)

// Submit adds a job to the queue of its team. It returns ErrInvalidJob, ErrDuplicateJob,
// ErrNeverFits or ErrQueueFull.
func (p *Placer) Submit(spec JobSpec) error {
	if p.jobs[spec.id] != nil {
		return fmt.Errorf("%w: %q", ErrDuplicateJob, spec.id)
	}
	if err := p.Feasible(spec); err != nil {
		return err
	}
	t := p.teamFor(spec.team)
	if t.pending+spec.tasks > p.settings.queueLimit {
		return fmt.Errorf("%w: %d of %d tasks wait, job %q has %d", ErrQueueFull, t.pending, p.settings.queueLimit, spec.id, spec.tasks)
	}
	p.insert(spec, t)
	return nil
}

// RestoreJob adds a job that was accepted before. Unlike Submit it doesn't check whether the
// job fits and the queue has space. It returns ErrInvalidJob or ErrDuplicateJob.
func (p *Placer) RestoreJob(spec JobSpec) error {
	if p.jobs[spec.id] != nil {
		return fmt.Errorf("%w: %q", ErrDuplicateJob, spec.id)
	}
	if err := validate(spec); err != nil {
		return err
	}
	p.insert(spec, p.teamFor(spec.team))
	return nil
}

func (p *Placer) insert(spec JobSpec, t *team) {
	p.serial++
	j := &job{spec: spec, team: t, serial: p.serial, pending: int32(spec.tasks)}
	j.lane = j.initialLane()
	j.learnedRunTime = p.settings.learnedRunTime(spec)
	j.latestStart = p.latestStart(spec)
	j.estimatedAt = nanos(spec.submitted)
	p.jobs[spec.id] = j
	t.addJob(j)
	p.addPending(j, spec.tasks)
	t.arrivedWork += j.work(j.pending)
	t.enqueue(j)
	p.passNeeded = true
}

// latestStart returns the key that orders a job in its first lane. In the deferred lane
// this is the latest start that meets the deadline, or the constant never without a
// deadline. In other lanes it is 0 for all jobs, which leaves them in order of arrival.
func (p *Placer) latestStart(spec JobSpec) int64 {
	if spec.class != Deferred || spec.gang {
		return 0
	}
	if spec.deadline.IsZero() {
		return never
	}
	return nanos(spec.deadline.Add(-p.expectedRunTime(spec)))
}

func (p *Placer) expectedRunTime(spec JobSpec) time.Duration { return p.settings.expectedRunTime(spec) }

// addPending updates the totals of the placer and the team for a number of tasks of the job
// that now wait. The number is negative for tasks that no longer wait.
func (p *Placer) addPending(j *job, tasks int) {
	p.pending += tasks
	j.team.pending += tasks
	j.team.backlog = max(j.team.backlog+j.work(int32(tasks)), 0)
	j.team.demand = j.team.demand.Add(j.spec.size.Scale(int64(tasks)))
}

// Feasible returns nil when the job could run if the fleet ran nothing else, and otherwise
// ErrInvalidJob or ErrNeverFits with the reason. The quota is not considered, since it
// follows demand.
func (p *Placer) Feasible(spec JobSpec) error {
	if err := validate(spec); err != nil {
		return err
	}
	needed := 1
	if spec.gang {
		needed = spec.tasks
	}
	if found := p.tasksWhenEmpty(spec, needed); found < needed {
		return fmt.Errorf("%w: %d tasks of %v at once, empty workers hold %d", ErrNeverFits, needed, spec.size, found)
	}
	return nil
}

// feasibleWithinQuota is like Feasible, but also checks the team's current quota.
func (p *Placer) feasibleWithinQuota(spec JobSpec) error {
	need := spec.size.cpu
	if spec.gang {
		need *= int64(spec.tasks)
	}
	if t := p.byTeam[spec.team]; t != nil && t.quota >= 0 && need > t.quota {
		return fmt.Errorf("%w: needs %dm processors together, limit of team %q here is %dm", ErrNeverFits, need, spec.team, t.quota)
	}
	return p.Feasible(spec)
}

func validate(spec JobSpec) error {
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

// tasksWhenEmpty returns how many tasks of the job, up to a limit, would fit on the workers
// if these were empty. Draining workers don't count.
func (p *Placer) tasksWhenEmpty(spec JobSpec, limit int) int {
	found := 0
	for _, n := range p.nodes {
		if n.removed || n.worker.state == Draining || !rackAllowed(spec, n) {
			continue
		}
		found += tasksThatFit(spec, n.worker.total, limit-found)
		if found >= limit {
			return limit
		}
	}
	return found
}

// tasksThatFit returns how many tasks of the job, up to a limit, fit into an amount of
// resources on one worker.
func tasksThatFit(spec JobSpec, amount Resources, limit int) int {
	if spec.constraints.antiAffinity {
		limit = min(limit, 1)
	}
	n := int64(limit)
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

// rackAllowed reports whether the job may run in the node's rack.
func rackAllowed(spec JobSpec, n *node) bool {
	return spec.constraints.rack == "" || spec.constraints.rack == n.worker.rack
}

// Cancel drops the waiting tasks of a job and returns its tasks on workers. The caller
// stops these and calls Finish for each.
func (p *Placer) Cancel(id string) []RunningTask {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	p.withdraw(j)
	var remaining []RunningTask
	for i := range j.tasks {
		if j.tasks[i].node != nil {
			j.tasks[i].phase = ending
			remaining = append(remaining, j.runningTask(int32(i)))
		}
	}
	p.removeIfDone(j)
	return remaining
}

// withdraw cancels a job: its waiting tasks leave the queue for good.
func (p *Placer) withdraw(j *job) {
	j.team.dequeue(j)
	j.cancelled = true
	p.addPending(j, -int(j.pending+j.delayed))
	j.pending, j.delayed = 0, 0
	p.releaseJob(j)
	if j.team.blockingGang == j {
		j.team.blockingGang = nil
	}
	p.passNeeded = true
}

// removeIfDone removes the job if no task of it waits or runs, and reports whether that is
// so.
func (p *Placer) removeIfDone(j *job) bool {
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

// SetPaused keeps the waiting tasks of a job from starting, or lets them start again. It
// returns ErrUnknownJob.
func (p *Placer) SetPaused(id string, paused bool) error {
	j := p.jobs[id]
	if j == nil {
		return fmt.Errorf("%w: %q", ErrUnknownJob, id)
	}
	p.setPaused(j, paused)
	return nil
}

// SetAllPaused calls SetPaused for every job. Jobs that are added later are not paused.
func (p *Placer) SetAllPaused(paused bool) {
	for _, t := range p.teams {
		for _, j := range t.jobs {
			p.setPaused(j, paused)
		}
	}
}

func (p *Placer) setPaused(j *job, paused bool) {
	j.paused = paused
	if paused {
		j.team.dequeue(j)
		p.releaseJob(j)
	} else {
		j.team.enqueue(j)
	}
	p.passNeeded = true
}
