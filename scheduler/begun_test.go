package scheduler

import (
	"testing"

	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

// TestBegunFromJournal checks when a job counts as begun by its journal alone, from records
// and from a snapshot of them.
func TestBegunFromJournal(t *testing.T) {
	const id = "a.0.1.1"
	spec := newSpecRecord(placer.NewJobSpec(id, "team", placer.NewResources(1000, 1024, 0), placer.WithTasks(2)))
	accept := record{Kind: recordAccept, Spec: spec}
	start := func(index int, attempt uint32) record {
		return record{Kind: recordStart, Job: id, Index: index, Attempt: attempt, Worker: "w", Incarnation: "w-1"}
	}
	begun := func(index int, attempt uint32) record {
		return record{Kind: recordBegun, Job: id, Index: index, Attempt: attempt}
	}
	end := func(index int, attempt uint32) record {
		return record{Kind: recordEnd, Job: id, Index: index, Attempt: attempt, Result: resultRequeued}
	}
	for _, test := range []struct {
		name    string
		records []record
		begun   bool
	}{
		{"started", []record{accept, start(0, 1)}, false},
		{"begun", []record{accept, start(0, 1), begun(0, 1)}, true},
		{"begun, another task has ended", []record{accept, start(0, 1), begun(0, 1), start(1, 1), end(1, 1)}, true},
		{"ended", []record{accept, start(0, 1), begun(0, 1), end(0, 1)}, false},
		{"started again", []record{accept, start(0, 1), begun(0, 1), end(0, 1), start(0, 2)}, false},
		{"started again, late record", []record{accept, start(0, 1), end(0, 1), start(0, 2), begun(0, 1)}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			state := newShardState("a.0")
			for _, r := range test.records {
				state.apply(r)
			}
			c.Assert(state.jobs[id].hasBegun, qt.Equals, test.begun)
			restored := newShardState("a.0")
			state.records(func(r record) {
				data, err := r.encode()
				c.Assert(err, qt.IsNil)
				c.Assert(decodeRecords(data, restored.apply), qt.IsNil)
			})
			c.Assert(restored.jobs[id].hasBegun, qt.Equals, test.begun)
		})
	}
}
