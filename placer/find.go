package placer

// maxRacks bounds the racks looked at for a task that is spread.
const maxRacks = 32

// find returns the worker for the next task of a job, nil when there is none,
// and how many it looked at.
func (p *Placer) find(j *job) (*node, int) {
	c := j.spec.constraints
	if p.full.rules(j.spec.size) {
		return nil, 0
	}
	if c.rack != "" {
		return p.findInRack(j, p.byRack[c.rack])
	}
	seen := 0
	if c.near != "" {
		n, tried := p.findNear(j, c.near)
		if n != nil {
			return n, tried
		}
		seen += tried
	}
	if c.spread || j.spec.class == Service {
		n, tried := p.findSpread(j)
		if n != nil {
			return n, seen + tried
		}
		seen += tried
	}
	n, tried := p.findTight(j)
	if n == nil && !c.apart && len(j.again) == 0 {
		p.full.add(j.spec.size)
	}
	return n, seen + tried
}

// findTight leaves the least rest, and empty workers and accelerators alone
// while others have room.
func (p *Placer) findTight(j *job) (*node, int) {
	seen := 0
	first := usedPlain
	if j.spec.size.accelerators > 0 {
		first = usedAccelerated
	}
	for kind := first; kind < kinds; kind++ {
		n, tried := p.free[kind].tightest(j.spec.size, func(n *node) bool { return p.fits(j, n) })
		seen += tried
		if n != nil {
			return n, seen
		}
	}
	return nil, seen
}

// fits reports whether the next task of the job may start on the node now.
func (p *Placer) fits(j *job, n *node) bool {
	return j.spec.size.Fits(n.room()) && p.admits(j, n)
}

// admits reports whether constraints and the last failure of the next task
// admit the node.
func (p *Placer) admits(j *job, n *node) bool {
	if j.spec.constraints.apart && (n.runs(j) || n.holdsFor(j)) {
		return false
	}
	return len(j.again) == 0 || len(p.nodes) == 1 || j.tasks[j.again[len(j.again)-1]].avoid != n.serial+1
}

func (n *node) holdsFor(j *job) bool {
	for _, h := range n.holds {
		if h.job == j {
			return true
		}
	}
	return false
}

func (p *Placer) findInRack(j *job, in *rack) (*node, int) {
	if in == nil {
		return nil, 0
	}
	var best *node
	for _, n := range in.nodes {
		if !n.open() || !p.fits(j, n) {
			continue
		}
		if best == nil || p.preferred(j, n, best) {
			best = n
		}
	}
	return best, len(in.nodes)
}

// preferred reports whether n is better than best for a task of the job: for a
// spread one without a task of the job and with more room, else with less room.
func (p *Placer) preferred(j *job, n, best *node) bool {
	if j.spec.constraints.spread || j.spec.class == Service {
		if a, b := n.runs(j), best.runs(j); a != b {
			return b
		}
		return n.room().cpu > best.room().cpu
	}
	return n.room().cpu < best.room().cpu
}

// findSpread takes racks in turn.
func (p *Placer) findSpread(j *job) (*node, int) {
	seen := 0
	racks := int32(len(p.racks))
	for i := range min(racks, maxRacks) {
		at := (j.cursor + i) % racks
		n, tried := p.findInRack(j, p.racks[at])
		seen += tried
		if n != nil {
			j.cursor = (at + 1) % racks
			return n, seen
		}
	}
	return nil, seen
}

// findNear looks in the racks that run tasks of another job.
func (p *Placer) findNear(j *job, id string) (*node, int) {
	other := p.jobs[id]
	if other == nil {
		return nil, 0
	}
	seen, racks := 0, 0
	var last *rack
	for i := range other.tasks {
		on := other.tasks[i].node
		if on == nil || on.rack == last {
			continue
		}
		last = on.rack
		n, tried := p.findInRack(j, last)
		seen += tried
		racks++
		if n != nil || racks == maxRacks {
			return n, seen
		}
	}
	return nil, seen
}
