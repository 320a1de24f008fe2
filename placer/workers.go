package placer

import "slices"

// SetWorker adds a worker, or updates the state and resources of a known one.
func (p *Placer) SetWorker(w Worker) {
	p.passNeeded = true
	n := p.byID[w.id]
	if n == nil {
		n = &node{serial: int32(p.serial), rack: p.rackFor(w.rack)}
		p.serial++
		n.rack.nodes = append(n.rack.nodes, n)
		p.nodes = append(p.nodes, n)
		p.byID[w.id] = n
	} else if !n.removed {
		p.total = p.total.Sub(n.worker.total)
	}
	n.removed = false
	n.worker = w
	p.total = p.total.Add(w.total)
	p.growIndexes(w.total)
	if !n.open() {
		p.releaseNode(n)
	}
	if w.state == Draining && !slices.Contains(p.drainingNodes, n) {
		p.drainingNodes = append(p.drainingNodes, n)
	}
	p.reindex(n)
}

// RemoveWorker removes a worker and returns the tasks on it. The resources of each task stay
// allocated until Finish is called for it.
func (p *Placer) RemoveWorker(id string) []RunningTask {
	n := p.byID[id]
	if n == nil || n.removed {
		return nil
	}
	n.removed = true
	p.total = p.total.Sub(n.worker.total)
	p.releaseNode(n)
	p.reindex(n)
	var remaining []RunningTask
	for _, r := range n.tasks {
		remaining = append(remaining, r.job.runningTask(r.index))
	}
	p.forgetIfEmpty(n)
	return remaining
}

// Worker returns the worker with that identifier. The state of a live worker in quarantine
// is Quarantined.
func (p *Placer) Worker(id string) (Worker, bool) {
	n := p.byID[id]
	if n == nil || n.removed {
		return Worker{}, false
	}
	w := n.worker
	if n.health.quarantined && w.state == Live {
		w.state = Quarantined
	}
	return w, true
}

// WorkerUsed returns the resources allocated to the tasks of a worker.
func (p *Placer) WorkerUsed(id string) Resources {
	if n := p.byID[id]; n != nil {
		return n.used
	}
	return Resources{}
}

// forgetIfEmpty drops a removed node from all tables once no task is on it.
func (p *Placer) forgetIfEmpty(n *node) {
	if !n.removed || len(n.tasks) > 0 || p.byID[n.worker.id] != n {
		return
	}
	if n.health.quarantined {
		p.health.quarantinedCount--
		p.health.remove(n)
	}
	delete(p.byID, n.worker.id)
	p.nodes = slices.DeleteFunc(p.nodes, func(o *node) bool { return o == n })
	n.rack.nodes = slices.DeleteFunc(n.rack.nodes, func(o *node) bool { return o == n })
}

// rackFor returns the rack with that name and adds it if it is unknown.
func (p *Placer) rackFor(name string) *rack {
	r := p.byRack[name]
	if r == nil {
		r = &rack{name: name, number: int32(len(p.racks))}
		p.byRack[name] = r
		p.racks = append(p.racks, r)
	}
	return r
}

// growIndexes rebuilds the indexes if total, that of a worker, has more processors, memory
// or accelerators than any earlier one.
func (p *Placer) growIndexes(total Resources) {
	largest := Resources{
		cpu:          max(p.byReclaimable.maxTotal.cpu, total.cpu),
		memory:       max(p.byReclaimable.maxTotal.memory, total.memory),
		accelerators: max(p.byReclaimable.maxTotal.accelerators, total.accelerators),
	}
	if largest == p.byReclaimable.maxTotal {
		return
	}
	for _, n := range p.nodes {
		p.byFree[n.group].remove(n)
		p.byReclaimable.remove(n)
	}
	p.byReclaimable.maxTotal = largest
	for i := range p.byFree {
		p.byFree[i].maxTotal = largest
	}
	for _, n := range p.nodes {
		p.reindex(n)
	}
}

// reindex updates the indexes and noFit after a change of the node.
func (p *Placer) reindex(n *node) {
	if !n.open() {
		p.byFree[n.group].remove(n)
		p.byReclaimable.remove(n)
		return
	}
	free := n.free()
	if group := n.currentGroup(); group != n.group {
		p.byFree[n.group].remove(n)
		n.group = group
	}
	p.byFree[n.group].put(n, free)
	p.noFit.prune(free)
	p.byReclaimable.put(n, free.Add(n.preemptible))
}

// attach puts a task of a job on a node and allocates its resources.
func (p *Placer) attach(n *node, j *job, index int32, now int64) {
	t := &j.tasks[index]
	*t = task{node: n, started: now, phase: running, placed: true, failures: t.failures, avoidNode: t.avoidNode}
	n.add(j, index)
	size := j.spec.size
	p.used = p.used.Add(size)
	p.active++
	j.active++
	j.team.active++
	j.team.used = j.team.used.Add(size)
	j.team.share = j.team.used.DominantShare(p.total)
	if j.spec.class == Service {
		j.team.serviceCPU += size.cpu
	}
	n.updateReady()
	p.reindex(n)
}

// detach takes a task off its node and frees its resources. The caller sets the phase of
// the task.
func (p *Placer) detach(j *job, index int32) {
	t := &j.tasks[index]
	n := t.node
	n.remove(j, index)
	t.node = nil
	size := j.spec.size
	p.used = p.used.Sub(size)
	p.active--
	j.active--
	j.team.active--
	j.team.used = j.team.used.Sub(size)
	j.team.share = j.team.used.DominantShare(p.total)
	if j.spec.class == Service {
		j.team.serviceCPU -= size.cpu
	}
	p.passNeeded = true
	n.clearOveruse(j, index)
	n.updateReady()
	p.reindex(n)
	p.forgetIfEmpty(n)
}
