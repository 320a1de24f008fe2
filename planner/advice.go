package planner

import (
	"slices"
	"time"

	"filberthaven.example/placer"
)

// advice is what is known of the workers that may run a step. The set does not
// change, but tickets are short-lived.
type advice struct {
	good    map[string]bool // worker by id: may run the step or not; absent means unknown
	tickets map[string]ticket
	asked   map[string]bool // workers named in calls that are out
	calls   int             // calls that are out
}

// ticket lets tasks of a step start on one life of a worker.
type ticket struct {
	text  string
	until time.Duration
	on    *worker
	born  int64 // of the life that the ticket is for
}

// valid reports whether the ticket still lets tasks start.
func (t ticket) valid(now time.Duration) bool {
	return now < t.until && t.born == t.on.report.Incarnation
}

// ticketMargin is kept to the end of a ticket's life, for the order's way.
const ticketMargin = 150 * time.Millisecond

func (a *advice) holds(w *worker, now time.Duration) bool {
	t, held := a.tickets[w.report.ID]
	return held && t.valid(now)
}

func (a *advice) ticket(w *worker) string { return a.tickets[w.report.ID].text }

func (a *advice) expire(worker string) { delete(a.tickets, worker) }

const (
	// namedCost is the time spent on naming workers in a call, as a multiple of
	// the call's base: more names cost time of the adviser, fewer cost a second
	// call.
	namedCost = 0.6
	// leastNamed and mostNamed bound the workers of a call; mostNamed is the
	// adviser's own limit.
	leastNamed = 8
	mostNamed  = 100
)

// seek asks which workers may run the step: it renews the tickets of good workers
// that have room, else it asks about workers that are not known yet.
func (p *Planner) seek(s *step, c candidate, now time.Duration) {
	price := s.round.job.queue.Advice
	urgent := c.rank == urgentRank || c.rank == lateUrgentRank
	if price == nil || now < p.rests[urgent] {
		return
	}
	limit := 1
	if s.todo >= wideStep {
		limit = wideCalls
	}
	for s.advice.calls < limit {
		named, reason := p.renewable(s, now), "tickets have run out"
		if len(named) == 0 && !p.promised(s) {
			named, reason = p.unknown(s, price, now), "not known which workers are allowed"
		}
		if len(named) == 0 {
			return
		}
		s.advice.calls++
		if s.advice.asked == nil {
			s.advice.asked = map[string]bool{}
		}
		for _, id := range named {
			s.advice.asked[id] = true
		}
		p.out = append(p.out, Action{
			Kind: Ask, Step: s.name, Workers: named, Queue: s.round.job.spec.Queue, Urgent: urgent,
			Cost: price.Base + time.Duration(len(named))*price.Each, Reason: reason,
		})
	}
}

const (
	// wideStep is the number of waiting tasks from which on a step has several calls
	// out at once. One call finds some 12 workers of which a gang of 16 needs 6 with
	// room; call after call took 7 s, and the tickets of the first had run out.
	wideStep = 6
	// wideCalls is the most calls of a step that are out at once.
	wideCalls = 3
	// choice is the room that a step asks for as a multiple of its own, as most of
	// it is taken.
	choice = 3
)

// promised reports whether calls are out that should find enough workers.
func (p *Planner) promised(s *step) bool {
	if s.advice.calls == 0 {
		return false
	}
	good := float64(len(s.advice.asked)) * p.goodPart(s.round.job.spec.Queue)
	for id, is := range s.advice.good {
		if is && p.workers[id] != nil && p.workers[id].listed {
			good++
		}
	}
	return good*float64(s.perWorker(p.load.worker)) >= choice*float64(s.todo)
}

// perWorker returns how many tasks of the step an empty worker of that size holds,
// at least 1.
func (s *step) perWorker(capacity placer.Resources) int {
	n := 0
	for free := capacity; n < s.spec.Tasks && s.spec.Size.Fits(free) && (s.spec.MaxPerWorker == 0 || n < s.spec.MaxPerWorker); n++ {
		free = free.Sub(s.spec.Size)
	}
	return max(1, n)
}

// renewable returns the good workers without a ticket, if the step's tasks would
// find room with them.
func (p *Planner) renewable(s *step, now time.Duration) []string {
	var named []string
	room := 0
	for id, good := range s.advice.good {
		w := p.workers[id]
		if !good || w == nil || s.advice.asked[id] || !p.eligible(s, w, now) {
			continue
		}
		n := s.fill(w)
		if n == 0 {
			continue
		}
		room += n
		if !s.advice.holds(w, now) {
			named = append(named, id)
		}
	}
	if s.spec.Gang && room < len(s.tasks) {
		return nil
	}
	slices.Sort(named)
	return named[:min(len(named), mostNamed)]
}

// unknown returns workers that have not been asked about, those with the most
// room first.
func (p *Planner) unknown(s *step, price *Advice, now time.Duration) []string {
	limit := mostNamed
	if price.Each > 0 {
		limit = int(namedCost * float64(price.Base) / float64(price.Each))
	}
	limit = min(max(limit, leastNamed), mostNamed)
	var named []string
	for _, w := range p.byRoom() {
		if len(named) == limit {
			break
		}
		if _, known := s.advice.good[w.report.ID]; !known && !s.advice.asked[w.report.ID] && p.eligible(s, w, now) && s.spec.Size.Fits(w.report.Capacity) {
			named = append(named, w.report.ID)
		}
	}
	return named
}

// adviceRest is how long steps of a kind ask for no advice after the VMs' queues of
// calls were full: about as long as an urgent call takes.
const adviceRest = 15 * time.Millisecond

// Unasked notes that an Ask was not made as the VMs' queues of calls are full. It
// answers a backlog that lacks advice: without rest the whole of it would ask anew
// at each decision.
func (p *Planner) Unasked(a Action, now time.Duration) {
	p.Advised(Answer{Step: a.Step, Named: a.Workers, Failed: true})
	p.rests[a.Urgent] = now + adviceRest
}

// Answer is what came of an Ask.
type Answer struct {
	Step    string
	Named   []string          // as in the Ask
	Failed  bool              // nothing is known of them
	Tickets map[string]string // of the workers that may run the step
	Until   time.Duration     // end of the tickets' life
}

// Advised takes over the answer to an Ask.
func (p *Planner) Advised(a Answer) {
	s, _ := p.stepOf(a.Step + ".0")
	if s == nil {
		return
	}
	s.advice.calls--
	for _, id := range a.Named {
		delete(s.advice.asked, id)
	}
	if a.Failed {
		return
	}
	p.learnGood(s.round.job.spec.Queue, float64(len(a.Tickets))/float64(max(1, len(a.Named))))
	if s.advice.good == nil {
		s.advice.good = map[string]bool{}
		s.advice.tickets = map[string]ticket{}
	}
	for _, id := range a.Named {
		text, good := a.Tickets[id]
		s.advice.good[id] = good
		if w := p.workers[id]; good && w != nil {
			s.advice.tickets[id] = ticket{text, a.Until - ticketMargin, w, w.report.Incarnation}
		}
	}
}
