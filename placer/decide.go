package placer

import (
	"time"
)

// Bounds of the search in one lane of a team, from its first job on and from
// where the search before stopped.
const (
	lookahead = 16 // jobs that a worker is searched for
	glances   = 64 // jobs looked at
)

// estimateLife is how long the estimate of a queued job's run time is kept.
const estimateLife = 30 * time.Second

// round is one call of Decide.
type round struct {
	now    int64
	most   int
	out    []Decision
	teams  []*team // with jobs that wait
	serial uint64  // distinguishes rounds in marks on teams
}

func (r *round) left() bool { return len(r.out) < r.most }

func (r *round) add(d Decision) { r.out = append(r.out, d) }

// Decide returns what to do at that time, at most that many decisions unless a
// gang or an order to make room needs more. Each Start is on the books from
// now on: call Unplace when it can't be carried out, Finish when it has ended.
func (p *Placer) Decide(now time.Time, most int) []Decision {
	r := &p.round
	*r = round{now: nanos(now), most: most, teams: r.teams[:0], serial: r.serial + 1}
	p.wake(r.now)
	p.trial(r.now)
	p.reckon(r.now)
	p.relieve(r)
	p.curtail(r)
	p.escalate(r)
	p.endBroken(r)
	p.rollOn(r)
	p.vacate(r)
	p.hurry(r)
	p.expire(r)
	if p.starts && p.released && r.left() {
		p.place(r)
	}
	out := r.out
	r.out = nil
	return out
}

func (p *Placer) place(r *round) {
	p.released = false
	p.startHeld(r)
	for _, t := range p.teams {
		if t.pending > 0 {
			r.teams = append(r.teams, t)
		}
	}
	p.startLane(r, urgentLane)
	p.startLane(r, serviceLane)
	p.startGangs(r)
	p.startShared(r)
	if !r.left() {
		p.released = true
	}
}

// startLane starts tasks of a lane that is served before all shares; among
// teams the one furthest below its share goes first.
func (p *Placer) startLane(r *round, of lane) {
	for r.left() {
		var next *team
		for _, t := range r.teams {
			if t.queues[of].Len() == 0 || t.tried[of] == r.serial {
				continue
			}
			if next == nil || t.share*next.weight < next.share*t.weight {
				next = t
			}
		}
		if next == nil {
			return
		}
		if !p.startFrom(r, next, of) {
			next.tried[of] = r.serial
		}
	}
}

// startShared starts deferred and best-effort tasks: among teams below what is
// due to them the one with the least slack, else the one nearest to it.
func (p *Placer) startShared(r *round) {
	for r.left() {
		next, from := p.neediest(r)
		if next == nil {
			return
		}
		if !p.startFrom(r, next, from) {
			next.tried[from] = r.serial
		}
	}
}

func (p *Placer) neediest(r *round) (*team, lane) {
	var best *team
	var from lane
	var slack int64
	var lack float64
	for _, t := range r.teams {
		of, ok := p.sharedLane(r, t)
		if !ok {
			continue
		}
		s, l := t.urgency(of), t.lack()/t.weight
		if best == nil || better(s, l, slack, lack) {
			best, from, slack, lack = t, of, s, l
		}
	}
	return best, from
}

// better orders teams: below their share before above it, then by slack below
// it and by distance above it.
func better(slack int64, lack float64, thanSlack int64, thanLack float64) bool {
	if (lack > 0) != (thanLack > 0) {
		return lack > 0
	}
	if lack > 0 && slack != thanSlack {
		return slack < thanSlack
	}
	return lack > thanLack
}

// sharedLane returns the lane that the team's next task comes from.
func (p *Placer) sharedLane(r *round, t *team) (lane, bool) {
	p.sortLate(r, t)
	for of := deferredLane; of < lanes; of++ {
		if t.queues[of].Len() > 0 && t.tried[of] != r.serial {
			return of, true
		}
	}
	return 0, false
}

// sortLate moves deferred jobs that can't meet their deadline any more behind
// those that can.
func (p *Placer) sortLate(r *round, t *team) {
	for {
		j, ok := t.queues[deferredLane].Min()
		if !ok {
			return
		}
		if r.now-j.estimated >= int64(estimateLife) {
			j.estimated = r.now
			p.expect(j)
			if latest := p.latestStart(j.spec); latest != j.latest {
				t.move(j, deferredLane, latest)
				continue
			}
		}
		if j.latest >= r.now {
			return
		}
		t.move(j, lateLane, 0)
	}
}

