package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// How a run ended. Apart from Lost, the texts are those of the workers' interface.
const (
	Done           = "done"
	RunFailed      = "failed"
	Stopped        = "stopped"
	LeaseExpired   = "lapsed" // its lease expired
	GangBroken     = "broken" // another member of its gang ended
	GangIncomplete = "alone"  // it waited in vain for the other members of its gang
	Lost           = "lost"   // its worker no longer has it
)

// End is how a run ended.
type End struct {
	Task       string `cbor:"1,keyasint"`
	Number     int    `cbor:"2,keyasint"`
	Result     string `cbor:"3,keyasint"` // Done, RunFailed, ...
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// Begin is the start of a run. The caller orders it once the journal holds it.
type Begin struct {
	Task   string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
	Worker string `cbor:"3,keyasint"`

	Incarnation int64 `cbor:"4,keyasint,omitempty"`  // of the worker, as known to the owner
	Separate    bool  `cbor:"5,keyasint,omitempty"`  // nothing else may start on the worker beside it
	Ticket      bool  `cbor:"6,keyasint,omitempty"`  // the order carries a ticket
	Repeated    bool  `cbor:"7,keyasint,omitempty"`  // the run was ordered before
	CopyOf      int   `cbor:"13,keyasint,omitempty"` // number of the run that goes on beside it; 0 if none does
}

// Begin returns the journal's entry for a start.
func (a Action) Begin() Begin {
	return Begin{Task: a.Task, Number: a.Number, Worker: a.Worker, Incarnation: a.Incarnation, Separate: a.Separate, Ticket: a.Ticket != "", Repeated: a.Repeated, CopyOf: a.CopyOf}
}

// Record is one change in the journal. Replaying it twice, or onto a state that
// contains it, changes nothing.
type Record struct {
	Job           *JobSpec `cbor:"1,keyasint,omitempty"` // job accepted
	Ends          []End    `cbor:"2,keyasint,omitempty"`
	Cancel        string   `cbor:"3,keyasint,omitempty"` // job cancelled
	AddedWorker   string   `cbor:"4,keyasint,omitempty"` // id of a worker that may run tasks from now on
	RemovedWorker string   `cbor:"5,keyasint,omitempty"` // id of a worker that runs none any more
	At            int64    `cbor:"6,keyasint,omitempty"` // Unix ms
	Begins        []Begin  `cbor:"7,keyasint,omitempty"`
	Begun         []string `cbor:"8,keyasint,omitempty"`  // ids of jobs that have begun, as TakeBegun returned them
	Failed        []string `cbor:"9,keyasint,omitempty"`  // ids of jobs that have failed, of those that TakeEnded returned
	Crashes       []Crash  `cbor:"10,keyasint,omitempty"` // as TakeCrashes returned them
	Losses        []Loss   `cbor:"11,keyasint,omitempty"` // as TakeLosses returned them

	Settled []Settled `cbor:"12,keyasint,omitempty"` // as TakeSettled returned them
}

// Encode returns the record in CBOR.
func (r Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// DecodeRecord returns the record that Encode has encoded.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := cbor.Unmarshal(data, &r)
	return r, err
}

// snapshot is the whole state as the journal holds it.
type snapshot struct {
	Jobs    []storedJob `cbor:"1,keyasint"`
	Ended   []storedEnd `cbor:"2,keyasint"`
	Workers []string    `cbor:"3,keyasint"`
	Losses  []Loss      `cbor:"4,keyasint,omitempty"` // of workers

	Leftovers []storedRun `cbor:"5,keyasint,omitempty"` // runs of jobs that have ended
	RunTimes  []byte      `cbor:"6,keyasint,omitempty"` // learned, as the estimator encodes them
}

// storedEnd is a job that has ended.
type storedEnd struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Team  string `cbor:"3,keyasint,omitempty"`
	State State  `cbor:"4,keyasint"`
	At    int64  `cbor:"5,keyasint"` // Unix ms at which it ended

	Host   string `cbor:"6,keyasint,omitempty"`
	Prefix string `cbor:"7,keyasint,omitempty"`
}

