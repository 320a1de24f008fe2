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
	// gatherTime is how long news gather before the planner decides; short
	// against the 250 ms in which urgent work is to start.
	gatherTime = 6 * time.Millisecond
	// tickTime is the longest time between two decisions, for what only time
	// brings about.
	tickTime = 250 * time.Millisecond
	// journalRate is the number of segments a second: each is a priced write to
	// the store, and the mean wait for one stays below 20 ms.
	journalRate = 40
	// journalSlots is the ring, a snapshot about every 6 s at the highest rate.
	journalSlots = 512
	// journalWindow is how long records gather when the journal is idle.
	journalWindow = 8 * time.Millisecond
	// expireTime is the time between two sweeps of ended jobs and lost workers.
	expireTime = 2 * time.Second
)

// Conductor runs the fleet for one ownership.
type Conductor struct {
	store    keeper.Store
	term     uint64
	orders   *platform.ExecutorClient
	asking   func(ctx context.Context, member claimer.Member, a planner.Action) (map[string]string, time.Duration, error)
	members  func() []claimer.Member
	self     string
	valid    func() bool
	unfit    func()
	slow     func()
	now      func() time.Duration
	lease    time.Duration // longest lease of a worker
	log      hclog.Logger
	registry metrics.Registry
	figures  figures

	journal *journaler.Journaler
	ctx     context.Context // of the ownership
	kick    chan struct{}   // of capacity 1: there is news for the planner
	looks   chan struct{}   // of capacity looksLimit: one element for each look under way
	tasks   sync.WaitGroup
	asker   asker

	mu        sync.Mutex // guards what follows
	planner   *planner.Planner
	operators *keeper.Mirror // set before open
	workers   *keeper.Mirror
	links     map[string]*link
	table     table
	taken     time.Duration // when the fleet was taken over
	pace      pace
	open      bool // the journal has been read and the configuration is known
}

// Option changes a Conductor under construction.
type Option func(*Conductor)

// WithLease sets the longest lease that workers grant.
func WithLease(d time.Duration) Option { return func(c *Conductor) { c.lease = d } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(c *Conductor) { c.log = log.Named("conductor") }
}

// WithRegistry counts in that registry.
func WithRegistry(registry metrics.Registry) Option {
	return func(c *Conductor) { c.registry = registry }
}

// WithClock sets the steady clock that counts suspension.
func WithClock(now func() time.Duration) Option { return func(c *Conductor) { c.now = now } }

// WithValid sets what tells whether the ownership surely holds.
func WithValid(valid func() bool) Option { return func(c *Conductor) { c.valid = valid } }

// WithResign sets what is called when too few workers are in reach to own the
// fleet.
func WithResign(unfit func()) Option { return func(c *Conductor) { c.unfit = unfit } }

// WithSlow sets what is called when this VM has become too slow to own the fleet.
func WithSlow(slow func()) Option { return func(c *Conductor) { c.slow = slow } }

// WithMembers sets the entry VMs, and how one of them asks for advice.
func WithMembers(members func() []claimer.Member, ask func(context.Context, claimer.Member, planner.Action) (map[string]string, time.Duration, error)) Option {
	return func(c *Conductor) { c.members, c.asking = members, ask }
}

// New returns a conductor for an ownership under term, of the VM called self.
func New(store keeper.Store, orders *platform.ExecutorClient, self string, term uint64, options ...Option) (*Conductor, error) {
	c := &Conductor{
		store: store, orders: orders, self: self, term: term,
		valid: func() bool { return true }, unfit: func() {}, slow: func() {}, now: claimer.Now,
		members: func() []claimer.Member { return nil },
		lease:   6 * time.Second, log: hclog.NewNullLogger(), registry: metrics.NewRegistry(),
		kick: make(chan struct{}, 1), looks: make(chan struct{}, looksLimit), links: map[string]*link{},
	}
	for _, option := range options {
		option(c)
	}
	if c.lease < time.Second {
		return nil, oops.In("conductor").With("lease", c.lease).Errorf("lease of the workers is below a second")
	}
	c.figures = newFigures(c.registry)
	c.planner = planner.New()
	c.asker = newAsker()
	journal, err := journaler.New(store, "fleet",
		journaler.WithRate(journalRate), journaler.WithSlots(journalSlots), journaler.WithBatchDelay(journalWindow),
		journaler.WithLogger(c.log), journaler.WithRegistry(c.registry))
	if err != nil {
		return nil, err
	}
	journal.SetSnapshotter(c.snapshot)
	c.journal = journal
	return c, nil
}

// wallClock returns Unix milliseconds.
func wallClock() int64 { return time.Now().UnixMilli() }

