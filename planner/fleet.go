package planner

import "time"

// worker returns the worker, making it when it is new.
func (p *Planner) worker(id string) *worker {
	w := p.workers[id]
	if w == nil {
		w = &worker{report: Registration{ID: id}, runs: map[runKey]*run{}, fenced: true}
		p.workers[id] = w
	}
	return w
}

// Register takes over what the list says of a worker, and tells whether that was
// news. A fresh worker is new to the journal: Use has to be called once the
// journal holds it, and nothing starts there before.
func (p *Planner) Register(r Registration, now time.Duration) (fresh, changed bool) {
	w := p.worker(r.ID)
	if w.report.Incarnation != 0 && r.Incarnation > w.report.Incarnation {
		p.reborn(w, r.Incarnation, now)
	}
	r.Incarnation = max(r.Incarnation, w.report.Incarnation)
	changed = !w.listed || !w.report.equal(r)
	w.report = r
	w.listed = true
	return !p.used[r.ID], changed
}

// Accepts reports whether tasks may still start on the worker, as far as the list and
// the operators say. It is asked again right before an order, which may have waited
// for the journal while the worker began to drain.
func (p *Planner) Accepts(id string) bool {
	w := p.workers[id]
	return w != nil && w.listed && !w.report.Draining && !p.closed[w.report.Centre]
}

// Use lets tasks start on a worker that the journal names now.
func (p *Planner) Use(id string) { p.used[id] = true }

// Deregister notes that the list has lost a worker. What runs there counts until its
// lease has lapsed.
func (p *Planner) Deregister(id string) {
	if w := p.workers[id]; w != nil {
		w.listed = false
	}
}

// PruneWorkers returns workers that the list has lost and that run nothing; the
// journal may drop them.
func (p *Planner) PruneWorkers(now time.Duration) []string {
	var ids []string
	for id, w := range p.workers {
		if !w.listed && len(w.runs) == 0 && w.fenced && now >= w.lapses {
			delete(p.workers, id)
			delete(p.used, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// reborn ends what an earlier incarnation of the worker ran. A start that got no
// answer may reach the new incarnation, so it stays charged until stopped there.
func (p *Planner) reborn(w *worker, born int64, now time.Duration) {
	w.report.Incarnation = born
	w.seen = 0
	w.fenced = true
	for _, r := range w.runs {
		if r.phase == unanswered || r.phase == sent {
			r.crossed = now
			r.asked = false
			r.over = false
			p.giveUp(r)
			continue
		}
		p.endRun(r, Lost, r.saved, now)
	}
}

// Busy reports whether anything may run on the worker, or its state is unknown.
func (p *Planner) Busy(id string) bool {
	w := p.workers[id]
	return w != nil && (len(w.runs) > 0 || !w.fenced)
}

// Renewable reports whether the worker's lease may be prolonged: it has answered
// its newest call. A call without an answer may be carried out yet, so prolonging
// the lease of a silent worker would keep its runs from ever lapsing.
func (p *Planner) Renewable(id string) bool {
	w := p.workers[id]
	return w != nil && w.fenced && w.silent == 0
}

// Partitioned reports whether most workers are silent. It answers a data centre that is
// cut off with the owner in it: the owner has to make way for one that reaches more.
// Workers that were not called lately, as they run nothing or a new owner has not
// come to them, count as in reach.
func (p *Planner) Partitioned() bool {
	silent, listed := 0, 0
	for _, w := range p.workers {
		if !w.listed {
			continue
		}
		listed++
		if w.silent > 0 {
			silent++
		}
	}
	return 2*silent > listed && silent >= leastSilent
}

// leastSilent is the number of silent workers below which nothing is concluded.
const leastSilent = 4
