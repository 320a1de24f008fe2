package emulator

import "time"

// faults are the faults in the calls of one client or of all clients. A share is a
// probability from 0 to 1.
type faults struct {
	down          bool          // calls are refused and not carried out
	partitioned   bool          // calls are lost; the client times out
	delay         time.Duration // before each call is carried out
	lostResponses float64       // share of the writes whose response is lost
	lateWrites    float64       // share of the writes that fail first and are carried out later
	lateness      time.Duration // delay of the late writes
	staleReads    float64       // share of the reads that return the previous version
	failedReads   float64       // share of the reads and watches that fail
}

// merge returns the worse of both faults in each field.
func (f faults) merge(other faults) faults {
	return faults{
		down:          f.down || other.down,
		partitioned:   f.partitioned || other.partitioned,
		delay:         max(f.delay, other.delay),
		lostResponses: max(f.lostResponses, other.lostResponses),
		lateWrites:    max(f.lateWrites, other.lateWrites),
		lateness:      max(f.lateness, other.lateness),
		staleReads:    max(f.staleReads, other.staleReads),
		failedReads:   max(f.failedReads, other.failedReads),
	}
}

// Fault switches on one fault of a Store or a Client.
type Fault func(*faults)

// Down refuses all calls with keeper.ErrUnavailable.
func Down() Fault { return func(f *faults) { f.down = true } }

// Partition loses all calls before they reach the store. A call fails when its context
// ends or after PartitionTimeout; a write fails with keeper.ErrOutcomeUnknown.
func Partition() Fault { return func(f *faults) { f.partitioned = true } }

// Slow delays each call.
func Slow(delay time.Duration) Fault { return func(f *faults) { f.delay = delay } }

// LoseResponses loses the responses to that share of the writes: they are carried out, but
// fail with keeper.ErrOutcomeUnknown.
func LoseResponses(share float64) Fault { return func(f *faults) { f.lostResponses = share } }

// LateWrites makes that share of the writes fail with keeper.ErrOutcomeUnknown and
// carries them out after lateness.
func LateWrites(share float64, lateness time.Duration) Fault {
	return func(f *faults) {
		f.lateWrites = share
		f.lateness = lateness
	}
}

// StaleReads makes that share of the reads return the previous version of a key, and
// delays the changes that a watch returns, as on a replica that lags behind.
func StaleReads(share float64) Fault { return func(f *faults) { f.staleReads = share } }

// FailReads makes that share of the reads and watches fail with keeper.ErrUnavailable.
func FailReads(share float64) Fault { return func(f *faults) { f.failedReads = share } }

// newFaults returns the faults of the list; all others are off.
func newFaults(list []Fault) faults {
	var f faults
	for _, fault := range list {
		fault(&f)
	}
	return f
}
