package conductor

import (
	"context"
	"time"

	"filberthaven.example/keeper"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
)

const (
	// maxStaleness is how long the mirrored configuration and worker entries may be used
	// without an answer of the store. A configuration must be in force 2 s after it was
	// acknowledged, and nothing may start on a worker 2 s after it begins to drain.
	maxStaleness = 1700 * time.Millisecond
	// maxRefusal is how long an owner whose lease is renewed may be out of date before it
	// resigns: the store serves its peers, through which the lease is renewed, but not its
	// watches. A hand-over takes 0.2 s.
	maxRefusal = 600 * time.Millisecond
	// operatorPollInterval is how long changes by operators are batched.
	operatorPollInterval = 20 * time.Millisecond
	// workerPollInterval is how long changes of worker entries are batched. Each worker
	// writes its entry every second or two, and each answer of a watch is charged for.
	workerPollInterval = 200 * time.Millisecond
	// maxStoreBackoff is how late the owner may notice that the store is available
	// again. No run starts before that.
	maxStoreBackoff = 250 * time.Millisecond
)

// startMirrors starts the watches that notify the planner of changes to the
// operators' configuration and to the worker entries.
func (c *Conductor) startMirrors(ctx context.Context) {
	operators := keeper.NewMirror(c.store, platform.OperatorPrefix, keeper.WithPollInterval(operatorPollInterval), keeper.WithDisconnectTimeout(maxStaleness), keeper.WithClock(c.now), keeper.WithMaxBackoff(maxStoreBackoff), keeper.WithLogger(c.log))
	operators.Subscribe(platform.OperatorPrefix, c.applyOperatorChange)
	workers := keeper.NewMirror(c.store, platform.ExecutorsPrefix, keeper.WithPollInterval(workerPollInterval), keeper.WithDisconnectTimeout(maxStaleness), keeper.WithClock(c.now), keeper.WithMaxBackoff(maxStoreBackoff), keeper.WithLogger(c.log))
	workers.Subscribe(platform.ExecutorsPrefix, c.applyWorkerEntry)
	c.mu.Lock()
	c.operatorMirror, c.workerMirror = operators, workers
	c.mu.Unlock()
	c.spawn(func() { _ = operators.Run(ctx) }) // ends with the context only
	c.spawn(func() { _ = workers.Run(ctx) })
}

// applyOperatorChange passes a change by an operator to the planner: a configuration, or
// a data centre taken out of service or returned.
func (c *Conductor) applyOperatorChange(e keeper.Entry) {
	if centre, ok := platform.EvacuatedCentre(e.Key()); ok {
		c.mu.Lock()
		c.planner.SetCordoned(centre, !e.Deleted())
		c.mu.Unlock()
		c.log.Info("data centre taken out of service or put back", "centre", centre, "out", !e.Deleted())
		c.wake()
		return
	}
	if e.Key() != platform.ConfigKey || e.Deleted() {
		return
	}
	config, err := platform.DecodeConfig(e.Value())
	if err != nil {
		c.log.Error("configuration rejected", "version", e.Version(), "error", err)
		return
	}
	c.configure(config)
}

// configure brings a configuration into force. Jobs may fail by it, if their queue allows
// fewer attempts than before.
func (c *Conductor) configure(config planner.Config) {
	c.mu.Lock()
	if c.planner.Configure(config, c.now()) {
		c.routing = newRoutingTable(config)
		c.ready = true
		c.flush()
	}
	c.mu.Unlock()
	c.log.Info("configuration in force", "version", config.Version, "queues", len(config.Queues), "teams", len(config.Teams))
	c.wake()
}

// applyWorkerEntry passes a change of a worker's entry to the planner. Heartbeats start
// for a worker that is new to this owner, has another address, has restarted, or was
// unresponsive when its entry vanished.
func (c *Conductor) applyWorkerEntry(e keeper.Entry) {
	id := platform.ExecutorID(e.Key())
	if e.Deleted() {
		c.deregister(id, "entry deleted")
		return
	}
	registration, err := platform.DecodeExecutor(e.Key(), e.Value())
	if err != nil {
		c.metrics.invalidEntries.Inc(1)
		c.log.Warn("failed to decode worker entry; deregistering the worker", "key", e.Key(), "error", err)
		c.deregister(id, "entry invalid")
		return
	}
	c.mu.Lock()
	s := c.sessions[id]
	reconnect := s == nil || s.address != registration.Address || s.incarnation != registration.Incarnation
	if s == nil {
		s = &session{id: id, wakeup: make(chan struct{}, 1)}
		c.raiseFence(s)
		c.sessions[id] = s
	}
	s.address = registration.Address
	if registration.Incarnation != s.incarnation {
		s.heartbeatNow()
	}
	now := c.now()
	changed := c.planner.Register(registration, now)
	c.follow(s, c.planner.Incarnation(id), now)
	if reconnect || c.planner.NeedsHeartbeat(id) {
		c.startHeartbeats(s) // to learn the worker's clock and its runs
	}
	c.mu.Unlock()
	if !changed {
		return
	}
	c.log.Info("worker registered", "worker", id, "centre", registration.Centre, "draining", registration.Draining, "born", registration.Incarnation)
	c.wake()
}

// upToDate reports whether both mirrors had an answer of the store within maxStaleness.
// Otherwise the configuration or worker entries may have changed without the owner
// knowing.
func (c *Conductor) upToDate() bool {
	c.mu.Lock()
	operators, workers := c.operatorMirror, c.workerMirror
	c.mu.Unlock()
	return operators != nil && operators.Fresh(maxStaleness) && workers.Fresh(maxStaleness)
}

// refusalWatch tells how long an owner with a valid lease has been out of date. The zero
// value is ready.
type refusalWatch struct {
	wasUpToDate bool          // since the takeover
	since       time.Duration // when it was first out of date with a valid lease; 0 if it is not
}

// observe records whether the owner's lease is valid and its mirrors are up to date. It
// reports whether the owner has been out of date for maxRefusal. A new owner whose mirrors
// were never up to date is not counted, nor an owner without a lease: then the store serves
// nobody.
func (r *refusalWatch) observe(isOwner, upToDate bool, now time.Duration) bool {
	r.wasUpToDate = r.wasUpToDate || upToDate
	if upToDate || !isOwner || !r.wasUpToDate {
		r.since = 0
		return false
	}
	if r.since == 0 {
		r.since = now
	}
	return now-r.since >= maxRefusal
}

func (c *Conductor) deregister(id, reason string) {
	c.mu.Lock()
	c.planner.Deregister(id)
	c.mu.Unlock()
	c.log.Info("worker deregistered", "worker", id, "reason", reason)
	c.wake()
}
