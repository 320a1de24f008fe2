package placer

import (
	"cmp"
	"slices"
	"time"
)

// excess is a task that uses more than its size.
type excess struct {
	run    runRef
	amount Resources
}

// ReportUsage tells what a task used at a time. Errors: ErrUnknownTask.
func (p *Placer) ReportUsage(id TaskID, usage Resources, at, now time.Time) error {
	j, err := p.placed(id)
	if err != nil {
		return err
	}
	index := int32(id.index)
	t := &j.tasks[index]
	memory := usage.memory + growth(t, usage.memory, nanos(at), nanos(now))
	t.seen = int32(usage.memory)
	if t.phase == running {
		t.asked = nanos(at)
	}
	n := t.node
	n.forgive(j, index)
	over := Resources{cpu: max(usage.cpu-j.spec.size.cpu, 0), memory: max(memory-j.spec.size.memory, 0)}
	if over.IsZero() {
		p.reindex(n)
		return nil
	}
	n.excess = append(n.excess, excess{runRef{j, index}, over})
	n.trouble = n.trouble.Add(over)
	p.reindex(n)
	p.strained = append(p.strained, n)
	return nil
}

// growth returns how much memory a task may have gained since its usage was
// taken, from the rate between its last two reports.
func growth(t *task, memory, at, now int64) int64 {
	past := at - t.asked
	if t.seen == 0 || past <= 0 || t.phase != running {
		return 0
	}
	rate := float64(memory-int64(t.seen)) / float64(past)
	return int64(max(rate, 0) * float64(max(now-at, 0)))
}

// forgive forgets what a task used past its size.
func (n *node) forgive(j *job, index int32) {
	for i, e := range n.excess {
		if e.run.job == j && e.run.index == index {
			n.trouble = n.trouble.Sub(e.amount)
			n.excess = slices.Delete(n.excess, i, i+1)
			return
		}
	}
}

// relieve throttles tasks past their declared processors, and makes tasks past
// their declared memory give way before their worker is overcommitted.
func (p *Placer) relieve(r *round) {
	for _, n := range p.strained {
		p.relieveNode(r, n)
	}
	clear(p.strained)
	p.strained = p.strained[:0]
}

func (p *Placer) relieveNode(r *round, n *node) {
	slices.SortStableFunc(n.excess, func(a, b excess) int { return cmp.Compare(b.amount.memory, a.amount.memory) })
	short := n.used.memory + n.trouble.memory - n.worker.total.memory
	for _, e := range n.excess {
		t := n.ref(e.run)
		if t.phase != running {
			short -= e.run.job.spec.size.memory + e.amount.memory
			continue
		}
		if short > 0 && e.amount.memory > 0 {
			short -= e.run.job.spec.size.memory + e.amount.memory
			p.press(r, e.run, Checkpoint, len(n.excess), "it is past its declared memory and the worker is full")
			continue
		}
		if e.amount.cpu > 0 && t.pressed != Throttle {
			t.pressed = Throttle
			r.add(Decision{kind: Throttle, task: NewTaskID(e.run.job.spec.id, int(e.run.index)), worker: n.worker.id, candidates: len(n.excess), reason: "it is past its declared processors"})
		}
	}
}

// curtail makes the newest deferred work of teams above their allotment give
// way.
func (p *Placer) curtail(r *round) {
	for _, t := range p.teams {
		if t.allotment < 0 || t.used.cpu <= t.allotment {
			continue
		}
		p.curtailTeam(r, t)
	}
}

func (p *Placer) curtailTeam(r *round, t *team) {
	over := t.used.cpu - t.allotment
	var victims []runRef
	for _, j := range t.jobs {
		for i := range j.tasks {
			switch j.tasks[i].phase {
			case ending:
				over -= j.spec.size.cpu
			case running:
				if j.yields() {
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
		p.press(r, v, Checkpoint, len(victims), "its team is above its limit")
	}
}
