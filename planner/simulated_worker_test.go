package planner

import (
	"slices"
	"strconv"
	"time"

	"filberthaven.example/placer"
)

// connectivity is what callers see of a worker.
type connectivity int

const (
	reachable connectivity = iota
	silent
	refusing
)

// simulatedRun is a run on a simulated worker.
type simulatedRun struct {
	Action
	startedAt, endsAt time.Duration
	crashesAt         time.Duration // 0 if it crashes nothing
}

// simulatedWorker is one executor.
type simulatedWorker struct {
	id, address string
	incarnation int64
	alive       bool
	quiet       bool // it has crashed without closing its connections
	cut         connectivity
	cutUntil    time.Duration
	backAt      time.Duration // when it, or another worker at its address, is back after a crash; 0 if never
	replaced    bool          // another worker comes back at its address
	lostAt      time.Duration // when the platform last heard of it
	listed      bool
	leaseUntil  time.Duration
	calledAt    time.Duration // when the next heartbeat is due
	serial      uint64
	runs        []simulatedRun
	ended       []EndEntry
}

// faults are the rates of faults a second, for each worker unless noted otherwise.
type faults struct {
	crashes, cuts float64
	takeOvers     float64 // of the owner
	snapshots     float64 // of the journal
	maxCut        time.Duration
}

func (s *simulation) addNew(address string) {
	id := "w" + strconv.Itoa(s.nextID)
	s.nextID++
	w := &simulatedWorker{id: id, address: address, incarnation: wall + s.now.Milliseconds(), alive: true, lostAt: s.now}
	s.workers[id] = w
	s.register(w)
	s.call(w)
}

func (s *simulation) register(w *simulatedWorker) {
	w.listed = true
	s.p.Register(Registration{ID: w.id, Address: w.address, Centre: "c", Service: "s", Incarnation: w.incarnation, Capacity: placer.NewResources(4000, 4096, 0), Labels: []string{"a", "r1"}}, s.now)
}

// fails reports whether a call to a worker fails, and what it shows then.
func (s *simulation) fails(w *simulatedWorker) (failed, closed, replaced bool) {
	switch {
	case w.cut != reachable:
		return true, w.cut == refusing, false
	case w.alive:
		return false, false, false
	}
	for _, other := range s.sorted() {
		if other.alive && other.address == w.address {
			return true, other.cut == refusing, other.cut == reachable
		}
	}
	return true, !w.quiet, false
}

// endRun ends a run on its worker.
func (w *simulatedWorker) endRun(r simulatedRun, result string) {
	w.runs = slices.DeleteFunc(w.runs, func(o simulatedRun) bool { return o.Task == r.Task && o.Number == r.Number })
	w.serial++
	w.ended = append(w.ended, EndEntry{w.serial, End{Task: r.Task, Number: r.Number, Result: result}})
}

// crash crashes a worker, which may come back in several ways.
func (s *simulation) crash(w *simulatedWorker) {
	if !w.alive {
		return
	}
	deadly := slices.ContainsFunc(w.runs, func(r simulatedRun) bool { return r.crashesAt != 0 && s.now >= r.crashesAt })
	w.quiet = !deadly && s.random.IntN(4) == 0
	for _, r := range w.runs {
		s.crashes[r.Task]++
		if !w.quiet && w.cut == reachable {
			s.signed[r.Task]++
		}
	}
	w.alive, w.runs, w.ended, w.serial, w.lostAt = false, nil, nil, 0, s.now
	w.backAt = s.now + 100*time.Millisecond + s.duration(400*time.Millisecond)
	w.replaced = s.random.IntN(3) == 0
	if s.gone && s.random.IntN(3) == 0 {
		w.backAt, w.replaced = 0, false
		s.addNew("address " + strconv.Itoa(s.nextID))
	}
	s.logf("CRASH of %s", w.id)
	if !w.quiet && w.cut == reachable && s.p.Busy(w.id) {
		s.p.HeartbeatMissed(w.id)
		s.p.ObserveClosed(w.id, s.now)
	}
}

// advanceRuns ends the runs of a worker, or the worker.
func (s *simulation) advanceRuns(w *simulatedWorker) {
	for _, r := range slices.Clone(w.runs) {
		switch {
		case !w.alive:
			return
		case s.now >= w.leaseUntil:
			w.endRun(r, LeaseExpired)
		case r.crashesAt != 0 && s.now >= r.crashesAt:
			s.crash(w)
		case s.now >= r.endsAt && !isDeadly(r.Action):
			w.endRun(r, Done)
		}
	}
}

// addFaults crashes a worker or cuts it off, by chance.
func (s *simulation) addFaults(w *simulatedWorker) {
	if s.happens(s.faults.crashes) {
		s.crash(w)
		return
	}
	if w.cut == reachable && s.happens(s.faults.cuts) {
		w.cut = silent + connectivity(s.random.IntN(2))
		w.cutUntil = s.now + s.duration(s.faults.maxCut)
		w.lostAt = s.now
		s.logf("CUT kind %d until %.3f of %s", w.cut, w.cutUntil.Seconds(), w.id)
	}
}

// updateEntry keeps the worker in the platform's list, or removes it once it was silent for long.
func (s *simulation) updateEntry(w *simulatedWorker) {
	if !w.alive || w.cut != reachable {
		if w.listed && s.now-w.lostAt >= entryTimeout {
			w.listed = false
			s.p.Deregister(w.id)
		}
		return
	}
	w.lostAt = s.now
	if known := s.p.workers[w.id]; known == nil || !known.listed || known.reg.Incarnation != w.incarnation {
		s.register(w)
		w.calledAt = s.now
	}
}
