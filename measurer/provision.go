package measurer

import (
	"fmt"
	"math"
	"time"

	"filberthaven.example/estimator"
	"filberthaven.example/placer"
)

// The night on which the number of VMs is chosen.
const (
	nightLength = 10 * time.Hour
	nightMargin = 30 * time.Minute // before dawn, for the last tasks
	closing     = time.Hour        // from the first to the last arrival
	bootTime    = 3 * time.Minute  // from renting a VM to its first task
	reviewEvery = 5 * time.Minute  // the number of VMs is chosen anew
	nightWork   = 3.0              // fleet hours that arrive
	samples     = 40               // draws of the backlog
	certainty   = 0.95             // part of the draws that must be in time
	fillable    = 0.9              // part of the processors that tasks can fill
	fewestVMs   = 2
)

// nightly are route plans that are due at dawn together.
func nightly(seed uint64) *load {
	m := newMaker("night", seed, nightLength)
	m.addWorkers(50, placer.NewResources(32_000, 64<<10, 0))
	m.addTeams(6)
	k := routes
	k.memory = [2]int64{512, 8 << 10}
	for at, goal, sum := time.Duration(0), nightWork*float64(m.load.total.CPU())/1000, 0.0; sum < goal; {
		at = time.Duration(m.random.Int64N(int64(closing)))
		k.deadline = nightLength - at
		w := m.add(k, at)
		sum += float64(w.spec.Size().CPU()) / 1000 * w.truth.Hours() * float64(w.spec.Tasks())
	}
	return m.load
}

// renter rents and hands back VMs while a load runs.
type renter struct {
	load   *load
	placer *placer.Placer
	choose func(r *renter, now time.Duration) int
	wanted int
	ready  map[string]time.Duration // when a rented VM takes tasks
	next   time.Duration
	last   time.Duration
	hours  float64 // paid
	most   int     // rented at one time
}

// step carries out what the renter chooses at a time.
func (r *renter) step(now time.Duration) {
	rented := r.rented()
	r.hours += float64(rented) * (now - r.last).Hours()
	r.most = max(r.most, rented)
	r.last = now
	if now >= r.next {
		r.next = now + reviewEvery
		r.wanted = min(max(r.choose(r, now), fewestVMs), len(r.load.workers))
	}
	for i, w := range r.load.workers {
		r.set(w, i < r.wanted, now)
	}
}

// rented counts VMs that are on or still run something.
func (r *renter) rented() int {
	n := 0
	for i, w := range r.load.workers {
		if i < r.wanted || !r.placer.WorkerUsed(w.ID()).IsZero() {
			n++
		}
	}
	return n
}

func (r *renter) set(w placer.Worker, on bool, now time.Duration) {
	if !on {
		delete(r.ready, w.ID())
	} else if _, known := r.ready[w.ID()]; !known {
		r.ready[w.ID()] = now + bootTime
	}
	state := placer.Draining
	if at, known := r.ready[w.ID()]; known && now >= at {
		state = placer.Live
	}
	if have, _ := r.placer.Worker(w.ID()); have.State() != state {
		r.placer.SetWorker(placer.NewWorker(w.ID(), w.Rack(), w.Total(), placer.WithState(state)))
	}
}

// threshold adds a part of the VMs while more than a part of the processors is
// held, and hands as many back while less than another part is.
func threshold(busy, idle, step float64) func(*renter, time.Duration) int {
	return func(r *renter, _ time.Duration) int {
		held := ratio(float64(r.placer.Used().CPU()), float64(r.wanted)*float64(r.load.workers[0].Total().CPU()))
		change := int(math.Ceil(step * float64(r.wanted)))
		switch {
		case held > busy && r.placer.Pending() > 0:
			return r.wanted + change
		case held < idle:
			return r.wanted - change
		}
		return r.wanted
	}
}

// feedForward chooses the smallest number of VMs with which the backlog and what
// still arrives are done by dawn with a set certainty, from draws of run times as
// learned and from the work of an ordinary evening.
func feedForward(r *renter, now time.Duration) int {
	return r.placer.WorkersNeeded(epoch.Add(now), placer.SizingParams{
		Confidence: certainty, Samples: samples, Margin: nightMargin, MaxUtilization: fillable,
		Worker: r.load.workers[0].Total(), ExpectedWork: r.arriving(now),
	})
}

// arriving returns the core seconds that still come on an ordinary evening.
func (r *renter) arriving(now time.Duration) float64 {
	total := nightWork * float64(r.load.total.CPU()) / 1000 * time.Hour.Seconds()
	return total * max(closing-now, 0).Hours() / closing.Hours()
}

// SizingResult is what a way to choose the number of VMs made of a night.
type SizingResult struct {
	Name   string  `json:"name"`
	Hours  float64 `json:"hours"` // of VMs paid
	Most   int     `json:"most"`  // VMs at one time
	Missed float64 `json:"missed"`
}

// runNights compares the ways on one night.
func runNights(seed uint64) ([]SizingResult, error) {
	plain, err := runNight("threshold", seed, threshold(0.9, 0.6, 0.2))
	if err != nil {
		return nil, err
	}
	forward, err := runNight("feed forward", seed, feedForward)
	if err != nil {
		return nil, err
	}
	return []SizingResult{plain, forward}, nil
}

func runNight(name string, seed uint64, choose func(*renter, time.Duration) int) (SizingResult, error) {
	l := nightly(seed)
	p, decisions, learned, err := learning(l, seed)
	if err != nil {
		return SizingResult{}, err
	}
	r := &renter{
		load: l, placer: decisions,
		choose: choose, wanted: fewestVMs, ready: map[string]time.Duration{},
	}
	if err := recall(learned, nightly(seed)); err != nil {
		return SizingResult{}, err
	}
	for i := range fewestVMs {
		r.ready[l.workers[i].ID()] = 0
	}
	p.submit = func(w *work, _ time.Time) error { return decisions.Submit(w.spec) }
	decide := p.decide
	p.decide = func(now time.Time) []order {
		r.step(now.Sub(epoch))
		return decide(now)
	}
	t := newEngine(l, p).run()
	return SizingResult{Name: name, Hours: r.hours, Most: r.most, Missed: t.missedPart()}, nil
}

// recall teaches an estimator the run times of an evening before, on which the
// same names ran for other lengths.
func recall(learned *estimator.Estimator, before *load) error {
	for _, w := range before.works {
		if err := learned.ObserveRunTime(w.spec.Team(), w.spec.Name(), w.run(0), w.spec.Estimate()); err != nil {
			return fmt.Errorf("evening before: %w", err)
		}
	}
	return nil
}
