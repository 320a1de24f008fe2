package conductor

import "time"

const (
	// driftShare is the reciprocal of the share by which a worker's clock may run slow: 2%.
	driftShare = 50
	// clockAgePerLease times the duration of a lease is the age from which a worker's clock
	// is read again. Leases lose the drift of that time, a fifth of their duration.
	clockAgePerLease = 10
)

// workerClock is what is known of the clock of one incarnation of a worker: at receivedAt it
// showed reading or more.
type workerClock struct {
	known      bool          // whether the incarnation has told its clock
	reading    int64         // ms on the worker's clock; 0 in the first ms of an incarnation
	receivedAt time.Duration // when the answer that told it had arrived
}

// lowerBound returns what the clock shows at least now, in ms. A lease that ends at a time on
// the clock ends too late if the clock is taken to be ahead of what it shows: the worker
// does not shorten the lease of a call that it executes late.
func (c workerClock) lowerBound(now time.Duration) int64 {
	elapsed := now - c.receivedAt
	if elapsed > 0 {
		elapsed -= elapsed / driftShare
	}
	return c.reading + elapsed.Milliseconds()
}

// observe records a reading from the answer to a call that was sent at sentAt. The worker has
// read its clock at some time in between. Of several readings the one with the highest
// lower bound counts, since an answer may have been long on its way. A reading that
// contradicts that bound is by another incarnation, whose answer does not name it.
func (c *workerClock) observe(reading int64, sentAt, receivedAt time.Duration) {
	bound := c.lowerBound(receivedAt)
	upperBound := reading + (receivedAt - sentAt).Milliseconds() + 2 // both are rounded down
	if !c.known || reading >= bound || upperBound < bound {
		*c = workerClock{known: true, reading: reading, receivedAt: receivedAt}
	}
}

// isOld reports whether the clock should be read again before leases of that duration
// are given by it.
func (c workerClock) isOld(now, lease time.Duration) bool {
	return c.known && now-c.receivedAt > clockAgePerLease*lease
}
