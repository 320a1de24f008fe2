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
	// firstStartTarget is the longest time from an owner's death to the first
	// start of its successor, of which electionTime is to notice the death.
	firstStartTarget = 5 * time.Second
	electionTime     = 3 * time.Second
	handOverTarget   = time.Second
	outage           = time.Minute
)

// inWorld runs f in a world whose shards have owners.
func inWorld(t *testing.T, f func(w *world, s *shardWorld)) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(guards{}, func(dispatcher.Attempt) bool { return false })
		for _, name := range w.names {
			w.takeOver(w.shards[name])
		}
		time.Sleep(time.Second)
		f(w, w.shards["a.0"])
		w.heal()
		w.stop()
	})
}

// nextStart returns the simulated time until another task starts.
func (w *world) nextStart() time.Duration {
	began, before := time.Now(), w.witness.Starts()
	for w.witness.Starts() == before && time.Since(began) < time.Minute {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// queue leaves a long job of short tasks, so that some are due at any time.
func (w *world) queue(s *shardWorld) {
	w.one(s, "waiting", 1000*workersPerShard, 10*time.Millisecond)
}

func TestFirstStart(t *testing.T) {
	measure := func(name string, limit time.Duration, change func(w *world, s *shardWorld)) {
		t.Run(name, func(t *testing.T) {
			var elapsed time.Duration
			inWorld(t, func(w *world, s *shardWorld) {
				w.queue(s)
				change(w, s)
				elapsed = w.nextStart()
			})
			c := qt.New(t)
			c.Logf("first start after %s of simulated time", elapsed)
			c.Assert(elapsed <= limit, qt.IsTrue, qt.Commentf("%s", elapsed))
		})
	}
	measure("after a kill, known jobs", firstStartTarget-electionTime, func(w *world, s *shardWorld) {
		s.newest().kill()
		w.takeOver(s)
	})
	measure("after a kill, a new job", firstStartTarget-electionTime, func(w *world, s *shardWorld) {
		time.Sleep(time.Minute)
		s.newest().kill()
		w.takeOver(s)
		<-s.newest().sched.Ready()
		w.submit(s, placer.NewJobSpec("new", "free", placer.NewResources(1000, 1024, 0)), "")
	})
	measure("after a hand-over", handOverTarget, func(w *world, s *shardWorld) {
		if err := s.newest().sched.Close(context.Background()); err != nil {
			panic(err)
		}
		w.takeOver(s)
	})
	measure("after a pause longer than leases", firstStartTarget, func(_ *world, s *shardWorld) {
		s.newest().pause()
		time.Sleep(2 * scheduler.DefaultLease)
		s.newest().resume()
	})
}

// TestOutage counts the work that goes on while the service is down, against the
// same minute with it.
func TestOutage(t *testing.T) {
	run := func(down bool) (done int) {
		inWorld(t, func(w *world, s *shardWorld) {
			w.submit(s, placer.NewJobSpec("work", "free", placer.NewResources(1000, 1024, 0),
				placer.WithName("work"), placer.WithTasks(600), placer.WithEstimate(2*time.Second)), "")
			time.Sleep(time.Second)
			if down {
				w.store.SetFaults(emulator.Down())
			}
			before := w.witness.Starts()
			time.Sleep(outage)
			done = w.witness.Starts() - before
			w.store.SetFaults()
		})
		return done
	}
	c := qt.New(t)
	with, without := run(false), run(true)
	c.Logf("starts in a minute: %d with the service, %d without (%.0f%%)", with, without, 100*float64(without)/float64(with))
	c.Assert(10*without >= 9*with, qt.IsTrue)
}

// TestCalls counts the calls to the service for jobs that come at a steady rate.
func TestCalls(t *testing.T) {
	for _, rate := range []int{5, 50} {
		t.Run(fmt.Sprintf("%d jobs a second", rate), func(t *testing.T) {
			const seconds = 60
			var counts emulator.Counts
			var starts int
			inWorld(t, func(w *world, s *shardWorld) {
				client := s.newest().client
				before := client.Counts()
				for range seconds * rate {
					w.submit(s, placer.NewJobSpec("job", "free", placer.NewResources(100, 10, 0), placer.WithEstimate(time.Second)), "")
					time.Sleep(time.Second / time.Duration(rate))
				}
				time.Sleep(time.Second)
				counts = client.Counts().Sub(before)
				starts = w.witness.Starts()
			})
			c := qt.New(t)
			writes, jobs := float64(counts.Writes()), seconds*rate
			c.Logf("writes a second %.1f, for each job with its start and end %.2f; reads a second %.2f",
				writes/seconds, writes/float64(jobs), float64(counts.Reads())/seconds)
			c.Assert(starts, qt.Equals, jobs)
		})
	}
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// instant is a journal that holds all records at once.
func instant() scheduler.Journal {
	return scheduler.Journal{
		Open:    func(context.Context, uint64) ([]byte, [][]byte, error) { return nil, nil, nil },
		Enqueue: func(_ []byte, _ bool, done func(error)) { done(nil) },
	}
}

// benchOwner returns a running owner of workers that take all starts.
func benchOwner(b *testing.B, workers int) *scheduler.Scheduler {
	witness := emulator.NewWitness()
	byID := map[string]*emulator.Worker{}
	list := make([]placer.Worker, 0, workers)
	for i := range workers {
		worker := emulator.NewWorker(fmt.Sprintf("w%d", i), placer.NewResources(32000, 65536, 0), emulator.WithWitness(witness))
		byID[worker.ID()] = worker
		list = append(list, placer.NewWorker(worker.ID(), "rack", worker.Capacity()))
		b.Cleanup(worker.Close)
	}
	deliver := func(ctx context.Context, id string, batch dispatcher.Batch) (dispatcher.Response, error) {
		return byID[id].Deliver(ctx, batch)
	}
	s, err := scheduler.New("a.0", 1, scheduler.WithJournal(instant()),
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

// BenchmarkSubmit accepts jobs that wait, and reports the memory of each.
func BenchmarkSubmit(b *testing.B) {
	s := benchOwner(b, 0)
	before := heap()
	n := 0
	for b.Loop() {
		n++
		spec := placer.NewJobSpec("", "team", placer.NewResources(1000, 1024, 0), placer.WithName("work"))
		if _, err := s.Submit(b.Context(), spec, fmt.Sprintf("request%d", n)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heap()-before)/float64(n), "heap-B/job")
	runtime.KeepAlive(s)
}

// BenchmarkRunning reports the memory of each running task at the owner, with
// that of the stand-in workers.
func BenchmarkRunning(b *testing.B) {
	const tasks = 2250
	for b.Loop() {
		s := benchOwner(b, 100)
		before := heap()
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
		b.ReportMetric(float64(heap()-before)/tasks, "heap-B/task")
		runtime.KeepAlive(s)
	}
}

// BenchmarkCancelWave cancels waiting jobs, one of many tasks each.
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
