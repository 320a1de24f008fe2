package placer

import "time"

// maxJobsAhead limits the queued jobs that a forecast counts. When there are more, the
// predicted finish is too early, never too late.
const maxJobsAhead = 1024

// forecastSteps is the number of iterations of a forecast. Each iteration counts the work
// that arrives within the wait that the previous one computed.
const forecastSteps = 4

// forecastMargin is the factor by which a forecast lengthens the wait, to allow for work
// that arrives later but goes first.
const forecastMargin = 1.25

// Forecast is an estimate of when a job would finish if it were accepted now.
type Forecast struct {
	wait          time.Duration // until its last task would start
	finish        time.Time
	meetsDeadline bool // finish isn't after the deadline; true without a deadline and for other classes than Deferred
	ahead         int  // queued jobs of the team that would go first, at most maxJobsAhead
}

// Wait returns the time until the last task would start.
func (f Forecast) Wait() time.Duration { return f.wait }

// Finish returns when the job would finish.
func (f Forecast) Finish() time.Time { return f.finish }

// MeetsDeadline reports whether the job would finish by its deadline.
func (f Forecast) MeetsDeadline() bool { return f.meetsDeadline }

// JobsAhead returns how many queued jobs of the team would go first.
func (f Forecast) JobsAhead() int { return f.ahead }

// Forecast estimates when a deferred job would finish. It counts the work queued before the
// job in its team, and the work that other teams get done meanwhile by their shares. Only
// work with a learned run time counts, so that no job is refused because of a wrong
// declaration. A job of another class, or without a deadline, is always in time.
func (p *Placer) Forecast(spec JobSpec, now time.Time) Forecast {
	runTime := p.settings.learnedRunTime(spec)
	f := Forecast{finish: now.Add(runTime), meetsDeadline: true}
	if spec.class != Deferred || spec.deadline.IsZero() {
		return f
	}
	if t := p.byTeam[spec.team]; t != nil {
		work := float64(spec.size.cpu) * float64(spec.tasks-1) * runTime.Seconds()
		t.queues[deferredLane].AscendLessThan(&job{latestStart: p.latestStart(spec), serial: never}, func(j *job) bool {
			work += j.work(j.pending)
			f.ahead++
			return f.ahead < maxJobsAhead
		})
		if f.ahead > 0 || !p.fitsNow(spec) {
			f.wait = time.Duration(forecastMargin * p.timeToFinish(t, work) * float64(time.Second))
		}
	}
	f.finish = now.Add(f.wait + runTime)
	f.meetsDeadline = !f.finish.After(spec.deadline)
	return f
}

// timeToFinish returns the seconds until an amount of work of a team is done. The work is in
// thousandths of a processor times seconds. Other teams have their backlog and arriving work
// done in the same time, each up to the amount due to it by its weight.
func (p *Placer) timeToFinish(t *team, work float64) float64 {
	seconds := 0.0
	for range forecastSteps {
		seconds = p.timeToFinishWith(t, work, min(seconds, arrivalWindow.Seconds()))
	}
	if t.quota > t.serviceCPU {
		seconds = max(seconds, work/float64(t.quota-t.serviceCPU))
	}
	return seconds
}

// timeToFinishWith is like timeToFinish, but assumes that other teams' work arrives for
// arrivalSeconds, and ignores the quota of the team.
func (p *Placer) timeToFinishWith(t *team, work, arrivalSeconds float64) float64 {
	sum, free := work, p.total.cpu
	for _, o := range p.teams {
		free -= o.serviceCPU
		if o != t {
			sum += min(o.backlog+o.arrivalRate*arrivalSeconds, work*o.weight/t.weight)
		}
	}
	return sum / float64(max(free, 1))
}

// work returns the work of a number of tasks of the job, in thousandths of a processor
// times seconds. It is 0 when no run time has been learned.
func (j *job) work(tasks int32) float64 {
	return float64(j.spec.size.cpu) * float64(tasks) * j.learnedRunTime.Seconds()
}

// refreshRunTime updates the learned run time of a job, and with it the team's backlog.
func (p *Placer) refreshRunTime(j *job) {
	waiting := j.pending + j.delayed
	j.team.backlog -= j.work(waiting)
	j.learnedRunTime = p.settings.learnedRunTime(j.spec)
	j.team.backlog += j.work(waiting)
}

// fitsNow reports whether all tasks of the job are likely to fit at once.
func (p *Placer) fitsNow(spec JobSpec) bool {
	free := p.total.Sub(p.used)
	return spec.size.Scale(int64(spec.tasks)).Fits(free) && !p.noFit.covers(spec.size)
}
