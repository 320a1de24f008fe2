package planner

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestAttemptsOfChangedQueue checks by which attempts a job fails after a change of the
// configuration: by those of the queue in which callers find it, also at the next owner.
func TestAttemptsOfChangedQueue(t *testing.T) {
	queue := func(name, prefix string, attempts int) Queue {
		return Queue{Name: name, Service: "s", Host: "h", Prefix: prefix, Attempts: attempts, Stretch: 2, Objective: 100 * second}
	}
	for _, test := range []struct {
		name    string
		queues  []Queue // after the change
		shownIn string  // name of the queue in which callers find the job
		want    State   // after one failed run
	}{
		{"unchanged", []Queue{queue("q", "/q/", 2)}, "q", Running},
		{"fewer attempts", []Queue{queue("q", "/q/", 1)}, "q", Failed},
		{"replaced by one with fewer attempts", []Queue{queue("r", "/q/", 1)}, "r", Failed},
		{"replaced by one with as many", []Queue{queue("r", "/q/", 2)}, "r", Running},
		{"another queue has its name", []Queue{queue("q", "/other/", 1), queue("r", "/q/", 2)}, "r", Running},
		{"another queue has its name and more attempts", []Queue{queue("q", "/other/", 2), queue("r", "/q/", 1)}, "r", Failed},
		{"moved", []Queue{queue("q", "/moved/", 1)}, "q", Failed},
		{"removed, beside one with fewer attempts", []Queue{queue("r", "/other/", 1)}, "q", Running},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1, queue("q", "/q/", 2))
			spec := JobSpec{ID: "j", Queue: "q", Host: "h", Prefix: "/q/", Team: "team", Steps: []StepSpec{newStep(1)}, AcceptedAt: wall}
			_, err := f.p.Submit(spec, f.now)
			f.Assert(err, quicktest.IsNil)
			f.record(Record{Job: &spec})
			f.p.MarkStored("j")
			f.listEnd(f.starts()[0], 1, RunFailed)
			records := f.records
			assert := func() {
				f.Helper()
				for _, id := range f.p.TakeEnded() {
					f.p.MarkEndStored(id)
				}
				state, known := f.p.State("j", test.shownIn, "team")
				f.Check(known, quicktest.IsTrue)
				f.Check(state, quicktest.Equals, test.want)
			}
			f.Assert(f.p.Configure(Config{Version: 2, Queues: test.queues}, f.now), quicktest.IsTrue)
			assert()
			state, err := f.p.Snapshot(f.now, wall)
			f.Assert(err, quicktest.IsNil)
			f.records = records // without the failure
			f.takeOver(f.now)
			assert()
			f.p = New()
			f.Assert(f.p.Restore(state, nil, f.now, wall, f.now), quicktest.IsNil)
			f.p.Configure(Config{Version: 2, Queues: test.queues}, f.now)
			assert()
		})
	}
}

// TestRenamedQueueRunsAtNextOwner checks that the next owner runs the jobs of a queue that was
// replaced by one of another name at the same host and prefix (LOST).
func TestRenamedQueueRunsAtNextOwner(t *testing.T) {
	queue := Queue{Name: "q", Service: "s", Host: "h", Prefix: "/q/", Attempts: 2, Stretch: 2, Objective: second}
	f := newFixture(t, 0, queue)
	spec := JobSpec{ID: "j", Queue: "q", Host: "h", Prefix: "/q/", Steps: []StepSpec{newStep(1)}, AcceptedAt: wall}
	_, err := f.p.Submit(spec, f.now)
	f.Assert(err, quicktest.IsNil)
	f.record(Record{Job: &spec})
	f.p.MarkStored("j")
	queue.Name = "renamed"
	f.Assert(f.p.Configure(Config{Version: 2, Queues: []Queue{queue}}, f.now), quicktest.IsTrue)
	f.takeOver(f.now)
	f.addWorker("w0")
	f.Assert(f.starts(), quicktest.HasLen, 1)
}
