package main_test

import (
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// settleTimeout bounds each wait for the fleet; it is no verdict on speed.
	settleTimeout = 90 * time.Second
	settlePause   = 20 * time.Millisecond
	// demoLimit is the declared limit of the demo team in thousandths of a processor,
	// half of what the workers offer.
	demoLimit = 96_000
	// longPause is longer than the leases of owners and workers.
	longPause = 12 * time.Second
)

// TestProcesses kills, pauses and stops owners of shards under load, and counts
// broken promises.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	p := newProcesses(t, false)
	p.awaitOwners()
	p.fleet.InvariantChecker().SetLimit("demo", demoLimit)
	load := p.startLoad(4, 4)
	p.awaitStarts(10)

	killed := p.owner("alfa.0")
	p.kill(killed)
	t.Logf("first start after a kill: %v", p.awaitStartIn("alfa.0", killed.id))
	p.start(killed)

	paused := p.owner("bravo.0")
	p.signal(paused, syscall.SIGSTOP)
	t.Logf("first start after a pause: %v", p.awaitStartIn("bravo.0", paused.id))
	time.Sleep(longPause)
	p.signal(paused, syscall.SIGCONT)

	stopped := p.owner("carso.0")
	t.Logf("stop in order: %v", p.terminate(stopped))
	t.Logf("first start after a hand-over: %v", p.awaitStartIn("carso.0", stopped.id))
	p.start(stopped)

	load.stop()
	p.awaitJobs(load.jobs())
	t.Logf("%d jobs accepted, %d task starts, urgent requests by outcome %v", len(load.jobs()), p.fleet.InvariantChecker().Starts(), load.counts)
	p.assertPromises()
}

// shardState is a shard in the status.
type shardState struct {
	Name  string
	Owner string
}

// shards returns the shards as an entry VM that answers sees them.
func (p *processes) shards() []shardState {
	for _, e := range p.entries {
		if e.command == nil {
			continue
		}
		answer, err := p.call(context.Background(), e, http.MethodGet, "/v1/status", p.fleet.Keys().Operator(), "", "")
		if err != nil || answer.status != http.StatusOK {
			continue
		}
		var status struct{ Shards []shardState }
		p.c.Assert(json.Unmarshal(answer.body, &status), qt.IsNil)
		return status.Shards
	}
	return nil
}

// owner returns the entry VM that owns a shard, once one does.
func (p *processes) owner(shard string) *entry {
	var found *entry
	p.await("owner of "+shard, func() bool {
		for _, state := range p.shards() {
			if state.Name == shard {
				found = p.entry(state.Owner)
			}
		}
		return found != nil && found.command != nil
	})
	return found
}

// entry returns the entry VM of an id, or nil.
func (p *processes) entry(id string) *entry {
	for _, e := range p.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

// awaitOwners waits until each shard has an owner.
func (p *processes) awaitOwners() {
	for _, centre := range centres {
		p.owner(centre + ".0")
	}
}

// awaitStarts waits until n more tasks have started.
func (p *processes) awaitStarts(n int) {
	target := p.fleet.InvariantChecker().Starts() + n
	p.await("task starts", func() bool { return p.fleet.InvariantChecker().Starts() >= target })
}

// awaitStartIn waits for the first start in a shard under an owner other than the
// former, and returns how long that took.
func (p *processes) awaitStartIn(shard, former string) time.Duration {
	start := time.Now()
	centre := shard[:len(shard)-2]
	before := p.fleet.StartsIn(centre)
	p.await("new owner of "+shard, func() bool {
		for _, state := range p.shards() {
			if state.Name == shard {
				return state.Owner != former && state.Owner != ""
			}
		}
		return false
	})
	p.await("start in "+centre, func() bool { return p.fleet.StartsIn(centre) > before })
	return time.Since(start)
}

// awaitJobs waits until all jobs have ended.
func (p *processes) awaitJobs(ids []string) {
	for _, id := range ids {
		var state string
		p.await("end of job "+id, func() bool {
			answer, err := p.call(context.Background(), p.entries[0], http.MethodGet, "/v1/jobs/"+id, p.fleet.Keys().Team(), "", "")
			if err != nil || answer.status != http.StatusOK {
				return false
			}
			var job struct {
				State    string
				Terminal bool
			}
			p.c.Assert(json.Unmarshal(answer.body, &job), qt.IsNil)
			state = job.State
			return job.Terminal
		})
		p.c.Check(state, qt.Satisfies, func(s string) bool { return s == "done" || s == "unknown" }, qt.Commentf("job %s", id))
	}
}

// await polls until the condition holds; when it doesn't in time the test fails.
func (p *processes) await(what string, holds func() bool) {
	p.c.Helper()
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(settlePause) {
		if holds() {
			return
		}
	}
	p.c.Fatalf("waited %v for: %s", settleTimeout, what)
}

// assertPromises asserts that workers and executors saw no broken promise.
func (p *processes) assertPromises() {
	p.c.Check(p.fleet.InvariantChecker().Violations(), qt.HasLen, 0)
	for _, executor := range p.fleet.Executors() {
		p.c.Check(executor.Breaches(), qt.Equals, int64(0))
		p.c.Check(executor.Repeated(), qt.HasLen, 0)
	}
}
