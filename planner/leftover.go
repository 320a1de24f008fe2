package planner

import (
	"time"

	"filberthaven.example/placer"
)

// storedRun is a run of a job that has ended. It counts towards its team's limit until it has
// ended too.
type storedRun struct {
	Begin
	Team      string `cbor:"7,keyasint"`
	Settled   bool   `cbor:"8,keyasint,omitempty"`
	StartedAt int64  `cbor:"9,keyasint"` // Unix ms at which it was ordered
	CPU       int64  `cbor:"10,keyasint,omitempty"`
	Memory    int64  `cbor:"11,keyasint,omitempty"`
	GPU       int64  `cbor:"12,keyasint,omitempty"`
}

// storeLeftovers returns the runs of ended jobs, of all teams.
func (p *Planner) storeLeftovers(now time.Duration, wall int64) []storedRun {
	var stored []storedRun
	for _, w := range p.fleet {
		for key, r := range w.runs {
			j := r.step.occurrence.job
			if j.finalState == "" || r.team == nil {
				continue
			}
			stored = append(stored, storedRun{
				Begin:   Begin{Task: key.task, Number: key.number, Worker: w.reg.ID, Incarnation: r.incarnation, Separate: r.separate, Ticket: r.ticket},
				Team:    j.spec.Team,
				Settled: r.settled, StartedAt: wall - (now - r.startedAt).Milliseconds(),
				CPU: r.size.CPU(), Memory: r.size.Memory(), GPU: r.size.Accelerators(),
			})
		}
	}
	return stored
}

// restoreLeftover allocates a run of an ended job, and orders its stop.
func (p *Planner) restoreLeftover(s storedRun, now time.Duration, wall int64) {
	r := p.newOrphan(s.Task, s.Number, p.worker(s.Worker), placer.NewResources(s.CPU, s.Memory, s.GPU))
	r.step.occurrence.job.team, r.step.occurrence.job.spec.Team = p.team(s.Team), s.Team
	r.phase, r.incarnation, r.ticket, r.settled = phaseInherited, s.Incarnation, s.Ticket, s.Settled
	r.startedAt = now - time.Duration(wall-s.StartedAt)*time.Millisecond
	p.allocate(r)
	p.stop(r)
}

// newOrphan returns an obsolete run whose job, or whose occurrence, has ended or is not known.
func (p *Planner) newOrphan(name string, number int, w *worker, size placer.Resources) *run {
	o := &occurrence{job: &job{finalState: Cancelled, spec: JobSpec{ID: name}}}
	s := &step{occurrence: o, name: name, unknown: true, spec: &StepSpec{}, tasks: make([]task, 1)}
	return &run{step: s, number: number, worker: w, size: size, obsolete: true}
}
