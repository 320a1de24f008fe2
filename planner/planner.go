package planner

import (
	"math"
	"time"

	"filberthaven.example/estimator"
	"filberthaven.example/profiler"
	"filberthaven.example/reserver"
)

// Planner holds the jobs, workers and teams of a fleet. It is not safe for
// concurrent use.
type Planner struct {
	settings settings

	config          Config
	queues          map[string]Queue // by name
	queuesAt        map[place]Queue
	teams           map[string]*team
	cordoned        map[string]bool // data centres taken out of service
	workers         map[string]*worker
	fleet           []*worker       // the values of workers, in order of addition; Decide visits these
	persisted       map[string]bool // workers that the journal names; tasks start only on these
	jobs            map[string]*job // including ended jobs until PruneJobs removes them
	live            []*job          // stored jobs, oldest first; Decide removes those that are over
	stats           map[string]*queueStats
	runTimes        *estimator.RunTimes // nil unless run times are learned
	load            load
	maxFreeCPU      int64 // most free thousandths of a processor on a worker when the current decision began
	byFreeCPU       freeIndex
	decisions       uint64 // number of the current decision, from 1
	spreader        requestSpreader
	noAdviceBefore  map[bool]time.Duration // earliest time of the next advice request, for urgent steps (true) and others
	adviceBudget    map[bool]int           // advice requests left in the current decision, for urgent steps (true) and others
	overdue         []overdueStep          // steps that have lacked advice for long, in the current decision
	overdueCredit   time.Duration          // time of requests that overdue steps have left; below 0 after one that took more
	actions         []Action               // to be returned by the next Decide
	waiters         map[waiterKey][]func(error)
	newlyEnded      []string // jobs that ended since the last TakeEnded
	newlyBegun      []string // jobs that have begun since the last TakeBegun
	newCrashes      []Crash  // since the last TakeCrashes
	openCrashes     []openCrash
	awaited         map[string]bool // ids and addresses of workers whose answers may decide openCrashes
	losses          []Loss          // of workers in the last maxRateSpan
	newLosses       []Loss          // since the last TakeLosses
	newSettled      []Settled       // since the last TakeSettled
	repeatable      []*run          // found absent since the last decision; may have been released since
	separateWorkers int             // workers that are kept for suspects, or have separate runs, in the current decision
	maxKept         int             // limit of separateWorkers for keeping one more worker that is not empty
	maxSeparate     int             // limit of separateWorkers for using one more worker that is empty
	startLimit      int             // most starts in a decision
	startsLeft      int             // of startLimit, in the current decision; below 0 after a gang
	startsDeferred  bool            // whether the current decision has left starts to the next one
	ordering        ordering
	speeds          speeds
	reserver        *reserver.Reserver
	restoredAt      time.Duration // when the state of earlier owners was restored, else 0
	preemption      preemption
	nextCopies      time.Duration // earliest time of the next look for tasks to copy
	copyBudget      int64         // thousandths of a processor that further copies may use
}

// settings holds what options set.
type settings struct {
	retention      time.Duration // how long the state of an ended job stays available
	spreadRequests bool          // concurrent advice requests name different workers
	learnSpeeds    bool          // how fast workers are is learned
	learnRunTimes  bool          // run times are learned for each queue, team and step
	backfill       bool          // reservations of gangs are kept and bounded, and used meanwhile
	preempt        bool          // urgent steps that fit on no worker stop runs of other queues
	copies         bool          // tasks of speculative steps may get a second run
}

// Option configures a Planner.
type Option func(*settings)

// WithRetention sets how long the state of an ended job stays available to callers.
func WithRetention(d time.Duration) Option { return func(s *settings) { s.retention = d } }

// defaultRetention is how long callers may ask for the state of an ended job.
const defaultRetention = 120 * time.Second

// New returns a planner without workers and jobs.
func New(options ...Option) *Planner {
	s := settings{retention: defaultRetention}
	for _, option := range options {
		option(&s)
	}
	p := &Planner{
		settings:       s,
		queues:         map[string]Queue{},
		teams:          map[string]*team{},
		cordoned:       map[string]bool{},
		workers:        map[string]*worker{},
		persisted:      map[string]bool{},
		jobs:           map[string]*job{},
		stats:          map[string]*queueStats{},
		noAdviceBefore: map[bool]time.Duration{},
		spreader:       newRequestSpreader(s.spreadRequests),
		adviceBudget:   map[bool]int{},
		waiters:        map[waiterKey][]func(error){},
		awaited:        map[string]bool{},
		startLimit:     math.MaxInt,
		reserver:       reserver.New(),
	}
	if s.learnSpeeds {
		p.speeds.profiler = profiler.New()
	}
	if s.learnRunTimes {
		p.runTimes = estimator.NewRunTimes()
	}
	return p
}

