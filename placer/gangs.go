package placer

import (
	"cmp"
	"slices"
)

// maxGangTries limits the gangs that one cycle tries to start.
const maxGangTries = 8

// startGangs tries to start gangs, in order of arrival. A gang that can't start at once
// reserves capacity, so that it waits only for tasks that run already and not for those
// started later. It doesn't reserve capacity that services use, since services don't end.
// Nor does it reserve capacity that is reserved already, since gangs would then wait for
// each other.
func (p *Placer) startGangs(c *cycle) {
	tried := 0
	for _, j := range p.waitingGangs() {
		if tried == maxGangTries || !c.belowLimit() {
			return
		}
		if !p.gangAllowed(j) {
			continue
		}
		tried++
		p.tryGang(c, j)
	}
}

// waitingGangs returns at most one gang of each team: the first that has no reservations and
// no tasks on nodes or in back-off. The oldest gang comes first.
func (p *Placer) waitingGangs() []*job {
	var gangs []*job
	for _, t := range p.teams {
		t.queues[gangLane].Ascend(func(j *job) bool {
			if len(j.reservations) > 0 || j.active > 0 || j.delayed > 0 {
				return true
			}
			gangs = append(gangs, j)
			return false
		})
	}
	slices.SortFunc(gangs, func(a, b *job) int { return cmp.Compare(a.serial, b.serial) })
	return gangs
}

// gangAllowed reports whether the quota of the team allows the gang now. If it doesn't, but
// would if the team ran nothing else, the gang becomes the team's blockingGang, unless
// another one is. Deferred and best-effort tasks of the team wait for the blocking gang.
func (p *Placer) gangAllowed(j *job) bool {
	t := j.team
	need := j.spec.size.cpu * int64(j.pending)
	if t.allows(need) {
		if t.blockingGang == j {
			t.blockingGang = nil
		}
		return true
	}
	if t.blockingGang == nil && need <= t.quota {
		t.blockingGang = j
	}
	return false
}

// tryGang starts the gang if it fits now. Otherwise it reserves capacity for the gang, unless
// too many gangs have reservations already.
func (p *Placer) tryGang(c *cycle, j *job) {
	mayReserve := p.countReservingGangs() < p.settings.maxReservingGangs
	if !mayReserve && p.tasksThatFitNow(j) < int(j.pending) {
		return
	}
	for len(j.reservations) < int(j.pending) {
		n, _ := p.find(j)
		if n == nil {
			break
		}
		p.reserve(j, n, c.now)
	}
	if len(j.reservations) < int(j.pending) && (!mayReserve || !p.reserveGang(c, j)) {
		p.releaseJob(j)
		return
	}
	if j.spec.class == Urgent {
		p.preemptForGang(c, j)
	}
	p.startGang(c, j)
}

// preemptForGang preempts tasks on nodes where the gang's reserved capacity isn't free yet.
func (p *Placer) preemptForGang(c *cycle, j *job) {
	for _, r := range j.reservations {
		if !r.ready {
			p.preemptOnNode(c, r.node, 1, "an urgent gang needs the capacity")
		}
	}
}

// countReservingGangs returns how many gangs have reservations.
func (p *Placer) countReservingGangs() int {
	gangs := 0
	for _, j := range p.reservingJobs {
		if j.spec.gang {
			gangs++
		}
	}
	return gangs
}

// tasksThatFitNow returns how many waiting tasks of a gang fit into free capacity.
func (p *Placer) tasksThatFitNow(j *job) int {
	found := 0
	for _, n := range p.nodes {
		if n.open() && rackAllowed(j.spec, n) {
			found += tasksThatFit(j.spec, n.free(), int(j.pending)-found)
		}
	}
	return found
}

// reserveGang adds reservations until each waiting task of the gang has one or no more
// capacity can be reserved. It reports whether each task has one. Nodes with more processors
// that are free or used by preemptible tasks come first.
func (p *Placer) reserveGang(c *cycle, j *job) bool {
	type candidate struct {
		node        *node
		reclaimable float64 // thousandths of a processor that are free or used by preemptible tasks
	}
	var candidates []candidate
	for _, n := range p.nodes {
		if n.open() && rackAllowed(j.spec, n) && j.spec.size.Fits(n.reservable()) {
			candidates = append(candidates, candidate{n, float64(n.free().Add(n.preemptible).cpu)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.reclaimable, a.reclaimable) })
	for _, cand := range candidates {
		for len(j.reservations) < int(j.pending) && j.spec.size.Fits(cand.node.reservable()) && p.acceptable(j, cand.node) {
			p.reserve(j, cand.node, c.now)
		}
	}
	return len(j.reservations) == int(j.pending)
}

// reservable returns the capacity that can still be reserved: all that isn't reserved or
// used by services. Capacity used by other tasks counts, since it becomes free when these
// end.
func (n *node) reservable() Resources {
	return n.worker.total.Sub(n.serviceUsed).Sub(n.reserved)
}

// markBroken makes the next cycle stop the rest of a gang after one of its tasks returned
// to the queue, so that all start together again.
func (p *Placer) markBroken(j *job) {
	if j.spec.gang && j.active > 0 {
		p.brokenGangs = append(p.brokenGangs, j)
	}
}

// stopBrokenGangs checkpoints the running tasks of gangs that lost a task.
func (p *Placer) stopBrokenGangs(c *cycle) {
	for _, j := range p.brokenGangs {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.phase == running && !j.cancelled {
				p.preempt(c, runRef{j, int32(i)}, Checkpoint, j.spec.tasks, "its gang lost a task")
			}
		}
	}
	p.brokenGangs = p.brokenGangs[:0]
}
