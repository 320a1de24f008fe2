package placer

import "time"

// mostAhead bounds the queued jobs that a forecast looks at; more of them make
// it too early, never too late.
const mostAhead = 1024

// forecastMargin is by how much a forecast lengthens the wait, for what comes
// later and goes first.
const forecastMargin = 1.3

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

// InTime reports whether it would be over before its deadline.
func (f Forecast) InTime() bool { return f.inTime }

// Ahead returns how many queued jobs would go first.
func (f Forecast) Ahead() int { return f.ahead }

// Forecast estimates when a deferred job would be over, from the work of its
// team that would go first and from the share of the workers that is due to the
// team. Other classes and jobs without a deadline are always in time.
func (p *Placer) Forecast(spec JobSpec, now time.Time) Forecast {
	p.reckon(nanos(now))
	run := p.runTime(spec)
	f := Forecast{finish: now.Add(run), inTime: true}
	if spec.class != Deferred || spec.deadline.IsZero() {
		return f
	}
	t := p.byTeam[spec.team]
	if t == nil {
		f.inTime = !f.finish.After(spec.deadline)
		return f
	}
	work := float64(spec.size.cpu) * float64(spec.tasks-1) * run.Seconds()
	t.queues[deferredLane].AscendLessThan(&job{latest: p.latestStart(spec), serial: never}, func(j *job) bool {
		work += float64(j.spec.size.cpu) * float64(j.pending) * j.expected.Seconds()
		f.ahead++
		return f.ahead < mostAhead
	})
	f.wait = time.Duration(forecastMargin * work / p.rate(t) * float64(time.Second))
	if p.hasRoom(spec) && f.ahead == 0 {
		f.wait = 0
	}
	f.finish = now.Add(f.wait + run)
	f.inTime = !f.finish.After(spec.deadline)
	return f
}

// rate returns the thousandths of a processor that are due to deferred work of
// the team.
func (p *Placer) rate(t *team) float64 {
	due := max(t.ideal, t.share)
	if t.wish == 0 {
		due = 1
	}
	cpu := due * float64(p.total.cpu)
	if t.allotment >= 0 {
		cpu = min(cpu, float64(t.allotment))
	}
	return max(cpu-float64(t.stay), 1)
}

// hasRoom reports whether all tasks of the job would start at once.
func (p *Placer) hasRoom(spec JobSpec) bool {
	free := p.total.Sub(p.used)
	return spec.size.Scale(int64(spec.tasks)).Fits(free) && !p.full.rules(spec.size)
}
