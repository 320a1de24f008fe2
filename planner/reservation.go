package planner

import (
	"cmp"
	"slices"
	"time"

	"filberthaven.example/placer"
	"filberthaven.example/reserver"
)

// gangShare is what a reservation holds on one worker in the current decision. The zero value
// holds nothing.
type gangShare struct {
	tasks    int              // of the gang; 0 if no reservation of a gang holds the worker
	startsIn time.Duration    // from now until the gang can start
	need     placer.Resources // of these tasks
	released placer.Resources // by runs that should end before the gang starts
}

// spare returns what the gang leaves free on the worker from its start on.
func (w *worker) spare() placer.Resources {
	return w.free().Add(w.share.released).Sub(w.share.need)
}

// WithBackfill keeps the reservations of gangs from one decision to the next, within bounds,
// and lets other work use the reserved workers as long as it does not delay the gangs.
func WithBackfill(on bool) Option { return func(s *settings) { s.backfill = on } }

const (
	// backfillMargin is added to the expected run time of a task that uses a reserved worker,
	// as a fraction of it. Declared times of small deferred tasks are off by a factor of about
	// e^0.2, and orders take some 50 ms.
	backfillMargin = 0.3
	// ticketLead is how long before its start a gang should have the tickets. They are valid for
	// some 2 s, so the start may be half a second early or a second late.
	ticketLead = 500 * time.Millisecond
	// knownFactor is the capacity of the eligible workers that a gang knows before it asks about no
	// others, as a multiple of what it needs. With 3, gangs found room later in replays of a burst;
	// with 10, requests of other steps lacked time.
	knownFactor = 8
)

// expectedRunTime returns how long a task of the step is expected to run, 0 if that is not
// known.
func (s *step) expectedRunTime() time.Duration {
	if s.forecast.computed {
		return s.forecast.Mean()
	}
	return time.Duration(float64(s.spec.Estimate)*s.occurrence.job.stats.runTimeRatio()) * time.Millisecond
}

// reserveGangs reserves workers for the waiting gangs that did not fit in an earlier decision,
// in the order of the candidates. Expired ones get none.
func (p *Planner) reserveGangs(candidates []candidate, now time.Duration) {
	var gangs []reserver.Gang
	steps, ranks := map[string]*step{}, map[string]candidate{}
	for _, c := range candidates {
		for _, s := range c.occurrence.steps {
			s.reservation = reserver.Reservation{}
			if c.rank == expiredRank || c.occurrence.job.holdsBack() {
				continue
			}
			if s.lacksRoom && s.spec.Gang && s.ready && s.waitingTasks == len(s.tasks) && !s.hasSuspect() && s.occurrence.job.team.allows(s.spec.Size, int64(s.waitingTasks)) {
				gangs = append(gangs, p.gangOf(s, c, now))
				steps[s.name], ranks[s.name] = s, c
			}
		}
	}
	plan := p.reserver.Plan(gangs, len(p.fleet), now)
	for _, r := range plan {
		p.applyReservation(steps[r.Gang], r, now)
	}
	for _, r := range plan {
		p.requestReservedTickets(steps[r.Gang], ranks[r.Gang], now)
	}
}

// gangOf describes a gang to the reserver.
func (p *Planner) gangOf(s *step, c candidate, now time.Duration) reserver.Gang {
	latest := now + c.slack
	if c.slack < 0 {
		// It is worth something until it expires.
		latest += (expiredFactor - 1) * s.occurrence.job.objective()
	}
	return reserver.Gang{
		Name: s.name, Tasks: len(s.tasks), Latest: latest,
		Workers: func(yield func(string) bool) {
			for w := range p.reservableWorkers(s) {
				if !yield(w.reg.ID) {
					return
				}
			}
		},
		Room: func(id string) reserver.Room { return p.roomFor(s, p.workers[id], now) },
	}
}

// roomFor returns when tasks of the step may start on the worker, by the expected ends of its
// runs and the time that tickets take.
func (p *Planner) roomFor(s *step, w *worker, now time.Duration) (room reserver.Room) {
	if w == nil || w.keptFor != nil || w.reservedFor != nil || !s.mayUse(w) || s.occurrence.job.queue.AdviceCost != nil && s.advice.known[w] == nil {
		return reserver.Room{}
	}
	most := len(s.tasks)
	if s.spec.MaxPerWorker > 0 {
		most = min(most, s.spec.MaxPerWorker)
	}
	at, free := now, w.free()
	ticketAt, ticketUntil := s.ticketTimes(w, now)
	releases := p.releasesOf(w, now)
	for i := 0; ; i++ {
		for len(room.Starts) < most && s.spec.Size.Fits(free) {
			free = free.Sub(s.spec.Size)
			start := at
			if at >= ticketUntil {
				start = max(at, ticketAt)
			}
			if room.Starts == nil {
				room.Starts = make([]time.Duration, 0, 4)
			}
			room.Starts = append(room.Starts, start)
		}
		if i == 0 {
			room.Free = len(room.Starts)
		}
		if i >= len(releases) || len(room.Starts) == most {
			return room
		}
		at, free = releases[i].at, free.Add(releases[i].size)
	}
}

