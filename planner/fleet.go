package planner

import (
	"slices"
	"time"
)

// worker returns the worker with the id and adds it if it is new.
func (p *Planner) worker(id string) *worker {
	w := p.workers[id]
	if w == nil {
		w = &worker{reg: Registration{ID: id}, runs: map[runKey]*run{}, earlierOwnersFenced: true}
		p.workers[id] = w
		p.fleet = append(p.fleet, w)
		p.byFreeCPU.add(w)
	}
	return w
}

// Register applies a worker's entry in the platform's list. It reports whether the
// entry has changed. Nothing starts on a worker that the journal doesn't name until it has
// answered, and the caller has stored it and called MarkWorkerStored.
func (p *Planner) Register(r Registration, now time.Duration) (changed bool) {
	w := p.worker(r.ID)
	known, wasListed := w.reg, w.listed
	w.listed = true
	p.observeEntry(w, r.Incarnation, now)
	switch {
	case r.Incarnation != 0 && slices.Contains(w.earlier, r.Incarnation):
		return !wasListed // late
	case r.Incarnation != 0 && r.Incarnation == w.doubted:
		w.doubtedEntry = r
		return true
	}
	w.applyEntry(r)
	return !wasListed || !known.equal(w.reg)
}

// applyEntry sets what an entry of the known incarnation tells, or one that names none.
func (w *worker) applyEntry(r Registration) {
	w.entryIncarnation, r.Incarnation = r.Incarnation, w.reg.Incarnation
	w.reg = r
}

// Accepts reports whether the platform's list and the operators still let tasks
// start on the worker, its entry is that of its incarnation, it has answered the last call, and
// all that is allocated on it fits.
// The caller checks this right before it orders a start, since the worker may have begun to
// drain, have become unresponsive or have lost capacity while the start was written to the
// journal.
func (p *Planner) Accepts(id string) bool {
	w := p.workers[id]
	return w != nil && w.listed && !w.reg.Draining && !w.isEntryOutdated() && !p.cordoned[w.reg.Centre] && !w.isSilent() && w.free().IsValid()
}

// IsWorkerStored reports whether the journal names the worker.
func (p *Planner) IsWorkerStored(id string) bool { return p.persisted[id] }

// MarkWorkerStored lets tasks start on a worker. The caller calls it once the journal
// names the worker.
func (p *Planner) MarkWorkerStored(id string) { p.persisted[id] = true }

// Deregister marks a worker that is no longer in the platform's list. Its runs stay
// allocated until they are known to have ended or its lease has expired.
func (p *Planner) Deregister(id string) {
	if w := p.workers[id]; w != nil {
		w.listed = false
	}
}

// PruneWorkers removes workers that are no longer listed, run nothing and hold no
// lease. It returns their ids, and which of them the caller may drop from the journal.
func (p *Planner) PruneWorkers(now time.Duration) (ids, stored []string) {
	var pruned []*worker
	for _, w := range p.fleet {
		if !w.listed && len(w.runs) == 0 && w.earlierOwnersFenced && now >= w.leaseExpiry {
			if p.persisted[w.reg.ID] {
				stored = append(stored, w.reg.ID)
			}
			delete(p.workers, w.reg.ID)
			delete(p.persisted, w.reg.ID)
			w.pruned = true
			ids, pruned = append(ids, w.reg.ID), append(pruned, w)
		}
	}
	if len(ids) > 0 {
		isPruned := func(w *worker) bool { return w.pruned }
		p.fleet = slices.DeleteFunc(p.fleet, isPruned)
		p.byFreeCPU.remove(isPruned)
		p.forgetAdvice(pruned...)
	}
	return ids, stored
}

