package planner

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Kind is what an action does.
type Kind int

// Kinds of action.
const (
	Start Kind = iota // start a run
	Stop              // stop a run
	Ask               // ask which workers may run a step
)

// Action is one decision to be carried out.
type Action struct {
	Kind       Kind
	Worker     string
	Task       string
	Number     int
	Payload    string
	Checkpoint string
	Ticket     string
	Step       string   // of an Ask, as Advised takes it
	Workers    []string // named in an Ask
	Queue      string
	Urgent     bool
	Cost       time.Duration // that an Ask takes at the adviser
	Reason     string
}

// candidate is a job with tasks that wait, and its place in the order.
type candidate struct {
	round *occurrence
	rank  int           // lower goes first
	slack time.Duration // until it can't meet its objective
}

// Ranks of candidates.
const (
	lastingRank    = iota // has tasks that last; nobody else can serve their users
	urgentRank            // of queues of priority 0, can still meet their objective
	lateUrgentRank        // of queues of priority 0, can't
	timelyRank            // can still meet their objective
	lateRank              // can't
	expiredRank           // are worth nothing to their caller any more
)

// lateFactor times the objective is the time after which a job is worth nothing
// to its caller.
const lateFactor = 3

// Decide returns what to do now; wall is Unix milliseconds. Each Start is on the
// books from now on and is to be ordered once the journal holds it; it has to be
// answered by Started, each Stop by Halted, each
// Ask by Advised.
func (p *Planner) Decide(now time.Duration, wall int64) []Action {
	p.lapse(now)
	p.begin(now, wall)
	p.roomy, p.most = nil, 0
	for _, w := range p.workers {
		w.reserve = nil
		if w.listed {
			p.most = max(p.most, w.free().CPU())
		}
	}
	for _, c := range p.candidates(now) {
		for _, s := range c.round.steps {
			if s.ready && s.todo > 0 {
				p.place(s, c, now)
			}
		}
	}
	out := p.out
	p.out = nil
	return out
}

// lateOrders is longer than the platform may take to carry out an order that got
// no answer (12 s). A new life of a worker has a clock of its own, so that the end
// of a lease given to an earlier life doesn't refuse such an order.
const lateOrders = 15 * time.Second

// lapse ends the runs of workers whose leases have surely lapsed.
func (p *Planner) lapse(now time.Duration) {
	for _, w := range p.workers {
		if now < w.lapses || w.lapses == 0 {
			continue
		}
		if !w.fenced && w.listed && !w.tried {
			continue // it may list ends of the runs, after a takeover that took long
		}
		w.fenced = true
		for _, r := range w.runs {
			if r.phase != sent && (r.crossed == 0 || now-r.crossed > lateOrders) {
				p.endRun(r, Lapsed, r.saved, now)
			}
		}
	}
}

// begin adds the occurrences that are due.
func (p *Planner) begin(now time.Duration, wall int64) {
	for _, j := range p.live {
		for j.ended == "" && j.spec.Repeats > 0 && j.next < j.spec.Repeats && j.spec.dueAt(j.next) <= wall {
			j.begin(j.dueOf(j.next, now, wall))
		}
	}
}

