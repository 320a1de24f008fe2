package planner

import "time"

const (
	// otherShare is the part of the starts that other than urgent work gets while both wait for
	// the owner. By rank alone urgent work would take all of them, also when it is late already.
	otherShare = 0.5
	// maxOtherCredit bounds how many starts of other work go first at once. A gang may exceed it.
	maxOtherCredit = 100
	// urgentRateInterval is the time between two updates of ordering.urgentRate.
	urgentRateInterval = 200 * time.Millisecond
	// maxTicketDelay is the longest time for which a ticket has to be valid beyond ticketMargin.
	// Tickets are valid for some seconds, and those of a gang are requested one after the other.
	maxTicketDelay = time.Second
)

// ordering describes how starts wait for the owner, which orders each of them by a call. An
// owner that can order fewer starts than work arrives is what work waits for, however much
// room the workers have.
type ordering struct {
	rate         float64       // starts a second that the owner can order; 0 if orders are not the limit
	pending      int           // starts that are decided and have no outcome
	delay        time.Duration // from the decision of a start until it arrives at the worker, as observed last
	credit       float64       // starts of other than urgent work that go first, at most maxOtherCredit; below 0 after a gang
	urgentRate   float64       // starts of urgent work a second, as a moving average over about a second
	urgentStarts int           // since measuredAt
	measuredAt   time.Duration // when urgentRate was last updated
}

// SetOrderRate sets how many starts a second the owner can order, 0 if orders are not the
// limit, and how many starts are decided and have no outcome.
func (p *Planner) SetOrderRate(rate float64, pending int) {
	p.ordering.rate, p.ordering.pending = rate, pending
}

// SetOrderDelay sets how long starts have recently taken from their decision until they
// arrived at the worker.
func (p *Planner) SetOrderDelay(d time.Duration) { p.ordering.delay = d }

// arrival returns when a start that is decided now may arrive at its worker, less ticketMargin.
// Its ticket has to be valid then: a worker that refuses a member ends the try of a whole gang.
func (p *Planner) arrival(now time.Duration) time.Duration {
	return now + min(max(0, p.ordering.delay-ticketMargin), maxTicketDelay)
}

// observeStarts updates the rate of urgent starts.
func (o *ordering) observeStarts(now time.Duration) {
	age := now - o.measuredAt
	if age < urgentRateInterval {
		return
	}
	measured := float64(o.urgentStarts) / age.Seconds()
	o.urgentRate += (measured - o.urgentRate) * min(1, age.Seconds())
	o.urgentStarts, o.measuredAt = 0, now
}

// orderWait estimates how long a job waits until the starts ahead of it are ordered. It is 0 if
// orders are not the limit.
func (p *Planner) orderWait(j *job) time.Duration {
	if p.ordering.rate <= 0 {
		return 0
	}
	urgent, latestStart, ahead := j.queue.Priority == 0, j.latestStart(), 0
	for _, d := range p.load.waiting {
		if d.urgent == urgent && d.latestStart <= latestStart {
			ahead += d.starts
		}
	}
	rate := p.ordering.rate * (1 - otherShare)
	if !urgent {
		rate = max(p.ordering.rate*otherShare, p.ordering.rate-p.ordering.urgentRate)
	}
	seconds := float64(p.ordering.pending)/p.ordering.rate + float64(ahead)/rate
	return time.Duration(seconds * float64(time.Second))
}

// placeAll starts waiting tasks of the candidates in their order. While starts wait for the
// owner, candidates of other than urgent queues go first as far as their share allows.
func (p *Planner) placeAll(candidates []candidate, now time.Duration) {
	o := &p.ordering
	o.observeStarts(now)
	var placed map[*occurrence]bool // in the first round
	if o.rate <= 0 {
		o.credit = 0
	}
	for _, c := range candidates {
		if o.credit <= 0 || p.startsLeft <= 0 {
			break
		}
		if c.rank != timelyRank && c.rank != lateRank {
			continue
		}
		if placed == nil {
			placed = map[*occurrence]bool{}
		}
		o.credit -= float64(p.placeCandidate(c, now))
		placed[c.occurrence] = true
	}
	for _, c := range candidates {
		if placed[c.occurrence] {
			continue
		}
		starts := p.placeCandidate(c, now)
		if c.occurrence.job.queue.Priority == 0 {
			o.urgentStarts += starts
			o.credit = min(o.credit+float64(starts)*otherShare/(1-otherShare), maxOtherCredit)
		}
	}
}

// placeCandidate starts waiting tasks of an occurrence, and returns how many.
func (p *Planner) placeCandidate(c candidate, now time.Duration) int {
	if c.occurrence.job.holdsBack() {
		return 0
	}
	before := p.startsLeft
	for _, s := range c.occurrence.steps {
		if p.startsLeft <= 0 {
			p.startsDeferred = true
			break
		}
		if s.ready && s.waitingTasks > 0 {
			p.place(s, c, now)
		}
	}
	return before - p.startsLeft
}
