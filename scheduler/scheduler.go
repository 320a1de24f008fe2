package scheduler

import (
	"context"
	"fmt"
	"sync"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// Defaults of the options.
const (
	DefaultLease            = 10 * time.Second
	DefaultClockSkew        = time.Second
	DefaultOwnershipTimeout = 1500 * time.Millisecond
	DefaultHeartbeat        = 500 * time.Millisecond
	DefaultTimeout          = time.Second
	DefaultRetention        = 24 * time.Hour
)

const (
	tickPeriod   = 100 * time.Millisecond // of lapses and delayed work
	reckonPeriod = time.Second            // of allotments and usage
	trimPeriod   = time.Minute
	decideLimit  = 1000 // decisions under one hold of the lock
)

// stage is where an owner is in its life.
type stage uint8

const (
	recovering stage = iota
	serving
	closing // a planned stop
	closed
	deposed // another owner has the shard
)

// Journal is what a Scheduler needs of a journal. All fields are set.
type Journal struct {
	// Open takes the journal over under the term and returns what it holds: a
	// snapshot, and the records after it.
	Open func(ctx context.Context, term uint64) (snapshot []byte, records [][]byte, err error)
	// Enqueue writes a record with others and calls done once its outcome is
	// known: nil, ErrJournalUnavailable, ErrJournalUnknown or ErrDeposed. A kept
	// record is not given up while the journal is open. ErrJournalUnknown means
	// that the journal has ended.
	Enqueue func(record []byte, kept bool, done func(error))
	// SetSnapshotter sets what encodes the whole state, before Open. The state may
	// hold the effect of records that have no outcome yet; the journal uses it
	// only if none of them fails.
	SetSnapshotter func(func() []byte)
}

// Usage is what a team has in a shard.
type Usage struct {
	team    string
	running placer.Resources // held by running tasks
	tasks   int              // that run
	pending int              // tasks that wait
}

// Team returns the team.
func (u Usage) Team() string { return u.team }

// Used returns what running tasks hold.
func (u Usage) Used() placer.Resources { return u.running }

// RunningTasks returns the number of tasks that run.
func (u Usage) RunningTasks() int { return u.tasks }

// Pending returns the number of tasks that wait.
func (u Usage) Pending() int { return u.pending }

// Scheduler is the owner of one shard during one term.
type Scheduler struct {
	shard string
	term  uint64
	options

	mu       sync.Mutex
	stage    stage
	book     *book
	placer   *placer.Placer
	links    map[string]*link // by worker
	listed   bool             // the platform's list of workers is known
	holding  bool             // jobs known at takeover don't start yet
	quorum   time.Time        // when most workers were fenced first; zero before
	orderly  bool             // the last owner stopped in order
	drained  bool
	counter  uint64 // of job ids in this term
	outbox   outbox
	stalled  []stalledStart  // idempotent starts whose records have no outcome
	waiting  []string        // jobs that wait until the journal is back
	resting  []resting       // jobs that wait before a retry
	retries  *rate.Limiter   // of lost tasks that start again at once
	reckoned time.Time       // last reckon
	trimmed  time.Time       // last trim
	group    sync.WaitGroup  // of goroutines of Run
	base     context.Context // of goroutines of Run; nil before
	cause    error           // why the term has ended

	wake chan struct{} // holds one
	open chan struct{} // closed when recovery is over
	over chan struct{} // closed when the term has ended
}

// options are what Option functions change.
type options struct {
	journal    Journal
	dispatcher *dispatcher.Dispatcher
	planner    []placer.Option
	logger     hclog.Logger
	lease      time.Duration                      // of workers; above contact
	margin     time.Duration                      // for clocks that differ
	contact    time.Duration                      // longest age of the proof that no other owner has taken over
	heartbeat  time.Duration                      // between calls to a worker
	timeout    time.Duration                      // of a call to a worker
	retention  time.Duration                      // of ended jobs and request ids
	allotment  func(team string) int64            // thousandths of a processor; negative for none
	share      func(team string) float64          // weight above 0
	leaving    bool                               // drained from the beginning
	usage      func([]Usage)                      // told each second
	elsewhere  func() map[string]placer.Resources // what teams use in other shards
	limits     Limits
	target     func(placer.JobSpec) (string, bool)   // shard for a job that leaves
	transfer   func(context.Context, Transfer) error // hands a job to its target
}

// Option changes a Scheduler under construction.
type Option func(*options)

// WithJournal sets the journal. It is needed.
func WithJournal(journal Journal) Option { return func(o *options) { o.journal = journal } }

// WithDispatcher sets the way to the workers. It is needed.
func WithDispatcher(d *dispatcher.Dispatcher) Option { return func(o *options) { o.dispatcher = d } }

// WithPlacerOptions sets options of the placer.
func WithPlacerOptions(list ...placer.Option) Option { return func(o *options) { o.planner = list } }

// WithLogger sets the logger.
func WithLogger(logger hclog.Logger) Option { return func(o *options) { o.logger = logger } }

// WithLease sets how long workers go on without hearing from the owner, and the
// margin that is added for clocks that differ.
func WithLease(lease, margin time.Duration) Option {
	return func(o *options) { o.lease, o.margin = lease, margin }
}

// WithOwnershipTimeout sets the longest age of the proof of ownership that a batch to a
// worker needs.
func WithOwnershipTimeout(d time.Duration) Option { return func(o *options) { o.contact = d } }

// WithHeartbeat sets the time between two calls to a worker, and the timeout of
// one.
func WithHeartbeat(period, timeout time.Duration) Option {
	return func(o *options) { o.heartbeat, o.timeout = period, timeout }
}

// WithRetention sets how long ended jobs and request ids are kept.
func WithRetention(d time.Duration) Option { return func(o *options) { o.retention = d } }

// WithQuota sets the source of the teams' upper limits here, in thousandths
// of a processor; negative for none.
func WithQuota(f func(team string) int64) Option { return func(o *options) { o.allotment = f } }

// WithShare sets the source of the teams' weights, above 0.
func WithShare(f func(team string) float64) Option { return func(o *options) { o.share = f } }

// WithUsage sets what is told each second of what the teams have here.
func WithUsage(f func([]Usage)) Option { return func(o *options) { o.usage = f } }

// WithDrained begins with the shard drained, when the configuration says so.
func WithDrained(on bool) Option { return func(o *options) { o.leaving = on } }

// WithRemoteUsage sets the source of what the teams use in other shards, so that
// shares are fair over all of them.
func WithRemoteUsage(f func() map[string]placer.Resources) Option {
	return func(o *options) { o.elsewhere = f }
}

// WithLimits sets what keeps the teams' upper limits over the fleet.
func WithLimits(limits Limits) Option { return func(o *options) { o.limits = limits } }

// WithTransfer sets where jobs go when the shard is drained, and what hands one
// over: nil and ErrNotRun are certain, any other error is not.
func WithTransfer(target func(placer.JobSpec) (shard string, ok bool), transfer func(context.Context, Transfer) error) Option {
	return func(o *options) { o.target, o.transfer = target, transfer }
}

// New returns the owner of a shard for a term, or ErrBadOption.
func New(shard string, term uint64, list ...Option) (*Scheduler, error) {
	o := options{
		logger:    hclog.NewNullLogger(),
		lease:     DefaultLease,
		margin:    DefaultClockSkew,
		contact:   DefaultOwnershipTimeout,
		heartbeat: DefaultHeartbeat,
		timeout:   DefaultTimeout,
		retention: DefaultRetention,
		allotment: func(string) int64 { return -1 },
		share:     func(string) float64 { return 1 },
		usage:     func([]Usage) {},
		elsewhere: func() map[string]placer.Resources { return nil },
		limits:    noLimits(),
		target:    func(placer.JobSpec) (string, bool) { return "", false },
	}
	for _, option := range list {
		option(&o)
	}
	if o.journal.Open == nil || o.journal.Enqueue == nil || o.dispatcher == nil || shard == "" || term == 0 {
		return nil, fmt.Errorf("%w: shard, term, journal and dispatcher are needed", ErrBadOption)
	}
	planner, err := placer.New(o.planner...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadOption, err)
	}
	planner.SetStartsAllowed(!o.leaving)
	return &Scheduler{
		drained: o.leaving,
		shard:   shard,
		term:    term,
		options: o,
		book:    newBook(shard),
		placer:  planner,
		links:   map[string]*link{},
		retries: newBudget(),
		wake:    make(chan struct{}, 1),
		open:    make(chan struct{}),
		over:    make(chan struct{}),
	}, nil
}

