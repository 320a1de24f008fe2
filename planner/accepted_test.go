package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestJobOfRemovedQueueUnderNextOwner checks that the next owner goes on with an accepted job although
// its configuration has the queue no more. Otherwise later steps never start (LOST).
func TestJobOfRemovedQueueUnderNextOwner(t *testing.T) {
	advice := &AdviceCost{Base: 560 * time.Millisecond, PerWorker: 7900 * time.Microsecond, TicketValidity: 2 * second}
	for name, cost := range map[string]*AdviceCost{"without advice": nil, "with advice": advice} {
		t.Run(name, func(t *testing.T) {
			queue := Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Priority: 1, Attempts: 2, Stretch: 2, Objective: second, AdviceCost: cost}
			f := newFixture(t, 1, queue, Queue{Name: "other", Host: "h", Prefix: "/other/", Service: "s"})
			spec := JobSpec{ID: "j", Team: "team", Payload: "p", Steps: []StepSpec{newStep(1)}, AcceptedAt: wall}
			spec.AcceptIn(queue)
			f.Assert(spec.Queue, quicktest.Equals, "q")
			f.record(Record{Job: &spec})
			f.p.config.Queues = f.p.config.Queues[1:]
			f.takeOver(0)
			f.addWorker("w0")
			f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: f.now}, f.now)
			kept := f.p.jobs["j"].queue
			queue.Name = ""
			f.Assert(kept, quicktest.DeepEquals, queue)
			actions := f.decide()
			f.Assert(actions, quicktest.HasLen, 1)
			if cost == nil {
				f.Assert(actions[0].Kind, quicktest.Equals, Start)
			} else {
				f.Assert(actions[0].Kind, quicktest.Equals, RequestAdvice)
			}
		})
	}
	t.Run("the queue is back", func(t *testing.T) {
		queue := Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Attempts: 2}
		f := newFixture(t, 1, queue)
		spec := JobSpec{ID: "j", Team: "team", Payload: "p", Steps: []StepSpec{newStep(1)}, AcceptedAt: wall}
		spec.AcceptIn(queue)
		f.record(Record{Job: &spec})
		f.p.config.Queues = nil
		f.takeOver(0)
		queue.Service = "t"
		f.p.Configure(Config{Version: 2, Queues: []Queue{queue}}, f.now)
		f.Assert(f.p.jobs["j"].queue, quicktest.DeepEquals, queue)
	})
}

// TestAttemptsOfRemovedQueue checks that the replay counts no attempts by the queue in which the job
// was accepted: the configuration may allow more by now (LOST).
func TestAttemptsOfRemovedQueue(t *testing.T) {
	queue := Queue{Name: "q", Service: "s", Attempts: 1}
	f := newFixture(t, 1, queue)
	spec := JobSpec{ID: "j", Team: "team", Payload: "p", Steps: []StepSpec{newStep(1)}, AcceptedAt: wall}
	spec.AcceptIn(queue)
	f.record(Record{Job: &spec})
	f.record(Record{Ends: []End{{Task: "j.0.0.0", Number: 1, Result: RunFailed}}})
	f.p.config.Queues[0].Attempts = 2
	f.takeOver(0)
	f.Assert(f.p.FinalState("j"), quicktest.Equals, State(""))
}
