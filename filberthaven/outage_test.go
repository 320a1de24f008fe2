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

// outage is longer than leases of owners and workers.
const outage = 15 * time.Second

// TestOutage takes the key-value service away from all entry VMs, then from those of
// one data centre, under load, and counts broken promises.
func TestOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	p := newProcesses(t, false)
	p.awaitOwners()
	p.awaitAnswers()
	load := p.startLoad(4, 4)
	p.awaitStarts(10)

	c := p.c
	p.fleet.Store().SetFaults(emulator.Down())
	c.Cleanup(func() { p.fleet.Store().SetFaults() })
	p.awaitRefusal()
	before := len(load.jobs())
	for deadline := time.Now().Add(outage); time.Now().Before(deadline); time.Sleep(retryPause) {
		p.assertUrgent()
	}
	c.Check(len(load.jobs()), qt.Equals, before, qt.Commentf("a job was accepted while nothing could be made durable"))
	p.fleet.Store().SetFaults()
	p.awaitAccepted(load, before)

	for _, e := range p.entriesIn("bravo") {
		p.fleet.Store().Client(e.id).SetFaults(emulator.Partition())
	}
	p.awaitStarts(10)
	for deadline := time.Now().Add(outage); time.Now().Before(deadline); time.Sleep(retryPause) {
		p.assertUrgent()
	}
	for _, e := range p.entriesIn("bravo") {
		p.fleet.Store().Client(e.id).SetFaults()
	}
	p.awaitOwners()

	load.stop()
	p.awaitJobs(load.jobs())
	t.Logf("%d jobs accepted, %d task starts, urgent requests by outcome %v", len(load.jobs()), p.fleet.InvariantChecker().Starts(), load.counts)
	p.assertPromises()
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

// awaitRefusal waits until new durable work is refused as not run, with the time to
// come back.
func (p *processes) awaitRefusal() {
	p.await("refusal of durable work", func() bool {
		answer, err := p.call(context.Background(), p.entries[0], http.MethodPost, "/v1/jobs", p.fleet.Keys().Team(), "",
			`{"name":"refused","tasks":1,"cpu":1,"memory":256,"class":"deferred","estimate":"200ms"}`)
		return err == nil && answer.status == http.StatusServiceUnavailable && answer.outcome == "not-run"
	})
}

// awaitAccepted waits until jobs are accepted again.
func (p *processes) awaitAccepted(l *load, before int) {
	p.await("accepted jobs", func() bool { return len(l.jobs()) > before })
}

// assertUrgent asserts that each entry VM answers an idempotent request, which
// needs no record.
func (p *processes) assertUrgent() {
	for i, e := range p.entries {
		text := fmt.Sprintf("tariff-%d", i)
		answer, err := p.call(context.Background(), e, http.MethodPut, "/v1/services/echo/tariff", p.fleet.Keys().Team(), "", text)
		p.c.Check(err, qt.IsNil, qt.Commentf("%s", e.id))
		p.c.Check(answer.status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", e.id, answer.body))
		p.c.Check(string(answer.body), qt.Equals, text)
	}
}
