package placer

import (
	"cmp"
	"slices"
)

// maxGangTries limits the gangs that one cycle tries to start.
const maxGangTries = 8

// startGangs tries gangs in order of arrival. A gang that can't start at once reserves
// capacity, so that it waits only for tasks that run already and not for those started
// later. Capacity is reserved only where it becomes free when tasks end, and only once, so
// that gangs don't wait for each other.
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

// waitingGangs returns the first gang of each team without reservations and with all tasks
// in the queue, the oldest first.
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

// gangAllowed reports whether the quota of the team allows the gang now. If it would allow
// the gang alone, deferred and best-effort tasks of the team wait until the gang fits.
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
// too many gangs have reservations.
func (p *Placer) tryGang(c *cycle, j *job) {
	mayWait := p.reservingGangs() < p.settings.maxReservingGangs
	if !mayWait && p.tasksThatFitNow(j) < int(j.pending) {
		return
	}
	for len(j.reservations) < int(j.pending) {
		n, _ := p.find(j)
		if n == nil {
			break
		}
		p.reserve(j, n, c.now)
	}
	if len(j.reservations) < int(j.pending) && (!mayWait || !p.reserveGang(c, j)) {
		p.releaseJob(j)
		return
	}
	if j.spec.class == Urgent {
		p.preemptForGang(c, j)
	}
	p.startGang(c, j)
}

// preemptForGang preempts tasks where reservations of the gang wait for capacity.
func (p *Placer) preemptForGang(c *cycle, j *job) {
	for _, r := range j.reservations {
		if !r.ready {
			p.preemptOnNode(c, r.node, 1, "an urgent gang needs the capacity")
		}
	}
}

// reservingGangs returns how many gangs have reservations.
func (p *Placer) reservingGangs() int {
	gangs := 0
	for _, j := range p.reserving {
		if j.spec.gang {
			gangs++
		}
	}
	return gangs
}

// tasksThatFitNow returns how many tasks of a gang fit into free capacity.
func (p *Placer) tasksThatFitNow(j *job) int {
	found := 0
	for _, n := range p.nodes {
		if n.open() && allowed(j.spec, n) {
			found += tasksThatFit(j.spec, n.free(), int(j.pending)-found)
		}
	}
	return found
}

// reserveGang reserves capacity for the tasks of the gang that have none, where it becomes
// free when tasks end, and first where preemption would free the most processors. It
// reports whether there is enough for all.
func (p *Placer) reserveGang(c *cycle, j *job) bool {
	type candidate struct {
		node  *node
		clear float64 // processors that are free after preemption, in thousandths
	}
	var candidates []candidate
	for _, n := range p.nodes {
		if n.open() && allowed(j.spec, n) && j.spec.size.Fits(n.reservable()) {
			candidates = append(candidates, candidate{n, float64(n.free().Add(n.preemptible).cpu)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.clear, a.clear) })
	for _, cand := range candidates {
		for len(j.reservations) < int(j.pending) && j.spec.size.Fits(cand.node.reservable()) && p.admits(j, cand.node) {
			p.reserve(j, cand.node, c.now)
		}
	}
	return len(j.reservations) == int(j.pending)
}

// reservable returns the capacity for further reservations, once all tasks except those of
// services have ended.
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

// stopBrokenGangs stops the running tasks of gangs that lost a task.
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