// storedJob is a job that has not ended, with the state of its tasks.
type storedJob struct {
	Spec                  JobSpec      `cbor:"1,keyasint"`
	Next                  int          `cbor:"2,keyasint,omitempty"` // index of the next occurrence to begin
	UnfinishedOccurrences int          `cbor:"3,keyasint"`           // number of occurrences not finished, including future ones
	BegunOccurrences      []int        `cbor:"5,keyasint,omitempty"` // indexes of the occurrences that have begun and are not finished
	Tasks                 []storedTask `cbor:"4,keyasint,omitempty"` // those that have started or are done
	Begun                 bool         `cbor:"6,keyasint,omitempty"` // a worker is known to have begun a task

	Siblings []storedSiblings `cbor:"7,keyasint,omitempty"` // finished tasks of steps that have others
}

// storedTask is the state of a task.
type storedTask struct {
	Occurrence     int    `cbor:"1,keyasint,omitempty"` // index of the occurrence
	Step           int    `cbor:"2,keyasint,omitempty"`
	Index          int    `cbor:"3,keyasint,omitempty"`
	Number         int    `cbor:"4,keyasint,omitempty"` // run number of the run on Worker, or else the newest
	Done           bool   `cbor:"6,keyasint,omitempty"`
	Checkpoint     string `cbor:"7,keyasint,omitempty"`
	LastRun        int    `cbor:"22,keyasint,omitempty"` // newest run number, if that of the run on Worker is lower
	FailedRuns     []int  `cbor:"20,keyasint,omitempty"` // numbers of its failed runs
	FailedGangRuns []int  `cbor:"21,keyasint,omitempty"` // numbers of the failed runs of its gang
	// Counts in place of the numbers, for owners of an earlier version and from them.
	Failures          int `cbor:"5,keyasint,omitempty"`
	LastFailedRun     int `cbor:"9,keyasint,omitempty"`
	GangFailures      int `cbor:"8,keyasint,omitempty"`
	LastFailedGangRun int `cbor:"10,keyasint,omitempty"`

	Worker       string  `cbor:"11,keyasint,omitempty"` // id of the worker that may run it under Number; empty if none may
	Crashes      []Crash `cbor:"19,keyasint,omitempty"` // of workers under the task
	LastCrashRun int     `cbor:"13,keyasint,omitempty"` // newest run number that Crashes includes
	Suspect      bool    `cbor:"14,keyasint,omitempty"` // it starts only on a worker of its own
	Incarnation  int64   `cbor:"15,keyasint,omitempty"` // of Worker, as known when the run was decided
	Separate     bool    `cbor:"16,keyasint,omitempty"` // nothing else may start on Worker beside the run
	StartedAt    int64   `cbor:"17,keyasint,omitempty"` // Unix ms at which the run on Worker was ordered
	Ticket       bool    `cbor:"23,keyasint,omitempty"` // the order of the run on Worker carries a ticket
	Settled      bool    `cbor:"24,keyasint,omitempty"` // the start of the run on Worker is settled
	Repeated     bool    `cbor:"25,keyasint,omitempty"` // the run on Worker may have been ordered more than once

	CopyOf int           `cbor:"26,keyasint,omitempty"` // number of the run that the run on Worker is a copy of
	Copied *storedCopied `cbor:"27,keyasint,omitempty"` // that run, if it may go on
}

// Snapshot returns the encoded state for the journal.
func (p *Planner) Snapshot(now time.Duration, wall int64) ([]byte, error) {
	s := snapshot{}
	for id := range p.persisted {
		s.Workers = append(s.Workers, id)
	}
	for _, l := range p.losses[max(0, len(p.losses)-maxLossesStored):] {
		l.At = wall - (now - l.at).Milliseconds()
		s.Losses = append(s.Losses, l)
	}
	s.Leftovers = p.storeLeftovers(now, wall)
	if err := p.storeRunTimes(&s); err != nil {
		return nil, err
	}
	for _, j := range p.jobs {
		if !j.stored {
			continue
		}
		if j.finalState != "" {
			s.Ended = append(s.Ended, storedEnd{j.spec.ID, j.spec.Queue, j.spec.Team, j.finalState, wall - (now - j.endedAt).Milliseconds(), j.spec.Host, j.spec.Prefix})
			continue
		}
		s.Jobs = append(s.Jobs, storeJob(j, now, wall))
	}
	return cbor.Marshal(s)
}

