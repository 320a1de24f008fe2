package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Workers crash without any task's doing too. The chance of a crash is the probability that a
// worker crashes at the age of a run or earlier, by the rate at which workers are lost.

const (
	// minRateSpan is the shortest time over which the rate of crashes is taken.
	minRateSpan = 10 * time.Second
	// maxRateSpan is the time after which crashes of workers don't count towards the rate.
	maxRateSpan = 10 * time.Minute
	// minCommonLosses and commonFraction are the number and the fraction of the workers that
	// have to be lost within commonWindow of another one to have a common cause with it.
	minCommonLosses = 3
	commonFraction  = 0.1
	commonWindow    = 50 * time.Millisecond
	// maxLossesStored is the number of losses of workers that a snapshot has.
	maxLossesStored = 512
	// minCrashAge is the least age that the run of a crashed worker counts with.
	minCrashAge = 10 * time.Millisecond
)

// combinedChance returns the probability that crashes by chance are as unlikely together as
// these, by Fisher's method. Those with a chance of 1 say nothing, and neither do those of an
// earlier version, which have none.
func combinedChance(chances []float64) float64 {
	sum, n := 0.0, 0
	for _, c := range chances {
		if c > 0 && c < 1 {
			sum -= math.Log(c)
			n++
		}
	}
	term, total := 1.0, 0.0
	for i := range n {
		if i > 0 {
			term *= sum / float64(i)
		}
		total += term
	}
	if n == 0 {
		return 1
	}
	return math.Exp(-sum) * total
}

// noteLostWorker counts the loss of a worker's incarnation towards the rate of crashes, unless
// a suspect was alone there, which may be the cause.
func (p *Planner) noteLostWorker(w *worker, now time.Duration) {
	if w.lossNoted || w.separateRuns > 0 {
		return
	}
	w.lossNoted = true
	l := Loss{at: cmp.Or(w.closedAt, now)}
	for _, r := range w.runs {
		l.Prompt = l.Prompt || r.phase != phaseDecided && l.at-r.startedAt <= crashWindow
	}
	p.noteLoss(l)
	p.newLosses = append(p.newLosses, l)
}

// Loss is the loss of a worker, without draining first. The caller writes it to the journal.
type Loss struct {
	Prompt bool  `cbor:"1,keyasint,omitempty"` // a run had begun there within crashWindow, and may be the cause
	At     int64 `cbor:"2,keyasint,omitempty"` // Unix ms; set in snapshots only

	at time.Duration
}

// noteLoss counts a loss towards the rate of crashes.
func (p *Planner) noteLoss(l Loss) {
	p.losses = append(p.losses, l)
	expired := 0
	for expired < len(p.losses) && p.losses[expired].at < l.at-maxRateSpan {
		expired++
	}
	p.losses = p.losses[expired:]
}

// HasLosses reports whether TakeLosses would return a loss.
func (p *Planner) HasLosses() bool { return len(p.newLosses) > 0 }

// TakeLosses returns the losses of workers since the last call. The caller writes them to the
// journal with one of its next records.
func (p *Planner) TakeLosses() []Loss {
	losses := p.newLosses
	p.newLosses = nil
	return losses
}

// explainLosses takes the losses of workers under a task that is known to be their cause out
// of the rate of crashes.
func (p *Planner) explainLosses(crashes []Crash) {
	for _, c := range crashes {
		isOf := func(l Loss) bool { return max(l.at-c.signAt(), c.signAt()-l.at) <= 2*time.Millisecond }
		if i := slices.IndexFunc(p.losses, isOf); i >= 0 && !c.Separate && !c.Survived {
			p.losses = slices.Delete(p.losses, i, i+1)
		}
	}
}

// chanceAtRate returns the probability that a worker crashes within age of the start of a run.
func chanceAtRate(rate float64, age time.Duration) float64 {
	return min(1, rate*max(age, minCrashAge).Seconds())
}

// rateWithout returns the rate at which workers have crashed since the first of the crashes,
// which are those under a task, without these, or the latest rate if that is higher.
func (p *Planner) rateWithout(crashes []Crash, now time.Duration) float64 {
	first := now - minRateSpan
	for _, c := range crashes {
		first = min(first, c.startedAt())
	}
	return max(p.crashRate(crashes, now-minRateSpan, 0, now), p.crashRate(crashes, first, 1, now))
}

// crashRate returns the crashes a second of a worker since that time, other than these, and
// that many more. Crashes by chance come at any time, so of those right after a start at most as
// many count as of the others.
func (p *Planner) crashRate(except []Crash, since time.Duration, more int, now time.Duration) float64 {
	since = max(since, now-maxRateSpan)
	prompt, others := 0, 0
	count := func(isPrompt bool, n int) {
		if isPrompt {
			prompt += n
		} else {
			others += n
		}
	}
	for _, l := range p.losses {
		if l.at >= since {
			count(l.Prompt, 1)
		}
	}
	for _, c := range except {
		if c.signAt() >= since && !c.Separate {
			count(c.Age <= crashWindow.Milliseconds(), -1)
		}
	}
	others = max(0, others)
	crashes := others + min(max(0, prompt), others)
	return float64(crashes+more) / (float64(p.listedWorkers()) * (now - since).Seconds())
}

// commonCause returns the fraction of the workers that were lost within commonWindow of the
// loss of a worker, if they are so many that they must have one cause, else 0. A crash among
// them says no more about a task than this fraction.
func (p *Planner) commonCause(lost *worker, now time.Duration) float64 {
	at := cmp.Or(lost.closedAt, now)
	near := func(t time.Duration) bool { return max(t-at, at-t) <= commonWindow }
	others := -1 // lost is among p.losses
	if lost.separateRuns > 0 {
		others = 0
	}
	for _, l := range p.losses {
		if near(l.at) {
			others++
		}
	}
	for _, w := range p.fleet {
		if w != lost && w.closedAt != 0 && !w.lossNoted && w.separateRuns == 0 && near(w.closedAt) {
			others++
		}
	}
	workers := p.listedWorkers()
	if others < minCommonLosses || float64(others) < commonFraction*float64(workers) {
		return 0
	}
	return min(1, float64(others)/float64(workers))
}

// listedWorkers returns the number of workers in the platform's list, at least 1.
func (p *Planner) listedWorkers() int {
	n := 0
	for _, w := range p.fleet {
		if w.listed {
			n++
		}
	}
	return max(1, n)
}
