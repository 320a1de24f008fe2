package planner

import "time"

// An order without an answer may be executed seconds later. A worker whose owner has changed
// refuses it by its fence, but the worker's next incarnation knows no fence and executes it. So
// a new owner holds each run of an earlier one whose start is not known to be settled, until
// its order can't be executed any more. The journal tells which starts are settled.

// Settled names a run whose start is settled: its order was answered, or was never sent, so it
// can't be executed any more. The caller writes it to the journal.
type Settled struct {
	Task   string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
}

// maxStartAge is the age of a start in the journal, by the times of day of two VMs, from which
// its order can't be executed any more, however much these clocks and the time at which it
// was sent may differ.
const maxStartAge = time.Minute

// settle notes that the order of a run can't be executed any more. That of one with a ticket
// needs no note: no other incarnation executes it.
func (p *Planner) settle(r *run) {
	if r.settled || r.ticket || r.step.unknown || r.earlierUntil != 0 {
		return
	}
	r.settled = true
	p.newSettled = append(p.newSettled, Settled{r.step.taskName(r.taskIndex), r.number})
}

// SettleStart notes that the order of a start was answered, when its outcome does not matter any
// more to this owner.
func (p *Planner) SettleStart(a Action) {
	if w := p.workers[a.Worker]; w != nil {
		if r := w.runs[runKey{a.Task, a.Number}]; r != nil {
			p.settle(r)
		}
	}
}

// HasSettled reports whether TakeSettled would return a start.
func (p *Planner) HasSettled() bool { return len(p.newSettled) > 0 }

// TakeSettled returns the starts that were settled since the last call. The caller writes them to
// the journal with one of its next records.
func (p *Planner) TakeSettled() []Settled {
	settled := p.newSettled
	p.newSettled = nil
	return settled
}

// replaySettled applies a settled start of the journal.
func (p *Planner) replaySettled(s Settled) {
	st, index := p.stepOf(s.Task)
	if st == nil {
		return
	}
	for _, r := range st.tasks[index].runs {
		if r.number == s.Number {
			r.settled = true
		}
	}
}

// UnsettledStarts returns how many runs of earlier owners are held until their orders can't be
// executed any more, unless their workers list them.
func (p *Planner) UnsettledStarts() int {
	n := 0
	for _, w := range p.fleet {
		for _, r := range w.runs {
			if r.phase == phaseInherited && r.lateUntil != 0 {
				n++
			}
		}
	}
	return n
}

// holdUnsettledStart holds an inherited run until no incarnation of its worker can execute its
// start any more. All orders of earlier owners were sent before now, and the leases that they
// gave have expired at leaseExpiry.
func (r *run) holdUnsettledStart(now, leaseExpiry time.Duration) {
	if r.ticket || r.settled || now-r.startedAt > maxStartAge {
		return
	}
	r.lateUntil, r.lateLeaseExpiry = now+maxOrderDelay, leaseExpiry+maxOrderDelay
	if r.repeated {
		r.earlierUntil = r.lateUntil
	}
}
