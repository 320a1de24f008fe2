package conductor

import (
	"context"
	"sync"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/journaler"
	"filberthaven.example/keeper"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
)

const (
	// updateBatchDelay is how long updates are batched before the planner decides. It
	// is short compared with the 250 ms within which urgent work must start.
	updateBatchDelay = 6 * time.Millisecond
	// idlePerDecision is the least time between two decisions as a multiple of how long
	// the last one took, so that decisions take at most a fifth of the processor. The
	// rest is for orders and heartbeats, without which nothing that was decided happens.
	idlePerDecision = 4
	// maxBatchDelay limits that time.
	maxBatchDelay = 60 * time.Millisecond
	// maxDecisionInterval is the longest time between two decisions. Some changes come
	// without an update, such as the expiry of a lease.
	maxDecisionInterval = 250 * time.Millisecond
	// journalRate is the highest sustained rate of journal segments, per second. Each
	// segment is a write to the store, and writes are charged for. At this rate the mean
	// wait for a segment stays below 20 ms.
	journalRate = 40
	// journalSlots is the size of the journal's ring. A snapshot is written when
	// half of it is used: about every 6 s at journalRate.
	journalSlots = 512
	// journalBatchDelay is how long records are batched when the journal is idle.
	journalBatchDelay = 8 * time.Millisecond
	// sweepInterval is the time between two removals of ended jobs and deregistered
	// workers, and between two updates of the gauges.
	sweepInterval = 2 * time.Second
)

// Conductor runs the fleet for one ownership.
type Conductor struct {
	store         keeper.Store
	newestVersion newestVersion
	term          uint64
	executors     *platform.ExecutorClient
	fetchAdvice   func(ctx context.Context, member claimer.Member, a planner.Action) (map[string]string, time.Duration, error)
	members       func() []claimer.Member
	vmID          string // of this VM
	isOwner       func() bool
	resign        func()
	resignSlow    func()
	resignRefused func()
	hasLargerPeer func() bool
	now           func() time.Duration
	leaseDuration time.Duration // of the leases given to workers
	planning      []planner.Option
	calibrator    *Calibrator
	log           hclog.Logger
	registry      metrics.Registry
	metrics       ownerMetrics

	journal    *journaler.Journaler
	ctx        context.Context // of Run; ends with the ownership
	orderCtx   context.Context // as ctx, but does not end: start orders are bounded by the lease of the ownership
	wakeup     chan struct{}   // of capacity 1; has an element if the planner has updates to decide on
	probeSlots chan struct{}   // of capacity maxProbes; has one element per probe in flight
	orderSlots chan struct{}   // of capacity maxOrders; has one element per start order in flight
	goroutines sync.WaitGroup
	balancer   adviceBalancer

	mu             sync.Mutex // guards the fields below
	planner        *planner.Planner
	operatorMirror *keeper.Mirror      // nil until the journal has been read
	workerMirror   *keeper.Mirror      // set with operatorMirror
	sessions       map[string]*session // by worker id
	routing        routingTable
	tookOverAt     time.Duration // when the journal had been read
	orderLatency   latencyWindow
	runTimesAt     time.Duration // when the learned run times were last logged; set and read by runDecisions only
	waitsAt        time.Duration // when decide last looked for jobs that wait
	decisionTime   time.Duration // how long the last decision took; set and read by runDecisions only
	quietLatency   latencyWindow // of orders sent while few were in flight
	runQueue       runQueue
	begun          []string        // ids of jobs that have begun, for the next record in the journal
	crashes        []planner.Crash // for the next record in the journal
	backlog        startBacklog
	overloadLog    claimer.Repeats // of slow orders because of the load
	partitionLog   claimer.Repeats // of unresponsive workers because of the load
	ready          bool            // the journal has been read and the configuration is known
}

// Option configures a Conductor.
type Option func(*Conductor)

// WithLease sets the duration of the leases given to workers. It should be the longest
// duration that workers accept.
func WithLease(d time.Duration) Option { return func(c *Conductor) { c.leaseDuration = d } }

// WithPlanning sets options of the planner.
func WithPlanning(options ...planner.Option) Option {
	return func(c *Conductor) { c.planning = options }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(c *Conductor) { c.log = log.Named("conductor") }
}

// WithRegistry sets the registry of the metrics.
func WithRegistry(registry metrics.Registry) Option {
	return func(c *Conductor) { c.registry = registry }
}

// WithClock sets the monotonic clock, which must include suspended time.
func WithClock(now func() time.Duration) Option { return func(c *Conductor) { c.now = now } }

// WithIsOwner sets the function that reports whether this VM still owns the fleet.
func WithIsOwner(isOwner func() bool) Option { return func(c *Conductor) { c.isOwner = isOwner } }

