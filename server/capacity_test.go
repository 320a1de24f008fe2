package server

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Sizes of the fleet in two years.
const (
	manyTeams   = 590
	manyShards  = 24
	manyWorkers = 100 // of a shard
)

// manyLoad returns the load of the owner of one shard on which all teams run
// tasks.
func manyLoad(teams int) VMLoad {
	shard := ShardLoad{Running: 2250, Pending: 1100, Teams: map[string]TeamLoad{}}
	flight := map[string]int{}
	for i := range teams {
		name := fmt.Sprintf("team-%03d", i)
		shard.Teams[name] = TeamLoad{Used: int64(i * 7919 % 64_000), Memory: int64(i * 104_729 % 200_000), Pending: i * 31 % 400}
		flight[name] = i % 9
	}
	return VMLoad{Shards: map[string]ShardLoad{"pianura-a.0": shard}, Flight: flight}
}

// BenchmarkLoad is one answer in the exchange of loads, encoded and read: what
// each owner asks of each other entry VM.
func BenchmarkLoad(b *testing.B) {
	for _, teams := range []int{25, 100, manyTeams} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			load := manyLoad(teams)
			size := 0
			for b.Loop() {
				data, err := cbor.Marshal(load)
				if err != nil {
					b.Fatal(err)
				}
				var read VMLoad
				if err := cbor.Unmarshal(data, &read); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			var buffer bytes.Buffer
			writer := gzip.NewWriter(&buffer)
			data, _ := cbor.Marshal(load)
			_, _ = writer.Write(data)
			_ = writer.Close()
			b.ReportMetric(float64(size), "answer-B")
			b.ReportMetric(float64(buffer.Len()), "packed-B")
		})
	}
}

// BenchmarkRackShard is what falls to one look at the workers of a data centre, of
// which the owner of each shard makes two a second.
func BenchmarkRackShard(b *testing.B) {
	shards := []string{"pianura-a.0", "pianura-a.1", "pianura-a.2", "pianura-a.3"}
	vms := make([]string, manyWorkers*len(shards))
	for i := range vms {
		vms[i] = fmt.Sprintf("pianura-a-rack-%d", i/40)
	}
	for b.Loop() {
		for _, rack := range vms {
			rackShard(rack, shards)
		}
	}
}
