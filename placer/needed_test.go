package placer_test

import (
	"testing"
	"time"

	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

func TestWorkersNeeded(t *testing.T) {
	c := qt.New(t)
	params := placer.SizingParams{Confidence: 0.95, Samples: 20, MaxUtilization: 1, Worker: workerSize}
	p := fleet(c, 8)
	c.Assert(p.WorkersNeeded(begin, params), qt.Equals, 0)
	submitDeferred := func(id string, tasks int, deadline time.Duration) {
		submit(c, p, id, "north", cores(16), placer.WithClass(placer.Deferred), placer.WithTasks(tasks),
			placer.WithEstimate(time.Hour), placer.WithDeadline(begin.Add(deadline)))
	}
	submitDeferred("night", 8, 8*time.Hour)
	c.Assert(p.WorkersNeeded(begin, params), qt.Equals, 1)
	submitDeferred("evening", 6, 2*time.Hour)
	c.Assert(p.WorkersNeeded(begin, params), qt.Equals, 3)
	params.ExpectedWork = 16 * 3600 * 4 // one worker's work in four hours
	c.Assert(p.WorkersNeeded(begin, params), qt.Equals, 5)
	submit(c, p, "service", "north", cores(16), placer.WithClass(placer.Service))
	p.Decide(begin, 100)
	c.Assert(p.WorkersNeeded(begin, params), qt.Equals, 6)
}
