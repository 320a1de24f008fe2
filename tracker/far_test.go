package tracker

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFar asserts that entry VMs of other data centres are called less often, are
// not suspected for that, and are found dead no later than that allows.
func TestFar(t *testing.T) {
	const rounds = 4
	const allowance = (rounds - 1) * DefaultHeartbeat
	inNetwork(t, func(c *qt.C, ctx context.Context, n *network) {
		var heard atomic.Int64
		one, _ := n.start(c, ctx, "entry-1", 1, WithRemoteRounds(rounds),
			WithOnRevision(func(string, string, uint64) { heard.Add(1) }))
		_, stop := n.start(c, ctx, "entry-2", 1, WithSelf("entry-2", 1, "pianura-b"), WithRemoteRounds(rounds))
		time.Sleep(rounds * DefaultHeartbeat * 2)
		before := heard.Load()
		for range 60 {
			time.Sleep(rounds * DefaultHeartbeat / 2)
			c.Assert(one.State("entry-2"), qt.Equals, Alive)
			c.Assert(one.Reachability("entry-2"), qt.Equals, Bidirectional)
		}
		c.Assert(heard.Load()-before <= 2*30+2, qt.IsTrue, qt.Commentf("%d calls and answers in 30 times", heard.Load()-before))

		n.stop("entry-2", stop)
		time.Sleep(DefaultSuspectTimeout + allowance + DefaultHeartbeat)
		c.Assert(one.State("entry-2"), qt.Equals, Suspect)
		time.Sleep(DefaultDeadTimeout - DefaultSuspectTimeout)
		c.Assert(one.State("entry-2"), qt.Equals, Dead)
	})
}