// WithResign sets the function that gives up the ownership when this VM cannot
// run the fleet: it reaches too few workers, the journal has ended, or a worker knows a
// newer owner.
func WithResign(resign func()) Option { return func(c *Conductor) { c.resign = resign } }

// WithResignSlow sets the function that gives up the ownership when this VM has become
// too slow to own the fleet.
func WithResignSlow(resign func()) Option { return func(c *Conductor) { c.resignSlow = resign } }

// WithCalibrator sets the calibrator. It should be as old as the process, so that it knows
// the speed of this VM before it became the owner.
func WithCalibrator(calibrator *Calibrator) Option {
	return func(c *Conductor) { c.calibrator = calibrator }
}

// WithResignRefused sets the function that gives up the ownership when the store does not
// serve this VM although it serves others.
func WithResignRefused(resign func()) Option { return func(c *Conductor) { c.resignRefused = resign } }

// WithHasLargerPeer sets the function that reports whether a VM with a much larger processor
// could own the fleet.
func WithHasLargerPeer(has func() bool) Option { return func(c *Conductor) { c.hasLargerPeer = has } }

// WithMembers sets the function that lists the entry VMs, and the function that requests
// advice through one of them. The latter returns tickets by worker id and how long they
// are valid.
func WithMembers(members func() []claimer.Member, fetch func(context.Context, claimer.Member, planner.Action) (map[string]string, time.Duration, error)) Option {
	return func(c *Conductor) { c.members, c.fetchAdvice = members, fetch }
}

// New returns a conductor for the VM with the id vmID, which owns the fleet under term.
func New(store keeper.Store, executors *platform.ExecutorClient, vmID string, term uint64, options ...Option) (*Conductor, error) {
	c := &Conductor{
		executors: executors, vmID: vmID, term: term,
		isOwner: func() bool { return true }, resign: func() {}, resignSlow: func() {}, resignRefused: func() {}, hasLargerPeer: func() bool { return false }, now: claimer.Now,
		members:       func() []claimer.Member { return nil },
		leaseDuration: 6 * time.Second, log: hclog.NewNullLogger(), registry: metrics.NewRegistry(),
		wakeup: make(chan struct{}, 1), probeSlots: make(chan struct{}, maxProbes), orderSlots: make(chan struct{}, maxOrders), sessions: map[string]*session{},
	}
	c.store = c.newestVersion.wrap(store)
	for _, option := range options {
		option(c)
	}
	if c.leaseDuration < time.Second {
		return nil, oops.In("conductor").With("lease", c.leaseDuration).Errorf("lease of the workers is shorter than a second")
	}
	if c.calibrator == nil {
		c.calibrator = NewCalibrator(c.now)
	}
	c.metrics = newOwnerMetrics(c.registry)
	c.planner = planner.New(c.planning...)
	c.balancer = newAdviceBalancer()
	journal, err := journaler.New(c.store, "fleet",
		journaler.WithRate(journalRate), journaler.WithSlots(journalSlots), journaler.WithBatchDelay(journalBatchDelay),
		journaler.WithLogger(c.log), journaler.WithRegistry(c.registry))
	if err != nil {
		return nil, err
	}
	journal.SetSnapshotter(c.snapshot)
	c.journal = journal
	return c, nil
}

// wallClock returns the time in Unix milliseconds.
func wallClock() int64 { return time.Now().UnixMilli() }

// snapshot returns the planner's state, encoded for the journal.
func (c *Conductor) snapshot() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, err := c.planner.Snapshot(c.now(), wallClock())
	if err != nil {
		// Encoding fails only for an unsupported type, which the tests would show.
		c.log.Error("failed to encode snapshot", "error", err)
	}
	return state
}

// leaseExpiry returns when a lease given to a worker now has certainly expired, whenever the
// worker executes the call. It allows for a worker's clock that runs 2% slow and, beyond
// that, for an error of the owner's own clock.
func (c *Conductor) leaseExpiry(now time.Duration) time.Duration {
	return now + c.leaseDuration + c.leaseDuration/40 + 100*time.Millisecond
}

