package admitter_test

import (
	"testing"
	"time"

	"filberthaven.example/admitter"
	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

func TestCheckJob(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	worker := placer.NewResources(16_000, 65_536, 0)
	workers := []placer.Resources{worker, worker}
	small, large := placer.NewResources(4000, 1024, 0), placer.NewResources(17_000, 1024, 0)
	for _, test := range []struct {
		name    string
		size    placer.Resources
		options []placer.JobOption
		limit   int64  // of the team in thousandths of a processor; 0: none
		code    string // of the expected refusal; empty if the job is accepted
	}{
		{name: "fits", size: small},
		{name: "many tasks one after another", size: small, options: []placer.JobOption{placer.WithTasks(1000)}},
		{name: "larger than any worker", size: large, code: "size"},
		{name: "no worker has accelerators", size: placer.NewResources(1, 1, 1), code: "size"},
		{name: "gang that fits", size: small, options: []placer.JobOption{placer.WithTasks(8), placer.WithGang()}},
		{name: "gang too large", size: small, options: []placer.JobOption{placer.WithTasks(9), placer.WithGang()}, code: "gang"},
		{name: "deadline passed", size: small, options: []placer.JobOption{placer.WithDeadline(now)}, code: "deadline"},
		{name: "deadline before the estimated end", size: small, options: []placer.JobOption{
			placer.WithDeadline(now.Add(time.Minute)), placer.WithEstimate(2 * time.Minute),
		}, code: "deadline"},
		{name: "deadline after the estimated end", size: small, options: []placer.JobOption{
			placer.WithDeadline(now.Add(3 * time.Minute)), placer.WithEstimate(2 * time.Minute),
		}},
		{name: "task over the limit", size: small, limit: 3999, code: "limit"},
		{name: "tasks one after another under the limit", size: small, options: []placer.JobOption{placer.WithTasks(9)}, limit: 4000},
		{name: "gang over the limit", size: small, options: []placer.JobOption{placer.WithTasks(2), placer.WithGang()}, limit: 7999, code: "limit"},
	} {
		c.Run(test.name, func(c *qt.C) {
			spec := placer.NewJobSpec("j", "cremona", test.size, test.options...)
			err := admitter.CheckJob(spec, admitter.NewJobBounds(workers, test.limit), now)
			if test.code == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			assertRefusal(c, err, admitter.Permanent, test.code)
		})
	}
	c.Run("no workers known yet", func(c *qt.C) {
		c.Assert(admitter.CheckJob(placer.NewJobSpec("j", "cremona", large), admitter.NewJobBounds(nil, 0), now), qt.IsNil)
	})
}
