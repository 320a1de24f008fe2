package emulator

import "time"

// faults is what goes wrong with the calls of one client, or of all.
type faults struct {
	down      bool          // calls are refused, nothing is carried out
	cut       bool          // calls vanish; the client waits until its time is up
	delay     time.Duration // added before each call is carried out
	lost      float64       // part of the writes whose answer is lost, from 0 to 1
	late      float64       // part of the writes that fail first and are applied later
	lateness  time.Duration // how much later
	stale     float64       // part of the reads that answer with the version before
	lostReads float64       // part of the reads and watches that fail
}

// merge returns the worse of both in each respect.
func (f faults) merge(o faults) faults {
	return faults{
		down:      f.down || o.down,
		cut:       f.cut || o.cut,
		delay:     max(f.delay, o.delay),
		lost:      max(f.lost, o.lost),
		late:      max(f.late, o.late),
		lateness:  max(f.lateness, o.lateness),
		stale:     max(f.stale, o.stale),
		lostReads: max(f.lostReads, o.lostReads),
	}
}

// Fault is one kind of failure to switch on.
type Fault func(*faults)

// Down refuses all calls with keeper.ErrUnavailable.
func Down() Fault { return func(f *faults) { f.down = true } }

// Partition makes all calls vanish on the way there: a client waits until its context
// ends or CutTimeout is over, and a write's outcome is unknown to it.
func Partition() Fault { return func(f *faults) { f.cut = true } }

// Slow delays each call.
func Slow(delay time.Duration) Fault { return func(f *faults) { f.delay = delay } }

// LoseAnswers carries out that part of the writes (from 0 to 1), but answers
// keeper.ErrUnknown.
func LoseAnswers(part float64) Fault { return func(f *faults) { f.lost = part } }

// LateWrites answers that part of the writes (from 0 to 1) with
// keeper.ErrUnknown and carries them out later.
func LateWrites(part float64, lateness time.Duration) Fault {
	return func(f *faults) {
		f.late = part
		f.lateness = lateness
	}
}

// StaleReads answers that part of the reads (from 0 to 1) with what a key held
// before its last change.
func StaleReads(part float64) Fault { return func(f *faults) { f.stale = part } }

// FailReads answers that part of the reads and watches (from 0 to 1) with
// keeper.ErrUnavailable.
func FailReads(part float64) Fault { return func(f *faults) { f.lostReads = part } }

// collect applies the faults to none.
func collect(list []Fault) faults {
	var f faults
	for _, fault := range list {
		fault(&f)
	}
	return f
}
