package placer

// maxRacks limits the racks searched for a task that is spread or near another job.
const maxRacks = 32

// find returns the node for the next task of a job, or nil when there is none, and how
// many nodes it examined.
func (p *Placer) find(j *job) (*node, int) {
	c := j.spec.constraints
	if p.noFit.covers(j.spec.size) {
		return nil, 0
	}
	if c.rack != "" {
		return p.findInRack(j, p.byRack[c.rack])
	}
	examined := 0
	if c.near != "" {
		n, more := p.findNear(j, c.near)
		if n != nil {
			return n, more
		}
		examined += more
	}
	if c.spread || j.spec.class == Service {
		n, more := p.findSpread(j)
		if n != nil {
			return n, examined + more
		}
		examined += more
	}
	n, more := p.findBestFit(j)
	if n == nil && !c.antiAffinity && len(j.requeued) == 0 {
		p.noFit.add(j.spec.size)
	}
	return n, examined + more
}

// findBestFit returns the node that is left with the least free capacity, from the first
// group with a node that fits. The order of the groups keeps empty nodes and accelerators
// free for other tasks.
func (p *Placer) findBestFit(j *job) (*node, int) {
	examined := 0
	first := usedPlain
	if j.spec.size.accelerators > 0 {
		first = usedAccelerated
	}
	for group := first; group < nodeGroups; group++ {
		n, more := p.byFree[group].bestFit(j.spec.size, func(n *node) bool { return p.fits(j, n) })
		examined += more
		if n != nil {
			return n, examined
		}
	}
	return nil, examined
}

// fits reports whether the next task of the job can start on the node now.
func (p *Placer) fits(j *job, n *node) bool {
	return j.spec.size.Fits(n.free()) && p.admits(j, n)
}

// admits reports whether the next task of the job may run on the node. It must keep the
// anti-affinity and, unless there is no other node, avoid the node of its last failure.
func (p *Placer) admits(j *job, n *node) bool {
	if j.spec.constraints.antiAffinity && (n.runs(j) || n.hasReservation(j)) {
		return false
	}
	return len(j.requeued) == 0 || len(p.nodes) == 1 || j.tasks[j.requeued[len(j.requeued)-1]].avoid != n.serial+1
}

// hasReservation reports whether the node has a reservation for the job.
func (n *node) hasReservation(j *job) bool {
	for _, r := range n.reservations {
		if r.job == j {
			return true
		}
	}
	return false
}

// findInRack returns the preferred node of a rack for the next task of a job.
func (p *Placer) findInRack(j *job, r *rack) (*node, int) {
	if r == nil {
		return nil, 0
	}
	var best *node
	for _, n := range r.nodes {
		if !n.open() || !p.fits(j, n) {
			continue
		}
		if best == nil || p.preferred(j, n, best) {
			best = n
		}
	}
	return best, len(r.nodes)
}

// preferred reports whether n is better than best for a task of the job. For spread tasks
// this is a node without a task of the job, then the one with more free processors, and
// for others the one with fewer.
func (p *Placer) preferred(j *job, n, best *node) bool {
	if j.spec.constraints.spread || j.spec.class == Service {
		if a, b := n.runs(j), best.runs(j); a != b {
			return b
		}
		return n.free().cpu > best.free().cpu
	}
	return n.free().cpu < best.free().cpu
}

// findSpread returns a node for a spread task, taking the racks in turn.
func (p *Placer) findSpread(j *job) (*node, int) {
	examined := 0
	racks := int32(len(p.racks))
	for i := range min(racks, maxRacks) {
		next := (j.nextRack + i) % racks
		n, more := p.findInRack(j, p.racks[next])
		examined += more
		if n != nil {
			j.nextRack = (next + 1) % racks
			return n, examined
		}
	}
	return nil, examined
}

// findNear returns a node in a rack that runs a task of another job.
func (p *Placer) findNear(j *job, id string) (*node, int) {
	other := p.jobs[id]
	if other == nil {
		return nil, 0
	}
	examined, racks := 0, 0
	var last *rack
	for i := range other.tasks {
		near := other.tasks[i].node
		if near == nil || near.rack == last {
			continue
		}
		last = near.rack
		n, more := p.findInRack(j, last)
		examined += more
		racks++
		if n != nil || racks == maxRacks {
			return n, examined
		}
	}
	return nil, examined
}
