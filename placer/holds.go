package placer

import (
	"cmp"
	"slices"
)

// setHold sets room on the node aside for a task of the job.
func (p *Placer) setHold(j *job, n *node, now int64) {
	h := &hold{job: j, node: n, since: now}
	if len(j.holds) == 0 {
		p.holding = append(p.holding, j)
	}
	j.holds = append(j.holds, h)
	j.team.held = j.team.held.Add(j.spec.size)
	n.holds = append(n.holds, h)
	n.held = n.held.Add(j.spec.size)
	n.settle()
	p.reindex(n)
}

// freeHold gives the room of a hold back.
func (p *Placer) freeHold(h *hold) {
	j, n := h.job, h.node
	j.holds = slices.DeleteFunc(j.holds, func(o *hold) bool { return o == h })
	n.holds = slices.DeleteFunc(n.holds, func(o *hold) bool { return o == h })
	j.team.held = j.team.held.Sub(j.spec.size)
	n.held = n.held.Sub(j.spec.size)
	if len(j.holds) == 0 {
		p.holding = slices.DeleteFunc(p.holding, func(o *job) bool { return o == j })
	}
	n.settle()
	p.reindex(n)
	p.released = true
}

func (p *Placer) releaseHolds(j *job) {
	for len(j.holds) > 0 {
		p.freeHold(j.holds[len(j.holds)-1])
	}
}

func (p *Placer) dropHolds(n *node) {
	for len(n.holds) > 0 {
		p.freeHold(n.holds[len(n.holds)-1])
	}
}

// startHeld starts the tasks whose held room is free: singly, or together for
// a gang. It also gives back holds that are no longer needed, or that a lowered
// allotment doesn't cover.
func (p *Placer) startHeld(r *round) {
	for _, j := range slices.Clone(p.holding) {
		if !j.team.allows(0) {
			p.releaseHolds(j)
			continue
		}
		for len(j.holds) > int(j.pending) {
			p.freeHold(j.holds[len(j.holds)-1])
		}
		if j.spec.gang {
			p.startGang(r, j)
			continue
		}
		for _, h := range slices.Clone(j.holds) {
			if h.ready && r.left() {
				p.startAt(r, h, "room that was set aside is free")
			}
		}
	}
}

func (p *Placer) startGang(r *round, j *job) {
	if j.delayed > 0 {
		return
	}
	if len(j.holds) < int(j.pending) {
		// A worker with a part of the reservation has gone or takes no more work: the
		// gang waits for a whole one again.
		p.releaseHolds(j)
		return
	}
	for _, h := range j.holds {
		if !h.ready {
			return
		}
	}
	for len(j.holds) > 0 {
		p.startAt(r, j.holds[0], "the whole gang has room")
	}
}

func (p *Placer) startAt(r *round, h *hold, reason string) {
	j, n := h.job, h.node
	p.freeHold(h)
	p.start(r, j, n, 1, reason)
}

// claim sets room aside for an urgent task where the least has to make room.
func (p *Placer) claim(r *round, j *job) {
	if len(j.holds) >= int(j.pending) {
		return
	}
	size := j.spec.size
	n, seen := p.clear.tightest(size, func(n *node) bool {
		return allowed(j.spec, n) && size.Fits(n.room().Add(n.yield)) && p.admits(j, n)
	})
	if n == nil {
		return
	}
	p.setHold(j, n, r.now)
	p.evict(r, n, seen, "an urgent task needs the room")
}

// evict asks tasks of a node to make room until its holds will fit: lower
// classes first, the newest first.
func (p *Placer) evict(r *round, n *node, seen int, reason string) {
	lack := n.used.Add(n.held).Add(n.trouble).Sub(n.worker.total)
	victims := make([]runRef, 0, len(n.tasks))
	for _, v := range n.tasks {
		if n.ref(v).phase == ending {
			lack = lack.Sub(v.job.spec.size)
		} else if v.job.yields() {
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(a, b runRef) int {
		return cmp.Or(
			cmp.Compare(b.job.spec.class, a.job.spec.class),
			cmp.Compare(n.ref(b).started, n.ref(a).started),
			cmp.Compare(b.job.serial, a.job.serial),
			cmp.Compare(b.index, a.index),
		)
	})
	for _, v := range victims {
		if lack.Fits(Resources{}) {
			return
		}
		if !helps(v.job.spec.size, lack) {
			continue
		}
		lack = lack.Sub(v.job.spec.size)
		p.press(r, v, Checkpoint, seen, reason)
	}
}

// helps reports whether an amount lowers a lack.
func helps(size, lack Resources) bool {
	return lack.cpu > 0 && size.cpu > 0 || lack.memory > 0 && size.memory > 0 || lack.accelerators > 0 && size.accelerators > 0
}

// press asks a task to make room, or asks it harder.
func (p *Placer) press(r *round, v runRef, kind Kind, seen int, reason string) {
	t := &v.job.tasks[v.index]
	if t.phase != ending {
		p.pressed = append(p.pressed, v)
	}
	t.phase, t.pressed, t.asked = ending, kind, r.now
	r.add(Decision{kind: kind, task: NewTaskID(v.job.spec.id, int(v.index)), worker: t.node.worker.id, candidates: seen, reason: reason})
}

// escalate asks tasks that haven't made room in time harder: first they are
// throttled, then stopped.
func (p *Placer) escalate(r *round) {
	kept := p.pressed[:0]
	for _, v := range p.pressed {
		t := &v.job.tasks[v.index]
		if t.node == nil || t.phase != ending {
			continue
		}
		kept = append(kept, v)
		if r.now-t.asked < int64(p.settings.grace) || t.pressed == Stop {
			continue
		}
		harder := Throttle
		if t.pressed == Throttle {
			harder = Stop
		}
		p.press(r, v, harder, 1, "it hasn't made room in time")
	}
	clear(p.pressed[len(kept):])
	p.pressed = kept
}

// hurry makes tasks yield where a gang has waited longer than patience.
func (p *Placer) hurry(r *round) {
	for _, j := range p.holding {
		if !j.spec.gang {
			continue
		}
		for _, h := range j.holds {
			if !h.ready && r.now-h.since >= int64(p.settings.patience) {
				p.evict(r, h.node, 1, "a gang has waited long for the room")
			}
		}
	}
}