// Shard returns the name of the shard.
func (s *Scheduler) Shard() string { return s.shard }

// Term returns the owner's term.
func (s *Scheduler) Term() uint64 { return s.term }

// Ready is closed when recovery is over and calls are served.
func (s *Scheduler) Ready() <-chan struct{} { return s.open }

// Run owns the shard until the context ends, Close has finished, or another
// owner has taken over (ErrDeposed). It is called once.
func (s *Scheduler) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.group.Wait()
	defer cancel()
	if err := s.recover(ctx); err != nil {
		s.mu.Lock()
		s.end(err)
		s.mu.Unlock()
		return err
	}
	s.group.Go(func() { s.pump(ctx) })
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.mu.Lock()
			s.end(ctx.Err())
			s.mu.Unlock()
			return ctx.Err()
		case <-s.over:
			return s.cause
		case <-s.wake:
			time.Sleep(gatherDelay)
		case <-tick.C:
			s.tick(time.Now())
		}
		s.decide(time.Now())
	}
}

// end ends the term; the lock is held.
func (s *Scheduler) end(cause error) {
	if s.stage == closed || s.stage == deposed {
		return
	}
	s.stage = deposed
	if cause == nil {
		s.stage = closed
	}
	s.cause = cause
	close(s.over)
	s.logger.Info("Term ended.", "shard", s.shard, "term", s.term, "cause", cause)
}

// kick makes Run decide soon.
func (s *Scheduler) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
