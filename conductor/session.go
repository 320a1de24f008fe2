package conductor

import (
	"errors"
	"time"

	"filberthaven.example/keeper"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
)

const (
	// heartbeatWait is how long a worker may wait for a run to end before it answers
	// a heartbeat. So it is also the interval of lease renewals, and about the time
	// after which an unresponsive worker is noticed. A lease survives the loss of two
	// renewals.
	heartbeatWait = 1200 * time.Millisecond
	// heartbeatDelay is the time from a worker's answer to the next heartbeat. It batches
	// the ends of runs, because each heartbeat is charged for.
	heartbeatDelay = 150 * time.Millisecond
	// probationDelay is that time for a worker that runs a suspect of a crash, so that the
	// time between the start and a crash is known.
	probationDelay = 10 * time.Millisecond
	// heartbeatBackoff is the delay after a heartbeat that failed.
	heartbeatBackoff = 300 * time.Millisecond
	// maxProbes limits the probes in flight, because a new owner probes thousands of
	// workers and has 4,100 file descriptors.
	maxProbes = 256
	// finalAckDelay is how long the last ends of an idle worker wait for the heartbeat
	// that acknowledges them, so that one heartbeat acknowledges several. It is well
	// within the time in which they must be acknowledged.
	finalAckDelay = time.Second
	// maxAckGap is the time since the worker's last list within which a heartbeat
	// acknowledges ends. A worker that was not heard from for longer may have restarted, and
	// would forget ends of its new incarnation that nobody has read.
	maxAckGap = finalAckDelay + 250*time.Millisecond
)

// session is the state of the calls to one worker. Conductor.mu guards it.
type session struct {
	id                 string // of the worker
	address            string
	incarnation        int64         // of the worker; the clock and the serials belong to it
	incarnationSeenAt  time.Duration // when the incarnation became known
	clock              workerClock
	persistedSerial    uint64        // serial of the newest end that the journal holds
	acknowledgedSerial uint64        // serial of the newest end that the worker may forget
	listedAt           time.Duration // when the newest list of the incarnation was received; 0 before the first
	fence              uint64        // as raiseFence has chosen it for the incarnation; see fenceOf
	heartbeating       bool          // runHeartbeats is running
	stored             bool          // a record that adds the worker was queued
	wakeup             chan struct{} // of capacity 1; has an element if a heartbeat is due at once
}

// leaseUntil returns when a lease given to the worker now ends, in ms on the worker's
// clock, which has to be known. Also a call that is executed late extends no lease beyond
// Conductor.leaseExpiry.
func (s *session) leaseUntil(now, lease time.Duration) int64 {
	return s.clock.lowerBound(now) + lease.Milliseconds()
}

// restart begins a new incarnation, whose counts start anew.
func (s *session) restart(incarnation int64, now time.Duration) {
	s.incarnation, s.incarnationSeenAt, s.clock = incarnation, now, workerClock{}
	s.persistedSerial, s.acknowledgedSerial, s.listedAt = 0, 0, 0
}

// acknowledgeable returns the serial up to which the worker may forget ends, as of now.
func (s *session) acknowledgeable(now time.Duration) uint64 {
	if now-s.listedAt > maxAckGap {
		return 0
	}
	return s.persistedSerial
}

// follow begins the incarnation that the planner knows, unless it is the current one already. The
// caller holds c.mu.
func (c *Conductor) follow(s *session, incarnation int64, now time.Duration) {
	if incarnation != 0 && incarnation != s.incarnation {
		s.restart(incarnation, now)
		c.raiseFence(s)
	}
}

// observe records the worker's clock and incarnation from an answer that had arrived at
// receivedAt, to a call sent at sentAt. An answer by another worker at its address shows
// nothing of it. One that names no incarnation may be by an earlier one, whose clock is ahead,
// if it was sent before the current one was known. The caller holds c.mu.
func (c *Conductor) observe(s *session, r platform.ExecutorResult, sentAt, receivedAt time.Duration) {
	if r.Outcome == planner.Replaced {
		return
	}
	now := c.now()
	counts := c.planner.ObserveAnswer(s.id, r.Incarnation, sentAt, now)
	c.follow(s, c.planner.Incarnation(s.id), now)
	if counts && r.HasClock && (r.Incarnation != 0 || sentAt >= s.incarnationSeenAt) {
		s.clock.observe(r.Clock, sentAt, receivedAt)
	}
}