// Version returns the version of the configuration in force, 0 before the first.
func (p *Planner) Version() uint64 { return p.config.Version }

// Configure applies a newer configuration and reports whether it did; one that is
// not newer changes nothing.
func (p *Planner) Configure(c Config, now time.Duration) bool {
	if c.Version <= p.config.Version {
		return false
	}
	p.config = c
	p.queues, p.queuesAt = map[string]Queue{}, map[place]Queue{}
	for _, q := range c.Queues {
		p.queues[q.Name], p.queuesAt[place{q.Host, q.Prefix}] = q, q
	}
	for _, t := range p.teams {
		t.spec.Keys = nil
	}
	for _, spec := range c.Teams {
		p.team(spec.Name).spec = spec
	}
	for _, j := range p.jobs {
		q, known := p.queueOf(j)
		if !known && j.queue.Service == "" {
			q, known = j.spec.acceptedQueue()
		}
		if known {
			j.queue = q
			p.failIfExhausted(j, now)
		}
	}
	return true
}

// place is where callers find a queue.
type place struct{ host, prefix string }

// queueOf returns the queue of a job in the configuration: the one at the host and the prefix
// at which callers know the job, whatever its name, or else that of its name.
func (p *Planner) queueOf(j *job) (Queue, bool) {
	at := place{j.spec.Host, j.spec.Prefix}
	if at == (place{}) { // an earlier version has accepted the job
		at = place{j.queue.Host, j.queue.Prefix}
	}
	q, known := p.queuesAt[at]
	if !known || at == (place{}) {
		q, known = p.queues[j.spec.Queue]
	}
	return q, known
}

// isOf reports whether callers find the job in the queue with that name. A job whose queue is
// not known, since it was removed before this owner took over, is found in each.
func (j *job) isOf(queue string) bool { return j.queue.Name == queue || j.queue.Name == "" }

// SetCordoned takes a data centre out of service, or returns it to service.
func (p *Planner) SetCordoned(centre string, cordoned bool) {
	if cordoned {
		p.cordoned[centre] = true
	} else {
		delete(p.cordoned, centre)
	}
}

// Submission is the result of submitting a job.
type Submission struct {
	Known  bool // the job was submitted before, so the caller must not store it again
	Stored bool // the job is known and the journal holds it
}

// Submit admits a job, or returns a *RefusalError or an error that wraps ErrInvalidJob or
// ErrUnsupported. The caller stores a job that was not known before and then calls
// MarkStored or, if storing failed, Forget.
func (p *Planner) Submit(spec JobSpec, now time.Duration) (Submission, error) {
	if known := p.jobs[spec.ID]; known != nil {
		return Submission{Known: true, Stored: known.stored}, nil
	}
	if err := spec.check(); err != nil {
		return Submission{}, err
	}
	j := p.newJob(spec, now)
	if refusal := p.admit(j, now); refusal != nil {
		return Submission{}, refusal
	}
	p.jobs[spec.ID] = j
	return Submission{}, nil
}

func (p *Planner) newJob(spec JobSpec, acceptedAt time.Duration) *job {
	j := &job{spec: spec, queue: p.queues[spec.Queue], stats: p.statsOf(spec.Queue), acceptedAt: acceptedAt, unfinished: max(1, spec.Occurrences)}
	if spec.Team != "" {
		j.team = p.team(spec.Team)
	}
	p.forecastJob(j)
	if spec.Occurrences <= 0 {
		j.beginNext(acceptedAt)
	}
	return j
}

// MarkStored lets the tasks of a job start. The caller calls it once the journal holds
// the job.
func (p *Planner) MarkStored(id string) {
	if j := p.jobs[id]; j != nil && !j.stored {
		j.stored = true
		p.live = append(p.live, j)
	}
}

// Forget drops a job that could not be written to the journal.
func (p *Planner) Forget(id string) {
	if j := p.jobs[id]; j != nil && !j.stored {
		delete(p.jobs, id)
	}
}

// Cancellation is the result of cancelling a job.
type Cancellation struct {
	Known  bool // the team submitted the job
	Ended  bool // the job had already ended
	Stored bool // the job had ended and the journal holds its end
}

// Cancel ends a job at once. The next Decide returns the stops of its runs.
func (p *Planner) Cancel(id, team string, now time.Duration) Cancellation {
	j := p.find(id, team)
	if j == nil {
		return Cancellation{}
	}
	if j.finalState != "" {
		return Cancellation{Known: true, Ended: true, Stored: j.endStored}
	}
	p.end(j, Cancelled, now)
	return Cancellation{Known: true}
}

// Known reports whether the team submitted the job.
func (p *Planner) Known(id, team string) bool { return p.find(id, team) != nil }

