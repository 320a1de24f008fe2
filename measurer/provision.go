package measurer

import (
	"fmt"
	"math"
	"time"

	"filberthaven.example/estimator"
	"filberthaven.example/placer"
)

// The night for which the number of VMs is chosen.
const (
	nightLength    = 10 * time.Hour   // until dawn
	nightMargin    = 30 * time.Minute // before dawn, for the last tasks
	arrivalPeriod  = time.Hour        // from the first to the last arrival
	bootTime       = 3 * time.Minute  // from renting a VM until it takes tasks
	reviewInterval = 5 * time.Minute  // between two choices of the number of VMs
	nightWork      = 3.0              // work that arrives, in hours of the whole fleet
	samples        = 40               // number of samples of the backlog's run times
	confidence     = 0.95             // fraction of the samples that must meet the deadlines
	maxUtilization = 0.9              // fraction of the processors that tasks can use
	minVMs         = 2
)

// nightLoad returns a load of route plans that are all due at dawn.
func nightLoad(seed uint64) *load {
	b := newLoadBuilder("night", seed, nightLength)
	b.addWorkers(50, placer.NewResources(32_000, 64<<10, 0))
	b.addTeams(6)
	kind := routes
	kind.memory = [2]int64{512, 8 << 10}
	for arrival, goal, sum := time.Duration(0), nightWork*float64(b.load.total.CPU())/1000, 0.0; sum < goal; {
		arrival = time.Duration(b.random.Int64N(int64(arrivalPeriod)))
		kind.deadline = nightLength - arrival
		j := b.addJob(kind, arrival)
		sum += float64(j.spec.Size().CPU()) / 1000 * j.runTime.Hours() * float64(j.spec.Tasks())
	}
	return b.load
}

// autoscaler rents VMs and returns them while a load runs.
type autoscaler struct {
	load         *load
	placer       *placer.Placer
	chooseTarget func(a *autoscaler, now time.Duration) int
	target       int                      // number of VMs to rent
	readyAt      map[string]time.Duration // when a rented VM takes tasks, by identifier
	nextReview   time.Duration
	lastStep     time.Duration
	vmHours      float64 // hours of rented VMs, which is what they cost
	maxRented    int     // most VMs rented at one time
}

// step adds up the hours of the rented VMs, chooses a new target every reviewInterval, and
// rents or drains VMs to meet the target.
func (a *autoscaler) step(now time.Duration) {
	rented := a.rented()
	a.vmHours += float64(rented) * (now - a.lastStep).Hours()
	a.maxRented = max(a.maxRented, rented)
	a.lastStep = now
	if now >= a.nextReview {
		a.nextReview = now + reviewInterval
		a.target = min(max(a.chooseTarget(a, now), minVMs), len(a.load.workers))
	}
	for i, w := range a.load.workers {
		a.setWorker(w, i < a.target, now)
	}
}

// rented returns how many VMs are within the target or still run tasks.
func (a *autoscaler) rented() int {
	n := 0
	for i, w := range a.load.workers {
		if i < a.target || !a.placer.WorkerUsed(w.ID()).IsZero() {
			n++
		}
	}
	return n
}

// setWorker rents the VM, which takes tasks after bootTime, or drains it.
func (a *autoscaler) setWorker(w placer.Worker, rent bool, now time.Duration) {
	if !rent {
		delete(a.readyAt, w.ID())
	} else if _, known := a.readyAt[w.ID()]; !known {
		a.readyAt[w.ID()] = now + bootTime
	}
	state := placer.Draining
	if at, known := a.readyAt[w.ID()]; known && now >= at {
		state = placer.Live
	}
	if current, _ := a.placer.Worker(w.ID()); current.State() != state {
		a.placer.SetWorker(placer.NewWorker(w.ID(), w.Rack(), w.Total(), placer.WithState(state)))
	}
}

