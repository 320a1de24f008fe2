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
	// drainGrace is the stated time after which a drained data centre starts nothing.
	drainGrace = 2 * time.Second
)

// TestDrainedTakeover stops two of the three entry VMs of a drained data centre, each
// while it owns the shard and jobs come to it, and sees none of their tasks start there.
func TestDrainedTakeover(t *testing.T) {
	c := qt.New(t)
	fleet, err := New(t.Context(), WithoutLimit())
	c.Assert(err, qt.IsNil)
	c.Cleanup(fleet.Close)
	centre := fleet.Centres()[0]
	last := fleet.vms[len(fleet.vms)-1]
	c.Assert(fleet.operate(t.Context(), "drain", map[string]any{"centre": centre, "reason": "test"}), qt.IsNil)
	time.Sleep(drainGrace)
	fleet.witness.SetDrained(centre, time.Now())

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
		_, err := fleet.await(ctx, last, id)
		cancel()
		c.Check(err, qt.IsNil)
	}
	c.Assert(fleet.witness.Violations(), qt.HasLen, 0)
}

// submitUntilAccepted repeats a job with its request id while it is refused as not
// run, as for want of an owner.
func submitUntilAccepted(c *qt.C, f *Fleet, vm *VM, body string) string {
	start := time.Now()
	for {
		id, err := f.submit(context.Background(), vm, body)
		if err == nil {
			if took := time.Since(start); took > time.Second {
				c.Logf("accepted after %v", took)
			}
			return id
		}
		c.Assert(time.Since(start) < stepTimeout, qt.IsTrue, qt.Commentf("%v", err))
		time.Sleep(pollPause)
	}
}

// stopOwner stops the entry VM that owns the shard of a data centre.
func stopOwner(f *Fleet, centre string) {
	for _, vm := range f.vms {
		if vm.centre == centre && len(vm.server.Serving()) > 0 {
			vm.cancel()
			return
		}
	}
}
