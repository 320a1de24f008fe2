package placer

import "slices"

// drainNodes checkpoints the tasks on draining workers, so that their state is saved
// before the worker is gone. Preemptible tasks are checkpointed at once, the tasks of a
// service one after the other. Tasks that may not move run to their end.
func (p *Placer) drainNodes(c *cycle) {
	p.drainingNodes = slices.DeleteFunc(p.drainingNodes, func(n *node) bool {
		return n.removed || n.worker.state != Draining || len(n.tasks) == 0
	})
	for _, n := range p.drainingNodes {
		for _, v := range slices.Clone(n.tasks) {
			if n.taskOf(v).phase == running && v.job.movable() {
				p.preempt(c, v, Checkpoint, len(n.tasks), "its worker is draining")
			}
		}
	}
}

// movable reports whether a task of the job may move to another worker now. A service must
// be idempotent and no gang, and none of its tasks may wait or be ending.
func (j *job) movable() bool {
	if j.preemptible() {
		return true
	}
	if j.spec.class != Service || !j.spec.idempotent || j.spec.gang || j.pending+j.delayed > 0 {
		return false
	}
	for i := range j.tasks {
		if j.tasks[i].phase == ending {
			return false
		}
	}
	return true
}
