package granter

import (
	"fmt"
	"testing"
	"time"

	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// Size of the cluster expected in two years.
const (
	twoYearTeams  = 590
	twoYearShards = 24
)

// newGroupRecord returns a group's record in which each of the teams has a
// quota in the given number of shards.
func newGroupRecord(teams, shards int) groupRecord {
	r := groupRecord{Terms: map[string]uint64{}, Teams: map[string]teamRecord{}}
	for n := range twoYearShards {
		r.Terms[fmt.Sprintf("pianura-%c.%d", 'a'+n%7, n/7)] = 12
	}
	for i := range teams {
		team := teamRecord{Revision: [resourceCount]uint64{1840, 1840}, Limit: amounts{400_000, 80}, Shards: map[string]shareRecord{}}
		for n := range shards {
			team.Shards[fmt.Sprintf("pianura-%c.%d", 'a'+n%7, n/7)] = shareRecord{Have: amounts{14_336}, Want: amounts{12_288}}
		}
		r.Teams[fmt.Sprintf("team-%03d", i)] = team
	}
	return r
}

// BenchmarkGroup measures the size of one group's record, and the time that an
// owner takes to decode it and plan its own part.
func BenchmarkGroup(b *testing.B) {
	teams := (twoYearTeams + DefaultGroups - 1) / DefaultGroups
	for _, shards := range []int{1, 4, twoYearShards} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			c := qt.New(b)
			record := newGroupRecord(teams, shards)
			data, err := record.encode()
			c.Assert(err, qt.IsNil)
			usages := map[string]*usage{}
			for name := range record.Teams {
				usages[name] = &usage{running: amounts{9000}, demand: amounts{9000}, limit: amounts{400_000, 80}, revision: [resourceCount]uint64{1840, 1840}}
			}
			now := time.Now()
			for b.Loop() {
				decoded, err := decodeGroup(keeper.NewEntry("live/limit/000", data, 1, false))
				if err != nil {
					b.Fatal(err)
				}
				plan(decoded, "pianura-a.0", 12, usages, now, true)
			}
			b.ReportMetric(float64(len(data)), "record-B")
		})
	}
}
