package server

import (
	"testing"

	"filberthaven.example/journaler"
	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"
)

// TestJournalRate asserts that the writes of all journals together stay below the rate
// that the key-value service accepts from the fleet, whatever the number of shards.
func TestJournalRate(t *testing.T) {
	const budget rate.Limit = 200 // writes per second of the fleet
	c := qt.New(t)
	c.Assert(journalRate(0), qt.Equals, journaler.DefaultRate)
	c.Assert(journalRate(3), qt.Equals, journaler.DefaultRate)
	for _, shards := range []int{1, 3, 7, 24, 100} {
		c.Assert(journalRate(shards) > 0, qt.IsTrue)
		c.Assert(journalRate(shards)*rate.Limit(shards) < budget, qt.IsTrue, qt.Commentf("%d shards", shards))
	}
}
