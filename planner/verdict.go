package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A worker that is lost has crashed, or is behind a cut and runs on. Its next answer tells:
// that of the same incarnation, that there was no crash, that of another one, or of another
// worker at its address, that there was. Until then its fate is open. A task is the cause of
// crashes if so many of them, so soon after its starts, are unlikely to have come by chance,
// by the rate at which workers crash without it.

const (
	// minCrashes is the number of workers that have certainly crashed right after they had
	// started a task, from which it may be proven to be the cause.
	minCrashes = 3
	// maxCrashes is the number of workers that were lost, minEnded of which have certainly
	// crashed, at any time and whether they are known to have started the task or not, from
	// which it may be. The platform allows two starts after three crashes.
	maxCrashes = 5
	minEnded   = 4
	// maxChance is the probability of crashes by chance up to which minCrashes prove the task
	// to be the cause, and maxLateChance that for maxCrashes: a task that does crash its workers
	// may not start more often.
	maxChance     = 1e-4
	maxLateChance = 5e-2
	// goneTimeout is the time after its loss from which a worker counts as crashed whose
	// machine refused connections right after the start and which the platform's list does
	// not have any more. It is also the time for which a task may wait for what has become of
	// its workers.
	goneTimeout = 20 * time.Second
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

// openCrash is a crash of which it is not known whether its worker has ended.
type openCrash struct {
	step   *step
	index  int // of the task
	number int // of the run
}

// crash returns the crash, nil once its fate is known or does not matter any more.
func (o openCrash) crash() *Crash {
	if o.step.occurrence.job.finalState != "" || o.step.tasks[o.index].done {
		return nil
	}
	c := o.history().find(o.number)
	if c == nil || !c.isOpen() {
		return nil
	}
	return c
}

func (o openCrash) history() *crashHistory { return &o.step.tasks[o.index].crashes }

// await notes whose answers may decide an open crash.
func (p *Planner) await(c *Crash) { p.awaited[c.Worker], p.awaited[c.Address] = true, true }

// isProof reports whether the crashes under a task, the newest of which was alone with it,
// prove it to be the cause. A run that is known to have gone on for longest shows that the task
// does not crash its workers at a lower age; such crashes say nothing. With assumeEnded, those
// whose fate is open count as well. A rate of crashes that has become known since the older
// ones counts for these too.
func (p *Planner) isProof(crashes []Crash, longest time.Duration, assumeEnded bool, now time.Duration) bool {
	if len(crashes) < minCrashes {
		return false
	}
	var certain, ended []float64
	alone, lost := false, 0
	rate := p.rateWithout(crashes, now)
	for _, c := range crashes {
		if c.Survived {
			continue
		}
		lost++
		if !c.Ended && !c.Gone && !assumeEnded {
			continue
		}
		alone = c.Separate
		age := time.Duration(c.Age) * time.Millisecond
		chance := max(c.Chance, chanceAtRate(rate, age))
		if age < longest {
			chance = 1
		}
		ended = append(ended, chance)
		if c.Started && c.Prompt {
			certain = append(certain, chance)
		}
	}
	return alone && (len(certain) >= minCrashes && combinedChance(certain) <= maxChance || lost >= maxCrashes && len(ended) >= minEnded && combinedChance(ended) <= maxLateChance)
}

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

// resolveCrashes applies what the answer of a worker's incarnation tells of lost workers: of
// this one, and of one that had its address.
func (p *Planner) resolveCrashes(w *worker, incarnation int64, now time.Duration) {
	if !p.awaited[w.reg.ID] && !p.awaited[w.reg.Address] {
		return
	}
	for _, o := range p.openCrashes {
		c := o.crash()
		switch {
		case c == nil:
		case c.Worker == w.reg.ID && c.Incarnation != 0 && incarnation == c.Incarnation:
			resolved := *c
			resolved.Survived = true
			p.resolveCrash(o, resolved, now)
		case c.Worker == w.reg.ID && c.Incarnation != 0 && incarnation != 0, c.Worker != w.reg.ID && c.Address != "" && c.Address == w.reg.Address:
			resolved := *c
			resolved.Ended = true
			if c.Sign == signSilent { // it may have ended at any time
				age := now - c.startedAt()
				resolved.Age = age.Milliseconds()
				resolved.Chance = max(c.Chance, chanceAtRate(p.rateWithout(o.history().crashes, now), age))
			}
			p.resolveCrash(o, resolved, now)
		}
	}
}

// resolveCrash replaces an open crash by what has become known of it.
func (p *Planner) resolveCrash(o openCrash, c Crash, now time.Duration) {
	crashes := slices.Clone(o.history().crashes)
	for i := range crashes {
		if crashes[i].Number == c.Number {
			crashes[i] = c
		}
	}
	c.Proven = p.isProof(crashes, o.history().longest, false, now)
	if p.applyCrash(o.step, o.index, c) {
		p.newCrashes = append(p.newCrashes, c)
	}
	p.failIfProven(o.step, o.index, now)
}

// decideOpenCrashes counts workers that have been gone for long as crashed, and holds back
// the tasks that would be proven to be the cause if all of their workers had crashed. It drops
// open crashes that do not matter any more.
func (p *Planner) decideOpenCrashes(now time.Duration) {
	for _, o := range p.openCrashes {
		if c := o.crash(); c != nil && !c.Gone && c.Sign == signClosed && c.Prompt && now-c.at >= goneTimeout && !p.isListed(c.Worker) {
			resolved := *c
			resolved.Gone = true
			p.resolveCrash(o, resolved, now)
		}
	}
	for _, o := range p.openCrashes {
		o.history().held = false
	}
	dropped := func(o openCrash) bool { c := o.crash(); return c == nil || now-c.at >= maxRateSpan }
	if slices.ContainsFunc(p.openCrashes, dropped) {
		p.openCrashes = slices.DeleteFunc(p.openCrashes, dropped)
		clear(p.awaited)
		for _, o := range p.openCrashes {
			p.await(o.crash())
		}
	}
	for _, o := range p.openCrashes {
		if now-o.crash().at < goneTimeout && p.isProof(o.history().crashes, o.history().longest, true, now) {
			o.history().held = true
		}
	}
}

// isListed reports whether the platform's list has the worker.
func (p *Planner) isListed(id string) bool {
	w := p.workers[id]
	return w != nil && w.listed
}
