package placer

import (
	"cmp"
	"slices"
	"time"
)

// overuse says that a task uses more than its size.
type overuse struct {
	run    runRef
	amount Resources // usage beyond the size
}

// ReportUsage records the resources that a task used at a time. The memory is extrapolated
// from then to now. It returns ErrUnknownTask when the task isn't on a worker.
func (p *Placer) ReportUsage(id TaskID, usage Resources, at, now time.Time) error {
	j, err := p.placedJob(id)
	if err != nil {
		return err
	}
	index := int32(id.index)
	t := &j.tasks[index]
	memory := usage.memory + growth(t, usage.memory, nanos(at), nanos(now))
	t.usedMemory = int32(usage.memory)
	if t.phase == running {
		t.updatedAt = nanos(at)
	}
	n := t.node
	n.clearOveruse(j, index)
	over := Resources{cpu: max(usage.cpu-j.spec.size.cpu, 0), memory: max(memory-j.spec.size.memory, 0)}
	if over.IsZero() {
		p.reindex(n)
		return nil
	}
	n.overuses = append(n.overuses, overuse{runRef{j, index}, over})
	n.excess = n.excess.Add(over)
	p.reindex(n)
	p.overusedNodes = append(p.overusedNodes, n)
	return nil
}

// growth estimates by how many MiB the memory of a task has grown from its measurement to
// now, at the rate of growth between the last two reports.
func growth(t *task, memory, at, now int64) int64 {
	elapsed := at - t.updatedAt
	if t.usedMemory == 0 || elapsed <= 0 || t.phase != running {
		return 0
	}
	rate := float64(memory-int64(t.usedMemory)) / float64(elapsed)
	return int64(max(rate, 0) * float64(max(now-at, 0)))
}

// clearOveruse removes the overuse of a task.
func (n *node) clearOveruse(j *job, index int32) {
	for i, o := range n.overuses {
		if o.run.job == j && o.run.index == index {
			n.excess = n.excess.Sub(o.amount)
			n.overuses = slices.Delete(n.overuses, i, i+1)
			return
		}
	}
}

// limitOveruse throttles tasks that use more processors than declared. It preempts tasks
// that use more memory than declared if their worker hasn't enough memory for all its tasks.
func (p *Placer) limitOveruse(c *cycle) {
	for _, n := range p.overusedNodes {
		p.limitNodeOveruse(c, n)
	}
	clear(p.overusedNodes)
	p.overusedNodes = p.overusedNodes[:0]
}

func (p *Placer) limitNodeOveruse(c *cycle, n *node) {
	slices.SortStableFunc(n.overuses, func(a, b overuse) int { return cmp.Compare(b.amount.memory, a.amount.memory) })
	shortage := n.used.memory + n.excess.memory - n.worker.total.memory
	for _, o := range n.overuses {
		t := n.taskOf(o.run)
		if t.phase != running {
			shortage -= o.run.job.spec.size.memory + o.amount.memory
			continue
		}
		if shortage > 0 && o.amount.memory > 0 {
			shortage -= o.run.job.spec.size.memory + o.amount.memory
			p.preempt(c, o.run, Checkpoint, len(n.overuses), "it uses more memory than declared and the worker is full")
			continue
		}
		if o.amount.cpu > 0 && t.lastOrder != Throttle {
			t.lastOrder = Throttle
			c.add(Decision{kind: Throttle, task: NewTaskID(o.run.job.spec.id, int(o.run.index)), worker: n.worker.id, examined: len(n.overuses), reason: "it uses more processors than declared"})
		}
	}
}

// enforceQuotas preempts tasks of teams that use more than their quota. Best-effort tasks go
// before deferred ones, and the newest first within a class.
func (p *Placer) enforceQuotas(c *cycle) {
	for _, t := range p.teams {
		if t.quota < 0 || t.used.cpu <= t.quota {
			continue
		}
		p.enforceQuota(c, t)
	}
}

func (p *Placer) enforceQuota(c *cycle, t *team) {
	over := t.used.cpu - t.quota
	var victims []runRef
	for _, j := range t.jobs {
		for i := range j.tasks {
			switch j.tasks[i].phase {
			case ending:
				over -= j.spec.size.cpu
			case running:
				if j.preemptible() {
					victims = append(victims, runRef{j, int32(i)})
				}
			}
		}
	}
	slices.SortFunc(victims, func(a, b runRef) int {
		return cmp.Or(
			cmp.Compare(b.job.spec.class, a.job.spec.class),
			cmp.Compare(b.job.tasks[b.index].started, a.job.tasks[a.index].started),
			cmp.Compare(b.job.serial, a.job.serial),
			cmp.Compare(b.index, a.index),
		)
	})
	for _, v := range victims {
		if over <= 0 {
			return
		}
		over -= v.job.spec.size.cpu
		p.preempt(c, v, Checkpoint, len(victims), "its team is above its limit")
	}
}
