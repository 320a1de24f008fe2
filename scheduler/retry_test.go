package scheduler_test

import (
	"context"
	"testing"
	"time"

	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
	qt "github.com/frankban/quicktest"
)

// restartBusyWorkers restarts each worker that runs a task, as a task that crashes its
// workers would, and returns the number of restarts.
func restartBusyWorkers(s *clusterShard, d time.Duration) int {
	lost := 0
	for began := time.Now(); time.Since(began) < d; time.Sleep(time.Second) {
		for _, worker := range s.workers {
			if worker.Running() > 0 {
				worker.Restart()
				lost++
			}
		}
	}
	return lost
}

func TestLostTasks(t *testing.T) {
	run := func(name string, losing time.Duration, assert func(c *qt.C, lost int, state scheduler.State), options ...placer.JobOption) {
		t.Run(name, func(t *testing.T) {
			var lost int
			var status scheduler.Status
			var err error
			withCluster(t, func(cl *cluster, s *clusterShard) {
				cl.submitFullSize(s, "job", 1, time.Minute, options...)
				lost = restartBusyWorkers(s, losing)
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				status, err = s.newest().sched.Wait(ctx, cl.accepted()[0])
			})
			c := qt.New(t)
			c.Assert(err, qt.IsNil)
			assert(c, lost, status.State())
		})
	}
	run("an idempotent task is run again", 3*time.Second, func(c *qt.C, lost int, state scheduler.State) {
		c.Assert(lost >= 1, qt.IsTrue)
		c.Assert(state, qt.Equals, scheduler.Done)
	})
	run("an idempotent task that loses all its workers fails", 30*time.Minute, func(c *qt.C, lost int, state scheduler.State) {
		c.Assert(lost, qt.Equals, 8)
		c.Assert(state, qt.Equals, scheduler.Failed)
	})
	run("a non-idempotent task ends as unknown", 30*time.Minute, func(c *qt.C, lost int, state scheduler.State) {
		c.Assert(lost, qt.Equals, 1)
		c.Assert(state, qt.Equals, scheduler.Unknown)
	}, placer.WithNonIdempotent())
}
