package planner

import (
	"slices"
	"time"
)

// A worker that is lost has crashed, or is behind a cut and runs on. Its next answer tells:
// that of the same incarnation, that there was no crash, that of another one, or of another
// worker at its address, that there was. Until then its fate is open. A task is the cause of
// crashes if so many of them, so soon after its starts, are unlikely to have come by chance.

const (
	// minPrompt is the number of workers that have certainly crashed right after they had
	// started a task, from which it may be proven to be the cause.
	minPrompt = 3
	// minLosses is the number of workers that were lost, minEnded of which have certainly
	// crashed, at any time and whether they are known to have started the task or not, from
	// which it may be. The platform allows two starts after three crashes.
	minLosses = 5
	minEnded  = 4
	// maxChance is the probability of crashes by chance up to which minPrompt prove the task
	// to be the cause, and maxLateChance that for minLosses: a task that does crash its workers
	// may not start more often.
	maxChance     = 1e-4
	maxLateChance = 5e-2
	// goneTimeout is the time after its loss from which a worker counts as crashed whose
	// machine refused connections right after the start and which the platform's list does
	// not have any more. It is also the time for which a task may wait for what has become of
	// its workers.
	goneTimeout = 20 * time.Second
	// ageScatter is how far apart the ages may be at which one task crashes its workers.
	ageScatter = 100 * time.Millisecond
)

// isRefuted reports whether a crash at that age is not the task's doing, by the longest time for
// which a run of it is known to have gone on.
func isRefuted(age, longest time.Duration) bool { return age+ageScatter < longest }

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
// prove it to be the cause. Those that the longest run of the task refutes say nothing. With
// assumeEnded, those whose fate is open count as well. A rate of crashes that has become known
// since the older ones counts for these too.
func (p *Planner) isProof(crashes []Crash, longest time.Duration, assumeEnded bool, now time.Duration) bool {
	if len(crashes) < minPrompt {
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
		if isRefuted(age, longest) {
			chance = 1
		}
		ended = append(ended, chance)
		if c.Started && c.Prompt {
			certain = append(certain, chance)
		}
	}
	return alone && (len(certain) >= minPrompt && combinedChance(certain) <= maxChance || lost >= minLosses && len(ended) >= minEnded && combinedChance(ended) <= maxLateChance)
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
