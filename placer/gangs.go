package placer

import (
	"cmp"
	"slices"
)

// maxGangTries bounds the gangs that one pass tries to start.
const maxGangTries = 8

// startGangs serves gangs in order of arrival. A gang that can't start at once
// sets room aside, so that tasks behind it can only delay it by what they
// already hold. Room is set aside only where it will be free, so that gangs
// don't wait for each other.
func (p *Placer) startGangs(r *round) {
	tried := 0
	for _, j := range p.waitingGangs() {
		if tried == maxGangTries || !r.left() {
			return
		}
		if !p.gangAllowed(j) {
			continue
		}
		tried++
		p.tryGang(r, j)
	}
}

// waitingGangs returns the first gang of each team that has no holds, oldest
// first.
func (p *Placer) waitingGangs() []*job {
	var gangs []*job
	for _, t := range p.teams {
		t.queues[gangLane].Ascend(func(j *job) bool {
			if len(j.holds) > 0 || j.active > 0 || j.delayed > 0 {
				return true
			}
			gangs = append(gangs, j)
			return false
		})
	}
	slices.SortFunc(gangs, func(a, b *job) int { return cmp.Compare(a.serial, b.serial) })
	return gangs
}

// gangAllowed reports whether the allotment has room for the gang. When it
// lacks room, other tasks of the team wait until it has.
func (p *Placer) gangAllowed(j *job) bool {
	t := j.team
	need := j.spec.size.cpu * int64(j.pending)
	if t.allows(need) {
		if t.gang == j {
			t.gang = nil
		}
		return true
	}
	if t.gang == nil && need <= t.allotment {
		t.gang = j
	}
	return false
}

func (p *Placer) tryGang(r *round, j *job) {
	may := p.gangsHolding() < p.settings.gangs
	if !may && p.roomFor(j) < int(j.pending) {
		return
	}
	for len(j.holds) < int(j.pending) {
		n, _ := p.find(j)
		if n == nil {
			break
		}
		p.setHold(j, n, r.now)
	}
	if len(j.holds) < int(j.pending) && (!may || !p.reserve(r, j)) {
		p.releaseHolds(j)
		return
	}
	if j.spec.class == Urgent {
		p.evictFor(r, j)
	}
	p.startGang(r, j)
}

// evictFor makes tasks yield wherever holds of the job wait.
func (p *Placer) evictFor(r *round, j *job) {
	for _, h := range j.holds {
		if !h.ready {
			p.evict(r, h.node, 1, "an urgent gang needs the room")
		}
	}
}

func (p *Placer) gangsHolding() int {
	n := 0
	for _, j := range p.holding {
		if j.spec.gang {
			n++
		}
	}
	return n
}

// roomFor counts the tasks of a gang that fit now.
func (p *Placer) roomFor(j *job) int {
	found := 0
	for _, n := range p.nodes {
		if n.open() && allowed(j.spec, n) {
			found += fill(j.spec, n.room(), int(j.pending)-found)
		}
	}
	return found
}

// reserve sets room aside for the rest of the gang where it will be free,
// first where the most would be free after preemption. It reports whether
// there is such room for all.
func (p *Placer) reserve(r *round, j *job) bool {
	type place struct {
		node  *node
		clear float64
	}
	var places []place
	for _, n := range p.nodes {
		if n.open() && allowed(j.spec, n) && j.spec.size.Fits(n.lasting()) {
			places = append(places, place{n, float64(n.room().Add(n.yield).cpu)})
		}
	}
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(b.clear, a.clear) })
	for _, pl := range places {
		for len(j.holds) < int(j.pending) && j.spec.size.Fits(pl.node.lasting()) && p.admits(j, pl.node) {
			p.setHold(j, pl.node, r.now)
		}
	}
	return len(j.holds) == int(j.pending)
}

// lasting returns what a node has for holds once all tasks that end by
// themselves have ended.
func (n *node) lasting() Resources {
	return n.worker.total.Sub(n.stay).Sub(n.held)
}

// breakUp makes the rest of a gang end after one of its tasks went back to the
// queue, so that all start together again.
func (p *Placer) breakUp(j *job) {
	if j.spec.gang && j.active > 0 {
		p.broken = append(p.broken, j)
	}
}

// endBroken stops what is left of gangs that lost a task.
func (p *Placer) endBroken(r *round) {
	for _, j := range p.broken {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.phase == running && !j.cancelled {
				p.press(r, runRef{j, int32(i)}, Checkpoint, j.spec.tasks, "its gang lost a task")
			}
		}
	}
	p.broken = p.broken[:0]
}