// Run takes over the fleet and runs it until ctx ends. An error means that the takeover
// failed, and the caller then has to give up the ownership.
func (c *Conductor) Run(ctx context.Context) error {
	c.ctx, c.orderCtx = ctx, context.WithoutCancel(ctx)
	startedAt := c.now()
	recovery, err := c.journal.Open(ctx, c.term)
	if err != nil {
		return err
	}
	c.mu.Lock()
	err = c.planner.Restore(recovery.Snapshot(), recovery.Records(), c.now(), wallClock(), c.leaseExpiry(startedAt))
	live, unsettled := c.planner.LiveJobs(), c.planner.UnsettledStarts()
	c.tookOverAt = c.now()
	c.mu.Unlock()
	if err != nil {
		c.journal.Abort()
		return oops.In("conductor").With("term", c.term).Wrapf(err, "failed to replay journal")
	}
	c.log.Info("fleet taken over", "term", c.term, "jobs", live, "unsettled", unsettled, "took", c.now()-startedAt)
	c.startMirrors(ctx)
	c.spawn(func() { c.watchLoad(ctx) })
	c.runDecisions(ctx)
	c.goroutines.Wait()
	// Wait for the records in flight, so that callers get the true outcome.
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := c.journal.Close(closing); err != nil {
		c.log.Info("journal closed with unresolved records", "error", err)
	}
	c.metrics.pending.Update(0)
	c.metrics.pendingOrdered.Update(0)
	c.metrics.fastWorkers.Update(0)
	c.metrics.slowWorkers.Update(0)
	c.metrics.forecastError.Update(0)
	c.metrics.declaredError.Update(0)
	c.metrics.updateReservations(planner.Reservations{})
	c.metrics.orderRate.Update(0)
	c.metrics.ordersWaiting.Update(0)
	c.log.Info("fleet released", "term", c.term)
	return nil
}

// wake makes runDecisions call the planner soon.
func (c *Conductor) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// runDecisions lets the planner decide after updates, and at least once every
// maxDecisionInterval, until ctx ends. It pauses while the ownership is in doubt, a mirror
// is out of date or the journal takes no starts. It resigns when the journal has ended or
// the store does not serve this VM.
func (c *Conductor) runDecisions(ctx context.Context) {
	ticker := time.NewTicker(maxDecisionInterval)
	defer ticker.Stop()
	c.updateGauges()
	lastSweep, lastGauges := c.now(), c.now()
	var refusals refusalWatch
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.journal.Done():
			c.log.Warn("journal is over", "error", c.journal.Err())
			c.resign()
			<-ctx.Done()
			return
		case <-c.wakeup:
			c.sleep(batchDelay(c.decisionTime))
			select {
			case <-c.wakeup:
			default:
			}
		case <-ticker.C:
		}
		if now := c.now(); now-lastGauges > sweepInterval {
			lastGauges = now
			c.updateGauges()
		}
		isOwner, upToDate := c.isOwner(), c.upToDate()
		if refusals.observe(isOwner, upToDate, c.now()) {
			c.log.Warn("store renews the lease but answers no watch; resigning", "after", maxRefusal)
			c.resignRefused()
		}
		if !isOwner || !upToDate || !c.journal.Available() {
			continue
		}
		c.decide(ctx)
		if now := c.now(); now-lastSweep > sweepInterval {
			lastSweep = now
			c.sweep(now)
		}
	}
}

// batchDelay returns how long updates are batched before a decision, if the last one took
// that long.
func batchDelay(lastDecision time.Duration) time.Duration {
	return min(max(updateBatchDelay, idlePerDecision*lastDecision), maxBatchDelay)
}

// decide carries out the planner's decisions, and resigns if most workers do not respond
// while the processor has spare time. A saturated owner reads their answers too late.
func (c *Conductor) decide(ctx context.Context) {
	c.mu.Lock()
	now := c.now()
	partitioned, saturated := c.planner.Partitioned(now), c.runQueue.saturated()
	c.planner.SetStartLimit(c.backlog.room(now))
	c.planner.SetOrderRate(c.backlog.rate, c.backlog.starts)
	c.planner.SetOrderDelay(c.backlog.delay())
	actions := c.planner.Decide(now, wallClock())
	if c.planner.HasEnded() {
		c.flush() // jobs that have failed, so that callers see it at once
	}
	c.decisionTime = c.now() - now
	var waits []planner.Wait
	if now-c.waitsAt >= sweepInterval {
		c.waitsAt = now
		waits = c.planner.TakeWaits(now)
	}
	if partitioned && saturated {
		if repeats, due := c.partitionLog.Next(now); due {
			c.log.Warn("most workers do not respond, and the processor has no spare time; keeping the ownership", "repeats", repeats)
		}
	}
	c.mu.Unlock()
	if partitioned && !saturated {
		c.log.Warn("most workers do not respond; resigning")
		c.resign()
	}
	for _, w := range waits {
		c.log.Info("job waits", "job", w.Job, "step", w.Step, "since", w.Since.Round(time.Millisecond), "rank", w.Rank, "tasks", w.Tasks, "gang", w.Gang,
			"reason", w.Reason)
	}
	var starts []planner.Action
	for _, a := range actions {
		switch a.Kind {
		case planner.RequestAdvice:
			c.requestAdvice(ctx, a)
		case planner.Start:
			c.log.Info("start", "task", a.Task, "run", a.Number, "worker", a.Worker, "reason", a.Reason)
			c.metrics.starts.Inc(1)
			if a.Backfill {
				c.metrics.backfilled.Inc(1)
			}
			if a.CopyOf != 0 {
				c.metrics.copies.Inc(1)
			}
			starts = append(starts, a)
		case planner.Stop:
			c.logStop(a)
			c.spawn(func() { c.stop(a) })
		}
	}
	if len(starts) > 0 {
		c.orderStarts(starts)
	}
}

