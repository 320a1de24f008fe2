package planner

import (
	"slices"
	"time"

	"filberthaven.example/placer"
)

// advice is what is known about the workers that may run a step. The set of eligible
// workers doesn't change, but tickets are short-lived.
type advice struct {
	eligible map[string]bool // whether the worker with the id may run the step; absent if unknown
	tickets  map[string]ticket
	queried  map[string]bool // workers named in requests in flight
	requests int             // requests in flight
}

// ticket lets tasks of a step start on one incarnation of a worker.
type ticket struct {
	text        string
	expiry      time.Duration // end of its validity less ticketMargin
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
	t, held := a.tickets[w.reg.ID]
	return held && t.valid(now)
}

func (a *advice) ticket(w *worker) string { return a.tickets[w.reg.ID].text }

func (a *advice) expire(worker string) { delete(a.tickets, worker) }

const (
	// namedCostFactor is the time that the names of workers add to a request, as a
	// multiple of the request's base time. More names take the advice service longer,
	// fewer make a second request necessary.
	namedCostFactor = 0.6
	// minNamed and maxNamed bound the number of workers in a request; maxNamed is the
	// limit of the advice service.
	minNamed = 8
	maxNamed = 100
)

// requestAdvice requests tickets for the step: for eligible workers that have free
// capacity and no valid ticket, or else for workers that are not known yet.
func (p *Planner) requestAdvice(s *step, c candidate, now time.Duration) {
	cost := s.occurrence.job.queue.Advice
	urgent := c.rank == urgentRank || c.rank == lateUrgentRank
	if cost == nil || now < p.noAdviceBefore[urgent] {
		return
	}
	limit := 1
	if s.waiting >= parallelRequestTasks {
		limit = maxParallelRequests
	}
	for s.advice.requests < limit {
		named, reason := p.renewableTickets(s, now), "tickets have run out"
		if len(named) == 0 && !p.requestsSuffice(s) {
			named, reason = p.unqueried(s, cost, now), "not known which workers are allowed"
		}
		if len(named) == 0 {
			return
		}
		s.advice.requests++
		if s.advice.queried == nil {
			s.advice.queried = map[string]bool{}
		}
		for _, id := range named {
			s.advice.queried[id] = true
		}
		p.actions = append(p.actions, Action{
			Kind: Ask, Step: s.name, Workers: named, Queue: s.occurrence.job.spec.Queue, Urgent: urgent,
			Cost: cost.Base + time.Duration(len(named))*cost.Each, Reason: reason,
		})
	}
}

const (
	// parallelRequestTasks is the number of waiting tasks from which on a step has
	// several requests in flight at once. One request finds some 12 eligible workers,
	// and a gang of 16 needs 6 with free capacity: one request after the other took
	// 7 s, and the first tickets had expired by then.
	parallelRequestTasks = 6
	// maxParallelRequests is the most requests of a step that are in flight at once.
	maxParallelRequests = 3
	// oversupplyFactor is the capacity that a step seeks advice for, as a multiple of
	// what its waiting tasks need, since most of it is allocated already.
	oversupplyFactor = 3
)

// requestsSuffice reports whether requests are in flight that, with the eligible
// workers known, should find enough workers for the waiting tasks.
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
	return eligible*float64(s.tasksPerWorker(p.load.meanWorker)) >= oversupplyFactor*float64(s.waiting)
}

// tasksPerWorker returns how many tasks of the step fit on an empty worker of that
// capacity, at least 1.
func (s *step) tasksPerWorker(capacity placer.Resources) int {
	n := 0
	for free := capacity; n < s.spec.Tasks && s.spec.Size.Fits(free) && (s.spec.MaxPerWorker == 0 || n < s.spec.MaxPerWorker); n++ {
		free = free.Sub(s.spec.Size)
	}
	return max(1, n)
}

// renewableTickets returns the eligible workers with free capacity and without a
// valid ticket. For a gang it returns none unless all of its tasks would fit on the
// eligible workers.
func (p *Planner) renewableTickets(s *step, now time.Duration) []string {
	var named []string
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
			named = append(named, id)
		}
	}
	if s.spec.Gang && fitting < len(s.tasks) {
		return nil
	}
	slices.Sort(named)
	return named[:min(len(named), maxNamed)]
}

// unqueried returns workers that no request for the step has named yet, those with the
// most free CPU first.
func (p *Planner) unqueried(s *step, cost *Advice, now time.Duration) []string {
	limit := maxNamed
	if cost.Each > 0 {
		limit = int(namedCostFactor * float64(cost.Base) / float64(cost.Each))
	}
	limit = min(max(limit, minNamed), maxNamed)
	var named []string
	for _, w := range p.byFreeCPU() {
		if len(named) == limit {
			break
		}
		if _, known := s.advice.eligible[w.reg.ID]; !known && !s.advice.queried[w.reg.ID] && p.usable(s, w, now) && s.spec.Size.Fits(w.reg.Capacity) {
			named = append(named, w.reg.ID)
		}
	}
	return named
}

// adviceBackoff is how long urgent steps, or all others, request no advice after the
// VMs' request queues were full. It is about as long as an urgent request takes.
const adviceBackoff = 15 * time.Millisecond

// Unasked reports that an Ask was not sent because the VMs' request queues are full.
// Steps of its urgency then back off; without that, a backlog that lacks advice would
// ask again in whole at each decision.
func (p *Planner) Unasked(a Action, now time.Duration) {
	p.Advised(Answer{Step: a.Step, Named: a.Workers, Failed: true})
	p.noAdviceBefore[a.Urgent] = now + adviceBackoff
}

// Answer is the outcome of an Ask.
type Answer struct {
	Step    string
	Named   []string          // the workers of the Ask
	Failed  bool              // there is no advice; Tickets and Until are unset
	Tickets map[string]string // by worker id, of those that may run the step
	Until   time.Duration     // when the tickets expire
}

// Advised applies the outcome of an Ask.
func (p *Planner) Advised(a Answer) {
	s, _ := p.stepOf(a.Step + ".0")
	if s == nil {
		return
	}
	s.advice.requests--
	for _, id := range a.Named {
		delete(s.advice.queried, id)
	}
	if a.Failed {
		return
	}
	p.learnEligible(s.occurrence.job.spec.Queue, float64(len(a.Tickets))/float64(max(1, len(a.Named))))
	if s.advice.eligible == nil {
		s.advice.eligible = map[string]bool{}
		s.advice.tickets = map[string]ticket{}
	}
	for _, id := range a.Named {
		text, eligible := a.Tickets[id]
		s.advice.eligible[id] = eligible
		if w := p.workers[id]; eligible && w != nil {
			s.advice.tickets[id] = ticket{text, a.Until - ticketMargin, w, w.reg.Incarnation}
		}
	}
}
