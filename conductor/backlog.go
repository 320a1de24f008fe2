package conductor

import "time"

const (
	// maxOrderBacklog is the number of starts up to which more are decided whatever the rate
	// of orders: as many as are in flight wait for their turn.
	maxOrderBacklog = 2 * maxOrders
	// backlogTime bounds how long a start waits for its turn while orders are fast. It is well
	// below maxOrderWait, since the rate of orders changes.
	backlogTime = maxOrderWait / 2
	// busyBacklogTime bounds that time while the owner orders as many starts as it can. Starts
	// are ordered in the order of their decision, so the others wait undecided, by rank.
	busyBacklogTime = backlogTime / 2
	// busyOrders is the number of orders in flight from which the owner orders as many starts
	// as it can. Below that, an order does not wait for others.
	busyOrders = maxOrders / 2
)

// startBacklog counts the starts that are decided and neither ordered nor withdrawn. It
// limits them to what is ordered within backlogTime, so that an owner does not decide starts
// that it has to withdraw. It measures at what rate starts are ordered while that is the limit.
type startBacklog struct {
	starts     int              // decided, and without an outcome
	ordered    [2]int           // orders with an outcome, in the current interval of backlogTime and the one before
	intervalAt time.Duration    // when the current interval began
	delays     [2]time.Duration // longest time from the decision to the answer of an order, in the same intervals as ordered
	begun      int              // orders sent in the current interval
	idle       bool             // one of these found fewer than busyOrders in flight
	rate       float64          // starts a second that the owner can order, by the interval before; 0 if it can order more
}

// advance begins a new interval if the current one is over.
func (b *startBacklog) advance(now time.Duration) {
	switch age := now - b.intervalAt; {
	case age >= 2*backlogTime:
		b.ordered, b.delays, b.intervalAt = [2]int{}, [2]time.Duration{}, now
		b.begun, b.idle, b.rate = 0, false, 0
	case age >= backlogTime:
		b.rate = 0
		if b.begun > 0 && !b.idle {
			b.rate = float64(b.ordered[0]) / backlogTime.Seconds()
		}
		b.ordered, b.intervalAt = [2]int{0, b.ordered[0]}, b.intervalAt+backlogTime
		b.delays = [2]time.Duration{0, b.delays[0]}
		b.begun, b.idle = 0, false
	}
}

// begin counts an order that is sent while inFlight orders are, itself included.
func (b *startBacklog) begin(inFlight int, now time.Duration) {
	b.advance(now)
	b.begun++
	if inFlight < busyOrders {
		b.idle, b.rate = true, 0
	}
}

// answer counts an order that is answered at now, of a start that was decided at decidedAt.
func (b *startBacklog) answer(decidedAt, now time.Duration) {
	b.advance(now)
	b.delays[0] = max(b.delays[0], now-decidedAt)
}

// delay returns the longest time that a recent order took from its decision to its answer.
func (b *startBacklog) delay() time.Duration { return max(b.delays[0], b.delays[1]) }

// room returns how many starts may be decided now.
func (b *startBacklog) room(now time.Duration) int {
	b.advance(now)
	if b.rate > 0 {
		return max(maxOrders, int(b.rate*busyBacklogTime.Seconds())) - b.starts
	}
	return max(maxOrderBacklog, b.ordered[0], b.ordered[1]) - b.starts
}

// add counts starts that have been decided.
func (b *startBacklog) add(starts int) { b.starts += starts }

// withdraw counts a start that is not ordered.
func (b *startBacklog) withdraw() { b.starts-- }

// finish counts an order that has got its outcome.
func (b *startBacklog) finish(now time.Duration) {
	b.advance(now)
	b.starts--
	b.ordered[0]++
}
