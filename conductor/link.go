package conductor

import (
	"time"

	"filberthaven.example/keeper"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
)

const (
	// holdWait is how long a worker may wait for an end before it answers a
	// hold. It is also the interval of renewals, of which a lease bears the loss
	// of two, and the time after which a silent worker is noticed.
	holdWait = 1200 * time.Millisecond
	// holdGap is the time from an answer to the next hold of a worker, so that
	// ends gather: each hold is priced.
	holdGap = 150 * time.Millisecond
	// silencePause is the pause after a hold without an answer.
	silencePause = 300 * time.Millisecond
	// looksLimit is the number of looks at workers at once that don't wait for an
	// end: a new owner looks at thousands, and has 4,100 descriptors.
	looksLimit = 256
	// settleWait is how long an idle worker's last ends wait for company before a
	// hold confirms them; well within the time in which they have to be noted.
	settleWait = time.Second
)

// link is what the conductor knows of the way to one worker. The conductor's lock
// guards it.
type link struct {
	id      string
	address string
	clock   int64         // ms on the worker's clock, as last answered; 0 when unknown
	read    time.Duration // when that answer was asked for
	born    int64         // of the incarnation that seen and noted are of
	noted   uint64        // newest end that the journal holds
	told    uint64        // newest end that the worker was told to forget
	holding bool          // the loop of holds runs
}

// until returns the end of the longest lease from now, on the worker's clock; 0
// when its clock is not known.
func (l *link) until(now, lease time.Duration) int64 {
	if l.clock == 0 {
		return 0
	}
	return l.clock + (now - l.read + lease).Milliseconds()
}

// answered takes over the clock of an answer to a call made at asked. The worker
// read its clock after that, so the estimate is never ahead of the truth by more
// than the worker's clock is slow.
func (l *link) answered(r platform.OrderResult, asked time.Duration) {
	if r.Incarnation != 0 && r.Incarnation != l.born {
		if r.Incarnation < l.born {
			return
		}
		l.born, l.clock, l.noted, l.told = r.Incarnation, 0, 0, 0
	}
	if r.Clock != 0 && asked >= l.read {
		l.clock, l.read = r.Clock, asked
	}
}

// hold keeps the worker's lease and hears of ends for as long as it runs
// something or has ends that are not noted.
func (c *Conductor) hold(l *link) {
	first := true
	for c.ctx.Err() == nil {
		if !c.valid() {
			c.sleep(holdGap)
			continue
		}
		c.mu.Lock()
		busy := c.planner.Busy(l.id)
		if !busy && !first && l.told == l.noted {
			l.holding = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if !busy && !first {
			c.sleep(settleWait)
		}
		if !c.holdOnce(l, busy) {
			c.sleep(silencePause)
			continue
		}
		first = false
		c.sleep(holdGap)
	}
}

// holdOnce makes one hold and reports whether it was answered.
func (c *Conductor) holdOnce(l *link, busy bool) bool {
	c.mu.Lock()
	now := c.now()
	lease := platform.Lease{Fence: c.term}
	wait := time.Duration(0)
	if busy && c.planner.Renewable(l.id) && l.clock != 0 {
		lease.Until = l.until(now, c.lease)
		c.planner.ExtendLease(l.id, c.lapse(now))
		wait = holdWait
	}
	address, seen, born := l.address, l.noted, l.born
	c.mu.Unlock()
	if wait == 0 {
		select {
		case c.looks <- struct{}{}:
			defer func() { <-c.looks }()
		case <-c.ctx.Done():
			return false
		}
	}
	c.figures.holds.Inc(1)
	result, err := c.orders.Heartbeat(c.ctx, address, l.id, lease, seen, wait)
	if c.ctx.Err() != nil {
		return false
	}
	if err != nil || result.Outcome != planner.Accepted {
		c.silent(l, result, err)
		return false
	}
	c.mu.Lock()
	l.answered(result, now)
	if l.born == born {
		l.told = max(l.told, seen)
	}
	ends := c.planner.HandleStatus(planner.WorkerStatus{
		Worker: l.id, Incarnation: result.Incarnation, Asked: now, Running: result.Running, Ended: result.Ended,
	}, c.now())
	jobs := c.planner.TakeEnded()
	born = l.born
	c.mu.Unlock()
	if len(ends) > 0 {
		c.note(l, born, ends, result.Ended[len(result.Ended)-1].Serial, jobs)
	}
	c.wake()
	return true
}

// note has the journal keep ends; then the worker may forget them, and callers
// may be told of the jobs that they ended.
func (c *Conductor) note(l *link, born int64, ends []planner.End, last uint64, jobs []string) {
	c.figures.ends.Inc(int64(len(ends)))
	for _, e := range ends {
		c.log.Info("end", "task", e.Task, "run", e.Number, "worker", l.id, "how", e.How)
	}
	c.keep(planner.Record{Ends: ends}, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if l.born == born {
			l.noted = max(l.noted, last)
		}
		c.show(jobs)
	})
}

// show lets callers be told of jobs that ended. The lock is held.
func (c *Conductor) show(jobs []string) {
	for _, id := range jobs {
		c.planner.MarkEndStored(id)
		state := c.planner.Verdict(id)
		c.log.Info("job ended", "job", id, "state", string(state))
		switch state {
		case planner.Completed:
			c.figures.completed.Inc(1)
		case planner.Failed:
			c.figures.failed.Inc(1)
		case planner.Cancelled:
			c.figures.cancelled.Inc(1)
		}
		for _, tell := range c.planner.TakeWaiters(id, planner.Concluded) {
			tell(nil)
		}
	}
}

// silent notes a hold that did not succeed.
func (c *Conductor) silent(l *link, result platform.OrderResult, err error) {
	c.figures.silences.Inc(1)
	if result.Outcome == planner.StaleTerm {
		c.log.Warn("a worker knows a newer owner", "worker", l.id, "term", c.term)
		c.unfit()
		return
	}
	c.log.Info("no answer to a hold", "worker", l.id, "error", err)
	c.mu.Lock()
	c.planner.HeartbeatMissed(l.id)
	c.mu.Unlock()
}

// beginHold starts the loop of holds of a worker unless it runs. The lock is held.
func (c *Conductor) beginHold(l *link) {
	if l.holding {
		return
	}
	l.holding = true
	c.spawn(func() { c.hold(l) })
}

// sleep waits for d or the end of the ownership.
func (c *Conductor) sleep(d time.Duration) { keeper.Sleep(c.ctx, d) }
