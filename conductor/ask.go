package conductor

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
)

// asker spreads calls for advice over the entry VMs. The advice service handles
// one call at a time for each calling VM, so a VM's calls queue.
type asker struct {
	mu   sync.Mutex
	free map[string]time.Duration // when a VM's queue of calls is expected to be empty
	bad  map[string]time.Duration // until when a VM is left out after a failure
}

const (
	// badTime is how long a VM whose call failed is left out.
	badTime = 2 * time.Second
	// urgentQueue and slowQueue are the longest queues of a VM at which another
	// call is added. What is not asked yet is asked in the order in which the
	// planner wants it then; tickets are short-lived anyway.
	urgentQueue = 150 * time.Millisecond
	slowQueue   = 300 * time.Millisecond
	// askOverhead is added to the expected time of a call, for its way.
	askOverhead = 4 * time.Millisecond
)

func newAsker() asker {
	return asker{free: map[string]time.Duration{}, bad: map[string]time.Duration{}}
}

// choose returns the VM whose queue is empty first, books the call there and
// returns when it should be answered; false when every queue is full. It answers
// a backlog that asks for more advice than there is, as after a takeover. A third of the VMs, rounded up, serve urgent queues only, so that these are never
// behind a slow call; the owner itself comes last.
func (k *asker) choose(members []claimer.Member, self string, a planner.Action, now time.Duration) (claimer.Member, time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	usable := make([]claimer.Member, 0, len(members))
	for _, m := range members {
		if k.bad[m.ID()] <= now {
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
	if reserved := (len(usable) + 2) / 3; !a.Urgent && len(usable) > reserved {
		usable = usable[reserved:]
	}
	best := slices.MinFunc(usable, func(x, y claimer.Member) int {
		return cmp.Compare(max(now, k.free[x.ID()]), max(now, k.free[y.ID()]))
	})
	begin, limit := max(now, k.free[best.ID()]), slowQueue
	if a.Urgent {
		limit = urgentQueue
	}
	if begin-now > limit {
		return claimer.Member{}, 0, false
	}
	k.free[best.ID()] = begin + a.Cost + askOverhead
	return best, k.free[best.ID()], true
}

// failed leaves a VM out for a while.
func (k *asker) failed(id string, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bad[id] = now + badTime
	k.free[id] = now
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
		c.planner.Advised(planner.Answer{Step: a.Step})
		c.mu.Unlock()
		return
	}
	c.log.Info("ask", "step", a.Step, "workers", len(a.Workers), "vm", member.ID(), "reason", a.Reason)
	c.figures.asks.Inc(1)
	c.spawn(func() {
		begun := c.now()
		bounded, cancel := context.WithTimeout(ctx, due-begun+platform.AdviceGrace)
		defer cancel()
		tickets, valid, err := c.asking(bounded, member, a)
		if ctx.Err() != nil {
			return
		}
		answer := planner.Answer{Step: a.Step}
		if err != nil {
			c.figures.asksFailed.Inc(1)
			c.log.Info("no advice", "step", a.Step, "vm", member.ID(), "error", err)
			c.asker.failed(member.ID(), c.now())
			c.sleep(askOverhead)
		} else {
			now := c.now()
			c.figures.askWait.Update(now - begun)
			answer.Named, answer.Tickets, answer.Until = a.Workers, tickets, now+valid
		}
		c.mu.Lock()
		c.planner.Advised(answer)
		c.mu.Unlock()
		c.wake()
	})
}
