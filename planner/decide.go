package planner

import (
	"cmp"
	"iter"
	"slices"
	"strings"
	"time"
)

// Kind tells what an action does.
type Kind int

// Kinds of action.
const (
	Start         Kind = iota // start a run
	Stop                      // stop a run
	RequestAdvice             // request advice: which workers may run a step
)

// Action is one decision for the caller to carry out.
type Action struct {
	Kind        Kind
	Worker      string
	Task        string
	Number      int // run number
	Payload     string
	Checkpoint  string
	Ticket      string
	Step        string   // of an advice request; repeated in its AdviceResult
	Workers     []string // of an advice request: ids of the workers it names
	Queue       string
	Urgent      bool          // of an advice request
	Overdue     bool          // of an advice request: its step has waited for it for long
	Cost        time.Duration // of an advice request: its expected time at the service
	Reason      string        // for logs
	Incarnation int64         // of a start: of the worker, as known now
	DecidedAt   time.Duration // of a start
	Separate    bool          // of a start: nothing else may start on the worker beside it
	Gang        bool          // of a start: of a member of a gang
	Backfill    bool          // of a start: other than urgent work, on a worker that is reserved for a gang
	Repeated    bool          // of a start: the run was ordered before
	Preempting  bool          // of a stop: it makes room for an urgent step
	CopyOf      int           // of a start: number of the run that it is a copy of; 0 if it is none
}

// Job returns the id of the job of a start or a stop.
func (a Action) Job() string {
	id, _, _ := strings.Cut(a.Task, ".")
	return id
}

// candidate is an occurrence with waiting tasks and its place in the order.
type candidate struct {
	occurrence *occurrence
	rank       int           // lowest first
	slack      time.Duration // order within the rank, lowest first; in most ranks how long it can wait and meet its objective
}

// Ranks of candidates.
const (
	longRunningRank = iota // long-running job; its users are not served until it runs
	urgentRank             // queue of priority 0, can still meet its objective
	lateUrgentRank         // queue of priority 0, can't meet its objective
	timelyRank             // can still meet its objective
	lateRank               // can't meet its objective
	expiredRank            // worth nothing to its caller any more
)

// isUrgent reports whether the occurrence belongs to a queue of priority 0 and is worth
// something to its caller.
func (c candidate) isUrgent() bool { return c.rank == urgentRank || c.rank == lateUrgentRank }

// expiredFactor times the objective is the expected age at completion from which an
// occurrence is worth nothing to its caller.
const expiredFactor = 3

// Decide returns the actions to carry out now. The capacity of each Start is allocated
// from now on. The caller orders a Start once the journal holds it and passes the
// outcome to ReportStart. It passes the outcome of a Stop to ReportStop, and the result
// of an advice request to ReportAdvice. It reports a request that could not be sent to
// ReportAdviceSkipped.
func (p *Planner) Decide(now time.Duration, wall int64) []Action {
	p.expireLeases(now)
	p.decideOpenCrashes(now)
	p.beginDueOccurrences(now, wall)
	p.decisions++
	p.maxFreeCPU = 0
	p.adviceBudget[true], p.adviceBudget[false] = maxAdviceRequests, maxAdviceRequests
	for _, w := range p.fleet {
		w.reservedFor = nil
		if w.share.tasks > 0 {
			w.share = gangShare{}
		}
		w.noteSilence(now)
		w.open = w.acceptsTasks(now) && w.separateRuns == 0 && p.persisted[w.reg.ID] && (len(p.cordoned) == 0 || !p.cordoned[w.reg.Centre])
		if w.listed {
			p.maxFreeCPU = max(p.maxFreeCPU, w.free().CPU())
		}
	}
	p.classifyWorkers(now)
	p.startsLeft, p.startsDeferred = p.startLimit, false
	p.beginPreemption()
	p.keepSeparate(now)
	p.repeatStarts(now)
	candidates := p.candidates(now)
	if p.settings.backfill {
		p.reserveGangs(candidates, now)
	}
	for _, s := range p.waitingSuspects(candidates, now) {
		p.placeSuspects(s.step, s.candidate, now)
	}
	p.placeAll(candidates, now)
	p.startCopies(candidates, now)
	p.requestOverdue(now)
	actions := p.actions
	p.actions = nil
	return actions
}

// SetStartLimit limits the starts of each decision from now on. Suspects of crashes, and the
// members of a gang that has begun to start, do not wait for the next decision.
func (p *Planner) SetStartLimit(n int) { p.startLimit = n }

// StartsDeferred reports whether the limit has left tasks to the next decision that might
// have started.
func (p *Planner) StartsDeferred() bool { return p.startsDeferred }

// maxOrderDelay is how long an unanswered start may still reach a worker after it was
// ordered, or after the worker has restarted. The platform may take 12 s to carry out an order. The new
// incarnation doesn't notice that the order's lease has expired, since the lease ends
// at a time on the clock of the earlier incarnation.
const maxOrderDelay = 15 * time.Second

