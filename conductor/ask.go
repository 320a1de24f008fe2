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

// asker spreads calls for advice over the entry VMs. The advice service handles
// one call at a time for each calling VM, so a VM's calls queue.
type asker struct {
	mu  sync.Mutex
	vms map[string]*askedVM
}

// askedVM is what is known of one entry VM's calls for advice.
type askedVM struct {
	free     time.Duration // when its queue of calls is expected to be empty
	bad      time.Duration // until when it is left out after a failure
	failures int           // in a row, calls that were out together counted once
	failed   time.Duration // when the newest of them was counted
	probing  bool          // after a failure: one call is out that finds out
}

const (
	// urgentPart is the one of so many VMs, rounded up, that serves urgent queues
	// only: on the users' sheets these need 1.4 of 36 VMs and bursts twice that,
	// others 24 and more.
	urgentPart = 4
	// badTime is how long a VM whose call failed is left out, doubled with each
	// failure more up to badLimit. A VM that is gone stays registered for 6 s.
	badTime  = 2 * time.Second
	badLimit = 8 * time.Second
	// urgentGrace and slowGrace are added to the time at which a call should be
	// answered; the VM's queue is never longer than the time that is booked. Urgent
	// work has 0.25 s and half of its run time to spare on the users' sheets.
	urgentGrace = 400 * time.Millisecond
	slowGrace   = 1500 * time.Millisecond
	// urgentQueue and slowQueue are the longest queues of a VM at which another
	// call is added. What is not asked yet is asked in the order in which the
	// planner wants it then; tickets are short-lived anyway.
	urgentQueue = 150 * time.Millisecond
	slowQueue   = 300 * time.Millisecond
	// askOverhead is added to the expected time of a call, for its way.
	askOverhead = 4 * time.Millisecond
)

func newAsker() asker {
	return asker{vms: map[string]*askedVM{}}
}

// vm returns what is known of a VM. The lock is held.
func (k *asker) vm(id string) *askedVM {
	v := k.vms[id]
	if v == nil {
		v = &askedVM{}
		k.vms[id] = v
	}
	return v
}

// usable reports whether the VM may be asked: after a failure by one call first,
// so that a VM that is gone holds up no other.
func (v *askedVM) usable(now time.Duration) bool { return v.bad <= now && !v.probing }

// choose returns the VM whose queue is empty first, books the call there and
// returns when it should be answered; false when every queue is full. It answers
// a backlog that asks for more advice than there is, as after a takeover. A part
// of the VMs serves urgent queues only, so that these are never behind a slow call;
// the owner itself comes last.
func (k *asker) choose(members []claimer.Member, self string, a planner.Action, now time.Duration) (claimer.Member, time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	usable := make([]claimer.Member, 0, len(members))
	for _, m := range members {
		if k.vm(m.ID()).usable(now) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return claimer.Member{}, 0, false
	}
	slices.SortFunc(usable, func(x, y claimer.Member) int {
		if (x.ID() == self) != (y.ID() == self) {
			if x.ID() == self {
				return 1
			}
			return -1
		}
		return cmp.Compare(x.ID(), y.ID())
	})
	if reserved := (len(usable) + urgentPart - 1) / urgentPart; !a.Urgent && len(usable) > reserved {
		usable = usable[reserved:]
	}
	best := slices.MinFunc(usable, func(x, y claimer.Member) int {
		return cmp.Compare(max(now, k.vm(x.ID()).free), max(now, k.vm(y.ID()).free))
	})
	v := k.vm(best.ID())
	begin, limit := max(now, v.free), slowQueue
	if a.Urgent {
		limit = urgentQueue
	}
	if begin-now > limit {
		return claimer.Member{}, 0, false
	}
	v.free = begin + a.Cost + askOverhead
	v.probing = v.failures > 0
	return best, v.free, true
}

// failed leaves a VM out for a while after a call that was made at begun.
func (k *asker) failed(id string, begun, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.vm(id)
	v.free = now
	if v.failures > 0 && begun < v.failed {
		return // it was out when an earlier failure was noted
	}
	v.failures++
	v.failed = now
	v.probing = false
	v.bad = now + min(badTime<<(v.failures-1), badLimit)
}

// answered notes that a VM answered.
func (k *asker) answered(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.vm(id)
	v.failures, v.probing, v.bad = 0, false, 0
}

// ask has an entry VM ask which workers may run a step.
func (c *Conductor) ask(ctx context.Context, a planner.Action) {
	members := c.members()
	if len(members) == 0 {
		members = []claimer.Member{claimer.NewMember(c.self, "", "")}
	}
	member, due, found := c.asker.choose(members, c.self, a, c.now())
	if !found {
		c.mu.Lock()
		c.planner.Unasked(a, c.now())
		c.mu.Unlock()
		return
	}
	c.log.Info("ask", "step", a.Step, "workers", len(a.Workers), "vm", member.ID(), "reason", a.Reason)
	c.figures.asks.Inc(1)
	c.spawn(func() {
		begun := c.now()
		grace := slowGrace
		if a.Urgent {
			grace = urgentGrace
		}
		bounded, cancel := context.WithTimeout(ctx, due-begun+grace)
		defer cancel()
		tickets, valid, err := c.asking(bounded, member, a)
		if ctx.Err() != nil {
			return
		}
		answer := planner.Answer{Step: a.Step, Named: a.Workers, Failed: err != nil}
		if err != nil {
			c.figures.asksFailed.Inc(1)
			c.log.Info("no advice", "step", a.Step, "vm", member.ID(), "error", err)
			c.asker.failed(member.ID(), begun, c.now())
			c.sleep(askOverhead)
		} else {
			now := c.now()
			c.asker.answered(member.ID())
			c.figures.askWait.Update(now - begun)
			answer.Tickets, answer.Until = tickets, now+valid
		}
		c.mu.Lock()
		c.planner.Advised(answer)
		c.mu.Unlock()
		c.wake()
	})
}
