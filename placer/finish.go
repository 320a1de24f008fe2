package placer

import (
	"container/heap"
	"fmt"
	"time"
)

// maxDoublings limits how often a back-off or cool-down doubles.
const maxDoublings = 16

// Finish records the end of a run and frees its resources at once. It returns ErrUnknownTask
// when the task isn't on a worker.
func (p *Placer) Finish(id TaskID, outcome Outcome, now time.Time) (FinishResult, error) {
	j, err := p.placedJob(id)
	if err != nil {
		return FinishResult{}, err
	}
	index := int32(id.index)
	t := &j.tasks[index]
	n, elapsed := t.node, now.Sub(timeOf(t.started))
	p.detach(j, index)
	// A task of a cancelled job never runs again, nor does a preempted task of the version
	// that a rolling update replaces.
	if j.cancelled || outcome == Preempted && j.rollout != nil && j.rollout.from == j {
		outcome = Cancelled
	}
	var notBefore time.Time
	switch outcome {
	case Succeeded:
		p.succeed(j, index, n, elapsed, now)
	case Failed:
		notBefore = p.fail(j, index, n, now)
	case Preempted:
		p.requeue(j, index)
	case Lost:
		p.lose(j, index)
	default:
		t.phase = ended
	}
	result := FinishResult{requeued: t.phase == waiting || t.phase == backingOff, notBefore: notBefore, failedTasks: int(j.failed)}
	result.jobDone = p.removeIfDone(j)
	return result, nil
}

// placedJob returns the job of a task that is on a worker.
func (p *Placer) placedJob(id TaskID) (*job, error) {
	j := p.jobs[id.job]
	if j == nil || id.index < 0 || id.index >= len(j.tasks) || j.tasks[id.index].node == nil {
		return nil, fmt.Errorf("%w: %v isn't on a worker", ErrUnknownTask, id)
	}
	return j, nil
}

// succeed ends a task that succeeded. Tasks of a service start again after a back-off.
func (p *Placer) succeed(j *job, index int32, n *node, elapsed time.Duration, now time.Time) {
	p.recordOutcome(n, j, false, nanos(now))
	p.settings.onSuccess(j.spec, elapsed)
	if j.spec.class == Service {
		p.startBackoff(j, index, now.Add(p.backoff(0)))
		return
	}
	j.tasks[index].phase = ended
}

// fail puts the task into back-off or ends it for good. It returns the earliest next start,
// or the zero time when there is none.
func (p *Placer) fail(j *job, index int32, n *node, now time.Time) time.Time {
	t := &j.tasks[index]
	nodeAtFault := p.recordOutcome(n, j, true, nanos(now))
	t.avoidNode = n.serial + 1
	if !nodeAtFault && t.failures < ^uint8(0) {
		t.failures++
	}
	if !j.spec.idempotent || int(t.failures) >= p.settings.retries && j.spec.class != Service {
		t.phase = ended
		j.failed++
		return time.Time{}
	}
	notBefore := now.Add(p.backoff(int(t.failures)))
	p.startBackoff(j, index, notBefore)
	p.markBroken(j)
	return notBefore
}

// lose ends a run whose worker is gone. The task waits again if it is idempotent. Otherwise
// it ends for good, since it may have run.
func (p *Placer) lose(j *job, index int32) {
	if !j.spec.idempotent {
		j.tasks[index].phase = ended
		j.failed++
		return
	}
	p.requeue(j, index)
	p.markBroken(j)
}

// backoff returns a random time between half of the back-off and the whole. The back-off
// doubles with each failure after the first.
func (p *Placer) backoff(failures int) time.Duration {
	d := p.settings.retryMin << min(max(failures-1, 0), maxDoublings)
	d = min(d, p.settings.retryMax)
	return d/2 + time.Duration(p.random.Int64N(int64(d/2)+1))
}

// requeue puts a task back into the queue. The task must not be on a node.
func (p *Placer) requeue(j *job, index int32) {
	j.tasks[index].phase = waiting
	j.requeued = append(j.requeued, index)
	j.pending++
	p.addPending(j, 1)
	j.team.enqueue(j)
	p.passNeeded = true
}

