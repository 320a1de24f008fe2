package conductor

import (
	"time"

	"filberthaven.example/planner"
	"filberthaven.example/platform"
)

const (
	// stopBackoff is the delay before a stop without confirmation is repeated.
	stopBackoff = 300 * time.Millisecond
	// maxOrders is the number of start orders in flight. With more at once, the orders of
	// an owner without a free processor slow each other down until all time out. With
	// fewer, a tenth of 1,100 workers that don't answer for the 0.8 s of an order would
	// hold up the others.
	maxOrders = 256
	// maxOrderWait is how long a start waits for its turn. After that it is decided anew,
	// since its ticket and the state that it was decided on are out of date.
	maxOrderWait = time.Second
	// maxGangOrderWait is that time for a member of a gang, whose first members run already and
	// wait for the others. It is shorter than their workers let them wait (3 s at least).
	maxGangOrderWait = 2500 * time.Millisecond
)

// orderStarts writes starts to the journal before it orders them, so that the next
// owner knows where each task may be running. The starts of a job are one record, so that the
// journal has all members of a gang or none, and a job whose starts can't be stored does
// not hold up the others. Crashes are stored no later than the next start.
func (c *Conductor) orderStarts(starts []planner.Action) {
	c.mu.Lock()
	c.backlog.add(len(starts))
	if c.hasFacts() {
		c.persist(planner.Record{}, nil)
	}
	c.mu.Unlock()
	for _, ofJob := range groupByJob(starts) {
		c.storeStarts(ofJob)
	}
}

// groupByJob returns the starts of each job, in the order of their first ones.
func groupByJob(starts []planner.Action) [][]planner.Action {
	var groups [][]planner.Action
	index := map[string]int{}
	for _, a := range starts {
		i, known := index[a.Job()]
		if !known {
			i = len(groups)
			index[a.Job()] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], a)
	}
	return groups
}

// storeStarts writes starts to the journal and then orders them. Starts that the journal does
// not take are withdrawn.
func (c *Conductor) storeStarts(starts []planner.Action) {
	record := planner.Record{At: wallClock()}
	for _, a := range starts {
		record.Begins = append(record.Begins, a.Begin())
	}
	data, err := record.Encode()
	if err == nil {
		err = c.journal.Enqueue(data, func(err error) {
			if err == nil {
				err = c.ctx.Err()
			}
			if err != nil {
				c.withdrawStarts(starts, err)
				return
			}
			for _, a := range starts {
				c.spawn(func() { c.start(a) })
			}
		})
	}
	if err != nil {
		c.withdrawStarts(starts, err)
	}
}

// withdrawStarts reports to the planner that starts were not ordered because of err.
func (c *Conductor) withdrawStarts(starts []planner.Action, err error) {
	c.log.Info("starts taken back", "job", starts[0].Job(), "starts", len(starts), "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range starts {
		c.backlog.withdraw()
		c.planner.ReportStart(a, planner.Withdrawn, c.now())
		c.log.Info("start withdrawn", "task", a.Task, "run", a.Number, "worker", a.Worker, "error", err)
	}
}

