package placer_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"filberthaven.example/placer"
	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
)

const (
	tasksPerWorker = 22  // mean in two years, 54,000 tasks on 2,400 workers, rounded down
	expectedTeams  = 590 // teams in two years
)

// fixture is a busy fleet of two sizes of workers, with services, deferred and best-effort
// work.
type fixture struct {
	placer  *placer.Placer
	random  *rand.Rand
	running []placer.TaskID
	teams   int // number of teams that submit jobs
	jobs    int // number of jobs submitted
	now     time.Time
}

// newFixture returns a fixture with at least the given number of tasks, waiting or running.
func newFixture(c *qt.C, workers, tasks, teams int) *fixture {
	p, err := placer.New()
	c.Assert(err, qt.IsNil)
	for i := range workers {
		total := placer.NewResources(16_000, 64<<10, 0)
		if i%2 == 1 {
			total = placer.NewResources(32_000, 64<<10, 0)
		}
		p.SetWorker(placer.NewWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/8), total))
	}
	f := &fixture{placer: p, random: rand.New(rand.NewPCG(1, 2)), teams: teams, now: begin}
	for f.placer.Pending()+f.placer.Running() < tasks {
		f.submit(c)
	}
	f.decide(1 << 20)
	return f
}

// submit adds a random job. A fifth of the jobs are services.
func (f *fixture) submit(c *qt.C) {
	f.jobs++
	size := placer.NewResources(100+f.random.Int64N(1400), 512+f.random.Int64N(3500), 0)
	options := []placer.JobOption{placer.WithTasks(1 + f.random.IntN(8)), placer.WithEstimate(time.Minute)}
	switch f.random.IntN(5) {
	case 0:
		options = append(options, placer.WithClass(placer.Service))
	case 1, 2:
		options = append(options, placer.WithClass(placer.Deferred), placer.WithDeadline(f.now.Add(time.Duration(f.random.IntN(300))*time.Minute)))
	}
	team := fmt.Sprintf("t%d", f.random.IntN(f.teams))
	c.Assert(f.placer.Submit(placer.NewJobSpec(fmt.Sprintf("j%d", f.jobs), team, size, options...)), qt.IsNil)
}

// decide runs one scheduling cycle and returns the number of decisions. It assumes that
// all of them are starts.
func (f *fixture) decide(limit int) int {
	decisions := f.placer.Decide(f.now, limit)
	for _, d := range decisions {
		f.running = append(f.running, d.Task())
	}
	return len(decisions)
}

// finishOne ends a random running task as preempted, so that it waits again.
func (f *fixture) finishOne(c *qt.C) {
	i := f.random.IntN(len(f.running))
	id := f.running[i]
	f.running[i] = f.running[len(f.running)-1]
	f.running = f.running[:len(f.running)-1]
	_, err := f.placer.Finish(id, placer.Preempted, f.now)
	c.Assert(err, qt.IsNil)
}

// BenchmarkDecide measures a call of Decide after a task has ended. The cases with a
// backlog have three times as many tasks as the others.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{240, 2400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			benchDecide(b, workers, workers*tasksPerWorker, expectedTeams)
		})
		b.Run(fmt.Sprintf("workers=%d,backlog", workers), func(b *testing.B) {
			benchDecide(b, workers, 3*workers*tasksPerWorker, expectedTeams)
		})
		b.Run(fmt.Sprintf("workers=%d,backlog,teams=6", workers), func(b *testing.B) {
			benchDecide(b, workers, 3*workers*tasksPerWorker, 6)
		})
	}
}

func benchDecide(b *testing.B, workers, tasks, teams int) {
	c := qt.New(b)
	f := newFixture(c, workers, tasks, teams)
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	placed := 0
	var spent time.Duration
	for b.Loop() {
		b.StopTimer()
		f.now = f.now.Add(time.Millisecond)
		f.finishOne(c)
		b.StartTimer()
		start := time.Now()
		placed += f.decide(1)
		elapsed := time.Since(start)
		spent += elapsed
		c.Assert(latencies.RecordValue(int64(elapsed)), qt.IsNil)
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-ns")
	b.ReportMetric(float64(latencies.Max()), "max-ns")
	b.ReportMetric(float64(placed)/spent.Seconds(), "placements/s")
	b.ReportMetric(float64(f.placer.Running()), "running")
	b.ReportMetric(float64(f.placer.Pending()), "pending")
}

// BenchmarkFill measures placing tasks on an empty fleet in batches of 100.
func BenchmarkFill(b *testing.B) {
	for _, workers := range []int{240, 2400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			placed := 0
			for b.Loop() {
				b.StopTimer()
				f := newFixture(qt.New(b), 1, 1, expectedTeams)
				for i := 1; i < workers; i++ {
					f.placer.SetWorker(placer.NewWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/8), workerSize))
				}
				for f.placer.Pending() < workers*tasksPerWorker/2 {
					f.submit(qt.New(b))
				}
				b.StartTimer()
				for {
					n := f.decide(100)
					placed += n
					if n < 100 {
						break
					}
				}
			}
			b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "placements/s")
		})
	}
}

// BenchmarkMemory reports the heap bytes used for each worker and each running task.
func BenchmarkMemory(b *testing.B) {
	const workers = 2400
	c := qt.New(b)
	for b.Loop() {
		before := heapBytes()
		p := fleet(c, workers)
		empty := heapBytes()
		for i := range 54_000 / 4 {
			submit(c, p, fmt.Sprintf("j%d", i), fmt.Sprintf("t%d", i%expectedTeams), placer.NewResources(500, 1<<10, 0), placer.WithTasks(4))
		}
		p.Decide(begin, 1<<20)
		full := heapBytes()
		b.ReportMetric(float64(empty-before)/workers, "B/worker")
		b.ReportMetric(float64(full-empty)/float64(p.Running()), "B/task")
		b.ReportMetric(float64(p.Running()), "running")
		runtime.KeepAlive(p)
	}
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