// ticketTimes returns when a ticket for the worker could be had that is requested now, and until
// when the step needs no such ticket.
func (s *step) ticketTimes(w *worker, now time.Duration) (at, until time.Duration) {
	cost := s.occurrence.job.queue.AdviceCost
	if cost == nil || s.advice.queried[w] {
		return 0, 0
	}
	if e := s.advice.known[w]; e != nil && e.hasTicket(now) {
		until = e.expiry
	}
	return now + cost.duration(1), until
}

// applyReservation makes the workers of a reservation reserved in the current decision.
func (p *Planner) applyReservation(s *step, r reserver.Reservation, now time.Duration) {
	s.reservation = r
	for _, a := range r.Allotments {
		w := p.workers[a.Worker]
		p.reserveWorker(w, s, now)
		w.share = gangShare{tasks: a.Tasks, startsIn: r.Start - now, need: s.spec.Size.Scale(int64(a.Tasks))}
		for _, release := range p.releasesOf(w, now) {
			if release.at <= r.Start {
				w.share.released = w.share.released.Add(release.size)
			}
		}
	}
}

// mayBackfill reports whether a task of the step may start on a worker that is reserved for a
// gang: it should end before the gang starts, or fits beside the gang.
func (s *step) mayBackfill(w *worker) bool {
	expected := s.expectedRunTime()
	if w.share.tasks == 0 || expected <= 0 || s.spec.LongRunning {
		return false
	}
	if expected+time.Duration(backfillMargin*float64(expected)) <= w.share.startsIn {
		return true
	}
	return !s.spec.Gang && s.spec.Size.Fits(w.spare())
}

// awaitRoom requests advice for a gang that doesn't fit, and lets it reserve workers.
func (p *Planner) awaitRoom(s *step, c candidate, now time.Duration) {
	if !p.settings.backfill {
		p.requestAdvice(s, c, now)
		if c.rank != expiredRank {
			p.reserve(s, now)
		}
		return
	}
	s.lacksRoom = true
	if len(s.reservation.Allotments) == 0 {
		if !p.knowsEnough(s) || len(s.renewableTickets(s.fitCount, p.arrival(now))) > 0 {
			p.requestAdvice(s, c, now)
		}
		return
	}
	// The workers are known. If it fits on others too, it is not to wait for its own.
	if len(s.renewableTickets(s.fitCount, p.arrival(now))) > 0 {
		p.requestAdvice(s, c, now)
	}
}

// requestReservedTickets requests the tickets for a reservation, so that the gang has them
// shortly before its start. It comes before all other requests of a decision: the reserved
// workers idle while the tickets are awaited.
func (p *Planner) requestReservedTickets(s *step, c candidate, now time.Duration) {
	cost := s.occurrence.job.queue.AdviceCost
	if cost == nil || s.reservation.Start-now > cost.duration(len(s.reservation.Allotments))+ticketLead {
		return
	}
	room := func(w *worker) int {
		if w.reservedFor == s {
			return w.share.tasks
		}
		return 0
	}
	if len(s.renewableTickets(room, p.arrival(now))) > 0 {
		p.requestAdviceFor(s, c, room, now)
	}
}

// release is the expected end of a run.
type release struct {
	at   time.Duration
	size placer.Resources
}

// releasesOf returns the expected ends of the worker's runs, soonest first. Long-running ones
// have none.
func (p *Planner) releasesOf(w *worker, now time.Duration) []release {
	if w.releasesIn == p.decisions {
		return w.releases
	}
	w.releasesIn, w.releases = p.decisions, w.releases[:0]
	for _, r := range w.runs {
		if !r.step.spec.LongRunning && !r.step.unknown {
			w.releases = append(w.releases, release{now + p.remainingTime(r, now), r.size})
		}
	}
	slices.SortFunc(w.releases, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.size.CPU(), b.size.CPU()), cmp.Compare(a.size.Memory(), b.size.Memory()))
	})
	return w.releases
}

// Reservations describes the workers that the newest decision keeps from other work.
type Reservations struct {
	Workers int           // reserved for gangs and long-running steps
	Kept    int           // reserved for suspects
	Idle    float64       // free processors on all of them
	Longest time.Duration // for which one of them has been reserved without a break, whatever the steps
}

// Reservations describes the reservations of the newest decision.
func (p *Planner) Reservations(now time.Duration) Reservations {
	var r Reservations
	for _, w := range p.fleet {
		if w.reservedFor == nil {
			continue
		}
		if w.keptFor != nil {
			r.Kept++
		} else {
			r.Workers++
		}
		r.Idle += float64(max(0, w.free().CPU())) / 1000
		r.Longest = max(r.Longest, now-w.reservedSince)
	}
	return r
}

// knowsEnough reports whether a gang knows that many eligible workers that a reservation will
// find room on them. What more workers it asks about only takes advice from others.
func (p *Planner) knowsEnough(s *step) bool {
	if s.occurrence.job.queue.AdviceCost == nil {
		return true
	}
	n := 0
	for _, e := range s.advice.eligible {
		if e.worker.open {
			n += s.tasksPerWorker(e.worker.reg.Capacity)
		}
	}
	return n >= knownFactor*len(s.tasks)
}
