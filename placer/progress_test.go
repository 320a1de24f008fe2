package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filberthaven.example/placer"
	"pgregory.net/rapid"
)

// story runs random work for a while: each task ends after its own time.
type story struct {
	placer *placer.Placer
	random *rand.Rand
	now    time.Time
	ends   map[placer.TaskID]time.Time
	order  []placer.TaskID
	told   []placer.Decision
}

const longestTask = 60 // seconds

func newStory(t *rapid.T, seed uint64) *story {
	p, err := placer.New(placer.WithSeed(seed))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 8 {
		p.SetWorker(placer.NewWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/4), vm))
	}
	return &story{placer: p, random: rand.New(rand.NewPCG(seed, 7)), now: begin, ends: map[placer.TaskID]time.Time{}}
}

func (s *story) submit(t *rapid.T, id string, options ...placer.JobOption) {
	size := cores(1 + s.random.Int64N(6))
	team := fmt.Sprintf("t%d", s.random.IntN(3))
	if err := s.placer.Submit(placer.NewJobSpec(id, team, size, options...)); err != nil {
		t.Fatal(err)
	}
}

// second lets a second pass: tasks that are over end, decisions are carried out.
func (s *story) second(t *rapid.T) []placer.Decision {
	s.now = s.now.Add(time.Second)
	kept := s.order[:0]
	for _, id := range s.order {
		if s.ends[id].After(s.now) {
			kept = append(kept, id)
			continue
		}
		if _, err := s.placer.Finish(id, placer.Succeeded, s.now); err != nil {
			t.Fatal(err)
		}
	}
	s.order = kept
	decisions := s.placer.Decide(s.now, 100)
	s.told = append(s.told, decisions...)
	for _, d := range decisions {
		if d.Kind() == placer.Start {
			s.ends[d.Task()] = s.now.Add(time.Duration(1+s.random.IntN(longestTask)) * time.Second)
			s.order = append(s.order, d.Task())
		}
	}
	return decisions
}

func play(t *rapid.T, seed uint64) []placer.Decision {
	s := newStory(t, seed)
	for i := range 60 {
		s.submit(t, fmt.Sprintf("j%d", i), placer.WithTasks(1+s.random.IntN(9)), placer.WithClass(placer.Class(1+s.random.IntN(4))))
		s.second(t)
	}
	return s.told
}

// TestGangWait checks that a gang starts, whatever comes behind it: its room is
// set aside at once and free when the tasks that run there have ended.
func TestGangWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStory(t, rapid.Uint64().Draw(t, "seed"))
		for i := range 40 {
			s.submit(t, fmt.Sprintf("before%d", i), placer.WithTasks(4), placer.WithClass(placer.Deferred))
		}
		for range rapid.IntRange(1, 30).Draw(t, "lead") {
			s.second(t)
		}
		const gangs = 3
		for i := range gangs {
			s.submit(t, fmt.Sprintf("gang%d", i), placer.WithTasks(8), placer.WithGang(), placer.WithClass(placer.Deferred))
		}
		started := map[string]bool{}
		for i := 0; len(started) < gangs; i++ {
			if i > gangs*longestTask+1 {
				t.Fatalf("%d of %d gangs wait after %d s: %s", gangs-len(started), gangs, i, s.placer.Explain("gang0", s.now).Reason())
			}
			s.submit(t, fmt.Sprintf("behind%d", i), placer.WithTasks(8))
			for _, d := range s.second(t) {
				if d.Kind() == placer.Start && s.placer.Explain(d.Task().Job(), s.now).Job()[0] == 'g' {
					started[d.Task().Job()] = true
				}
			}
		}
	})
}

// TestBackfill checks that work behind a gang that waits doesn't delay it: with
// and without such work it starts at the same time.
func TestBackfill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		alone, crowded := gangStart(t, seed, false), gangStart(t, seed, true)
		if alone != crowded {
			t.Fatalf("gang starts after %v alone and after %v with work behind it", alone, crowded)
		}
	})
}

func gangStart(t *rapid.T, seed uint64, crowded bool) time.Duration {
	s := newStory(t, seed)
	for i := range 5 {
		s.submit(t, fmt.Sprintf("before%d", i), placer.WithTasks(6), placer.WithClass(placer.Deferred))
	}
	s.second(t)
	s.submit(t, "gang", placer.WithTasks(8), placer.WithGang(), placer.WithClass(placer.Deferred))
	for i := range 10 * longestTask {
		for _, d := range s.second(t) {
			if d.Task().Job() == "gang" && d.Kind() == placer.Start {
				return time.Duration(i) * time.Second
			}
		}
		if crowded {
			s.submit(t, fmt.Sprintf("behind%d", i), placer.WithTasks(8))
		}
	}
	t.Fatalf("gang waits: %s", s.placer.Explain("gang", s.now).Reason())
	return 0
}
