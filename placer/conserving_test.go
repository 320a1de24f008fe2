package placer_test

import (
	"testing"

	"filberthaven.example/placer"
	"pgregory.net/rapid"
)

// TestWorkConserving checks that no free capacity is left unused: when Decide has started
// all it can, no waiting task fits on a worker, unless the quota of its team forbids it.
func TestWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := m.actions(t)
		actions["submit"] = m.submitWithoutReservations
		actions[""] = func(t *rapid.T) {
			m.check(t)
			m.checkNoUnusedCapacity(t)
		}
		t.Repeat(actions)
	})
}

// submitWithoutReservations submits a job that is neither urgent nor a gang, so that no
// capacity is reserved.
func (m *model) submitWithoutReservations(t *rapid.T) {
	m.jobs++
	size := cores(rapid.SampledFrom([]int64{1, 2, 3, 5, 8, 16}).Draw(t, "size"))
	constraints := placer.NewConstraints("", rapid.Bool().Draw(t, "spread"))
	if rapid.IntRange(0, 3).Draw(t, "apart") == 0 {
		constraints = constraints.WithAntiAffinity()
	}
	id := placer.NewTaskID("s", m.jobs).String()
	spec := placer.NewJobSpec(id, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), size,
		placer.WithClass(rapid.SampledFrom([]placer.Class{placer.Service, placer.Deferred, placer.BestEffort}).Draw(t, "class")),
		placer.WithTasks(rapid.IntRange(1, 6).Draw(t, "tasks")), placer.WithConstraints(constraints))
	if m.placer.Submit(spec) == nil {
		m.specs[id] = spec
	}
}

// checkNoUnusedCapacity lets the placer start all tasks it can, and checks that no job with
// waiting tasks has a candidate worker. It skips placers with headroom, which leave capacity
// unused on purpose.
func (m *model) checkNoUnusedCapacity(t *rapid.T) {
	if m.hasHeadroom {
		return
	}
	for _, d := range m.placer.Decide(m.now, 1<<20) {
		m.apply(t, d)
	}
	for id, spec := range m.specs {
		team := m.placer.Team(spec.Team())
		if team.Quota() >= 0 && team.Used().CPU()+spec.Size().CPU() > team.Quota() {
			continue
		}
		if e := m.placer.Explain(id, m.now); e.Pending() > 0 && e.Candidates() > 0 {
			t.Fatalf("%s waits with %d candidates: %s", id, e.Candidates(), e.Reason())
		}
	}
}