// start sends a start order to the worker, once it is its turn, and reports the outcome to
// the planner. It withdraws the start if its turn comes too late, if the start is no longer
// wanted, if the worker no longer accepts tasks, if the worker's clock is unknown, or if
// this VM may be out of date or no longer the owner. A start that the journal holds is
// ordered also after a resignation, while the lease of the ownership certainly runs: the
// other members of a gang may be running already.
func (c *Conductor) start(a planner.Action) {
	queuedAt := c.now()
	c.orderSlots <- struct{}{}
	defer func() { <-c.orderSlots }()
	inFlight := len(c.orderSlots)
	late := c.now()-queuedAt > orderWait(a)
	upToDate := c.upToDate()
	c.mu.Lock()
	s := c.sessions[a.Worker]
	sentAt := c.now()
	wanted := c.planner.Wanted(a)
	if s == nil || !s.clock.known || late || !wanted || !upToDate || !c.isOwner() || !c.planner.Accepts(a.Worker) {
		c.backlog.withdraw()
		c.planner.ReportStart(a, planner.Withdrawn, sentAt)
		c.mu.Unlock()
		c.log.Info("start withdrawn", "task", a.Task, "run", a.Number, "worker", a.Worker, "fresh", upToDate, "late", late, "wanted", wanted)
		c.wake()
		return
	}
	c.backlog.begin(inFlight, sentAt)
	c.planner.ExtendLease(a.Worker, c.leaseExpiry(sentAt))
	c.planner.MarkOrdered(a, sentAt)
	address, lease := s.address, platform.Lease{Fence: c.fenceOf(s), Until: s.leaseUntil(sentAt, c.leaseDuration)}
	c.mu.Unlock()
	result, err := c.executors.Start(c.orderCtx, address, a, lease)
	receivedAt := c.now()
	if c.refusedAsOutdated(s, lease.Fence, result.Outcome) {
		result.Outcome = planner.Refused
	}
	if c.ctx.Err() != nil {
		if result.Outcome != planner.Unknown {
			c.mu.Lock()
			c.planner.SettleStart(a) // for the snapshot that the next owner reads
			c.mu.Unlock()
		}
		return
	}
	c.mu.Lock()
	c.backlog.finish(c.now())
	c.wakeForBacklog()
	c.observe(s, result, sentAt, receivedAt)
	if result.Outcome != planner.Unknown {
		// An order without an answer tells of its worker, not of this VM.
		c.backlog.answer(a.DecidedAt, receivedAt)
		c.observeLatency(c.now()-sentAt, inFlight)
	}
	c.planner.ReportStart(a, result.Outcome, c.now())
	c.observeFailure(s, address, result.Outcome, err)
	c.reportBegun(a.Worker)
	if c.planner.NeedsHeartbeat(a.Worker) {
		c.startHeartbeats(s) // also so that an idle worker that was not reached is noticed to be back
	}
	if a.Separate {
		s.heartbeatNow() // so that a crash is noticed at once
	}
	c.mu.Unlock()
	c.recordOutcome(a, result.Outcome, err)
	if result.Outcome != planner.Accepted {
		c.wake()
	}
}

// orderWait returns how long a start may wait for its turn.
func orderWait(a planner.Action) time.Duration {
	if a.Gang {
		return maxGangOrderWait
	}
	return maxOrderWait
}

// recordOutcome counts and logs the outcome of a start order, and resigns if the worker
// knows a newer owner.
func (c *Conductor) recordOutcome(a planner.Action, outcome planner.Outcome, err error) {
	switch outcome {
	case planner.Accepted:
		c.metrics.startsAccepted.Inc(1)
		return
	case planner.Unknown:
		c.metrics.startsUnknown.Inc(1)
	case planner.StaleTerm:
		c.resign()
	default:
		c.metrics.startsRefused.Inc(1)
	}
	c.log.Info("start not confirmed", failureFields(outcome, err, "task", a.Task, "run", a.Number, "worker", a.Worker)...)
}

// stop orders the end of a run and reports to the planner whether the worker
// confirmed it.
func (c *Conductor) stop(a planner.Action) {
	c.mu.Lock()
	s := c.sessions[a.Worker]
	if s == nil || !c.isOwner() {
		c.planner.ReportStop(a, false, c.now())
		c.mu.Unlock()
		c.sleep(stopBackoff)
		return
	}
	address, lease := s.address, platform.Lease{Fence: c.fenceOf(s)}
	c.mu.Unlock()
	result, err := c.executors.Stop(c.ctx, address, a, lease)
	if c.ctx.Err() != nil {
		return
	}
	confirmed := err == nil && result.Outcome == planner.Accepted
	if !confirmed {
		c.log.Info("stop not confirmed", failureFields(result.Outcome, err, "task", a.Task, "run", a.Number, "worker", a.Worker)...)
		c.sleep(stopBackoff)
	}
	c.mu.Lock()
	c.planner.ReportStop(a, confirmed, c.now())
	c.observeFailure(s, address, result.Outcome, err)
	c.startHeartbeats(s)
	c.mu.Unlock()
	c.wake()
}