// snapshot returns the state for the journal.
func (c *Conductor) snapshot() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, err := c.planner.Snapshot(c.now(), wallClock())
	if err != nil {
		// Only a type that can't be encoded fails, which tests would show.
		c.log.Error("state can't be encoded", "error", err)
	}
	return state
}

// lapse returns when a lease given out now has surely lapsed: a worker's clock
// may be 2% slow, and its reading of the order a little late.
func (c *Conductor) lapse(now time.Duration) time.Duration {
	return now + c.lease + c.lease/40 + 100*time.Millisecond
}

// Run takes the fleet over and runs it until ctx ends. An error tells why it
// could not; the ownership is of no use then.
func (c *Conductor) Run(ctx context.Context) error {
	c.ctx = ctx
	begun := c.now()
	recovery, err := c.journal.Open(ctx, c.term)
	if err != nil {
		return err
	}
	c.mu.Lock()
	err = c.planner.Restore(recovery.Snapshot(), recovery.Records(), c.now(), wallClock(), c.lapse(begun))
	live := c.planner.Live()
	c.taken = c.now()
	c.mu.Unlock()
	if err != nil {
		c.journal.Abort()
		return oops.In("conductor").With("term", c.term).Wrapf(err, "journal can't be replayed")
	}
	c.log.Info("fleet taken over", "term", c.term, "jobs", live, "took", c.now()-begun)
	c.follow(ctx)
	c.decideOn(ctx)
	c.tasks.Wait()
	// Records under way are settled, so that their callers are told the truth.
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := c.journal.Close(closing); err != nil {
		c.log.Info("journal closed with records open", "error", err)
	}
	c.log.Info("fleet given up", "term", c.term)
	return nil
}

// wake has the planner decide soon.
func (c *Conductor) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// decideOn has the planner decide after news and now and then.
func (c *Conductor) decideOn(ctx context.Context) {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	swept := c.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.journal.Done():
			c.log.Warn("journal is over", "error", c.journal.Err())
			c.unfit()
			<-ctx.Done()
			return
		case <-c.kick:
			time.Sleep(gatherTime)
			select {
			case <-c.kick:
			default:
			}
		case <-ticker.C:
		}
		if !c.valid() || !c.fresh() {
			continue
		}
		c.decide(ctx)
		if now := c.now(); now-swept > expireTime {
			swept = now
			c.sweep(now)
		}
	}
}

// decide carries out what the planner decides.
func (c *Conductor) decide(ctx context.Context) {
	c.mu.Lock()
	now := c.now()
	cut := c.planner.Partitioned()
	actions := c.planner.Decide(now, wallClock())
	c.mu.Unlock()
	if cut {
		c.log.Warn("more workers are silent than in reach; resigning")
		c.unfit()
	}
	var starts []planner.Action
	for _, a := range actions {
		switch a.Kind {
		case planner.Ask:
			c.ask(ctx, a)
		case planner.Start:
			c.log.Info("start", "task", a.Task, "run", a.Number, "worker", a.Worker, "reason", a.Reason)
			c.figures.starts.Inc(1)
			starts = append(starts, a)
		case planner.Stop:
			c.log.Info("stop", "task", a.Task, "run", a.Number, "worker", a.Worker)
			c.figures.stops.Inc(1)
			c.spawn(func() { c.stop(a) })
		}
	}
	if len(starts) > 0 {
		c.begin(starts)
	}
}

// spawn runs f as part of the ownership.
func (c *Conductor) spawn(f func()) { c.tasks.Go(f) }

// sweep forgets what is over.
func (c *Conductor) sweep(now time.Duration) {
	c.mu.Lock()
	c.planner.Expire(now)
	gone := c.planner.PruneWorkers(now)
	for _, id := range gone {
		delete(c.links, id)
	}
	c.mu.Unlock()
	for _, id := range gone {
		c.log.Info("worker forgotten", "worker", id)
		c.keep(planner.Record{Drop: id}, nil)
	}
}

// keep writes a record of what has happened; it is tried for as long as the
// ownership lasts. stored is called once the journal holds it.
func (c *Conductor) keep(r planner.Record, stored func()) {
	r.At = wallClock()
	data, err := r.Encode()
	if err != nil {
		c.log.Error("record can't be encoded", "error", err)
		return
	}
	err = c.journal.EnqueueMandatory(data, func(err error) {
		if err != nil {
			c.log.Warn("record not kept", "error", err)
			return
		}
		if stored != nil {
			stored()
		}
	})
	if err != nil {
		c.log.Warn("record not kept", "error", err)
	}
}
