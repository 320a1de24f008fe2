package placer

import "time"

// mostAhead bounds the queued jobs that a forecast looks at; more of them make
// it too early, never too late.
const mostAhead = 1024

// forecastSteps is how often a forecast is refined by the work that arrives
// meanwhile.
const forecastSteps = 4

// forecastMargin is by how much a forecast lengthens the wait, for what comes
// later and goes first.
const forecastMargin = 1.25

// Forecast is when a job would be over if it were accepted now.
type Forecast struct {
	wait   time.Duration // until its last task would start
	finish time.Time
	inTime bool // finish is before the deadline, or there is none
	ahead  int  // queued jobs that would go first
}

// Wait returns the time until the last task would start.
func (f Forecast) Wait() time.Duration { return f.wait }

// Finish returns when the job would be over.
func (f Forecast) Finish() time.Time { return f.finish }

// MeetsDeadline reports whether it would be over before its deadline.
func (f Forecast) MeetsDeadline() bool { return f.inTime }

// Ahead returns how many queued jobs would go first.
func (f Forecast) Ahead() int { return f.ahead }

// Forecast estimates when a deferred job would be over, from the work of its
// team that would go first and from what the other teams get meanwhile by their
// shares. Work counts as far as its run time is learned, so that a job isn't
// refused for a wrong declaration. Other classes and jobs without a deadline are
// always in time.
func (p *Placer) Forecast(spec JobSpec, now time.Time) Forecast {
	run := p.settings.learned(spec)
	f := Forecast{finish: now.Add(run), inTime: true}
	if spec.class != Deferred || spec.deadline.IsZero() {
		return f
	}
	if t := p.byTeam[spec.team]; t != nil {
		work := float64(spec.size.cpu) * float64(spec.tasks-1) * run.Seconds()
		t.queues[deferredLane].AscendLessThan(&job{latest: p.latestStart(spec), serial: never}, func(j *job) bool {
			work += j.load(j.pending)
			f.ahead++
			return f.ahead < mostAhead
		})
		if f.ahead > 0 || !p.hasRoom(spec) {
			f.wait = time.Duration(forecastMargin * p.timeFor(t, work) * float64(time.Second))
		}
	}
	f.finish = now.Add(f.wait + run)
	f.inTime = !f.finish.After(spec.deadline)
	return f
}

// timeFor returns the seconds until a team has got that much work done, in
// thousandths of a processor times seconds. Meanwhile each other team gets its
// own backlog and what arrives for it done, or as much as its share against that
// of the team.
func (p *Placer) timeFor(t *team, work float64) float64 {
	took := 0.0
	for range forecastSteps {
		took = p.timeWith(t, work, min(took, inflowMemory.Seconds()))
	}
	if t.allotment > t.stay {
		took = max(took, work/float64(t.allotment-t.stay))
	}
	return took
}

// timeWith is timeFor when work goes on to arrive for some seconds.
func (p *Placer) timeWith(t *team, work, arriving float64) float64 {
	sum, free := work, p.total.cpu
	for _, o := range p.teams {
		free -= o.stay
		if o != t {
			sum += min(o.backlog+o.inflow*arriving, work*o.weight/t.weight)
		}
	}
	return sum / float64(max(free, 1))
}

// load returns the work of some tasks of the job, in thousandths of a processor
// times seconds, as far as it is learned.
func (j *job) load(tasks int32) float64 {
	return float64(j.spec.size.cpu) * float64(tasks) * j.expected.Seconds()
}

// expect sets the learned run time of a job.
func (p *Placer) expect(j *job) {
	waiting := j.pending + j.delayed
	j.team.backlog -= j.load(waiting)
	j.expected = p.settings.learned(j.spec)
	j.team.backlog += j.load(waiting)
}

// hasRoom reports whether all tasks of the job would start at once.
func (p *Placer) hasRoom(spec JobSpec) bool {
	free := p.total.Sub(p.used)
	return spec.size.Scale(int64(spec.tasks)).Fits(free) && !p.full.rules(spec.size)
}
