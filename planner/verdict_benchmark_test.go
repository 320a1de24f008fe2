package planner

import (
	"strconv"
	"testing"
)

// BenchmarkOpenCrashes measures what open crashes cost: 400 of 1,500 workers are behind a cut, each
// with ten runs.
func BenchmarkOpenCrashes(b *testing.B) {
	p := New()
	p.Configure(Config{Version: 1, Queues: []Queue{{Name: "q", Service: "s"}}}, 0)
	now := 100 * second
	for i := range 1100 {
		id := "w" + strconv.Itoa(i)
		p.Register(Registration{ID: id, Address: "address of " + id, Incarnation: 1, Service: "s"}, now)
	}
	for i := range 4000 {
		id, worker := "j"+strconv.Itoa(i), "lost"+strconv.Itoa(i%400)
		if _, err := p.Submit(JobSpec{ID: id, Queue: "q", Steps: []StepSpec{newStep(1)}}, now); err != nil {
			b.Fatal(err)
		}
		p.MarkStored(id)
		s, _ := p.stepOf(id + ".0.0.0")
		p.applyCrash(s, 0, Crash{Task: id + ".0.0.0", Number: 1, Worker: worker, Address: "address of " + worker, Incarnation: 1, Sign: signClosed, Started: true, Chance: 0.001, at: now})
	}
	b.Run("decision", func(b *testing.B) {
		for b.Loop() {
			p.decideOpenCrashes(now)
		}
	})
	b.Run("answer", func(b *testing.B) {
		for b.Loop() {
			p.resolveCrashes(p.workers["w0"], 1, now)
		}
	})
	b.Run("loss", func(b *testing.B) {
		s, _ := p.stepOf("j0.0.0.0")
		w := p.workers["w0"]
		w.lossNoted = true
		for range 20_000 {
			p.losses = append(p.losses, now)
		}
		for b.Loop() {
			var runs []*run
			for n := range 10 {
				runs = append(runs, &run{step: s, number: n + 2, worker: w, startedAt: now - second})
			}
			p.markCrash(w, runs, signSilent, now)
		}
	})
}
