package conductor

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/planner"
)

// adviceBalancer spreads advice requests over the entry VMs. The advice service serves
// one request at a time for each calling VM, so requests through the same VM queue up.
type adviceBalancer struct {
	mu  sync.Mutex
	vms map[string]*adviceVM // by VM id
}

// adviceVM is the state of the advice requests through one entry VM.
type adviceVM struct {
	idleAt       time.Duration // when all its requests are expected to be answered
	backoffUntil time.Duration // it gets no requests before that time
	failures     int           // in a row; failed requests that were in flight together count once
	lastFailure  time.Duration // when failures was last increased
	retrying     bool          // the first request after a back-off is in flight
}

const (
	// urgentVMRatio sets how many VMs serve urgent queues only: one in urgentVMRatio. In
	// the users' load figures, urgent queues need 1.4 of 36 VMs, twice that in bursts,
	// and the other queues need 24 or more.
	urgentVMRatio = 4
	// adviceBackoff is how long a VM gets no requests after a failed one. It doubles with
	// each further failure up to maxAdviceBackoff. A dead VM stays registered for 6 s.
	adviceBackoff    = 2 * time.Second
	maxAdviceBackoff = 8 * time.Second
	// urgentGrace and normalGrace are how long after the expected time of its answer a
	// request times out. They don't allow for other requests in the VM's queue, since
	// the expected time includes these and no request takes longer. In the users' load
	// figures, urgent work has 0.25 s plus half of its run time to spare.
	urgentGrace = 400 * time.Millisecond
	normalGrace = 1500 * time.Millisecond
	// maxUrgentQueue and maxNormalQueue are the expected times of a VM's queue up to
	// which another request may join it. With short queues the planner decides later on
	// the other requests, and tickets are short-lived anyway.
	maxUrgentQueue = 150 * time.Millisecond
	maxNormalQueue = 300 * time.Millisecond
	// adviceOverhead is the network time, which is added to the cost of a request.
	adviceOverhead = 4 * time.Millisecond
)

func newAdviceBalancer() adviceBalancer {
	return adviceBalancer{vms: map[string]*adviceVM{}}
}

// vm returns the state of a VM and adds it if it is new. The caller holds b.mu.
func (b *adviceBalancer) vm(id string) *adviceVM {
	v := b.vms[id]
	if v == nil {
		v = &adviceVM{}
		b.vms[id] = v
	}
	return v
}

// usable reports whether the VM may get a request. After a failure it gets one request
// at a time until one succeeds, so that a dead VM delays few requests.
func (v *adviceVM) usable(now time.Duration) bool { return v.backoffUntil <= now && !v.retrying }

// assign adds a request to the queue that is expected to be empty first. It returns the
// VM and when the answer is expected, or false if that queue is full or every VM is
// backing off. Full queues hold back a backlog that needs more advice than the VMs can
// request, as after a takeover. If there are enough VMs, some serve urgent queues only,
// so that urgent requests do not wait behind the slow ones of other queues. Among
// equally long queues, the owner's own VM is the last choice.
func (b *adviceBalancer) assign(members []claimer.Member, ownerID string, a planner.Action, now time.Duration) (claimer.Member, time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := make([]claimer.Member, 0, len(members))
	for _, m := range members {
		if b.vm(m.ID()).usable(now) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return claimer.Member{}, 0, false
	}
	slices.SortFunc(usable, func(x, y claimer.Member) int {
		if (x.ID() == ownerID) != (y.ID() == ownerID) {
			if x.ID() == ownerID {
				return 1
			}
			return -1
		}
		return cmp.Compare(x.ID(), y.ID())
	})
	var reserved []claimer.Member
	if n := (len(usable) + urgentVMRatio - 1) / urgentVMRatio; !a.Urgent && len(usable) > n {
		reserved, usable = usable[:n], usable[n:]
	}
	best := slices.MinFunc(usable, func(x, y claimer.Member) int {
		return cmp.Compare(max(now, b.vm(x.ID()).idleAt), max(now, b.vm(y.ID()).idleAt))
	})
	limit := maxNormalQueue
	if a.Urgent {
		limit = maxUrgentQueue
	}
	if b.vm(best.ID()).idleAt-now > limit {
		var found bool
		if best, found = b.idleReserved(reserved, a, now); !found {
			return claimer.Member{}, 0, false
		}
	}
	v := b.vm(best.ID())
	start := max(now, v.idleAt)
	v.idleAt = start + a.Cost + adviceOverhead
	v.retrying = v.failures > 0
	return best, v.idleAt, true
}

