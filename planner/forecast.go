package planner

import (
	"slices"
	"time"

	"filberthaven.example/estimator"
)

// WithLearnedRunTimes makes the planner learn run times for each queue, team and step,
// instead of one ratio for each queue.
func WithLearnedRunTimes() Option {
	return func(s *settings) { s.learnRunTimes = true }
}

// stepForecast is the forecast of a step's run time as it was when the queue had that many
// runs, and the step that many finished tasks. Its zero value is no forecast.
type stepForecast struct {
	estimator.Forecast
	queueRuns uint64
	finished  int
	computed  bool
}

const (
	// refreshFraction is the fraction by which the runs of a queue have to grow until the
	// forecasts of its steps are computed anew.
	refreshFraction = 8
	// refreshRuns is the number of runs after which they are computed anew in any case. A
	// decision looks at thousands of runs, and some hundred runs end in a second.
	refreshRuns = 64
)

// learns reports whether the run time of the step is forecast from learned ones. Without a
// declared run time nothing is known of a step, and 0 is used.
func (p *Planner) learns(s *step) bool { return p.runTimes != nil && s.queueStats != nil }

// forecast returns the newest forecast of the run time of a step that learns.
func (p *Planner) forecast(s *step) *estimator.Forecast {
	runs, f := s.queueStats.runs, &s.forecast
	if !f.computed || f.finished != s.siblings.Finished() || runs-f.queueRuns >= min(refreshRuns, 1+f.queueRuns/refreshFraction) {
		j := s.occurrence.job
		*f = stepForecast{p.runTimes.Expect(j.spec.Queue, j.spec.Team, s.declared(), s.siblings), runs, s.siblings.Finished(), true}
	}
	return &f.Forecast
}

// expected returns the mean run time that is expected of a task of the step, in ms.
func (p *Planner) expected(s *step) float64 {
	if p.learns(s) {
		return p.forecast(s).Mean().Seconds() * 1000
	}
	return float64(s.spec.Estimate) * s.occurrence.job.stats.runTimeRatio()
}

// forecastJob stores the expected run times of a job's steps, from which its objective and the
// rest of its critical path are computed as long as it lives. With newer forecasts, its place
// in the order would change while it waits.
func (p *Planner) forecastJob(j *job) {
	if p.runTimes == nil {
		return
	}
	j.expected = make([]time.Duration, len(j.spec.Steps))
	for i := range j.spec.Steps {
		if spec := &j.spec.Steps[i]; spec.Estimate > 0 {
			j.expected[i] = p.runTimes.Expect(j.spec.Queue, j.spec.Team, spec.declared(), estimator.Siblings{}).Typical()
		}
	}
}

// expectedAtAdmission returns the run time of a task of the step that was expected when the
// job was accepted or, if none is learned, the declared one.
func (s *step) expectedAtAdmission() time.Duration {
	if expected := s.occurrence.job.expected; expected != nil {
		return expected[s.index]
	}
	return s.declared()
}

func (s *step) declared() time.Duration { return s.spec.declared() }

// maxDeclared bounds declared run times in ms: those of 100 years and more are as good as endless,
// and a time.Duration holds 292 years.
const maxDeclared = 100 * 365 * 24 * 3600 * 1000

// declared returns the declared run time of a task.
func (s *StepSpec) declared() time.Duration {
	return time.Duration(min(s.Estimate, maxDeclared)) * time.Millisecond
}

// learnedRemainingTime returns how long a run of a step that learns is expected to go on. The
// progress of the run counts first, if it has made enough of it since it was first listed. Once
// that time is over, or without progress, the age of the run counts. The age of a run that was
// resumed, and the start of an inherited one by another VM's clock, say less than any progress.
func (p *Planner) learnedRemainingTime(r *run, now time.Duration) time.Duration {
	f := p.forecast(r.step)
	if gained := r.progress - r.firstProgress; gained >= minUsefulProgress && r.progressAt > r.firstProgressAt {
		left := (r.progressAt - r.firstProgressAt) * time.Duration(100-min(r.progress, 100)) / time.Duration(gained)
		if left -= now - r.progressAt; left > 0 {
			return left
		}
	}
	switch {
	case (r.decidedAt == 0 || r.resumed) && r.progress > 0:
		return f.Remaining(0) * time.Duration(100-min(r.progress, 100)) / 100
	case r.decidedAt == 0:
		return f.Remaining(now - r.startedAt)
	default:
		return f.Remaining(now - max(r.decidedAt, r.confirmedAt))
	}
}

// observeProgress applies the progress that a worker lists. That of a run that was resumed or
// inherited may be high from the first list on.
func (r *run) observeProgress(percent int, now time.Duration) {
	if r.progressAt == 0 {
		r.firstProgress, r.firstProgressAt = percent, now
		if r.decidedAt != 0 && !r.resumed && r.confirmedAt != 0 {
			r.firstProgress, r.firstProgressAt = 0, r.confirmedAt
		}
	}
	r.progress, r.progressAt = percent, now
}

// observeRunTime learns the run time of a run that has ended with that result.
func (p *Planner) observeRunTime(r *run, result string, now time.Duration) {
	if result != Done || !p.learns(r.step) || !r.hasPlainRunTime() {
		return
	}
	j := r.step.occurrence.job
	if p.runTimes.Observe(j.spec.Queue, j.spec.Team, r.step.declared(), r.observedRunTime(now), &r.step.siblings) == nil {
		r.step.queueStats.runs++
	}
}

// hasPlainRunTime reports whether a done run tells how long the tasks of its step take. One
// whose start is not known exactly does not, such as that of an earlier owner, nor one that
// was resumed, was to be stopped, or whose task may crash workers. Of a gang, one member counts,
// since all end together; the others are obsolete by then.
func (r *run) hasPlainRunTime() bool {
	tasks := r.step.tasks[r.taskIndex : r.taskIndex+1]
	if r.step.spec.Gang {
		tasks = r.step.tasks
	}
	return r.phase == phaseRunning && r.decidedAt != 0 && r.confirmedAt != 0 &&
		!r.obsolete && !r.stopOrdered && !r.resumed && !r.repeated && !r.silent && !r.step.spec.LongRunning &&
		!slices.ContainsFunc(tasks, func(t task) bool { return t.crashes.suspect || len(t.crashes.crashes) > 0 })
}

// observedRunTime returns the time from the confirmed start of a run until now, when its end
// was listed. Members of a gang wait for the one that starts last. A worker that answers a
// call at once lists a run that ended since the answer before; half of that time is left out.
// The speed of the worker is not taken out: the spread of the forecasts includes that of the
// workers.
func (r *run) observedRunTime(now time.Duration) time.Duration {
	startedAt := r.confirmedAt
	if r.step.spec.Gang {
		for i := range r.step.tasks {
			for _, other := range r.step.tasks[i].runs {
				if other.number == r.number {
					startedAt = max(startedAt, other.confirmedAt)
				}
			}
		}
	}
	end := now
	if sentAt := r.worker.lastAnswerAt; r.progressAt > 0 && r.progressAt < sentAt && now-sentAt <= promptAnswer {
		end -= (sentAt - r.progressAt) / 2
	}
	return end - startedAt
}

// promptAnswer is the time within which a worker answers a call unless it waits for a run to
// end, on a link between data centres.
const promptAnswer = 40 * time.Millisecond
