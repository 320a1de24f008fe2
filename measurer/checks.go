package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"filberthaven.example/placer"
)

// Targets of the checks. All are fractions except maxUrgentWait.
const (
	minPacking       = 0.95 // workers needed by volume divided by workers used
	maxShareDistance = 0.02 // difference between a team's share and its fair share
	maxUrgentWait    = 1.0  // seconds
	maxExcessMisses  = 0.01 // fraction of the jobs due that the placer misses minus that of the oracle
	minBrokenWork    = 0.85 // work done with a tenth of the workers broken divided by work done with none broken
	minOverloadWork  = 0.95 // work in time at twice the capacity divided by the peak
)

// runChecks checks the results of the workloads and runs the checks that need a load of
// their own.
func runChecks(seed uint64, loads []Load) ([]Check, error) {
	var checks []Check
	for _, l := range loads {
		checks = append(checks, loadChecks(l)...)
	}
	for _, check := range []func(uint64) (Check, error){checkPacking, checkShares, checkBroken, checkOverload} {
		c, err := check(seed)
		if err != nil {
			return nil, err
		}
		checks = append(checks, c)
	}
	return checks, nil
}

// loadChecks checks the results of the placer for a workload against the targets and the
// oracle.
func loadChecks(l Load) []Check {
	measured, ideal := l.Policies[0], l.Policies[2]
	checks := []Check{
		atMost(l.Name+": urgent start p99", measured.Waits[0].P99, maxUrgentWait, "seconds from arrival to start"),
	}
	if measured.Due > 0 {
		checks = append(checks, atMost(l.Name+": deadlines missed beyond the oracle", measured.Missed-ideal.Missed, maxExcessMisses, "fraction of deferred jobs; the oracle knows run times and ignores shares"))
	}
	return checks
}

// packingSeeds is the number of seeds that the packing is measured with.
const packingSeeds = 5

// checkPacking checks the worst packing over packingSeeds consecutive seeds, the
// given one being the first.
func checkPacking(first uint64) (Check, error) {
	worst := Check{Figure: math.Inf(1)}
	for seed := first; seed < first+packingSeeds; seed++ {
		c, err := measurePacking(seed)
		if err != nil {
			return Check{}, err
		}
		if c.Figure < worst.Figure {
			worst = c
		}
	}
	worst.Note += fmt.Sprintf("; worst of %d seeds", packingSeeds)
	return worst, nil
}

// measurePacking places mixed jobs on a fleet with unused capacity and compares the number
// of workers used with the least that the volume of the jobs needs.
func measurePacking(seed uint64) (Check, error) {
	const workers, utilization = 400, 0.6
	b := newLoadBuilder("packing", seed, time.Hour)
	b.addWorkers(workers, placer.NewResources(16_000, 64<<10, 0))
	b.addTeams(6)
	mixedJobs := jobKind{class: placer.Deferred, name: "mixed", nameCount: 4, maxTasks: 6, cpu: [2]int64{250, 4000}, memory: [2]int64{256, 16 << 10}, meanRunTime: time.Hour}
	b.addJobs(mixedJobs, utilization, 0, time.Hour)
	_, pl, err := placerPolicy(b.load, seed)
	if err != nil {
		return Check{}, err
	}
	for _, j := range b.load.jobs {
		if err := pl.Submit(j.spec); err != nil {
			return Check{}, fmt.Errorf("packing: %w", err)
		}
	}
	pl.Decide(epoch, maxDecisions)
	if pl.Pending() > 0 {
		return Check{}, fmt.Errorf("packing: %d tasks fit on no worker", pl.Pending())
	}
	perWorker := b.load.workers[0].Total()
	bound := math.Ceil(max(float64(pl.Used().CPU())/float64(perWorker.CPU()), float64(pl.Used().Memory())/float64(perWorker.Memory())))
	used := workers - len(pl.IdleWorkers(epoch))
	return atLeast("packing", bound/float64(used), minPacking, fmt.Sprintf("%.0f workers needed by volume, %d used", bound, used)), nil
}

