package placer_test

import (
	"testing"
	"time"

	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

// TestRollingUpdate checks that during an update at least count and at most count+surplus
// tasks run, and that at its end all tasks are of the new version.
func TestRollingUpdate(t *testing.T) {
	c := qt.New(t)
	p := fleet(c, 4)
	const count, surplus = 4, 1
	submit(c, p, "old", "north", cores(2), placer.WithClass(placer.Service), placer.WithTasks(count))
	c.Assert(assertStarts(c, p.Decide(begin, 100)), qt.HasLen, count)
	spec := placer.NewJobSpec("new", "north", cores(3), placer.WithClass(placer.Service), placer.WithTasks(count))
	c.Assert(p.RollingUpdate("none", spec, surplus), qt.ErrorIs, placer.ErrUnknownJob)
	c.Assert(p.RollingUpdate("old", spec, 0), qt.ErrorIs, placer.ErrInvalidJob)
	c.Assert(p.RollingUpdate("old", spec, surplus), qt.IsNil)
	now := begin
	for {
		now = now.Add(time.Second)
		decisions := p.Decide(now, 100)
		c.Assert(p.Running() >= count && p.Running() <= count+surplus, qt.IsTrue, qt.Commentf("%d run", p.Running()))
		for _, d := range decisions {
			if d.Kind() == placer.Stop {
				c.Assert(d.Task().Job(), qt.Equals, "old")
				c.Assert(finish(c, p, d.Task(), placer.Preempted, now).Requeued(), qt.IsFalse)
			}
		}
		if len(decisions) == 0 {
			break
		}
	}
	_, _, running, known := p.JobCounts("new")
	c.Assert(known && running == count, qt.IsTrue)
	_, _, _, known = p.JobCounts("old")
	c.Assert(known, qt.IsFalse)
}
