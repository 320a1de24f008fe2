package scheduler_test

import (
	"context"
	"testing"
	"time"

	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
	qt "github.com/frankban/quicktest"
)

// restartBusyWorkers restarts each worker that runs a task, every second for d, as a task
// that crashes its workers would. It returns the number of restarts.
func restartBusyWorkers(s *clusterShard, d time.Duration) int {
	restarts := 0
	for began := time.Now(); time.Since(began) < d; time.Sleep(time.Second) {
		for _, worker := range s.workers {
			if worker.Running() > 0 {
				worker.Restart()
				restarts++
			}
		}
	}
	return restarts
}

// TestLostTasks checks what becomes of a task whose runs are lost with their workers.
func TestLostTasks(t *testing.T) {
	run := func(name string, crashing time.Duration, assert func(c *qt.C, restarts int, state scheduler.State), options ...placer.JobOption) {
		t.Run(name, func(t *testing.T) {
			var restarts int
			var status scheduler.Status
			var err error
			withCluster(t, func(cl *cluster, s *clusterShard) {
				cl.submitFullSize(s, "job", 1, time.Minute, options...)
				restarts = restartBusyWorkers(s, crashing)
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				status, err = s.newest().sched.Wait(ctx, cl.accepted()[0])
			})
			c := qt.New(t)
			c.Assert(err, qt.IsNil)
			assert(c, restarts, status.State())
		})
	}
	run("an idempotent task is run again", 3*time.Second, func(c *qt.C, restarts int, state scheduler.State) {
		c.Assert(restarts >= 1, qt.IsTrue)
		c.Assert(state, qt.Equals, scheduler.Done)
	})
	run("an idempotent task fails when its eighth run is lost", 30*time.Minute, func(c *qt.C, restarts int, state scheduler.State) {
		c.Assert(restarts, qt.Equals, 8)
		c.Assert(state, qt.Equals, scheduler.Failed)
	})
	run("a non-idempotent task ends as unknown", 30*time.Minute, func(c *qt.C, restarts int, state scheduler.State) {
		c.Assert(restarts, qt.Equals, 1)
		c.Assert(state, qt.Equals, scheduler.Unknown)
	}, placer.WithNonIdempotent())
}

// TestLossesSurviveTakeover checks that a task that crashes its workers is given up although
// each loss is followed by a new owner.
func TestLossesSurviveTakeover(t *testing.T) {
	c := qt.New(t)
	restarts := 0
	withCluster(t, func(cl *cluster, s *clusterShard) {
		cl.submitFullSize(s, "job", 1, time.Minute)
		id := cl.accepted()[0]
		for range 20 * 60 {
			if status, err := cl.jobStatus(id); err == nil && status.State() == scheduler.Failed {
				return
			}
			if n := restartBusyWorkers(s, time.Second); n > 0 {
				restarts += n
				time.Sleep(2 * time.Second) // the loss is noticed and written
				s.newest().kill()
				cl.takeOver(s)
			}
		}
	})
	c.Assert(restarts, qt.Equals, 8)
}
