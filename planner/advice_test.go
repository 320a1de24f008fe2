package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestAdviceAfterWorkersWereReplaced checks that a step requests advice about new workers
// although it knows as many that are gone, and about one that has restarted and may be of
// another kind now. It would never start otherwise (LOST).
func TestAdviceAfterWorkersWereReplaced(t *testing.T) {
	f := newFixture(t, 2, Queue{Name: "q", Service: "s", Stretch: 2, Objective: second, AdviceCost: &AdviceCost{Base: time.Millisecond, TicketValidity: second}})
	f.submit("j", newStep(1))
	request := func() Action {
		f.Helper()
		actions := f.decide()
		f.Assert(actions, quicktest.HasLen, 1)
		f.Assert(actions[0].Kind, quicktest.Equals, RequestAdvice)
		return actions[0]
	}
	first := request()
	f.Assert(first.Workers, quicktest.DeepEquals, []string{"w0", "w1"})
	f.p.ReportAdvice(AdviceResult{Step: first.Step, Workers: first.Workers}) // none may run it
	for _, id := range first.Workers {
		f.p.Deregister(id)
	}
	pruned, _ := f.p.PruneWorkers(f.now)
	f.Assert(pruned, quicktest.HasLen, 2)
	f.addWorker("w2")
	f.addWorker("w3")
	second := request()
	f.Assert(second.Workers, quicktest.DeepEquals, []string{"w2", "w3"})
	f.p.ReportAdvice(AdviceResult{Step: second.Step, Workers: second.Workers})
	f.p.ObserveAnswer("w2", 2, f.now+1, f.now+1)
	f.Assert(request().Workers, quicktest.DeepEquals, []string{"w2"})
}
