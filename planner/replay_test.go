package planner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

// queueLoad is the load of one queue in a replay.
type queueLoad struct {
	queue    Queue
	jobs     float64 // per second
	tasks    float64 // mean number per step
	size     placer.Resources
	runTime  time.Duration // mean of a task
	gang     float64       // fraction of jobs
	eligible float64       // fraction of the workers that may run a step
}

// largeLoad is the usual load of the large deployment (147 entry VMs, 1,100 workers), from
// its data sheet.
func largeLoad() []queueLoad {
	return []queueLoad{
		{Queue{Name: "plan", Service: "s", Priority: 1, Attempts: 3, Stretch: 2.2, Objective: second, AdviceCost: &AdviceCost{420 * time.Millisecond, 5900 * time.Microsecond, 2 * second}}, 7.87, 40, placer.NewResources(4500, 6500, 0), 4 * second, 1, 0.3},
		{Queue{Name: "recalc", Service: "s", Priority: 2, Attempts: 4, Stretch: 4, Objective: 3 * second, AdviceCost: &AdviceCost{140 * time.Millisecond, 2 * time.Millisecond, 2 * second}}, 11.2, 50, placer.NewResources(2600, 3700, 0), 2200 * time.Millisecond, 0, 0.45},
		{Queue{Name: "book", Service: "s", Priority: 0, Attempts: 2, Stretch: 1.5, Objective: second / 4, AdviceCost: &AdviceCost{14 * time.Millisecond, 200 * time.Microsecond, 2 * second}}, 114, 4, placer.NewResources(3700, 3800, 0), second, 0.3, 0.7},
	}
}

const (
	replayTick    = 10 * time.Millisecond // time between two decisions
	replayTeams   = 60
	replayAnswer  = 10 * time.Millisecond // time until a worker answers a start
	replayVMs     = 147                   // entry VMs, each of which handles one advice request at a time
	replayBacklog = 100 * time.Millisecond
)

// replayEvent is an event in the future of a replay.
type replayEvent struct {
	at    time.Duration
	apply func()
}

// replay drives a planner with a load, in simulated time, as its caller would. The same
// seed repeats the load.
type replay struct {
	*fixture
	load      []queueLoad
	scale     float64 // part of the load that is played
	random    *rand.Rand
	events    []replayEvent
	idleAt    []time.Duration // by entry VM, when its advice requests are answered
	serials   map[string]uint64
	ends      map[string][]EndEntry // by worker, not reported yet
	lasts     map[string]time.Duration
	jobs      int
	refused   int
	starts    int
	noise     float64          // spread of the logarithms of the run times within a step
	declared  float64          // spread of the logarithms of the errors of declared run times
	truths    map[string]int64 // run times of the tasks by job in ms, where the declared ones are off
	digest    io.Writer        // gets each action
	decideIn  func(func())
	order     func(a Action, runTime time.Duration)                // carries out a start
	submitted map[string]int                                       // jobs by queue, with refused ones
	runTime   func(a Action, estimate time.Duration) time.Duration // of a run, in full
	urgentVMs int                                                  // of idleAt, the first ones, which answer urgent requests only; 0 if all answer any
}

