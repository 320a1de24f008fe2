package planner

import (
	"cmp"
	"slices"
	"time"

	"filberthaven.example/placer"
)

// advice is what a step has learned from the advice service, and its requests in
// flight. Whether a worker is eligible doesn't change, but tickets are short-lived.
type advice struct {
	known    map[*worker]*eligibleWorker // workers of which it is known whether they may run the step; nil if not
	eligible []*eligibleWorker           // those of known that may run it, each once
	queried  map[*worker]bool            // workers in requests in flight
	requests int                         // number of requests in flight
	// lackingSince is when the step first lacked advice since the last answer, 0 if it doesn't.
	lackingSince time.Duration
	overdueIn    uint64 // newest decision in which it was overdue
}

// eligibleWorker is a worker that may run a step, with the newest ticket, which lets tasks
// of the step start on one incarnation of it.
type eligibleWorker struct {
	worker      *worker
	ticket      string
	expiry      time.Duration // ticketMargin before the end of the ticket's validity; 0 without a ticket
	incarnation int64         // of the worker that the ticket is for
}

// hasTicket reports whether the ticket still lets tasks start on the worker.
func (e *eligibleWorker) hasTicket(now time.Duration) bool {
	return now < e.expiry && e.incarnation == e.worker.reg.Incarnation
}

// knows reports whether it is known if the worker may run the step.
func (a *advice) knows(w *worker) bool {
	_, known := a.known[w]
	return known
}

// forgetAdvice drops what steps know of workers that are gone, or have restarted and may be
// of another kind now. Requests for advice go to workers of which nothing is known.
func (p *Planner) forgetAdvice(gone ...*worker) {
	for _, j := range p.live {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				s.advice.forget(gone)
			}
		}
	}
}

func (a *advice) forget(gone []*worker) {
	wasEligible := false
	for _, w := range gone {
		wasEligible = wasEligible || a.known[w] != nil
		delete(a.known, w)
		delete(a.queried, w)
	}
	if wasEligible {
		a.eligible = slices.DeleteFunc(a.eligible, func(e *eligibleWorker) bool { return slices.Contains(gone, e.worker) })
	}
}

// ticketMargin is how long before its end a ticket counts as expired, since the order
// takes time to reach the worker.
const ticketMargin = 150 * time.Millisecond

// ticketText returns the newest ticket for the worker, empty if there is none.
func (a *advice) ticketText(w *worker) string {
	if e := a.known[w]; e != nil {
		return e.ticket
	}
	return ""
}

// dropTicket forgets the ticket for the worker.
func (a *advice) dropTicket(w *worker) {
	if e := a.known[w]; e != nil {
		e.ticket, e.expiry = "", 0
	}
}

const (
	// workerCostFactor sets how many workers a request names: so many that they add this
	// multiple of the request's base time. With more workers the request takes longer,
	// and with fewer a second request is needed.
	workerCostFactor = 0.6
	// minQueried and maxQueried bound that number. maxQueried is the limit of the advice
	// service.
	minQueried = 8
	maxQueried = 100
)

// requestAdvice adds requests for tickets to the actions: for eligible workers that
// have free capacity and no valid ticket or, if there are none, for workers whose
// eligibility is unknown.
func (p *Planner) requestAdvice(s *step, c candidate, now time.Duration) {
	p.requestAdviceFor(s, c, s.fitCount, now)
}

// requestAdviceFor is requestAdvice for tasks of which each worker takes as many as room
// returns.
func (p *Planner) requestAdviceFor(s *step, c candidate, room func(*worker) int, now time.Duration) {
	cost := s.occurrence.job.queue.AdviceCost
	urgent := c.isUrgent()
	if cost == nil {
		return
	}
	p.observeLack(s, urgent, room, now)
	if now < p.noAdviceBefore[urgent] {
		return
	}
	limit := 1
	if s.waitingTasks >= parallelRequestTasks {
		limit = maxParallelRequests
	}
	for s.advice.requests < limit && p.adviceBudget[urgent] > 0 {
		a, found := p.newRequest(s, urgent, room, now)
		if !found {
			return
		}
		p.adviceBudget[urgent]--
		if !urgent {
			p.overdueCredit += a.Cost / overdueRatio
		}
		p.actions = append(p.actions, a)
	}
}

