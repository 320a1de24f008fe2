package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// SizingParams says what the number of workers for deferred work is reckoned from.
type SizingParams struct {
	Confidence     float64       // part of the draws that must be in time, from 0 to 1
	Samples        int           // of the backlog's run times
	Margin         time.Duration // kept before each deadline
	MaxUtilization float64       // part of a worker that tasks can fill, above 0
	Worker         Resources     // what one worker offers
	ExpectedWork   float64       // core seconds still expected before the last deadline
}

// dueWork is work that is due at a time.
type dueWork struct {
	deadline int64 // nanoseconds since 1970
	job      *job
}

// WorkersNeeded returns the smallest number of workers with which the deferred work
// that waits or runs, and what is still expected, meets its deadlines in the
// wanted part of the draws. The idea is the feed-forward control of the thesis
// "Autonomic Resource Management for a Cluster that Executes Batch Jobs" (Sung,
// Waterloo 2006); draws from learned run times take the place of its
// simulations ahead of time. Services and urgent tasks that run are added as
// they are. The draws come from a random source with the seed of the placer.
func (p *Placer) WorkersNeeded(now time.Time, need SizingParams) int {
	due := p.dueWork()
	random := rand.New(rand.NewPCG(p.settings.seed, uint64(now.UnixNano())))
	draws := make([]float64, max(need.Samples, 1))
	for i := range draws {
		draws[i] = p.drawNeed(due, nanos(now), need, random)
	}
	slices.Sort(draws)
	at := min(int(need.Confidence*float64(len(draws))), len(draws)-1)
	return int(math.Ceil(draws[at] + p.steady(need.Worker)))
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

// drawNeed returns the workers needed for one draw: at each deadline all work
// that is due by then must be done.
func (p *Placer) drawNeed(due []dueWork, now int64, need SizingParams, random *rand.Rand) float64 {
	each := need.MaxUtilization * float64(need.Worker.cpu) / 1000
	work, most := need.ExpectedWork, 0.0
	for _, d := range due {
		took := p.settings.draw(d.job.spec, random.Float64())
		work += float64(d.job.spec.size.cpu) / 1000 * took.Seconds() * float64(d.job.unfinished())
		left := time.Duration(d.deadline-now) - need.Margin
		most = max(most, work/each/max(left, need.Margin, time.Second).Seconds())
	}
	return most
}

// steady returns the workers that running services and urgent tasks fill.
func (p *Placer) steady(worker Resources) float64 {
	var cpu int64
	for _, n := range p.nodes {
		cpu += n.stay.cpu
	}
	return float64(cpu) / float64(max(worker.cpu, 1))
}