// MarkEndStored lets State report the end of a job. The caller calls it once the
// journal holds the end. A job that has not ended was submitted again under that id.
func (p *Planner) MarkEndStored(id string) {
	if j := p.jobs[id]; j != nil && j.finalState != "" {
		j.endStored = true
	}
}

// State returns the state of a job as callers may see it, and whether the team
// has such a job in the queue. A final state is reported only once the journal
// holds it.
func (p *Planner) State(id, queue, team string) (State, bool) {
	j := p.find(id, team)
	if j == nil || !j.isOf(queue) || !j.stored {
		return "", false
	}
	return j.state(), true
}

// StateOf returns the state of a job, and whether the journal holds the job.
func (p *Planner) StateOf(id string) (State, bool) {
	j := p.jobs[id]
	if j == nil || !j.stored {
		return "", false
	}
	return j.state(), true
}

func (j *job) state() State {
	switch {
	case j.isOver():
		return j.finalState
	case j.begun:
		return Running
	default:
		return Queued
	}
}

func (p *Planner) find(id, team string) *job {
	j := p.jobs[id]
	if j == nil || j.spec.Team != team {
		return nil
	}
	return j
}

// Pending returns the number of jobs in the queue whose state is queued: no worker is known
// to have begun a task, and the journal holds no end. A start that was only decided does not count: it may be withdrawn, be
// refused or get no answer.
func (p *Planner) Pending(queue string) int {
	return p.countPending(func(j *job) bool { return j.queue.Name == queue })
}

// PendingOrdered returns how many of the pending jobs of all queues have a start that was
// decided, by this owner or an earlier one.
func (p *Planner) PendingOrdered() int {
	return p.countPending(func(j *job) bool { return j.ordered })
}

// PendingInAll returns the number of pending jobs of all queues.
func (p *Planner) PendingInAll() int { return p.countPending(func(*job) bool { return true }) }

// countPending returns the number of pending jobs that match.
func (p *Planner) countPending(match func(*job) bool) int {
	n := 0
	for _, j := range p.live {
		if !j.isOver() && !j.begun && match(j) {
			n++
		}
	}
	return n
}

// HasEnded reports whether TakeEnded would return a job.
func (p *Planner) HasEnded() bool { return len(p.newlyEnded) > 0 }

// TakeEnded returns the jobs that ended since the last call. The caller writes those that
// failed to the journal, as the next owner may allow other attempts, and calls
// MarkEndStored for all of them once the journal holds the record that ended them.
func (p *Planner) TakeEnded() []string {
	ids := p.newlyEnded
	p.newlyEnded = nil
	return ids
}

// end puts a job into its final state and abandons its runs.
func (p *Planner) end(j *job, state State, now time.Duration) {
	j.finalState = state
	j.endedAt = now
	p.newlyEnded = append(p.newlyEnded, j.spec.ID)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				for _, r := range s.tasks[i].runs {
					p.abandon(r)
				}
			}
		}
	}
	j.occurrences = nil
	j.spec.Payload = ""
	j.spec.Steps = nil
}

// abandon marks a run as obsolete and orders its stop. The run stays on its task until
// it has certainly ended: it may yet begin, and two runs of a task must not overlap. The
// stop of a start without an outcome waits for the outcome: if the start is withdrawn,
// there is nothing to stop.
func (p *Planner) abandon(r *run) {
	if r.obsolete {
		return
	}
	r.obsolete = true
	p.stopIfObsolete(r)
}

// stopIfObsolete orders the stop of an obsolete run unless its start has no outcome yet
// or a stop was ordered before. It is called after each change of the run's phase.
func (p *Planner) stopIfObsolete(r *run) {
	if r.obsolete && !r.stopOrdered && r.phase != phaseDecided {
		p.stop(r)
	}
}

// removeRun removes a run from its task. The task waits again if it is not done and
// has no other run.
func (s *step) removeRun(r *run) {
	t := &s.tasks[r.taskIndex]
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if len(t.runs) == 0 && !t.done {
		s.waitingTasks++
	}
}

// PruneJobs removes jobs that are over and ended longer ago than the retention.
func (p *Planner) PruneJobs(now time.Duration) {
	for id, j := range p.jobs {
		if j.isOver() && now-j.endedAt > p.settings.retention {
			delete(p.jobs, id)
		}
	}
}

// LiveJobs returns the number of stored jobs that are not over. A job that is over still
// counts until the next Decide.
func (p *Planner) LiveJobs() int { return len(p.live) }

// Failed returns those of the jobs that have failed.
func (p *Planner) Failed(ids []string) []string {
	var failed []string
	for _, id := range ids {
		if p.FinalState(id) == Failed {
			failed = append(failed, id)
		}
	}
	return failed
}

// FinalState returns the final state of a job, empty if it has not ended or is not
// known.
func (p *Planner) FinalState(id string) State {
	if j := p.jobs[id]; j != nil {
		return j.finalState
	}
	return ""
}
