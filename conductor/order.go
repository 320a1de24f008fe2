package conductor

import (
	"time"

	"filberthaven.example/planner"
	"filberthaven.example/platform"
)

// stopPause is the pause before a stop that got no answer is repeated.
const stopPause = 300 * time.Millisecond

// begin orders starts once the journal holds them, so that the next owner knows
// where each task may run. Without the journal they are taken back.
func (c *Conductor) begin(starts []planner.Action) {
	record := planner.Record{At: wallClock()}
	for _, a := range starts {
		record.Begins = append(record.Begins, planner.Begin{Task: a.Task, Number: a.Number, Worker: a.Worker})
	}
	data, err := record.Encode()
	if err == nil {
		err = c.journal.Enqueue(data, func(err error) {
			if err == nil {
				err = c.ctx.Err()
			}
			if err != nil {
				c.takeBack(starts, err)
				return
			}
			for _, a := range starts {
				c.spawn(func() { c.start(a) })
			}
		})
	}
	if err != nil {
		c.takeBack(starts, err)
	}
}

// takeBack tells the planner of starts that were not ordered.
func (c *Conductor) takeBack(starts []planner.Action, err error) {
	c.log.Info("starts taken back", "starts", len(starts), "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range starts {
		c.planner.Started(a, planner.Withdrawn, c.now())
	}
}

// start orders a run and tells the planner what came of it.
func (c *Conductor) start(a planner.Action) {
	fresh := c.fresh()
	c.mu.Lock()
	l := c.links[a.Worker]
	now := c.now()
	until := int64(0)
	if l != nil {
		until = l.until(now, c.lease)
	}
	if l == nil || until == 0 || !fresh || !c.valid() || !c.planner.Accepts(a.Worker) {
		c.planner.Started(a, planner.Withdrawn, now)
		c.mu.Unlock()
		c.log.Info("start withdrawn", "task", a.Task, "run", a.Number, "worker", a.Worker, "fresh", fresh)
		return
	}
	c.planner.ExtendLease(a.Worker, c.lapse(now))
	address := l.address
	c.mu.Unlock()
	result, err := c.orders.Start(c.ctx, address, a, platform.Lease{Fence: c.term, Until: until})
	if c.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	l.answered(result, now)
	c.paced(c.now() - now)
	c.planner.Started(a, result.Outcome, c.now())
	if result.Outcome == planner.Accepted || result.Outcome == planner.Unknown {
		c.beginHold(l)
	}
	c.mu.Unlock()
	c.count(a, result.Outcome, err)
	if result.Outcome != planner.Accepted {
		c.wake()
	}
}

func (c *Conductor) count(a planner.Action, outcome planner.Outcome, err error) {
	switch outcome {
	case planner.Accepted:
		c.figures.begun.Inc(1)
		return
	case planner.Unknown:
		c.figures.unsure.Inc(1)
	case planner.StaleTerm:
		c.unfit()
	default:
		c.figures.turned.Inc(1)
	}
	c.log.Info("start not confirmed", "task", a.Task, "run", a.Number, "worker", a.Worker, "outcome", outcome.String(), "error", err)
}

// stop orders the end of a run and tells the planner whether that was answered.
func (c *Conductor) stop(a planner.Action) {
	c.mu.Lock()
	l := c.links[a.Worker]
	if l == nil || !c.valid() {
		c.planner.Halted(a, false, c.now())
		c.mu.Unlock()
		c.sleep(stopPause)
		return
	}
	address := l.address
	c.mu.Unlock()
	result, err := c.orders.Stop(c.ctx, address, a, platform.Lease{Fence: c.term})
	if c.ctx.Err() != nil {
		return
	}
	answered := err == nil && result.Outcome == planner.Accepted
	if !answered {
		c.log.Info("stop not confirmed", "task", a.Task, "run", a.Number, "worker", a.Worker, "outcome", result.Outcome.String(), "error", err)
		c.sleep(stopPause)
	}
	c.mu.Lock()
	c.planner.Halted(a, answered, c.now())
	c.beginHold(l)
	c.mu.Unlock()
	c.wake()
}
