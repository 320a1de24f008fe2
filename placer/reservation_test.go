package placer_test

import (
	"testing"
	"time"

	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

// TestLostReservation checks that a gang starts elsewhere after a worker with one of its
// reservations is drained.
func TestLostReservation(t *testing.T) {
	c := qt.New(t)
	p := fleet(c, 3)
	for _, id := range []string{"a", "b", "c"} {
		submit(c, p, id, "north", cores(16))
	}
	running := assertStarts(c, p.Decide(begin, 10))
	c.Assert(running, qt.HasLen, 3)
	submit(c, p, "gang", "south", cores(16), placer.WithTasks(3), placer.WithGang(), placer.WithClass(placer.Deferred))
	for second := range 600 {
		c.Assert(assertStarts(c, p.Decide(begin.Add(time.Duration(second)*time.Second), 10)), qt.HasLen, 0)
	}
	now := begin.Add(10 * time.Minute)
	p.SetWorker(placer.NewWorker("w0", "r0", cores(16), placer.WithState(placer.Draining)))
	p.SetWorker(placer.NewWorker("w9", "r0", cores(16)))
	for task := range running {
		finish(c, p, task, placer.Succeeded, now)
	}
	started := map[placer.TaskID]string{}
	for second := range 60 {
		for task, worker := range assertStarts(c, p.Decide(now.Add(time.Duration(second)*time.Second), 10)) {
			started[task] = worker
		}
	}
	c.Assert(started, qt.HasLen, 3)
	for _, worker := range started {
		c.Assert(worker, qt.Not(qt.Equals), "w0")
	}
}
