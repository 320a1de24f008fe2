package planner

import (
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

const (
	burstWorkers = 350
	burstVMs     = 25 // advice requests of other than urgent steps at a time
	burstUrgent  = 8  // the same of urgent steps
	burstSeeds   = 2
)

// contendedLoad is the load of 350 workers at which callers compete for too little capacity,
// with each step as a job of its own. spreads are the standard deviations of the logarithm of
// the run time as a multiple of the declared one.
func contendedLoad() (load []queueLoad, spreads map[string]float64) {
	return []queueLoad{
		{Queue{Name: "gang", Service: "s", Priority: 1, Attempts: 3, Stretch: 2.2, Objective: 2 * second, AdviceCost: &AdviceCost{455 * time.Millisecond, 6500 * time.Microsecond, 2 * second}}, 4.84 * 1.2, 14.5, placer.NewResources(4500, 4000, 0), 4 * second, 1, 0.3},
		{Queue{Name: "small", Service: "s", Priority: 2, Attempts: 4, Stretch: 4, Objective: 3 * second, AdviceCost: &AdviceCost{130 * time.Millisecond, 1820 * time.Microsecond, 2 * second}}, 8.09 * 1.5, 18, placer.NewResources(1700, 2000, 0), 2700 * time.Millisecond, 0, 0.45},
		{Queue{Name: "urgent", Service: "s", Priority: 0, Attempts: 2, Stretch: 1.5, Objective: 300 * time.Millisecond, AdviceCost: &AdviceCost{9200 * time.Microsecond, 130 * time.Microsecond, 2 * second}}, 113, 2.2, placer.NewResources(2500, 2000, 0), 640 * time.Millisecond, 0, 0.7},
	}, map[string]float64{"gang": 0.5, "small": 0.2, "urgent": 0.9}
}

// burst replays the seconds after a burst of urgent jobs.
type burst struct {
	*replay
	ends       map[runKey]time.Duration // by run
	free       float64                  // sum over ticks, of the free part of the fleet while work waits
	reserved   float64                  // the same, of the free part on reserved workers
	ticks      int                      // in which work waits
	backfilled int                      // starts on workers that are reserved for gangs
}

// newBurst returns a replay with that seed. A step's run times are off from the declared one by
// a factor of its own.
func newBurst(t testing.TB, seed uint64, on bool) *burst {
	load, spreads := contendedLoad()
	b := &burst{replay: newReplay(t, load, burstWorkers, 1, seed), ends: map[runKey]time.Duration{}}
	b.p.settings.backfill = on
	b.idleAt, b.urgentVMs = make([]time.Duration, burstUrgent+burstVMs), burstUrgent
	b.runTime = func(a Action, estimate time.Duration) time.Duration {
		s, _ := b.p.stepOf(a.Task)
		speed := []float64{0.8, 1, 1.25}[hash("", a.Worker)%3]
		factor := speed * math.Exp(spreads[a.Queue]*rand.New(rand.NewPCG(hash(s.name, ""), seed)).NormFloat64())
		if a.Backfill {
			b.backfilled++
		}
		runTime := time.Duration(float64(estimate.Milliseconds())*factor) * time.Millisecond
		b.ends[runKey{a.Task, a.Number}] = b.now + replayAnswer + runTime
		return runTime
	}
	b.decideIn = func(decide func()) {
		if b.now%(200*time.Millisecond) == 0 {
			b.reportProgress()
		}
		decide()
		b.observe()
	}
	return b
}

func hash(a, b string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, a+b)
	return h.Sum64()
}

// reportProgress lets the planner know of the progress of all runs, as lists of workers do.
func (b *burst) reportProgress() {
	for _, w := range b.p.fleet {
		for key, r := range w.runs {
			if length := b.ends[key] - r.decidedAt; r.phase == phaseRunning && length > 0 {
				r.progress, r.progressAt = int(100*(b.now-r.decidedAt)/length), b.now
			}
		}
	}
}

// observe counts what is free after a decision while work waits.
func (b *burst) observe() {
	if !slices.ContainsFunc(b.p.candidates(b.now), func(c candidate) bool { return c.rank != expiredRank }) {
		return
	}
	b.ticks++
	for _, w := range b.p.fleet {
		free := float64(w.free().CPU()) / float64(w.reg.Capacity.CPU()) / burstWorkers
		b.free += free
		if w.reservedFor != nil {
			b.reserved += free
		}
	}
}

// play plays a usual load, a burst of urgent jobs, and the half minute after it.
func (b *burst) play() {
	b.run(5*second, 1)
	b.free, b.reserved, b.ticks = 0, 0, 0
	usual := b.load[2].jobs
	b.load[2].jobs = 650
	b.run(4*second, 1)
	b.load[2].jobs = usual
	b.run(30*second, 1)
}

// inTime returns how many jobs of a queue were done within their objective, and how many were
// accepted.
func (b *burst) inTime(queue string) (inTime, accepted int) {
	for _, j := range b.p.jobs {
		if j.spec.Queue != queue {
			continue
		}
		accepted++
		if end, ended := b.lasts[j.spec.ID]; ended && j.finalState == Completed && end-j.acceptedAt <= j.objective() {
			inTime++
		}
	}
	return inTime, accepted
}

// TestFleetAfterBurst guards against a fleet that idles after a burst while gangs wait: without
// backfill, gangs reserve most of it. With backfill, no more than a tenth is reserved and idle,
// less is free, and no fewer gangs and small jobs are in time.
func TestFleetAfterBurst(t *testing.T) {
	var free [2]float64
	var gangs, small [2]int
	for seed := range uint64(burstSeeds) {
		for i, on := range []bool{false, true} {
			b := newBurst(t, seed, on)
			b.play()
			ticks := float64(b.ticks)
			g, acceptedGangs := b.inTime("gang")
			s, acceptedSmall := b.inTime("small")
			u, acceptedUrgent := b.inTime("urgent")
			t.Logf("seed %d, backfill %t: free %.3f, reserved and free %.3f, in time: %d of %d gangs, %d of %d small, %d of %d urgent; %d backfilled",
				seed, on, b.free/ticks, b.reserved/ticks, g, acceptedGangs, s, acceptedSmall, u, acceptedUrgent, b.backfilled)
			free[i] += b.free / ticks
			gangs[i] += g
			small[i] += s
			if on {
				b.Check(b.reserved/ticks <= 0.1, quicktest.IsTrue)
				b.Check(b.backfilled > 0, quicktest.IsTrue)
			}
		}
	}
	quicktest.Check(t, free[1] < free[0], quicktest.IsTrue)
	quicktest.Check(t, gangs[1] >= gangs[0], quicktest.IsTrue)
	quicktest.Check(t, small[1] >= small[0], quicktest.IsTrue)
}

// BenchmarkDecideAfterBurst measures a decision after a burst, with backfill and without.
func BenchmarkDecideAfterBurst(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(strconv.FormatBool(on), func(b *testing.B) {
			r := newBurst(b, 1, on)
			r.play()
			r.decideIn = func(decide func()) {
				b.StartTimer()
				decide()
				b.StopTimer()
			}
			b.ResetTimer()
			b.StopTimer()
			for range b.N {
				r.run(replayTick, 1)
			}
		})
	}
}
