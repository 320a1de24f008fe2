package planner

import (
	"strconv"
	"testing"
	"time"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

// burstFixture returns a fixture whose workers each have room for one task of an urgent step, about
// two thirds of which may run it.
func burstFixture(t *testing.T, workers int, options ...Option) *fixture {
	queue := Queue{
		Name: "q", Service: "s", Attempts: 2, Stretch: 1.5, Objective: 300 * time.Millisecond,
		AdviceCost: &AdviceCost{Base: 9230 * time.Microsecond, PerWorker: 130 * time.Microsecond, TicketValidity: 2 * second},
	}
	f := newFixture(t, 0, queue)
	f.p = New(options...)
	f.p.Configure(Config{Version: 1, Queues: []Queue{queue}, Teams: []Team{{Name: "team"}}}, 0)
	for i := range workers {
		id := "w" + strconv.Itoa(100+i)
		f.p.Register(Registration{ID: id, Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(1000, 4096, 0)}, f.now)
		f.p.MarkWorkerStored(id)
	}
	return f
}

// grantTickets answers a request: two thirds of the workers may run the step.
func (f *fixture) grantTickets(a Action) {
	tickets := map[string]string{}
	for i, id := range a.Workers {
		if i%3 != 0 {
			tickets[id] = "t"
		}
	}
	f.p.ReportAdvice(AdviceResult{Step: a.Step, Workers: a.Workers, Urgent: a.Urgent, Tickets: tickets, Until: f.now + 2*second})
}

// startedAfterOneRequest submits urgent jobs of three tasks at once, answers one request of each, and
// returns how many tasks have started then.
func (f *fixture) startedAfterOneRequest(jobs int) int {
	for i := range jobs {
		f.submit("j"+strconv.Itoa(i), newStep(3))
	}
	for _, a := range f.decide() {
		f.grantTickets(a)
	}
	f.now += 15 * time.Millisecond
	return len(f.starts())
}

// TestConcurrentRequestsNameDifferentWorkers guards against a burst of urgent jobs that all get
// tickets for the same workers, so that most of them need a second and a third request although the
// fleet has room for all.
func TestConcurrentRequestsNameDifferentWorkers(t *testing.T) {
	c := quicktest.New(t)
	const workers, jobs = 350, 30
	same := burstFixture(t, workers).startedAfterOneRequest(jobs)
	spread := burstFixture(t, workers, WithSpreadRequests(true)).startedAfterOneRequest(jobs)
	c.Check(same < jobs, quicktest.IsTrue, quicktest.Commentf("%d tasks started without spreading", same))
	c.Check(spread, quicktest.Equals, 3*jobs)
}

// TestFewRequestsAreNotSpread guards against other decisions than before while few steps wait.
func TestFewRequestsAreNotSpread(t *testing.T) {
	requested := func(options ...Option) [][]string {
		f := burstFixture(t, 100, options...)
		f.submit("a", newStep(3))
		f.submit("b", newStep(3))
		var workers [][]string
		for _, a := range f.decide() {
			workers = append(workers, a.Workers)
		}
		return workers
	}
	quicktest.Assert(t, requested(WithSpreadRequests(true)), quicktest.DeepEquals, requested())
}

// TestRequestsInFlightAreCounted guards against a count that grows with steps that end, fail or are
// skipped, so that requests are spread for ever.
func TestRequestsInFlightAreCounted(t *testing.T) {
	f := burstFixture(t, 100, WithSpreadRequests(true))
	for i := range 4 {
		f.submit("j"+strconv.Itoa(i), newStep(3))
	}
	requests := f.decide()
	f.Assert(f.p.spreader.inFlight[true], quicktest.Equals, 4)
	f.p.Cancel("j0", "team", f.now)
	f.grantTickets(requests[0])
	f.p.ReportAdviceSkipped(requests[1], f.now)
	f.p.ReportAdvice(AdviceResult{Step: requests[2].Step, Workers: requests[2].Workers, Urgent: true, Failed: true})
	f.grantTickets(requests[3])
	f.Assert(f.p.spreader.inFlight[true], quicktest.Equals, 0)
}
