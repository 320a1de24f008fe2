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
	tickPeriod        = 100 * time.Millisecond // between checks of leases, back-offs and other timed work
	teamRefreshPeriod = time.Second            // between updates of the teams in the placer
	prunePeriod       = time.Minute
	decideLimit       = 1000 // decisions in one scheduling cycle, which holds Scheduler.mu
)

// phase is the phase of an owner's term.
type phase uint8

const (
	recovering phase = iota
	serving
	closing // Close writes the remaining records
	closed  // Close has ended the term
	aborted // the term has ended in another way: superseded, context done or an error
)

// Journal is the journal of a shard. Open and Enqueue are required.
type Journal struct {
	// Open takes the journal over under the term and returns its content: a snapshot,
	// and the records after it.
	Open func(ctx context.Context, term uint64) (snapshot []byte, records [][]byte, err error)
	// Enqueue queues a record for the next batch, and calls done with the result of the
	// write: nil, ErrJournalUnavailable, ErrJournalUnknown or ErrDeposed. A mandatory
	// record is retried while the journal is open. ErrJournalUnknown also means that the
	// journal has stopped.
	Enqueue func(record []byte, mandatory bool, done func(error))
	// SetSnapshotter sets the function that encodes the whole state; it is called before
	// Open. A snapshot may include the effect of records that are not written yet; the
	// journal uses the snapshot only if none of these writes fails.
	SetSnapshotter func(func() []byte)
}

// Usage is what a team uses in a shard.
type Usage struct {
	team    string
	used    placer.Resources // allocated to tasks on workers, begun or not
	running int              // number of tasks that have begun
	pending int              // number of the other tasks, also of those on workers
}

// Team returns the name of the team.
func (u Usage) Team() string { return u.team }

// Used returns the resources allocated to tasks on workers, whether they have begun there
// or not.
func (u Usage) Used() placer.Resources { return u.used }

// RunningTasks returns the number of tasks that run, as confirmed by their workers.
func (u Usage) RunningTasks() int { return u.running }

// PendingTasks returns the number of tasks that wait to begin.
func (u Usage) PendingTasks() int { return u.pending }

// Scheduler is the owner of one shard during one term.
type Scheduler struct {
	shard string
	term  uint64
	options

	mu                  sync.Mutex // guards the fields from phase to cause, except group
	phase               phase
	state               *shardState
	placer              *placer.Placer
	links               map[string]*link // by worker id
	workersListed       bool             // the platform's list of workers is known
	awaitingFences      bool             // after an unclean takeover, until each worker is fenced or its lease has expired
	quorumAt            time.Time        // from then on no earlier owner can reach a majority of the workers; zero before
	cleanTakeover       bool             // the journal contains every start of the previous owner
	draining            bool
	jobSequence         uint64 // number of the last job id of this term
	outbox              outbox
	pendingStarts       []pendingStart  // starts of idempotent tasks whose record is being written
	jobsAwaitingJournal []string        // ids of jobs that are paused until the journal is up again
	begunTasks          map[string]int  // number of running tasks that have begun, by team
	backoffs            []backoff       // jobs that are paused before a retry
	retryLimiter        *rate.Limiter   // limits the retries of lost tasks that start without a delay
	teamsRefreshedAt    time.Time       // last call of refreshTeams
	prunedAt            time.Time       // last call of shardState.prune
	group               sync.WaitGroup  // goroutines of Run
	runCtx              context.Context // context of Run; nil before recovery
	cause               error           // why the term has ended; nil after Close

	wakeup chan struct{} // capacity 1; causes a scheduling cycle
	ready  chan struct{} // closed when recovery is complete
	ended  chan struct{} // closed when the term has ended
}

// options holds the settings that Option functions change.
type options struct {
	journal          Journal
	dispatcher       *dispatcher.Dispatcher
	placerOptions    []placer.Option
	logger           hclog.Logger
	lease            time.Duration                      // of workers; longer than ownershipTimeout
	clockSkew        time.Duration                      // added before a lease counts as expired, since clocks differ
	ownershipTimeout time.Duration                      // maximum age of the proof of ownership for orders and leases
	heartbeat        time.Duration                      // between calls to a worker
	timeout          time.Duration                      // of a call to a worker
	retention        time.Duration                      // of ended jobs and claims
	quota            func(team string) int64            // thousandths of a processor; negative for no limit
	share            func(team string) float64          // weight above 0
	startDraining    bool                               // as if Drain had been called before Run
	reportUsage      func([]Usage)                      // called each teamRefreshPeriod
	remoteUsage      func() map[string]placer.Resources // of teams in other shards
	limits           Limits
	target           func(placer.JobSpec) (string, bool)   // shard that takes a job when this one is draining
	transfer         func(context.Context, Transfer) error // hands a job to its target
}

// Option changes a Scheduler under construction.
type Option func(*options)

// WithJournal sets the journal. It is required.
func WithJournal(journal Journal) Option { return func(o *options) { o.journal = journal } }

// WithDispatcher sets the dispatcher, which sends orders to the workers. It is required.
func WithDispatcher(d *dispatcher.Dispatcher) Option { return func(o *options) { o.dispatcher = d } }

// WithPlacerOptions sets the options of the placer.
func WithPlacerOptions(list ...placer.Option) Option {
	return func(o *options) { o.placerOptions = list }
}

// WithLogger sets the logger.
func WithLogger(logger hclog.Logger) Option { return func(o *options) { o.logger = logger } }