// urgency returns the latest start of the lane's first job.
func (t *team) urgency(of lane) int64 {
	if of != deferredLane {
		return never
	}
	j, _ := t.queues[of].Min()
	return j.latest
}

// startFrom starts one task of a lane of the team and reports whether it did.
func (p *Placer) startFrom(r *round, t *team, of lane) bool {
	s := search{placer: p, round: r}
	t.queues[of].Ascend(s.look)
	if s.job == nil && s.looked > glances && t.resume[of] != nil {
		s.looked, s.tried = 0, 0
		t.queues[of].AscendGreaterOrEqual(t.resume[of], s.look)
	}
	t.resume[of] = s.last
	if s.job == nil {
		return false
	}
	if len(s.job.holds) > 0 {
		p.freeHold(s.job.holds[len(s.job.holds)-1])
	}
	p.start(r, s.job, s.node, s.seen, s.job.lane.reason())
	return true
}

// search looks for the first job of a lane that can start.
type search struct {
	placer *Placer
	round  *round
	looked int  // jobs looked at
	tried  int  // of these, jobs that a worker was searched for
	last   *job // the last one when the search stopped early, else nil
	job    *job // what was found, else nil
	node   *node
	seen   int
}

// look tries one job and reports whether to go on.
func (s *search) look(j *job) bool {
	s.looked++
	if s.looked > glances || s.tried == lookahead {
		s.last, s.looked = j, glances+1
		return false
	}
	s.last = nil
	if j.spec.class != Urgent && s.placer.full.rules(j.spec.size) {
		return true
	}
	s.tried++
	s.node, s.seen = s.placer.choose(s.round, j)
	if s.node == nil {
		return true
	}
	s.job = j
	return false
}

// choose returns the worker for a task of the job, nil when it has to wait.
func (p *Placer) choose(r *round, j *job) (*node, int) {
	if !p.permits(j) {
		return nil, 0
	}
	n, seen := p.find(j)
	if n == nil && j.spec.class == Urgent {
		p.claim(r, j)
	}
	return n, seen
}

// permits reports whether the limits of team and reserve allow one more task.
func (p *Placer) permits(j *job) bool {
	t := j.team
	cpu := j.spec.size.cpu
	if j.roll != nil && !j.roll.permits(j) {
		return false
	}
	if !t.allows(cpu) || t.gang != nil && t.gang != j && j.spec.class > Service {
		return false
	}
	if p.settings.reserve == 0 || j.spec.class < Deferred {
		return true
	}
	free := p.total.cpu - p.used.cpu - cpu
	return float64(free) >= p.settings.reserve*float64(p.total.cpu)
}

// start puts the next task of the job on the node.
func (p *Placer) start(r *round, j *job, n *node, seen int, reason string) {
	index := j.take()
	j.pending--
	p.wait(j, -1)
	p.attach(n, j, index, r.now)
	if j.pending == 0 {
		j.team.dequeue(j)
	}
	r.add(Decision{
		kind:       Start,
		task:       NewTaskID(j.spec.id, int(index)),
		worker:     n.worker.id,
		candidates: seen,
		attempt:    int(j.tasks[index].failures),
		reason:     reason,
	})
}

// reason says why a job of that lane is started.
func (l lane) reason() string {
	return laneReasons[l]
}

var laneReasons = [lanes]string{
	urgentLane:   "urgent work goes first",
	serviceLane:  "the service lacks a task",
	gangLane:     "the whole gang has room",
	deferredLane: "least slack within its team's share",
	lateLane:     "late, after work that can be in time",
	effortLane:   "fills a gap",
}

// expire drops urgent jobs whose deadline passed before they started.
func (p *Placer) expire(r *round) {
	for _, t := range p.teams {
		var late []*job
		collect := func(j *job) bool {
			if d := nanos(j.spec.deadline); j.spec.class == Urgent && d != 0 && d < r.now && j.active == 0 {
				late = append(late, j)
			}
			return true
		}
		t.queues[urgentLane].Ascend(collect)
		t.queues[gangLane].Ascend(collect)
		for _, j := range late {
			r.add(Decision{kind: Expire, task: NewTaskID(j.spec.id, 0), candidates: 1, reason: "its deadline has passed"})
			p.withdraw(j)
			p.retire(j)
		}
	}
}
