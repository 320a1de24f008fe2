package planner

import (
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestLateUrgentWork checks the order after a time without an owner: urgent jobs that
// are already late go after those that can still be in time. When slack alone decided,
// late jobs went first and made the others late too.
func TestLateUrgentWork(t *testing.T) {
	urgent := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 1.5, Objective: second / 4, Priority: 0}
	deferred := Queue{Name: "deferred", Service: "s", Attempts: 2, Stretch: 9, Objective: 9 * second, Priority: 2}
	f := newFixture(t, 0, urgent, deferred)
	step := newStep(1)
	step.CPU, step.Estimate = 4000, 1000
	f.submit("late", step)
	f.now = 1200 * time.Millisecond
	f.submit("fresh", step)
	_, err := f.p.Submit(JobSpec{ID: "deferred", Queue: "deferred", Team: "team", Steps: []StepSpec{step}}, f.now)
	f.Assert(err, quicktest.IsNil)
	f.p.MarkStored("deferred")
	for n, want := range []string{"fresh.0.0.0", "late.0.0.0", "deferred.0.0.0"} {
		f.addWorker("w" + strconv.Itoa(n))
		starts := f.starts()
		f.Assert(starts, quicktest.HasLen, 1)
		f.Assert(starts[0].Task, quicktest.Equals, want)
	}
}

// adviceRequests makes one decision and returns its advice requests.
func (f *fixture) adviceRequests() []Action {
	var requests []Action
	for _, a := range f.decide() {
		if a.Kind == RequestAdvice {
			requests = append(requests, a)
		}
	}
	return requests
}

// TestAdviceBackoff checks that urgent steps back off after their advice requests could
// not be sent, and that other steps don't.
func TestAdviceBackoff(t *testing.T) {
	cost := &AdviceCost{Base: 10 * time.Millisecond, PerWorker: time.Millisecond, TicketValidity: 2 * second}
	urgent := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 1.5, Objective: 60 * second, Priority: 0, AdviceCost: cost}
	slow := Queue{Name: "slow", Service: "s", Attempts: 2, Stretch: 9, Objective: 9 * second, Priority: 2, AdviceCost: cost}
	f := newFixture(t, 3, urgent, slow)
	for n := range 30 {
		f.submit("j"+strconv.Itoa(n), newStep(1))
	}
	requests := f.adviceRequests()
	f.Assert(requests, quicktest.HasLen, 30)
	for _, a := range requests {
		f.p.ReportAdviceSkipped(a, f.now)
	}
	_, err := f.p.Submit(JobSpec{ID: "slow", Queue: "slow", Team: "team", Steps: []StepSpec{newStep(1)}}, f.now)
	f.Assert(err, quicktest.IsNil)
	f.p.MarkStored("slow")
	requests = f.adviceRequests()
	f.Assert(requests, quicktest.HasLen, 1)
	f.Assert(requests[0].Step, quicktest.Equals, "slow.0.0")
	f.now += adviceBackoff
	f.Assert(f.adviceRequests(), quicktest.HasLen, 30)
}

// TestParallelAdviceRequests checks that a large gang has several advice requests in
// flight, which name different workers. On a busy fleet, one request after the other
// took 7 s to find enough eligible workers, and the first tickets had expired by then.
func TestParallelAdviceRequests(t *testing.T) {
	cost := &AdviceCost{Base: 450 * time.Millisecond, PerWorker: 6500 * time.Microsecond, TicketValidity: 1500 * time.Millisecond}
	queue := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second, Priority: 1, AdviceCost: cost}
	f := newFixture(t, 0, queue)
	for n := range 350 {
		f.p.Register(newRegistration("w"+strconv.Itoa(n), 32000), 0)
		f.p.MarkWorkerStored("w" + strconv.Itoa(n))
	}
	f.submit("gang", StepSpec{Tasks: 16, CPU: 9000, Memory: 100, Estimate: 6000, Gang: true})
	for range 500 {
		f.p.learnEligible("q", 0.3)
	}
	requests := f.adviceRequests()
	f.Assert(len(requests) > 1 && len(requests) <= maxParallelRequests, quicktest.IsTrue, quicktest.Commentf("%d requests", len(requests)))
	queried := map[string]bool{}
	for _, a := range requests {
		for _, id := range a.Workers {
			f.Assert(queried[id], quicktest.IsFalse, quicktest.Commentf("%s is queried twice", id))
			queried[id] = true
		}
	}
	f.Assert(f.adviceRequests(), quicktest.HasLen, 0)
	for _, a := range requests {
		f.p.ReportAdvice(AdviceResult{Step: a.Step, Workers: a.Workers, Urgent: a.Urgent, Failed: true})
	}
	f.Assert(f.adviceRequests(), quicktest.HasLen, len(requests))
	for _, a := range requests {
		tickets := map[string]string{}
		for _, id := range a.Workers[:len(a.Workers)*3/10] {
			tickets[id] = "ticket"
		}
		f.p.ReportAdvice(AdviceResult{Step: a.Step, Workers: a.Workers, Urgent: a.Urgent, Tickets: tickets, Until: 2 * second})
	}
	f.Assert(f.starts(), quicktest.HasLen, 16)
}

