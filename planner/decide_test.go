package planner

import (
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestLateUrgentWork replays a burst after a gap without an owner: urgent jobs that
// can't be in time any more used to go first, by their slack, and made those late
// that still could.
func TestLateUrgentWork(t *testing.T) {
	urgent := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 1.5, Objective: second / 4, Priority: 0}
	deferred := Queue{Name: "deferred", Service: "s", Attempts: 2, Stretch: 9, Objective: 9 * second, Priority: 2}
	b := newFixture(t, 0, urgent, deferred)
	step := newStep(1)
	step.CPU, step.Estimate = 4000, 1000
	b.submit("late", step)
	b.now = 1200 * time.Millisecond
	b.submit("fresh", step)
	_, err := b.p.Submit(JobSpec{ID: "deferred", Queue: "deferred", Team: "team", Steps: []StepSpec{step}}, b.now)
	b.Assert(err, quicktest.IsNil)
	b.p.Stored("deferred")
	for n, want := range []string{"fresh.0.0.0", "late.0.0.0", "deferred.0.0.0"} {
		b.addWorker("w" + strconv.Itoa(n))
		starts := b.starts()
		b.Assert(starts, quicktest.HasLen, 1)
		b.Assert(starts[0].Task, quicktest.Equals, want)
	}
}

// adviceRequests returns the asks of one decision.
func (b *fixture) adviceRequests() []Action {
	var asks []Action
	for _, a := range b.decide() {
		if a.Kind == Ask {
			asks = append(asks, a)
		}
	}
	return asks
}

// TestAdviceShort replays a backlog for which there is not enough advice: steps
// that could not ask rest, and those of other kinds don't.
func TestAdviceShort(t *testing.T) {
	price := &Advice{Base: 10 * time.Millisecond, Each: time.Millisecond, Valid: 2 * second}
	urgent := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 1.5, Objective: 60 * second, Priority: 0, Advice: price}
	slow := Queue{Name: "slow", Service: "s", Attempts: 2, Stretch: 9, Objective: 9 * second, Priority: 2, Advice: price}
	b := newFixture(t, 3, urgent, slow)
	for n := range 30 {
		b.submit("j"+strconv.Itoa(n), newStep(1))
	}
	asks := b.adviceRequests()
	b.Assert(asks, quicktest.HasLen, 30)
	for _, a := range asks {
		b.p.Unasked(a, b.now)
	}
	_, err := b.p.Submit(JobSpec{ID: "slow", Queue: "slow", Team: "team", Steps: []StepSpec{newStep(1)}}, b.now)
	b.Assert(err, quicktest.IsNil)
	b.p.Stored("slow")
	asks = b.adviceRequests()
	b.Assert(asks, quicktest.HasLen, 1)
	b.Assert(asks[0].Step, quicktest.Equals, "slow.0.0")
	b.now += adviceBackoff
	b.Assert(b.adviceRequests(), quicktest.HasLen, 30)
}

// TestWideGangAsks replays gangs on a busy fleet: one call after the other found the
// allowed workers within 7 s, and the tickets of the first had run out by then.
func TestWideGangAsks(t *testing.T) {
	price := &Advice{Base: 450 * time.Millisecond, Each: 6500 * time.Microsecond, Valid: 1500 * time.Millisecond}
	queue := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second, Priority: 1, Advice: price}
	b := newFixture(t, 0, queue)
	for n := range 350 {
		b.p.Register(newRegistration("w"+strconv.Itoa(n), 32000), 0)
		b.p.Use("w" + strconv.Itoa(n))
	}
	b.submit("gang", StepSpec{Tasks: 16, CPU: 9000, Memory: 100, Estimate: 6000, Gang: true})
	for range 500 {
		b.p.learnEligible("q", 0.3)
	}
	asks := b.adviceRequests()
	b.Assert(len(asks) > 1 && len(asks) <= maxParallelRequests, quicktest.IsTrue, quicktest.Commentf("%d calls", len(asks)))
	named := map[string]bool{}
	for _, a := range asks {
		for _, id := range a.Workers {
			b.Assert(named[id], quicktest.IsFalse, quicktest.Commentf("%s is asked about twice", id))
			named[id] = true
		}
	}
	b.Assert(b.adviceRequests(), quicktest.HasLen, 0)
	for _, a := range asks {
		b.p.Advised(Answer{Step: a.Step, Named: a.Workers, Failed: true})
	}
	b.Assert(b.adviceRequests(), quicktest.HasLen, len(asks))
	for _, a := range asks {
		tickets := map[string]string{}
		for _, id := range a.Workers[:len(a.Workers)*3/10] {
			tickets[id] = "ticket"
		}
		b.p.Advised(Answer{Step: a.Step, Named: a.Workers, Tickets: tickets, Until: 2 * second})
	}
	b.Assert(b.starts(), quicktest.HasLen, 16)
}

