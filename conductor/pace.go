package conductor

import (
	"slices"
	"time"
)

const (
	// paceOrders is the number of orders whose median time counts.
	paceOrders = 32
	// paceLimit is the median time of an order above which another VM is to own the
	// fleet: usual are 3 to 20 ms; workers out of reach don't move a median.
	paceLimit = 250 * time.Millisecond
	// paceGrace is how long a new owner may be slow: it hears all workers first.
	paceGrace = 3 * time.Second
)

// pace holds the times that the newest orders took.
type pace struct {
	times [paceOrders]time.Duration
	n     int // orders ever noted
}

// note takes in the time of an order, and reports whether the VM is slow.
func (p *pace) note(took time.Duration) bool {
	p.times[p.n%paceOrders] = took
	p.n++
	if p.n < paceOrders {
		return false
	}
	sorted := p.times
	slices.Sort(sorted[:])
	return sorted[paceOrders/2] > paceLimit
}

// paced notes the time of an order, and has another VM take over when this one has
// become slow. It answers a VM that shares its processor with others: on scale-1 of
// lychnos-fh an owner that ran five times slower started urgent work 4 s late.
// The lock is held.
func (c *Conductor) paced(took time.Duration) {
	if !c.pace.note(took) || c.now()-c.taken < paceGrace {
		return
	}
	c.pace = pace{}
	c.log.Warn("orders take long; this VM is too slow to own the fleet", "limit", paceLimit)
	c.slow()
}