// newReplay returns a replay of that part of the load on that number of workers.
func newReplay(t testing.TB, load []queueLoad, workers int, scale float64, seed uint64, options ...Option) *replay {
	var queues []Queue
	for _, l := range load {
		queues = append(queues, l.queue)
	}
	r := &replay{
		fixture: &fixture{C: quicktest.New(t), p: New(options...)}, load: load, scale: scale, random: rand.New(rand.NewPCG(seed, 1)),
		idleAt: make([]time.Duration, max(1, int(replayVMs*scale))), serials: map[string]uint64{}, ends: map[string][]EndEntry{}, lasts: map[string]time.Duration{}, truths: map[string]int64{}, noise: 0.3,
		digest: io.Discard, decideIn: func(decide func()) { decide() }, submitted: map[string]int{},
	}
	r.order = func(a Action, runTime time.Duration) {
		r.after(replayAnswer, func() { r.p.ReportStart(a, Accepted, r.now) })
		r.after(replayAnswer+runTime, func() { r.end(a, Done) })
	}
	r.runTime = func(_ Action, estimate time.Duration) time.Duration {
		return time.Duration(float64(estimate.Milliseconds())*math.Exp(r.noise*r.random.NormFloat64())) * time.Millisecond
	}
	var teams []Team
	for n := range replayTeams {
		teams = append(teams, Team{Name: "t" + strconv.Itoa(n), Weight: 100})
	}
	r.p.Configure(Config{Version: 1, Queues: queues, Teams: teams}, 0)
	for n := range workers {
		id := fmt.Sprintf("w%04d", n)
		r.p.Register(Registration{ID: id, Centre: "c" + strconv.Itoa(n%5), Service: "s", Incarnation: 1, Capacity: placer.NewResources(16_000, 32_000, 0), Labels: []string{"k" + strconv.Itoa(n%3), "r" + strconv.Itoa(n/8)}}, 0)
		r.p.MarkWorkerStored(id)
	}
	return r
}

