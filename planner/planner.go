package planner

import (
	"time"
)

// Planner holds the jobs, workers and teams of a fleet. It isn't safe for several
// goroutines at once.
type Planner struct {
	settings settings

	config  Config
	queues  map[string]Queue
	teams   map[string]*team
	closed  map[string]bool // data centres taken out of service
	workers map[string]*worker
	used    map[string]bool // workers that the journal names as possibly running tasks
	jobs    map[string]*job // ended ones for as long as callers may ask
	live    []*job          // stored and not ended, in order of arrival
	shares  map[string]*share
	load    load
	most    int64                  // most thousandths of a processor free on a worker, of the decision under way
	roomy   []*worker              // by room, of the decision under way; nil until needed
	rests   map[bool]time.Duration // until when urgent steps, or others, ask for no advice
	out     []Action
	awaited map[occasion][]func(error) // callers who wait for the journal
	shown   []string                   // jobs that ended since the last call of Ended
}

// settings are what options change.
type settings struct {
	keep time.Duration // how long the end of a job is told
}

// Option changes a planner under construction.
type Option func(*settings)

// WithRetention sets for how long the end of a job is told to callers.
func WithRetention(d time.Duration) Option { return func(s *settings) { s.keep = d } }

// defaultMemory is as long as callers may ask for the state of an ended job.
const defaultMemory = 120 * time.Second

// New returns a planner without workers and jobs.
func New(options ...Option) *Planner {
	s := settings{keep: defaultMemory}
	for _, option := range options {
		option(&s)
	}
	return &Planner{
		settings: s,
		queues:   map[string]Queue{},
		teams:    map[string]*team{},
		closed:   map[string]bool{},
		workers:  map[string]*worker{},
		used:     map[string]bool{},
		jobs:     map[string]*job{},
		shares:   map[string]*share{},
		rests:    map[bool]time.Duration{},
		awaited:  map[occasion][]func(error){},
	}
}

// Version returns the version of the configuration in force, 0 before the first.
func (p *Planner) Version() uint64 { return p.config.Version }

// Configure puts a newer configuration into force; an older one changes nothing.
func (p *Planner) Configure(c Config, now time.Duration) bool {
	if c.Version <= p.config.Version {
		return false
	}
	p.config = c
	p.queues = map[string]Queue{}
	for _, q := range c.Queues {
		p.queues[q.Name] = q
	}
	for _, t := range p.teams {
		t.spec.Keys = nil
	}
	for _, spec := range c.Teams {
		p.team(spec.Name).spec = spec
	}
	for _, j := range p.jobs {
		if q, known := p.queues[j.spec.Queue]; known {
			j.queue = q
			p.judge(j, now)
		}
	}
	return true
}

// SetCordoned takes a data centre out of service, or back.
func (p *Planner) SetCordoned(centre string, closed bool) {
	if closed {
		p.closed[centre] = true
	} else {
		delete(p.closed, centre)
	}
}

// Submission is the answer to a job handed in.
type Submission struct {
	Known  bool // it was accepted before; nothing is to be stored
	Stored bool // of a known one: the journal holds it
}

// Submit admits a job, or tells why not: ErrInvalidJob, ErrUnsupported or a
// *RefusalError. The caller stores it and then calls Stored or Forget.
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

func (p *Planner) newJob(spec JobSpec, arrived time.Duration) *job {
	j := &job{spec: spec, queue: p.queues[spec.Queue], arrived: arrived, remaining: max(1, spec.Repeats)}
	if spec.Team != "" {
		j.team = p.team(spec.Team)
	}
	if spec.Repeats <= 0 {
		j.begin(arrived)
	}
	return j
}

// Stored lets the tasks of a job start, as the journal holds it.
func (p *Planner) Stored(id string) {
	if j := p.jobs[id]; j != nil && !j.stored {
		j.stored = true
		p.live = append(p.live, j)
	}
}

// Forget drops a job that the journal did not take.
func (p *Planner) Forget(id string) {
	if j := p.jobs[id]; j != nil && !j.stored {
		delete(p.jobs, id)
	}
}

// Cancellation is the answer to a cancel.
type Cancellation struct {
	Known  bool // the job was handed in by that team
	Ended  bool // it had ended before
	Stored bool // and the journal holds that
}

// Cancel ends a job at once. Its runs are stopped by the next Decide.
func (p *Planner) Cancel(id, team string, now time.Duration) Cancellation {
	j := p.find(id, team)
	if j == nil {
		return Cancellation{}
	}
	if j.ended != "" {
		return Cancellation{Known: true, Ended: true, Stored: j.shown}
	}
	p.end(j, Cancelled, now)
	return Cancellation{Known: true}
}

// Known reports whether the job was handed in by that team.
func (p *Planner) Known(id, team string) bool { return p.find(id, team) != nil }

// MarkEndStored lets callers be told of the end of a job, as the journal holds it.
func (p *Planner) MarkEndStored(id string) {
	if j := p.jobs[id]; j != nil {
		j.shown = true
	}
}

// State returns what callers are told of a job, and whether it is known.
func (p *Planner) State(id, queue, team string) (State, bool) {
	j := p.find(id, team)
	switch {
	case j == nil || j.spec.Queue != queue || !j.stored:
		return "", false
	case j.ended != "" && j.shown:
		return j.ended, true
	case j.started:
		return Running, true
	default:
		return Queued, true
	}
}

func (p *Planner) find(id, team string) *job {
	j := p.jobs[id]
	if j == nil || j.spec.Team != team {
		return nil
	}
	return j
}

// Pending returns the number of the queue's jobs of which no task has started.
func (p *Planner) Pending(queue string) int {
	n := 0
	for _, j := range p.live {
		if j.spec.Queue == queue && j.ended == "" && !j.started {
			n++
		}
	}
	return n
}

// TakeEnded returns the jobs that ended since the last call; Show is to be called
// for them once the journal holds what ended them.
func (p *Planner) TakeEnded() []string {
	ids := p.shown
	p.shown = nil
	return ids
}

// end ends a job; its runs are stopped by the next Decide.
func (p *Planner) end(j *job, state State, now time.Duration) {
	j.ended = state
	j.endedAt = now
	p.shown = append(p.shown, j.spec.ID)
	for _, o := range j.rounds {
		for _, s := range o.steps {
			for i := range s.tasks {
				for _, r := range s.tasks[i].runs {
					p.giveUp(r)
				}
			}
		}
	}
	j.rounds = nil
	j.spec.Payload = ""
	j.spec.Steps = nil
}

// giveUp has a run stopped. Its task waits until the run has surely ended: it may
// not have begun yet, and two runs of a task must not overlap.
func (p *Planner) giveUp(r *run) {
	if r.over {
		return
	}
	r.over = true
	if !r.asked {
		p.stop(r)
	}
}

// drop takes a run off its task.
func (s *step) drop(r *run) {
	t := &s.tasks[r.index]
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if len(t.runs) == 0 && !t.done {
		s.todo++
	}
}

// Expire forgets ended jobs that callers need not be told of any more.
func (p *Planner) Expire(now time.Duration) {
	for id, j := range p.jobs {
		if j.ended != "" && now-j.endedAt > p.settings.keep {
			delete(p.jobs, id)
		}
	}
}

// Live returns the number of jobs that have not ended.
func (p *Planner) Live() int { return len(p.live) }

// Verdict returns how a job has ended, empty while it has not.
func (p *Planner) Verdict(id string) State {
	if j := p.jobs[id]; j != nil {
		return j.ended
	}
	return ""
}
