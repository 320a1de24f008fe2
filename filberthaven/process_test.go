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
	// awaitTimeout bounds each wait for the fleet. It is long because the tests don't check
	// how fast the fleet is.
	awaitTimeout = 90 * time.Second
	pollInterval = 20 * time.Millisecond
	// demoLimit is the declared limit of the demo team in thousandths of a processor, half
	// of the capacity of the workers.
	demoLimit = 96_000
	// longPause is longer than the leases of owners and workers.
	longPause = 12 * time.Second
)

// TestProcesses kills, pauses and gracefully stops owners of shards under load. Other VMs
// must take over, all accepted jobs must end, and no invariant may be violated.
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
	t.Logf("graceful stop: %v", p.terminate(stopped))
	t.Logf("first start after a hand-over: %v", p.awaitStartIn("carso.0", stopped.id))
	p.start(stopped)

	load.stop()
	p.awaitJobs(load.jobs())
	t.Logf("%d jobs accepted, %d task starts, urgent requests by outcome %v", len(load.jobs()), p.fleet.InvariantChecker().Starts(), load.counts)
	p.assertNoViolations()
}

// shardState is a shard in the response of /v1/status.
type shardState struct {
	Name  string
	Owner string
}

// shards returns the shards as reported by the first entry VM that responds, or nil.
func (p *processes) shards() []shardState {
	for _, e := range p.entries {
		if e.command == nil {
			continue
		}
		response, err := p.call(context.Background(), e, http.MethodGet, "/v1/status", p.fleet.Keys().Operator(), "", "")
		if err != nil || response.status != http.StatusOK {
			continue
		}
		var status struct{ Shards []shardState }
		p.c.Assert(json.Unmarshal(response.body, &status), qt.IsNil)
		return status.Shards
	}
	return nil
}

// owner waits until a shard is owned by an entry VM whose process runs, and returns that
// VM.
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

// entry returns the entry VM with the id, or nil.
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

// awaitStartIn waits until a shard has an owner other than the former one, and a task has
// started in the data centre of the shard since the call. It returns how long that took.
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

// awaitJobs waits until all jobs have ended, and checks that the state of each is done or
// unknown.
func (p *processes) awaitJobs(ids []string) {
	for _, id := range ids {
		var state string
		p.await("end of job "+id, func() bool {
			response, err := p.call(context.Background(), p.entries[0], http.MethodGet, "/v1/jobs/"+id, p.fleet.Keys().Team(), "", "")
			if err != nil || response.status != http.StatusOK {
				return false
			}
			var job struct {
				State    string
				Terminal bool
			}
			p.c.Assert(json.Unmarshal(response.body, &job), qt.IsNil)
			state = job.State
			return job.Terminal
		})
		p.c.Check(state, qt.Satisfies, func(s string) bool { return s == "done" || s == "unknown" }, qt.Commentf("job %s", id))
	}
}

// await polls until the condition holds. The test fails if it does not hold within
// awaitTimeout.
func (p *processes) await(condition string, holds func() bool) {
	p.c.Helper()
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return
		}
	}
	p.c.Fatalf("waited %v for: %s", awaitTimeout, condition)
}

// assertNoViolations checks that no invariant of tasks was violated, and that each executor
// got no request or connection above its limits and ran no request twice.
func (p *processes) assertNoViolations() {
	p.c.Check(p.fleet.InvariantChecker().Violations(), qt.HasLen, 0)
	for _, executor := range p.fleet.Executors() {
		p.c.Check(executor.Breaches(), qt.Equals, int64(0))
		p.c.Check(executor.Repeated(), qt.HasLen, 0)
	}
}