func storeJob(j *job, now time.Duration, wall int64) storedJob {
	stored := storedJob{Spec: j.spec, Next: j.next, UnfinishedOccurrences: j.unfinished, Begun: j.begun}
	for _, o := range j.occurrences {
		stored.BegunOccurrences = append(stored.BegunOccurrences, o.index)
		for _, st := range o.steps {
			stored.Siblings = st.storeSiblings(stored.Siblings)
			for i := range st.tasks {
				t := &st.tasks[i]
				if t.lastRun == 0 && !t.done {
					continue
				}
				entry := storedTask{
					Occurrence: o.index, Step: st.index, Index: i, Number: t.lastRun,
					Done: t.done, Checkpoint: t.checkpoint, FailedRuns: t.failedRuns, FailedGangRuns: st.failedRuns,
				}
				entry.Failures, entry.LastFailedRun = countRuns(t.failedRuns)
				entry.GangFailures, entry.LastFailedGangRun = countRuns(st.failedRuns)
				entry.Crashes, entry.LastCrashRun, entry.Suspect = t.crashes.store(now, wall), t.crashes.lastRun, t.crashes.suspect
				newest, copyOf := 0, 0
				for _, r := range t.runs {
					if r.number < newest {
						continue // it was given up
					}
					newest, copyOf = r.number, r.copyOf
					entry.Number, entry.Worker, entry.Incarnation, entry.Separate = r.number, r.worker.reg.ID, r.incarnation, r.separate
					entry.Ticket, entry.Settled, entry.Repeated = r.ticket, r.settled, r.repeated
					entry.StartedAt = wall - (now - r.startedAt).Milliseconds()
				}
				if copyOf != 0 {
					entry.CopyOf, entry.Copied = copyOf, t.storeCopied(copyOf, now, wall)
				}
				if entry.Number < t.lastRun {
					entry.LastRun = t.lastRun
				}
				stored.Tasks = append(stored.Tasks, entry)
			}
		}
	}
	return stored
}

// Restore applies what earlier owners wrote to the journal. The state is the newest
// snapshot, or nil without one, and the records are those after it. All leases given by
// earlier owners have expired at leaseExpiry.
func (p *Planner) Restore(state []byte, records [][]byte, now time.Duration, wall int64, leaseExpiry time.Duration) error {
	if state != nil {
		var s snapshot
		if err := cbor.Unmarshal(state, &s); err != nil {
			return err
		}
		p.restoreSnapshot(s, now, wall)
	}
	for _, data := range records {
		r, err := DecodeRecord(data)
		if err != nil {
			return err
		}
		p.replay(r, now, wall)
	}
	p.inherit(now, leaseExpiry)
	p.restoredAt = now
	return nil
}

func (p *Planner) restoreSnapshot(s snapshot, now time.Duration, wall int64) {
	p.restoreRunTimes(s)
	for _, id := range s.Workers {
		p.persisted[id] = true
	}
	for _, l := range s.Losses {
		l.at, l.At = now-time.Duration(wall-l.At)*time.Millisecond, 0
		p.noteLoss(l)
	}
	for _, e := range s.Ended {
		j := &job{spec: JobSpec{ID: e.ID, Queue: e.Queue, Team: e.Team, Host: e.Host, Prefix: e.Prefix}, stored: true, finalState: e.State, endStored: true}
		j.endedAt = now - time.Duration(wall-e.At)*time.Millisecond
		p.jobs[e.ID] = j
	}
	for _, r := range s.Leftovers {
		p.restoreLeftover(r, now, wall)
	}
	for _, stored := range s.Jobs {
		j := p.restoreJob(stored.Spec, now, wall)
		j.next, j.unfinished, j.begun = stored.Next, stored.UnfinishedOccurrences, stored.Begun
		j.occurrences = nil
		for _, k := range stored.BegunOccurrences {
			j.occurrences = append(j.occurrences, newOccurrence(j, k, j.dueTime(k, now, wall)))
		}
		j.restoreSiblings(stored.Siblings)
		for _, t := range stored.Tasks {
			p.restoreTask(j, t, now-time.Duration(wall-t.StartedAt)*time.Millisecond, now, wall)
		}
		for _, o := range slices.Clone(j.occurrences) {
			for _, st := range o.steps {
				if st.doneTasks == len(st.tasks) {
					p.finishStep(st, now)
				}
			}
		}
	}
}

