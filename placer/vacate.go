package placer

import "slices"

// vacate makes tasks leave workers that are leaving, so that what they did is
// saved before the worker is gone: those that can be preempted at once, the
// tasks of a service one after the other.
func (p *Placer) vacate(r *round) {
	p.vacating = slices.DeleteFunc(p.vacating, func(n *node) bool {
		return n.gone || n.worker.state != Draining || len(n.tasks) == 0
	})
	for _, n := range p.vacating {
		for _, v := range slices.Clone(n.tasks) {
			if n.ref(v).phase == running && v.job.moves() {
				p.press(r, v, Checkpoint, len(n.tasks), "its worker is leaving")
			}
		}
	}
}

// moves reports whether a task of the job may be moved to another worker now.
func (j *job) moves() bool {
	if j.yields() {
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
