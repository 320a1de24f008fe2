package planner

import (
	"iter"
	"maps"
	"slices"
	"time"

	"filberthaven.example/profiler"
)

// speeds is what the planner knows of the speed of the fleet's workers.
type speeds struct {
	profiler     *profiler.Profiler // nil unless the speeds are learned
	classifiedAt time.Duration
	fast, slow   int       // number of listed workers of these classes
	ordered      []*worker // the workers by class and, within one, by free CPU, as of decision
	decision     uint64
}

// classifyInterval is the least time between two classifications of the workers. In 200 ms, a
// fleet of 350 workers ends some 100 runs.
const classifyInterval = 200 * time.Millisecond

// WithLearnedSpeeds sets whether the planner learns how fast workers are and places tasks by
// that.
func WithLearnedSpeeds(on bool) Option { return func(s *settings) { s.learnSpeeds = on } }

// SpeedClasses returns how many listed workers are known to be faster and slower than most.
func (p *Planner) SpeedClasses() (fast, slow int) { return p.speeds.fast, p.speeds.slow }

// learnSpeed learns from a run that has ended. Members of a gang wait for each other, and runs
// from a checkpoint do a part of the work only. Of runs that this owner did not see
// start, and of those that were ordered or started more than once, the time is not known.
func (p *Planner) learnSpeed(r *run, result string, now time.Duration) {
	if p.speeds.profiler == nil || result != Done || r.phase != phaseRunning || r.decidedAt == 0 {
		return
	}
	if r.step.spec.Gang || r.step.spec.LongRunning || r.resumed || r.repeated || r.separate || r.stopOrdered || r.silent {
		return
	}
	if r.worker.speed == nil {
		r.worker.speed = &profiler.Worker{}
	}
	p.speeds.profiler.Observe(&r.step.peers, r.worker.speed, now-r.confirmedAt, now)
}

// comparePeers learns from the runs of a step that is done.
func (p *Planner) comparePeers(s *step, now time.Duration) {
	if p.speeds.profiler != nil {
		p.speeds.profiler.Compare(&s.peers, now)
	}
}

// classifyWorkers updates the classes of the workers unless they are younger than
// classifyInterval.
func (p *Planner) classifyWorkers(now time.Duration) {
	s := &p.speeds
	if s.profiler == nil || now-s.classifiedAt < classifyInterval {
		return
	}
	s.classifiedAt = now
	s.profiler.Classify(p.profiles(), now)
	s.fast, s.slow = 0, 0
	for _, w := range p.fleet {
		switch class := w.class(); {
		case !w.listed:
		case class == profiler.Fast:
			s.fast++
		case class == profiler.Slow:
			s.slow++
		}
	}
}

// profiles iterates over what is known of the workers' speeds.
func (p *Planner) profiles() iter.Seq[*profiler.Worker] {
	return func(yield func(*profiler.Worker) bool) {
		for _, w := range p.fleet {
			if w.speed != nil && !yield(w.speed) {
				return
			}
		}
	}
}

// class returns the class of the worker's speed.
func (w *worker) class() profiler.Class {
	if w.speed == nil {
		return profiler.Usual
	}
	return w.speed.Class()
}

// preference tells which classes of workers a step takes first. Its zero value is that of a
// step that takes all alike.
type preference struct {
	kind     preferenceKind
	slack    time.Duration // for which a task may take longer than on a usual worker
	expected time.Duration // run time of a task on a usual worker
}

// preferenceKind is the kind of a preference.
type preferenceKind int

const (
	noPreference preferenceKind = iota
	fastFirst                   // the fastest
	spareFast                   // the slowest of those on which the step is in time, then the fastest of the others
	slowFirst                   // the slowest of those on which the step is in time, then the slowest of the others
)

// paceMargin is the part of its expected run time that a task is assumed to take longer
// than expected when a slow worker is considered for it. Declared run times are off by a
// factor of about e^0.5.
const paceMargin = 0.5

// preferenceOf returns which workers a step of a candidate takes first. Urgent steps take the
// fastest ones, which others leave to them as far as they are in time nevertheless. A step that is late
// anyway leaves them too, since to be less late is worth nothing. Tasks of
// long-running steps never end, so nothing is known of their pace.
func (p *Planner) preferenceOf(s *step, c candidate) preference {
	if !p.isUneven() || s.spec.LongRunning {
		return preference{}
	}
	if c.isUrgent() {
		return preference{kind: fastFirst}
	}
	expected := time.Duration(p.expected(s)) * time.Millisecond
	kind := slowFirst
	if c.rank == timelyRank {
		kind = spareFast
	}
	return preference{kind, c.slack, expected}
}

// place returns the place of the worker's class in the order of preference, lowest first.
func (f preference) place(w *worker) int {
	if f.kind == noPreference || w.speed == nil {
		return 0
	}
	class := int(w.speed.Class())
	if f.kind == fastFirst {
		return class
	}
	if added := float64(f.expected) * (w.speed.Factor() - 1 + paceMargin); added <= float64(f.slack) {
		return -class
	}
	if f.kind == spareFast {
		return lateOnWorker + class
	}
	return lateOnWorker - class
}

// lateOnWorker is added to the place of workers on which a step would be late.
const lateOnWorker = 10

// preferred returns those of a gang's placements that it prefers: without the last places
// in its order that it doesn't need. So its slowest member is as fast as possible, or it leaves
// the fast workers free.
func (f preference) preferred(placements []placement, tasks int) []placement {
	if f.kind == noPreference {
		return placements
	}
	room := map[int]int{}
	for _, pl := range placements {
		room[f.place(pl.worker)] += pl.tasks
	}
	last := 0
	for _, last = range slices.Sorted(maps.Keys(room)) {
		if tasks -= room[last]; tasks <= 0 {
			break
		}
	}
	return slices.DeleteFunc(placements, func(pl placement) bool { return f.place(pl.worker) > last })
}

// bySpeed returns the workers by class, the fastest first, and within a class by free
// CPU. It sorts them at the first call in each decision. The caller must not modify the result.
func (p *Planner) bySpeed() []*worker {
	s := &p.speeds
	if s.decision == p.decisions {
		return s.ordered
	}
	s.decision, s.ordered = p.decisions, s.ordered[:0]
	for _, class := range []profiler.Class{profiler.Fast, profiler.Usual, profiler.Slow} {
		for _, w := range p.byFreeCPU.sorted(p.decisions) {
			if w.class() == class {
				s.ordered = append(s.ordered, w)
			}
		}
	}
	return s.ordered
}

// isUneven reports whether workers are known to be faster or slower than most.
func (p *Planner) isUneven() bool { return p.speeds.fast+p.speeds.slow > 0 }

// startReason returns the reason of a start for logs.
func (w *worker) startReason() string {
	if class := w.class(); class != profiler.Usual {
		return "room on a " + class.String() + " worker"
	}
	return "room"
}
