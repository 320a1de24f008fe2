package placer_test

import (
	"fmt"
	"testing"
	"time"

	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

func TestForecast(t *testing.T) {
	c := qt.New(t)
	p := fleet(c, 1)
	hourLongJob := func(id string, deadline time.Duration) placer.JobSpec {
		return placer.NewJobSpec(id, "north", cores(16), placer.WithClass(placer.Deferred),
			placer.WithEstimate(time.Hour), placer.WithDeadline(begin.Add(deadline)))
	}
	c.Assert(p.Forecast(hourLongJob("first", 2*time.Hour), begin).MeetsDeadline(), qt.IsTrue)
	c.Assert(p.Forecast(hourLongJob("first", 30*time.Minute), begin).MeetsDeadline(), qt.IsFalse)
	for i := range 4 {
		c.Assert(p.Submit(hourLongJob(fmt.Sprintf("j%d", i), 8*time.Hour)), qt.IsNil)
	}
	p.Decide(begin, 10)
	now := begin.Add(time.Second)
	c.Run("work with less slack goes first", func(c *qt.C) {
		f := p.Forecast(hourLongJob("late", 9*time.Hour), now)
		c.Assert(f.JobsAhead(), qt.Equals, 3)
		c.Assert(f.Wait() > 150*time.Minute, qt.IsTrue)
		c.Assert(p.Forecast(hourLongJob("soon", 7*time.Hour), now).JobsAhead(), qt.Equals, 0)
	})
	c.Run("a job behind too much work misses its deadline", func(c *qt.C) {
		for i := range 8 {
			c.Assert(p.Submit(hourLongJob(fmt.Sprintf("k%d", i), 8*time.Hour)), qt.IsNil)
		}
		c.Assert(p.Forecast(hourLongJob("late", 9*time.Hour), now).MeetsDeadline(), qt.IsFalse)
		c.Assert(p.Forecast(placer.NewJobSpec("effort", "north", cores(1)), now).MeetsDeadline(), qt.IsTrue)
	})
}
