package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/dispatcher"
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
