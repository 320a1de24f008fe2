package journaler_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"golang.org/x/time/rate"
)

// BenchmarkAppend measures the append of one record of 150 bytes by many callers at
// once.
func BenchmarkAppend(b *testing.B) {
	store := emulator.NewStore()
	j, err := journaler.New(store.KV(), shard, journaler.WithRate(100000))
	if err != nil {
		b.Fatal(err)
	}
	j.SetSnapshotter(func() []byte { return make([]byte, 100<<10) })
	if _, err := j.Open(context.Background(), 1); err != nil {
		b.Fatal(err)
	}
	defer j.Abort()
	record := make([]byte, 150)
	b.ReportAllocs()
	b.SetParallelism(256)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := j.Append(context.Background(), record); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkCalls measures the calls to the store per record and the latency of an
// append, for several limits on segments per second and several rates of records per
// second. It runs in a synctest bubble with a store that responds after 3 ms.
func BenchmarkCalls(b *testing.B) {
	for _, limit := range []rate.Limit{journaler.DefaultRate, 5} {
		for _, records := range []int{1, 10, 80, 300} {
			b.Run(fmt.Sprintf("%v segments, %d records", limit, records), func(b *testing.B) {
				for range b.N {
					b.ReportMetric(0, "ns/op")
					calls, latency := measureAppends(b, limit, records, time.Minute)
					b.ReportMetric(calls/float64(records), "calls/record")
					b.ReportMetric(calls, "calls/s")
					b.ReportMetric(latency.Seconds()*1000, "ms/record")
				}
			})
		}
	}
}

// measureAppends appends the given number of records per second for the duration d. It
// returns the calls to the store per second and the mean time of an append.
func measureAppends(b *testing.B, limit rate.Limit, records int, d time.Duration) (calls float64, latency time.Duration) {
	measure := func() {
		store := emulator.NewStore()
		store.SetFaults(emulator.Slow(3 * time.Millisecond))
		j, err := journaler.New(store.KV(), shard, journaler.WithRate(limit))
		if err != nil {
			b.Error(err)
			return
		}
		j.SetSnapshotter(func() []byte { return make([]byte, 400<<10) })
		if _, err := j.Open(context.Background(), 1); err != nil {
			b.Error(err)
			return
		}
		before := store.Counts()
		var mu sync.Mutex
		var group sync.WaitGroup
		total := time.Duration(0)
		for range records * int(d.Seconds()) {
			group.Go(func() {
				started := time.Now()
				if err := j.Append(context.Background(), make([]byte, 150)); err != nil {
					b.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				total += time.Since(started)
			})
			time.Sleep(time.Second / time.Duration(records))
		}
		group.Wait()
		counts := store.Counts().Sub(before)
		calls = float64(counts.Reads()+counts.Writes()) / d.Seconds()
		latency = total / time.Duration(records*int(d.Seconds()))
		j.Abort()
	}
	// synctest.Test needs a *testing.T, which a benchmark does not have.
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "calls", F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { measure() }) },
	}})
	return calls, latency
}
