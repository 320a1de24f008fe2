package planner

import (
	"cmp"
	"slices"
	"time"
)

// A task may crash each worker that starts it. The loss of a worker does not tell whether it has
// crashed (verdict.go), nor which of its runs caused that. Those that began last become
// suspects: their tasks start next on workers of their own, where a crash proves the cause at
// the expense of no other run, and where a run that goes on clears its task. A task that is not suspected goes on as before.

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
	// minExposures is the number of crashes from which a task is a suspect although it had
	// never begun shortly before. Crashes that a longer run of it refutes don't count.
	minExposures = 3
	// maxCrashesKept is the number of crashes kept of a task.
	maxCrashesKept = 16
)

// Crash is the loss of a worker under a run. Whether the worker has crashed may turn out
// later; the crash is then noted again under the same task and number. The caller writes it
// to the journal.
type Crash struct {
	Task        string    `cbor:"1,keyasint"`
	Number      int       `cbor:"2,keyasint"`
	Suspect     bool      `cbor:"3,keyasint,omitempty"` // the task may have caused it
	Proven      bool      `cbor:"4,keyasint,omitempty"` // the task has caused it and earlier ones
	Prompt      bool      `cbor:"5,keyasint,omitempty"` // the machine closed or refused a connection within crashWindow of the start
	Worker      string    `cbor:"6,keyasint,omitempty"`
	Sign        CrashSign `cbor:"7,keyasint,omitempty"`
	Age         int64     `cbor:"8,keyasint,omitempty"` // ms from the start of the run to the first sign of the crash, which may come later than the crash
	Started     bool      `cbor:"9,keyasint,omitempty"` // the worker is known to have started the run
	Separate    bool      `cbor:"10,keyasint,omitempty"`
	Ended       bool      `cbor:"11,keyasint,omitempty"` // the worker's incarnation is known to have ended
	Survived    bool      `cbor:"12,keyasint,omitempty"` // the worker's incarnation has answered since, so it was no crash
	Chance      float64   `cbor:"13,keyasint,omitempty"` // probability that the worker ended by chance at this age of the run or earlier; 1 if another run may be the cause
	Incarnation int64     `cbor:"14,keyasint,omitempty"` // of the worker; 0 if unknown
	Address     string    `cbor:"15,keyasint,omitempty"` // of the worker
	At          int64     `cbor:"16,keyasint,omitempty"` // Unix ms at which it was noted; set in snapshots only
	NotedAge    int64     `cbor:"17,keyasint,omitempty"` // ms from the start of the run until it was noted
	Gone        bool      `cbor:"18,keyasint,omitempty"` // it counts as ended until it answers, since it has been gone for long
	LongestRun  int64     `cbor:"19,keyasint,omitempty"` // ms for which a run of the task is known to have gone on, when it was noted

	at time.Duration // when it was noted
}

// Resolved reports whether the crash was noted before, when it was not known whether the
// worker had ended.
func (c *Crash) Resolved() bool { return c.Survived || c.Gone || c.Ended && c.Sign != signReplied }

// isOpen reports whether it is not known whether the worker's incarnation has ended.
func (c *Crash) isOpen() bool { return !c.Ended && !c.Survived }

// signAt returns when the worker gave the first sign of its crash.
func (c *Crash) signAt() time.Duration {
	return c.startedAt() + time.Duration(c.Age)*time.Millisecond
}

// startedAt returns when the run was started.
func (c *Crash) startedAt() time.Duration {
	return c.at - time.Duration(c.NotedAge)*time.Millisecond
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
	crashes []Crash // by number, at most maxCrashesKept
	lastRun int     // newest run number that crashes includes
	suspect bool    // the task starts only on a worker of its own
	held    bool    // the task does not start in the current decision, as the fate of workers is open
	proven  bool    // the task is the cause, so its job fails
	// longest is how long a run of the task is known to have gone on without a crash. It is
	// forgotten after minLosses crashes in a row that it refutes: the task may have changed.
	longest time.Duration
	below   int // crashes in a row that longest refutes
}

// count returns the number of workers that may have crashed while they may have run the task.
func (h *crashHistory) count() int {
	n := 0
	for _, c := range h.crashes {
		if !c.Survived {
			n++
		}
	}
	return n
}

// suspicious returns how many of these may have crashed because of the task: no run of it
// refutes them.
func (h *crashHistory) suspicious() int {
	n := 0
	for _, c := range h.crashes {
		if !c.Survived && !isRefuted(time.Duration(c.Age)*time.Millisecond, h.longest) {
			n++
		}
	}
	return n
}

// countOn returns how many of the crashes are of that worker, or of another one at its address.
// A suspect starts elsewhere if it can, as the worker may be the cause.
func (h *crashHistory) countOn(w *worker) int {
	n := 0
	for _, c := range h.crashes {
		if !c.Survived && (c.Worker == w.reg.ID || c.Address != "" && c.Address == w.reg.Address) {
			n++
		}
	}
	return n
}

// find returns the crash under the run with that number, nil if it is not known.
func (h *crashHistory) find(number int) *Crash {
	for i := range h.crashes {
		if h.crashes[i].Number == number {
			return &h.crashes[i]
		}
	}
	return nil
}

// sortRuns sorts runs by task and number.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.step.name, b.step.name), cmp.Compare(a.taskIndex, b.taskIndex), cmp.Compare(a.number, b.number))
	})
}