// runHeartbeats sends heartbeats to a worker until its current incarnation has answered, it
// runs nothing, it has answered the last call and all its ends are acknowledged, or until
// it is removed.
func (c *Conductor) runHeartbeats(s *session) {
	answered := false // a heartbeat has succeeded
	for c.ctx.Err() == nil {
		if !c.isOwner() {
			c.sleep(heartbeatDelay)
			continue
		}
		c.mu.Lock()
		busy := c.planner.Busy(s.id)
		known := answered && s.listedAt != 0
		removed := c.sessions[s.id] != s
		if removed || known && !c.planner.NeedsHeartbeat(s.id) && s.acknowledgedSerial == s.persistedSerial {
			s.heartbeating = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if !busy && known {
			c.sleepUnlessDue(s, finalAckDelay)
		}
		if !c.heartbeat(s, busy) {
			c.sleep(heartbeatBackoff)
			continue
		}
		answered = true
		c.sleepUnlessDue(s, c.delayAfterAnswer(s))
	}
}

// delayAfterAnswer returns how long to wait before the next heartbeat to a worker that has
// answered.
func (c *Conductor) delayAfterAnswer(s *session) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner.OnProbation(s.id) {
		return probationDelay
	}
	return heartbeatDelay
}

// heartbeat sends one heartbeat, passes the worker's status to the planner and reports
// whether the call succeeded. A heartbeat that renews no lease is a probe, which the
// worker answers at once.
func (c *Conductor) heartbeat(s *session, busy bool) bool {
	c.mu.Lock()
	sentAt := c.now()
	lease := platform.Lease{Fence: c.fenceOf(s)}
	wait := time.Duration(0)
	// The ownership is checked after sentAt, from which the lease runs, since the VM may
	// have been suspended before.
	if busy && c.isOwner() && c.planner.Renewable(s.id) && s.clock.known {
		lease.Until = s.leaseUntil(sentAt, c.leaseDuration)
		c.planner.ExtendLease(s.id, c.leaseExpiry(sentAt))
		wait = heartbeatWait
		if c.planner.OnProbation(s.id) {
			wait = planner.Probation
		}
	}
	address, incarnation := s.address, s.incarnation
	ack := platform.Acknowledgement{Incarnation: incarnation, Serial: s.acknowledgeable(sentAt)}
	c.mu.Unlock()
	if wait == 0 {
		select {
		case c.probeSlots <- struct{}{}:
			defer func() { <-c.probeSlots }()
		case <-c.ctx.Done():
			return false
		}
	}
	c.metrics.heartbeats.Inc(1)
	result, err := c.executors.Heartbeat(c.ctx, address, s.id, lease, ack, wait)
	receivedAt := c.now()
	if c.ctx.Err() != nil {
		return false
	}
	if err != nil || result.Outcome != planner.Accepted {
		c.heartbeatFailed(s, address, lease.Fence, result, err)
		return false
	}
	c.mu.Lock()
	c.observe(s, result, sentAt, receivedAt)
	if s.incarnation == incarnation {
		s.acknowledgedSerial = max(s.acknowledgedSerial, result.Acknowledged)
	}
	if s.incarnation == result.Incarnation || result.Incarnation == 0 {
		s.listedAt = c.now()
	}
	ends := c.planner.HandleStatus(planner.WorkerStatus{
		Worker: s.id, Incarnation: result.Incarnation, SentAt: sentAt, Running: result.Running, Ended: result.Ended, MoreEnds: result.MoreEnds,
	}, c.now())
	c.reportBegun(s.id)
	if len(ends) > 0 {
		c.persistEnds(s, ends, c.planner.AppliedSerial(s.id))
	}
	c.storeWorker(s) // last, since the jobs that the ends complete are shown with the next record
	c.mu.Unlock()
	c.wake()
	return true
}

// storeWorker lets tasks start on a worker that has answered, once the journal names it. The
// caller holds c.mu.
func (c *Conductor) storeWorker(s *session) {
	if s.stored || c.planner.IsWorkerStored(s.id) {
		return
	}
	s.stored = true
	c.persist(planner.Record{AddedWorker: s.id}, func() {
		c.planner.MarkWorkerStored(s.id)
		c.wake()
	})
}

// persistEnds writes the ends of runs to the journal. After that the worker may forget
// the ends up to lastSerial. The caller holds c.mu.
func (c *Conductor) persistEnds(s *session, ends []planner.End, lastSerial uint64) {
	c.metrics.runsEnded.Inc(int64(len(ends)))
	for _, e := range ends {
		c.log.Info("end", "task", e.Task, "run", e.Number, "worker", s.id, "how", e.Result)
	}
	incarnation := s.incarnation
	c.persist(planner.Record{Ends: ends}, func() {
		if s.incarnation == incarnation {
			s.persistedSerial = max(s.persistedSerial, lastSerial)
		}
	})
}

