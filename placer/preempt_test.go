package placer_test

import (
	"fmt"
	"testing"
	"time"

	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

// assertKinds checks the kinds of decisions in order.
func assertKinds(c *qt.C, decisions []placer.Decision, kinds ...placer.Kind) {
	c.Helper()
	var got []placer.Kind
	for _, d := range decisions {
		got = append(got, d.Kind())
	}
	c.Assert(got, qt.DeepEquals, kinds)
}

func TestPreemption(t *testing.T) {
	c := qt.New(t)
	// fullFleetWithUrgentJob returns a worker full of preemptible tasks, for whose capacity
	// an urgent job waits.
	fullFleetWithUrgentJob := func(c *qt.C) *placer.Placer {
		p := fleet(c, 1, placer.WithGrace(10*time.Second))
		submit(c, p, "deferred", "north", cores(8), placer.WithClass(placer.Deferred))
		submit(c, p, "effort", "north", cores(8))
		c.Assert(assertStarts(c, p.Decide(begin, 10)), qt.HasLen, 2)
		submit(c, p, "urgent", "south", cores(8), placer.WithClass(placer.Urgent))
		return p
	}
	effortTask := placer.NewTaskID("effort", 0)
	c.Run("best effort is preempted before deferred work", func(c *qt.C) {
		p := fullFleetWithUrgentJob(c)
		decisions := p.Decide(begin, 10)
		assertKinds(c, decisions, placer.Checkpoint)
		c.Assert(decisions[0].Task(), qt.Equals, effortTask)
		c.Assert(p.Explain("urgent", begin).Reason(), qt.Contains, "asked to make room")
		c.Assert(finish(c, p, effortTask, placer.Preempted, begin).Requeued(), qt.IsTrue)
		c.Assert(assertStarts(c, p.Decide(begin, 10)), qt.DeepEquals, map[placer.TaskID]string{placer.NewTaskID("urgent", 0): "w0"})
	})
	c.Run("a task that does not end is throttled, then stopped", func(c *qt.C) {
		p := fullFleetWithUrgentJob(c)
		assertKinds(c, p.Decide(begin, 10), placer.Checkpoint)
		c.Assert(p.Decide(begin.Add(9*time.Second), 10), qt.HasLen, 0)
		assertKinds(c, p.Decide(begin.Add(10*time.Second), 10), placer.Throttle)
		assertKinds(c, p.Decide(begin.Add(20*time.Second), 10), placer.Stop)
		c.Assert(p.Decide(begin.Add(time.Hour), 10), qt.HasLen, 0)
	})
	c.Run("a preempted task restarts when the urgent job is cancelled", func(c *qt.C) {
		p := fullFleetWithUrgentJob(c)
		p.Decide(begin, 10)
		c.Assert(p.Cancel("urgent"), qt.HasLen, 0)
		finish(c, p, effortTask, placer.Preempted, begin)
		c.Assert(assertStarts(c, p.Decide(begin, 10)), qt.DeepEquals, map[placer.TaskID]string{effortTask: "w0"})
	})
	c.Run("an urgent job past its deadline expires", func(c *qt.C) {
		p := fleet(c, 1)
		p.SetStartsAllowed(false)
		submit(c, p, "a", "north", cores(8), placer.WithClass(placer.Urgent), placer.WithDeadline(begin.Add(time.Second)))
		assertKinds(c, p.Decide(begin.Add(2*time.Second), 10), placer.Expire)
		c.Assert(p.Pending(), qt.Equals, 0)
	})
	c.Run("a lowered quota preempts the newest work", func(c *qt.C) {
		p := fleet(c, 2)
		submit(c, p, "old", "north", cores(8), placer.WithClass(placer.Deferred))
		p.Decide(begin, 10)
		submit(c, p, "new", "north", cores(8), placer.WithClass(placer.Deferred))
		p.Decide(begin.Add(time.Second), 10)
		p.SetQuota("north", 10_000)
		decisions := p.Decide(begin.Add(2*time.Second), 10)
		assertKinds(c, decisions, placer.Checkpoint)
		c.Assert(decisions[0].Task().Job(), qt.Equals, "new")
	})
	c.Run("a lowered quota removes reservations", func(c *qt.C) {
		p := fleet(c, 1)
		submit(c, p, "small", "north", cores(1))
		p.Decide(begin, 10)
		submit(c, p, "gang", "south", cores(16), placer.WithGang())
		p.Decide(begin, 10)
		c.Assert(p.Explain("gang", begin).Reserved(), qt.Equals, 1)
		p.SetQuota("south", 0)
		finish(c, p, placer.NewTaskID("small", 0), placer.Succeeded, begin)
		c.Assert(p.Decide(begin, 10), qt.HasLen, 0)
		c.Assert(p.InfeasibleJobs(begin), qt.HasLen, 1)
	})
	c.Run("tasks leave a draining worker", func(c *qt.C) {
		p := fleet(c, 1)
		submit(c, p, "service", "north", cores(2), placer.WithClass(placer.Service), placer.WithTasks(2))
		submit(c, p, "deferred", "north", cores(2), placer.WithClass(placer.Deferred), placer.WithTasks(2))
		submit(c, p, "once", "north", cores(2), placer.WithClass(placer.Deferred), placer.WithNonIdempotent())
		p.Decide(begin, 10)
		p.SetWorker(placer.NewWorker("w0", "r0", workerSize, placer.WithState(placer.Draining)))
		checkpointed := map[string]int{}
		for _, d := range p.Decide(begin, 10) {
			c.Assert(d.Kind(), qt.Equals, placer.Checkpoint)
			checkpointed[d.Task().Job()]++
			finish(c, p, d.Task(), placer.Preempted, begin)
		}
		c.Assert(checkpointed, qt.DeepEquals, map[string]int{"service": 1, "deferred": 2})
		c.Assert(p.Decide(begin, 10), qt.HasLen, 0)
		p.SetWorker(placer.NewWorker("w1", "r1", workerSize))
		assertKinds(c, p.Decide(begin, 10), placer.Start, placer.Start, placer.Start)
		assertKinds(c, p.Decide(begin, 10), placer.Checkpoint)
	})
	c.Run("an urgent gang starts whole despite the limit of decisions", func(c *qt.C) {
		p := fleet(c, 1)
		submit(c, p, "gang", "north", cores(8), placer.WithClass(placer.Urgent), placer.WithGang(), placer.WithTasks(2))
		c.Assert(assertStarts(c, p.Decide(begin, 1)), qt.HasLen, 2)
	})
}

func TestReportUsage(t *testing.T) {
	c := qt.New(t)
	twoTasks := func(c *qt.C) *placer.Placer {
		p := fleet(c, 1)
		submit(c, p, "a", "north", placer.NewResources(4_000, 32<<10, 0), placer.WithTasks(2))
		p.Decide(begin, 10)
		return p
	}
	id := placer.NewTaskID("a", 0)
	c.Run("a task above its processors is throttled once", func(c *qt.C) {
		p := twoTasks(c)
		for range 2 {
			c.Assert(p.ReportUsage(id, placer.NewResources(6_000, 1<<10, 0), begin, begin), qt.IsNil)
		}
		assertKinds(c, p.Decide(begin, 10), placer.Throttle)
		c.Assert(p.Decide(begin, 10), qt.HasLen, 0)
	})
	c.Run("a task above its memory on a full worker is preempted", func(c *qt.C) {
		p := twoTasks(c)
		c.Assert(p.ReportUsage(id, placer.NewResources(1_000, 33<<10, 0), begin, begin), qt.IsNil)
		assertKinds(c, p.Decide(begin, 10), placer.Checkpoint)
	})
	c.Run("rising memory is extrapolated by the age of the report", func(c *qt.C) {
		p := twoTasks(c)
		// report reports memory in MiB, measured at a time after begin and received after
		// the given age.
		report := func(memory int64, at, age time.Duration) {
			c.Assert(p.ReportUsage(id, placer.NewResources(1_000, memory, 0), begin.Add(at), begin.Add(at+age)), qt.IsNil)
		}
		report(20<<10, time.Second, 0)
		report(30<<10, 11*time.Second, 0)
		c.Assert(p.Decide(begin, 10), qt.HasLen, 0)
		report(31<<10, 12*time.Second, 5*time.Second)
		assertKinds(c, p.Decide(begin, 10), placer.Checkpoint)
	})
}

func TestQuarantine(t *testing.T) {
	c := qt.New(t)
	// runAll runs one cycle and ends each started task at once, as failed if fails says so.
	runAll := func(c *qt.C, p *placer.Placer, now time.Time, fails func(placer.Decision) bool) {
		for _, d := range p.Decide(now, 100) {
			outcome := placer.Succeeded
			if fails(d) {
				outcome = placer.Failed
			}
			finish(c, p, d.Task(), outcome, now)
		}
	}
	onW0 := func(d placer.Decision) bool { return d.Worker() == "w0" }
	submitJobs := func(c *qt.C, p *placer.Placer, jobs int) {
		for i := range jobs {
			submit(c, p, fmt.Sprintf("j%d", i), "north", cores(8), placer.WithTasks(4))
		}
	}
	c.Run("a worker that fails everything is quarantined, then takes one task on trial", func(c *qt.C) {
		p := fleet(c, 8)
		submitJobs(c, p, 8)
		runAll(c, p, begin, onW0)
		runAll(c, p, begin.Add(5*time.Second), onW0)
		c.Assert(p.QuarantinedWorkers(), qt.DeepEquals, []string{"w0"})
		w, _ := p.Worker("w0")
		c.Assert(w.State(), qt.Equals, placer.Quarantined)
		submit(c, p, "late", "north", cores(8), placer.WithTasks(16))
		started := assertStarts(c, p.Decide(begin.Add(time.Hour), 100))
		trials := 0
		for id, worker := range started {
			if worker == "w0" {
				trials++
				finish(c, p, id, placer.Succeeded, begin.Add(time.Hour))
			}
		}
		c.Assert(trials, qt.Equals, 1)
		c.Assert(p.QuarantinedWorkers(), qt.HasLen, 0)
	})
	c.Run("a removed worker leaves the quarantine", func(c *qt.C) {
		p := fleet(c, 8)
		submitJobs(c, p, 8)
		runAll(c, p, begin, onW0)
		runAll(c, p, begin.Add(5*time.Second), onW0)
		c.Assert(p.QuarantinedWorkers(), qt.HasLen, 1)
		p.RemoveWorker("w0")
		c.Assert(p.QuarantinedWorkers(), qt.HasLen, 0)
	})
	c.Run("a job that fails everywhere quarantines no worker", func(c *qt.C) {
		p := fleet(c, 8)
		submitJobs(c, p, 4)
		submit(c, p, "broken", "south", cores(8), placer.WithTasks(32))
		for i := range 20 {
			runAll(c, p, begin.Add(time.Duration(i)*time.Minute), func(d placer.Decision) bool { return d.Task().Job() == "broken" })
		}
		c.Assert(p.QuarantinedWorkers(), qt.HasLen, 0)
		c.Assert(p.Pending()+p.Running(), qt.Equals, 0)
	})
}
