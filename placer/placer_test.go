package placer_test

import (
	"fmt"
	"testing"
	"time"

	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

var begin = time.Date(2027, 9, 1, 18, 0, 0, 0, time.UTC)

// workerSize is the size of a worker in the Essiccatoi deployment.
var workerSize = placer.NewResources(16_000, 64<<10, 0)

// cores returns n processors with n GiB of memory.
func cores(n int64) placer.Resources { return placer.NewResources(n*1000, n<<10, 0) }

// fleet returns a placer with workers w0, w1, ... of workerSize, eight to a rack.
func fleet(c *qt.C, workers int, options ...placer.Option) *placer.Placer {
	p, err := placer.New(options...)
	c.Assert(err, qt.IsNil)
	for i := range workers {
		p.SetWorker(placer.NewWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/8), workerSize))
	}
	return p
}

func submit(c *qt.C, p *placer.Placer, id, team string, size placer.Resources, options ...placer.JobOption) {
	c.Helper()
	c.Assert(p.Submit(placer.NewJobSpec(id, team, size, options...)), qt.IsNil)
}

// assertStarts checks that all decisions are starts and returns their workers by task.
func assertStarts(c *qt.C, decisions []placer.Decision) map[placer.TaskID]string {
	c.Helper()
	workers := map[placer.TaskID]string{}
	for _, d := range decisions {
		c.Assert(d.Kind(), qt.Equals, placer.Start)
		c.Assert(d.Reason(), qt.Not(qt.Equals), "")
		workers[d.Task()] = d.Worker()
	}
	return workers
}

func finish(c *qt.C, p *placer.Placer, id placer.TaskID, outcome placer.Outcome, now time.Time) placer.FinishResult {
	c.Helper()
	result, err := p.Finish(id, outcome, now)
	c.Assert(err, qt.IsNil)
	return result
}

func TestDecide(t *testing.T) {
	c := qt.New(t)
	c.Run("fills one worker before the next", func(c *qt.C) {
		p := fleet(c, 4)
		submit(c, p, "a", "north", cores(4), placer.WithTasks(4))
		started := assertStarts(c, p.Decide(begin, 100))
		c.Assert(started, qt.HasLen, 4)
		c.Assert(p.IdleWorkers(begin), qt.HasLen, 3)
	})
	c.Run("never exceeds the quota", func(c *qt.C) {
		p := fleet(c, 4)
		c.Assert(p.SetTeam("north", 1, placer.WithQuota(9_000)), qt.IsNil)
		submit(c, p, "a", "north", cores(4), placer.WithTasks(4))
		c.Assert(assertStarts(c, p.Decide(begin, 100)), qt.HasLen, 2)
		c.Assert(p.Explain("a", begin).Reason(), qt.Contains, "limit of 9000m")
	})
	c.Run("starts nothing when starts are forbidden", func(c *qt.C) {
		p := fleet(c, 1)
		p.SetStartsAllowed(false)
		submit(c, p, "a", "north", cores(4))
		c.Assert(p.Decide(begin, 100), qt.HasLen, 0)
		p.SetStartsAllowed(true)
		c.Assert(assertStarts(c, p.Decide(begin, 100)), qt.HasLen, 1)
	})
	c.Run("does not start paused jobs", func(c *qt.C) {
		p := fleet(c, 1)
		submit(c, p, "a", "north", cores(4))
		p.SetAllPaused(true)
		submit(c, p, "b", "north", cores(4))
		c.Assert(assertStarts(c, p.Decide(begin, 100)), qt.DeepEquals, map[placer.TaskID]string{placer.NewTaskID("b", 0): "w0"})
		p.SetAllPaused(false)
		c.Assert(assertStarts(c, p.Decide(begin, 100)), qt.HasLen, 1)
	})
	c.Run("starts the job with the least slack first", func(c *qt.C) {
		p := fleet(c, 1)
		submit(c, p, "late", "north", cores(16), placer.WithClass(placer.Deferred), placer.WithDeadline(begin.Add(2*time.Hour)))
		submit(c, p, "soon", "north", cores(16), placer.WithClass(placer.Deferred), placer.WithDeadline(begin.Add(time.Hour)))
		c.Assert(assertStarts(c, p.Decide(begin, 100)), qt.DeepEquals, map[placer.TaskID]string{placer.NewTaskID("soon", 0): "w0"})
	})
	c.Run("spreads a service over racks", func(c *qt.C) {
		p := fleet(c, 32)
		submit(c, p, "s", "north", cores(1), placer.WithClass(placer.Service), placer.WithTasks(4))
		racks := map[string]bool{}
		for _, id := range assertStarts(c, p.Decide(begin, 100)) {
			w, ok := p.Worker(id)
			c.Assert(ok, qt.IsTrue)
			racks[w.Rack()] = true
		}
		c.Assert(racks, qt.HasLen, 4)
	})
}