// newRequest returns a request for advice for a step, which then counts as in flight. There is
// none if the step knows enough.
func (p *Planner) newRequest(s *step, urgent bool, room func(*worker) int, now time.Duration) (request Action, found bool) {
	cost := s.occurrence.job.queue.AdviceCost
	workers, reason := s.renewableTickets(room, p.arrival(now)), "tickets have run out"
	if len(workers) == 0 && !p.requestsSuffice(s) {
		workers, reason = p.unqueried(s, cost, urgent, room)
		if !s.spec.Gang && s.hasWaitingSuspect() && s.knowsEligible() && !slices.ContainsFunc(workers, func(w *worker) bool { return room(w) > 0 }) {
			workers = nil // a suspect knows a worker to be emptied for it, and could not use these
		}
	}
	if len(workers) == 0 {
		return Action{}, false
	}
	s.advice.requests++
	p.spreader.inFlight[urgent]++
	if s.advice.queried == nil {
		s.advice.queried = map[*worker]bool{}
	}
	ids := make([]string, 0, len(workers))
	for _, w := range workers {
		s.advice.queried[w] = true
		ids = append(ids, w.reg.ID)
	}
	return Action{
		Kind: RequestAdvice, Step: s.name, Workers: ids, Queue: s.occurrence.job.spec.Queue, Urgent: urgent,
		Cost: cost.duration(len(ids)), Reason: reason,
	}, true
}

const (
	// parallelRequestTasks is the least number of waiting tasks for which a step has
	// several requests in flight at once. One request finds some 12 eligible workers,
	// and a gang of 16 needs 6 with free capacity. One request after the other took
	// 7 s, and the first tickets had expired by then.
	parallelRequestTasks = 6
	// maxParallelRequests limits the requests of such a step in flight.
	maxParallelRequests = 3
	// maxAdviceRequests is the number of requests for urgent steps, and of those for
	// others, in one decision. More than some tens at once find no free entry VM. Without
	// it a backlog of 500 steps makes and takes back 500 requests at each decision.
	maxAdviceRequests = 48
	// oversupplyFactor is the capacity of the workers that a step looks for, as a multiple
	// of what its waiting tasks need. Most of that capacity is allocated already.
	oversupplyFactor = 3
)

// requestsSuffice reports whether the workers known to be eligible, plus those that
// the requests in flight are expected to find, are enough for the waiting tasks. It
// is false without a request in flight.
func (p *Planner) requestsSuffice(s *step) bool {
	if s.advice.requests == 0 {
		return false
	}
	eligible := float64(len(s.advice.queried)) * p.eligibleFraction(s.occurrence.job.spec.Queue)
	for _, e := range s.advice.eligible {
		if e.worker.listed {
			eligible++
		}
	}
	return eligible*float64(s.tasksPerWorker(p.load.meanWorker)) >= oversupplyFactor*float64(s.waitingTasks)
}

// tasksPerWorker returns how many tasks of the step fit on an empty worker with the
// given capacity, at least 1.
func (s *step) tasksPerWorker(capacity placer.Resources) int {
	n := 0
	for free := capacity; n < s.spec.Tasks && s.spec.Size.Fits(free) && (s.spec.MaxPerWorker == 0 || n < s.spec.MaxPerWorker); n++ {
		free = free.Sub(s.spec.Size)
	}
	return max(1, n)
}

// renewableTickets returns the eligible workers with free capacity and without a ticket that is
// valid at that time, sorted by id. For a gang it returns none unless all of its tasks fit on
// eligible workers.
func (s *step) renewableTickets(room func(*worker) int, now time.Duration) []*worker {
	var renewable []*worker
	fitting := 0
	for _, e := range s.advice.eligible {
		w := e.worker
		if !s.mayUse(w) || s.advice.queried[w] {
			continue
		}
		n := room(w)
		if n == 0 {
			continue
		}
		fitting += n
		if !e.hasTicket(now) {
			renewable = append(renewable, w)
		}
	}
	if s.spec.Gang && fitting < len(s.tasks) {
		return nil
	}
	slices.SortFunc(renewable, func(a, b *worker) int { return cmp.Compare(a.reg.ID, b.reg.ID) })
	return renewable[:min(len(renewable), maxQueried)]
}

// knowsEligible reports whether the step knows a listed worker that may run it.
func (s *step) knowsEligible() bool {
	return slices.ContainsFunc(s.advice.eligible, func(e *eligibleWorker) bool { return e.worker.listed })
}

