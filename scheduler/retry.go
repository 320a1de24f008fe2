package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxLosses is the number of consecutive runs lost with their workers at which a task
	// fails. A task that crashes its workers must not be retried without end.
	maxLosses      = 8
	retryBaseDelay = time.Second // before the second retry of a lost task; doubles with each further loss
	retryMaxDelay  = time.Minute
	retryRate      = 50  // retries of lost tasks a second that start without a delay
	retryBurst     = 500 // such retries at once, as when a rack is lost
)

// backoff pauses a job until a time, since one of its runs was lost.
type backoff struct {
	jobID string
	until time.Time
}

// newRetryLimiter returns the limiter of retries that start without a delay.
func newRetryLimiter() *rate.Limiter { return rate.NewLimiter(retryRate, retryBurst) }

// backOff pauses a job after the loss of a run. The delay doubles with each
// consecutive loss of the task, and is jittered. The first retry of a task starts
// without a delay if the limiter allows it.
func (s *Scheduler) backOff(j *job, losses uint8, now time.Time) {
	allowed := s.retryLimiter.AllowN(now, 1)
	if allowed && losses <= 1 || j.withdrawn() || !j.endedAt.IsZero() {
		return
	}
	delay := min(retryBaseDelay<<max(int(losses)-2, 0), retryMaxDelay)
	delay = delay/2 + rand.N(delay/2+1)
	s.backoffs = append(s.backoffs, backoff{jobID: j.spec.ID(), until: now.Add(delay)})
	s.logPlacerError(s.placer.SetPaused(j.spec.ID(), true))
	s.logger.Info("Job backs off before a retry.", "shard", s.shard, "job", j.spec.ID(), "losses", losses, "delay", delay)
}

// endBackoffs resumes the jobs whose back-off has ended.
func (s *Scheduler) endBackoffs(now time.Time) {
	left := s.backoffs[:0]
	var due []string
	for _, b := range s.backoffs {
		if now.Before(b.until) {
			left = append(left, b)
			continue
		}
		due = append(due, b.jobID)
	}
	s.backoffs = left
	for _, id := range due {
		s.updatePaused(id)
	}
}

// updatePaused resumes a job, unless it still waits for a back-off, the journal or the
// fencing of the workers.
func (s *Scheduler) updatePaused(id string) {
	j, ok := s.state.jobs[id]
	if !ok || !j.endedAt.IsZero() || j.movedOrMoving() || j.withdrawn() {
		return
	}
	backingOff := slices.ContainsFunc(s.backoffs, func(b backoff) bool { return b.jobID == id })
	awaiting := slices.Contains(s.jobsAwaitingJournal, id)
	s.logPlacerError(s.placer.SetPaused(id, backingOff || awaiting || s.awaitingFences && j.spec.Idempotent()))
}
