package conductor

import (
	"testing"

	"filberthaven.example/emulator"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
)

// TestCrashesPersisted checks that the next owner knows which task crashed its workers
// although the starts that were decided after it were refused and no other start followed.
func TestCrashesPersisted(t *testing.T) {
	emulated := emulator.NewStore()
	store := emulated.KV()
	owner := openOwner(t, store, 1)
	starts := submitAndStart(t, owner, 1)
	owner.mu.Lock()
	owner.crashes = []planner.Crash{{Task: starts[0].Task, Number: starts[0].Number, Suspect: true, Proven: true}}
	owner.mu.Unlock()
	refuseStarts(t, emulated, owner, starts)
	owner.sweep(owner.now())
	flush(t, owner)
	owner.journal.Abort()
	next := openOwner(t, store, 2)
	quicktest.Assert(t, next.planner.FinalState("j"), quicktest.Equals, planner.Failed)
}
