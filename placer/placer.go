package placer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Errors returned by New and the methods of Placer.
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

// Placer keeps the workers, jobs and teams of one shard and decides which worker runs
// which task. It is not safe for concurrent use.
type Placer struct {
	settings settings
	random   *rand.Rand

	nodes         []*node          // in order of arrival; removed ones stay while they run tasks
	byID          map[string]*node // all of nodes, by worker identifier
	racks         []*rack          // in order of arrival, including empty ones
	byRack        map[string]*rack
	total         Resources         // sum over nodes that aren't removed
	used          Resources         // sum over all nodes
	byFree        [nodeGroups]index // open nodes by free capacity
	noFit         noFitSet          // sizes that fit on no open node
	byReclaimable index             // open nodes by capacity that is free or used by preemptible tasks

	jobs          map[string]*job // unfinished jobs
	teams         []*team         // in order of arrival
	byTeam        map[string]*team
	serial        uint64 // how many jobs and workers have arrived; source of their serial numbers
	pending       int    // tasks that wait, including those in back-off
	active        int    // tasks on nodes
	startsAllowed bool
	passNeeded    bool         // a pass over the queues may start tasks that the last one couldn't
	backoffs      backoffQueue // tasks in back-off
	shares        shareState
	reservingJobs []*job     // jobs with reservations, in order of their first one
	rollouts      []*rollout // rolling updates in progress
	drainingNodes []*node    // nodes of draining workers, with tasks as of the last cycle
	brokenGangs   []*job     // gangs that lost a task and whose other tasks must be stopped
	overusedNodes []*node    // nodes for which usage above the size of a task was reported since the last cycle
	preemptions   []runRef   // tasks that were ordered to checkpoint, throttle or stop and may not have ended
	health        fleetHealth
	cycle         cycle
}

// settings are the values set by options.
type settings struct {
	seed              uint64
	urgentHeadroom    float64       // fraction of the processors that deferred and best-effort work leaves free
	queueLimit        int           // maximum of waiting tasks of a team
	retries           int           // failed runs after which a task isn't run again, unless it is of a service
	retryMin          time.Duration // shortest back-off
	retryMax          time.Duration // longest back-off
	grace             time.Duration // from one preemption order to the next stricter one
	gangPreemptAfter  time.Duration // age at which a reservation of a gang preempts tasks
	runTime           func(JobSpec) time.Duration
	onSuccess         func(JobSpec, time.Duration)
	learnedRunTime    func(JobSpec) time.Duration
	runTimeQuantile   func(JobSpec, float64) time.Duration
	maxReservingGangs int // gangs that may have reservations at the same time
}

// expectedRunTime returns the run time of a task by the function of WithRunTime, or the
// declared one when that is 0.
func (s *settings) expectedRunTime(spec JobSpec) time.Duration {
	if d := s.runTime(spec); d > 0 {
		return d
	}
	return spec.estimate
}

// Option changes a placer under construction.
type Option func(*settings)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithUrgentHeadroom sets the fraction of the processors, at least 0 and below 1, that
// deferred and best-effort work leaves free for urgent work.
func WithUrgentHeadroom(fraction float64) Option {
	return func(s *settings) { s.urgentHeadroom = fraction }
}

// WithQueueLimit sets how many tasks of a team may wait at the same time.
func WithQueueLimit(tasks int) Option { return func(s *settings) { s.queueLimit = tasks } }

// WithRetries sets after how many failed runs a task isn't run again, and the shortest and
// longest back-off before the next run. Tasks of services are always run again.
func WithRetries(n int, shortest, longest time.Duration) Option {
	return func(s *settings) { s.retries, s.retryMin, s.retryMax = n, shortest, longest }
}

// WithGrace sets how long a preempted task may take before Checkpoint is followed by
// Throttle, and Throttle by Stop.
func WithGrace(d time.Duration) Option { return func(s *settings) { s.grace = d } }

