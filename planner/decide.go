package planner

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Kind tells what an action does.
type Kind int

// Kinds of action.
const (
	Start Kind = iota // start a run
	Stop              // stop a run
	Ask               // request advice: which workers may run a step
)

// Action is one decision for the caller to carry out.
type Action struct {
	Kind       Kind
	Worker     string
	Task       string
	Number     int
	Payload    string
	Checkpoint string
	Ticket     string
	Step       string   // of an Ask; to be repeated in its Answer
	Workers    []string // of an Ask; the workers that it names
	Queue      string
	Urgent     bool
	Cost       time.Duration // of an Ask; its expected time at the advice service
	Reason     string
}

// candidate is an occurrence with waiting tasks and its place in the order.
type candidate struct {
	occurrence *occurrence
	rank       int           // lower goes first
	slack      time.Duration // time until it can't meet its objective, or another order within the rank; lower goes first
}

// Ranks of candidates.
const (
	longRunningRank = iota // has long-running tasks; nobody else can serve their users
	urgentRank             // queue of priority 0, can still meet its objective
	lateUrgentRank         // queue of priority 0, can't meet its objective
	timelyRank             // can still meet its objective
	lateRank               // can't meet its objective
	expiredRank            // worth nothing to its caller any more
)

// expiredFactor times the objective is the time after which a job is worth nothing
// to its caller.
const expiredFactor = 3

// Decide returns the actions to carry out now; wall is Unix milliseconds. The
// capacity of each Start is allocated from now on. The caller orders a Start once
// the journal holds it and reports its outcome to Started. It reports the outcome
// of a Stop to Halted, and that of an Ask to Advised or Unasked.
func (p *Planner) Decide(now time.Duration, wall int64) []Action {
	p.expireLeases(now)
	p.beginDueOccurrences(now, wall)
	p.workersByFreeCPU, p.maxFreeCPU = nil, 0
	for _, w := range p.workers {
		w.reservedFor = nil
		if w.listed {
			p.maxFreeCPU = max(p.maxFreeCPU, w.free().CPU())
		}
	}
	for _, c := range p.candidates(now) {
		for _, s := range c.occurrence.steps {
			if s.ready && s.waiting > 0 {
				p.place(s, c, now)
			}
		}
	}
	actions := p.actions
	p.actions = nil
	return actions
}

// maxOrderDelay is longer than the platform may take to carry out an order that got
// no answer (12 s). A new incarnation of a worker has its own clock, so it doesn't
// refuse such an order because a lease of an earlier incarnation has expired.
const maxOrderDelay = 15 * time.Second

// expireLeases ends the runs of workers whose leases have certainly expired.
func (p *Planner) expireLeases(now time.Duration) {
	for _, w := range p.workers {
		if now < w.leaseExpiry || w.leaseExpiry == 0 {
			continue
		}
		if !w.fenced && w.listed && !w.heartbeatTried {
			continue // after a slow takeover, the worker may still list ends of these runs
		}
		w.fenced = true
		for _, r := range w.runs {
			if r.phase != sent && (r.workerRestartedAt == 0 || now-r.workerRestartedAt > maxOrderDelay) {
				p.endRun(r, Lapsed, r.checkpoint, now)
			}
		}
	}
}

// beginDueOccurrences begins the occurrences of repeating jobs that are due.
func (p *Planner) beginDueOccurrences(now time.Duration, wall int64) {
	for _, j := range p.live {
		for j.ended == "" && j.spec.Repeats > 0 && j.next < j.spec.Repeats && j.spec.dueUnixMs(j.next) <= wall {
			j.beginNext(j.dueTime(j.next, now, wall))
		}
	}
}

// candidates returns the occurrences with waiting tasks in the order in which they
// are served. On a full fleet, late work must not make other work of its class late
// too: work that can still be in time goes before it, by slack. Work that nobody
// waits for any more goes last.
func (p *Planner) candidates(now time.Duration) []candidate {
	var list []candidate
	kept := p.live[:0]
	for _, j := range p.live {
		if j.ended != "" {
			continue
		}
		kept = append(kept, j)
		for _, o := range j.occurrences {
			if o.hasWaitingTask() {
				list = append(list, p.rank(o, now))
			}
		}
	}
	clear(p.live[len(kept):])
	p.live = kept
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.slack, b.slack))
	})
	return list
}

// hasWaitingTask reports whether a task of a ready step waits for a worker.
func (o *occurrence) hasWaitingTask() bool {
	for _, s := range o.steps {
		if s.ready && s.waiting > 0 {
			return true
		}
	}
	return false
}

func (p *Planner) rank(o *occurrence, now time.Duration) candidate {
	j := o.job
	objective, chain := j.objective(), o.criticalPath()
	age := now - o.due
	slack := objective - age - chain
	switch {
	case j.isLongRunning():
		return candidate{o, longRunningRank, -age}
	case slack >= 0 && j.queue.Priority == 0:
		return candidate{o, urgentRank, slack}
	case slack >= 0:
		return candidate{o, timelyRank, slack}
	case age+chain >= expiredFactor*objective:
		return candidate{o, expiredRank, -slack}
	case j.queue.Priority == 0:
		return candidate{o, lateUrgentRank, slack}
	default:
		return candidate{o, lateRank, slack}
	}
}

