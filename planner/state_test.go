package planner

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestFailedStateAfterTakeover checks that a job that was shown as failed stays failed for
// the next owner, which reads the journal before it knows the attempts of the queue.
func TestFailedStateAfterTakeover(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", newStep(1))
	f.listEnd(f.starts()[0], 1, RunFailed)
	f.listEnd(f.starts()[0], 2, RunFailed)
	f.assertState("j", Failed)
	f.takeOver(0)
	f.assertState("j", Failed)
}

// TestPendingUntilCancelStored checks that a queued job counts as pending until the journal
// holds its cancelling, as its state says.
func TestPendingUntilCancelStored(t *testing.T) {
	f := newFixture(t, 0)
	f.submit("j", newStep(1))
	f.p.Cancel("j", "team", f.now)
	f.assertState("j", Queued)
	f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
}

// TestEndsNotReportedAgain checks that the next owner does not count and log again the ends
// of jobs that it reads from the journal.
func TestEndsNotReportedAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", newStep(1))
	f.listEnd(f.starts()[0], 1, Done)
	f.takeOver(0)
	f.assertState("j", Completed)
	f.Assert(f.p.TakeEnded(), quicktest.HasLen, 0)
}

// TestRefusedWhereOnlySilentWorkersAreFree checks that a job is not accepted as timely on
// account of a worker that doesn't answer, on which nothing starts.
func TestRefusedWhereOnlySilentWorkersAreFree(t *testing.T) {
	f := newFixture(t, 1)
	long := newStep(4)
	long.Estimate = 60_000
	f.submit("long", long)
	f.Assert(f.starts(), quicktest.HasLen, 4)
	f.addWorker("silent")
	f.p.HeartbeatMissed("silent")
	f.submit("ahead", newStep(4))
	f.Assert(f.starts(), quicktest.HasLen, 0)
	f.now += second
	_, err := f.p.Submit(JobSpec{ID: "j", Queue: "q", Team: "team", Steps: []StepSpec{newStep(4)}}, f.now)
	var refusal *RefusalError
	f.Assert(err, quicktest.ErrorAs, &refusal)
}

// TestRenamedQueue checks that callers find a job after its queue was replaced by one of another
// name at the same host and prefix, also at the next owner (LOST).
func TestRenamedQueue(t *testing.T) {
	queue := Queue{Name: "q", Service: "s", Host: "h", Prefix: "/q/", Attempts: 2, Stretch: 2, Objective: second}
	other := Queue{Name: "other", Service: "s", Host: "h", Prefix: "/other/", Attempts: 2, Stretch: 2, Objective: second}
	f := newFixture(t, 0, queue, other)
	f.submit("j", newStep(1))
	queue.Name, queue.Attempts = "renamed", 1
	rename := func() {
		f.Assert(f.p.Configure(Config{Version: 2, Queues: []Queue{other, queue}, Teams: []Team{{Name: "team", Weight: 1}}}, f.now), quicktest.IsTrue)
	}
	assertFound := func() {
		f.Helper()
		state, known := f.p.State("j", "renamed", "team")
		f.Check(known, quicktest.IsTrue)
		f.Check(state, quicktest.Equals, Queued)
	}
	rename()
	assertFound()
	f.Check(f.p.Pending("renamed"), quicktest.Equals, 1)
	_, known := f.p.State("j", "other", "team")
	f.Check(known, quicktest.IsFalse)
	_, known = f.p.State("j", "renamed", "another team")
	f.Check(known, quicktest.IsFalse)
	f.p.config.Queues = []Queue{other, queue}
	f.takeOver(f.now)
	assertFound()
	f.now += second
	f.p.Configure(Config{Version: 3, Queues: []Queue{other, queue}, Teams: []Team{{Name: "team", Weight: 1}}}, f.now)
	assertFound()
}

// TestPruneAfterLongOutage checks that a job whose end was stored only after its retention,
// because of an outage of the store, does not stay pending.
func TestPruneAfterLongOutage(t *testing.T) {
	f := newFixture(t, 0)
	f.submit("j", newStep(1))
	f.p.Cancel("j", "team", f.now)
	f.now = 2 * defaultRetention
	f.p.PruneJobs(f.now)
	f.Assert(f.p.Pending("q"), quicktest.Equals, 1)
	f.p.MarkEndStored("j")
	f.Assert(f.p.Pending("q"), quicktest.Equals, 0)
	f.p.PruneJobs(f.now)
	f.Assert(f.p.Known("j", "team"), quicktest.IsFalse)
}