// checkShares checks the shares of teams of different weights that fill the fleet with
// short tasks. One team arrives first and uses the whole fleet when the others arrive.
func checkShares(seed uint64) (Check, error) {
	const settleTime = 10 * time.Second
	b := newLoadBuilder("shares", seed, time.Minute)
	b.addWorkers(100, placer.NewResources(16_000, 64<<10, 0))
	shortJobs := jobKind{class: placer.Deferred, name: "short", nameCount: 4, maxTasks: 20, cpu: [2]int64{250, 1000}, memory: [2]int64{256, 2 << 10}, meanRunTime: 3 * time.Second}
	b.load.teams, b.load.weights = []string{"first"}, []float64{1}
	b.addJobs(shortJobs, 2, 0, time.Second)
	b.addJobs(shortJobs, 1.5, time.Second, time.Minute)
	b.load.teams, b.load.weights = nil, nil
	b.addTeams(6)
	b.addJobs(shortJobs, 2, 4*time.Second, 5*time.Second)
	b.addJobs(shortJobs, 4, 5*time.Second, time.Minute)
	b.load.teams, b.load.weights = append(b.load.teams, "first"), append(b.load.weights, 1)
	pol, pl, err := placerPolicy(b.load, seed)
	if err != nil {
		return Check{}, err
	}
	e := newEngine(b.load, pol)
	worst, worstAt := 0.0, time.Duration(0)
	pol.decide = withShareReport(pol.decide, pl, 5*time.Second+settleTime, func(distance float64, now time.Duration) {
		if distance > worst {
			worst, worstAt = distance, now
		}
	})
	e.run()
	return atMost("distance from share", worst, maxShareDistance, fmt.Sprintf("fraction of the fleet; worst of 7 teams, from 10 s after the arrival of all, at %v", worstAt)), nil
}

// withShareReport wraps decide. After each call at the time from or later, it reports the
// distance of each team from its fair share.
func withShareReport(decide func(time.Time) []order, p *placer.Placer, from time.Duration, report func(float64, time.Duration)) func(time.Time) []order {
	return func(now time.Time) []order {
		orders := decide(now)
		elapsed := now.Sub(epoch)
		if elapsed < from {
			return orders
		}
		for _, t := range p.Teams() {
			report(math.Abs(t.Share()-t.FairShare()), elapsed)
		}
		return orders
	}
}

// steadyJobs are the jobs of checkBroken and checkOverload.
var steadyJobs = jobKind{class: placer.Deferred, name: "steady", nameCount: 10, maxTasks: 6, cpu: [2]int64{500, 2000}, memory: [2]int64{512, 4 << 10}, meanRunTime: 40 * time.Second, deadline: 10 * time.Minute}

// steadyLoad returns a load of steady jobs whose work is the fraction of what all
// processors do in an hour.
func steadyLoad(seed uint64, fraction float64) *load {
	b := newLoadBuilder("steady", seed, time.Hour)
	b.addWorkers(100, placer.NewResources(16_000, 64<<10, 0))
	b.addTeams(6)
	b.addJobs(steadyJobs, fraction, 0, time.Hour)
	return b.load
}

// checkBroken compares the work done while all tasks fail on a tenth of the workers with
// the work done by a fleet without broken workers.
func checkBroken(seed uint64) (Check, error) {
	l := steadyLoad(seed, 1.5)
	healthy, err := runPlacerPolicy(l.freshCopy(), seed)
	if err != nil {
		return Check{}, err
	}
	broken := l.freshCopy()
	random := rand.New(rand.NewPCG(seed, 3))
	for _, i := range random.Perm(len(l.workers))[:len(l.workers)/10] {
		broken.broken[l.workers[i].ID()] = true
	}
	degraded, err := runPlacerPolicy(broken, seed)
	if err != nil {
		return Check{}, err
	}
	failed := 0
	for _, j := range broken.jobs {
		failed += j.failed
	}
	return atLeast("work with a tenth of the workers broken", ratio(degraded.coreSeconds, healthy.coreSeconds), minBrokenWork, fmt.Sprintf("fraction of the work without broken workers; %d tasks ran out of retries", failed)), nil
}

// checkOverload compares the work done in time at twice the capacity with the peak at loads
// of 0.8 to 1.1 of the capacity.
func checkOverload(seed uint64) (Check, error) {
	peak := 0.0
	for _, fraction := range []float64{0.8, 0.9, 1.0, 1.1} {
		t, err := runPlacerPolicy(steadyLoad(seed, fraction), seed)
		if err != nil {
			return Check{}, err
		}
		peak = max(peak, t.goodput)
	}
	t, err := runPlacerPolicy(steadyLoad(seed, 2), seed)
	if err != nil {
		return Check{}, err
	}
	return atLeast("work in time at twice the capacity", ratio(t.goodput, peak), minOverloadWork, fmt.Sprintf("fraction of the peak of %.0f core seconds; %d of %d jobs refused", peak, t.refused, t.jobs)), nil
}

// runPlacerPolicy runs the load with the placer and returns what was counted.
func runPlacerPolicy(l *load, seed uint64) (*tally, error) {
	p, _, err := placerPolicy(l, seed)
	if err != nil {
		return nil, err
	}
	return newEngine(l, p).run(), nil
}
