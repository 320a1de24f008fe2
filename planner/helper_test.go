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

// fixture drives a planner by hand.
type fixture struct {
	*quicktest.C
	p       *Planner
	now     time.Duration
	actions []Action
	records [][]byte
}

func newFixture(t *testing.T, workers int, queues ...Queue) *fixture {
	b := &fixture{C: quicktest.New(t), p: New()}
	if len(queues) == 0 {
		queues = []Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second}}
	}
	b.p.Configure(Config{Version: 1, Queues: queues, Teams: []Team{{Name: "team", Weight: 1}}}, 0)
	for i := range workers {
		b.addWorker("w" + strconv.Itoa(i))
	}
	return b
}

// addWorker lists a worker with 4 processors.
func (b *fixture) addWorker(id string) {
	b.p.Register(Registration{ID: id, Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(4000, 4096, 0), Labels: []string{"a", "r1"}}, b.now)
	b.p.Use(id)
	b.record(Record{Use: id})
}

func (b *fixture) record(r Record) {
	r.At = wall + b.now.Milliseconds()
	data, err := r.Encode()
	b.Assert(err, quicktest.IsNil)
	b.records = append(b.records, data)
}

// submit hands a job in and has it stored.
func (b *fixture) submit(id string, steps ...StepSpec) {
	spec := JobSpec{ID: id, Queue: "q", Team: "team", Payload: "p", Steps: steps, Accepted: wall + b.now.Milliseconds()}
	_, err := b.p.Submit(spec, b.now)
	b.Assert(err, quicktest.IsNil)
	b.record(Record{Job: &spec})
	b.p.Stored(id)
}

// decide keeps the actions of one decision, and its starts in the journal.
func (b *fixture) decide() []Action {
	b.actions = b.p.Decide(b.now, wall+b.now.Milliseconds())
	var begins []Begin
	for _, a := range b.actions {
		if a.Kind == Start {
			begins = append(begins, Begin{a.Task, a.Number, a.Worker})
		}
	}
	if len(begins) > 0 {
		b.record(Record{Begins: begins})
	}
	return b.actions
}

// starts returns the starts of one decision, confirmed.
func (b *fixture) starts() []Action {
	var starts []Action
	for _, a := range b.decide() {
		if a.Kind == Start {
			b.p.Started(a, Accepted, b.now)
			starts = append(starts, a)
		}
	}
	return starts
}

// listEnd lists the end of a run and keeps it in the journal.
func (b *fixture) listEnd(a Action, serial uint64, how string) {
	ends := b.p.HandleStatus(WorkerStatus{Worker: a.Worker, Incarnation: 1, Asked: b.now, Ended: []EndEntry{{serial, End{Task: a.Task, Number: a.Number, How: how}}}}, b.now)
	b.record(Record{Ends: ends})
	for _, id := range b.p.TakeEnded() {
		b.p.MarkEndStored(id)
	}
}

func (b *fixture) assertState(id string, want State) {
	b.Helper()
	state, known := b.p.State(id, "q", "team")
	b.Assert(known, quicktest.IsTrue)
	b.Assert(state, quicktest.Equals, want)
}

// takeOver replaces the planner by one that takes over from the journal.
func (b *fixture) takeOver(until time.Duration) {
	config := b.p.config
	b.p = New()
	b.Assert(b.p.Restore(nil, b.records, b.now, wall+b.now.Milliseconds(), until), quicktest.IsNil)
	b.p.Configure(config, b.now)
}

func newStep(n int) StepSpec { return StepSpec{Tasks: n, CPU: 1000, Memory: 100, Estimate: 1000} }