// TestLastingFirst replays a full fleet on which a service loses a task: the room
// that comes free is kept for it, before urgent work, until it fits.
func TestLastingFirst(t *testing.T) {
	urgent := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 1.5, Objective: second, Priority: 0}
	services := Queue{Name: "services", Service: "s", Attempts: 2, Stretch: 1, Priority: 3}
	b := newFixture(t, 1, urgent, services)
	for n := range 4 {
		b.submit("urgent"+strconv.Itoa(n), newStep(1))
	}
	running := b.starts()
	b.Assert(running, quicktest.HasLen, 4)
	service := StepSpec{Tasks: 1, CPU: 2000, Memory: 100, LongRunning: true}
	_, err := b.p.Submit(JobSpec{ID: "service", Queue: "services", Team: "team", Steps: []StepSpec{service}}, b.now)
	b.Assert(err, quicktest.IsNil)
	b.p.Stored("service")
	b.submit("more", newStep(1))
	listed := func(a Action, serial uint64) {
		end := EndEntry{serial, End{Task: a.Task, Number: a.Number, How: Done}}
		b.p.HandleStatus(WorkerStatus{Worker: a.Worker, Incarnation: 1, Ended: []EndEntry{end}}, b.now)
	}
	listed(running[0], 1)
	b.Assert(b.starts(), quicktest.HasLen, 0)
	listed(running[1], 2)
	starts := b.starts()
	b.Assert(starts, quicktest.HasLen, 1)
	b.Assert(starts[0].Task, quicktest.Equals, "service.0.0.0")
}

// An occurrence is as old as its own time, not as the job: the fifth of a job that
// was handed in long ago is in time.
func TestOccurrenceInTime(t *testing.T) {
	queue := Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second, Priority: 1}
	b := newFixture(t, 0, queue)
	spec := JobSpec{ID: "timed", Queue: "q", Team: "team", Steps: []StepSpec{newStep(1)}, Repeats: 9, First: wall, Interval: 10_000, Accepted: wall}
	_, err := b.p.Submit(spec, b.now)
	b.Assert(err, quicktest.IsNil)
	b.p.Stored("timed")
	b.record(Record{Job: &spec})
	check := func() {
		b.now = 40*second + second/10
		b.decide()
		rank := b.p.rank(b.p.jobs["timed"].occurrences[4], b.now)
		b.Assert(rank.rank, quicktest.Equals, timelyRank)
		b.Assert(b.p.rank(b.p.jobs["timed"].occurrences[0], b.now).rank, quicktest.Equals, expiredRank)
	}
	check()
	b.takeOver(0)
	check()
}

// BenchmarkBacklog measures a decision on a full fleet of 350 workers where 500
// steps wait with tickets, as after a takeover under load.
func BenchmarkBacklog(b *testing.B) {
	price := &Advice{Base: 10 * time.Millisecond, Each: 100 * time.Microsecond, Valid: 2 * second}
	p := New()
	p.Configure(Config{Version: 1, Queues: []Queue{{Name: "q", Service: "s", Stretch: 99, Objective: 99 * second, Priority: 1, Advice: price}}}, 0)
	for n := range 350 {
		id := "w" + strconv.Itoa(n)
		p.Register(newRegistration(id, 1000), 0)
		p.Use(id)
	}
	for n := range 850 {
		id := "j" + strconv.Itoa(n)
		step := StepSpec{Tasks: 1, CPU: 1000, Memory: 1, Estimate: 1000}
		if _, err := p.Submit(JobSpec{ID: id, Queue: "q", Steps: []StepSpec{step}}, 0); err != nil {
			b.Fatal(err)
		}
		p.Stored(id)
	}
	for _, a := range p.Decide(0, wall) {
		tickets := map[string]string{}
		for _, id := range a.Workers {
			tickets[id] = "t"
		}
		p.Advised(Answer{Step: a.Step, Named: a.Workers, Tickets: tickets, Until: time.Hour})
	}
	p.Decide(0, wall)
	b.ResetTimer()
	for range b.N {
		p.Decide(0, wall)
	}
}
