package planner

import "time"

const (
	// maxBlamedWorkers is how many workers the failed runs of a step count against, until one of its
	// runs succeeds. A step that has failed on more is taken to fail by itself.
	maxBlamedWorkers = 2
	// soundTime is how long a run of a long-running task, which never ends done, has to go on to
	// count as a success.
	soundTime = 3 * time.Second
)

// observeSuccess takes note that a run of the step on the worker has succeeded.
func (s *step) observeSuccess(w *worker) {
	clear(s.failedOn)
	w.health.recordSuccess()
}

// observeFailure takes note that the run has failed: its worker or its step is to blame.
func (r *run) observeFailure(now time.Duration) {
	if r.sound {
		return // nothing is to blame: a long-running task may end at any time
	}
	s, w := r.step, r.worker
	if s.failedOn == nil {
		s.failedOn = map[string]bool{}
	}
	s.failedOn[w.reg.ID] = true
	if !s.failsByItself() {
		w.health.recordFailure(now)
	}
}

// observeSoundness counts the run as a success once it has gone on for soundTime, if its task is a
// long-running one. A heartbeat sent at sentAt has listed it.
func (r *run) observeSoundness(sentAt time.Duration) {
	if r.sound || !r.step.spec.LongRunning || r.phase != phaseRunning || sentAt-r.confirmedAt < soundTime {
		return
	}
	r.sound = true
	r.step.observeSuccess(r.worker)
}

// failsByItself reports whether the step has failed on so many workers since a run succeeded that its
// failures don't count against workers.
func (s *step) failsByItself() bool { return len(s.failedOn) > maxBlamedWorkers }

// avoids reports whether the step starts on the worker only if it has to. Where its failures don't
// count against workers, they don't keep it from those that fail all that they start.
func (s *step) avoids(w *worker) bool { return s.failsByItself() && s.failedOn[w.reg.ID] }