// workerRestarted ends the runs of the worker's earlier incarnation. A start without an
// answer may still reach the new incarnation, so its run stays allocated until it is
// stopped there or maxOrderDelay and the lease are over. An inherited run stays until the
// new incarnation has answered, since it then refuses orders of earlier owners, and longer if
// its start is not settled: yet another incarnation may execute it. So does a
// run that the earlier incarnation has not listed: the new one may have started it. A worker
// that was draining has not crashed.
func (p *Planner) workerRestarted(w *worker, now time.Duration) {
	w.lastSerial, w.endsUnread, w.restarted = 0, false, true
	w.earlierOwnersFenced = true
	w.leaseExpiry = max(w.leaseExpiry, w.lateLeaseExpiry)
	if !w.reg.Draining {
		p.noteLostWorker(w, now)
		p.markCrash(w, w.orderedRuns(), signReplied, now)
	}
	w.lastAnswerAt, w.closedAt, w.lossNoted = 0, 0, false
	p.forgetAdvice(w)
	var lost []*run
	for _, r := range w.runs {
		switch {
		case r.phase == phaseUnanswered, r.phase == phaseDecided, r.phase == phaseStopAnswered && !r.started:
			if r.phase == phaseStopAnswered {
				r.phase = phaseUnanswered // the new incarnation may not know of the stop
			}
			r.workerRestartedAt = now
			r.stopOrdered, r.absent = false, false
			r.obsolete = true
			p.stopIfObsolete(r)
		case r.phase == phaseInherited:
			r.workerRestartedAt = now
			if r.absent {
				r.incarnation = w.reg.Incarnation // no earlier one has had it
			}
			r.stopOrdered, r.absent = false, false
			p.stopIfObsolete(r)
		case r.listed:
			lost = append(lost, r)
		}
		// The answer to a start or a stop names no incarnation, so a run that was not listed
		// stays until the new incarnation does not list it.
	}
	p.loseRuns(lost, Lost, now)
}

// ObserveReplaced notes that another worker answers at the worker's address, and refuses all
// orders for this one. So its process has ended, and all its runs with it. Nothing starts
// on it, since the call that showed it counts as unanswered.
func (p *Planner) ObserveReplaced(id string, now time.Duration) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.earlierOwnersFenced = true
	if w.closedAt == 0 {
		w.closedAt = now
	}
	runs := w.orderedRuns()
	if !w.reg.Draining {
		p.noteLostWorker(w, now)
		p.markCrash(w, runs, signReplied, now)
	}
	p.loseRuns(runs, Lost, now)
}

// Incarnation returns the known incarnation of a worker, 0 if none is known.
func (p *Planner) Incarnation(id string) int64 {
	w := p.workers[id]
	if w == nil {
		return 0
	}
	return w.reg.Incarnation
}

// ObserveAnswer applies the incarnation that the answer to a call sent at sentAt names, 0 if
// it names none, and reports whether the answer counts. The worker may have restarted since
// the platform's list was read.
func (p *Planner) ObserveAnswer(id string, incarnation int64, sentAt, now time.Duration) bool {
	w := p.workers[id]
	return w != nil && p.observeAnswer(w, incarnation, sentAt, now)
}

// observeAnswer is ObserveAnswer for a known worker. The incarnations of a worker follow one
// another. So an answer to a call that was sent after the known one was seen is by that one or
// by a later one, whatever the time of day at their starts. An answer to an earlier call
// that names another one may be by an earlier one. It does not count, and the next call tells.
func (p *Planner) observeAnswer(w *worker, incarnation int64, sentAt, now time.Duration) bool {
	if incarnation == 0 {
		return true
	}
	if incarnation != w.reg.Incarnation {
		if w.reg.Incarnation != 0 && sentAt <= w.incarnationSeenAt {
			return false
		}
		p.setIncarnation(w, incarnation, now)
	}
	if w.doubted != 0 {
		if sentAt <= w.doubtedAt {
			return true // the incarnation that the entry names may have followed since
		}
		w.addEarlier(w.doubted)
		w.doubted, w.doubtedEntry = 0, Registration{}
	}
	w.restarted = false
	return true
}

