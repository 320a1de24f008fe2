package granter

import (
	"fmt"
	"testing"
	"time"

	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// Sizes of the fleet in two years.
const (
	manyTeams  = 590
	manyShards = 24
)

// manyRecord returns a group's record when each team runs tasks in that many
// shards.
func manyRecord(teams, shards int) groupRecord {
	r := groupRecord{Terms: map[string]uint64{}, Teams: map[string]teamRecord{}}
	for n := range manyShards {
		r.Terms[fmt.Sprintf("pianura-%c.%d", 'a'+n%7, n/7)] = 12
	}
	for i := range teams {
		team := teamRecord{Revision: [kinds]uint64{1840, 1840}, Limit: amounts{400_000, 80}, Shards: map[string]shareRecord{}}
		for n := range shards {
			team.Shards[fmt.Sprintf("pianura-%c.%d", 'a'+n%7, n/7)] = shareRecord{Have: amounts{14_336}, Want: amounts{12_288}}
		}
		r.Teams[fmt.Sprintf("team-%03d", i)] = team
	}
	return r
}

// BenchmarkGroup is the bytes of one record of allotments, and the time of an owner
// for reading it and planning its own part anew.
func BenchmarkGroup(b *testing.B) {
	teams := (manyTeams + DefaultGroups - 1) / DefaultGroups
	for _, shards := range []int{1, 4, manyShards} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			c := qt.New(b)
			record := manyRecord(teams, shards)
			data, err := record.encode()
			c.Assert(err, qt.IsNil)
			known := map[string]*usage{}
			for name := range record.Teams {
				known[name] = &usage{running: amounts{9000}, wanted: amounts{9000}, limit: amounts{400_000, 80}, revision: [kinds]uint64{1840, 1840}}
			}
			now := time.Now()
			for b.Loop() {
				read, err := decodeGroup(keeper.NewEntry("live/limit/000", data, 1, false))
				if err != nil {
					b.Fatal(err)
				}
				plan(read, "pianura-a.0", 12, known, now, true)
			}
			b.ReportMetric(float64(len(data)), "record-B")
		})
	}
}