// objective returns the time within which an occurrence of the job should be done
// after it is due.
func (j *job) objective() time.Duration {
	if j.criticalPath == 0 {
		j.criticalPath = newOccurrence(j, 0, 0).criticalPath()
	}
	return time.Duration(float64(j.criticalPath)*max(1, j.queue.Stretch)) + j.queue.Objective
}

// place starts waiting tasks of a step. If there is no worker for a task, it requests
// advice and, for a long-running step, reserves capacity.
func (p *Planner) place(s *step, c candidate, now time.Duration) {
	if s.spec.Gang {
		p.placeGang(s, c, now)
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.runs) > 0 {
			continue
		}
		if !s.occurrence.job.team.allows(s.spec.Size, 1) {
			return
		}
		w := p.bestFit(s, now)
		if w == nil {
			p.requestAdvice(s, c, now)
			if s.spec.LongRunning {
				p.reserve(s, now)
			}
			return
		}
		p.start(s, i, t.lastRun+1, w, now)
	}
}

// bestFit returns the worker on which one task of the step leaves the least CPU free,
// so that large gaps stay for large tasks. Workers in the step's preferred rack go
// first. It returns nil if the task fits on no usable worker.
func (p *Planner) bestFit(s *step, now time.Duration) *worker {
	var best *worker
	var bestLeft int64
	bestInRack := false
	if s.spec.Size.CPU() > p.maxFreeCPU {
		return nil
	}
	for w := range p.usableWorkers(s, now) {
		if !s.spec.Size.Fits(w.free()) || !s.belowMaxPerWorker(w, 0) {
			continue
		}
		inRack := s.spec.Rack != "" && w.hasLabel(s.spec.Rack)
		left := w.free().Sub(s.spec.Size).CPU()
		if best == nil || inRack && !bestInRack || inRack == bestInRack && (left < bestLeft || left == bestLeft && w.reg.ID < best.reg.ID) {
			best, bestLeft, bestInRack = w, left, inRack
		}
	}
	return best
}

// usableWorkers iterates over the workers on which tasks of the step may start,
// whatever their free capacity. If the queue needs advice, these are the workers with
// a valid ticket. It builds no list, since a full fleet has hundreds of waiting steps.
func (p *Planner) usableWorkers(s *step, now time.Duration) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		if s.occurrence.job.queue.Advice == nil {
			for _, w := range p.workers {
				if p.usable(s, w, now) && !yield(w) {
					return
				}
			}
			return
		}
		for _, t := range s.advice.tickets {
			if t.valid(now) && p.usable(s, t.worker, now) && !yield(t.worker) {
				return
			}
		}
	}
}

// byFreeCPU returns all workers, those with the most free CPU first. It sorts them
// once in a decision.
func (p *Planner) byFreeCPU() []*worker {
	if p.workersByFreeCPU == nil {
		p.workersByFreeCPU = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int {
			if by := cmp.Compare(b.free().CPU(), a.free().CPU()); by != 0 {
				return by
			}
			return cmp.Compare(a.reg.ID, b.reg.ID)
		})
	}
	return p.workersByFreeCPU
}

// usable reports whether tasks of the step may start on the worker, whatever its free
// capacity and the advice. A worker reserved for another step takes urgent steps
// only, and none if that step is long-running.
func (p *Planner) usable(s *step, w *worker, now time.Duration) bool {
	if w.reg.Service != s.occurrence.job.queue.Service || !w.acceptsTasks(now) || p.cordoned[w.reg.Centre] || !p.persisted[w.reg.ID] {
		return false
	}
	if w.reservedFor != nil && w.reservedFor != s && (s.occurrence.job.queue.Priority > 0 || w.reservedFor.spec.LongRunning) {
		return false
	}
	return s.spec.Label == "" || w.hasLabel(s.spec.Label)
}

// belowMaxPerWorker reports whether the worker's tasks of the step, plus extra ones,
// are fewer than MaxPerWorker allows, so that one more may start.
func (s *step) belowMaxPerWorker(w *worker, extra int) bool {
	if s.spec.MaxPerWorker == 0 {
		return true
	}
	n := extra
	for _, r := range w.runs {
		if r.step == s {
			n++
		}
	}
	return n < s.spec.MaxPerWorker
}

// start allocates a run and adds its Start to the actions.
func (p *Planner) start(s *step, index, number int, w *worker, now time.Duration) {
	t := &s.tasks[index]
	j := s.occurrence.job
	r := &run{step: s, index: index, number: number, worker: w, size: s.spec.Size, phase: sent, orderedAt: now}
	t.lastRun = number
	s.lastRun = max(s.lastRun, number)
	t.runs = append(t.runs, r)
	s.waiting--
	j.started = true
	p.allocate(r)
	p.actions = append(p.actions, Action{
		Kind: Start, Worker: w.reg.ID, Task: s.taskName(index), Number: number, Payload: j.spec.Payload,
		Checkpoint: t.checkpoint, Ticket: s.advice.ticket(w), Queue: j.spec.Queue, Reason: "room",
	})
}

// stop adds a Stop of the run to the actions.
func (p *Planner) stop(r *run) {
	r.stopOrdered = true
	p.actions = append(p.actions, Action{Kind: Stop, Worker: r.worker.reg.ID, Task: r.step.taskName(r.index), Number: r.number})
}
