package planner

import (
	"strconv"
	"testing"
	"time"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

const (
	second = time.Second
	wall   = int64(1_700_000_000_000) // Unix ms at time 0
)

// fixture drives a planner as its caller does. It collects the records that a caller
// would write to the journal, so that a test can restore another planner from them.
type fixture struct {
	*quicktest.C
	p       *Planner
	now     time.Duration
	actions []Action // of the last decision
	records [][]byte // encoded
}

// newFixture returns a fixture with that many workers. Without queues, it has a queue q.
func newFixture(t *testing.T, workers int, queues ...Queue) *fixture {
	f := &fixture{C: quicktest.New(t), p: New()}
	if len(queues) == 0 {
		queues = []Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second}}
	}
	f.p.Configure(Config{Version: 1, Queues: queues, Teams: []Team{{Name: "team", Weight: 1}}}, 0)
	for i := range workers {
		f.addWorker("w" + strconv.Itoa(i))
	}
	return f
}

// addWorker registers a worker with 4 processors and lets tasks start on it.
func (f *fixture) addWorker(id string) {
	f.p.Register(Registration{ID: id, Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(4000, 4096, 0), Labels: []string{"a", "r1"}}, f.now)
	f.p.MarkWorkerStored(id)
	f.record(Record{AddedWorker: id})
}

func (f *fixture) record(r Record) {
	r.At = wall + f.now.Milliseconds()
	r.Begun, r.Crashes, r.Losses, r.Settled = f.p.TakeBegun(), f.p.TakeCrashes(), f.p.TakeLosses(), f.p.TakeSettled()
	data, err := r.Encode()
	f.Assert(err, quicktest.IsNil)
	f.records = append(f.records, data)
}

// submit submits a job to queue q and stores it.
func (f *fixture) submit(id string, steps ...StepSpec) {
	spec := JobSpec{ID: id, Queue: "q", Team: "team", Payload: "p", Steps: steps, AcceptedAt: wall + f.now.Milliseconds()}
	_, err := f.p.Submit(spec, f.now)
	f.Assert(err, quicktest.IsNil)
	f.record(Record{Job: &spec})
	f.p.MarkStored(id)
}

// decide makes one decision, records its starts and returns its actions.
func (f *fixture) decide() []Action {
	f.actions = f.p.Decide(f.now, wall+f.now.Milliseconds())
	var begins []Begin
	for _, a := range f.actions {
		if a.Kind == Start {
			begins = append(begins, a.Begin())
		}
	}
	if len(begins) > 0 {
		f.record(Record{Begins: begins})
	}
	return f.actions
}

// starts makes one decision, reports its starts as accepted and returns them.
func (f *fixture) starts() []Action {
	var starts []Action
	for _, a := range f.decide() {
		if a.Kind == Start {
			f.p.ReportStart(a, Accepted, f.now)
			starts = append(starts, a)
		}
	}
	return starts
}

// listEnd makes the worker list a run as ended, and records that end.
func (f *fixture) listEnd(a Action, serial uint64, result string) {
	ends := f.p.HandleStatus(WorkerStatus{Worker: a.Worker, Incarnation: 1, SentAt: f.now, Ended: []EndEntry{{serial, End{Task: a.Task, Number: a.Number, Result: result}}}}, f.now)
	ended := f.p.TakeEnded()
	f.record(Record{Ends: ends, Failed: f.p.Failed(ended)})
	for _, id := range ended {
		f.p.MarkEndStored(id)
	}
}

func (f *fixture) assertState(id string, want State) {
	f.Helper()
	state, known := f.p.State(id, "q", "team")
	f.Assert(known, quicktest.IsTrue)
	f.Assert(state, quicktest.Equals, want)
}

// takeOver replaces the planner by a new one that restores the records. The leases of
// the old one expire at leaseExpiry.
func (f *fixture) takeOver(leaseExpiry time.Duration) {
	config, options := f.p.config, f.p.settings
	f.p = New(func(s *settings) { *s = options })
	f.Assert(f.p.Restore(nil, f.records, f.now, wall+f.now.Milliseconds(), leaseExpiry), quicktest.IsNil)
	f.p.Configure(config, f.now)
}

// newStep returns a step of n tasks that take a processor, 100 MiB and 1 s each.
func newStep(n int) StepSpec { return StepSpec{Tasks: n, CPU: 1000, Memory: 100, Estimate: 1000} }

// newWideGang returns a gang of two tasks, of which a worker of the fixture holds one.
func newWideGang() StepSpec {
	gang := newStep(2)
	gang.Gang, gang.CPU = true, 3000
	return gang
}
