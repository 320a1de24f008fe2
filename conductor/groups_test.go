package conductor

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
)

// TestStartsOfEachJobAreOneRecord checks that the starts of a decision are stored by job: all
// members of a gang in one record, so that a next owner knows all of them or none, and those
// of other jobs in others, which do not depend on it (LOST).
func TestStartsOfEachJobAreOneRecord(t *testing.T) {
	store := emulator.NewStore().KV()
	owner := openOwner(t, store, 1)
	var starts []planner.Action
	for n := range 6000 {
		starts = append(starts, planner.Action{Kind: planner.Start, Task: fmt.Sprintf("gang.0.0.%d", n), Number: 1, Worker: "w0"})
		if n%2000 == 0 {
			starts = append(starts, planner.Action{Kind: planner.Start, Task: fmt.Sprintf("j%d.0.0.0", n), Number: 1, Worker: "w1"})
		}
	}
	owner.orderStarts(starts)
	flush(t, owner)
	owner.journal.Abort()
	next, err := New(store, owner.executors, "vm", 2)
	quicktest.Assert(t, err, quicktest.IsNil)
	recovery, err := next.journal.Open(t.Context(), 2)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(next.journal.Abort)
	var sizes []int
	for _, data := range recovery.Records() {
		record, err := planner.DecodeRecord(data)
		quicktest.Assert(t, err, quicktest.IsNil)
		if len(record.Begins) > 0 {
			sizes = append(sizes, len(record.Begins))
		}
	}
	quicktest.Assert(t, sizes, quicktest.DeepEquals, []int{6000, 1, 1, 1})
}

// TestGangMembersWaitForTheirTurn checks that the members of a gang are ordered although they wait
// for their turn for longer than other starts may, as those of a large gang do. The try would
// end otherwise, and so would each one after it (LOST). They do not wait for longer than the
// first ones wait for them (GANG).
func TestGangMembersWaitForTheirTurn(t *testing.T) {
	for name, test := range map[string]struct {
		gang bool
		wait time.Duration
		want int64
	}{
		"member of a gang":               {true, maxOrderWait + time.Second, 1},
		"member of a gang, for too long": {true, maxGangOrderWait + 1, 0},
		"other start":                    {false, maxOrderWait + time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var ordered, now atomic.Int64
			c, starts := newOrderer(t, 1, func(w http.ResponseWriter, _ *http.Request) {
				ordered.Add(1)
				fmt.Fprint(w, `{"clock-ms":1}`)
			})
			c.orderSlots = make(chan struct{}) // no turn yet
			starts[0].Gang = test.gang
			asked := make(chan struct{}, 1)
			c.now = func() time.Duration {
				select {
				case asked <- struct{}{}:
				default:
				}
				return time.Duration(now.Load())
			}
			c.spawn(func() { c.start(starts[0]) })
			<-asked
			now.Store(int64(test.wait))
			<-c.orderSlots
			go func() { c.orderSlots <- struct{}{} }() // start returns its turn
			c.goroutines.Wait()
			quicktest.Assert(t, ordered.Load(), quicktest.Equals, test.want)
		})
	}
}
