// Package reserver decides which workers are held free for gangs that wait, and from when
// each gang can start on them.
//
// The caller passes the waiting gangs in the order in which they are served, each with the
// workers that may run it and the times at which its tasks fit there. Plan returns the
// reservations. A Reserver keeps them from one call of Plan to the next, so that the same
// workers drain until the gang fits. It renews a reservation from the new times, replaces
// workers that can't be used any more, and drops the reservation once the gang is not among
// those that wait, or its start is out of reach.
//
// A bounded share of the fleet is reserved. The first gang in the order always gets its
// reservation, whatever its size and its start. So a wide gang does not starve.
//
// A Reserver knows no capacity, runs or tickets, does no I/O, reads no clock and is not safe
// for concurrent use. Times are durations on the caller's clock.
package reserver
