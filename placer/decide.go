package placer

import (
	"time"
)

// Limits of one scan of a lane. startFromLane scans a lane from its first job. If that scan
// stops at a limit without a task to start, a second scan begins where the previous search
// of the lane stopped.
const (
	maxSearchedJobs = 16 // jobs for which a worker is searched
	maxVisitedJobs  = 64 // jobs visited, with or without such a search
)

// estimateTTL is how long the estimated run time of a queued job is used before it is
// refreshed.
const estimateTTL = 30 * time.Second

// cycle is one scheduling cycle, a call of Decide.
type cycle struct {
	now       int64 // nanoseconds since 1970
	limit     int   // decisions after which no further single task is started
	decisions []Decision
	teams     []*team // teams with waiting tasks
	serial    uint64  // number of this cycle, stored in team.blockedIn
}

func (c *cycle) belowLimit() bool { return len(c.decisions) < c.limit }

func (c *cycle) add(d Decision) { c.decisions = append(c.decisions, d) }

// Decide runs one scheduling cycle and returns its decisions. It starts no further single
// task once it has made limit decisions of any kind. A gang always starts whole, even
// beyond the limit. Resources are allocated to each started task at once. Call Unplace when
// a start can't be carried out, and Finish when the task has ended.
func (p *Placer) Decide(now time.Time, limit int) []Decision {
	c := &p.cycle
	*c = cycle{now: nanos(now), limit: limit, teams: c.teams[:0], serial: c.serial + 1}
	p.endBackoffs(c.now)
	p.allowTrials(c.now)
	p.updateShares(c.now)
	p.limitOveruse(c)
	p.enforceQuotas(c)
	p.escalatePreemptions(c)
	p.stopBrokenGangs(c)
	p.advanceRollouts(c)
	p.drainNodes(c)
	p.preemptForWaitingGangs(c)
	p.expireUrgent(c)
	if p.startsAllowed && p.passNeeded && c.belowLimit() {
		p.startPending(c)
	}
	decisions := c.decisions
	c.decisions = nil
	return decisions
}

// startPending starts waiting tasks: first those with reserved capacity, then urgent ones,
// services, gangs, and last deferred and best-effort ones.
func (p *Placer) startPending(c *cycle) {
	p.passNeeded = false
	p.startReserved(c)
	for _, t := range p.teams {
		if t.pending > 0 {
			c.teams = append(c.teams, t)
		}
	}
	p.startLane(c, urgentLane)
	p.startLane(c, serviceLane)
	p.startGangs(c)
	p.startShared(c)
	if !c.belowLimit() {
		p.passNeeded = true
	}
}

// startLane starts tasks of a lane that ignores fair shares. The team whose share is the
// smallest in relation to its weight goes first.
func (p *Placer) startLane(c *cycle, l lane) {
	for c.belowLimit() {
		var next *team
		for _, t := range c.teams {
			if t.queues[l].Len() == 0 || t.blockedIn[l] == c.serial {
				continue
			}
			if next == nil || t.share*next.weight < next.share*t.weight {
				next = t
			}
		}
		if next == nil {
			return
		}
		if !p.startFromLane(c, next, l) {
			next.blockedIn[l] = c.serial
		}
	}
}

// startShared starts deferred and best-effort tasks, one at a time, in the order of
// servedBefore.
func (p *Placer) startShared(c *cycle) {
	for c.belowLimit() {
		next, l := p.nextSharedTeam(c)
		if next == nil {
			return
		}
		if !p.startFromLane(c, next, l) {
			next.blockedIn[l] = c.serial
		}
	}
}

// nextSharedTeam returns the team and the lane that startShared serves next, or nil when
// no team is left.
func (p *Placer) nextSharedTeam(c *cycle) (*team, lane) {
	var best *team
	var bestLane lane
	var bestLatest int64
	var bestShortfall float64
	for _, t := range c.teams {
		l, ok := p.nextSharedLane(c, t)
		if !ok {
			continue
		}
		latest, shortfall := t.firstLatestStart(l), t.shortfall()/t.weight
		if best == nil || servedBefore(latest, shortfall, bestLatest, bestShortfall) {
			best, bestLane, bestLatest, bestShortfall = t, l, latest, shortfall
		}
	}
	return best, bestLane
}

// servedBefore reports whether one team goes before another, given the latest start of
// their first jobs and their shortfalls. Teams below their fair share, with a shortfall
// above 0, go first, in the order of their latest starts. Ties, and teams that aren't below
// their share, go in the order of their shortfalls, the largest first.
func servedBefore(latest int64, shortfall float64, otherLatest int64, otherShortfall float64) bool {
	if (shortfall > 0) != (otherShortfall > 0) {
		return shortfall > 0
	}
	if shortfall > 0 && latest != otherLatest {
		return latest < otherLatest
	}
	return shortfall > otherShortfall
}

// nextSharedLane returns the first of the team's deferred, late and best-effort lanes that
// has jobs and isn't blocked in this cycle.
func (p *Placer) nextSharedLane(c *cycle, t *team) (lane, bool) {
	p.demoteLate(c, t)
	for l := deferredLane; l < lanes; l++ {
		if t.queues[l].Len() > 0 && t.blockedIn[l] != c.serial {
			return l, true
		}
	}
	return 0, false
}