// restoreTask restores a task whose run, if it has one, was ordered at startedAt.
func (p *Planner) restoreTask(j *job, t storedTask, startedAt, now time.Duration, wall int64) {
	st := j.step(t.Occurrence, t.Step)
	if st == nil || t.Index >= len(st.tasks) {
		return
	}
	task := &st.tasks[t.Index]
	task.lastRun, task.failedRuns, task.checkpoint = max(t.Number, t.LastRun), failedRuns(t.FailedRuns, t.Failures, t.LastFailedRun), t.Checkpoint
	st.lastRun = max(st.lastRun, task.lastRun)
	if runs := failedRuns(t.FailedGangRuns, t.GangFailures, t.LastFailedGangRun); len(runs) > 0 {
		st.failedRuns = runs
	}
	p.restoreCrashes(st, t, now, wall)
	st.setSuspect(t.Index, t.Suspect)
	if c := t.Copied; c != nil {
		p.addInheritedRun(st, t.Index, c.Begin, now-time.Duration(wall-c.StartedAt)*time.Millisecond, c.Settled)
	}
	if t.Worker != "" {
		p.addInheritedRun(st, t.Index, Begin{Number: t.Number, Worker: t.Worker, Incarnation: t.Incarnation, Separate: t.Separate, Ticket: t.Ticket, Repeated: t.Repeated, CopyOf: t.CopyOf}, startedAt, t.Settled)
	}
	if t.Done {
		p.markDone(st, t.Index)
		p.abandonCopies(task)
	}
}

// countRuns returns how many runs there are and the highest of their numbers.
func countRuns(runs []int) (n, last int) {
	for _, number := range runs {
		last = max(last, number)
	}
	return len(runs), last
}

// failedRuns returns the numbers of failed runs in a snapshot. An earlier version has only their
// count and the highest of them, below which the others are.
func failedRuns(runs []int, n, last int) []int {
	if len(runs) > 0 {
		return runs
	}
	for i := range n {
		runs = append(runs, last-i)
	}
	return runs
}

// addInheritedRun allocates a run that an earlier owner may have ordered. Whether it
// runs is unknown until its worker answers or all leases of the worker have expired. It was
// ordered, or its start written to the journal, at startedAt.
func (p *Planner) addInheritedRun(s *step, index int, b Begin, startedAt time.Duration, settled bool) {
	t := &s.tasks[index]
	for _, r := range slices.Clone(t.runs) {
		if r.number != b.CopyOf {
			p.release(r) // an earlier run; it has ended, since the task was started again
		}
	}
	r := &run{
		step: s, taskIndex: index, number: b.Number, worker: p.worker(b.Worker), size: s.spec.Size, phase: phaseInherited,
		startedAt: startedAt, incarnation: b.Incarnation, ticket: b.Ticket, settled: settled, repeated: b.Repeated, resumed: t.checkpoint != "", copyOf: b.CopyOf,
	}
	if len(t.runs) == 0 && !t.done {
		s.waitingTasks--
	}
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, b.Number)
	s.lastRun = max(s.lastRun, b.Number)
	s.occurrence.job.ordered = true
	p.allocate(r)
	if b.Separate {
		r.makeSeparate()
	}
}

// step returns the step with that index of occurrence k. It is nil if there is no such
// step, or the occurrence is finished or has not begun.
func (j *job) step(k, index int) *step {
	if index >= len(j.spec.Steps) {
		return nil
	}
	for _, o := range j.occurrences {
		if o.index == k {
			return o.steps[index]
		}
	}
	return nil
}

func (p *Planner) restoreJob(spec JobSpec, now time.Duration, wall int64) *job {
	if known := p.jobs[spec.ID]; known != nil {
		return known
	}
	spec.restore()
	j := p.newJob(spec, now-time.Duration(max(0, wall-spec.AcceptedAt))*time.Millisecond)
	j.stored = true
	p.jobs[spec.ID] = j
	return j
}

