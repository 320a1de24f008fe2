package placer

import "slices"

// SetWorker adds a worker or changes its state or resources.
func (p *Placer) SetWorker(w Worker) {
	p.released = true
	n := p.byID[w.id]
	if n == nil {
		n = &node{serial: int32(p.serial), rack: p.rackNamed(w.rack)}
		p.serial++
		n.rack.nodes = append(n.rack.nodes, n)
		p.nodes = append(p.nodes, n)
		p.byID[w.id] = n
	} else if !n.gone {
		p.total = p.total.Sub(n.worker.total)
	}
	n.gone = false
	n.worker = w
	p.total = p.total.Add(w.total)
	p.widen(w.total)
	if !n.open() {
		p.dropHolds(n)
	}
	if w.state == Draining && !slices.Contains(p.vacating, n) {
		p.vacating = append(p.vacating, n)
	}
	p.reindex(n)
}

// RemoveWorker takes a worker out and returns the tasks on it. They stay on the
// books until Finish is called for each.
func (p *Placer) RemoveWorker(id string) []RunningTask {
	n := p.byID[id]
	if n == nil || n.gone {
		return nil
	}
	n.gone = true
	p.total = p.total.Sub(n.worker.total)
	p.dropHolds(n)
	p.reindex(n)
	var left []RunningTask
	for _, r := range n.tasks {
		left = append(left, r.job.running(r.index))
	}
	p.forget(n)
	return left
}

// Worker returns a worker by its identifier.
func (p *Placer) Worker(id string) (Worker, bool) {
	n := p.byID[id]
	if n == nil || n.gone {
		return Worker{}, false
	}
	w := n.worker
	if n.health.shut && w.state == Live {
		w.state = Quarantined
	}
	return w, true
}

// WorkerUsed returns what the tasks of a worker hold.
func (p *Placer) WorkerUsed(id string) Resources {
	if n := p.byID[id]; n != nil {
		return n.used
	}
	return Resources{}
}

// forget drops a node that is gone and runs nothing.
func (p *Placer) forget(n *node) {
	if !n.gone || len(n.tasks) > 0 || p.byID[n.worker.id] != n {
		return
	}
	if n.health.shut {
		p.failures.shut--
		p.failures.drop(n)
	}
	delete(p.byID, n.worker.id)
	p.nodes = slices.DeleteFunc(p.nodes, func(o *node) bool { return o == n })
	n.rack.nodes = slices.DeleteFunc(n.rack.nodes, func(o *node) bool { return o == n })
}

func (p *Placer) rackNamed(name string) *rack {
	r := p.byRack[name]
	if r == nil {
		r = &rack{name: name, number: int32(len(p.racks))}
		p.byRack[name] = r
		p.racks = append(p.racks, r)
	}
	return r
}

// widen rebuilds the indexes when a worker is larger than all before.
func (p *Placer) widen(total Resources) {
	most := Resources{
		cpu:          max(p.clear.most.cpu, total.cpu),
		memory:       max(p.clear.most.memory, total.memory),
		accelerators: max(p.clear.most.accelerators, total.accelerators),
	}
	if most == p.clear.most {
		return
	}
	for _, n := range p.nodes {
		p.free[n.kind].drop(n)
		p.clear.drop(n)
	}
	p.clear.most = most
	for i := range p.free {
		p.free[i].most = most
	}
	for _, n := range p.nodes {
		p.reindex(n)
	}
}

// reindex brings the indexes up to date after a change of the node.
func (p *Placer) reindex(n *node) {
	if !n.open() {
		p.free[n.kind].drop(n)
		p.clear.drop(n)
		return
	}
	room := n.room()
	if kind := n.kindNow(); kind != n.kind {
		p.free[n.kind].drop(n)
		n.kind = kind
	}
	p.free[n.kind].put(n, room)
	p.full.relax(room)
	p.clear.put(n, room.Add(n.yield))
}

// attach puts a task of a job on a node.
func (p *Placer) attach(n *node, j *job, index int32, now int64) {
	t := &j.tasks[index]
	*t = task{node: n, started: now, phase: running, placed: true, failures: t.failures, avoid: t.avoid}
	n.add(j, index)
	size := j.spec.size
	p.used = p.used.Add(size)
	p.active++
	j.active++
	j.team.active++
	j.team.used = j.team.used.Add(size)
	j.team.share = j.team.used.DominantShare(p.total)
	if j.spec.class == Service {
		j.team.stay += size.cpu
	}
	n.settle()
	p.reindex(n)
}

// detach takes a task off its node; the caller sets its phase.
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
		j.team.stay -= size.cpu
	}
	p.released = true
	n.forgive(j, index)
	n.settle()
	p.reindex(n)
	p.forget(n)
}
