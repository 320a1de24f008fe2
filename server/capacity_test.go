package server

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Sizes of the fleet as expected in two years.
const (
	manyTeams   = 590
	manyShards  = 24
	manyWorkers = 100 // in a shard
)

// manyLoad returns the load of an entry VM that owns one shard, in which the given number
// of teams run tasks.
func manyLoad(teams int) VMLoad {
	shard := ShardLoad{Running: 2250, Pending: 1100, Teams: map[string]TeamLoad{}}
	inFlight := map[string]int{}
	for i := range teams {
		name := fmt.Sprintf("team-%03d", i)
		shard.Teams[name] = TeamLoad{Used: int64(i * 7919 % 64_000), Memory: int64(i * 104_729 % 200_000), Pending: i * 31 % 400}
		inFlight[name] = i % 9
	}
	return VMLoad{Shards: map[string]ShardLoad{"pianura-a.0": shard}, Flight: inFlight}
}

// BenchmarkLoad measures the encoding and decoding of one entry VM's load, which each
// owner requests from each other entry VM.
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
				var decoded VMLoad
				if err := cbor.Unmarshal(data, &decoded); err != nil {
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

// BenchmarkRackShard measures the choice of the shard for all workers of a data centre,
// which each shard's owner repeats twice a second.
func BenchmarkRackShard(b *testing.B) {
	shards := []string{"pianura-a.0", "pianura-a.1", "pianura-a.2", "pianura-a.3"}
	racks := make([]string, manyWorkers*len(shards)) // rack of each worker
	for i := range racks {
		racks[i] = fmt.Sprintf("pianura-a-rack-%d", i/40)
	}
	for b.Loop() {
		for _, rack := range racks {
			shardFor(rack, shards)
		}
	}
}