// replay applies one record of the journal.
func (p *Planner) replay(r Record, now time.Duration, wall int64) {
	if r.Job != nil {
		p.restoreJob(*r.Job, now, wall)
	}
	at := now - time.Duration(max(0, wall-r.At))*time.Millisecond
	for _, l := range r.Losses {
		l.at = at
		p.noteLoss(l)
	}
	for _, c := range r.Crashes {
		c.at = at
		if st, index := p.stepForReplay(c.Task, now, wall); st != nil && p.applyCrash(st, index, c) {
			p.failIfProven(st, index, at)
		}
	}
	for _, b := range r.Begins {
		p.replayRepeated(b)
		if st, index := p.stepForReplay(b.Task, now, wall); st != nil && b.Number > st.tasks[index].lastRun && !st.tasks[index].done {
			p.addInheritedRun(st, index, b, at, false)
		}
	}
	for _, s := range r.Settled {
		p.replaySettled(s)
	}
	for _, id := range r.Begun {
		if j := p.jobs[id]; j != nil {
			j.begun = true
		}
	}
	for _, e := range r.Ends {
		p.replayEnd(e, at, now, wall)
	}
	for _, id := range r.Failed {
		p.replayFinal(id, Failed, at)
	}
	p.replayFinal(r.Cancel, Cancelled, at)
	if r.AddedWorker != "" {
		p.persisted[r.AddedWorker] = true
	}
	delete(p.persisted, r.RemovedWorker)
}

// replayFinal ends a job that the journal says has ended at that time.
func (p *Planner) replayFinal(id string, state State, at time.Duration) {
	if j := p.jobs[id]; j != nil && j.finalState == "" {
		p.end(j, state, at)
	}
}

// dueTime returns when occurrence k is due.
func (j *job) dueTime(k int, now time.Duration, wall int64) time.Duration {
	if j.spec.Occurrences <= 0 {
		return j.acceptedAt
	}
	return now - time.Duration(wall-j.spec.dueUnixMs(k))*time.Millisecond
}

// stepForReplay returns the step of a task that the journal names, and the task's index
// in it. It begins the occurrences up to that of the task. The step is nil if the job
// or the occurrence has ended.
func (p *Planner) stepForReplay(name string, now time.Duration, wall int64) (*step, int) {
	id, k, _, _, ok := parseTask(name)
	if j := p.jobs[id]; ok && j != nil && j.finalState == "" {
		for j.next <= k && k < j.spec.Occurrences {
			j.beginNext(j.dueTime(j.next, now, wall))
		}
	}
	return p.stepOf(name)
}

func (p *Planner) replayEnd(e End, at, now time.Duration, wall int64) {
	st, n := p.stepForReplay(e.Task, now, wall)
	if st == nil {
		return
	}
	p.observeEnd(st, e)
	t := &st.tasks[n]
	t.lastRun = max(t.lastRun, e.Number)
	st.lastRun = max(st.lastRun, e.Number)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	for _, r := range slices.Clone(t.runs) {
		switch {
		case r.number != e.Number:
		case r.repeated && !r.settled:
			r.repeats = maxRepeats // it has ended, but an earlier order may still come
		default:
			p.release(r)
		}
	}
	switch e.Result {
	case Done:
		p.completeTask(st, n, e.Number, at)
	case RunFailed:
		p.countFailure(st, n, e.Number, at)
	}
}

// inherit marks all workers as possibly running tasks for earlier owners until
// leaseExpiry, and collects the jobs that have not ended. The journal holds the ends of
// the others.
func (p *Planner) inherit(now, leaseExpiry time.Duration) {
	for id := range p.persisted {
		p.worker(id)
	}
	// p.fleet also contains workers that a record has removed from p.persisted but
	// that have inherited runs.
	for _, w := range p.fleet {
		w.earlierOwnersFenced = false
		w.leaseExpiry = leaseExpiry
		w.noteUnansweredLease() // of an earlier owner
		for _, r := range w.runs {
			r.holdUnsettledStart(now, leaseExpiry)
		}
	}
	for _, j := range p.jobs {
		if j.finalState == "" {
			p.live = append(p.live, j)
		} else {
			j.endStored = true
		}
	}
	slices.SortFunc(p.live, func(a, b *job) int { return cmp.Compare(a.acceptedAt, b.acceptedAt) })
	p.newlyBegun, p.newlyEnded, p.newCrashes, p.newLosses, p.newSettled = nil, nil, nil, nil, nil
}
