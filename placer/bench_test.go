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
	tasksPerWorker  = 22 // 54,000 on 2,400
	teamsAtTwoYears = 590
)

// bench is a busy fleet of unlike workers with work of all classes.
type bench struct {
	placer  *placer.Placer
	random  *rand.Rand
	running []placer.TaskID
	teams   int
	jobs    int
	now     time.Time
}

func newBench(c *qt.C, workers, tasks, teams int) *bench {
	p, err := placer.New()
	c.Assert(err, qt.IsNil)
	for i := range workers {
		total := placer.NewResources(16_000, 64<<10, 0)
		if i%2 == 1 {
			total = placer.NewResources(32_000, 64<<10, 0)
		}
		p.SetWorker(placer.NewWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/8), total))
	}
	b := &bench{placer: p, random: rand.New(rand.NewPCG(1, 2)), teams: teams, now: begin}
	for b.placer.Pending()+b.placer.Running() < tasks {
		b.submit(c)
	}
	b.decide(1 << 20)
	return b
}

// submit adds one job; a fifth of the tasks belong to services.
func (b *bench) submit(c *qt.C) {
	b.jobs++
	size := placer.NewResources(100+b.random.Int64N(1400), 512+b.random.Int64N(3500), 0)
	options := []placer.JobOption{placer.WithTasks(1 + b.random.IntN(8)), placer.WithEstimate(time.Minute)}
	switch b.random.IntN(5) {
	case 0:
		options = append(options, placer.WithClass(placer.Service))
	case 1, 2:
		options = append(options, placer.WithClass(placer.Deferred), placer.WithDeadline(b.now.Add(time.Duration(b.random.IntN(300))*time.Minute)))
	}
	team := fmt.Sprintf("t%d", b.random.IntN(b.teams))
	c.Assert(b.placer.Submit(placer.NewJobSpec(fmt.Sprintf("j%d", b.jobs), team, size, options...)), qt.IsNil)
}

func (b *bench) decide(most int) int {
	decisions := b.placer.Decide(b.now, most)
	for _, d := range decisions {
		b.running = append(b.running, d.Task())
	}
	return len(decisions)
}

func (b *bench) finishOne(c *qt.C) {
	i := b.random.IntN(len(b.running))
	id := b.running[i]
	b.running[i] = b.running[len(b.running)-1]
	b.running = b.running[:len(b.running)-1]
	_, err := b.placer.Finish(id, placer.Preempted, b.now)
	c.Assert(err, qt.IsNil)
}

// BenchmarkDecide ends one task and decides once, for each operation.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{240, 2400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			benchDecide(b, workers, workers*tasksPerWorker, teamsAtTwoYears)
		})
		b.Run(fmt.Sprintf("workers=%d,backlog", workers), func(b *testing.B) {
			benchDecide(b, workers, 3*workers*tasksPerWorker, teamsAtTwoYears)
		})
		b.Run(fmt.Sprintf("workers=%d,backlog,teams=6", workers), func(b *testing.B) {
			benchDecide(b, workers, 3*workers*tasksPerWorker, 6)
		})
	}
}

func benchDecide(b *testing.B, workers, tasks, teams int) {
	c := qt.New(b)
	bench := newBench(c, workers, tasks, teams)
	times := hdrhistogram.New(1, int64(time.Minute), 3)
	placed := 0
	var spent time.Duration
	for b.Loop() {
		b.StopTimer()
		bench.now = bench.now.Add(time.Millisecond)
		bench.finishOne(c)
		b.StartTimer()
		from := time.Now()
		placed += bench.decide(1)
		took := time.Since(from)
		spent += took
		c.Assert(times.RecordValue(int64(took)), qt.IsNil)
	}
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-ns")
	b.ReportMetric(float64(times.Max()), "max-ns")
	b.ReportMetric(float64(placed)/spent.Seconds(), "placements/s")
	b.ReportMetric(float64(bench.placer.Running()), "running")
	b.ReportMetric(float64(bench.placer.Pending()), "pending")
}

// BenchmarkFill places tasks on an empty fleet in batches of 100.
func BenchmarkFill(b *testing.B) {
	for _, workers := range []int{240, 2400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			placed := 0
			for b.Loop() {
				b.StopTimer()
				bench := newBench(qt.New(b), 1, 1, teamsAtTwoYears)
				for i := 1; i < workers; i++ {
					bench.placer.SetWorker(placer.NewWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/8), vm))
				}
				for bench.placer.Pending() < workers*tasksPerWorker/2 {
					bench.submit(qt.New(b))
				}
				b.StartTimer()
				for {
					n := bench.decide(100)
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

// BenchmarkMemory reports the heap for a worker and for a running task.
func BenchmarkMemory(b *testing.B) {
	const workers = 2400
	c := qt.New(b)
	for b.Loop() {
		before := heap()
		p := fleet(c, workers)
		empty := heap()
		for i := range 54_000 / 4 {
			submit(c, p, fmt.Sprintf("j%d", i), fmt.Sprintf("t%d", i%teamsAtTwoYears), placer.NewResources(500, 1<<10, 0), placer.WithTasks(4))
		}
		p.Decide(begin, 1<<20)
		full := heap()
		b.ReportMetric(float64(empty-before)/workers, "B/worker")
		b.ReportMetric(float64(full-empty)/float64(p.Running()), "B/task")
		b.ReportMetric(float64(p.Running()), "running")
		runtime.KeepAlive(p)
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
