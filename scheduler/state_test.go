package scheduler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/emulator"
	"filberthaven.example/scheduler"
	qt "github.com/frankban/quicktest"
)

// TestQueuedUntilWorkerConfirms checks that a job is neither shown nor explained as running
// while its start order has not reached any worker.
func TestQueuedUntilWorkerConfirms(t *testing.T) {
	for name, check := range map[string]func(c *qt.C, cl *cluster, id string){
		"state": func(c *qt.C, cl *cluster, id string) {
			status, err := cl.jobStatus(id)
			c.Check(err, qt.IsNil)
			c.Check(status.State(), qt.Equals, scheduler.Queued)
			c.Check(status.Running(), qt.Equals, 0)
		},
		"explanation": func(c *qt.C, cl *cluster, id string) {
			text, err := cl.shards["a.0"].newest().sched.Explain(id)
			c.Check(err, qt.IsNil)
			c.Check(text, qt.Not(qt.Contains), "1 tasks run")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cl := newCluster(guards{}, func(dispatcher.Attempt) bool { return false })
				for _, name := range cl.shardNames {
					cl.takeOver(cl.shards[name])
				}
				time.Sleep(time.Second)
				s := cl.shards["a.0"]
				for _, worker := range s.workers {
					s.newest().partition(worker.ID(), true, false)
				}
				cl.submitFullSize(s, "job", 1, time.Minute)
				c.Check(s.busyWorker().Running(), qt.Equals, 0)
				c.Check(cl.accepted(), qt.HasLen, 1)
				for _, id := range cl.accepted() {
					check(c, cl, id)
				}
				cl.heal()
				cl.stop()
			})
		})
	}
}

// checkJob checks what callers see of the only job with that name, and returns its
// explanation.
func (cl *cluster) checkJob(c *qt.C, name string, state scheduler.State, running int) string {
	c.Helper()
	for _, id := range cl.accepted() {
		if cl.jobs[id].Name() != name {
			continue
		}
		status, err := cl.jobStatus(id)
		c.Check(err, qt.IsNil)
		c.Check(status.State(), qt.Equals, state)
		c.Check(status.Running(), qt.Equals, running)
		text, err := cl.shards["a.0"].newest().sched.Explain(id)
		c.Check(err, qt.IsNil)
		return text
	}
	c.Errorf("job %s isn't known", name)
	return ""
}

// TestRunningOnceConfirmed checks that a job is queued while the confirmation of its start
// is lost, although its task runs, and running once its worker reports it.
func TestRunningOnceConfirmed(t *testing.T) {
	withCluster(t, func(cl *cluster, s *clusterShard) {
		c := qt.New(t)
		// Between two heartbeats the workers still accept a start.
		time.Sleep(scheduler.DefaultHeartbeat / 2)
		for _, worker := range s.workers {
			s.newest().partition(worker.ID(), false, true)
		}
		cl.submitFullSize(s, "job", 1, time.Minute)
		c.Assert(s.busyWorker().Running(), qt.Equals, 1)
		c.Check(cl.checkJob(c, "job", scheduler.Queued, 0), qt.Equals, "0 tasks run; 1 more are assigned to workers that have not confirmed the start yet.")
		for _, worker := range s.workers {
			s.newest().partition(worker.ID(), false, false)
		}
		time.Sleep(2 * time.Second)
		c.Check(cl.checkJob(c, "job", scheduler.Running, 1), qt.Equals, "Nothing waits: 1 tasks run.")
	})
}

// TestQueuedUntilCancelStored checks that a job that never ran is not shown as running while
// its cancellation is being persisted, and that one that ran is, until its end is persisted.
func TestQueuedUntilCancelStored(t *testing.T) {
	withCluster(t, func(cl *cluster, s *clusterShard) {
		c := qt.New(t)
		cl.submitFullSize(s, "filler", workersPerShard, time.Minute)
		cl.submitFullSize(s, "job", 1, time.Minute)
		s.newest().client.SetFaults(emulator.Down())
		for _, id := range cl.accepted() {
			cl.calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_ = s.newest().sched.Cancel(ctx, id)
			})
		}
		time.Sleep(time.Second)
		c.Assert(s.busyWorker().Running(), qt.Equals, 0)
		const explanation = "The end of the job is being written to the journal."
		c.Check(cl.checkJob(c, "job", scheduler.Queued, 0), qt.Equals, explanation)
		c.Check(cl.checkJob(c, "filler", scheduler.Running, 0), qt.Equals, explanation)
		cl.heal()
		time.Sleep(fillerTime)
		c.Check(cl.checkJob(c, "job", scheduler.Cancelled, 0), qt.Equals, "The job is cancelled.")
		c.Check(cl.checkJob(c, "filler", scheduler.Cancelled, 0), qt.Equals, "The job is cancelled.")
	})
}

// TestStateAfterTakeover checks what callers see of a journaled start while the new owner
// does not reach its worker: a run that was confirmed to the previous owner stays running,
// and one that was not is queued.
func TestStateAfterTakeover(t *testing.T) {
	for name, test := range map[string]struct {
		reached bool
		state   scheduler.State
		running int
	}{
		"begun":         {true, scheduler.Running, 1},
		"not confirmed": {false, scheduler.Queued, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(cl *cluster, s *clusterShard) {
				c := qt.New(t)
				time.Sleep(scheduler.DefaultHeartbeat / 2)
				for _, worker := range s.workers {
					s.newest().partition(worker.ID(), false, !test.reached)
				}
				cl.submitFullSize(s, "job", 1, time.Minute)
				c.Assert(s.busyWorker().Running(), qt.Equals, 1)
				cl.checkJob(c, "job", test.state, test.running)
				s.unreachable = s.busyWorker().ID()
				s.newest().kill()
				cl.takeOver(s)
				time.Sleep(time.Second)
				cl.checkJob(c, "job", test.state, test.running)
				time.Sleep(3 * fillerTime)
				cl.checkJob(c, "job", scheduler.Running, 1)
			})
		})
	}
}

// checkUsage checks the usage that the owner reports of the team "free".
func (o *owner) checkUsage(c *qt.C, running, pending int, cpu int64) {
	c.Helper()
	for _, usage := range o.lastUsage() {
		if usage.Team() == "free" {
			c.Check(usage.RunningTasks(), qt.Equals, running)
			c.Check(usage.PendingTasks(), qt.Equals, pending)
			c.Check(usage.Used().CPU(), qt.Equals, cpu)
			return
		}
	}
	c.Errorf("no usage of the team")
}

// TestUsageOfStarts checks that a task counts as pending in its team's usage until its
// worker has confirmed the start, after a takeover too, and that it has its resources from
// the decision on.
func TestUsageOfStarts(t *testing.T) {
	withCluster(t, func(cl *cluster, s *clusterShard) {
		c := qt.New(t)
		for _, worker := range s.workers {
			s.newest().partition(worker.ID(), true, false)
		}
		cl.submitFullSize(s, "job", 2, time.Minute)
		time.Sleep(time.Second)
		s.newest().checkUsage(c, 0, 2, 2*workerCPU)
		for _, worker := range s.workers {
			s.newest().partition(worker.ID(), false, false)
		}
		time.Sleep(4 * time.Second)
		s.newest().checkUsage(c, 2, 0, 2*workerCPU)
		s.newest().kill()
		cl.takeOver(s)
		time.Sleep(4 * time.Second)
		s.newest().checkUsage(c, 2, 0, 2*workerCPU)
		time.Sleep(time.Minute)
		s.newest().checkUsage(c, 0, 0, 0)
	})
}