func TestSubmitErrors(t *testing.T) {
	c := qt.New(t)
	p := fleet(c, 2)
	c.Assert(p.Submit(placer.NewJobSpec("a", "north", cores(17))), qt.ErrorIs, placer.ErrNeverFits)
	c.Assert(p.Submit(placer.NewJobSpec("a", "north", cores(9), placer.WithTasks(3), placer.WithGang())), qt.ErrorIs, placer.ErrNeverFits)
	c.Assert(p.Submit(placer.NewJobSpec("a", "north", placer.Resources{})), qt.ErrorIs, placer.ErrInvalidJob)
	submit(c, p, "a", "north", cores(1))
	c.Assert(p.Submit(placer.NewJobSpec("a", "north", cores(1))), qt.ErrorIs, placer.ErrDuplicateJob)
}

func TestTaskLifecycle(t *testing.T) {
	c := qt.New(t)
	id := placer.NewTaskID("a", 0)
	c.Run("success ends the job", func(c *qt.C) {
		p := fleet(c, 1)
		submit(c, p, "a", "north", cores(4))
		p.Decide(begin, 1)
		result := finish(c, p, id, placer.Succeeded, begin)
		c.Assert(result.JobDone(), qt.IsTrue)
		c.Assert(p.Used(), qt.Equals, placer.Resources{})
		_, err := p.Finish(id, placer.Succeeded, begin)
		c.Assert(err, qt.ErrorIs, placer.ErrUnknownTask)
	})
	c.Run("a failed task backs off until its retries are used up", func(c *qt.C) {
		p := fleet(c, 8, placer.WithRetries(3, time.Second, time.Minute))
		submit(c, p, "a", "north", cores(4))
		now := begin
		for run := 1; ; run++ {
			c.Assert(assertStarts(c, p.Decide(now, 1)), qt.HasLen, 1)
			result := finish(c, p, id, placer.Failed, now)
			if !result.Requeued() {
				c.Assert(run, qt.Equals, 3)
				c.Assert(result.JobDone() && result.FailedTasks() == 1, qt.IsTrue)
				return
			}
			c.Assert(p.Decide(now, 1), qt.HasLen, 0)
			c.Assert(result.NotBefore().After(now), qt.IsTrue)
			now = result.NotBefore()
		}
	})
	c.Run("a lost task that isn't idempotent is not requeued", func(c *qt.C) {
		p := fleet(c, 1)
		submit(c, p, "a", "north", cores(4), placer.WithNonIdempotent())
		p.Decide(begin, 1)
		c.Assert(finish(c, p, id, placer.Lost, begin).Requeued(), qt.IsFalse)
	})
	c.Run("cancel returns running tasks and drops waiting ones", func(c *qt.C) {
		p := fleet(c, 1)
		submit(c, p, "a", "north", cores(8), placer.WithTasks(100))
		p.Decide(begin, 10)
		remaining := p.Cancel("a")
		c.Assert(remaining, qt.HasLen, 2)
		c.Assert(p.Pending(), qt.Equals, 0)
		for _, r := range remaining {
			finish(c, p, r.Task(), placer.Preempted, begin)
		}
		c.Assert(p.Decide(begin, 10), qt.HasLen, 0)
		c.Assert(p.Explain("a", begin).Reason(), qt.Contains, "isn't known")
	})
	c.Run("a task that could not be started returns to the queue", func(c *qt.C) {
		p := fleet(c, 1)
		submit(c, p, "a", "north", cores(8))
		p.Decide(begin, 10)
		c.Assert(p.Unplace(id), qt.IsNil)
		c.Assert(assertStarts(c, p.Decide(begin, 10)), qt.HasLen, 1)
	})
	c.Run("a restored task isn't started twice", func(c *qt.C) {
		p := fleet(c, 2)
		submit(c, p, "a", "north", cores(8), placer.WithTasks(3))
		c.Assert(p.RestoreTask(placer.NewTaskID("a", 1), "w1", begin), qt.IsNil)
		c.Assert(p.Unplace(placer.NewTaskID("a", 1)), qt.IsNil)
		c.Assert(p.RestoreTask(placer.NewTaskID("a", 1), "w1", begin), qt.IsNil)
		started := assertStarts(c, p.Decide(begin, 10))
		c.Assert(started, qt.HasLen, 2)
		c.Assert(started[placer.NewTaskID("a", 1)], qt.Equals, "")
		c.Assert(p.Running(), qt.Equals, 3)
	})
	c.Run("tasks of a removed worker stay allocated until they finish", func(c *qt.C) {
		p := fleet(c, 2)
		submit(c, p, "a", "north", cores(16))
		p.Decide(begin, 1)
		remaining := p.RemoveWorker("w0")
		c.Assert(remaining, qt.HasLen, 1)
		c.Assert(p.Decide(begin, 1), qt.HasLen, 0)
		c.Assert(finish(c, p, id, placer.Lost, begin).Requeued(), qt.IsTrue)
		c.Assert(assertStarts(c, p.Decide(begin, 1)), qt.DeepEquals, map[placer.TaskID]string{id: "w1"})
		c.Assert(p.Workers(), qt.Equals, 1)
	})
}
