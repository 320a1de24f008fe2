package placer_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"filberthaven.example/placer"
	"pgregory.net/rapid"
)

// model tracks the effects of calls and decisions independently of the placer.
type model struct {
	placer      *placer.Placer
	hasHeadroom bool // the placer keeps headroom for urgent work
	now         time.Time
	specs       map[string]placer.JobSpec
	running     map[placer.TaskID]string    // worker of each running task
	startOrder  []placer.TaskID             // running tasks in the order of their start
	quotas      map[string]int64            // by team, in thousandths of a processor
	workers     map[string]placer.Resources // totals by identifier
	workerIDs   []string
	decisions   []placer.Decision
	jobs        int // number of jobs submitted
}

func newModel(t *rapid.T) *model {
	hasHeadroom := rapid.Bool().Draw(t, "reserved")
	headroom := 0.0
	if hasHeadroom {
		headroom = 0.1
	}
	p, err := placer.New(placer.WithUrgentHeadroom(headroom), placer.WithGangPreemptAfter(time.Minute), placer.WithRetries(3, time.Second, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	m := &model{
		placer: p, hasHeadroom: hasHeadroom, now: begin, specs: map[string]placer.JobSpec{}, running: map[placer.TaskID]string{},
		quotas: map[string]int64{}, workers: map[string]placer.Resources{},
	}
	for range rapid.IntRange(1, 6).Draw(t, "workers") {
		m.addWorker(t)
	}
	return m
}

func (m *model) addWorker(t *rapid.T) {
	id := fmt.Sprintf("w%d", len(m.workerIDs))
	total := cores(rapid.SampledFrom([]int64{8, 16, 32}).Draw(t, "total"))
	m.placer.SetWorker(placer.NewWorker(id, fmt.Sprintf("r%d", len(m.workerIDs)/2), total))
	m.workers[id] = total
	m.workerIDs = append(m.workerIDs, id)
}

func (m *model) submit(t *rapid.T) {
	m.jobs++
	options := []placer.JobOption{
		placer.WithClass(rapid.SampledFrom([]placer.Class{placer.Urgent, placer.Service, placer.Deferred, placer.BestEffort}).Draw(t, "class")),
		placer.WithTasks(rapid.IntRange(1, 6).Draw(t, "tasks")),
		placer.WithSubmittedAt(m.now),
		placer.WithDeadline(m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Minute)),
	}
	if rapid.Bool().Draw(t, "gang") {
		options = append(options, placer.WithGang())
	}
	if rapid.Bool().Draw(t, "once") {
		options = append(options, placer.WithNonIdempotent())
	}
	constraints := placer.NewConstraints("", rapid.Bool().Draw(t, "spread"))
	if rapid.IntRange(0, 3).Draw(t, "apart") == 0 {
		constraints = constraints.WithAntiAffinity()
	}
	spec := placer.NewJobSpec(fmt.Sprintf("j%d", m.jobs), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		cores(rapid.SampledFrom([]int64{1, 2, 3, 5, 8, 16}).Draw(t, "size")), append(options, placer.WithConstraints(constraints))...)
	if m.placer.Submit(spec) == nil {
		m.specs[spec.ID()] = spec
	}
}

func (m *model) decide(t *rapid.T) {
	decisions := m.placer.Decide(m.now, rapid.IntRange(1, 50).Draw(t, "most"))
	m.decisions = append(m.decisions, decisions...)
	for _, d := range decisions {
		m.apply(t, d)
	}
	m.checkGangs(t, decisions)
}

// apply checks a decision and records it.
func (m *model) apply(t *rapid.T, d placer.Decision) {
	switch d.Kind() {
	case placer.Start:
		if _, alreadyRunning := m.running[d.Task()]; alreadyRunning {
			t.Fatalf("%v started twice", d.Task())
		}
		m.running[d.Task()] = d.Worker()
		m.startOrder = append(m.startOrder, d.Task())
	case placer.Expire:
		delete(m.specs, d.Task().Job())
	default:
		if m.running[d.Task()] != d.Worker() {
			t.Fatalf("%v of %v, which is not running on %s", d.Kind(), d.Task(), d.Worker())
		}
	}
}

// checkGangs checks that no gang started without some of its tasks.
func (m *model) checkGangs(t *rapid.T, decisions []placer.Decision) {
	for _, d := range decisions {
		if d.Kind() != placer.Start || !m.specs[d.Task().Job()].Gang() {
			continue
		}
		if pending, delayed, _, _ := m.placer.JobCounts(d.Task().Job()); pending+delayed > 0 {
			t.Fatalf("gang %s started without %d tasks", d.Task().Job(), pending+delayed)
		}
	}
}

func (m *model) finish(t *rapid.T, outcome placer.Outcome) {
	if len(m.startOrder) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.startOrder)-1).Draw(t, "task")
	id := m.startOrder[i]
	m.startOrder = append(m.startOrder[:i:i], m.startOrder[i+1:]...)
	delete(m.running, id)
	if _, err := m.placer.Finish(id, outcome, m.now); err != nil {
		t.Fatal(err)
	}
}