// WithGangPreemptAfter sets how long a gang waits for its reserved capacity before tasks
// are preempted for it.
func WithGangPreemptAfter(d time.Duration) Option {
	return func(s *settings) { s.gangPreemptAfter = d }
}

// WithRunTime sets the source of expected run times. The declared run time is used
// when it returns 0.
func WithRunTime(f func(JobSpec) time.Duration) Option { return func(s *settings) { s.runTime = f } }

// WithLearnedRunTime sets the source of run times learned from past runs, which returns 0
// when too little is known. Forecasts ignore work without a learned run time. The default
// is the expected run time.
func WithLearnedRunTime(f func(JobSpec) time.Duration) Option {
	return func(s *settings) { s.learnedRunTime = f }
}

// WithRunTimeQuantile sets the source of a quantile, from 0 to 1, of a job's run time,
// which WorkersNeeded samples. The default is the expected run time for every quantile.
func WithRunTimeQuantile(f func(spec JobSpec, quantile float64) time.Duration) Option {
	return func(s *settings) { s.runTimeQuantile = f }
}

// WithOnSuccess sets a function that is called for each task that succeeds, with its job and
// its run time.
func WithOnSuccess(f func(JobSpec, time.Duration)) Option {
	return func(s *settings) { s.onSuccess = f }
}

// New returns a placer without workers and jobs. It returns ErrBadOption for an option
// out of range.
func New(options ...Option) (*Placer, error) {
	s := settings{
		seed:              1,
		queueLimit:        100_000,
		retries:           5,
		retryMin:          time.Second,
		retryMax:          5 * time.Minute,
		grace:             10 * time.Second,
		gangPreemptAfter:  10 * time.Minute,
		runTime:           func(JobSpec) time.Duration { return 0 },
		onSuccess:         func(JobSpec, time.Duration) {},
		maxReservingGangs: 4,
	}
	for _, option := range options {
		option(&s)
	}
	if s.urgentHeadroom < 0 || s.urgentHeadroom >= 1 || s.queueLimit < 1 || s.retries < 1 || s.retryMin <= 0 || s.retryMax < s.retryMin {
		return nil, fmt.Errorf("%w: urgent headroom, queue limit or retries out of range", ErrBadOption)
	}
	if s.learnedRunTime == nil {
		s.learnedRunTime = s.expectedRunTime
	}
	if s.runTimeQuantile == nil {
		s.runTimeQuantile = func(spec JobSpec, _ float64) time.Duration { return s.expectedRunTime(spec) }
	}
	p := &Placer{
		settings:      s,
		random:        rand.New(rand.NewPCG(s.seed, s.seed)),
		byID:          map[string]*node{},
		byRack:        map[string]*rack{},
		jobs:          map[string]*job{},
		byTeam:        map[string]*team{},
		startsAllowed: true,
	}
	for i := range p.byFree {
		p.byFree[i].ref = func(n *node) *cellRef { return &n.freeCell }
	}
	p.byReclaimable.ref = func(n *node) *cellRef { return &n.reclaimableCell }
	return p, nil
}

// SetStartsAllowed allows or forbids Start decisions. They are forbidden while the shard is
// drained.
func (p *Placer) SetStartsAllowed(allowed bool) {
	p.startsAllowed = allowed
	p.passNeeded = true
}

// Pending returns how many tasks wait, including those in back-off.
func (p *Placer) Pending() int { return p.pending }

// Running returns how many tasks are on workers.
func (p *Placer) Running() int { return p.active }

// Capacity returns the total resources of all workers that aren't removed.
func (p *Placer) Capacity() Resources { return p.total }

// Used returns the resources allocated to all tasks on workers, also on removed ones.
func (p *Placer) Used() Resources { return p.used }

// Workers returns how many workers are known, including removed ones on which tasks remain.
func (p *Placer) Workers() int { return len(p.nodes) }