// logStop logs and counts the decision to stop a run.
func (c *Conductor) logStop(a planner.Action) {
	c.metrics.stops.Inc(1)
	if !a.Preempting {
		c.log.Info("stop", "task", a.Task, "run", a.Number, "worker", a.Worker)
		return
	}
	c.metrics.preemptions.Inc(1)
	c.log.Info("stop", "task", a.Task, "run", a.Number, "worker", a.Worker, "reason", a.Reason)
}

// wakeForBacklog makes runDecisions decide the starts that the limit has deferred. The caller
// holds c.mu.
func (c *Conductor) wakeForBacklog() {
	if c.planner.StartsDeferred() {
		c.wake()
	}
}

// spawn runs f in a goroutine that Run waits for.
func (c *Conductor) spawn(f func()) { c.goroutines.Go(f) }

// sweep removes deregistered workers and ended jobs past their retention, and persists
// what no other record has taken along.
func (c *Conductor) sweep(now time.Duration) {
	c.mu.Lock()
	c.planner.PruneJobs(now)
	c.readOldClocks(now)
	removed, stored := c.planner.PruneWorkers(now)
	for _, id := range removed {
		delete(c.sessions, id)
	}
	for _, id := range stored {
		c.persist(planner.Record{RemovedWorker: id}, nil)
	}
	c.flush()
	runTimes := c.planner.LearnedRunTimes()
	c.mu.Unlock()
	for _, id := range removed {
		c.log.Info("worker removed", "worker", id)
	}
	c.reportRunTimes(runTimes, now)
}

// flush persists begun and ended jobs and crashes that no record holds yet. The caller
// holds c.mu.
func (c *Conductor) flush() {
	c.collectCrashes()
	if len(c.begun) > 0 || len(c.crashes) > 0 || c.planner.HasEnded() {
		c.persist(planner.Record{}, nil)
	}
}

// hasFacts reports whether takeFacts would move anything. The caller holds c.mu.
func (c *Conductor) hasFacts() bool {
	c.collectCrashes()
	return len(c.begun) > 0 || len(c.crashes) > 0 || c.planner.HasLosses() || c.planner.HasSettled()
}

// collectCrashes logs the crashes that the planner has noted, and keeps them for the next
// record. The caller holds c.mu.
func (c *Conductor) collectCrashes() {
	for _, crash := range c.planner.TakeCrashes() {
		c.crashes = append(c.crashes, crash)
		if crash.Resolved() {
			c.log.Info("crash decided", "task", crash.Task, "run", crash.Number, "worker", crash.Worker, "crashed", crash.Ended, "gone", crash.Gone, "proven", crash.Proven, "chance", crash.Chance)
			continue
		}
		c.metrics.crashes.Inc(1)
		c.log.Info("worker crashed", "task", crash.Task, "run", crash.Number, "suspect", crash.Suspect, "proven", crash.Proven,
			"worker", crash.Worker, "sign", crash.Sign.String(), "age_ms", crash.Age, "started", crash.Started, "alone", crash.Separate,
			"ended", crash.Ended, "chance", crash.Chance)
	}
}

// takeFacts moves the begun jobs, crashes, losses and settled starts that no record holds yet
// into the caller's record. The caller holds c.mu.
func (c *Conductor) takeFacts(r *planner.Record) {
	c.collectCrashes()
	r.Begun, r.Crashes, r.Losses, r.Settled = c.begun, c.crashes, c.planner.TakeLosses(), c.planner.TakeSettled()
	c.begun, c.crashes = nil, nil
}

// persist queues a record of an event that has already happened, and with it the jobs that
// have begun or ended. The journal retries until the ownership ends. Once it holds the
// record, callers see the ends, and stored is called with c.mu held if it is not nil. The
// caller holds c.mu since it passed the event to the planner, so that the journal holds
// events in the order in which the planner applied them.
func (c *Conductor) persist(r planner.Record, stored func()) {
	ended := c.planner.TakeEnded()
	r.At, r.Failed = wallClock(), c.planner.Failed(ended)
	c.takeFacts(&r)
	data, err := r.Encode()
	if err != nil {
		// What has happened would be missing from the journal; the next owner learns it anew.
		c.log.Error("failed to encode record; giving up the ownership", "error", err)
		c.resign()
		return
	}
	err = c.journal.EnqueueMandatory(data, func(err error) {
		if err != nil {
			c.log.Warn("record not persisted", "error", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if stored != nil {
			stored()
		}
		c.reportEnded(ended)
	})
	if err != nil {
		c.log.Warn("record not persisted", "error", err)
	}
}