// check compares the allocations of the placer with the running tasks of the model. It also
// checks that these are within the totals of the workers and the quotas of the teams.
func (m *model) check(t *rapid.T) {
	usedOnWorker := map[string]placer.Resources{}
	usedByTeam := map[string]int64{}
	for id, worker := range m.running {
		spec := m.specs[id.Job()]
		usedOnWorker[worker] = usedOnWorker[worker].Add(spec.Size())
		usedByTeam[spec.Team()] += spec.Size().CPU()
	}
	for worker, used := range usedOnWorker {
		if !used.Fits(m.workers[worker]) {
			t.Fatalf("tasks on %s use %v of %v", worker, used, m.workers[worker])
		}
		if m.placer.WorkerUsed(worker) != used {
			t.Fatalf("%s: placer has %v allocated, tasks use %v", worker, m.placer.WorkerUsed(worker), used)
		}
	}
	for team, quota := range m.quotas {
		if usedByTeam[team] > quota {
			t.Fatalf("team %s uses %dm of its quota of %dm", team, usedByTeam[team], quota)
		}
	}
	if m.placer.Running() != len(m.running) {
		t.Fatalf("placer has %d running tasks, want %d", m.placer.Running(), len(m.running))
	}
}

// actions returns the random actions of a test by name. The one with the empty name checks
// the placer after each action.
func (m *model) actions(t *rapid.T) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  m.submit,
		"decide":  m.decide,
		"succeed": func(t *rapid.T) { m.finish(t, placer.Succeeded) },
		"fail":    func(t *rapid.T) { m.finish(t, placer.Failed) },
		"preempt": func(t *rapid.T) { m.finish(t, placer.Preempted) },
		"lose":    func(t *rapid.T) { m.finish(t, placer.Lost) },
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
		},
		"grow": m.addWorker,
		"limit": func(t *rapid.T) {
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			quota := m.placer.Team(team).Used().CPU() + 1000*rapid.Int64Range(0, 20).Draw(t, "limit")
			m.placer.SetQuota(team, quota)
			m.quotas[team] = quota
		},
		"leave": func(t *rapid.T) {
			id := rapid.SampledFrom(m.workerIDs).Draw(t, "worker")
			state := rapid.SampledFrom([]placer.WorkerState{placer.Live, placer.Draining}).Draw(t, "state")
			m.placer.SetWorker(placer.NewWorker(id, "r9", m.workers[id], placer.WithState(state)))
		},
		"": m.check,
	}
}

// TestAccounting checks the allocations of the placer against the model during random
// actions.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions(t))
	})
}

// TestDeterministic checks that equal calls give equal decisions.
func TestDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if a, b := runSimulation(t, seed), runSimulation(t, seed); !reflect.DeepEqual(a, b) {
			t.Fatalf("decisions differ: %v and %v", a, b)
		}
	})
}