// candidates returns the occurrences with tasks that wait, in the order in which
// they are served. It answers a full fleet: work that can still be in time goes before
// work that is late, by slack, and work that nobody waits for any more goes last.
func (p *Planner) candidates(now time.Duration) []candidate {
	var list []candidate
	kept := p.live[:0]
	for _, j := range p.live {
		if j.ended != "" {
			continue
		}
		kept = append(kept, j)
		for _, o := range j.rounds {
			if o.idle() {
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

// idle reports whether a task of the occurrence waits for a worker.
func (o *occurrence) idle() bool {
	for _, s := range o.steps {
		if s.ready && s.todo > 0 {
			return true
		}
	}
	return false
}

func (p *Planner) rank(o *occurrence, now time.Duration) candidate {
	j := o.job
	objective, chain := j.objective(), o.chain()
	age := now - o.due
	slack := objective - age - chain
	switch {
	case j.lasts():
		return candidate{o, lastingRank, -age}
	case slack >= 0 && j.queue.Priority == 0:
		return candidate{o, urgentRank, slack}
	case slack >= 0:
		return candidate{o, timelyRank, slack}
	case age+chain >= lateFactor*objective:
		return candidate{o, expiredRank, -slack}
	case j.queue.Priority == 0:
		return candidate{o, lateUrgentRank, slack}
	default:
		return candidate{o, lateRank, slack}
	}
}

// objective returns the time in which the job should be done after its arrival.
func (j *job) objective() time.Duration {
	if j.span == 0 {
		j.span = newRound(j, 0, 0).chain()
	}
	return time.Duration(float64(j.span)*max(1, j.queue.Stretch)) + j.queue.Objective
}

// place starts what it can of a step's waiting tasks, and asks for advice where
// that is wanting.
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
		if !s.round.job.team.allows(s.spec.Size, 1) {
			return
		}
		w := p.best(s, now)
		if w == nil {
			p.seek(s, c, now)
			if s.spec.LongRunning {
				p.reserve(s, now)
			}
			return
		}
		p.start(s, i, t.number+1, w, now)
	}
}

// best returns the worker with the least room left for one task of the step, so
// that large holes stay for large tasks; nil when none has room.
func (p *Planner) best(s *step, now time.Duration) *worker {
	var best *worker
	var left int64
	near := false
	if s.spec.Size.CPU() > p.most {
		return nil
	}
	for w := range p.hosts(s, now) {
		if !s.spec.Size.Fits(w.free()) || !s.apart(w, 0) {
			continue
		}
		at := s.spec.Rack != "" && w.has(s.spec.Rack)
		rest := w.free().Sub(s.spec.Size).CPU()
		if best == nil || at && !near || at == near && (rest < left || rest == left && w.report.ID < best.report.ID) {
			best, left, near = w, rest, at
		}
	}
	return best
}

// hosts returns the workers on which tasks of the step may start, room apart: with
// advice, those it has tickets for. A full fleet has hundreds of steps that wait.
func (p *Planner) hosts(s *step, now time.Duration) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		if s.round.job.queue.Advice == nil {
			for _, w := range p.workers {
				if p.eligible(s, w, now) && !yield(w) {
					return
				}
			}
			return
		}
		for _, t := range s.advice.tickets {
			if t.valid(now) && p.eligible(s, t.on, now) && !yield(t.on) {
				return
			}
		}
	}
}

// byRoom returns all workers, those with the most room at the time of this decision
// first.
func (p *Planner) byRoom() []*worker {
	if p.roomy == nil {
		p.roomy = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int {
			if by := cmp.Compare(b.free().CPU(), a.free().CPU()); by != 0 {
				return by
			}
			return cmp.Compare(a.report.ID, b.report.ID)
		})
	}
	return p.roomy
}

// eligible reports whether tasks of the step could start on the worker with a
// ticket.
func (p *Planner) eligible(s *step, w *worker, now time.Duration) bool {
	if w.report.Service != s.round.job.queue.Service || !w.open(now) || p.closed[w.report.Centre] || !p.used[w.report.ID] {
		return false
	}
	if w.reserve != nil && w.reserve != s && (s.round.job.queue.Priority > 0 || w.reserve.spec.LongRunning) {
		return false
	}
	return s.spec.Label == "" || w.has(s.spec.Label)
}

// apart reports whether one task more, beside extra ones, keeps the step's bound
// on tasks of one worker.
func (s *step) apart(w *worker, extra int) bool {
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

// start books a run and orders it.
func (p *Planner) start(s *step, index, number int, w *worker, now time.Duration) {
	t := &s.tasks[index]
	j := s.round.job
	r := &run{step: s, index: index, number: number, on: w, size: s.spec.Size, phase: sent, began: now}
	t.number = number
	s.number = max(s.number, number)
	t.runs = append(t.runs, r)
	s.todo--
	j.started = true
	p.charge(r)
	p.out = append(p.out, Action{
		Kind: Start, Worker: w.report.ID, Task: s.taskName(index), Number: number, Payload: j.spec.Payload,
		Checkpoint: t.checkpoint, Ticket: s.advice.ticket(w), Queue: j.spec.Queue, Reason: "room",
	})
}

// stop orders the end of a run.
func (p *Planner) stop(r *run) {
	r.asked = true
	p.out = append(p.out, Action{Kind: Stop, Worker: r.on.report.ID, Task: r.step.taskName(r.index), Number: r.number})
}
