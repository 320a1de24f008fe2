package planner

import (
	"strconv"
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
	f.restartWorker("w2", 2)
	f.Assert(request().Workers, quicktest.DeepEquals, []string{"w2"})
}

// adviceService answers requests of a planner as entry VMs do that can take few at a time.
type adviceService struct {
	*fixture
	capacity int
	inFlight []request
	sent     map[string]int // requests taken, by step
}

// request is a request for advice with the time of its answer.
type request struct {
	action   Action
	answerAt time.Duration
}

// step makes one decision, and answers the requests that are due.
func (s *adviceService) step() (starts []Action) {
	s.Helper()
	var left []request
	for _, r := range s.inFlight {
		if s.now < r.answerAt {
			left = append(left, r)
			continue
		}
		result := AdviceResult{Step: r.action.Step, Workers: r.action.Workers, Urgent: r.action.Urgent, Tickets: map[string]string{}, Until: s.now + 1500*time.Millisecond}
		for _, id := range r.action.Workers {
			result.Tickets[id] = "ticket"
		}
		s.p.ReportAdvice(result)
	}
	s.inFlight = left
	for _, a := range s.decide() {
		switch {
		case a.Kind == Start:
			s.p.ReportStart(a, Accepted, s.now)
			starts = append(starts, a)
		case a.Kind != RequestAdvice:
		case len(s.inFlight) < s.capacity:
			s.inFlight = append(s.inFlight, request{a, s.now + a.Cost})
			s.sent[a.Step]++
		default:
			s.p.ReportAdviceSkipped(a, s.now)
		}
	}
	return starts
}

// newAdviceService returns a fleet whose advice takes 100 ms a request.
func newAdviceService(t *testing.T, workers, capacity int) *adviceService {
	cost := &AdviceCost{Base: 100 * time.Millisecond, TicketValidity: 1500 * time.Millisecond}
	queues := []Queue{{Name: "q", Service: "s", Priority: 1, Attempts: 2, Stretch: 2, Objective: second, AdviceCost: cost}}
	return &adviceService{fixture: newFixture(t, workers, queues...), capacity: capacity, sent: map[string]int{}}
}

// TestAdviceForWorkThatWaits checks that late and expired work gets advice although there is
// always newer work that takes all the advice that the entry VMs can request. It would never
// start otherwise, with room for it (LOST).
func TestAdviceForWorkThatWaits(t *testing.T) {
	for name, age := range map[string]time.Duration{"late": 5 * second, "expired": 20 * second} {
		t.Run(name, func(t *testing.T) {
			s := newAdviceService(t, 40, 4)
			gang := newWideGang()
			gang.Tasks = 3
			s.submit("old", gang)
			s.submit("other", newStep(1))
			s.now = age
			running, startedAt, serial, n := map[string]Action{}, map[string]time.Duration{}, uint64(0), 0
			for begin := s.now; s.now < begin+20*second; s.now += 20 * time.Millisecond {
				for ; s.p.LiveJobs() < 60; n++ {
					s.submit("new"+strconv.Itoa(n), newStep(1))
				}
				for _, a := range s.step() {
					id, _, _, _, _ := parseTask(a.Task)
					startedAt[id] = s.now - begin
					running[a.Task] = a
				}
				for task, a := range running {
					serial++
					s.listEnd(a, serial, Done)
					delete(running, task)
				}
			}
			for _, id := range []string{"old", "other"} {
				at, started := startedAt[id]
				s.Check(started && at <= 5*second, quicktest.IsTrue, quicktest.Commentf("%s started: %t, after %v; %d requests", id, started, at, s.sent[id+".0.0"]))
			}
			s.Check(n >= 600, quicktest.IsTrue, quicktest.Commentf("newer work got too little advice: %d jobs", n))
		})
	}
}

// TestSuspectAsksForWorkersOfItsOwn checks that a suspect for which no worker is empty does not
// ask for tickets that it could not use, while others lack advice.
func TestSuspectAsksForWorkersOfItsOwn(t *testing.T) {
	const workers = 12
	s := newAdviceService(t, workers, 4)
	filler := newStep(workers)
	filler.MaxPerWorker, filler.Estimate = 1, 100_000
	s.submit("filler", filler)
	var fillers []Action
	for ; s.now < 2*second; s.now += 20 * time.Millisecond {
		fillers = append(fillers, s.step()...)
	}
	s.Assert(fillers, quicktest.HasLen, workers)
	s.submit("j", newStep(1))
	s.p.jobs["j"].occurrences[0].steps[0].setSuspect(0, true)
	// assertRequests plays 10 s and checks the number of requests.
	assertRequests := func(want int) (starts []Action) {
		s.Helper()
		s.sent = map[string]int{}
		for end := s.now + 10*second; s.now < end; s.now += 20 * time.Millisecond {
			starts = append(starts, s.step()...)
		}
		s.Check(s.sent["j.0.0"], quicktest.Equals, want)
		return starts
	}
	s.Check(assertRequests(1), quicktest.HasLen, 0) // of which nothing is known
	s.addWorker("busy")
	s.p.HandleStatus(WorkerStatus{Worker: "busy", Incarnation: 1, SentAt: s.now, Running: []RunningEntry{{Task: "filler.0.0.0", Number: 1}}}, s.now)
	s.Check(assertRequests(0), quicktest.HasLen, 0)
	s.listEnd(fillers[0], 1, Done)
	starts := assertRequests(1)
	s.Assert(starts, quicktest.HasLen, 1)
	s.Check(starts[0].Task, quicktest.Equals, "j.0.0.0")
}
