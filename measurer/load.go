package measurer

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"filberthaven.example/placer"
)

// job is a job of a load, with its progress in the engine. Only the engine and the oracle
// use the true run time.
type job struct {
	spec        placer.JobSpec
	arrival     time.Duration
	runTime     time.Duration // true run time of the tasks, without the variation between them
	seed        uint64        // of the variation between tasks
	latestStart time.Duration // latest start that meets the deadline; set for the oracle only
	coreSeconds float64       // of tasks that succeeded
	succeeded   int           // tasks that succeeded
	failed      int           // tasks that will not run again; all tasks once the job has expired
	completedAt time.Duration // when the last task succeeded, 0 before
	refused     bool
}

// taskRunTime returns the true run time of a task, which is 0.8 to 1.2 times that of the
// job.
func (j *job) taskRunTime(index int) time.Duration {
	random := rand.New(rand.NewPCG(j.seed, uint64(index)))
	return time.Duration(float64(j.runTime) * (0.8 + 0.4*random.Float64()))
}

func (j *job) deadline() time.Duration {
	if j.spec.Deadline().IsZero() {
		return 0
	}
	return j.spec.Deadline().Sub(epoch)
}

func (j *job) late() bool { return j.deadline() != 0 && j.completedAt > j.deadline() }

// load is a fleet of workers and the jobs that arrive for it.
type load struct {
	name    string
	workers []placer.Worker
	total   placer.Resources // of all workers
	teams   []string
	weights []float64 // weights of the teams, in the same order
	jobs    []*job
	horizon time.Duration   // end of the run
	broken  map[string]bool // workers on which every task fails
}

// freshCopy returns a copy of the load for another run, without the progress of jobs.
func (l *load) freshCopy() *load {
	fresh := *l
	fresh.broken = maps.Clone(l.broken)
	fresh.jobs = make([]*job, len(l.jobs))
	for i, j := range l.jobs {
		fresh.jobs[i] = &job{spec: j.spec, arrival: j.arrival, runTime: j.runTime, seed: j.seed}
	}
	return &fresh
}

// loadBuilder builds a load from a seed.
type loadBuilder struct {
	load          *load
	random        *rand.Rand
	runTimeRatios map[string]float64 // true divided by declared run time, by team and name
}

func newLoadBuilder(name string, seed uint64, horizon time.Duration) *loadBuilder {
	return &loadBuilder{
		load:          &load{name: name, horizon: horizon, broken: map[string]bool{}},
		random:        rand.New(rand.NewPCG(seed, 11)),
		runTimeRatios: map[string]float64{},
	}
}

const workersPerRack = 8

func (b *loadBuilder) addWorkers(n int, total placer.Resources) {
	for range n {
		i := len(b.load.workers)
		b.load.workers = append(b.load.workers, placer.NewWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/workersPerRack), total))
		b.load.total = b.load.total.Add(total)
	}
}

// addTeams adds n teams. Every third has weight 4, the others have weight 1.
func (b *loadBuilder) addTeams(n int) {
	for i := range n {
		b.load.teams = append(b.load.teams, fmt.Sprintf("team%d", i))
		b.load.weights = append(b.load.weights, float64(1+3*((i+1)%3/2)))
	}
}

// randomTeam returns one of the first two teams in half of the calls, else any team.
func (b *loadBuilder) randomTeam() string {
	n := len(b.load.teams)
	if b.random.IntN(2) == 0 {
		return b.load.teams[b.random.IntN(min(n, 2))]
	}
	return b.load.teams[b.random.IntN(n)]
}

// jobKind describes the jobs of one kind in a load.
type jobKind struct {
	class       placer.Class
	name        string
	nameCount   int           // number of different job names in each team
	maxTasks    int           // of a job
	cpu         [2]int64      // least and most processors of a task, in thousandths
	memory      [2]int64      // least and most memory of a task, in MiB
	meanRunTime time.Duration // true run times lie between 0.5 and 1.5 times this
	deadline    time.Duration // from arrival; 0 for none
	gang        bool
}

// maxEstimateError is the largest factor by which declared run times are too short or too
// long.
const maxEstimateError = 10

// runTimeRatio returns the true run time of a name divided by the declared one. It is
// drawn once for each name of a team.
func (b *loadBuilder) runTimeRatio(team, name string) float64 {
	key := team + "/" + name
	if b.runTimeRatios[key] == 0 {
		b.runTimeRatios[key] = math.Pow(maxEstimateError, 2*b.random.Float64()-1)
	}
	return b.runTimeRatios[key]
}

// uniform returns a random number from bounds[0] to bounds[1], both included.
func (b *loadBuilder) uniform(bounds [2]int64) int64 {
	return bounds[0] + b.random.Int64N(bounds[1]-bounds[0]+1)
}

// addJob adds a job of the kind, of a random team, and returns it.
func (b *loadBuilder) addJob(kind jobKind, arrival time.Duration) *job {
	id := fmt.Sprintf("j%d", len(b.load.jobs))
	team := b.randomTeam()
	name := fmt.Sprintf("%s%d", kind.name, b.random.IntN(max(kind.nameCount, 1)))
	runTime := time.Duration(float64(kind.meanRunTime) * (0.5 + b.random.Float64()))
	runTimeRatio := b.runTimeRatio(team, name)
	options := []placer.JobOption{
		placer.WithClass(kind.class), placer.WithName(name), placer.WithTasks(1 + b.random.IntN(kind.maxTasks)),
		placer.WithEstimate(time.Duration(float64(runTime) / runTimeRatio)), placer.WithSubmittedAt(epoch.Add(arrival)),
	}
	if kind.deadline > 0 {
		options = append(options, placer.WithDeadline(epoch.Add(arrival+kind.deadline)))
	}
	if kind.gang {
		options = append(options, placer.WithGang())
	}
	size := placer.NewResources(b.uniform(kind.cpu), b.uniform(kind.memory), 0)
	j := &job{spec: placer.NewJobSpec(id, team, size, options...), arrival: arrival, runTime: runTime, seed: b.random.Uint64()}
	b.load.jobs = append(b.load.jobs, j)
	return j
}

// addJobs adds jobs of the kind that arrive at random times between from and to, until
// their work reaches the fraction of what all processors do in that time.
func (b *loadBuilder) addJobs(kind jobKind, fraction float64, from, to time.Duration) {
	goal := fraction * float64(b.load.total.CPU()) / 1000 * (to - from).Seconds()
	for sum := 0.0; sum < goal; {
		j := b.addJob(kind, from+time.Duration(b.random.Int64N(int64(to-from))))
		runTime := j.runTime
		if kind.class == placer.Service {
			runTime = to - from
		}
		sum += float64(j.spec.Size().CPU()) / 1000 * runTime.Seconds() * float64(j.spec.Tasks())
	}
}
