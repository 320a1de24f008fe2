package tracker

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRemoteRounds checks that entry VMs of other data centres get fewer
// heartbeats, are not suspected for that, and are detected as dead within the
// extended timeouts.
func TestRemoteRounds(t *testing.T) {
	const rounds = 4
	const extra = (rounds - 1) * DefaultHeartbeat
	runWithNetwork(t, func(c *qt.C, ctx context.Context, n *network) {
		var observed atomic.Int64 // calls and responses of entry-2
		one, _ := n.start(c, ctx, "entry-1", 1, WithRemoteRounds(rounds),
			WithOnRevision(func(string, string, uint64) { observed.Add(1) }))
		_, stop := n.start(c, ctx, "entry-2", 1, WithSelf("entry-2", 1, "pianura-b"), WithRemoteRounds(rounds))
		time.Sleep(rounds * DefaultHeartbeat * 2)
		before := observed.Load()
		for range 60 {
			time.Sleep(rounds * DefaultHeartbeat / 2)
			c.Assert(one.State("entry-2"), qt.Equals, Alive)
			c.Assert(one.Reachability("entry-2"), qt.Equals, Bidirectional)
		}
		c.Assert(observed.Load()-before <= 2*30+2, qt.IsTrue, qt.Commentf("%d calls and responses in 30 periods", observed.Load()-before))

		n.stop("entry-2", stop)
		time.Sleep(DefaultSuspectTimeout + extra + DefaultHeartbeat)
		c.Assert(one.State("entry-2"), qt.Equals, Suspect)
		time.Sleep(DefaultDeadTimeout - DefaultSuspectTimeout)
		c.Assert(one.State("entry-2"), qt.Equals, Dead)
	})
}
