package planner

import (
	"time"

	"filberthaven.example/placer"
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

// WithMemory sets for how long the end of a job is told to callers.
func WithMemory(d time.Duration) Option { return func(s *settings) { s.keep = d } }

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

// team is what a customer has running and may have.
type team struct {
	spec   Team
	used   placer.Resources // of all runs that are charged
	credit float64          // jobs that it may send at once
	spent  time.Duration    // when credit was reckoned
}

// allows reports whether n tasks more of that size keep the team's limit.
func (t *team) allows(size placer.Resources, n int64) bool {
	if t == nil {
		return true
	}
	sum := t.used.Add(size.Scale(n))
	limit := t.spec.Limit
	return within(sum.CPU(), limit.CPU()) && within(sum.Memory(), limit.Memory()) && within(sum.Accelerators(), limit.Accelerators())
}

// within reports whether an amount keeps a limit, of which 0 means none.
func within(amount, limit int64) bool { return limit == 0 || amount <= limit }

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

func (p *Planner) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{spec: Team{Name: name, Weight: 1}}
		p.teams[name] = t
	}
	return t
}

// Close takes a data centre out of service, or back.
func (p *Planner) Close(centre string, closed bool) {
	if closed {
		p.closed[centre] = true
	} else {
		delete(p.closed, centre)
	}
}

// worker returns the worker, making it when it is new.
func (p *Planner) worker(id string) *worker {
	w := p.workers[id]
	if w == nil {
		w = &worker{report: Report{ID: id}, runs: map[runKey]*run{}, fenced: true}
		p.workers[id] = w
	}
	return w
}

// Report takes over what the list says of a worker, and tells whether that was
// news. A fresh worker is new to the journal: Use has to be called once the
// journal holds it, and nothing starts there before.
func (p *Planner) Report(r Report, now time.Duration) (fresh, changed bool) {
	w := p.worker(r.ID)
	if w.report.Born != 0 && r.Born > w.report.Born {
		p.reborn(w, r.Born, now)
	}
	r.Born = max(r.Born, w.report.Born)
	changed = !w.listed || !w.report.equal(r)
	w.report = r
	w.listed = true
	return !p.used[r.ID], changed
}

// Accepts reports whether tasks may still start on the worker, as far as the list and
// the operators say. It is asked again right before an order, which may have waited
// for the journal while the worker began to drain.
func (p *Planner) Accepts(id string) bool {
	w := p.workers[id]
	return w != nil && w.listed && !w.report.Draining && !p.closed[w.report.Centre]
}

// Use lets tasks start on a worker that the journal names now.
func (p *Planner) Use(id string) { p.used[id] = true }

// Unlist notes that the list has lost a worker. What runs there counts until its
// lease has lapsed.
func (p *Planner) Unlist(id string) {
	if w := p.workers[id]; w != nil {
		w.listed = false
	}
}

// Forgettable returns workers that the list has lost and that run nothing; the
// journal may drop them.
func (p *Planner) Forgettable(now time.Duration) []string {
	var ids []string
	for id, w := range p.workers {
		if !w.listed && len(w.runs) == 0 && w.fenced && now >= w.lapses {
			delete(p.workers, id)
			delete(p.used, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// reborn ends what an earlier incarnation of the worker ran. A start that got no
// answer may reach the new incarnation, so it stays charged until stopped there.
func (p *Planner) reborn(w *worker, born int64, now time.Duration) {
	w.report.Born = born
	w.seen = 0
	w.fenced = true
	for _, r := range w.runs {
		if r.phase == unanswered || r.phase == sent {
			r.crossed = now
			r.asked = false
			r.over = false
			p.giveUp(r)
			continue
		}
		p.endRun(r, Lost, r.saved, now)
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
	Known bool // the job was handed in by that team
	Ended bool // it had ended before
	Shown bool // and the journal holds that
}

// Cancel ends a job at once. Its runs are stopped by the next Decide.
func (p *Planner) Cancel(id, team string, now time.Duration) Cancellation {
	j := p.find(id, team)
	if j == nil {
		return Cancellation{}
	}
	if j.ended != "" {
		return Cancellation{Known: true, Ended: true, Shown: j.shown}
	}
	p.end(j, Cancelled, now)
	return Cancellation{Known: true}
}

// Known reports whether the job was handed in by that team.
func (p *Planner) Known(id, team string) bool { return p.find(id, team) != nil }

// Show lets callers be told of the end of a job, as the journal holds it.
func (p *Planner) Show(id string) {
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

// Ended returns the jobs that ended since the last call; Show is to be called
// for them once the journal holds what ended them.
func (p *Planner) Ended() []string {
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

// Busy reports whether anything may run on the worker, or its state is unknown.
func (p *Planner) Busy(id string) bool {
	w := p.workers[id]
	return w != nil && (len(w.runs) > 0 || !w.fenced)
}

// Renewable reports whether the worker's lease may be prolonged: it has answered
// its newest call. A call without an answer may be carried out yet, so prolonging
// the lease of a silent worker would keep its runs from ever lapsing.
func (p *Planner) Renewable(id string) bool {
	w := p.workers[id]
	return w != nil && w.fenced && w.silent == 0
}

// CutOff reports whether most workers are silent. It answers a data centre that is
// cut off with the owner in it: the owner has to make way for one that reaches more.
// Workers that were not called lately, as they run nothing or a new owner has not
// come to them, count as in reach.
func (p *Planner) CutOff() bool {
	silent, listed := 0, 0
	for _, w := range p.workers {
		if !w.listed {
			continue
		}
		listed++
		if w.silent > 0 {
			silent++
		}
	}
	return 2*silent > listed && silent >= leastSilent
}

// leastSilent is the number of silent workers below which nothing is concluded.
const leastSilent = 4

// Event is what the journal may come to hold of a job.
type Event int

// Events of a job.
const (
	Submitted Event = iota
	Concluded
)

// occasion is an event of one job.
type occasion struct {
	id    string
	event Event
}

// Await has tell called once the journal holds an event of a job, or with the
// error of the submission.
func (p *Planner) Await(id string, event Event, tell func(error)) {
	key := occasion{id, event}
	p.awaited[key] = append(p.awaited[key], tell)
}

// Awaited returns whom to tell of an event, once.
func (p *Planner) Awaited(id string, event Event) []func(error) {
	key := occasion{id, event}
	waiting := p.awaited[key]
	delete(p.awaited, key)
	return waiting
}
