package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"filberthaven.example/placer"
)

// The targets.
const (
	leastPacking  = 0.95
	mostDistance  = 0.02
	mostUrgent    = 1.0 // seconds
	mostOverMiss  = 0.01
	leastBroken   = 0.85
	leastOverload = 0.95
)

// runChecks measures the targets that need a load of their own, and those that
// follow from the workloads.
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

func loadChecks(l Load) []Check {
	own, best := l.Policies[0], l.Policies[2]
	checks := []Check{
		atMost(l.Name+": urgent start p99", own.Waits[0].P99, mostUrgent, "seconds from arrival to start"),
	}
	if own.Due > 0 {
		checks = append(checks, atMost(l.Name+": deadlines missed beyond the oracle", own.Missed-best.Missed, mostOverMiss, "part of deferred jobs; the oracle knows run times and no shares"))
	}
	return checks
}

// packings is how many loads the packing is measured with.
const packings = 5

// checkPacking returns the worst packing over seeds from the first on.
func checkPacking(first uint64) (Check, error) {
	worst := Check{Figure: math.Inf(1)}
	for seed := first; seed < first+packings; seed++ {
		c, err := packOnce(seed)
		if err != nil {
			return Check{}, err
		}
		if c.Figure < worst.Figure {
			worst = c
		}
	}
	worst.Note += fmt.Sprintf("; worst of %d seeds", packings)
	return worst, nil
}

// packOnce places mixed work on a fleet with room to spare and compares the
// workers used with the least that its volume needs.
func packOnce(seed uint64) (Check, error) {
	const workers, filled = 400, 0.6
	m := newMaker("packing", seed, time.Hour)
	m.addWorkers(workers, placer.NewResources(16_000, 64<<10, 0))
	m.addTeams(6)
	mixed := kind{class: placer.Deferred, name: "mixed", names: 4, tasks: 6, size: [2]int64{250, 4000}, memory: [2]int64{256, 16 << 10}, run: time.Hour}
	m.fill(mixed, filled, 0, time.Hour)
	_, p, err := ours(m.load, seed)
	if err != nil {
		return Check{}, err
	}
	for _, w := range m.load.works {
		if err := p.Submit(w.spec); err != nil {
			return Check{}, fmt.Errorf("packing: %w", err)
		}
	}
	p.Decide(epoch, atOnce)
	if p.Pending() > 0 {
		return Check{}, fmt.Errorf("packing: %d tasks found no room", p.Pending())
	}
	one := m.load.workers[0].Total()
	bound := math.Ceil(max(float64(p.Used().CPU())/float64(one.CPU()), float64(p.Used().Memory())/float64(one.Memory())))
	used := workers - len(p.IdleWorkers(epoch))
	return atLeast("packing", bound/float64(used), leastPacking, fmt.Sprintf("%.0f workers needed by volume, %d used", bound, used)), nil
}

// checkShares lets teams of unlike weights fill the fleet with short tasks. One
// team comes first and holds everything when the others arrive.
func checkShares(seed uint64) (Check, error) {
	const settle = 10 * time.Second
	m := newMaker("shares", seed, time.Minute)
	m.addWorkers(100, placer.NewResources(16_000, 64<<10, 0))
	short := kind{class: placer.Deferred, name: "short", names: 4, tasks: 20, size: [2]int64{250, 1000}, memory: [2]int64{256, 2 << 10}, run: 3 * time.Second}
	m.load.teams, m.load.weights = []string{"first"}, []float64{1}
	m.fill(short, 2, 0, time.Second)
	m.fill(short, 1.5, time.Second, time.Minute)
	m.load.teams, m.load.weights = nil, nil
	m.addTeams(6)
	m.fill(short, 2, 4*time.Second, 5*time.Second)
	m.fill(short, 4, 5*time.Second, time.Minute)
	m.load.teams, m.load.weights = append(m.load.teams, "first"), append(m.load.weights, 1)
	own, p, err := ours(m.load, seed)
	if err != nil {
		return Check{}, err
	}
	e := newEngine(m.load, own)
	worst, at := 0.0, time.Duration(0)
	own.decide = measuringShares(own.decide, p, 5*time.Second+settle, func(distance float64, now time.Duration) {
		if distance > worst {
			worst, at = distance, now
		}
	})
	e.run()
	return atMost("distance from share", worst, mostDistance, fmt.Sprintf("part of the fleet, worst of 7 teams from 10 s on, at %v", at)), nil
}

// measuringShares reports the largest distance of a team from its share, held
// over a second, after each decision from a time on.
func measuringShares(decide func(time.Time) []order, p *placer.Placer, from time.Duration, report func(float64, time.Duration)) func(time.Time) []order {
	return func(now time.Time) []order {
		orders := decide(now)
		past := now.Sub(epoch)
		if past < from {
			return orders
		}
		for _, t := range p.Teams() {
			report(math.Abs(t.Share()-t.FairShare()), past)
		}
		return orders
	}
}

// steady is the work of the checks of faults and overload.
var steady = kind{class: placer.Deferred, name: "steady", names: 10, tasks: 6, size: [2]int64{500, 2000}, memory: [2]int64{512, 4 << 10}, run: 40 * time.Second, deadline: 10 * time.Minute}

func steadyLoad(seed uint64, part float64) *load {
	m := newMaker("steady", seed, time.Hour)
	m.addWorkers(100, placer.NewResources(16_000, 64<<10, 0))
	m.addTeams(6)
	m.fill(steady, part, 0, time.Hour)
	return m.load
}

// checkBroken compares the work done while a tenth of the workers fails all they
// start with that of a fleet without them.
func checkBroken(seed uint64) (Check, error) {
	l := steadyLoad(seed, 1.5)
	healthy, err := tallyOf(l.fresh(), seed)
	if err != nil {
		return Check{}, err
	}
	broken := l.fresh()
	random := rand.New(rand.NewPCG(seed, 3))
	for _, i := range random.Perm(len(l.workers))[:len(l.workers)/10] {
		broken.broken[l.workers[i].ID()] = true
	}
	hurt, err := tallyOf(broken, seed)
	if err != nil {
		return Check{}, err
	}
	lost := 0
	for _, w := range broken.works {
		lost += w.failed
	}
	return atLeast("work with a tenth of the workers broken", ratio(hurt.work, healthy.work), leastBroken, fmt.Sprintf("of the work without; %d tasks ran out of retries", lost)), nil
}

// checkOverload compares the work done in time at twice the capacity with the
// best over lower loads.
func checkOverload(seed uint64) (Check, error) {
	peak := 0.0
	for _, part := range []float64{0.8, 0.9, 1.0, 1.1} {
		t, err := tallyOf(steadyLoad(seed, part), seed)
		if err != nil {
			return Check{}, err
		}
		peak = max(peak, t.good)
	}
	t, err := tallyOf(steadyLoad(seed, 2), seed)
	if err != nil {
		return Check{}, err
	}
	return atLeast("work in time at twice the capacity", ratio(t.good, peak), leastOverload, fmt.Sprintf("of the peak of %.0f core seconds; %d of %d jobs refused", peak, t.refused, t.jobs)), nil
}

func tallyOf(l *load, seed uint64) (*tally, error) {
	own, _, err := ours(l, seed)
	if err != nil {
		return nil, err
	}
	return newEngine(l, own).run(), nil
}
