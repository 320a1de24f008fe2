package planner

import (
	"cmp"
	"slices"
	"time"
)

// A task may crash each worker that starts it. A crash does not tell which of the worker's
// runs caused it. Those that began last become suspects: their tasks start next on workers
// of their own, where a crash proves the cause at the expense of no other run, and where a
// run that goes on clears its task. A task that is not suspected goes on as before.

const (
	// crashWindow is the time before a worker's last sign of life within which a run has to
	// have begun for its task to be a suspect of the worker's first crash.
	crashWindow = 250 * time.Millisecond
	// Probation is how long a suspect of a first crash runs alone until it is cleared.
	// Suspects of more than one crash are cleared by their end.
	Probation = 2 * crashWindow
	// minCrashes is the number of crashes under runs that are known to have started after
	// which a run that crashed a worker of its own shortly after it began proves its task to
	// be the cause. With minAllCrashes, whether or not the runs are known to have started, a
	// run on a worker of its own proves it however late the crash came, since the platform
	// allows two starts after three crashes.
	minCrashes    = 2
	minAllCrashes = 4
	// minExposures is the number of crashes from which a task is a suspect although it had
	// never begun shortly before.
	minExposures = 3
	// maxSeparateFraction is the fraction of the workers, one at least, that may be kept for
	// suspects at a time. maxEmptyFraction is the fraction of the empty workers that suspects
	// may use besides, since on an idle fleet nothing waits for these.
	maxSeparateFraction = 0.25
	maxEmptyFraction    = 0.5
)

// Crash is the crash of a worker under a run. The caller writes it to the journal.
type Crash struct {
	Task    string `cbor:"1,keyasint"`
	Number  int    `cbor:"2,keyasint"`
	Suspect bool   `cbor:"3,keyasint,omitempty"` // the task may have caused it
	Proven  bool   `cbor:"4,keyasint,omitempty"` // the task has caused it and earlier ones
	Started bool   `cbor:"5,keyasint,omitempty"` // the worker is known to have started the run
}

// crashHistory is what is known of the crashes of workers under a task.
type crashHistory struct {
	count   int  // workers that crashed while they may have run the task
	started int  // of these, those that are known to have started it
	lastRun int  // newest run number that count includes
	suspect bool // the task starts only on a worker of its own
	proven  bool // the task is the cause, so its job fails
}

// sortRuns sorts runs by task and number.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.step.name, b.step.name), cmp.Compare(a.taskIndex, b.taskIndex), cmp.Compare(a.number, b.number))
	})
}

// markCrash notes that the worker has crashed while it may have had these runs. They are
// all of those runs that are not marked yet. Without a sign that it has crashed, rather
// than become unreachable, its runs are not suspected of a first crash.
func (w *worker) markCrash(runs []*run, certain bool) {
	if len(runs) == 0 {
		return
	}
	lastSign := runs[0].startedAt
	for _, r := range runs {
		lastSign = max(lastSign, r.startedAt)
	}
	if w.lastAnswerAt != 0 {
		lastSign = max(lastSign, w.lastAnswerAt)
	}
	for _, r := range runs {
		s := r.step
		if r.crash != nil || s.unknown || s.occurrence.job.finalState != "" || s.tasks[r.taskIndex].done {
			continue
		}
		h := s.tasks[r.taskIndex].crashes
		count, proof := h.count+1, r.started && h.started+1 >= minCrashes
		recent := r.startedAt >= lastSign-crashWindow
		r.crash = &Crash{
			Task: s.taskName(r.taskIndex), Number: r.number, Started: r.started,
			Suspect: certain && recent || r.separate || count >= minExposures,
			Proven:  r.separate && (recent && proof || count >= minAllCrashes),
		}
	}
}

// loseRuns releases runs that have ended without a report. It counts the crashes of their
// workers and fails the jobs of the tasks that caused them.
func (p *Planner) loseRuns(runs []*run, result string, now time.Duration) {
	sortRuns(runs)
	for _, r := range runs {
		if r.crash != nil && r.step.applyCrash(r.taskIndex, *r.crash) {
			p.newCrashes = append(p.newCrashes, *r.crash)
		}
		p.endRun(r, result, r.checkpoint, now)
	}
	for _, r := range runs {
		p.failIfProven(r.step, r.taskIndex, now)
	}
}