// after plans an event.
func (r *replay) after(d time.Duration, apply func()) {
	e := replayEvent{r.now + d, apply}
	i, _ := slices.BinarySearchFunc(r.events, e, func(a, b replayEvent) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	r.events = slices.Insert(r.events, i, e)
}

// run plays the load for d. pressure multiplies the arrivals.
func (r *replay) run(d time.Duration, pressure float64) {
	for end := r.now + d; r.now < end; r.now += replayTick {
		for len(r.events) > 0 && r.events[0].at <= r.now {
			e := r.events[0]
			r.events = r.events[1:]
			e.apply()
		}
		for i := range r.load {
			mean := r.load[i].jobs * r.scale * pressure * replayTick.Seconds()
			for n := r.poisson(mean); n > 0; n-- {
				r.submitJob(&r.load[i])
			}
		}
		r.reportEnds()
		var actions []Action
		r.decideIn(func() { actions = r.p.Decide(r.now, wall+r.now.Milliseconds()) })
		for _, a := range actions {
			r.apply(a)
		}
	}
}

func (r *replay) poisson(mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := r.random.Float64(); p > limit; p *= r.random.Float64() {
		n++
	}
	return n
}

func (r *replay) submitJob(l *queueLoad) {
	r.jobs++
	r.submitted[l.queue.Name]++
	id := fmt.Sprintf("%016x", r.jobs)
	vary := func(spread float64) float64 { return math.Exp(spread * r.random.NormFloat64()) }
	size := l.size.CPU() * int64(50+r.random.IntN(100)) / 100
	step := StepSpec{Tasks: max(1, min(240, int(l.tasks*vary(0.8)))), CPU: min(size, 15_000), Memory: l.size.Memory(), Estimate: int64(float64(l.runTime.Milliseconds()) * vary(0.5)), Gang: r.random.Float64() < l.gang}
	if r.declared > 0 {
		r.truths[id] = step.Estimate
		step.Estimate = max(1, int64(float64(step.Estimate)*vary(r.declared)))
	}
	spec := JobSpec{ID: id, Queue: l.queue.Name, Team: "t" + strconv.Itoa(r.random.IntN(replayTeams)), Payload: "p", Steps: []StepSpec{step}, AcceptedAt: wall + r.now.Milliseconds()}
	if _, err := r.p.Submit(spec, r.now); err != nil {
		r.refused++
		return
	}
	r.after(replayTick, func() { r.p.MarkStored(id) })
}

// reportEnds reports the ends of runs, worker by worker.
func (r *replay) reportEnds() {
	var ids []string
	for id := range r.ends {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r.p.HandleStatus(WorkerStatus{Worker: id, Incarnation: 1, Ended: r.ends[id]}, r.now)
		delete(r.ends, id)
	}
	for _, id := range r.p.TakeEnded() {
		r.p.MarkEndStored(id)
		r.lasts[id] = r.now
	}
}

func (r *replay) apply(a Action) {
	fmt.Fprintln(r.digest, r.now, a.Kind, a.Worker, a.Task, a.Number, a.Ticket, a.Step, a.Workers, a.Urgent)
	switch a.Kind {
	case Start:
		r.starts++
		s, _ := r.p.stepOf(a.Task)
		runTime := r.runTime(a, time.Duration(cmp.Or(r.truths[a.Job()], s.spec.Estimate))*time.Millisecond)
		r.order(a, runTime)
	case Stop:
		r.after(replayAnswer, func() { r.p.ReportStop(a, true, r.now) })
		r.after(replayAnswer, func() { r.end(a, Stopped) })
	case RequestAdvice:
		r.answerAdvice(a)
	}
}

// end lists the end of a run unless the run has ended before.
func (r *replay) end(a Action, result string) {
	if w := r.p.workers[a.Worker]; w.runs[runKey{a.Task, a.Number}] == nil {
		return
	}
	r.serials[a.Worker]++
	r.ends[a.Worker] = append(r.ends[a.Worker], EndEntry{r.serials[a.Worker], End{Task: a.Task, Number: a.Number, Result: result}})
}

// answerAdvice lets the idlest entry VM answer a request.
func (r *replay) answerAdvice(a Action) {
	vms := r.idleAt[r.urgentVMs:]
	if a.Urgent && r.urgentVMs > 0 {
		vms = r.idleAt[:r.urgentVMs]
	}
	best := 0
	for i := range vms {
		if vms[i] < vms[best] {
			best = i
		}
	}
	if vms[best]-r.now > replayBacklog {
		r.p.ReportAdviceSkipped(a, r.now)
		return
	}
	vms[best] = max(r.now, vms[best]) + a.Cost
	var l queueLoad
	for _, l = range r.load {
		if l.queue.Name == a.Queue {
			break
		}
	}
	tickets := map[string]string{}
	for _, id := range a.Workers {
		h := fnv.New64a()
		io.WriteString(h, a.Step+id)
		if float64(h.Sum64()%1000) < 1000*l.eligible {
			tickets[id] = "ticket"
		}
	}
	answeredAt := vms[best]
	r.after(answeredAt-r.now, func() {
		r.p.ReportAdvice(AdviceResult{Step: a.Step, Workers: a.Workers, Urgent: a.Urgent, Tickets: tickets, Until: answeredAt + l.queue.AdviceCost.TicketValidity})
	})
}

// TestReplayDecisions checks that a replay of the large deployment's load, at a quarter of
// its size and with a burst, leads to the decisions that it led to before. A change of the
// policy changes the digests; a change for speed must not.
func TestReplayDecisions(t *testing.T) {
	for seed, want := range []uint64{13894389110353540017, 18125848384422256504, 4502938729548104613} {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			digest := fnv.New64a()
			r := newReplay(t, largeLoad(), 275, 0.25, uint64(seed))
			r.digest = digest
			r.run(3*second, 1)
			r.run(3*second, 2)
			r.run(2*second, 1)
			t.Logf("%d jobs, %d refused, %d starts", r.jobs, r.refused, r.starts)
			r.Assert(digest.Sum64(), quicktest.Equals, want)
		})
	}
}

// BenchmarkDecide measures a decision under the load of the large deployment, after a
// burst that left a backlog, with more workers and as much more load.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{350, 1100, 2400} {
		benchmarkDecide(b, strconv.Itoa(workers), workers)
		benchmarkDecide(b, strconv.Itoa(workers)+" with learned run times", workers, WithLearnedRunTimes())
	}
}

func benchmarkDecide(b *testing.B, name string, workers int, options ...Option) {
	b.Run(name, func(b *testing.B) {
		r := newReplay(b, largeLoad(), workers, float64(workers)/1100, 1, options...)
		r.run(3*second, 1)
		r.run(3*second, 2)
		decisions := 0
		r.decideIn = func(decide func()) {
			b.StartTimer()
			decide()
			b.StopTimer()
			decisions++
		}
		b.ResetTimer()
		b.StopTimer()
		for range b.N {
			r.run(replayTick, 1.2)
		}
	})
}
