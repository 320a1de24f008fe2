package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxLosses is how many runs of a task may be lost with their workers in a row.
	// A task that takes its workers down with it must not go on for ever.
	maxLosses  = 8
	retryBase  = time.Second // before the second retry of a lost task; doubles
	retryMost  = time.Minute
	retryRate  = 50  // retries of lost tasks a second that start at once
	retryBurst = 500 // as when a rack is lost
)

// resting is a job whose tasks don't start before a time.
type resting struct {
	job   string
	until time.Time
}

// newBudget returns the budget of retries that start at once.
func newBudget() *rate.Limiter { return rate.NewLimiter(retryRate, retryBurst) }

// rest keeps a job with a lost task from starting for a while: the longer the
// more runs of the task were lost, and when the budget of retries is spent. The
// first retry within the budget starts at once.
func (s *Scheduler) rest(j *job, losses uint8, now time.Time) {
	within := s.retries.AllowN(now, 1)
	if within && losses <= 1 || j.withdrawn() || !j.over.IsZero() {
		return
	}
	delay := min(retryBase<<max(int(losses)-2, 0), retryMost)
	delay = delay/2 + rand.N(delay/2+1)
	s.resting = append(s.resting, resting{job: j.spec.ID(), until: now.Add(delay)})
	s.check(s.placer.SetPaused(j.spec.ID(), true))
	s.logger.Info("Job waits before a retry.", "shard", s.shard, "job", j.spec.ID(), "losses", losses, "delay", delay)
}

// wakeResting lets jobs go on that have waited long enough.
func (s *Scheduler) wakeResting(now time.Time) {
	left := s.resting[:0]
	var due []string
	for _, r := range s.resting {
		if now.Before(r.until) {
			left = append(left, r)
			continue
		}
		due = append(due, r.job)
	}
	s.resting = left
	for _, id := range due {
		s.unhold(id)
	}
}

// unhold lets a job start again, unless something else still keeps it.
func (s *Scheduler) unhold(id string) {
	j, ok := s.book.jobs[id]
	if !ok || !j.over.IsZero() || j.gone() || j.withdrawn() {
		return
	}
	rests := slices.ContainsFunc(s.resting, func(r resting) bool { return r.job == id })
	waits := slices.Contains(s.waiting, id)
	s.check(s.placer.SetPaused(id, rests || waits || s.holding && j.spec.Idempotent()))
}
