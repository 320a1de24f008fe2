package planner

import (
	"slices"
	"time"

	"filberthaven.example/placer"
)

// advice is what a step has learned from the advice service, and its requests in
// flight. Whether a worker is eligible doesn't change, but tickets are short-lived.
type advice struct {
	eligible map[string]bool   // by worker id: whether it may run the step; absent if unknown
	tickets  map[string]ticket // by worker id; some have expired
	queried  map[string]bool   // ids of the workers in requests in flight
	requests int               // number of requests in flight
}

// ticket lets tasks of a step start on one incarnation of a worker.
type ticket struct {
	text        string
	expiry      time.Duration // ticketMargin before the end of its validity
	worker      *worker
	incarnation int64
}

// valid reports whether the ticket still lets tasks start.
func (t ticket) valid(now time.Duration) bool {
	return now < t.expiry && t.incarnation == t.worker.reg.Incarnation
}

// ticketMargin is how long before its end a ticket counts as expired, since the order
// takes time to reach the worker.
const ticketMargin = 150 * time.Millisecond

func (a *advice) hasTicket(w *worker, now time.Duration) bool {
	t, found := a.tickets[w.reg.ID]
	return found && t.valid(now)
}

func (a *advice) ticketText(w *worker) string { return a.tickets[w.reg.ID].text }

func (a *advice) dropTicket(worker string) { delete(a.tickets, worker) }

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
	cost := s.occurrence.job.queue.AdviceCost
	urgent := c.rank == urgentRank || c.rank == lateUrgentRank
	if cost == nil || now < p.noAdviceBefore[urgent] {
		return
	}
	limit := 1
	if s.waitingTasks >= parallelRequestTasks {
		limit = maxParallelRequests
	}
	for s.advice.requests < limit {
		ids, reason := p.renewableTickets(s, now), "tickets have run out"
		if len(ids) == 0 && !p.requestsSuffice(s) {
			ids, reason = p.unqueried(s, cost, now), "not known which workers are allowed"
		}
		if len(ids) == 0 {
			return
		}
		s.advice.requests++
		if s.advice.queried == nil {
			s.advice.queried = map[string]bool{}
		}
		for _, id := range ids {
			s.advice.queried[id] = true
		}
		p.actions = append(p.actions, Action{
			Kind: RequestAdvice, Step: s.name, Workers: ids, Queue: s.occurrence.job.spec.Queue, Urgent: urgent,
			Cost: cost.Base + time.Duration(len(ids))*cost.PerWorker, Reason: reason,
		})
	}
}

const (
	// parallelRequestTasks is the least number of waiting tasks for which a step has
	// several requests in flight at once. One request finds some 12 eligible workers,
	// and a gang of 16 needs 6 with free capacity. One request after the other took
	// 7 s, and the first tickets had expired by then.
	parallelRequestTasks = 6
	// maxParallelRequests limits the requests of such a step in flight.
	maxParallelRequests = 3
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
	for id, mayRun := range s.advice.eligible {
		if mayRun && p.workers[id] != nil && p.workers[id].listed {
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

// renewableTickets returns the ids of the eligible workers with free capacity and
// without a valid ticket. For a gang it returns none unless all of its tasks fit on
// eligible workers.
func (p *Planner) renewableTickets(s *step, now time.Duration) []string {
	var ids []string
	fitting := 0
	for id, eligible := range s.advice.eligible {
		w := p.workers[id]
		if !eligible || w == nil || s.advice.queried[id] || !p.usable(s, w, now) {
			continue
		}
		n := s.fitCount(w)
		if n == 0 {
			continue
		}
		fitting += n
		if !s.advice.hasTicket(w, now) {
			ids = append(ids, id)
		}
	}
	if s.spec.Gang && fitting < len(s.tasks) {
		return nil
	}
	slices.Sort(ids)
	return ids[:min(len(ids), maxQueried)]
}

// unqueried returns the ids of workers about which the step has no advice and no
// request in flight, those with the most free CPU first.
func (p *Planner) unqueried(s *step, cost *AdviceCost, now time.Duration) []string {
	limit := maxQueried
	if cost.PerWorker > 0 {
		limit = int(workerCostFactor * float64(cost.Base) / float64(cost.PerWorker))
	}
	limit = min(max(limit, minQueried), maxQueried)
	var ids []string
	for _, w := range p.byFreeCPU() {
		if len(ids) == limit {
			break
		}
		if _, known := s.advice.eligible[w.reg.ID]; !known && !s.advice.queried[w.reg.ID] && p.usable(s, w, now) && s.spec.Size.Fits(w.reg.Capacity) {
			ids = append(ids, w.reg.ID)
		}
	}
	return ids
}

// adviceBackoff is how long steps of the same urgency request no advice after a request
// that no VM could take. It is about as long as an urgent request takes.
const adviceBackoff = 15 * time.Millisecond

// ReportAdviceSkipped reports that the advice request a was not sent because no VM could
// take it. Steps of the same urgency then back off. Without that, a backlog without
// advice would repeat all its requests at each decision.
func (p *Planner) ReportAdviceSkipped(a Action, now time.Duration) {
	p.ReportAdvice(AdviceResult{Step: a.Step, Workers: a.Workers, Failed: true})
	p.noAdviceBefore[a.Urgent] = now + adviceBackoff
}

// AdviceResult is the result of an advice request.
type AdviceResult struct {
	Step    string
	Workers []string          // ids of the workers in the request, from Action.Workers
	Failed  bool              // the request failed; Tickets and Until are unset
	Tickets map[string]string // by worker id, for those that may run the step
	Until   time.Duration     // when the tickets expire
}

// ReportAdvice applies the result of an advice request.
func (p *Planner) ReportAdvice(a AdviceResult) {
	s, _ := p.stepOf(a.Step + ".0")
	if s == nil {
		return
	}
	s.advice.requests--
	for _, id := range a.Workers {
		delete(s.advice.queried, id)
	}
	if a.Failed {
		return
	}
	p.learnEligible(s.occurrence.job.spec.Queue, float64(len(a.Tickets))/float64(max(1, len(a.Workers))))
	if s.advice.eligible == nil {
		s.advice.eligible = map[string]bool{}
		s.advice.tickets = map[string]ticket{}
	}
	for _, id := range a.Workers {
		text, eligible := a.Tickets[id]
		s.advice.eligible[id] = eligible
		if w := p.workers[id]; eligible && w != nil {
			s.advice.tickets[id] = ticket{text, a.Until - ticketMargin, w, w.reg.Incarnation}
		}
	}
}