// markCrash notes that the worker may have crashed while it may have had these runs. They are
// all of those runs that are not marked yet. The runs of a silent worker are not suspected of
// a first crash.
func (p *Planner) markCrash(w *worker, runs []*run, sign CrashSign, now time.Duration) {
	if len(runs) == 0 {
		return
	}
	p.noteLostWorker(w, now)
	lastSign := runs[0].startedAt
	for _, r := range runs {
		lastSign = max(lastSign, r.startedAt)
	}
	if w.lastAnswerAt != 0 {
		lastSign = max(lastSign, w.lastAnswerAt)
	}
	recent := func(r *run) bool { return r.startedAt >= lastSign-crashWindow }
	common := p.commonCause(w, now)
	recentRuns := 0
	for _, r := range runs {
		if recent(r) {
			recentRuns++
		}
	}
	for _, r := range runs {
		s := r.step
		if r.crash != nil || s.unknown || s.occurrence.job.finalState != "" || s.tasks[r.taskIndex].done {
			continue
		}
		h := &s.tasks[r.taskIndex].crashes
		age := w.ageAtCrash(r, now)
		c := &Crash{
			Task: s.taskName(r.taskIndex), Number: r.number, Worker: w.reg.ID, Sign: sign, Age: age.Milliseconds(), Started: r.started, Separate: r.separate,
			Suspect: sign != signSilent && recent(r) || r.separate || !isRefuted(age, h.longest) && h.suspicious()+1 >= minExposures,
			Prompt:  w.closedSoonAfter(r), Ended: sign == signReplied, Address: w.reg.Address, Incarnation: cmp.Or(r.incarnation, w.reg.Incarnation), at: now, NotedAge: max(0, now-r.startedAt).Milliseconds(),
			LongestRun: h.longest.Milliseconds(),
		}
		crashes := append(slices.Clone(h.crashes), *c)
		c.Chance = max(chanceAtRate(p.rateWithout(crashes, now), age), common)
		if !r.separate && (recentRuns > 1 || recentRuns == 1 && !recent(r)) {
			c.Chance = 1
		}
		crashes[len(crashes)-1] = *c
		c.Proven = p.isProof(crashes, h.longest, false, now)
		r.crash = c
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
		if r.crash != nil && p.applyCrash(r.step, r.taskIndex, *r.crash) {
			p.newCrashes = append(p.newCrashes, *r.crash)
		}
		p.endRun(r, result, r.checkpoint, now)
	}
	for _, r := range runs {
		p.failIfProven(r.step, r.taskIndex, now)
	}
}

// applyCrash counts a crash under the task with that index, or what has become known of it
// since, and reports whether that is new.
func (p *Planner) applyCrash(s *step, index int, c Crash) bool {
	if s.unknown || s.occurrence.job.finalState != "" || s.tasks[index].done {
		return false
	}
	h := &s.tasks[index].crashes
	if known := h.find(c.Number); known != nil {
		if !known.isOpen() || c.isOpen() && (known.Gone || !c.Gone) {
			return false
		}
		c.at = known.at
		*known = c
		if h.count() == 0 {
			s.setSuspect(index, false)
		}
	} else {
		if c.Number <= h.lastRun {
			return false
		}
		h.crashes = append(h.crashes, c)
		if len(h.crashes) > maxCrashesKept {
			h.crashes = h.crashes[1:]
		}
		h.lastRun = c.Number
		h.longest = max(h.longest, time.Duration(c.LongestRun)*time.Millisecond)
		if h.below++; !isRefuted(time.Duration(c.Age)*time.Millisecond, h.longest) {
			h.below = 0
		}
		if h.below >= minLosses {
			h.longest, h.below = 0, 0
		}
		if c.isOpen() {
			p.openCrashes = append(p.openCrashes, openCrash{s, index, c.Number})
			p.await(&c)
		}
		if c.Suspect && !c.Survived {
			s.setSuspect(index, true)
		}
	}
	h.proven = h.proven || c.Proven
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
	if !s.unknown && s.tasks[index].crashes.proven && !s.tasks[index].done && s.occurrence.job.finalState == "" {
		p.explainLosses(s.tasks[index].crashes.crashes)
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
			r.startedAt, r.ordered = now, true
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

// observeRun notes that a run was still there when the call was sent whose answer lists it. Its
// age counts from the answer to its start.
func (r *run) observeRun(sentAt time.Duration) {
	if !r.step.unknown && r.started && r.phase == phaseRunning {
		h := &r.step.tasks[r.taskIndex].crashes
		age := sentAt - r.confirmedAt
		h.longest = max(h.longest, age)
		if age >= Probation {
			h.below = 0
		}
	}
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
	if ended {
		h.longest = max(h.longest, crashMemory) // it has ended by itself
	}
	if !r.separate || !ended && age < probationAfter(h.suspicious()) {
		return
	}
	r.endSeparation()
	r.step.setSuspect(r.taskIndex, false)
	r.step.occurrence.job.cleared = true
}

// store returns the crashes for a snapshot.
func (h *crashHistory) store(now time.Duration, wall int64) []Crash {
	stored := slices.Clone(h.crashes)
	for i := range stored {
		stored[i].At = wall - (now - stored[i].at).Milliseconds()
	}
	return stored
}

// restoreCrashes restores the crashes under a task from a snapshot.
func (p *Planner) restoreCrashes(s *step, t storedTask, now time.Duration, wall int64) {
	for _, c := range t.Crashes {
		c.at, c.At = now-time.Duration(wall-c.At)*time.Millisecond, 0
		p.applyCrash(s, t.Index, c)
	}
	h := &s.tasks[t.Index].crashes
	h.lastRun = max(h.lastRun, t.LastCrashRun)
}