// expireLeases ends the runs of workers whose leases have certainly expired, other
// than starts without an outcome and unanswered starts within maxOrderDelay of their
// worker's restart.
func (p *Planner) expireLeases(now time.Duration) {
	for _, w := range p.fleet {
		if now < w.leaseExpiry || w.leaseExpiry == 0 {
			continue
		}
		if !w.earlierOwnersFenced && w.listed && !w.heartbeatTried {
			continue // after a slow takeover: the worker's first answer may list ends of these runs
		}
		if w.endsUnread && w.unansweredCalls == 0 {
			continue // the rest of its list may have ends of these runs
		}
		w.earlierOwnersFenced = true
		var expired []*run
		for _, r := range w.runs {
			if r.phase != phaseDecided && now >= r.lateLeaseExpiry && (r.workerRestartedAt == 0 || now-r.workerRestartedAt > maxOrderDelay) {
				expired = append(expired, r)
			}
		}
		switch {
		case w.reg.Draining:
		case w.closedAt != 0:
			p.markCrash(w, withoutAbsent(expired), signClosed, now)
		case !w.listed:
			p.markCrash(w, withoutAbsent(expired), signSilent, now)
		}
		p.loseRuns(expired, LeaseExpired, now)
	}
}

// beginDueOccurrences begins the occurrences of repeating jobs that are due.
func (p *Planner) beginDueOccurrences(now time.Duration, wall int64) {
	for _, j := range p.live {
		for j.finalState == "" && j.spec.Occurrences > 0 && j.next < j.spec.Occurrences && j.spec.dueUnixMs(j.next) <= wall {
			j.beginNext(j.dueTime(j.next, now, wall))
		}
	}
}

// candidates returns the occurrences with waiting tasks in the order in which they
// are served, and removes jobs that are over from p.live. Work that can still be in time goes
// before late work of its class, which would make it late too on a full fleet. Work
// that nobody waits for any more goes last.
func (p *Planner) candidates(now time.Duration) []candidate {
	var list []candidate
	live := p.live[:0]
	for _, j := range p.live {
		if j.isOver() {
			continue
		}
		live = append(live, j)
		if j.finalState != "" {
			continue
		}
		for _, o := range j.occurrences {
			if o.hasWaitingTask() {
				list = append(list, p.rank(o, now))
			}
		}
	}
	clear(p.live[len(live):])
	p.live = live
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.slack, b.slack))
	})
	return list
}

// hasWaitingTask reports whether a task of a ready step waits for a worker.
func (o *occurrence) hasWaitingTask() bool {
	for _, s := range o.steps {
		if s.ready && s.waitingTasks > 0 {
			return true
		}
	}
	return false
}

// rank returns the place of an occurrence in the order. Among long-running jobs the
// oldest goes first, and among expired occurrences the least late.
func (p *Planner) rank(o *occurrence, now time.Duration) candidate {
	j := o.job
	objective, remaining := j.objective(), o.criticalPath()
	age := now - o.due
	slack := objective - age - remaining
	switch {
	case j.isLongRunning():
		return candidate{o, longRunningRank, -age}
	case slack >= 0 && j.queue.Priority == 0:
		return candidate{o, urgentRank, slack}
	case slack >= 0:
		return candidate{o, timelyRank, slack}
	case age+remaining >= expiredFactor*objective:
		return candidate{o, expiredRank, -slack}
	case j.queue.Priority == 0:
		return candidate{o, lateUrgentRank, slack}
	default:
		return candidate{o, lateRank, slack}
	}
}

// objective returns how long after it is due an occurrence of the job should be done.
// It computes j.criticalPath if that is not known yet.
func (j *job) objective() time.Duration {
	if j.criticalPath == 0 {
		j.criticalPath = newOccurrence(j, 0, 0).criticalPath()
	}
	return time.Duration(float64(j.criticalPath)*max(1, j.queue.Stretch)) + j.queue.Objective
}

// place starts waiting tasks of a step. At the first task that fits on no worker, it
// requests advice, reserves workers for a long-running step and stops runs for an urgent one.
func (p *Planner) place(s *step, c candidate, now time.Duration) {
	if s.spec.Gang {
		if !s.hasSuspect() { // placeSuspects starts it otherwise
			p.placeGang(s, c, now)
		}
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.runs) > 0 || t.crashes.suspect {
			continue
		}
		if p.startsLeft <= 0 {
			p.startsDeferred = true
			return
		}
		if !s.occurrence.job.team.allows(s.spec.Size, 1) {
			return
		}
		w := p.bestFit(s, c, now)
		if w == nil {
			p.requestAdvice(s, c, now)
			if s.spec.LongRunning {
				p.reserve(s, now)
			}
			p.preempt(s, c, now)
			return
		}
		p.start(s, i, t.lastRun+1, w, false, now)
	}
}

