package planner

import "time"

// worker returns the worker and adds it if it is new.
func (p *Planner) worker(id string) *worker {
	w := p.workers[id]
	if w == nil {
		w = &worker{reg: Registration{ID: id}, runs: map[runKey]*run{}, fenced: true}
		p.workers[id] = w
	}
	return w
}

// Register applies a worker's entry in the platform's list and reports whether it
// changed. A fresh worker is one that the journal doesn't name yet: nothing starts
// on it until the caller has stored it and called Use.
func (p *Planner) Register(r Registration, now time.Duration) (fresh, changed bool) {
	w := p.worker(r.ID)
	if w.reg.Incarnation != 0 && r.Incarnation > w.reg.Incarnation {
		p.workerRestarted(w, r.Incarnation, now)
	}
	r.Incarnation = max(r.Incarnation, w.reg.Incarnation)
	changed = !w.listed || !w.reg.equal(r)
	w.reg = r
	w.listed = true
	return !p.persisted[r.ID], changed
}

// Accepts reports whether the platform's list and the operators still let tasks
// start on the worker. The caller checks this right before it orders a start, since
// the worker may have begun to drain while the start was written to the journal.
func (p *Planner) Accepts(id string) bool {
	w := p.workers[id]
	return w != nil && w.listed && !w.reg.Draining && !p.cordoned[w.reg.Centre]
}

// Use lets tasks start on a worker. It is called once the journal names the worker.
func (p *Planner) Use(id string) { p.persisted[id] = true }

// Deregister marks a worker that is no longer in the platform's list. Its runs stay
// allocated until they are known to have ended or its lease has expired.
func (p *Planner) Deregister(id string) {
	if w := p.workers[id]; w != nil {
		w.listed = false
	}
}

// PruneWorkers removes workers that are no longer listed, run nothing and hold no
// lease. It returns their ids, which the caller may drop from the journal.
func (p *Planner) PruneWorkers(now time.Duration) []string {
	var ids []string
	for id, w := range p.workers {
		if !w.listed && len(w.runs) == 0 && w.fenced && now >= w.leaseExpiry {
			delete(p.workers, id)
			delete(p.persisted, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// workerRestarted ends the runs of the worker's earlier incarnation. A start that has
// no answer may still reach the new incarnation, so it stays allocated until it is
// stopped there.
func (p *Planner) workerRestarted(w *worker, incarnation int64, now time.Duration) {
	w.reg.Incarnation = incarnation
	w.lastSerial = 0
	w.fenced = true
	for _, r := range w.runs {
		if r.phase == unanswered || r.phase == sent {
			r.workerRestartedAt = now
			r.stopOrdered = false
			r.obsolete = false
			p.abandon(r)
			continue
		}
		p.endRun(r, Lost, r.checkpoint, now)
	}
}

// Busy reports whether the worker may be running tasks. After a takeover, any worker may
// be until it answers or its leases expire.
func (p *Planner) Busy(id string) bool {
	w := p.workers[id]
	return w != nil && (len(w.runs) > 0 || !w.fenced)
}

// Renewable reports whether the worker's lease may be renewed: it has missed no call
// since its last answer. A heartbeat without an answer may still reach the worker, so
// renewing the lease of an unresponsive worker would keep its runs from ever expiring.
func (p *Planner) Renewable(id string) bool {
	w := p.workers[id]
	return w != nil && w.fenced && w.missedCalls == 0
}

// Partitioned reports whether more than half of the listed workers are unresponsive,
// as when the owner's data centre is disconnected. The owner then has to resign in
// favour of one that reaches more workers. Workers that have not been called lately,
// because they run nothing or a new owner has not called them yet, count as
// reachable.
func (p *Planner) Partitioned() bool {
	unresponsive, listed := 0, 0
	for _, w := range p.workers {
		if !w.listed {
			continue
		}
		listed++
		if w.missedCalls > 0 {
			unresponsive++
		}
	}
	return 2*unresponsive > listed && unresponsive >= minUnresponsive
}

// minUnresponsive is the number of unresponsive workers below which the owner is not
// taken to be partitioned.
const minUnresponsive = 4
