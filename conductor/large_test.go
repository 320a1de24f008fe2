package conductor

import (
	"fmt"
	"testing"

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
)

// TestEndsBesideManyCrashesAreStored checks that ends reach the journal although more workers have
// crashed since the last record than a part of a record holds. Their worker would be told to forget
// ends that the journal lacks, and the next owner would start their tasks again (TWICE).
func TestEndsBesideManyCrashesAreStored(t *testing.T) {
	const jobs = 3
	store := emulator.NewStore().KV()
	c := newBusyOwner(t, store, jobs)
	c.mu.Lock()
	for n := range 2 * journaler.PartLimit / 50 {
		c.crashes = append(c.crashes, planner.Crash{Task: fmt.Sprintf("%016x.0.0.%d", n, n), Number: 1, Worker: "worker", Address: "127.0.0.1:1234"})
	}
	data, err := planner.Record{Crashes: c.crashes}.Encode()
	c.mu.Unlock()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(data) > 2*journaler.PartLimit, quicktest.IsTrue)
	for _, s := range c.sessions {
		quicktest.Assert(t, c.heartbeat(s, true), quicktest.IsTrue)
	}
	flush(t, c)
	c.journal.Abort()
	for _, s := range c.sessions {
		quicktest.Check(t, s.persistedSerial, quicktest.Equals, uint64(1))
	}
	next := openOwner(t, store, 2)
	t.Cleanup(next.journal.Abort)
	for n := range jobs {
		state, _ := next.planner.State(fmt.Sprint("j", n), "q", "")
		quicktest.Check(t, state, quicktest.Equals, planner.Completed)
	}
}
