package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// longWait is how long a step has had waiting tasks and started none when it is reported.
	longWait = 5 * time.Second
	// waitReportInterval is the least time between two reports of a step.
	waitReportInterval = 5 * time.Second
	// maxWaitReports is the most reports that one call of TakeWaits returns.
	maxWaitReports = 10
	// maxWaitReservations is the most steps with reservations that a report names.
	maxWaitReservations = 3
	// maxWaitRuns is the most earlier runs that a report names.
	maxWaitRuns = 3
)

// Wait tells why a step has started no task for long.
type Wait struct {
	Job    string
	Step   string
	Since  time.Duration // how long it has started none
	Rank   string
	Tasks  int // waiting tasks
	Gang   bool
	Reason string
}

// rankNames are the ranks of candidates for logs.
var rankNames = [...]string{"long-running", "urgent", "late urgent", "timely", "late", "expired"}

// TakeWaits returns steps that have started no task for long, those that have waited longest
// first. The reasons are those of the newest decision, so the caller calls it right after that.
func (p *Planner) TakeWaits(now time.Duration) []Wait {
	var waiting []*step
	for _, j := range p.live {
		if j.finalState != "" {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.ready && s.waitingTasks > 0 && now-p.waitsSince(s) >= longWait && (s.reportedAt == 0 || now-s.reportedAt >= waitReportInterval) {
					waiting = append(waiting, s)
				}
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.reportedAt, b.reportedAt), cmp.Compare(p.waitsSince(a), p.waitsSince(b)))
	})
	var waits []Wait
	for _, s := range waiting[:min(len(waiting), maxWaitReports)] {
		s.reportedAt = now
		c := p.rank(s.occurrence, now)
		waits = append(waits, Wait{
			Job: s.occurrence.job.spec.ID, Step: s.name, Since: now - p.waitsSince(s), Rank: rankNames[c.rank],
			Tasks: s.waitingTasks, Gang: s.spec.Gang, Reason: p.waitReason(s, c, now),
		})
	}
	return waits
}

// waitsSince returns when the step last started a task or began to wait, as far as this owner
// knows.
func (p *Planner) waitsSince(s *step) time.Duration {
	return max(s.startedAt, s.occurrence.due, p.restoredAt)
}

// waitReason returns why the newest decision has started no more tasks of a step.
func (p *Planner) waitReason(s *step, c candidate, now time.Duration) string {
	j := s.occurrence.job
	tasks := 1
	if s.spec.Gang {
		tasks = len(s.tasks)
	}
	switch {
	case s.spec.Gang && s.waitingTasks < len(s.tasks):
		return "runs of an earlier try have not ended: " + s.describeRuns(now)
	case !j.team.allows(s.spec.Size, int64(tasks)):
		return "limit of the team"
	case slices.ContainsFunc(s.tasks, func(t task) bool { return t.crashes.held }):
		return "held until it is known what has become of lost workers"
	case j.holdsBack() && !s.hasWaitingSuspect():
		return fmt.Sprintf("held back by %d suspects, %d of which run alone", j.suspects, j.separateRuns)
	}
	workers, room := p.describeWorkers(s, now)
	reason := "no room"
	switch {
	case s.hasWaitingSuspect() && room >= tasks:
		reason = fmt.Sprintf("no worker for a suspect, %d of at most %d are used for suspects", p.separateWorkers, p.maxSeparate)
	case room >= tasks && p.startsLeft <= 0:
		reason = "limit of starts"
	case room >= tasks:
		reason = "room for the next decision"
	case j.queue.AdviceCost != nil:
		urgent := c.isUrgent()
		reason = fmt.Sprintf("no room on workers with tickets; requests for advice: %d in flight, %d left in the decision, back-off %v",
			s.advice.requests, p.adviceBudget[urgent], max(0, p.noAdviceBefore[urgent]-now).Round(time.Millisecond))
	}
	reason += "; workers: " + workers
	if reservations := p.describeReservations(s, now); reservations != "" {
		reason += "; reservations: " + reservations
	}
	return reason
}

// describeRuns names runs of a step that may not have ended.
func (s *step) describeRuns(now time.Duration) string {
	var runs []string
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if w := r.worker; len(runs) < maxWaitRuns {
				runs = append(runs, fmt.Sprintf("run %d of task %d on %s is %s (listed %t, unanswered calls %d, fenced %t, ends unread %t, restarted %t, lease %v)",
					r.number, i, w.reg.ID, phaseNames[r.phase], w.listed, w.unansweredCalls, w.earlierOwnersFenced, w.endsUnread, w.restarted,
					(w.leaseExpiry-now).Round(time.Millisecond)))
			}
		}
	}
	return strings.Join(runs, ", ")
}

