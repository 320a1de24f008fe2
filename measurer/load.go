package measurer

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"filberthaven.example/placer"
)

// work is one job with what only the engine knows of it.
type work struct {
	spec    placer.JobSpec
	arrive  time.Duration
	truth   time.Duration // true run time of a task, before its own variation
	seed    uint64        // of the variation between tasks
	latest  time.Duration // latest start that meets the deadline, for the oracle
	cores   float64       // core seconds finished
	ended   int           // tasks that succeeded
	failed  int           // tasks that never will
	done    time.Duration // when the last task succeeded, 0 before
	refused bool
}

// run returns the true run time of a task.
func (w *work) run(index int) time.Duration {
	random := rand.New(rand.NewPCG(w.seed, uint64(index)))
	return time.Duration(float64(w.truth) * (0.8 + 0.4*random.Float64()))
}

func (w *work) deadline() time.Duration {
	if w.spec.Deadline().IsZero() {
		return 0
	}
	return w.spec.Deadline().Sub(epoch)
}

func (w *work) late() bool { return w.deadline() != 0 && w.done > w.deadline() }

// load is workers and the jobs that arrive for them.
type load struct {
	name    string
	workers []placer.Worker
	total   placer.Resources
	teams   []string
	weights []float64
	works   []*work
	horizon time.Duration
	broken  map[string]bool // workers that fail everything
}

// fresh returns the load without what a run left in it.
func (l *load) fresh() *load {
	c := *l
	c.broken = maps.Clone(l.broken)
	c.works = make([]*work, len(l.works))
	for i, w := range l.works {
		c.works[i] = &work{spec: w.spec, arrive: w.arrive, truth: w.truth, seed: w.seed}
	}
	return &c
}

// maker builds a load from a seed.
type maker struct {
	load   *load
	random *rand.Rand
	truths map[string]float64 // true over declared run time, by team and name
}

func newMaker(name string, seed uint64, horizon time.Duration) *maker {
	return &maker{
		load:   &load{name: name, horizon: horizon, broken: map[string]bool{}},
		random: rand.New(rand.NewPCG(seed, 11)),
		truths: map[string]float64{},
	}
}

const workersPerRack = 8

func (m *maker) addWorkers(n int, total placer.Resources) {
	for range n {
		i := len(m.load.workers)
		m.load.workers = append(m.load.workers, placer.NewWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/workersPerRack), total))
		m.load.total = m.load.total.Add(total)
	}
}

// addTeams adds teams of which a few are large.
func (m *maker) addTeams(n int) {
	for i := range n {
		m.load.teams = append(m.load.teams, fmt.Sprintf("team%d", i))
		m.load.weights = append(m.load.weights, float64(1+3*((i+1)%3/2)))
	}
}

func (m *maker) team() string {
	n := len(m.load.teams)
	if m.random.IntN(2) == 0 {
		return m.load.teams[m.random.IntN(min(n, 2))]
	}
	return m.load.teams[m.random.IntN(n)]
}

// kind is one sort of job.
type kind struct {
	class    placer.Class
	name     string
	names    int           // different names of this sort for each team
	tasks    int           // most tasks of a job
	size     [2]int64      // least and most processors of a task, in thousandths
	memory   [2]int64      // least and most memory of a task, in MiB
	run      time.Duration // middle of the declared run times
	deadline time.Duration // from arrival; 0 for none
	gang     bool
}

// errorRange is how far declared run times are off, both ways.
const errorRange = 10

// truth returns the true over the declared run time of a name.
func (m *maker) truth(team, name string) float64 {
	key := team + "/" + name
	if m.truths[key] == 0 {
		m.truths[key] = math.Pow(errorRange, 2*m.random.Float64()-1)
	}
	return m.truths[key]
}

func (m *maker) between(bounds [2]int64) int64 {
	return bounds[0] + m.random.Int64N(bounds[1]-bounds[0]+1)
}

func (m *maker) add(k kind, arrive time.Duration) *work {
	id := fmt.Sprintf("j%d", len(m.load.works))
	team := m.team()
	name := fmt.Sprintf("%s%d", k.name, m.random.IntN(max(k.names, 1)))
	declared := time.Duration(float64(k.run) * (0.5 + m.random.Float64()))
	truth := m.truth(team, name)
	options := []placer.JobOption{
		placer.WithClass(k.class), placer.WithName(name), placer.WithTasks(1 + m.random.IntN(k.tasks)),
		placer.WithEstimate(time.Duration(float64(declared) / truth)), placer.WithSubmitted(epoch.Add(arrive)),
	}
	if k.deadline > 0 {
		options = append(options, placer.WithDeadline(epoch.Add(arrive+k.deadline)))
	}
	if k.gang {
		options = append(options, placer.WithGang())
	}
	size := placer.NewResources(m.between(k.size), m.between(k.memory), 0)
	w := &work{spec: placer.NewJobSpec(id, team, size, options...), arrive: arrive, truth: declared, seed: m.random.Uint64()}
	m.load.works = append(m.load.works, w)
	return w
}

// fill adds jobs of the kind, at random times, until their work reaches a part
// of what all processors do between two times.
func (m *maker) fill(k kind, part float64, from, to time.Duration) {
	goal := part * float64(m.load.total.CPU()) / 1000 * (to - from).Seconds()
	for sum := 0.0; sum < goal; {
		w := m.add(k, from+time.Duration(m.random.Int64N(int64(to-from))))
		run := w.truth
		if k.class == placer.Service {
			run = to - from
		}
		sum += float64(w.spec.Size().CPU()) / 1000 * run.Seconds() * float64(w.spec.Tasks())
	}
}