// applyCrash counts a crash under the task with that index and reports whether it was not
// counted before.
func (s *step) applyCrash(index int, c Crash) bool {
	if s.unknown || s.occurrence.job.finalState != "" {
		return false
	}
	h := &s.tasks[index].crashes
	if c.Number <= h.lastRun {
		return false
	}
	h.count++
	if c.Started {
		h.started++
	}
	h.lastRun = c.Number
	h.proven = h.proven || c.Proven
	if c.Suspect {
		s.setSuspect(index, true)
	}
	return true
}

// setSuspect sets whether the task with that index starts only on a worker of its own.
func (s *step) setSuspect(index int, suspect bool) {
	h := &s.tasks[index].crashes
	if h.suspect == suspect {
		return
	}
	h.suspect = suspect
	if suspect {
		s.occurrence.job.suspects++
	} else {
		s.occurrence.job.suspects--
	}
}

// failIfProven fails the job of a task that is known to crash its workers.
func (p *Planner) failIfProven(s *step, index int, now time.Duration) {
	if !s.unknown && s.tasks[index].crashes.proven && s.occurrence.job.finalState == "" {
		p.end(s.occurrence.job, Failed, now)
	}
}

// TakeCrashes returns the crashes noted since the last call. The caller writes them to the
// journal no later than the next start of a task.
func (p *Planner) TakeCrashes() []Crash {
	crashes := p.newCrashes
	p.newCrashes = nil
	return crashes
}

// ObserveClosed notes that a worker's machine has refused or closed a connection.
func (p *Planner) ObserveClosed(id string, now time.Duration) {
	if w := p.workers[id]; w != nil && w.closedAt == 0 {
		w.closedAt = now
	}
}

// observeAnswer notes that the worker has answered a call that was sent at sentAt.
func (w *worker) observeAnswer(sentAt time.Duration) {
	w.lastAnswerAt, w.closedAt = max(w.lastAnswerAt, sentAt), 0
}

// MarkOrdered notes that a start is being ordered.
func (p *Planner) MarkOrdered(a Action, now time.Duration) {
	if w := p.workers[a.Worker]; w != nil {
		if r := w.runs[runKey{a.Task, a.Number}]; r != nil {
			r.startedAt = now
		}
	}
}

// makeSeparate marks a run as the only one, besides others of its gang, that its worker may
// have.
func (r *run) makeSeparate() {
	r.separate = true
	r.worker.separateRuns++
	r.step.occurrence.job.separateRuns++
}

// OnProbation reports whether the worker runs a suspect.
func (p *Planner) OnProbation(id string) bool {
	w := p.workers[id]
	return w != nil && w.separateRuns > 0
}

// endSeparation opens the worker of a run to other tasks.
func (r *run) endSeparation() {
	if r.separate {
		r.separate = false
		r.worker.separateRuns--
		r.step.occurrence.job.separateRuns--
	}
}

// observeSurvival clears the task of a separate run that has gone on, or has ended by
// itself, without a crash.
func (p *Planner) observeSurvival(r *run, ended bool, now time.Duration) {
	if !r.separate || r.step.occurrence.job.finalState != "" {
		return
	}
	h := &r.step.tasks[r.taskIndex].crashes
	if !ended && (h.count >= minCrashes || now-r.startedAt < Probation) {
		return
	}
	r.endSeparation()
	r.step.setSuspect(r.taskIndex, false)
	r.step.occurrence.job.cleared = true
}

// holdsBack reports whether the job's tasks that are no suspects wait: it has suspects, and
// none of them has been cleared. Tasks of a job have the same payload, so what one of them
// does to its worker others may do too.
func (j *job) holdsBack() bool { return j.suspects > 0 && !j.cleared }

// hasWaitingSuspect reports whether a suspect of the step waits for a worker.
func (s *step) hasWaitingSuspect() bool {
	if s.occurrence.job.suspects == 0 || s.occurrence.job.finalState != "" || !s.ready {
		return false
	}
	return slices.ContainsFunc(s.tasks, func(t task) bool { return t.crashes.suspect && !t.done && len(t.runs) == 0 })
}

// keepSeparate prepares a decision: workers that are kept for suspects stay reserved while
// suspects of their steps wait.
func (p *Planner) keepSeparate() {
	p.separateWorkers = 0
	empty := 0
	for _, w := range p.fleet {
		if w.open && len(w.runs) == 0 {
			empty++
		}
		if w.keptFor != nil && (!w.open || !w.keptFor.hasWaitingSuspect()) {
			w.keptFor = nil
		}
		if w.keptFor != nil {
			w.reservedFor = w.keptFor
		}
		if w.keptFor != nil || w.separateRuns > 0 && w.closedAt == 0 {
			p.separateWorkers++
		}
	}
	p.maxKept = max(1, int(maxSeparateFraction*float64(len(p.fleet))))
	p.maxSeparate = max(p.maxKept, p.separateWorkers+int(maxEmptyFraction*float64(empty)))
}