// reportBegun logs the jobs that have begun with an answer of the worker, and keeps them
// for the next record in the journal. The caller holds c.mu.
func (c *Conductor) reportBegun(worker string) {
	begun := c.planner.TakeBegun()
	for _, id := range begun {
		c.log.Info("job begun", "job", id, "worker", worker)
	}
	c.begun = append(c.begun, begun...)
}

// reportEnded lets callers see the end of jobs, which the journal holds, and notifies
// those who wait for it. The caller holds c.mu.
func (c *Conductor) reportEnded(jobs []string) {
	for _, id := range jobs {
		c.planner.MarkEndStored(id)
		if state := c.planner.FinalState(id); state != "" { // else its submission was refused
			c.recordEnd(id, state)
		}
		for _, notify := range c.planner.TakeWaiters(id, planner.JobEndStored) {
			notify(nil)
		}
	}
}

// recordEnd counts and logs the end of a job. The caller holds c.mu.
func (c *Conductor) recordEnd(id string, state planner.State) {
	fields := []any{"job", id, "state", string(state)}
	if failure := c.planner.FailureOf(id); failure.Task != "" {
		fields = append(fields, "task", failure.Task, "reason", failure.String())
	}
	c.log.Info("job ended", fields...)
	switch state {
	case planner.Completed:
		c.metrics.completed.Inc(1)
	case planner.Failed:
		c.metrics.failed.Inc(1)
	case planner.Cancelled:
		c.metrics.cancelled.Inc(1)
	}
}

// heartbeatFailed reports a failed heartbeat with that fence to the planner, or resigns if the
// worker knows a newer owner.
func (c *Conductor) heartbeatFailed(s *session, address string, fence uint64, result platform.ExecutorResult, err error) {
	c.metrics.missedHeartbeats.Inc(1)
	if c.refusedAsOutdated(s, fence, result.Outcome) {
		c.log.Info("heartbeat for an earlier incarnation refused", "worker", s.id, "fence", fence)
		return
	}
	if result.Outcome == planner.StaleTerm {
		c.log.Warn("worker has a newer owner; giving up the ownership", "worker", s.id, "term", c.term)
		c.resign()
		return
	}
	closed := errors.Is(err, platform.ErrClosed)
	if closed {
		c.metrics.closedConnections.Inc(1)
	}
	c.log.Info("heartbeat missed", failureFields(result.Outcome, err, "worker", s.id, "closed", closed)...)
	c.mu.Lock()
	c.planner.HeartbeatMissed(s.id)
	c.observeFailure(s, address, result.Outcome, err)
	c.mu.Unlock()
}

// failureFields returns the fields of a log line about a call that failed.
func failureFields(outcome planner.Outcome, err error, fields ...any) []any {
	fields = append(fields, "outcome", outcome.String())
	if err != nil {
		fields = append(fields, "error", err)
	}
	return fields
}

// observeFailure tells the planner what a failed call shows of the worker: its machine has
// refused or closed the connection, or runs another worker now. It shows nothing if the
// worker has another address by now. The caller holds c.mu.
func (c *Conductor) observeFailure(s *session, address string, outcome planner.Outcome, err error) {
	if s.address != address {
		return
	}
	if errors.Is(err, platform.ErrClosed) {
		c.planner.ObserveClosed(s.id, c.now())
	}
	if outcome == planner.Replaced {
		c.log.Info("worker has been replaced", "worker", s.id)
		c.planner.ObserveReplaced(s.id, c.now())
		c.wake()
	}
}

// readOldClocks calls workers that were not heard from for long, so that leases by their
// clocks are not too short. The caller holds c.mu.
func (c *Conductor) readOldClocks(now time.Duration) {
	for _, s := range c.sessions {
		if s.clock.isOld(now, c.leaseDuration) {
			c.startHeartbeats(s)
		}
	}
}

// startHeartbeats starts runHeartbeats for a worker unless it is running. The caller
// holds c.mu.
func (c *Conductor) startHeartbeats(s *session) {
	if s.heartbeating {
		return
	}
	s.heartbeating = true
	c.spawn(func() { c.runHeartbeats(s) })
}

// sleepUnlessDue waits until d has passed, a heartbeat is due at once, or the ownership ends.
func (c *Conductor) sleepUnlessDue(s *session, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wakeup:
	case <-c.ctx.Done():
	}
}

// heartbeatNow makes runHeartbeats send a heartbeat although the worker was idle.
func (s *session) heartbeatNow() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// sleep waits until d has passed or the ownership ends.
func (c *Conductor) sleep(d time.Duration) { keeper.Sleep(c.ctx, d) }
