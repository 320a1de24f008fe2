package scheduler_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/emulator"
	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
	qt "github.com/frankban/quicktest"
)

const (
	// firstStartTarget is the maximum time from the death of an owner to the first
	// start by its successor, including electionTime.
	firstStartTarget = 5 * time.Second
	// electionTime is the part of firstStartTarget for the election of the successor,
	// which these tests leave out.
	electionTime = 3 * time.Second
	// handOverTarget is the maximum time from a planned stop to that first start.
	handOverTarget = time.Second
	// outage is how long the key-value service is down.
	outage = time.Minute
)

// withCluster runs f on a cluster whose shards have owners, in a synctest bubble.
func withCluster(t *testing.T, f func(cl *cluster, s *clusterShard)) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(guards{}, func(dispatcher.Attempt) bool { return false })
		for _, name := range cl.shardNames {
			cl.takeOver(cl.shards[name])
		}
		time.Sleep(time.Second)
		f(cl, cl.shards["a.0"])
		cl.heal()
		cl.stop()
	})
}

// nextStart returns the simulated time until another task starts.
func (cl *cluster) nextStart() time.Duration {
	began, before := time.Now(), cl.checker.Starts()
	for cl.checker.Starts() == before && time.Since(began) < time.Minute {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// submitShortTasks submits a job of many short tasks, so that some wait at any time.
func (cl *cluster) submitShortTasks(s *clusterShard) {
	cl.submitFullSize(s, "waiting", 1000*workersPerShard, 10*time.Millisecond)
}

// TestFirstStart checks how soon a task starts after the owner has stopped or paused.
func TestFirstStart(t *testing.T) {
	measure := func(name string, limit time.Duration, change func(cl *cluster, s *clusterShard)) {
		t.Run(name, func(t *testing.T) {
			var elapsed time.Duration
			withCluster(t, func(cl *cluster, s *clusterShard) {
				cl.submitShortTasks(s)
				change(cl, s)
				elapsed = cl.nextStart()
			})
			c := qt.New(t)
			c.Logf("first start after %s of simulated time", elapsed)
			c.Assert(elapsed <= limit, qt.IsTrue, qt.Commentf("%s", elapsed))
		})
	}
	measure("after a kill, known jobs", firstStartTarget-electionTime, func(cl *cluster, s *clusterShard) {
		s.newest().kill()
		cl.takeOver(s)
	})
	measure("after a kill, a new job", firstStartTarget-electionTime, func(cl *cluster, s *clusterShard) {
		time.Sleep(time.Minute)
		s.newest().kill()
		cl.takeOver(s)
		<-s.newest().sched.Ready()
		cl.submit(s, placer.NewJobSpec("new", "free", placer.NewResources(1000, 1024, 0)), "")
	})
	measure("after a hand-over", handOverTarget, func(cl *cluster, s *clusterShard) {
		if err := s.newest().sched.Close(context.Background()); err != nil {
			panic(err)
		}
		cl.takeOver(s)
	})
	measure("after a pause longer than leases", firstStartTarget, func(_ *cluster, s *clusterShard) {
		s.newest().pause()
		time.Sleep(2 * scheduler.DefaultLease)
		s.newest().resume()
	})
}

// TestOutage checks that during an outage of the key-value service at least 90% as many
// idempotent tasks start as in normal service.
func TestOutage(t *testing.T) {
	run := func(down bool) (starts int) {
		withCluster(t, func(cl *cluster, s *clusterShard) {
			cl.submit(s, placer.NewJobSpec("work", "free", placer.NewResources(1000, 1024, 0),
				placer.WithName("work"), placer.WithTasks(600), placer.WithEstimate(2*time.Second)), "")
			time.Sleep(time.Second)
			if down {
				cl.store.SetFaults(emulator.Down())
			}
			before := cl.checker.Starts()
			time.Sleep(outage)
			starts = cl.checker.Starts() - before
			cl.store.SetFaults()
		})
		return starts
	}
	c := qt.New(t)
	normal, duringOutage := run(false), run(true)
	c.Logf("starts in a minute: %d with the service, %d without (%.0f%%)", normal, duringOutage, 100*float64(duringOutage)/float64(normal))
	c.Assert(10*duringOutage >= 9*normal, qt.IsTrue)
}

// TestCalls logs how many calls to the key-value service jobs at a steady rate cause, and
// checks that all jobs start.
func TestCalls(t *testing.T) {
	for _, rate := range []int{5, 50} {
		t.Run(fmt.Sprintf("%d jobs a second", rate), func(t *testing.T) {
			const seconds = 60
			var counts emulator.Counts
			var starts int
			withCluster(t, func(cl *cluster, s *clusterShard) {
				client := s.newest().client
				before := client.Counts()
				for range seconds * rate {
					cl.submit(s, placer.NewJobSpec("job", "free", placer.NewResources(100, 10, 0), placer.WithEstimate(time.Second)), "")
					time.Sleep(time.Second / time.Duration(rate))
				}
				time.Sleep(time.Second)
				counts = client.Counts().Sub(before)
				starts = cl.checker.Starts()
			})
			c := qt.New(t)
			writes, jobs := float64(counts.Writes()), seconds*rate
			c.Logf("writes a second %.1f, for each job with its start and end %.2f; reads a second %.2f",
				writes/seconds, writes/float64(jobs), float64(counts.Reads())/seconds)
			c.Assert(starts, qt.Equals, jobs)
		})
	}
}

// heapInUse returns the bytes of live heap after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// instantJournal returns a journal that accepts each record at once and keeps none.
func instantJournal() scheduler.Journal {
	return scheduler.Journal{
		Open:    func(context.Context, uint64) ([]byte, [][]byte, error) { return nil, nil, nil },
		Enqueue: func(_ []byte, _ bool, done func(error)) { done(nil) },
	}
}

// benchOwner returns a running owner with fake workers and a journal that keeps nothing.
func benchOwner(b *testing.B, workers int) *scheduler.Scheduler {
	checker := emulator.NewInvariantChecker()
	byID := map[string]*emulator.Worker{}
	list := make([]placer.Worker, 0, workers)
	for i := range workers {
		worker := emulator.NewWorker(fmt.Sprintf("w%d", i), placer.NewResources(32000, 65536, 0), emulator.WithInvariantChecker(checker))
		byID[worker.ID()] = worker
		list = append(list, placer.NewWorker(worker.ID(), "rack", worker.Capacity()))
		b.Cleanup(worker.Close)
	}
	deliver := func(ctx context.Context, id string, batch dispatcher.Batch) (dispatcher.Response, error) {
		return byID[id].Deliver(ctx, batch)
	}
	s, err := scheduler.New("a.0", 1, scheduler.WithJournal(instantJournal()),
		scheduler.WithDispatcher(dispatcher.New(dispatcher.WithTransport(deliver))))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
	<-s.Ready()
	s.SetWorkers(list)
	return s
}

// BenchmarkSubmit submits jobs that stay pending, and reports the memory of each.
func BenchmarkSubmit(b *testing.B) {
	s := benchOwner(b, 0)
	before := heapInUse()
	n := 0
	for b.Loop() {
		n++
		spec := placer.NewJobSpec("", "team", placer.NewResources(1000, 1024, 0), placer.WithName("work"))
		if _, err := s.Submit(b.Context(), spec, fmt.Sprintf("request%d", n)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapInUse()-before)/float64(n), "heap-B/job")
	runtime.KeepAlive(s)
}

// BenchmarkRunning reports the memory of each running task, at the owner and the fake
// workers together.
func BenchmarkRunning(b *testing.B) {
	const tasks = 2250
	for b.Loop() {
		s := benchOwner(b, 100)
		before := heapInUse()
		spec := placer.NewJobSpec("", "team", placer.NewResources(1000, 1024, 0),
			placer.WithName("work"), placer.WithTasks(tasks), placer.WithEstimate(time.Hour))
		receipt, err := s.Submit(b.Context(), spec, "")
		if err != nil {
			b.Fatal(err)
		}
		for {
			status, err := s.Job(receipt.JobID())
			if err != nil {
				b.Fatal(err)
			}
			if status.Running() == tasks {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		b.ReportMetric(float64(heapInUse()-before)/tasks, "heap-B/task")
		runtime.KeepAlive(s)
	}
}

// BenchmarkCancelWave cancels pending jobs of 1,000 tasks, one by one.
func BenchmarkCancelWave(b *testing.B) {
	s := benchOwner(b, 0)
	for b.Loop() {
		b.StopTimer()
		spec := placer.NewJobSpec("", "team", placer.NewResources(1000, 1024, 0), placer.WithName("work"), placer.WithTasks(1000))
		receipt, err := s.Submit(b.Context(), spec, "")
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		if err := s.Cancel(b.Context(), receipt.JobID()); err != nil {
			b.Fatal(err)
		}
	}
}