// placeSuspects starts waiting suspects of a step on workers of their own: of each job one
// after the other, until one has been cleared.
func (p *Planner) placeSuspects(s *step, c candidate, now time.Duration) {
	if s.spec.Gang {
		p.placeSuspectGang(s, c, now)
		return
	}
	j := s.occurrence.job
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.runs) > 0 || !t.crashes.suspect {
			continue
		}
		if j.separateRuns > 0 && !j.cleared || !j.team.allows(s.spec.Size, 1) {
			return
		}
		empty := p.emptyWorkers(s, now)
		if len(empty) == 0 {
			p.requestAdvice(s, c, now)
			p.keepWorker(s, now)
			return
		}
		p.start(s, i, t.lastRun+1, empty[0], true, now)
	}
}

// placeSuspectGang starts a gang with suspects, or none of its members. The suspects get
// workers of their own, as far as the limit for these allows.
func (p *Planner) placeSuspectGang(s *step, c candidate, now time.Duration) {
	if s.waitingTasks < len(s.tasks) || !s.occurrence.job.team.allows(s.spec.Size, int64(s.waitingTasks)) {
		return
	}
	var suspects, others []int
	for i := range s.tasks {
		if s.tasks[i].crashes.suspect {
			suspects = append(suspects, i)
		} else {
			others = append(others, i)
		}
	}
	var separate []placement
	room, taken := 0, map[*worker]bool{}
	for _, w := range p.emptyWorkers(s, now) {
		if room >= len(suspects) || len(separate) >= p.maxSeparate {
			break
		}
		n := min(s.fitCount(w), len(suspects)-room)
		separate = append(separate, placement{w, n})
		taken[w] = true
		room += n
	}
	if room < len(suspects) && len(separate) < p.maxKept {
		p.requestAdvice(s, c, now)
		p.keepWorker(s, now)
		return
	}
	others = append(others, suspects[room:]...)
	shared := p.findPlacements(s, len(others), taken, now)
	if shared == nil && len(others) > 0 {
		p.requestAdvice(s, c, now)
		if c.rank != expiredRank {
			p.reserve(s, now)
		}
		return
	}
	number, checkpoint := s.nextGangRun()
	p.startMembers(s, suspects[:room], separate, number, checkpoint, true, now)
	p.startMembers(s, others, shared, number, checkpoint, false, now)
}

// emptyWorkers returns the usable workers without runs on which a task of the step fits,
// those that are kept for it first, then those in its preferred rack, then the smallest.
func (p *Planner) emptyWorkers(s *step, now time.Duration) []*worker {
	var empty []*worker
	for w := range p.usableWorkers(s, now) {
		if len(w.runs) == 0 && s.spec.Size.Fits(w.free()) && (w.keptFor == s || p.separateWorkers < p.maxSeparate) {
			empty = append(empty, w)
		}
	}
	preference := func(w *worker) int {
		switch {
		case w.keptFor == s:
			return 0
		case s.spec.Rack != "" && w.hasLabel(s.spec.Rack):
			return 1
		default:
			return 2
		}
	}
	slices.SortFunc(empty, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(preference(a), preference(b)), cmp.Compare(a.free().CPU(), b.free().CPU()), cmp.Compare(a.reg.ID, b.reg.ID))
	})
	return empty
}

// keepWorker keeps one more worker for the waiting suspects of a step, unless one is being
// emptied for it: the one whose runs should end first. Nothing else starts on it.
func (p *Planner) keepWorker(s *step, now time.Duration) {
	if p.separateWorkers >= p.maxKept {
		return
	}
	var best *worker
	var bestLeft time.Duration
	for _, w := range p.fleet {
		if w.keptFor == s && len(w.runs) > 0 {
			return
		}
	}
	for w := range p.reservableWorkers(s) {
		if w.separateRuns > 0 || !s.spec.Size.Fits(w.reg.Capacity) {
			continue
		}
		left := time.Duration(0)
		for _, r := range w.runs {
			left = max(left, p.remainingTime(r, now))
		}
		if best == nil || left < bestLeft || left == bestLeft && w.reg.ID < best.reg.ID {
			best, bestLeft = w, left
		}
	}
	if best != nil {
		best.keptFor, best.reservedFor = s, s
		p.separateWorkers++
	}
}
