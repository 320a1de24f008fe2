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
	// Probation is how long a suspect of a first crash runs alone until it is cleared. Each
	// further crash multiplies that by probationFactor.
	Probation       = 2 * crashWindow
	probationFactor = 4
	// maxProbationCrashes is the number of crashes from which that time grows no more.
	maxProbationCrashes = 4
	// crashMemory is how long a run has to go on until earlier crashes of its task don't
	// count any more. A service would otherwise collect those of years.
	crashMemory = 10 * time.Minute
	// minCrashes is the number of workers that have certainly crashed right after they had
	// started a task, after which a run on a worker of its own proves the task to be the
	// cause. Two may have done so by chance. With maxCrashes in all a task counts as the cause
	// whatever is known of them, since the platform allows two starts after three crashes.
	minCrashes = 3
	maxCrashes = 5
	// minExposures is the number of crashes from which a task is a suspect although it had
	// never begun shortly before.
	minExposures = 3
)

// Crash is the crash of a worker under a run. The caller writes it to the journal.
type Crash struct {
	Task     string    `cbor:"1,keyasint"`
	Number   int       `cbor:"2,keyasint"`
	Suspect  bool      `cbor:"3,keyasint,omitempty"` // the task may have caused it
	Proven   bool      `cbor:"4,keyasint,omitempty"` // the task has caused it and earlier ones
	Certain  bool      `cbor:"5,keyasint,omitempty"` // the worker is known to have started the run, and to have ended right after that
	Worker   string    `cbor:"6,keyasint,omitempty"`
	Sign     CrashSign `cbor:"7,keyasint,omitempty"`
	Age      int64     `cbor:"8,keyasint,omitempty"` // ms from the start of the run to the first sign of the crash, which may come later than the crash
	Started  bool      `cbor:"9,keyasint,omitempty"` // the worker is known to have started the run
	Separate bool      `cbor:"10,keyasint,omitempty"`
}

// CrashSign is what shows that a worker has crashed.
type CrashSign int

// Signs of a crash. A worker behind a cut gives the first two as well: its runs went on until
// their leases expired.
const (
	signSilent  CrashSign = iota // it is silent, and no longer in the platform's list
	signClosed                   // its machine refused connections until its leases had expired
	signReplied                  // its next incarnation, or another worker at its address, has answered
)

// String returns the sign for logs.
func (s CrashSign) String() string {
	return [...]string{"silent", "connection refused", "restarted or replaced"}[s]
}

// crashHistory is what is known of the crashes of workers under a task.
type crashHistory struct {
	crashes []Crash // of workers that may have run the task, oldest first; at most maxCrashesKept
	lastRun int     // newest run number that crashes includes
	suspect bool    // the task starts only on a worker of its own
	proven  bool    // the task is the cause, so its job fails
}

// maxCrashesKept is the number of crashes kept of a task.
const maxCrashesKept = 16

// count returns the number of workers that crashed while they may have run the task.
func (h *crashHistory) count() int { return len(h.crashes) }

// certain returns how many of these are known to have started it, and to have ended right
// after that.
func (h *crashHistory) certain() int {
	n := 0
	for _, c := range h.crashes {
		if c.Certain {
			n++
		}
	}
	return n
}

// sortRuns sorts runs by task and number.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.step.name, b.step.name), cmp.Compare(a.taskIndex, b.taskIndex), cmp.Compare(a.number, b.number))
	})
}

// markCrash notes that the worker has crashed while it may have had these runs. They are
// all of those runs that are not marked yet. The runs of a silent worker are not suspected of
// a first crash.
func (w *worker) markCrash(runs []*run, sign CrashSign, now time.Duration) {
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
		h := &s.tasks[r.taskIndex].crashes
		count, certainCount := h.count()+1, h.certain()
		certain := sign == signReplied && r.started && w.closedSoonAfter(r)
		if certain {
			certainCount++
		}
		recent := r.startedAt >= lastSign-crashWindow
		r.crash = &Crash{
			Task: s.taskName(r.taskIndex), Number: r.number, Certain: certain, Worker: w.reg.ID, Sign: sign,
			Age: w.ageAtCrash(r, now).Milliseconds(), Started: r.started, Separate: r.separate,
			Suspect: sign != signSilent && recent || r.separate || count >= minExposures,
			Proven:  r.separate && (certain && certainCount >= minCrashes || count >= maxCrashes),
		}
	}
}

// closedSoonAfter reports whether the worker's machine closed or refused a connection within
// crashWindow of the start of a run. After a longer time the run may have ended before the
// crash, and its end was not read.
func (w *worker) closedSoonAfter(r *run) bool {
	return w.closedAt != 0 && w.closedAt-r.startedAt <= crashWindow
}

// ageAtCrash returns how long after the start of a run the worker gave the first sign of its
// crash.
func (w *worker) ageAtCrash(r *run, now time.Duration) time.Duration {
	if w.closedAt != 0 {
		now = w.closedAt
	}
	return max(0, now-r.startedAt)
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
	h.crashes = append(h.crashes, c)
	if len(h.crashes) > maxCrashesKept {
		h.crashes = h.crashes[1:]
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
		p.fail(s.occurrence.job, Failure{Task: s.taskName(index), Crashes: s.tasks[index].crashes.crashes}, now)
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

// probationAfter returns how long a suspect runs alone after that many crashes.
func probationAfter(crashes int) time.Duration {
	d := Probation
	for range min(crashes, maxProbationCrashes) - 1 {
		d *= probationFactor
	}
	return d
}

// observeSurvival clears the task of a separate run that has gone on, or has ended by
// itself, without a crash.
func (p *Planner) observeSurvival(r *run, ended bool, now time.Duration) {
	if r.step.unknown || r.step.occurrence.job.finalState != "" {
		return
	}
	h, age := &r.step.tasks[r.taskIndex].crashes, now-r.startedAt
	if age >= crashMemory {
		h.crashes = nil
	}
	if !r.separate || !ended && age < probationAfter(h.count()) {
		return
	}
	r.endSeparation()
	r.step.setSuspect(r.taskIndex, false)
	r.step.occurrence.job.cleared = true
}