// phaseNames are the phases of runs for logs.
var phaseNames = [...]string{"decided", "running", "unanswered", "stopped", "inherited"}

// describeWorkers counts the workers on which a task of the step fits when they are empty, by
// what has kept the newest decision from starting tasks there. It also returns how many
// tasks fit on those where nothing has.
func (p *Planner) describeWorkers(s *step, now time.Duration) (counts string, room int) {
	n := map[obstacle]int{}
	for _, w := range p.fleet {
		if !s.couldUse(w) {
			continue
		}
		o := p.adviceObstacle(s, w, now, p.workerObstacle(s, w, now))
		n[o]++
		if o == noObstacle {
			room += s.fitCount(w)
		}
	}
	var list []string
	for o, name := range obstacleNames {
		if n[obstacle(o)] > 0 {
			list = append(list, fmt.Sprintf("%d %s", n[obstacle(o)], name))
		}
	}
	return strings.Join(list, ", "), room
}

// reservationSummary is what the newest decision has reserved for a step, of the workers on which a
// task of another step fits when they are empty.
type reservationSummary struct {
	workers int
	longest time.Duration // for which one of them has been reserved without a break
}

// describeReservations names the steps for which workers are reserved that might run a task of the
// step, those with the most workers first, and the step itself if it has reserved any.
func (p *Planner) describeReservations(s *step, now time.Duration) string {
	holders := map[*step]reservationSummary{}
	for _, w := range p.fleet {
		if w.reservedFor != nil && s.couldUse(w) {
			r := holders[w.reservedFor]
			holders[w.reservedFor] = reservationSummary{r.workers + 1, max(r.longest, now-w.reservedSince)}
		}
	}
	steps := slices.SortedFunc(maps.Keys(holders), func(a, b *step) int {
		return cmp.Or(compareBool(b == s, a == s), cmp.Compare(holders[b].workers, holders[a].workers), cmp.Compare(a.name, b.name))
	})
	var list []string
	for _, holder := range steps[:min(len(steps), maxWaitReservations)] {
		name := holder.name
		if holder == s {
			name = "this step"
		}
		list = append(list, fmt.Sprintf("%d for %s, %v", holders[holder].workers, name, holders[holder].longest.Round(time.Millisecond)))
	}
	return strings.Join(list, ", ")
}

// couldUse reports whether a task of the step fits on the worker when that is empty, whatever the
// advice.
func (s *step) couldUse(w *worker) bool {
	return w.listed && w.reg.Service == s.occurrence.job.queue.Service && s.spec.Size.Fits(w.reg.Capacity) && (s.spec.Label == "" || w.hasLabel(s.spec.Label))
}

// obstacle is what keeps the tasks of a step from starting on a worker.
type obstacle int

const (
	noObstacle obstacle = iota
	isFull
	lacksTicket
	isNotKnown
	isNotAllowed
	isRequested
	isReserved
	isKept
	hasSuspect
	isPaused
	isSilent
	isDraining
)

// obstacleNames are the obstacles for logs.
var obstacleNames = [...]string{
	"room", "full", "no ticket", "not known", "not allowed", "requested", "reserved", "kept for a suspect", "with a suspect",
	"paused after failed runs or a refusal", "no answer", "draining",
}

// workerObstacle returns what keeps the tasks of a step from starting on a worker, apart from
// advice.
func (p *Planner) workerObstacle(s *step, w *worker, now time.Duration) obstacle {
	switch {
	case w.reg.Draining || p.cordoned[w.reg.Centre]:
		return isDraining
	case w.separateRuns > 0:
		return hasSuspect
	case !w.open && !w.health.allowsStarts(now):
		return isPaused
	case !w.open:
		return isSilent
	case w.keptFor != nil && w.keptFor != s:
		return isKept
	case !s.mayUse(w):
		return isReserved
	case !s.spec.Size.Fits(w.free()) || !s.belowMaxPerWorker(w, 0):
		return isFull
	default:
		return noObstacle
	}
}

// adviceObstacle returns what keeps the tasks of a step from starting on a worker, where o does
// apart from advice.
func (p *Planner) adviceObstacle(s *step, w *worker, now time.Duration, o obstacle) obstacle {
	e := s.advice.known[w]
	switch {
	case s.occurrence.job.queue.AdviceCost == nil:
		return o
	case e == nil && s.advice.knows(w):
		return isNotAllowed
	case o != noObstacle && o != isFull:
		return o
	case s.advice.queried[w]:
		return isRequested
	case e == nil:
		return isNotKnown
	case o == noObstacle && !e.hasTicket(p.arrival(now)):
		return lacksTicket
	default:
		return o
	}
}
