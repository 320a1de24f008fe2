package main_test

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLostCentre kills all VMs of a data centre and declares it lost. All accepted
// jobs must end, those of the lost data centre elsewhere.
func TestLostCentre(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	p := newProcesses(t, false)
	p.awaitOwners()
	load := p.startLoad(4, 2)
	p.awaitStarts(40)

	const lost = "bravo"
	for _, e := range p.entriesIn(lost) {
		p.kill(e)
	}
	p.fleet.KillWorkers(lost)
	p.awaitStarts(8)
	p.declareLost(lost)
	load.stop()

	p.awaitJobs(load.jobs())
	t.Logf("%d jobs accepted, %d task starts", len(load.jobs()), p.fleet.InvariantChecker().Starts())
	p.assertNoViolations()
}

// declareLost declares, through the first entry VM, that a data centre is lost. It then
// checks that this VM responds to a request for the revisions in force.
func (p *processes) declareLost(centre string) {
	p.await("declaration of the loss", func() bool {
		response, err := p.call(context.Background(), p.entries[0], http.MethodPost, "/v1/operate/drain", p.fleet.Keys().Operator(), "",
			`{"centre":"`+centre+`","lost":true,"reason":"test"}`)
		return err == nil && response.status == http.StatusOK
	})
	response, err := p.call(context.Background(), p.entries[0], http.MethodGet, "/v1/operate/force", p.fleet.Keys().Operator(), "", "")
	p.c.Assert(err, qt.IsNil)
	p.c.Assert(response.status, qt.Equals, http.StatusOK)
}
