package placer_test

import (
	"fmt"
	"testing"
	"time"

	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

// overload submits, for each team, a job much larger than the fleet. Then it simulates a
// number of seconds. In each it starts tasks and finishes the oldest tenth of the running
// ones.
func overload(c *qt.C, p *placer.Placer, teams []string, seconds int) {
	for _, team := range teams {
		submit(c, p, team, team, cores(1), placer.WithTasks(20_000))
	}
	var running []placer.TaskID
	now := begin
	for range seconds {
		now = now.Add(time.Second)
		for _, d := range p.Decide(now, 1<<20) {
			running = append(running, d.Task())
		}
		tenth := len(running) / 10
		for _, id := range running[:tenth] {
			finish(c, p, id, placer.Succeeded, now)
		}
		running = running[tenth:]
	}
	p.Decide(now, 1<<20)
}

// assertShare checks that the share of a team is within 0.02 of the wanted one.
func assertShare(c *qt.C, p *placer.Placer, team string, want float64) {
	c.Helper()
	got := p.Team(team).Share()
	c.Assert(got > want-0.02 && got < want+0.02, qt.IsTrue, qt.Commentf("share of %s is %.3f, want %.3f", team, got, want))
}

func TestShares(t *testing.T) {
	c := qt.New(t)
	weightedFleet := func(c *qt.C) *placer.Placer {
		p := fleet(c, 20)
		c.Assert(p.SetTeam("large", 3), qt.IsNil)
		c.Assert(p.SetTeam("small", 1), qt.IsNil)
		return p
	}
	c.Run("weights determine shares when the fleet is full", func(c *qt.C) {
		p := weightedFleet(c)
		overload(c, p, []string{"small", "large"}, 30)
		assertShare(c, p, "large", 0.75)
		assertShare(c, p, "small", 0.25)
	})
	c.Run("a team alone uses the whole fleet", func(c *qt.C) {
		p := weightedFleet(c)
		overload(c, p, []string{"small"}, 3)
		assertShare(c, p, "small", 1)
	})
	c.Run("capacity beyond a quota goes to the other teams", func(c *qt.C) {
		p := weightedFleet(c)
		p.SetQuota("large", 160_000)
		overload(c, p, []string{"small", "large"}, 30)
		assertShare(c, p, "large", 0.5)
		assertShare(c, p, "small", 0.5)
	})
	c.Run("usage in other shards counts", func(c *qt.C) {
		p := fleet(c, 20)
		c.Assert(p.SetTeam("here", 1), qt.IsNil)
		c.Assert(p.SetTeam("both", 1), qt.IsNil)
		p.SetRemoteUsage(map[string]placer.Resources{"both": workerSize.Scale(10)})
		overload(c, p, []string{"here", "both"}, 30)
		assertShare(c, p, "here", 0.75)
		assertShare(c, p, "both", 0.25)
	})
	c.Run("a weight of zero is refused", func(c *qt.C) {
		c.Assert(weightedFleet(c).SetTeam("small", 0), qt.ErrorIs, placer.ErrBadOption)
	})
}

func TestConstraintsAndLimits(t *testing.T) {
	c := qt.New(t)
	rackOf := func(c *qt.C, p *placer.Placer, id string) string {
		w, ok := p.Worker(id)
		c.Assert(ok, qt.IsTrue)
		return w.Rack()
	}
	c.Run("rack", func(c *qt.C) {
		p := fleet(c, 24)
		submit(c, p, "a", "north", cores(8), placer.WithTasks(20), placer.WithConstraints(placer.NewConstraints("r1", false)))
		started := assertStarts(c, p.Decide(begin, 100))
		c.Assert(started, qt.HasLen, 16)
		for _, id := range started {
			c.Assert(rackOf(c, p, id), qt.Equals, "r1")
		}
		c.Assert(p.Feasible(placer.NewJobSpec("b", "north", cores(1), placer.WithConstraints(placer.NewConstraints("none", false)))), qt.ErrorIs, placer.ErrNeverFits)
	})
	c.Run("apart", func(c *qt.C) {
		p := fleet(c, 4)
		submit(c, p, "a", "north", cores(1), placer.WithTasks(6), placer.WithConstraints(placer.Constraints{}.WithAntiAffinity()))
		seen := map[string]bool{}
		for _, id := range assertStarts(c, p.Decide(begin, 100)) {
			c.Assert(seen[id], qt.IsFalse)
			seen[id] = true
		}
		c.Assert(seen, qt.HasLen, 4)
	})
	c.Run("near", func(c *qt.C) {
		p := fleet(c, 24)
		submit(c, p, "a", "north", cores(8), placer.WithConstraints(placer.NewConstraints("r2", false)))
		p.Decide(begin, 100)
		submit(c, p, "b", "north", cores(1), placer.WithTasks(3), placer.WithConstraints(placer.Constraints{}.WithNear("a")))
		for _, id := range assertStarts(c, p.Decide(begin, 100)) {
			c.Assert(rackOf(c, p, id), qt.Equals, "r2")
		}
	})
	c.Run("accelerators", func(c *qt.C) {
		p := fleet(c, 2)
		p.SetWorker(placer.NewWorker("fast", "r9", placer.NewResources(16_000, 64<<10, 4)))
		submit(c, p, "plain", "north", cores(16), placer.WithTasks(2))
		submit(c, p, "fast", "north", placer.NewResources(1000, 1<<10, 2), placer.WithTasks(3))
		fastTasks := 0
		for id, worker := range assertStarts(c, p.Decide(begin, 100)) {
			c.Assert(worker == "fast", qt.Equals, id.Job() == "fast", qt.Commentf("%v on %s", id, worker))
			if worker == "fast" {
				fastTasks++
			}
		}
		c.Assert(fastTasks, qt.Equals, 2)
	})
	c.Run("reserve", func(c *qt.C) {
		p := fleet(c, 10, placer.WithUrgentHeadroom(0.1))
		submit(c, p, "a", "north", cores(4), placer.WithTasks(40))
		c.Assert(assertStarts(c, p.Decide(begin, 100)), qt.HasLen, 36)
		c.Assert(p.Explain("a", begin).Reason(), qt.Contains, "reserve of 10%")
		submit(c, p, "now", "north", cores(4), placer.WithClass(placer.Urgent), placer.WithTasks(4))
		c.Assert(assertStarts(c, p.Decide(begin, 100)), qt.HasLen, 4)
	})
	c.Run("queue limit", func(c *qt.C) {
		p := fleet(c, 1, placer.WithQueueLimit(10))
		submit(c, p, "a", "north", cores(1), placer.WithTasks(8))
		c.Assert(p.Submit(placer.NewJobSpec("b", "north", cores(1), placer.WithTasks(3))), qt.ErrorIs, placer.ErrQueueFull)
		submit(c, p, "c", "south", cores(1), placer.WithTasks(3))
		c.Assert(fmt.Sprint(p.Pending()), qt.Equals, "11")
	})
}
