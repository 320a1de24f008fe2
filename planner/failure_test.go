package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestFailureNamesRunsThatCount checks that the log of a failed job tells whether attempts or
// crashes were used up, and by which runs.
func TestFailureNamesRunsThatCount(t *testing.T) {
	t.Run("attempts", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("j", newStep(1))
		for serial := uint64(1); serial <= 2; serial++ {
			f.now += 4 * second
			f.listEnd(f.starts()[0], serial, RunFailed)
		}
		f.assertState("j", Failed)
		f.Assert(f.p.FailureOf("j").String(), quicktest.Equals, "2 runs of the task and 0 of its gang have failed, 2 are allowed")
	})
	t.Run("crashes", func(t *testing.T) {
		f := newCrashFixture(t, 2)
		f.submit("j", newStep(1))
		for range minPrompt {
			worker := f.starts()[0].Worker
			f.now += 10 * time.Millisecond
			f.p.ObserveClosed(worker, f.now)
			f.restart(worker)
		}
		f.Assert(f.p.FinalState("j"), quicktest.Equals, Failed)
		f.Assert(f.p.FailureOf("j").String(), quicktest.Matches,
			`the task crashes its workers: run 1 on w\d after 10 ms \(restarted or replaced, started=true, alone=false, ended=true, chance=.*\); run 2 .*alone=true, .*\); run 3 .*`)
	})
}
