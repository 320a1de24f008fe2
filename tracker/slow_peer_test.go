package tracker

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowPeer checks that a peer that does not respond delays no heartbeat to others.
func TestSlowPeer(t *testing.T) {
	runWithNetwork(t, func(c *qt.C, ctx context.Context, n *network) {
		n.serveList(`{"revision":9,"vms":[
			{"id":"entry-1","role":"entry","address":"entry-1","centre":"pianura-a","state":"live","incarnation":1},
			{"id":"entry-2","role":"entry","address":"entry-2","centre":"pianura-a","state":"live","incarnation":1},
			{"id":"entry-3","role":"entry","address":"nowhere","centre":"pianura-a","state":"live","incarnation":1}]}`)
		var calls atomic.Int64 // calls of entry-1, and its responses to entry-2
		n.start(c, ctx, "entry-1", 1)
		n.start(c, ctx, "entry-2", 1, WithOnRevision(func(string, string, uint64) { calls.Add(1) }))
		time.Sleep(2 * time.Second)
		before := calls.Load()
		const rounds = 20
		time.Sleep(rounds * DefaultHeartbeat)
		c.Assert(calls.Load()-before >= 2*rounds-2, qt.IsTrue, qt.Commentf("%d calls and responses in %d rounds", calls.Load()-before, rounds))
	})
}