// threshold returns a method that changes the number of VMs by the fraction step. It adds
// VMs while tasks wait and more than the fraction high of the processors is allocated, and
// removes VMs while less than the fraction low is allocated.
func threshold(high, low, step float64) func(*autoscaler, time.Duration) int {
	return func(a *autoscaler, _ time.Duration) int {
		allocated := ratio(float64(a.placer.Used().CPU()), float64(a.target)*float64(a.load.workers[0].Total().CPU()))
		change := int(math.Ceil(step * float64(a.target)))
		switch {
		case allocated > high && a.placer.Pending() > 0:
			return a.target + change
		case allocated < low:
			return a.target - change
		}
		return a.target
	}
}

// feedForward returns the smallest number of VMs that does the backlog and the work still to
// arrive by dawn, less nightMargin, with the given confidence. It samples the learned run
// times of the backlog.
func feedForward(a *autoscaler, now time.Duration) int {
	return a.placer.WorkersNeeded(epoch.Add(now), placer.SizingParams{
		Confidence: confidence, Samples: samples, Margin: nightMargin, MaxUtilization: maxUtilization,
		Worker: a.load.workers[0].Total(), ExpectedWork: a.expectedWork(now),
	})
}

// expectedWork returns the core seconds that are still to arrive, at a constant rate over
// arrivalPeriod.
func (a *autoscaler) expectedWork(now time.Duration) float64 {
	total := nightWork * float64(a.load.total.CPU()) / 1000 * time.Hour.Seconds()
	return total * max(arrivalPeriod-now, 0).Hours() / arrivalPeriod.Hours()
}

// SizingResult holds the cost and the misses of one method that chooses the number of VMs
// for a night.
type SizingResult struct {
	Name   string  `json:"name"`
	Hours  float64 `json:"hours"`  // hours of rented VMs
	Most   int     `json:"most"`   // most VMs at one time
	Missed float64 `json:"missed"` // fraction of the jobs due that were not done in time
}

// runNights measures both methods on the same night.
func runNights(seed uint64) ([]SizingResult, error) {
	reactive, err := runNight("threshold", seed, threshold(0.9, 0.6, 0.2))
	if err != nil {
		return nil, err
	}
	predictive, err := runNight("feed forward", seed, feedForward)
	if err != nil {
		return nil, err
	}
	return []SizingResult{reactive, predictive}, nil
}

func runNight(name string, seed uint64, chooseTarget func(*autoscaler, time.Duration) int) (SizingResult, error) {
	night := nightLoad(seed)
	p, pl, runTimes, err := placerWithEstimator(night, seed)
	if err != nil {
		return SizingResult{}, err
	}
	scaler := &autoscaler{
		load: night, placer: pl,
		chooseTarget: chooseTarget, target: minVMs, readyAt: map[string]time.Duration{},
	}
	if err := observeRunTimes(runTimes, nightLoad(seed)); err != nil {
		return SizingResult{}, err
	}
	for i := range minVMs {
		scaler.readyAt[night.workers[i].ID()] = 0
	}
	p.submit = func(j *job, _ time.Time) error { return pl.Submit(j.spec) }
	decide := p.decide
	p.decide = func(now time.Time) []order {
		scaler.step(now.Sub(epoch))
		return decide(now)
	}
	t := newEngine(night, p).run()
	return SizingResult{Name: name, Hours: scaler.vmHours, Most: scaler.maxRented, Missed: t.missedFraction()}, nil
}

// observeRunTimes lets the estimator learn from an earlier evening: it observes the run time
// of the first task of each job. runNight passes the same jobs as those it measures.
func observeRunTimes(runTimes *estimator.Estimator, before *load) error {
	for _, j := range before.jobs {
		if err := runTimes.ObserveRunTime(j.spec.Team(), j.spec.Name(), j.taskRunTime(0), j.spec.Estimate()); err != nil {
			return fmt.Errorf("evening before: %w", err)
		}
	}
	return nil
}
