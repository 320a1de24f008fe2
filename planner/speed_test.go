package planner

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"filberthaven.example/placer"
	"filberthaven.example/profiler"
	"github.com/frankban/quicktest"
)

// unevenLoad is the load of a deployment whose workers differ.
func unevenLoad() []queueLoad {
	return []queueLoad{
		{Queue{Name: "gangs", Service: "s", Priority: 1, Attempts: 3, Stretch: 2.2, Objective: second, AdviceCost: &AdviceCost{550 * time.Millisecond, 7800 * time.Microsecond, 2 * second}}, 3.6, 20, placer.NewResources(4500, 6500, 0), 5300 * time.Millisecond, 1, 0.3},
		{Queue{Name: "deferred", Service: "s", Priority: 2, Attempts: 4, Stretch: 4, Objective: 3 * second, AdviceCost: &AdviceCost{100 * time.Millisecond, 1400 * time.Microsecond, 2 * second}}, 11.8, 25, placer.NewResources(1700, 3700, 0), 2300 * time.Millisecond, 0, 0.45},
		{Queue{Name: "urgent", Service: "s", Priority: 0, Attempts: 2, Stretch: 1.5, Objective: second / 4, AdviceCost: &AdviceCost{7200 * time.Microsecond, 100 * time.Microsecond, 2 * second}}, 110, 3, placer.NewResources(2500, 3800, 0), 540 * time.Millisecond, 0, 0.7},
	}
}

// unevenReplay replays a quarter of unevenLoad on as many workers of given speeds.
type unevenReplay struct {
	*replay
	truth                *rand.Rand
	noise                float64             // spread of the run times of a step
	factor               func(n int) float64 // run time on worker n as a multiple of the usual
	jobs                 map[string]*unevenJob
	onFast, urgentStarts int
	begun                map[string]int // runs by worker
}

// unevenJob is a job of which a task was started.
type unevenJob struct {
	queue Queue
	usual time.Duration // run time of a task on a usual worker
	begun time.Duration // when it was accepted
}

func newUnevenReplay(t testing.TB, seed uint64, learn bool, factor func(n int) float64) *unevenReplay {
	u := &unevenReplay{replay: newReplay(t, unevenLoad(), 88, 0.25, seed), truth: rand.New(rand.NewPCG(seed, 2)), noise: 0.2, factor: factor, jobs: map[string]*unevenJob{}, begun: map[string]int{}}
	u.idleAt = u.idleAt[:9]
	u.runTime = u.runTimeOf
	if learn {
		u.p.speeds.profiler = profiler.New()
	}
	return u
}

// runTimeOf returns the run time of a run. Three tasks in a hundred take seven times as long.
func (u *unevenReplay) runTimeOf(a Action, _ time.Duration) time.Duration {
	j := u.jobs[a.Job()]
	if j == nil {
		j = &unevenJob{queue: u.p.queues[a.Queue], begun: u.p.jobs[a.Job()].acceptedAt}
		for _, l := range u.load {
			if l.queue.Name == a.Queue {
				j.usual = time.Duration(float64(l.runTime) * math.Exp(0.3*u.truth.NormFloat64()))
			}
		}
		u.jobs[a.Job()] = j
	}
	u.begun[a.Worker]++
	n, _ := strconv.Atoi(a.Worker[1:])
	factor := u.factor(n)
	if a.Queue == "urgent" {
		u.urgentStarts++
		if factor < 0.9 {
			u.onFast++
		}
	}
	runTime := float64(j.usual) * factor * math.Exp(u.noise*u.truth.NormFloat64())
	if u.truth.Float64() < 0.03 {
		runTime *= 7
	}
	return time.Duration(runTime)
}

// takeOver lets a new owner restore the state once all runs have ended.
func (u *unevenReplay) takeOver() {
	u.run(30*second, 0)
	state, err := u.p.Snapshot(u.now, wall+u.now.Milliseconds())
	u.Assert(err, quicktest.IsNil)
	old := u.p
	u.p = New(WithLearnedSpeeds(old.speeds.profiler != nil))
	u.Assert(u.p.Restore(state, nil, u.now, wall+u.now.Milliseconds(), u.now+time.Hour), quicktest.IsNil) // the replay renews no leases
	u.p.Configure(old.config, u.now)
	for _, w := range old.fleet {
		u.p.Register(w.reg, u.now)
		u.p.HandleStatus(WorkerStatus{Worker: w.reg.ID, Incarnation: 1, SentAt: u.now}, u.now)
	}
}

// inTime returns the fraction of the urgent jobs since then that have ended in time, and the
// fraction of their tasks that started on fast workers.
func (u *unevenReplay) inTime(since time.Duration) (inTime, onFast float64) {
	n := 0.0
	for id, j := range u.jobs {
		if j.queue.Priority > 0 || j.begun < since {
			continue
		}
		n++
		usual := j.usual + j.queue.AdviceCost.duration(typicalQueried)
		if last, ended := u.lasts[id]; ended && last-j.begun <= time.Duration(j.queue.Stretch*float64(usual))+j.queue.Objective {
			inTime++
		}
	}
	return inTime / n, float64(u.onFast) / float64(u.urgentStarts)
}