// startBackoff keeps a task out of the queue until a time. The task must not be on a node.
func (p *Placer) startBackoff(j *job, index int32, until time.Time) {
	j.tasks[index].phase = backingOff
	j.delayed++
	p.addPending(j, 1)
	heap.Push(&p.backoffs, backoffEntry{until: nanos(until), job: j, index: index})
}

// endBackoffs puts tasks back into the queue when their back-off is over.
func (p *Placer) endBackoffs(now int64) {
	for len(p.backoffs) > 0 && p.backoffs[0].until <= now {
		e := heap.Pop(&p.backoffs).(backoffEntry)
		if e.job.cancelled || e.job.tasks[e.index].phase != backingOff {
			continue
		}
		e.job.delayed--
		p.addPending(e.job, -1)
		p.requeue(e.job, e.index)
	}
}

// Unplace puts a task back into the queue when its start could not be carried out. It
// returns ErrUnknownTask when the task isn't on a worker.
func (p *Placer) Unplace(id TaskID) error {
	j, err := p.placedJob(id)
	if err != nil {
		return err
	}
	index := int32(id.index)
	p.detach(j, index)
	if j.cancelled {
		j.tasks[index].phase = ended
		p.removeIfDone(j)
		return nil
	}
	p.requeue(j, index)
	p.markBroken(j)
	return nil
}

// RestoreTask puts a waiting task on the worker where it was found running. It does so even
// if the tasks of the worker then exceed its total; the worker takes no others while they
// do. It returns ErrUnknownWorker, or ErrUnknownTask when the job is unknown or the task
// doesn't wait.
func (p *Placer) RestoreTask(id TaskID, worker string, now time.Time) error {
	n := p.byID[worker]
	if n == nil {
		return fmt.Errorf("%w: %q", ErrUnknownWorker, worker)
	}
	j := p.jobs[id.job]
	if j == nil || id.index < 0 || id.index >= j.spec.tasks {
		return fmt.Errorf("%w: %v", ErrUnknownTask, id)
	}
	j.allocateTasks()
	t := &j.tasks[id.index]
	switch t.phase {
	case waiting:
		j.pending--
	case backingOff:
		j.delayed--
	default:
		return fmt.Errorf("%w: %v is not waiting", ErrUnknownTask, id)
	}
	p.addPending(j, -1)
	p.attach(n, j, int32(id.index), nanos(now))
	if j.pending == 0 {
		j.team.dequeue(j)
	}
	return nil
}

// MarkEnded marks a task in the queue as ended, when its run ended before the job was
// restored. It returns ErrUnknownTask when the task is not in the queue.
func (p *Placer) MarkEnded(id TaskID, outcome Outcome) error {
	j := p.jobs[id.job]
	if j == nil || id.index < 0 || id.index >= j.spec.tasks {
		return fmt.Errorf("%w: %v", ErrUnknownTask, id)
	}
	j.allocateTasks()
	t := &j.tasks[id.index]
	if t.phase != waiting {
		return fmt.Errorf("%w: %v is not waiting", ErrUnknownTask, id)
	}
	t.phase, t.placed = ended, true
	if outcome != Succeeded {
		j.failed++
	}
	j.pending--
	p.addPending(j, -1)
	if j.pending == 0 {
		j.team.dequeue(j)
	}
	p.removeIfDone(j)
	return nil
}

// backoffEntry is a task in back-off.
type backoffEntry struct {
	until int64 // nanoseconds since 1970
	job   *job
	index int32
}

// backoffQueue is a heap of tasks in back-off, the earliest end first.
type backoffQueue []backoffEntry

func (q backoffQueue) Len() int      { return len(q) }
func (q backoffQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

func (q backoffQueue) Less(i, k int) bool {
	if q[i].until != q[k].until {
		return q[i].until < q[k].until
	}
	if q[i].job != q[k].job {
		return q[i].job.serial < q[k].job.serial
	}
	return q[i].index < q[k].index
}

// Push implements heap.Interface.
func (q *backoffQueue) Push(x any) { *q = append(*q, x.(backoffEntry)) }

// Pop implements heap.Interface.
func (q *backoffQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
