package placer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Errors of Submit, Feasible and the calls that name a job, task or worker.
var (
	ErrInvalidJob    = errors.New("invalid job")
	ErrDuplicateJob  = errors.New("job is known already")
	ErrNeverFits     = errors.New("job can never run")
	ErrQueueFull     = errors.New("queue of the team is full")
	ErrUnknownJob    = errors.New("unknown job")
	ErrUnknownTask   = errors.New("unknown task")
	ErrUnknownWorker = errors.New("unknown worker")
	ErrBadOption     = errors.New("bad option")
)

// Placer holds workers, jobs and teams of one shard and decides what runs where.
// It isn't safe for several goroutines at once.
type Placer struct {
	settings settings
	random   *rand.Rand

	nodes  []*node          // in order of arrival; no gone ones without tasks
	byID   map[string]*node // all of nodes
	racks  []*rack          // in order of arrival, empty ones too
	byRack map[string]*rack
	total  Resources    // sum over nodes that aren't gone
	used   Resources    // sum over all nodes
	free   [kinds]index // open nodes by room
	full   fullness     // sizes that no open node has room for
	clear  index        // open nodes by room after preemption of what yields

	jobs     map[string]*job // unfinished jobs
	teams    []*team         // in order of arrival
	byTeam   map[string]*team
	serial   uint64
	pending  int // tasks that wait, delayed ones too
	active   int // tasks on nodes
	starts   bool
	released bool  // room or allotment has grown since the last full pass
	rests    rests // tasks that wait for a time
	shares   shares
	holding  []*job   // jobs with holds, in the order of their first
	rolls    []*roll  // services that change to a new version
	vacating []*node  // nodes that are leaving and run tasks
	broken   []*job   // gangs that lost a task and are to end
	strained []*node  // nodes with a task reported past its size
	pressed  []runRef // tasks that were asked to make room
	failures fleetHealth
	round    round
}

// settings are what options change.
type settings struct {
	seed      uint64
	reserve   float64 // part of the processors that deferred work leaves free
	queue     int     // most pending tasks of a team
	retries   int     // failed runs of a task after which it isn't run again
	retryBase time.Duration
	retryMost time.Duration
	grace     time.Duration // from one order to make room to the next harder one
	patience  time.Duration // wait of a gang before its holds preempt
	runTime   func(JobSpec) time.Duration
	finished  func(JobSpec, time.Duration)
	learned   func(JobSpec) time.Duration
	draw      func(JobSpec, float64) time.Duration
	gangs     int // gangs that hold room at one time
}

// expected returns the run time of a task as learned, else as declared.
func (s *settings) expected(spec JobSpec) time.Duration {
	if d := s.runTime(spec); d > 0 {
		return d
	}
	return spec.estimate
}

// Option changes a placer under construction.
type Option func(*settings)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithUrgentHeadroom sets the part of the processors, from 0 up to 1, that deferred
// and best-effort work leaves free for urgent work.
func WithUrgentHeadroom(part float64) Option { return func(s *settings) { s.reserve = part } }

// WithQueueLimit sets the most tasks of a team that may wait at one time.
func WithQueueLimit(tasks int) Option { return func(s *settings) { s.queue = tasks } }

// WithRetries sets how many runs of a task may fail before it isn't run again,
// and the shortest and longest delay before the next run.
func WithRetries(n int, base, most time.Duration) Option {
	return func(s *settings) { s.retries, s.retryBase, s.retryMost = n, base, most }
}

// WithGrace sets the time from a Checkpoint to a Throttle to a Stop of a task
// that must make room.
func WithGrace(d time.Duration) Option { return func(s *settings) { s.grace = d } }

// WithGangPreemptAfter sets how long a gang waits for tasks to end before it preempts.
func WithGangPreemptAfter(d time.Duration) Option { return func(s *settings) { s.patience = d } }

// WithRunTime sets the source of expected run times; the declared one counts
// when it returns 0.
func WithRunTime(f func(JobSpec) time.Duration) Option { return func(s *settings) { s.runTime = f } }

// WithLearnedRunTime sets the source of run times that are learned rather than declared,
// 0 when too little is known; forecasts count only these.
func WithLearnedRunTime(f func(JobSpec) time.Duration) Option {
	return func(s *settings) { s.learned = f }
}

// WithRunTimeQuantile sets the source of the quantile, from 0 to 1, of a job's run time, from
// which Needed draws; without it the expected run time counts.
func WithRunTimeQuantile(f func(spec JobSpec, quantile float64) time.Duration) Option {
	return func(s *settings) { s.draw = f }
}

// WithOnSuccess sets what is told of each task that succeeded and its run time.
func WithOnSuccess(f func(JobSpec, time.Duration)) Option {
	return func(s *settings) { s.finished = f }
}

// New returns a placer without workers and jobs, or ErrBadOption.
func New(options ...Option) (*Placer, error) {
	s := settings{
		seed:      1,
		queue:     100_000,
		retries:   5,
		retryBase: time.Second,
		retryMost: 5 * time.Minute,
		grace:     10 * time.Second,
		patience:  10 * time.Minute,
		runTime:   func(JobSpec) time.Duration { return 0 },
		finished:  func(JobSpec, time.Duration) {},
		gangs:     4,
	}
	for _, option := range options {
		option(&s)
	}
	if s.reserve < 0 || s.reserve >= 1 || s.queue < 1 || s.retries < 1 || s.retryBase <= 0 || s.retryMost < s.retryBase {
		return nil, fmt.Errorf("%w: reserve, queue limit or retries out of range", ErrBadOption)
	}
	if s.learned == nil {
		s.learned = s.expected
	}
	if s.draw == nil {
		s.draw = func(spec JobSpec, _ float64) time.Duration { return s.expected(spec) }
	}
	p := &Placer{
		settings: s,
		random:   rand.New(rand.NewPCG(s.seed, s.seed)),
		byID:     map[string]*node{},
		byRack:   map[string]*rack{},
		jobs:     map[string]*job{},
		byTeam:   map[string]*team{},
		starts:   true,
	}
	for i := range p.free {
		p.free[i].where = func(n *node) *place { return &n.free }
	}
	p.clear.where = func(n *node) *place { return &n.clear }
	return p, nil
}

// SetStartsAllowed allows or forbids Start decisions. A drained shard forbids them.
func (p *Placer) SetStartsAllowed(on bool) {
	p.starts = on
	p.released = true
}

// Pending returns how many tasks wait.
func (p *Placer) Pending() int { return p.pending }

// Running returns how many tasks are on workers.
func (p *Placer) Running() int { return p.active }

// Capacity returns what all workers offer together.
func (p *Placer) Capacity() Resources { return p.total }

// Used returns what all tasks on workers hold.
func (p *Placer) Used() Resources { return p.used }

// Workers returns how many workers are known.
func (p *Placer) Workers() int { return len(p.nodes) }