// unqueried returns workers about which the step has no advice and no request in
// flight, those with the most free CPU first. Urgent steps name fast workers with room before
// these.
func (p *Planner) unqueried(s *step, cost *AdviceCost, urgent bool, room func(*worker) int) (found []*worker, reason string) {
	reason = "not known which workers are allowed"
	limit := maxQueried
	if cost.PerWorker > 0 {
		limit = int(workerCostFactor * float64(cost.Base) / float64(cost.PerWorker))
	}
	limit = min(max(limit, minQueried), maxQueried)
	workers := p.byFreeCPU.sorted(p.decisions)
	if len(s.advice.known) >= len(workers) {
		return nil, reason
	}
	if found = p.spreadQuery(s, limit, urgent, room); found != nil {
		return found, reason + "; spread over workers with room"
	}
	if urgent && p.isUneven() {
		found = s.appendUnqueried(found, limit, p.bySpeed(), func(w *worker) bool { return room(w) > 0 })
		found = s.appendUnqueried(found, limit, workers, func(w *worker) bool { return !slices.Contains(found, w) })
	} else {
		found = s.appendUnqueried(found, limit, workers, func(*worker) bool { return true })
	}
	p.spreader.next = len(found) // the first spread request names others
	return found, reason
}

// appendUnqueried appends workers that match and that unqueried may return, in their order and up
// to the limit.
func (s *step) appendUnqueried(found []*worker, limit int, workers []*worker, match func(*worker) bool) []*worker {
	for _, w := range workers {
		if len(found) >= limit {
			break
		}
		if s.mayUse(w) && s.spec.Size.Fits(w.reg.Capacity) && !s.advice.knows(w) && !s.advice.queried[w] && match(w) {
			found = append(found, w)
		}
	}
	return found
}

// adviceBackoff is how long steps of the same urgency request no advice after a request
// that no VM could take. It is about as long as an urgent request takes.
const adviceBackoff = 15 * time.Millisecond

// ReportAdviceSkipped reports that the advice request a was not sent because no VM could
// take it. Steps of the same urgency then back off. Without that, a backlog without
// advice would repeat all its requests at each decision.
func (p *Planner) ReportAdviceSkipped(a Action, now time.Duration) {
	p.endRequest(a.Step, a.Workers, a.Urgent)
	p.noAdviceBefore[a.Urgent] = now + adviceBackoff
	switch {
	case a.Overdue:
		p.overdueCredit += a.Cost
	case !a.Urgent:
		p.overdueCredit -= a.Cost / overdueRatio
	}
}

// AdviceResult is the result of an advice request.
type AdviceResult struct {
	Step    string
	Workers []string          // ids of the workers in the request, from Action.Workers
	Urgent  bool              // from Action.Urgent
	Failed  bool              // the request failed; Tickets and Until are unset
	Tickets map[string]string // by worker id, for those that may run the step
	Until   time.Duration     // when the tickets expire
}

// endRequest notes that a request for advice about these workers is over, and returns its
// step, nil if that is not known any more.
func (p *Planner) endRequest(name string, workers []string, urgent bool) *step {
	p.spreader.inFlight[urgent]--
	s, _ := p.stepOf(name + ".0")
	if s == nil {
		return nil
	}
	s.advice.requests--
	for _, id := range workers {
		delete(s.advice.queried, p.workers[id])
	}
	return s
}

// ReportAdvice applies the result of an advice request.
func (p *Planner) ReportAdvice(a AdviceResult) {
	s := p.endRequest(a.Step, a.Workers, a.Urgent)
	if s == nil {
		return
	}
	s.advice.lackingSince = 0
	if a.Failed {
		return
	}
	p.learnEligible(s.occurrence.job.spec.Queue, float64(len(a.Tickets))/float64(max(1, len(a.Workers))))
	if s.advice.known == nil {
		s.advice.known = map[*worker]*eligibleWorker{}
	}
	for _, id := range a.Workers {
		w := p.workers[id]
		if w == nil {
			continue
		}
		text, eligible := a.Tickets[id]
		e := s.advice.known[w]
		if eligible && e == nil {
			e = &eligibleWorker{worker: w}
			s.advice.eligible = append(s.advice.eligible, e)
		}
		s.advice.known[w] = e
		if eligible {
			e.ticket, e.expiry, e.incarnation = text, a.Until-ticketMargin, w.reg.Incarnation
		}
	}
}
