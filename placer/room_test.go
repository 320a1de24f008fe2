package placer_test

import (
	"testing"

	"filberthaven.example/placer"
	"pgregory.net/rapid"
)

// TestRoom checks that nothing is withheld: after all decisions no waiting task
// fits into a worker, unless it waits for its team's limit.
func TestRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		actions := o.actions(t)
		actions["submit"] = o.submitSingles
		actions[""] = func(t *rapid.T) {
			o.check(t)
			o.roomIsUsed(t)
		}
		t.Repeat(actions)
	})
}

// submitSingles adds a job that is no gang, so that no room is set aside.
func (o *oracle) submitSingles(t *rapid.T) {
	o.jobs++
	size := cores(rapid.SampledFrom([]int64{1, 2, 3, 5, 8, 16}).Draw(t, "size"))
	constraints := placer.NewConstraints("", rapid.Bool().Draw(t, "spread"))
	if rapid.IntRange(0, 3).Draw(t, "apart") == 0 {
		constraints = constraints.WithAntiAffinity()
	}
	id := placer.NewTaskID("s", o.jobs).String()
	spec := placer.NewJobSpec(id, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), size,
		placer.WithClass(rapid.SampledFrom([]placer.Class{placer.Service, placer.Deferred, placer.BestEffort}).Draw(t, "class")),
		placer.WithTasks(rapid.IntRange(1, 6).Draw(t, "tasks")), placer.WithConstraints(constraints))
	if o.placer.Submit(spec) == nil {
		o.specs[id] = spec
	}
}

func (o *oracle) roomIsUsed(t *rapid.T) {
	if o.reserved {
		return
	}
	for _, d := range o.placer.Decide(o.now, 1<<20) {
		o.note(t, d)
	}
	for id, spec := range o.specs {
		team := o.placer.Team(spec.Team())
		if team.Quota() >= 0 && team.Used().CPU()+spec.Size().CPU() > team.Quota() {
			continue
		}
		if e := o.placer.Explain(id, o.now); e.Pending() > 0 && e.Candidates() > 0 {
			t.Fatalf("%s waits with %d candidates: %s", id, e.Candidates(), e.Reason())
		}
	}
}