// observeEntry applies the incarnation that an entry of the platform's list names. One that
// started earlier than the known one may be the next one all the same, if the time of day of its
// machine has jumped back. So nothing starts on the worker until it has answered.
func (p *Planner) observeEntry(w *worker, incarnation int64, now time.Duration) {
	switch known := w.reg.Incarnation; {
	case incarnation == 0 || incarnation == known || slices.Contains(w.earlier, incarnation):
	case incarnation > known:
		p.setIncarnation(w, incarnation, now)
	default:
		w.doubted, w.doubtedAt, w.restarted = incarnation, now, true
	}
}

// setIncarnation replaces the known incarnation of a worker.
func (p *Planner) setIncarnation(w *worker, incarnation int64, now time.Duration) {
	known := w.reg.Incarnation
	w.speed = nil
	w.reg.Incarnation, w.incarnationSeenAt, w.doubted = incarnation, now, 0
	if w.doubtedEntry.Incarnation == incarnation {
		w.applyEntry(w.doubtedEntry)
	}
	w.doubtedEntry = Registration{}
	w.earlier = slices.DeleteFunc(w.earlier, func(i int64) bool { return i == incarnation })
	if known != 0 {
		w.addEarlier(known)
		p.workerRestarted(w, now)
	}
}

// addEarlier notes an incarnation that the known one has followed.
func (w *worker) addEarlier(incarnation int64) {
	w.earlier = append(w.earlier, incarnation)
	w.earlier = w.earlier[max(0, len(w.earlier)-maxEarlier):]
}

// maxEarlier is the number of earlier incarnations kept of a worker, so that a late entry of
// one does not count as a restart.
const maxEarlier = 16

// Busy reports whether the worker may be running tasks. After a takeover, any worker may
// be until it answers or its leases expire.
func (p *Planner) Busy(id string) bool {
	w := p.workers[id]
	return w != nil && (len(w.runs) > 0 || !w.earlierOwnersFenced)
}

// NeedsHeartbeat reports whether the worker has to be called: it may be running tasks, or it
// left a call unanswered or has restarted, so that nothing starts on it until it answers.
func (p *Planner) NeedsHeartbeat(id string) bool {
	w := p.workers[id]
	return w != nil && (p.Busy(id) || w.listed && (w.restarted || w.unansweredCalls > 0))
}

// Renewable reports whether the worker's lease may be renewed: the worker is known to
// refuse orders of earlier owners and has answered the last call. A heartbeat that
// gets no answer may still reach the worker, so renewing the lease of an unresponsive
// worker would keep its runs from ever expiring.
func (p *Planner) Renewable(id string) bool {
	w := p.workers[id]
	return w != nil && w.earlierOwnersFenced && w.unansweredCalls == 0
}

// Partitioned reports whether more than half of the listed workers, and at least
// minUnresponsive, are unresponsive, as when the owner's data centre is disconnected.
// The owner then has to resign, so that a VM that reaches more workers can claim.
// Workers that have not been called lately, because they run nothing or a new owner
// has not called them yet, count as reachable. So do those whose machines refuse connections
// or answer for another worker: they have crashed. Those that have never answered any owner
// don't count at all, since their entries may be by another writer.
func (p *Planner) Partitioned(now time.Duration) bool {
	unresponsive, listed := 0, 0
	for _, w := range p.fleet {
		if !w.listed || !p.persisted[w.reg.ID] {
			continue
		}
		listed++
		crashed := w.closedAt != 0 && now-w.closedAt < closedTimeout
		if w.unansweredCalls > 0 && !crashed {
			unresponsive++
		}
	}
	return 2*unresponsive > listed && unresponsive >= minUnresponsive
}

// closedTimeout is how long a listed worker whose machine refuses connections counts as
// crashed. The platform's list shows a crash sooner; a cut may refuse connections for longer.
const closedTimeout = 5 * time.Second

// minUnresponsive is the least number of unresponsive workers at which the owner may
// count as partitioned.
const minUnresponsive = 4
