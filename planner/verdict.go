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
	// maxCrashes is the number of workers that have certainly crashed, at any time and
	// whether they are known to have started the task or not, from which it may be. The
	// platform allows two starts after three crashes.
	maxCrashes = 5
	// maxChance is the probability of crashes by chance up to which they prove the task
	// to be the cause.
	maxChance = 1e-4
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

// isProof reports whether crashes, the newest of which was alone with its task, prove the
// task to be the cause. With assumeEnded, those whose fate is open count as well.
func isProof(crashes []Crash, assumeEnded bool) bool {
	if len(crashes) < minCrashes {
		return false
	}
	var certain, ended []float64
	alone := false
	for _, c := range crashes {
		if c.Survived || !c.Ended && !c.Gone && !assumeEnded {
			continue
		}
		alone = c.Separate
		ended = append(ended, c.Chance)
		if c.Started && c.Prompt {
			certain = append(certain, c.Chance)
		}
	}
	return alone && (len(certain) >= minCrashes && combinedChance(certain) <= maxChance || len(ended) >= maxCrashes && combinedChance(ended) <= maxChance)
}

// combinedChance returns the probability that crashes by chance are as unlikely together as
// these, by Fisher's method. Those with a chance of 1 say nothing.
func combinedChance(chances []float64) float64 {
	sum, n := 0.0, 0
	for _, c := range chances {
		if c < 1 {
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
	p.noteLoss(w.reg.ID, cmp.Or(w.closedAt, now))
}

// noteStoredLoss counts the loss of a worker that the journal holds.
func (p *Planner) noteStoredLoss(c Crash) {
	if !c.Separate && c.Worker != "" {
		p.noteLoss(c.Worker, c.signAt())
	}
}

// noteLoss counts the loss of a worker at that time towards the rate of crashes. Of losses
// of one worker within a second, as under several runs in the journal, one counts.
func (p *Planner) noteLoss(id string, at time.Duration) {
	if last, known := p.lastLoss[id]; known && max(at-last, last-at) < time.Second {
		return
	}
	p.lastLoss[id] = at
	p.losses = append(p.losses, at)
	expired := 0
	for expired < len(p.losses) && p.losses[expired] < at-maxRateSpan {
		expired++
	}
	p.losses = p.losses[expired:]
}

// explainLosses takes the losses of workers under a task that is known to be their cause out
// of the rate of crashes.
func (p *Planner) explainLosses(crashes []Crash) {
	for _, c := range crashes {
		isOf := func(at time.Duration) bool { return max(at-c.signAt(), c.signAt()-at) <= 2*time.Millisecond }
		if i := slices.IndexFunc(p.losses, isOf); i >= 0 && !c.Separate && !c.Survived {
			p.losses = slices.Delete(p.losses, i, i+1)
		}
	}
}

// chanceOfCrash returns the probability that a worker crashes within age of the start of a
// run. The rate is that at which workers have crashed since the first of the crashes, which
// are those under the task, without these, or the latest rate if that is higher.
func (p *Planner) chanceOfCrash(crashes []Crash, age, now time.Duration) float64 {
	first := now - minRateSpan
	for _, c := range crashes {
		first = min(first, c.startedAt())
	}
	rate := max(p.crashRate(crashes, now-minRateSpan, now), p.crashRate(crashes, first, now))
	return min(1, rate*max(age, minCrashAge).Seconds())
}

// crashRate returns the crashes a second of a worker since that time, other than these, and
// one more.
func (p *Planner) crashRate(except []Crash, since, now time.Duration) float64 {
	since = max(since, now-maxRateSpan)
	crashes := 0
	for _, at := range p.losses {
		if at >= since {
			crashes++
		}
	}
	for _, c := range except {
		if c.signAt() >= since && !c.Separate {
			crashes--
		}
	}
	return float64(max(0, crashes)+1) / (float64(p.listedWorkers()) * (now - since).Seconds())
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
	for _, t := range p.losses {
		if near(t) {
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
		case c.Worker == w.reg.ID && c.Incarnation != 0 && incarnation > c.Incarnation, c.Worker != w.reg.ID && c.Address != "" && c.Address == w.reg.Address:
			resolved := *c
			resolved.Ended = true
			if c.Sign == signSilent { // it may have ended at any time
				age := now - c.startedAt()
				resolved.Age = age.Milliseconds()
				resolved.Chance = max(c.Chance, p.chanceOfCrash(o.history().crashes, age, now))
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
	c.Proven = isProof(crashes, false)
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
		if now-o.crash().at < goneTimeout && isProof(o.history().crashes, true) {
			o.history().held = true
		}
	}
}

// isListed reports whether the platform's list has the worker.
func (p *Planner) isListed(id string) bool {
	w := p.workers[id]
	return w != nil && w.listed
}