// bestFit returns the worker on which one task of the step leaves the least CPU free,
// so that large gaps stay for large tasks. Workers that no reservation of a gang holds and that the
// step doesn't avoid go first, so that urgent steps delay gangs only where there is no other room; of
// these, workers in the step's preferred rack, and then those whose speed it prefers. It returns nil
// if the task fits on no usable worker.
func (p *Planner) bestFit(s *step, c candidate, now time.Duration) *worker {
	var best *worker
	var bestLeft int64
	bestInRack, bestLast, bestPlace := false, false, 0
	if s.spec.Size.CPU() > p.maxFreeCPU {
		return nil
	}
	preference := p.preferenceOf(s, c)
	for w := range p.usableWorkers(s, now) {
		if !s.spec.Size.Fits(w.free()) || !s.belowMaxPerWorker(w, 0) {
			continue
		}
		inRack := s.spec.Rack != "" && w.hasLabel(s.spec.Rack)
		place := preference.place(w)
		left := w.free().Sub(s.spec.Size).CPU()
		last := w.share.tasks > 0 || s.avoids(w)
		if best == nil || !last && bestLast || last == bestLast && (inRack && !bestInRack || inRack == bestInRack && (place < bestPlace || place == bestPlace && (left < bestLeft || left == bestLeft && w.reg.ID < best.reg.ID))) {
			best, bestLeft, bestInRack, bestLast, bestPlace = w, left, inRack, last, place
		}
	}
	return best
}

// usableWorkers iterates over the workers on which tasks of the step may start,
// whatever their free capacity. If the queue needs advice, these are the workers with
// a valid ticket. It builds no list, since a full fleet has hundreds of waiting steps.
func (p *Planner) usableWorkers(s *step, now time.Duration) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		if s.occurrence.job.queue.AdviceCost == nil {
			for _, w := range p.fleet {
				if s.mayUse(w) && !yield(w) {
					return
				}
			}
			return
		}
		for _, e := range s.advice.eligible {
			if e.hasTicket(p.arrival(now)) && s.mayUse(e.worker) && !yield(e.worker) {
				return
			}
		}
	}
}

// mayUse reports whether tasks of the step may start on the worker in the current
// decision, whatever its free capacity and the advice. A worker reserved for another
// step takes only urgent steps and backfill, and none if the other step is long-running or
// the worker is kept for a suspect.
func (s *step) mayUse(w *worker) bool {
	if !w.open || w.reg.Service != s.occurrence.job.queue.Service {
		return false
	}
	if w.reservedFor != nil && w.reservedFor != s {
		if w.reservedFor.spec.LongRunning || w.keptFor != nil || s.occurrence.job.queue.Priority > 0 && !s.mayBackfill(w) {
			return false
		}
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

// start allocates a run and adds its Start to the actions. Beside a separate run no others
// start.
func (p *Planner) start(s *step, index, number int, w *worker, separate bool, now time.Duration) {
	t := &s.tasks[index]
	j := s.occurrence.job
	r := &run{step: s, taskIndex: index, number: number, worker: w, size: s.spec.Size, phase: phaseDecided, decidedAt: now, startedAt: now, incarnation: w.reg.Incarnation}
	ticket := s.advice.ticketText(w)
	r.ticket, r.resumed = ticket != "", t.checkpoint != ""
	t.lastRun = number
	s.lastRun = max(s.lastRun, number)
	if len(t.runs) == 0 {
		s.waitingTasks--
	}
	t.runs = append(t.runs, r)
	s.startedAt = now
	s.advice.lackingSince = 0
	p.startsLeft--
	j.ordered = true
	p.allocate(r)
	if w.reservedFor == s {
		w.reservedSince, w.reservationPause = now, 0
	}
	reason, backfill := w.startReason(), w.reservedFor != nil && w.reservedFor != s && j.queue.Priority > 0
	if backfill {
		reason = "backfill"
	}
	if separate {
		if w.separateRuns == 0 && w.keptFor == nil {
			p.separateWorkers++
		}
		r.makeSeparate()
		w.open, w.keptFor = false, nil
		reason = "suspect of a crash, alone"
	}
	p.actions = append(p.actions, Action{
		Kind: Start, Worker: w.reg.ID, Task: s.taskName(index), Number: number, Payload: j.spec.Payload,
		Checkpoint: t.checkpoint, Ticket: ticket, Queue: j.spec.Queue, Reason: reason,
		Incarnation: w.reg.Incarnation, DecidedAt: now, Separate: separate, Gang: s.spec.Gang, Backfill: backfill,
	})
}

// stop adds a Stop of the run to the actions.
func (p *Planner) stop(r *run) {
	r.stopOrdered = true
	p.actions = append(p.actions, Action{Kind: Stop, Worker: r.worker.reg.ID, Task: r.step.taskName(r.taskIndex), Number: r.number})
}
