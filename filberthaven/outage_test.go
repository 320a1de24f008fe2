package main_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"filberthaven.example/emulator"
	qt "github.com/frankban/quicktest"
)

// outageTime is longer than the leases of owners and workers.
const outageTime = 15 * time.Second

// TestOutage makes the key-value service unavailable under load, first to all entry VMs and
// then to those of one data centre. Each entry VM must serve idempotent requests all the
// time. No job may be accepted while the service is unavailable to all entry VMs, and no
// invariant may be violated.
func TestOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	p := newProcesses(t, false)
	p.awaitOwners()
	p.awaitUrgent()
	load := p.startLoad(4, 4)
	p.awaitStarts(10)

	c := p.c
	p.fleet.Store().SetFaults(emulator.Down())
	c.Cleanup(func() { p.fleet.Store().SetFaults() })
	p.awaitRefusal()
	before := len(load.jobs())
	for deadline := time.Now().Add(outageTime); time.Now().Before(deadline); time.Sleep(retryInterval) {
		p.assertUrgent()
	}
	c.Check(len(load.jobs()), qt.Equals, before, qt.Commentf("a job was accepted while no record could be written"))
	p.fleet.Store().SetFaults()
	p.awaitAccepted(load, before)

	for _, e := range p.entriesIn("bravo") {
		p.fleet.Store().Client(e.id).SetFaults(emulator.Partition())
	}
	p.awaitStarts(10)
	for deadline := time.Now().Add(outageTime); time.Now().Before(deadline); time.Sleep(retryInterval) {
		p.assertUrgent()
	}
	for _, e := range p.entriesIn("bravo") {
		p.fleet.Store().Client(e.id).SetFaults()
	}
	p.awaitOwners()

	load.stop()
	p.awaitJobs(load.jobs())
	t.Logf("%d jobs accepted, %d task starts, urgent requests by outcome %v", len(load.jobs()), p.fleet.InvariantChecker().Starts(), load.counts)
	p.assertNoViolations()
}

// entriesIn returns the entry VMs of a data centre.
func (p *processes) entriesIn(centre string) []*entry {
	var list []*entry
	for _, e := range p.entries {
		if e.centre == centre {
			list = append(list, e)
		}
	}
	return list
}

// awaitRefusal waits until the first entry VM refuses a new job with status 503 and the
// outcome not-run.
func (p *processes) awaitRefusal() {
	p.await("refusal of a job", func() bool {
		response, err := p.call(context.Background(), p.entries[0], http.MethodPost, "/v1/jobs", p.fleet.Keys().Team(), "",
			`{"name":"refused","tasks":1,"cpu":1,"memory":256,"class":"deferred","estimate":"200ms"}`)
		return err == nil && response.status == http.StatusServiceUnavailable && response.outcome == "not-run"
	})
}

// awaitAccepted waits until more jobs of the load are accepted than the number before.
func (p *processes) awaitAccepted(l *load, before int) {
	p.await("accepted jobs", func() bool { return len(l.jobs()) > before })
}

// assertUrgent checks that each entry VM serves an idempotent request, which needs no
// record in the store.
func (p *processes) assertUrgent() {
	for i, e := range p.entries {
		text := fmt.Sprintf("tariff-%d", i)
		response, err := p.call(context.Background(), e, http.MethodPut, "/v1/services/echo/tariff", p.fleet.Keys().Team(), "", text)
		p.c.Check(err, qt.IsNil, qt.Commentf("%s", e.id))
		p.c.Check(response.status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", e.id, response.body))
		p.c.Check(string(response.body), qt.Equals, text)
	}
}
