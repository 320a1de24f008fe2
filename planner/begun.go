package planner

import "slices"

// A job has begun once a worker has begun one of its tasks. The members of a gang begin when
// all members of one try have started, whatever each of them has reported before.

// observeStart notes that a worker has started a run of the step with that number.
func (p *Planner) observeStart(s *step, number int) {
	if !s.occurrence.job.begun && (!s.spec.Gang || s.allStarted(number)) {
		p.markBegun(s.occurrence.job)
	}
}

// observeRunning notes that a worker lists a run of the step as running. A member of a gang
// makes no progress before the others have started.
func (p *Planner) observeRunning(s *step, e RunningEntry) {
	if e.Progress > 0 {
		p.markBegun(s.occurrence.job)
		return
	}
	p.observeStart(s, e.Number)
}

// observeEnd notes the end of a run of the step. A member of a gang may end in any other way
// than done before the others have started.
func (p *Planner) observeEnd(s *step, e End) {
	if !s.spec.Gang || e.Result == Done {
		p.markBegun(s.occurrence.job)
	}
}

// allStarted reports whether all members of a gang's try are known to have started.
func (s *step) allStarted(number int) bool {
	for i := range s.tasks {
		if !slices.ContainsFunc(s.tasks[i].runs, func(r *run) bool { return r.number == number && r.phase == phaseRunning }) {
			return false
		}
	}
	return true
}

// markBegun notes that the job has begun.
func (p *Planner) markBegun(j *job) {
	if j.begun || j.finalState != "" {
		return
	}
	j.begun = true
	p.newlyBegun = append(p.newlyBegun, j.spec.ID)
}

// TakeBegun returns the jobs that have begun since the last call. The caller writes them
// to the journal with one of its next records, so that the next owner knows them before
// their workers have answered it.
func (p *Planner) TakeBegun() []string {
	ids := p.newlyBegun
	p.newlyBegun = nil
	return ids
}