// idleReserved returns a VM of those for urgent queues that may take a request of another
// queue: the request is so short that an urgent one could still join it, and one more of these
// VMs is idle. The caller holds b.mu.
func (b *adviceBalancer) idleReserved(reserved []claimer.Member, a planner.Action, now time.Duration) (claimer.Member, bool) {
	if a.Cost+adviceOverhead > maxUrgentQueue {
		return claimer.Member{}, false
	}
	var idle []claimer.Member
	for _, m := range reserved {
		if b.vm(m.ID()).idleAt <= now {
			idle = append(idle, m)
		}
	}
	if len(idle) < 2 {
		return claimer.Member{}, false
	}
	return idle[len(idle)-1], true
}

// recordFailure records that a request through the VM, sent at sentAt, has failed. The
// VM then backs off.
func (b *adviceBalancer) recordFailure(id string, sentAt, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.vm(id)
	v.idleAt = now
	if v.failures > 0 && sentAt < v.lastFailure {
		return // the request was in flight when an earlier failure was counted
	}
	v.failures++
	v.lastFailure = now
	v.retrying = false
	v.backoffUntil = now + min(adviceBackoff<<(v.failures-1), maxAdviceBackoff)
}

// recordSuccess ends the back-off of a VM that answered.
func (b *adviceBalancer) recordSuccess(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.vm(id)
	v.failures, v.retrying, v.backoffUntil = 0, false, 0
}

// requestAdvice requests advice through an entry VM and passes the answer to the
// planner. If no VM can take the request, it reports that to the planner.
func (c *Conductor) requestAdvice(ctx context.Context, a planner.Action) {
	members := c.members()
	if len(members) == 0 {
		members = []claimer.Member{claimer.NewMember(c.vmID, "", "")}
	}
	member, expectedAt, found := c.balancer.assign(members, c.vmID, a, c.now())
	if !found {
		c.mu.Lock()
		c.planner.ReportAdviceSkipped(a, c.now())
		c.mu.Unlock()
		return
	}
	c.log.Info("ask", "step", a.Step, "workers", len(a.Workers), "vm", member.ID(), "reason", a.Reason)
	c.metrics.adviceRequests.Inc(1)
	c.spawn(func() {
		sentAt := c.now()
		grace := normalGrace
		if a.Urgent {
			grace = urgentGrace
		}
		bounded, cancel := context.WithTimeout(ctx, expectedAt-sentAt+grace)
		defer cancel()
		tickets, validity, err := c.fetchAdvice(bounded, member, a)
		if ctx.Err() != nil {
			return
		}
		answer := planner.AdviceResult{Step: a.Step, Workers: a.Workers, Urgent: a.Urgent, Failed: err != nil}
		if err != nil {
			c.metrics.adviceFailures.Inc(1)
			c.log.Info("advice request failed", "step", a.Step, "vm", member.ID(), "error", err)
			c.balancer.recordFailure(member.ID(), sentAt, c.now())
			c.sleep(adviceOverhead)
		} else {
			now := c.now()
			c.balancer.recordSuccess(member.ID())
			c.metrics.adviceTime.Update(now - sentAt)
			answer.Tickets, answer.Until = tickets, now+validity
		}
		c.mu.Lock()
		c.planner.ReportAdvice(answer)
		c.mu.Unlock()
		c.wake()
	})
}
