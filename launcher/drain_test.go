package launcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	testJobs = 30
	// drainGrace is how long a data centre may still start tasks after it is drained.
	drainGrace = 2 * time.Second
)

// TestDrainedTakeover asserts that a drained data centre stays drained when its shard gets
// a new owner. It stops two of the data centre's three entry VMs, each while it owns the
// shard and jobs arrive, and checks that no task starts in the data centre.
func TestDrainedTakeover(t *testing.T) {
	c := qt.New(t)
	fleet, err := New(t.Context(), WithoutLimit())
	c.Assert(err, qt.IsNil)
	c.Cleanup(fleet.Close)
	centre := fleet.Centres()[0]
	last := fleet.vms[len(fleet.vms)-1]
	c.Assert(fleet.postChange(t.Context(), "drain", map[string]any{"centre": centre, "reason": "test"}), qt.IsNil)
	time.Sleep(drainGrace)
	fleet.checker.SetDrained(centre, time.Now())

	var ids []string
	for i := range testJobs {
		body := fmt.Sprintf(`{"name":"plan","tasks":4,"cpu":1,"memory":512,"class":"deferred","estimate":"100ms","request":"plan-%d"}`, i)
		ids = append(ids, submitUntilAccepted(c, fleet, last, body))
		if i%(testJobs/2) == 0 {
			stopOwner(fleet, centre)
		}
	}
	for _, id := range ids {
		ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
		_, err := fleet.waitDone(ctx, last, id)
		cancel()
		c.Check(err, qt.IsNil)
	}
	c.Assert(fleet.checker.Violations(), qt.HasLen, 0)
}

// submitUntilAccepted submits a job that has a request id until it is accepted, since it
// may be refused while the shard has no owner.
func submitUntilAccepted(c *qt.C, f *Fleet, vm *VM, body string) string {
	start := time.Now()
	for {
		id, err := f.submit(context.Background(), vm, body)
		if err == nil {
			if elapsed := time.Since(start); elapsed > time.Second {
				c.Logf("accepted after %v", elapsed)
			}
			return id
		}
		c.Assert(time.Since(start) < stepTimeout, qt.IsTrue, qt.Commentf("%v", err))
		time.Sleep(pollInterval)
	}
}

// stopOwner stops the entry VM that owns the shard of a data centre.
func stopOwner(f *Fleet, centre string) {
	for _, vm := range f.vms {
		if vm.centre == centre && len(vm.server.ServingShards()) > 0 {
			vm.cancel()
			return
		}
	}
}