// demoteLate moves deferred jobs that can no longer meet their deadline to the late lane.
// Before it checks a job, it refreshes an estimate older than estimateTTL.
func (p *Placer) demoteLate(c *cycle, t *team) {
	for {
		j, ok := t.queues[deferredLane].Min()
		if !ok {
			return
		}
		if c.now-j.estimatedAt >= int64(estimateTTL) {
			j.estimatedAt = c.now
			p.refreshRunTime(j)
			if latest := p.latestStart(j.spec); latest != j.latestStart {
				t.move(j, deferredLane, latest)
				continue
			}
		}
		if j.latestStart >= c.now {
			return
		}
		t.move(j, lateLane, 0)
	}
}

// firstLatestStart returns the latest start of the first job in the deferred lane. For
// other lanes it returns the constant never.
func (t *team) firstLatestStart(l lane) int64 {
	if l != deferredLane {
		return never
	}
	j, _ := t.queues[l].Min()
	return j.latestStart
}

// startFromLane starts one task of a lane of the team and reports whether it did.
func (p *Placer) startFromLane(c *cycle, t *team, l lane) bool {
	s := laneSearch{placer: p, cycle: c}
	t.queues[l].Ascend(s.visit)
	if s.job == nil && s.visited > maxVisitedJobs && t.resumeAt[l] != nil {
		s.visited, s.searched = 0, 0
		t.queues[l].AscendGreaterOrEqual(t.resumeAt[l], s.visit)
	}
	t.resumeAt[l] = s.stoppedAt
	if s.job == nil {
		return false
	}
	if len(s.job.reservations) > 0 {
		// The task that starts now needs no reservation any more.
		p.release(s.job.reservations[len(s.job.reservations)-1])
	}
	p.start(c, s.job, s.node, s.examined, s.job.lane.reason())
	return true
}

// laneSearch scans a lane for the first job that can start a task.
type laneSearch struct {
	placer    *Placer
	cycle     *cycle
	visited   int   // jobs visited; above maxVisitedJobs when the scan stopped at a limit
	searched  int   // jobs for which a worker was searched
	stoppedAt *job  // job at which the scan stopped at a limit, else nil
	job       *job  // job that can start a task, nil while none is found
	node      *node // where the task of job can start
	examined  int   // workers examined for job
}

// visit checks one job and reports whether to go on with the next.
func (s *laneSearch) visit(j *job) bool {
	s.visited++
	if s.visited > maxVisitedJobs || s.searched == maxSearchedJobs {
		s.stoppedAt, s.visited = j, maxVisitedJobs+1
		return false
	}
	s.stoppedAt = nil
	if j.spec.class != Urgent && s.placer.noFit.covers(j.spec.size) {
		return true
	}
	s.searched++
	s.node, s.examined = s.placer.chooseNode(s.cycle, j)
	if s.node == nil {
		return true
	}
	s.job = j
	return false
}

// chooseNode returns the node for the next task of the job, or nil when the task has to
// wait, and how many nodes were examined. It reserves capacity for an urgent task that fits
// nowhere.
func (p *Placer) chooseNode(c *cycle, j *job) (*node, int) {
	if !p.withinLimits(j) {
		return nil, 0
	}
	n, examined := p.find(j)
	if n == nil && j.spec.class == Urgent {
		p.reserveUrgent(c, j)
	}
	return n, examined
}

// withinLimits reports whether the limits that don't depend on a node allow one more task
// of the job: those of a rolling update, the quota of the team and the headroom for urgent
// work. A gang that waits for the quota keeps deferred and best-effort tasks of its team
// from starting.
func (p *Placer) withinLimits(j *job) bool {
	t := j.team
	cpu := j.spec.size.cpu
	if j.rollout != nil && !j.rollout.allows(j) {
		return false
	}
	if !t.allows(cpu) || t.blockingGang != nil && t.blockingGang != j && j.spec.class > Service {
		return false
	}
	if p.settings.urgentHeadroom == 0 || j.spec.class < Deferred {
		return true
	}
	free := p.total.cpu - p.used.cpu - cpu
	return float64(free) >= p.settings.urgentHeadroom*float64(p.total.cpu)
}

// start puts the next task of the job on the node.
func (p *Placer) start(c *cycle, j *job, n *node, examined int, reason string) {
	index := j.takeNext()
	j.pending--
	p.addPending(j, -1)
	p.attach(n, j, index, c.now)
	if j.pending == 0 {
		j.team.dequeue(j)
	}
	c.add(Decision{
		kind:          Start,
		task:          NewTaskID(j.spec.id, int(index)),
		worker:        n.worker.id,
		examined:      examined,
		priorFailures: int(j.tasks[index].failures),
		reason:        reason,
	})
}

// reason returns the reason for starting a task from the lane.
func (l lane) reason() string {
	return laneReasons[l]
}

var laneReasons = [lanes]string{
	urgentLane:     "urgent work goes first",
	serviceLane:    "service has fewer tasks than it asks for",
	gangLane:       "the whole gang fits",
	deferredLane:   "least slack within its team's share",
	lateLane:       "late; runs after work that can meet its deadline",
	bestEffortLane: "best effort in free capacity",
}

// expireUrgent drops urgent jobs whose deadline has passed while no task of them runs.
func (p *Placer) expireUrgent(c *cycle) {
	for _, t := range p.teams {
		var late []*job
		collect := func(j *job) bool {
			if d := nanos(j.spec.deadline); j.spec.class == Urgent && d != 0 && d < c.now && j.active == 0 {
				late = append(late, j)
			}
			return true
		}
		t.queues[urgentLane].Ascend(collect)
		t.queues[gangLane].Ascend(collect)
		for _, j := range late {
			c.add(Decision{kind: Expire, task: NewTaskID(j.spec.id, 0), examined: 1, reason: "its deadline has passed"})
			p.withdraw(j)
			p.removeIfDone(j)
		}
	}
}
