package placer

import (
	"container/heap"
	"fmt"
	"time"
)

// maxDoublings bounds the exponent of a delay.
const maxDoublings = 16

// Finish ends a run of a task. Its room is free at once. Errors: ErrUnknownTask
// when the task isn't on a worker.
func (p *Placer) Finish(id TaskID, outcome Outcome, now time.Time) (FinishResult, error) {
	j, err := p.placed(id)
	if err != nil {
		return FinishResult{}, err
	}
	index := int32(id.index)
	t := &j.tasks[index]
	n, elapsed := t.node, now.Sub(moment(t.started))
	p.detach(j, index)
	if j.cancelled || outcome == Preempted && j.roll != nil && j.roll.from == j {
		outcome = Cancelled
	}
	var at time.Time
	switch outcome {
	case Succeeded:
		p.succeed(j, index, n, elapsed, now)
	case Failed:
		at = p.fail(j, index, n, now)
	case Preempted:
		p.requeue(j, index)
	case Lost:
		p.lose(j, index)
	default:
		t.phase = ended
	}
	s := FinishResult{again: t.phase == waiting || t.phase == resting, at: at, failed: int(j.failed)}
	s.done = p.retire(j)
	return s, nil
}

// placed returns the job of a task that is on a worker.
func (p *Placer) placed(id TaskID) (*job, error) {
	j := p.jobs[id.job]
	if j == nil || id.index < 0 || id.index >= len(j.tasks) || j.tasks[id.index].node == nil {
		return nil, fmt.Errorf("%w: %v isn't on a worker", ErrUnknownTask, id)
	}
	return j, nil
}

func (p *Placer) succeed(j *job, index int32, n *node, elapsed time.Duration, now time.Time) {
	p.judge(n, j, false, nanos(now))
	p.settings.finished(j.spec, elapsed)
	if j.spec.class == Service {
		p.rest(j, index, now.Add(p.delay(0)))
		return
	}
	j.tasks[index].phase = ended
}

// fail returns when the task may start again, or zero when it doesn't.
func (p *Placer) fail(j *job, index int32, n *node, now time.Time) time.Time {
	t := &j.tasks[index]
	guilty := p.judge(n, j, true, nanos(now))
	t.avoid = n.serial + 1
	if !guilty && t.failures < ^uint8(0) {
		t.failures++
	}
	if !j.spec.idempotent || int(t.failures) >= p.settings.retries && j.spec.class != Service {
		t.phase = ended
		j.failed++
		return time.Time{}
	}
	at := now.Add(p.delay(int(t.failures)))
	p.rest(j, index, at)
	p.breakUp(j)
	return at
}

func (p *Placer) lose(j *job, index int32) {
	if !j.spec.idempotent {
		j.tasks[index].phase = ended
		j.failed++
		return
	}
	p.requeue(j, index)
	p.breakUp(j)
}

// delay returns a delay that doubles with the number of failures, with jitter
// from half of it to the whole.
func (p *Placer) delay(failures int) time.Duration {
	d := p.settings.retryBase << min(max(failures-1, 0), maxDoublings)
	d = min(d, p.settings.retryMost)
	return d/2 + time.Duration(p.random.Int64N(int64(d/2)+1))
}

// requeue puts a task that isn't on a node into the queue.
func (p *Placer) requeue(j *job, index int32) {
	j.tasks[index].phase = waiting
	j.again = append(j.again, index)
	j.pending++
	p.wait(j, 1)
	j.team.enqueue(j)
	p.released = true
}

// rest keeps a task out of the queue until that time.
func (p *Placer) rest(j *job, index int32, until time.Time) {
	j.tasks[index].phase = resting
	j.delayed++
	p.wait(j, 1)
	heap.Push(&p.rests, nap{until: nanos(until), job: j, index: index})
}

// wake puts the tasks that have rested long enough into the queue.
func (p *Placer) wake(now int64) {
	for len(p.rests) > 0 && p.rests[0].until <= now {
		r := heap.Pop(&p.rests).(nap)
		if r.job.cancelled || r.job.tasks[r.index].phase != resting {
			continue
		}
		r.job.delayed--
		p.wait(r.job, -1)
		p.requeue(r.job, r.index)
	}
}

// Unplace takes a task whose start order was refused back into the queue.
// Errors: ErrUnknownTask.
func (p *Placer) Unplace(id TaskID) error {
	j, err := p.placed(id)
	if err != nil {
		return err
	}
	index := int32(id.index)
	p.detach(j, index)
	if j.cancelled {
		j.tasks[index].phase = ended
		p.retire(j)
		return nil
	}
	p.requeue(j, index)
	p.breakUp(j)
	return nil
}

// RestoreTask puts a task on the worker where it was found running. It may fill
// the worker past its total, which then takes nothing else. Errors:
// ErrUnknownTask when the job is unknown or the task is elsewhere or over,
// ErrUnknownWorker.
func (p *Placer) RestoreTask(id TaskID, worker string, now time.Time) error {
	n := p.byID[worker]
	if n == nil {
		return fmt.Errorf("%w: %q", ErrUnknownWorker, worker)
	}
	j := p.jobs[id.job]
	if j == nil || id.index < 0 || id.index >= j.spec.tasks {
		return fmt.Errorf("%w: %v", ErrUnknownTask, id)
	}
	j.unfold()
	t := &j.tasks[id.index]
	switch t.phase {
	case waiting:
		j.pending--
	case resting:
		j.delayed--
	default:
		return fmt.Errorf("%w: %v doesn't wait", ErrUnknownTask, id)
	}
	p.wait(j, -1)
	p.attach(n, j, int32(id.index), nanos(now))
	if j.pending == 0 {
		j.team.dequeue(j)
	}
	return nil
}

// MarkEnded marks a task as over without a run here, as read from the journal.
// Errors: ErrUnknownTask when the task doesn't wait.
func (p *Placer) MarkEnded(id TaskID, outcome Outcome) error {
	j := p.jobs[id.job]
	if j == nil || id.index < 0 || id.index >= j.spec.tasks {
		return fmt.Errorf("%w: %v", ErrUnknownTask, id)
	}
	j.unfold()
	t := &j.tasks[id.index]
	if t.phase != waiting {
		return fmt.Errorf("%w: %v doesn't wait", ErrUnknownTask, id)
	}
	t.phase, t.placed = ended, true
	if outcome != Succeeded {
		j.failed++
	}
	j.pending--
	p.wait(j, -1)
	if j.pending == 0 {
		j.team.dequeue(j)
	}
	p.retire(j)
	return nil
}

// nap is a task that waits for a time.
type nap struct {
	until int64 // nanoseconds since 1970
	job   *job
	index int32
}

// rests is a heap of naps, earliest first.
type rests []nap

func (r rests) Len() int      { return len(r) }
func (r rests) Swap(i, k int) { r[i], r[k] = r[k], r[i] }

func (r rests) Less(i, k int) bool {
	if r[i].until != r[k].until {
		return r[i].until < r[k].until
	}
	if r[i].job != r[k].job {
		return r[i].job.serial < r[k].job.serial
	}
	return r[i].index < r[k].index
}

// Push implements heap.Interface.
func (r *rests) Push(x any) { *r = append(*r, x.(nap)) }

// Pop implements heap.Interface.
func (r *rests) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}
