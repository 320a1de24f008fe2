package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// How a run ended, as the worker lists it, or Lost for one whose worker died.
const (
	Done      = "done"
	RunFailed = "failed"
	Stopped   = "stopped"
	Lapsed    = "lapsed"
	Broken    = "broken" // another member of its gang ended
	Alone     = "alone"  // the other members of its gang did not come
	Lost      = "lost"
)

// End is the outcome of one run.
type End struct {
	Task       string `cbor:"1,keyasint"`
	Number     int    `cbor:"2,keyasint"`
	How        string `cbor:"3,keyasint"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// Begin is a start that is ordered once the journal holds it.
type Begin struct {
	Task   string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
	Worker string `cbor:"3,keyasint"`
}

// Record is one change in the journal. Replaying a record twice, or onto a state
// that holds it, changes nothing.
type Record struct {
	Job    *JobSpec `cbor:"1,keyasint,omitempty"` // accepted
	Ends   []End    `cbor:"2,keyasint,omitempty"`
	Cancel string   `cbor:"3,keyasint,omitempty"` // job cancelled
	Use    string   `cbor:"4,keyasint,omitempty"` // worker that may run tasks from now on
	Drop   string   `cbor:"5,keyasint,omitempty"` // worker that runs none any more
	At     int64    `cbor:"6,keyasint,omitempty"` // Unix ms
	Begins []Begin  `cbor:"7,keyasint,omitempty"`
}

// Encode returns the record as bytes.
func (r Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// snapshot is all that the journal keeps.
type snapshot struct {
	Jobs    []storedJob `cbor:"1,keyasint"`
	Ended   []storedEnd `cbor:"2,keyasint"`
	Workers []string    `cbor:"3,keyasint"`
}

// storedEnd is a job that has ended.
type storedEnd struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Team  string `cbor:"3,keyasint,omitempty"`
	State State  `cbor:"4,keyasint"`
	At    int64  `cbor:"5,keyasint"` // Unix ms
}

// storedJob is a job that has not ended, with all that is known of its tasks.
type storedJob struct {
	Spec  JobSpec      `cbor:"1,keyasint"`
	Next  int          `cbor:"2,keyasint,omitempty"`
	Left  int          `cbor:"3,keyasint"`
	Open  []int        `cbor:"5,keyasint,omitempty"` // occurrences that have begun and not finished
	Tasks []storedTask `cbor:"4,keyasint,omitempty"` // those of which something is known
}

// storedTask is what is known of a task.
type storedTask struct {
	K          int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Index      int    `cbor:"3,keyasint,omitempty"`
	Number     int    `cbor:"4,keyasint,omitempty"`
	Failures   int    `cbor:"5,keyasint,omitempty"`
	Done       bool   `cbor:"6,keyasint,omitempty"`
	Checkpoint string `cbor:"7,keyasint,omitempty"`
	FailedRun  int    `cbor:"9,keyasint,omitempty"`  // newest run number whose failure was counted
	StepFailed int    `cbor:"8,keyasint,omitempty"`  // failed runs of its gang
	Worker     string `cbor:"11,keyasint,omitempty"` // that may run it under Number
	GangFailed int    `cbor:"10,keyasint,omitempty"` // newest of its gang whose failure was counted
}

// Snapshot returns the state for the journal; wall is Unix milliseconds.
func (p *Planner) Snapshot(now time.Duration, wall int64) ([]byte, error) {
	s := snapshot{}
	for id := range p.used {
		s.Workers = append(s.Workers, id)
	}
	for _, j := range p.jobs {
		if !j.stored {
			continue
		}
		if j.ended != "" {
			s.Ended = append(s.Ended, storedEnd{j.spec.ID, j.spec.Queue, j.spec.Team, j.ended, wall - (now - j.endedAt).Milliseconds()})
			continue
		}
		s.Jobs = append(s.Jobs, storeJob(j))
	}
	return cbor.Marshal(s)
}

func storeJob(j *job) storedJob {
	stored := storedJob{Spec: j.spec, Next: j.next, Left: j.remaining}
	for _, o := range j.rounds {
		stored.Open = append(stored.Open, o.index)
		for _, st := range o.steps {
			for i := range st.tasks {
				t := &st.tasks[i]
				if t.number == 0 && !t.done {
					continue
				}
				entry := storedTask{
					K: o.index, Step: st.index, Index: i, Number: t.number, Failures: t.failures,
					Done: t.done, Checkpoint: t.checkpoint, StepFailed: st.failures, FailedRun: t.failedRun, GangFailed: st.failedRun,
				}
				for _, r := range t.runs {
					entry.Number, entry.Worker = r.number, r.on.report.ID
				}
				stored.Tasks = append(stored.Tasks, entry)
			}
		}
	}
	return stored
}

// Restore takes over an earlier owner's snapshot and records. Runs of the earlier
// owner may go on until until, on any worker that the journal names.
func (p *Planner) Restore(state []byte, records [][]byte, now time.Duration, wall int64, until time.Duration) error {
	if state != nil {
		var s snapshot
		if err := cbor.Unmarshal(state, &s); err != nil {
			return err
		}
		p.restoreSnapshot(s, now, wall)
	}
	for _, data := range records {
		var r Record
		if err := cbor.Unmarshal(data, &r); err != nil {
			return err
		}
		p.replay(r, now, wall)
	}
	p.inherit(until)
	return nil
}

func (p *Planner) restoreSnapshot(s snapshot, now time.Duration, wall int64) {
	for _, id := range s.Workers {
		p.used[id] = true
	}
	for _, e := range s.Ended {
		j := &job{spec: JobSpec{ID: e.ID, Queue: e.Queue, Team: e.Team}, stored: true, ended: e.State, shown: true}
		j.endedAt = now - time.Duration(wall-e.At)*time.Millisecond
		p.jobs[e.ID] = j
	}
	for _, stored := range s.Jobs {
		j := p.restoreJob(stored.Spec, now, wall)
		j.next, j.remaining = stored.Next, stored.Left
		j.rounds = nil
		for _, k := range stored.Open {
			j.rounds = append(j.rounds, newRound(j, k, j.dueOf(k, now, wall)))
		}
		for _, t := range stored.Tasks {
			p.restoreTask(j, t)
		}
		for _, o := range slices.Clone(j.rounds) {
			for _, st := range o.steps {
				if st.done == len(st.tasks) {
					p.finishStep(st, now)
				}
			}
		}
	}
}

func (p *Planner) restoreTask(j *job, t storedTask) {
	st := j.step(t.K, t.Step)
	if st == nil || t.Index >= len(st.tasks) {
		return
	}
	task := &st.tasks[t.Index]
	task.number, task.failures, task.checkpoint = t.Number, t.Failures, t.Checkpoint
	st.number = max(st.number, t.Number)
	st.failures = max(st.failures, t.StepFailed)
	task.failedRun, st.failedRun = t.FailedRun, max(st.failedRun, t.GangFailed)
	if t.Worker != "" {
		p.recorded(st, t.Index, t.Number, t.Worker)
	}
	if t.Done {
		p.markDone(st, t.Index)
	}
}

// recorded books a run that an earlier owner may have ordered. Its worker tells
// whether it runs, when it is heard or its leases have lapsed.
func (p *Planner) recorded(s *step, index, number int, worker string) {
	t := &s.tasks[index]
	for _, r := range slices.Clone(t.runs) {
		p.release(r) // a later start proves that it had ended
	}
	r := &run{step: s, index: index, number: number, on: p.worker(worker), size: s.spec.Size, phase: recorded}
	if len(t.runs) == 0 && !t.done {
		s.todo--
	}
	t.runs = append(t.runs, r)
	t.number = max(t.number, number)
	s.number = max(s.number, number)
	s.round.job.started = true
	p.charge(r)
}

// step returns step index of occurrence k, nil when that has ended or not begun.
func (j *job) step(k, index int) *step {
	if index >= len(j.spec.Steps) {
		return nil
	}
	for _, o := range j.rounds {
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
	j := p.newJob(spec, now-time.Duration(max(0, wall-spec.Accepted))*time.Millisecond)
	j.stored = true
	p.jobs[spec.ID] = j
	return j
}

// replay applies one record.
func (p *Planner) replay(r Record, now time.Duration, wall int64) {
	if r.Job != nil {
		p.restoreJob(*r.Job, now, wall)
	}
	for _, b := range r.Begins {
		if st, index := p.replayed(b.Task, now, wall); st != nil && b.Number > st.tasks[index].number && !st.tasks[index].done {
			p.recorded(st, index, b.Number, b.Worker)
		}
	}
	for _, e := range r.Ends {
		p.replayEnd(e, now-time.Duration(max(0, wall-r.At))*time.Millisecond, now, wall)
	}
	if j := p.jobs[r.Cancel]; j != nil && j.ended == "" {
		p.end(j, Cancelled, now-time.Duration(max(0, wall-r.At))*time.Millisecond)
		j.shown = true
	}
	if r.Use != "" {
		p.used[r.Use] = true
	}
	delete(p.used, r.Drop)
}

// dueOf returns when occurrence k was due.
func (j *job) dueOf(k int, now time.Duration, wall int64) time.Duration {
	if j.spec.Repeats <= 0 {
		return j.arrived
	}
	return now - time.Duration(wall-j.spec.dueAt(k))*time.Millisecond
}

// replayed returns the step of a task in the journal, and begins its occurrence if
// need be; nil when the job or occurrence has ended.
func (p *Planner) replayed(name string, now time.Duration, wall int64) (*step, int) {
	id, k, _, _, ok := parseTask(name)
	if j := p.jobs[id]; ok && j != nil && j.ended == "" {
		for j.next <= k && k < j.spec.Repeats {
			j.begin(j.dueOf(j.next, now, wall))
		}
	}
	return p.stepOf(name)
}

func (p *Planner) replayEnd(e End, at, now time.Duration, wall int64) {
	st, n := p.replayed(e.Task, now, wall)
	if st == nil {
		return
	}
	t := &st.tasks[n]
	t.number = max(t.number, e.Number)
	st.number = max(st.number, e.Number)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	for _, r := range slices.Clone(t.runs) {
		if r.number == e.Number {
			p.release(r)
		}
	}
	switch e.How {
	case Done:
		p.settleDone(st, n, at)
	case RunFailed:
		p.countFailure(st, n, e.Number, at)
	}
	st.round.job.shown = st.round.job.ended != ""
}

// inherit marks the workers on which an earlier owner's runs may go on until
// until, and takes over the jobs that have not ended.
func (p *Planner) inherit(until time.Duration) {
	for id := range p.used {
		p.worker(id)
	}
	// Recorded runs count on workers that the journal has dropped, too.
	for _, w := range p.workers {
		w.fenced = false
		w.lapses = until
	}
	for _, j := range p.jobs {
		if j.ended == "" {
			p.live = append(p.live, j)
		}
	}
	slices.SortFunc(p.live, func(a, b *job) int { return cmp.Compare(a.arrived, b.arrived) })
}
