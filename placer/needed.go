package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// SizingParams are the parameters of WorkersNeeded.
type SizingParams struct {
	Confidence     float64       // fraction of the samples that must meet all deadlines, from 0 to 1
	Samples        int           // number of samples of the backlog's run times; at least one is taken
	Margin         time.Duration // time kept free before each deadline; also the least time assumed to be left
	MaxUtilization float64       // fraction of a worker that tasks can use, above 0
	Worker         Resources     // total of one worker
	ExpectedWork   float64       // core seconds that are expected to arrive
}

// dueWork is a job with its deadline.
type dueWork struct {
	deadline int64 // nanoseconds since 1970
	job      *job
}

// WorkersNeeded returns the smallest number of workers with which all deferred work meets
// its deadlines in at least the fraction Confidence of the samples. The work is that of
// waiting and running tasks and the expected work. Workers for running services are added.
// The method is the feed-forward control of the thesis
// "Autonomic Resource Management for a Cluster that Executes Batch Jobs" (Sung, Waterloo
// 2006), with samples of learned run times in place of simulations ahead of time. The
// random source is seeded with the seed of the placer and the time.
func (p *Placer) WorkersNeeded(now time.Time, params SizingParams) int {
	due := p.dueWork()
	random := rand.New(rand.NewPCG(p.settings.seed, uint64(now.UnixNano())))
	samples := make([]float64, max(params.Samples, 1))
	for i := range samples {
		samples[i] = p.sampleNeed(due, nanos(now), params, random)
	}
	slices.Sort(samples)
	rank := min(int(params.Confidence*float64(len(samples))), len(samples)-1)
	return int(math.Ceil(samples[rank] + p.serviceWorkers(params.Worker)))
}

// dueWork returns the deferred jobs with a deadline, the earliest first.
func (p *Placer) dueWork() []dueWork {
	var due []dueWork
	for _, t := range p.teams {
		for _, j := range t.jobs {
			if j.spec.class == Deferred && !j.spec.deadline.IsZero() {
				due = append(due, dueWork{nanos(j.spec.deadline), j})
			}
		}
	}
	slices.SortFunc(due, func(a, b dueWork) int {
		return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.job.serial, b.job.serial))
	})
	return due
}

// sampleNeed draws one sample of run times and returns the number of workers with which all
// due work would meet its deadlines.
func (p *Placer) sampleNeed(due []dueWork, now int64, params SizingParams, random *rand.Rand) float64 {
	perWorker := params.MaxUtilization * float64(params.Worker.cpu) / 1000
	work, workers := params.ExpectedWork, 0.0
	for _, d := range due {
		runTime := p.settings.runTimeQuantile(d.job.spec, random.Float64())
		work += float64(d.job.spec.size.cpu) / 1000 * runTime.Seconds() * float64(d.job.unfinished())
		left := time.Duration(d.deadline-now) - params.Margin
		workers = max(workers, work/perWorker/max(left, params.Margin, time.Second).Seconds())
	}
	return workers
}

// serviceWorkers returns how many workers have as many processors as running services use.
func (p *Placer) serviceWorkers(worker Resources) float64 {
	var cpu int64
	for _, n := range p.nodes {
		cpu += n.serviceUsed.cpu
	}
	return float64(cpu) / float64(max(worker.cpu, 1))
}