// TestLongRunningFirst checks that a long-running task starts before urgent ones on a
// full fleet: capacity that becomes free is reserved for it until it fits.
func TestLongRunningFirst(t *testing.T) {
	urgent := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 1.5, Objective: second, Priority: 0}
	services := Queue{Name: "services", Service: "s", Attempts: 2, Stretch: 1, Priority: 3}
	f := newFixture(t, 1, urgent, services)
	for n := range 4 {
		f.submit("urgent"+strconv.Itoa(n), newStep(1))
	}
	running := f.starts()
	f.Assert(running, quicktest.HasLen, 4)
	service := StepSpec{Tasks: 1, CPU: 2000, Memory: 100, LongRunning: true}
	_, err := f.p.Submit(JobSpec{ID: "service", Queue: "services", Team: "team", Steps: []StepSpec{service}}, f.now)
	f.Assert(err, quicktest.IsNil)
	f.p.MarkStored("service")
	f.submit("more", newStep(1))
	finish := func(a Action, serial uint64) {
		end := EndEntry{serial, End{Task: a.Task, Number: a.Number, Result: Done}}
		f.p.HandleStatus(WorkerStatus{Worker: a.Worker, Incarnation: 1, Ended: []EndEntry{end}}, f.now)
	}
	finish(running[0], 1)
	f.Assert(f.starts(), quicktest.HasLen, 0)
	finish(running[1], 2)
	starts := f.starts()
	f.Assert(starts, quicktest.HasLen, 1)
	f.Assert(starts[0].Task, quicktest.Equals, "service.0.0.0")
}

// TestOccurrenceAge checks that the age of an occurrence counts from when it is due, not
// from the submission of the job, also after a takeover.
func TestOccurrenceAge(t *testing.T) {
	queue := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second, Priority: 1}
	f := newFixture(t, 0, queue)
	spec := JobSpec{ID: "timed", Queue: "q", Team: "team", Steps: []StepSpec{newStep(1)}, Occurrences: 9, First: wall, Interval: 10_000, AcceptedAt: wall}
	_, err := f.p.Submit(spec, f.now)
	f.Assert(err, quicktest.IsNil)
	f.p.MarkStored("timed")
	f.record(Record{Job: &spec})
	assertRanks := func() {
		f.now = 40*second + second/10
		f.decide()
		c := f.p.rank(f.p.jobs["timed"].occurrences[4], f.now)
		f.Assert(c.rank, quicktest.Equals, timelyRank)
		f.Assert(f.p.rank(f.p.jobs["timed"].occurrences[0], f.now).rank, quicktest.Equals, expiredRank)
	}
	assertRanks()
	f.takeOver(0)
	assertRanks()
}

// BenchmarkBacklog measures a decision on a full fleet of 350 workers while 500 steps
// with tickets wait, as after a takeover under load.
func BenchmarkBacklog(b *testing.B) {
	b.Run("declared run times", func(b *testing.B) { benchmarkBacklog(b) })
	b.Run("learned run times", func(b *testing.B) { benchmarkBacklog(b, WithLearnedRunTimes()) })
}

func benchmarkBacklog(b *testing.B, options ...Option) {
	cost := &AdviceCost{Base: 10 * time.Millisecond, PerWorker: 100 * time.Microsecond, TicketValidity: 2 * second}
	p := New(options...)
	p.Configure(Config{Version: 1, Queues: []Queue{{Name: "q", Service: "s", Stretch: 99, Objective: 99 * second, Priority: 1, AdviceCost: cost}}}, 0)
	for n := range 350 {
		id := "w" + strconv.Itoa(n)
		p.Register(newRegistration(id, 1000), 0)
		p.MarkWorkerStored(id)
	}
	for n := range 850 {
		id := "j" + strconv.Itoa(n)
		step := StepSpec{Tasks: 1, CPU: 1000, Memory: 1, Estimate: 1000}
		if _, err := p.Submit(JobSpec{ID: id, Queue: "q", Steps: []StepSpec{step}}, 0); err != nil {
			b.Fatal(err)
		}
		p.MarkStored(id)
	}
	for _, a := range p.Decide(0, wall) {
		tickets := map[string]string{}
		for _, id := range a.Workers {
			tickets[id] = "t"
		}
		p.ReportAdvice(AdviceResult{Step: a.Step, Workers: a.Workers, Urgent: a.Urgent, Tickets: tickets, Until: time.Hour})
	}
	p.Decide(0, wall)
	b.ResetTimer()
	for range b.N {
		p.Decide(0, wall)
	}
}

// TestStartLimit checks that a decision with a limit starts the tasks that are served first,
// and a gang as a whole.
func TestStartLimit(t *testing.T) {
	f := newFixture(t, 4)
	f.submit("first", newStep(3))
	f.now += second / 10
	gang := newStep(3)
	gang.Gang = true
	f.submit("second", gang)
	f.now += second / 10
	f.submit("third", newStep(1))
	f.p.SetStartLimit(2)
	f.Assert(f.starts(), quicktest.HasLen, 2)
	f.Assert(f.p.StartsDeferred(), quicktest.IsTrue)
	f.Assert(f.starts(), quicktest.HasLen, 4) // the third task of the first job, and the gang
	f.Assert(f.p.StartsDeferred(), quicktest.IsTrue)
	f.p.SetStartLimit(0)
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.p.SetStartLimit(2)
	f.Assert(f.starts(), quicktest.HasLen, 1)
	f.Assert(f.p.StartsDeferred(), quicktest.IsFalse)
}