func quarterFast(n int) float64 { return []float64{0.55, 1.2, 1.2, 1.2}[n%4] }

func threeSpeeds(n int) float64 { return []float64{0.8, 1, 1.25}[n%3] }

// TestSpeedsOfEqualWorkers guards against decisions by noise: with equal workers, they have
// to be the same as without learned speeds.
func TestSpeedsOfEqualWorkers(t *testing.T) {
	for seed, noise := range []float64{0.15, 0.3, 0.3} {
		var digests [2]uint64
		for i := range digests {
			u := newUnevenReplay(t, uint64(seed), i == 1, func(int) float64 { return 1 })
			digest := fnv.New64a()
			u.noise, u.digest = noise, digest
			u.run(20*second, 1)
			digests[i] = digest.Sum64()
		}
		quicktest.Assert(t, digests[1], quicktest.Equals, digests[0])
	}
}

// speedSeeds is the number of seeds of TestSpeeds.
const speedSeeds = 4

// TestSpeeds guards against urgent work on slow workers while fast ones are free, also after a
// takeover, which loses the speeds.
func TestSpeeds(t *testing.T) {
	for name, factor := range map[string]func(int) float64{"quarter fast": quarterFast, "three speeds": threeSpeeds} {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeover %t", name, takeOver), func(t *testing.T) {
				var inTime, onFast [2]float64
				for i := range inTime {
					for seed := range uint64(speedSeeds) {
						u := newUnevenReplay(t, seed, i == 1, factor)
						u.run(20*second, 1)
						if takeOver {
							u.takeOver()
							u.run(15*second, 1)
						}
						since := u.now
						u.onFast, u.urgentStarts = 0, 0
						u.run(20*second, 1)
						in, on := u.inTime(since)
						inTime[i], onFast[i] = inTime[i]+in/speedSeeds, onFast[i]+on/speedSeeds
					}
				}
				t.Logf("in time %.3f, on fast workers %.3f", inTime, onFast)
				quicktest.Assert(t, onFast[1] >= 2*onFast[0], quicktest.IsTrue)
				quicktest.Assert(t, inTime[1] > inTime[0], quicktest.IsTrue)
			})
		}
	}
}

// TestChangedSpeed guards against a worker that takes urgent work long after it has become
// slow, or none long after it is as fast as the others again. Ten runs have to show it, besides
// those that have begun before. Gangs are left out: their runs tell nothing, and those with stragglers
// hold a slow worker for minutes.
func TestChangedSpeed(t *testing.T) {
	const seeds, limit = 4, 10
	slow, usual, earlier := 0, 0, 0
	for seed := range uint64(seeds) {
		changed := 1.0
		u := newUnevenReplay(t, seed, true, func(n int) float64 {
			if n == 3 {
				return 1.2 * changed
			}
			return quarterFast(n)
		})
		u.load = u.load[1:]
		u.run(30*second, 1)
		w := u.p.workers["w0003"]
		runsUntil := func(isReached func(profiler.Class) bool) int {
			before := w.speed.Runs()
			earlier += u.begun[w.reg.ID] - before
			for until := u.now + 60*second; !isReached(w.class()) && u.now < until; {
				u.run(replayTick, 1)
			}
			u.Assert(isReached(w.class()), quicktest.IsTrue)
			return w.speed.Runs() - before
		}
		changed = 5
		slow += runsUntil(func(c profiler.Class) bool { return c == profiler.Slow })
		u.run(6*second, 1)
		changed = 1
		usual += runsUntil(func(c profiler.Class) bool { return c != profiler.Slow })
	}
	t.Logf("slow after %d runs, usual after %d, of which %d have begun before; %d workers", slow, usual, earlier, seeds)
	quicktest.Assert(t, slow+usual <= 2*seeds*limit+earlier, quicktest.IsTrue)
}

// TestSpeedOfIncarnation guards against speeds learned from runs that tell nothing, and against a
// speed that outlives its incarnation.
func TestSpeedOfIncarnation(t *testing.T) {
	f := &fixture{C: quicktest.New(t), p: New(WithLearnedSpeeds(true)), now: second}
	f.p.Configure(Config{Version: 1, Queues: []Queue{{Name: "q", Service: "s", Stretch: 2, Objective: second}}}, 0)
	f.addWorker("w0")
	play := func(id string, change func(*StepSpec)) {
		step := newStep(2)
		change(&step)
		f.submit(id, step)
		var ends []EndEntry
		for i, a := range f.starts() {
			ends = append(ends, EndEntry{uint64(f.now) + uint64(i), End{Task: a.Task, Number: a.Number, Result: Done}})
		}
		f.now += second
		f.p.HandleStatus(WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: f.now, Ended: ends}, f.now)
	}
	play("gang", func(s *StepSpec) { s.Gang = true })
	f.Assert(f.p.workers["w0"].speed, quicktest.IsNil)
	play("step", func(*StepSpec) {})
	f.Assert(f.p.workers["w0"].speed.Runs(), quicktest.Equals, 2)
	f.p.ObserveAnswer("w0", 2, f.now, f.now+1)
	f.Assert(f.p.workers["w0"].speed, quicktest.IsNil)
}
