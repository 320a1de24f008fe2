package planner

import (
	"strconv"
	"testing"
	"time"

	"filberthaven.example/placer"
	"github.com/frankban/quicktest"
)

// TestWaits checks that steps that start nothing for long are reported with the reason.
func TestWaits(t *testing.T) {
	// assertWaits checks the report of the step j.0.0, which began to wait at 0.
	assertWaits := func(f *fixture, rank, reason string) {
		f.Helper()
		f.now = longWait - 1
		f.decide()
		f.Check(f.p.TakeWaits(f.now), quicktest.HasLen, 0)
		f.now = longWait
		f.decide()
		waits := f.p.TakeWaits(f.now)
		f.Assert(waits, quicktest.HasLen, 1)
		f.Check(waits[0].Reason, quicktest.Equals, reason)
		waits[0].Reason = ""
		f.Check(waits[0], quicktest.DeepEquals, Wait{Job: "j", Step: "j.0.0", Since: longWait, Rank: rank, Tasks: waits[0].Tasks, Gang: waits[0].Gang})
		f.Check(f.p.TakeWaits(f.now), quicktest.HasLen, 0)
		f.Check(f.p.TakeWaits(f.now+waitReportInterval), quicktest.HasLen, 1)
	}
	t.Run("no room", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("filler", newStep(4))
		f.starts()
		f.submit("j", newStep(1))
		assertWaits(f, "late urgent", "no room; workers: 1 full")
	})
	t.Run("workers without answer and after failed runs", func(t *testing.T) {
		f := newFixture(t, 3)
		f.p.ExtendLease("w0", longWait)
		f.p.HeartbeatMissed("w0")
		for range failureLimit {
			f.p.workers["w1"].health.recordFailure(longWait - 1)
		}
		f.p.workers["w2"].reg.Draining = true
		f.submit("j", newStep(1))
		assertWaits(f, "late urgent", "no room; workers: 1 paused after failed runs or a refusal, 1 no answer, 1 draining")
	})
	t.Run("reserved workers", func(t *testing.T) {
		f := newFixture(t, 3)
		config := f.p.config
		config.Version, config.Queues = 2, append(config.Queues, Queue{Name: "deferred", Service: "s", Stretch: 100, Priority: 1})
		f.p.Configure(config, 0)
		filler := newStep(2)
		filler.CPU, filler.MaxPerWorker, filler.Estimate = 3000, 1, longWait.Milliseconds()+1000
		f.submit("filler", filler)
		f.Assert(f.starts(), quicktest.HasLen, 2)
		gang := newWideGang()
		gang.Tasks = 3
		f.submit("gang", gang)
		deferred := newStep(1)
		deferred.CPU = 2000
		_, err := f.p.Submit(JobSpec{ID: "j", Queue: "deferred", Team: "team", Steps: []StepSpec{deferred}}, 0)
		f.Assert(err, quicktest.IsNil)
		f.p.MarkStored("j")
		f.now = longWait - second
		f.decide()
		f.now = longWait
		f.decide()
		reasons := map[string]string{}
		for _, w := range f.p.TakeWaits(f.now) {
			reasons[w.Job] = w.Reason
		}
		f.Check(reasons["j"], quicktest.Equals, "no room; workers: 2 full, 1 reserved; reservations: 1 for gang.0.0, 1s")
		f.Check(reasons["gang"], quicktest.Equals, "no room; workers: 1 room, 2 full; reservations: 1 for this step, 1s")
		f.Check(f.p.Reservations(f.now), quicktest.Equals, Reservations{Workers: 1, Idle: 4, Longest: second})
	})
	t.Run("a run of an earlier try", func(t *testing.T) {
		f := newFixture(t, 2)
		f.submit("j", newWideGang())
		starts := f.starts()
		f.listEnd(starts[0], 1, GangBroken)
		f.now += longWait
		f.decide()
		waits := f.p.TakeWaits(f.now)
		f.Assert(waits, quicktest.HasLen, 1)
		f.Check(waits[0].Reason, quicktest.Matches, "runs of an earlier try have not ended: run 1 of task . on w. is running .*")
	})
	t.Run("limit of the team", func(t *testing.T) {
		f := newFixture(t, 1)
		config := f.p.config
		config.Version, config.Teams = 2, []Team{{Name: "team", Weight: 1, Limit: placer.NewResources(500, 0, 0)}}
		f.p.Configure(config, 0)
		f.submit("j", newStep(1))
		assertWaits(f, "late urgent", "limit of the team")
	})
	t.Run("suspects of the job", func(t *testing.T) {
		f := newCrashFixture(t, 1)
		f.submit("j", newStep(1), newStep(1))
		f.p.jobs["j"].occurrences[0].steps[0].setSuspect(0, true)
		f.submit("filler", newStep(1))
		f.decide()
		f.now += longWait
		f.decide()
		for _, w := range f.p.TakeWaits(f.now) {
			if w.Step == "j.0.1" {
				f.Check(w.Reason, quicktest.Equals, "held back by 1 suspects, 1 of which run alone")
				return
			}
		}
		f.Fatal("step not reported")
	})
	t.Run("advice", func(t *testing.T) {
		f := newFixture(t, 3, Queue{Name: "q", Service: "s", Stretch: 2, Objective: second, AdviceCost: &AdviceCost{Base: time.Millisecond, TicketValidity: second}})
		f.submit("j", newStep(1))
		request := f.decide()[0]
		f.p.ReportAdvice(AdviceResult{Step: request.Step, Workers: request.Workers})
		assertWaits(f, "late urgent", "no room on workers with tickets; requests for advice: 0 in flight, 48 left in the decision, back-off 0s; workers: 3 not allowed")
	})
	t.Run("many", func(t *testing.T) {
		f := newFixture(t, 0)
		for n := range 2 * maxWaitReports {
			f.submit("j"+strconv.Itoa(n), newStep(1))
		}
		f.now += longWait
		f.decide()
		f.Check(f.p.TakeWaits(f.now), quicktest.HasLen, maxWaitReports)
		f.Check(f.p.TakeWaits(f.now), quicktest.HasLen, maxWaitReports)
		f.Check(f.p.TakeWaits(f.now), quicktest.HasLen, 0)
	})
}
