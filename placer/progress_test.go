package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filberthaven.example/placer"
	"pgregory.net/rapid"
)

// simulation runs random work on a placer. Each task succeeds after a random run time.
type simulation struct {
	placer    *placer.Placer
	random    *rand.Rand
	now       time.Time
	endsAt    map[placer.TaskID]time.Time // of started tasks
	running   []placer.TaskID
	decisions []placer.Decision
}

// maxRunSeconds is the longest run time of a task.
const maxRunSeconds = 60

func newSimulation(t *rapid.T, seed uint64) *simulation {
	p, err := placer.New(placer.WithSeed(seed))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 8 {
		p.SetWorker(placer.NewWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/4), workerSize))
	}
	return &simulation{placer: p, random: rand.New(rand.NewPCG(seed, 7)), now: begin, endsAt: map[placer.TaskID]time.Time{}}
}

func (s *simulation) submit(t *rapid.T, id string, options ...placer.JobOption) {
	size := cores(1 + s.random.Int64N(6))
	team := fmt.Sprintf("t%d", s.random.IntN(3))
	if err := s.placer.Submit(placer.NewJobSpec(id, team, size, options...)); err != nil {
		t.Fatal(err)
	}
}

// step advances the time by a second, finishes the tasks that end by then and runs a
// scheduling cycle. It returns the decisions.
func (s *simulation) step(t *rapid.T) []placer.Decision {
	s.now = s.now.Add(time.Second)
	kept := s.running[:0]
	for _, id := range s.running {
		if s.endsAt[id].After(s.now) {
			kept = append(kept, id)
			continue
		}
		if _, err := s.placer.Finish(id, placer.Succeeded, s.now); err != nil {
			t.Fatal(err)
		}
	}
	s.running = kept
	decisions := s.placer.Decide(s.now, 100)
	s.decisions = append(s.decisions, decisions...)
	for _, d := range decisions {
		if d.Kind() == placer.Start {
			s.endsAt[d.Task()] = s.now.Add(time.Duration(1+s.random.IntN(maxRunSeconds)) * time.Second)
			s.running = append(s.running, d.Task())
		}
	}
	return decisions
}

// runSimulation runs jobs of all classes and returns the decisions.
func runSimulation(t *rapid.T, seed uint64) []placer.Decision {
	s := newSimulation(t, seed)
	for i := range 60 {
		s.submit(t, fmt.Sprintf("j%d", i), placer.WithTasks(1+s.random.IntN(9)), placer.WithClass(placer.Class(1+s.random.IntN(4))))
		s.step(t)
	}
	return s.decisions
}

// TestGangNotStarved checks that gangs start although more work keeps arriving behind them.
// Capacity that a gang reserves is free when the tasks there have ended, so that the longest
// run time bounds the wait of each gang.
func TestGangNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"))
		for i := range 40 {
			s.submit(t, fmt.Sprintf("before%d", i), placer.WithTasks(4), placer.WithClass(placer.Deferred))
		}
		for range rapid.IntRange(1, 30).Draw(t, "lead") {
			s.step(t)
		}
		const gangs = 3
		for i := range gangs {
			s.submit(t, fmt.Sprintf("gang%d", i), placer.WithTasks(8), placer.WithGang(), placer.WithClass(placer.Deferred))
		}
		started := map[string]bool{}
		for i := 0; len(started) < gangs; i++ {
			if i > gangs*maxRunSeconds+1 {
				t.Fatalf("%d of %d gangs still wait after %d s: %s", gangs-len(started), gangs, i, s.placer.Explain("gang0", s.now).Reason())
			}
			s.submit(t, fmt.Sprintf("behind%d", i), placer.WithTasks(8))
			for _, d := range s.step(t) {
				if d.Kind() == placer.Start && s.placer.Explain(d.Task().Job(), s.now).Job()[0] == 'g' {
					started[d.Task().Job()] = true
				}
			}
		}
	})
}

// TestBackfill checks that work that arrives behind a waiting gang doesn't delay the gang:
// it starts at the same time with and without that work.
func TestBackfill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		without, with := gangWait(t, seed, false), gangWait(t, seed, true)
		if without != with {
			t.Fatalf("gang starts after %v without and after %v with work behind it", without, with)
		}
	})
}

// gangWait returns how long a gang waits, with or without work that arrives behind it.
func gangWait(t *rapid.T, seed uint64, backlog bool) time.Duration {
	s := newSimulation(t, seed)
	for i := range 5 {
		s.submit(t, fmt.Sprintf("before%d", i), placer.WithTasks(6), placer.WithClass(placer.Deferred))
	}
	s.step(t)
	s.submit(t, "gang", placer.WithTasks(8), placer.WithGang(), placer.WithClass(placer.Deferred))
	for i := range 10 * maxRunSeconds {
		for _, d := range s.step(t) {
			if d.Task().Job() == "gang" && d.Kind() == placer.Start {
				return time.Duration(i) * time.Second
			}
		}
		if backlog {
			s.submit(t, fmt.Sprintf("behind%d", i), placer.WithTasks(8))
		}
	}
	t.Fatalf("gang still waits: %s", s.placer.Explain("gang", s.now).Reason())
	return 0
}
