package placer

import (
	"cmp"
	"slices"
)

// reserve adds a reservation on the node for a task of the job.
func (p *Placer) reserve(j *job, n *node, now int64) {
	r := &reservation{job: j, node: n, since: now}
	if len(j.reservations) == 0 {
		p.reservingJobs = append(p.reservingJobs, j)
	}
	j.reservations = append(j.reservations, r)
	j.team.reserved = j.team.reserved.Add(j.spec.size)
	n.reservations = append(n.reservations, r)
	n.reserved = n.reserved.Add(j.spec.size)
	n.updateReady()
	p.reindex(n)
}

// release removes a reservation.
func (p *Placer) release(r *reservation) {
	j, n := r.job, r.node
	j.reservations = slices.DeleteFunc(j.reservations, func(o *reservation) bool { return o == r })
	n.reservations = slices.DeleteFunc(n.reservations, func(o *reservation) bool { return o == r })
	j.team.reserved = j.team.reserved.Sub(j.spec.size)
	n.reserved = n.reserved.Sub(j.spec.size)
	if len(j.reservations) == 0 {
		p.reservingJobs = slices.DeleteFunc(p.reservingJobs, func(o *job) bool { return o == j })
	}
	n.updateReady()
	p.reindex(n)
	p.passNeeded = true
}

// releaseJob removes all reservations of a job.
func (p *Placer) releaseJob(j *job) {
	for len(j.reservations) > 0 {
		p.release(j.reservations[len(j.reservations)-1])
	}
}

// releaseNode removes all reservations on a node.
func (p *Placer) releaseNode(n *node) {
	for len(n.reservations) > 0 {
		p.release(n.reservations[len(n.reservations)-1])
	}
}

// startReserved starts tasks whose reserved capacity is free, those of a gang only
// together. It removes reservations that are no longer needed, and all those of a job whose
// team exceeds its quota with used and reserved processors.
func (p *Placer) startReserved(c *cycle) {
	for _, j := range slices.Clone(p.reservingJobs) {
		if !j.team.allows(0) {
			p.releaseJob(j)
			continue
		}
		for len(j.reservations) > int(j.pending) {
			p.release(j.reservations[len(j.reservations)-1])
		}
		if j.spec.gang {
			p.startGang(c, j)
			continue
		}
		for _, r := range slices.Clone(j.reservations) {
			if r.ready && c.belowLimit() {
				p.startAt(c, r, "its reserved capacity is free")
			}
		}
	}
}

// startGang starts all tasks of a gang if the reserved capacity of all is free.
func (p *Placer) startGang(c *cycle, j *job) {
	if j.delayed > 0 {
		return
	}
	if len(j.reservations) < int(j.pending) {
		// A worker with a reservation of the gang is gone or takes no more tasks. The gang
		// needs reservations for all its tasks again.
		p.releaseJob(j)
		return
	}
	for _, r := range j.reservations {
		if !r.ready {
			return
		}
	}
	for len(j.reservations) > 0 {
		p.startAt(c, j.reservations[0], "the whole gang fits")
	}
}

// startAt starts a task on the node of its reservation.
func (p *Placer) startAt(c *cycle, r *reservation, reason string) {
	j, n := r.job, r.node
	p.release(r)
	p.start(c, j, n, 1, reason)
}

// reserveUrgent reserves capacity for an urgent task on a node and preempts tasks there.
// It takes the node on which the least capacity stays free, with capacity used by
// preemptible tasks counted as free.
func (p *Placer) reserveUrgent(c *cycle, j *job) {
	if len(j.reservations) >= int(j.pending) {
		return
	}
	size := j.spec.size
	n, examined := p.byReclaimable.bestFit(size, func(n *node) bool {
		return rackAllowed(j.spec, n) && size.Fits(n.free().Add(n.preemptible)) && p.acceptable(j, n)
	})
	if n == nil {
		return
	}
	p.reserve(j, n, c.now)
	p.preemptOnNode(c, n, examined, "an urgent task needs the capacity")
}

// preemptOnNode preempts as many tasks of a node as must end for its reservations to fit.
// Tasks of a lower class go first, and the newest first within a class.
func (p *Placer) preemptOnNode(c *cycle, n *node, examined int, reason string) {
	shortage := n.used.Add(n.reserved).Add(n.excess).Sub(n.worker.total)
	victims := make([]runRef, 0, len(n.tasks))
	for _, v := range n.tasks {
		if n.taskOf(v).phase == ending {
			shortage = shortage.Sub(v.job.spec.size)
		} else if v.job.preemptible() {
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(a, b runRef) int {
		return cmp.Or(
			cmp.Compare(b.job.spec.class, a.job.spec.class),
			cmp.Compare(n.taskOf(b).started, n.taskOf(a).started),
			cmp.Compare(b.job.serial, a.job.serial),
			cmp.Compare(b.index, a.index),
		)
	})
	for _, v := range victims {
		if shortage.Fits(Resources{}) {
			return
		}
		if !reduces(v.job.spec.size, shortage) {
			continue
		}
		shortage = shortage.Sub(v.job.spec.size)
		p.preempt(c, v, Checkpoint, examined, reason)
	}
}

// reduces reports whether freeing the size of a task reduces a shortage.
func reduces(size, shortage Resources) bool {
	return shortage.cpu > 0 && size.cpu > 0 || shortage.memory > 0 && size.memory > 0 || shortage.accelerators > 0 && size.accelerators > 0
}

// preempt orders a task to checkpoint, throttle or stop, and marks it as ending.
func (p *Placer) preempt(c *cycle, v runRef, kind Kind, examined int, reason string) {
	t := &v.job.tasks[v.index]
	if t.phase != ending {
		p.preemptions = append(p.preemptions, v)
	}
	t.phase, t.lastOrder, t.updatedAt = ending, kind, c.now
	c.add(Decision{kind: kind, task: NewTaskID(v.job.spec.id, int(v.index)), worker: t.node.worker.id, examined: examined, reason: reason})
}

// escalatePreemptions throttles tasks that haven't ended within the grace time after a
// Checkpoint, and stops them after another grace time.
func (p *Placer) escalatePreemptions(c *cycle) {
	kept := p.preemptions[:0]
	for _, v := range p.preemptions {
		t := &v.job.tasks[v.index]
		if t.node == nil || t.phase != ending {
			continue
		}
		kept = append(kept, v)
		if c.now-t.updatedAt < int64(p.settings.grace) || t.lastOrder == Stop {
			continue
		}
		stricter := Throttle
		if t.lastOrder == Throttle {
			stricter = Stop
		}
		p.preempt(c, v, stricter, 1, "it hasn't ended within the grace time")
	}
	clear(p.preemptions[len(kept):])
	p.preemptions = kept
}

// preemptForWaitingGangs preempts tasks on nodes where a gang's reserved capacity hasn't
// become free within gangPreemptAfter.
func (p *Placer) preemptForWaitingGangs(c *cycle) {
	for _, j := range p.reservingJobs {
		if !j.spec.gang {
			continue
		}
		for _, r := range j.reservations {
			if !r.ready && c.now-r.since >= int64(p.settings.gangPreemptAfter) {
				p.preemptOnNode(c, r.node, 1, "a gang has waited long for the capacity")
			}
		}
	}
}
