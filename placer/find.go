package placer

// maxRacks limits the racks that findSpread and findNear search for one task.
const maxRacks = 32

// find returns a node on which the next task of the job fits, or nil when there is none,
// and how many nodes it examined. It tries the preferred racks first.
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

// findBestFit takes the first group of nodes in which the task fits somewhere, and returns
// the node there on which the least capacity stays free. The order of the groups keeps
// empty nodes and accelerators free for other tasks.
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
	return j.spec.size.Fits(n.free()) && p.acceptable(j, n)
}

// acceptable reports whether the next task of the job may run on the node, resources and
// rack aside. A node that would break the anti-affinity is not acceptable. Nor is the node
// where the task failed last, unless it is the only one.
func (p *Placer) acceptable(j *job, n *node) bool {
	if j.spec.constraints.antiAffinity && (n.runs(j) || n.hasReservation(j)) {
		return false
	}
	return len(j.requeued) == 0 || len(p.nodes) == 1 || j.tasks[j.requeued[len(j.requeued)-1]].avoidNode != n.serial+1
}

// hasReservation reports whether the node has a reservation for a task of the job.
func (n *node) hasReservation(j *job) bool {
	for _, r := range n.reservations {
		if r.job == j {
			return true
		}
	}
	return false
}

// findInRack returns the preferred node of a rack for the next task of a job, or nil, and
// how many nodes it examined. It accepts a nil rack.
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

// preferred reports whether n is better than best for a task of the job. A task of a service
// or of a job with spread prefers a node without a task of its job, and then the node with
// more free processors. Other tasks prefer the node with fewer free processors.
func (p *Placer) preferred(j *job, n, best *node) bool {
	if j.spec.constraints.spread || j.spec.class == Service {
		if a, b := n.runs(j), best.runs(j); a != b {
			return b
		}
		return n.free().cpu > best.free().cpu
	}
	return n.free().cpu < best.free().cpu
}

// findSpread returns a node for the next task of a service or of a job with spread, or nil,
// and how many nodes it examined. Successive calls for a job take the racks in turn.
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

// findNear returns a node in a rack in which the job with that identifier runs a task, or
// nil, and how many nodes it examined.
func (p *Placer) findNear(j *job, id string) (*node, int) {
	other := p.jobs[id]
	if other == nil {
		return nil, 0
	}
	examined, racks := 0, 0
	var searched *rack
	for i := range other.tasks {
		near := other.tasks[i].node
		if near == nil || near.rack == searched {
			continue
		}
		searched = near.rack
		n, more := p.findInRack(j, searched)
		examined += more
		racks++
		if n != nil || racks == maxRacks {
			return n, examined
		}
	}
	return nil, examined
}
