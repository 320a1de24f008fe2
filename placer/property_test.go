package placer_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"filberthaven.example/placer"
	"pgregory.net/rapid"
)

// oracle keeps its own books of what decisions and calls did.
type oracle struct {
	placer   *placer.Placer
	reserved bool // the placer keeps a reserve
	now      time.Time
	specs    map[string]placer.JobSpec
	on       map[placer.TaskID]string // running tasks
	order    []placer.TaskID          // running tasks, oldest first
	limits   map[string]int64
	workers  map[string]placer.Resources
	names    []string
	told     []placer.Decision
	jobs     int
}

func newOracle(t *rapid.T) *oracle {
	reserved := rapid.Bool().Draw(t, "reserved")
	reserve := 0.0
	if reserved {
		reserve = 0.1
	}
	p, err := placer.New(placer.WithUrgentHeadroom(reserve), placer.WithGangPreemptAfter(time.Minute), placer.WithRetries(3, time.Second, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	o := &oracle{
		placer: p, reserved: reserved, now: begin, specs: map[string]placer.JobSpec{}, on: map[placer.TaskID]string{},
		limits: map[string]int64{}, workers: map[string]placer.Resources{},
	}
	for range rapid.IntRange(1, 6).Draw(t, "workers") {
		o.addWorker(t)
	}
	return o
}

func (o *oracle) addWorker(t *rapid.T) {
	id := fmt.Sprintf("w%d", len(o.names))
	total := cores(rapid.SampledFrom([]int64{8, 16, 32}).Draw(t, "total"))
	o.placer.SetWorker(placer.NewWorker(id, fmt.Sprintf("r%d", len(o.names)/2), total))
	o.workers[id] = total
	o.names = append(o.names, id)
}

func (o *oracle) submit(t *rapid.T) {
	o.jobs++
	options := []placer.JobOption{
		placer.WithClass(rapid.SampledFrom([]placer.Class{placer.Urgent, placer.Service, placer.Deferred, placer.BestEffort}).Draw(t, "class")),
		placer.WithTasks(rapid.IntRange(1, 6).Draw(t, "tasks")),
		placer.WithSubmitted(o.now),
		placer.WithDeadline(o.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Minute)),
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
	spec := placer.NewJobSpec(fmt.Sprintf("j%d", o.jobs), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		cores(rapid.SampledFrom([]int64{1, 2, 3, 5, 8, 16}).Draw(t, "size")), append(options, placer.WithConstraints(constraints))...)
	if o.placer.Submit(spec) == nil {
		o.specs[spec.ID()] = spec
	}
}

func (o *oracle) decide(t *rapid.T) {
	decisions := o.placer.Decide(o.now, rapid.IntRange(1, 50).Draw(t, "most"))
	o.told = append(o.told, decisions...)
	for _, d := range decisions {
		o.note(t, d)
	}
	o.gangsAreWhole(t, decisions)
}

// note writes a decision into the oracle's books.
func (o *oracle) note(t *rapid.T, d placer.Decision) {
	switch d.Kind() {
	case placer.Start:
		if _, twice := o.on[d.Task()]; twice {
			t.Fatalf("%v started twice", d.Task())
		}
		o.on[d.Task()] = d.Worker()
		o.order = append(o.order, d.Task())
	case placer.Expire:
		delete(o.specs, d.Task().Job())
	default:
		if o.on[d.Task()] != d.Worker() {
			t.Fatalf("%v of %v, which isn't on %s", d.Kind(), d.Task(), d.Worker())
		}
	}
}

// gangsAreWhole fails when a start leaves a part of a gang waiting.
func (o *oracle) gangsAreWhole(t *rapid.T, decisions []placer.Decision) {
	for _, d := range decisions {
		if d.Kind() != placer.Start || !o.specs[d.Task().Job()].Gang() {
			continue
		}
		if pending, delayed, _, _ := o.placer.JobCounts(d.Task().Job()); pending+delayed > 0 {
			t.Fatalf("gang %s started without %d tasks", d.Task().Job(), pending+delayed)
		}
	}
}

func (o *oracle) finish(t *rapid.T, outcome placer.Outcome) {
	if len(o.order) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.order)-1).Draw(t, "task")
	id := o.order[i]
	o.order = append(o.order[:i:i], o.order[i+1:]...)
	delete(o.on, id)
	if _, err := o.placer.Finish(id, outcome, o.now); err != nil {
		t.Fatal(err)
	}
}

func (o *oracle) check(t *rapid.T) {
	onWorker := map[string]placer.Resources{}
	byTeam := map[string]int64{}
	for id, worker := range o.on {
		spec := o.specs[id.Job()]
		onWorker[worker] = onWorker[worker].Add(spec.Size())
		byTeam[spec.Team()] += spec.Size().CPU()
	}
	for worker, used := range onWorker {
		if !used.Fits(o.workers[worker]) {
			t.Fatalf("%s holds %v of %v", worker, used, o.workers[worker])
		}
		if o.placer.WorkerUsed(worker) != used {
			t.Fatalf("%s: books say %v, tasks hold %v", worker, o.placer.WorkerUsed(worker), used)
		}
	}
	for team, limit := range o.limits {
		if byTeam[team] > limit {
			t.Fatalf("team %s runs %dm of %dm", team, byTeam[team], limit)
		}
	}
	if o.placer.Running() != len(o.on) {
		t.Fatalf("books say %d run, %d do", o.placer.Running(), len(o.on))
	}
}

func (o *oracle) actions(t *rapid.T) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  o.submit,
		"decide":  o.decide,
		"succeed": func(t *rapid.T) { o.finish(t, placer.Succeeded) },
		"fail":    func(t *rapid.T) { o.finish(t, placer.Failed) },
		"preempt": func(t *rapid.T) { o.finish(t, placer.Preempted) },
		"lose":    func(t *rapid.T) { o.finish(t, placer.Lost) },
		"wait": func(t *rapid.T) {
			o.now = o.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
		},
		"grow": o.addWorker,
		"limit": func(t *rapid.T) {
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			limit := o.placer.Team(team).Used().CPU() + 1000*rapid.Int64Range(0, 20).Draw(t, "limit")
			o.placer.SetQuota(team, limit)
			o.limits[team] = limit
		},
		"leave": func(t *rapid.T) {
			id := rapid.SampledFrom(o.names).Draw(t, "worker")
			state := rapid.SampledFrom([]placer.WorkerState{placer.Live, placer.Draining}).Draw(t, "state")
			o.placer.SetWorker(placer.NewWorker(id, "r9", o.workers[id], placer.WithState(state)))
		},
		"": o.check,
	}
}

func TestBooks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(o.actions(t))
	})
}

// TestReplay checks that equal calls give equal decisions.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if a, b := play(t, seed), play(t, seed); !reflect.DeepEqual(a, b) {
			t.Fatalf("decisions differ: %v and %v", a, b)
		}
	})
}