// WithLease sets how long a worker runs tasks without a renewal by the owner, and how
// much longer the owner waits, since clocks differ, before the lease counts as expired.
func WithLease(lease, clockSkew time.Duration) Option {
	return func(o *options) { o.lease, o.clockSkew = lease, clockSkew }
}

// WithOwnershipTimeout sets the maximum age of the last proof of ownership. When it is
// older, the owner sends no orders and renews no leases.
func WithOwnershipTimeout(d time.Duration) Option { return func(o *options) { o.ownershipTimeout = d } }

// WithHeartbeat sets the time between two calls to a worker, and the timeout of a
// call.
func WithHeartbeat(period, timeout time.Duration) Option {
	return func(o *options) { o.heartbeat, o.timeout = period, timeout }
}

// WithRetention sets how long ended jobs and claims are kept, with their request ids.
func WithRetention(d time.Duration) Option { return func(o *options) { o.retention = d } }

// WithQuota sets the function that returns a team's quota in this shard, in
// thousandths of a processor; negative for no limit.
func WithQuota(f func(team string) int64) Option { return func(o *options) { o.quota = f } }

// WithShare sets the function that returns a team's weight, above 0.
func WithShare(f func(team string) float64) Option { return func(o *options) { o.share = f } }

// WithUsageReporter sets a function that receives the usage of all teams each second.
func WithUsageReporter(f func([]Usage)) Option { return func(o *options) { o.reportUsage = f } }

// WithDraining sets whether the shard is draining from the beginning, as after Drain.
func WithDraining(on bool) Option { return func(o *options) { o.startDraining = on } }

// WithRemoteUsage sets the function that returns what the teams use in other shards,
// so that shares are fair over all shards.
func WithRemoteUsage(f func() map[string]placer.Resources) Option {
	return func(o *options) { o.remoteUsage = f }
}

// WithLimits sets the limits of the teams over all shards.
func WithLimits(limits Limits) Option { return func(o *options) { o.limits = limits } }

// WithTransfer sets the functions that choose another shard for a job while this one is
// draining, and that hand the job over. If transfer returns nil the other shard has
// accepted the job, and after ErrNotRun it certainly has not; after any other error it
// may have.
func WithTransfer(target func(placer.JobSpec) (shard string, ok bool), transfer func(context.Context, Transfer) error) Option {
	return func(o *options) { o.target, o.transfer = target, transfer }
}

// New returns the owner of a shard for a term, or ErrBadOption. Run starts it.
func New(shard string, term uint64, list ...Option) (*Scheduler, error) {
	o := options{
		logger:           hclog.NewNullLogger(),
		lease:            DefaultLease,
		clockSkew:        DefaultClockSkew,
		ownershipTimeout: DefaultOwnershipTimeout,
		heartbeat:        DefaultHeartbeat,
		timeout:          DefaultTimeout,
		retention:        DefaultRetention,
		quota:            func(string) int64 { return -1 },
		share:            func(string) float64 { return 1 },
		reportUsage:      func([]Usage) {},
		remoteUsage:      func() map[string]placer.Resources { return nil },
		limits:           noLimits(),
		target:           func(placer.JobSpec) (string, bool) { return "", false },
	}
	for _, option := range list {
		option(&o)
	}
	if o.journal.Open == nil || o.journal.Enqueue == nil || o.dispatcher == nil || shard == "" || term == 0 {
		return nil, fmt.Errorf("%w: shard, term, journal and dispatcher are needed", ErrBadOption)
	}
	placement, err := placer.New(o.placerOptions...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadOption, err)
	}
	placement.SetStartsAllowed(!o.startDraining)
	return &Scheduler{
		draining:     o.startDraining,
		shard:        shard,
		term:         term,
		options:      o,
		state:        newShardState(shard),
		placer:       placement,
		links:        map[string]*link{},
		begunTasks:   map[string]int{},
		retryLimiter: newRetryLimiter(),
		wakeup:       make(chan struct{}, 1),
		ready:        make(chan struct{}),
		ended:        make(chan struct{}),
	}, nil
}

// Shard returns the name of the shard.
func (s *Scheduler) Shard() string { return s.shard }

// Term returns the owner's term.
func (s *Scheduler) Term() uint64 { return s.term }

// Ready returns a channel that is closed when recovery is complete and calls are served.
func (s *Scheduler) Ready() <-chan struct{} { return s.ready }

// Run owns the shard until the context ends, Close has finished, or another owner has
// taken over (ErrDeposed). It must be called once.
func (s *Scheduler) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.group.Wait()
	defer cancel()
	if err := s.recover(ctx); err != nil {
		s.mu.Lock()
		s.endTerm(err)
		s.mu.Unlock()
		return err
	}
	s.group.Go(func() { s.sendRecords(ctx) })
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.mu.Lock()
			s.endTerm(ctx.Err())
			s.mu.Unlock()
			return ctx.Err()
		case <-s.ended:
			return s.cause
		case <-s.wakeup:
			time.Sleep(batchDelay)
		case <-tick.C:
			s.tick(time.Now())
		}
		s.decide(time.Now())
	}
}

// endTerm ends the term; a nil cause means that Close has finished. The caller holds
// s.mu.
func (s *Scheduler) endTerm(cause error) {
	if s.phase == closed || s.phase == aborted {
		return
	}
	s.phase = aborted
	if cause == nil {
		s.phase = closed
	}
	s.cause = cause
	close(s.ended)
	s.logger.Info("Term ended.", "shard", s.shard, "term", s.term, "cause", cause)
}

// wake causes a scheduling cycle soon.
func (s *Scheduler) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}
