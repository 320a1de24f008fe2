package elector_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/emulator"
	qt "github.com/frankban/quicktest"
)

// BenchmarkTakeover measures the time from an owner's death to its successor's
// election, in a synctest bubble where the store responds after 3 ms.
func BenchmarkTakeover(b *testing.B) {
	benchmarkSuccession(b, func(owner *node) { owner.cancel() })
}

// BenchmarkHandOver measures the time from a planned stop to the successor's
// election, in a bubble like that of BenchmarkTakeover.
func BenchmarkHandOver(b *testing.B) {
	benchmarkSuccession(b, func(owner *node) {
		owner.Leave()
		_ = owner.Resign(context.Background(), shard)
	})
}

// benchmarkSuccession reports the mean and the longest time over 100 stops, each
// at another moment between two renewals.
func benchmarkSuccession(b *testing.B, stop func(*node)) {
	for range b.N {
		var sum, longest time.Duration
		const phases = 100
		for phase := range phases {
			took := timeSuccession(time.Duration(phase)*10*time.Millisecond, stop)
			sum += took
			longest = max(longest, took)
		}
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(sum.Seconds()*1000/phases, "ms/mean")
		b.ReportMetric(longest.Seconds()*1000, "ms/longest")
	}
}

// timeSuccession returns the time from an owner's stop to its successor's
// election. It stops the owner after 10 s plus phase.
func timeSuccession(phase time.Duration, stop func(*node)) time.Duration {
	var took time.Duration
	// synctest runs only within a test.
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "succession", F: func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := emulator.NewStore()
				store.SetFaults(emulator.Slow(3 * time.Millisecond))
				nodes := startThree(c, store, shard)
				time.Sleep(10*time.Second + phase)
				owner := soleOwner(c, nodes, shard)
				stopped := time.Now()
				stop(owner)
				time.Sleep(10 * time.Second)
				took = soleOwner(c, others(nodes, owner), shard).lastChange(shard).Sub(stopped)
			})
		},
	}})
	return took
}

// BenchmarkIdle measures the calls per second of entry VMs that only renew
// their records and watch, in a synctest bubble where the store responds after
// 3 ms.
func BenchmarkIdle(b *testing.B) {
	for _, vms := range []int{9, 30} {
		b.Run(fmt.Sprint(vms, " vms"), func(b *testing.B) {
			for range b.N {
				counts := countIdleCalls(vms)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(counts.Writes())/60, "writes/s")
				b.ReportMetric(float64(counts.Reads()+counts.Watches())/60, "reads/s")
			}
		})
	}
}

// countIdleCalls returns the calls that idle VMs make in a minute.
func countIdleCalls(vms int) emulator.Counts {
	var counts emulator.Counts
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "idle", F: func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := emulator.NewStore()
				store.SetFaults(emulator.Slow(3 * time.Millisecond))
				for vm := range vms {
					startNode(c, store, fmt.Sprint("vm", vm), 1, shard)
					time.Sleep(time.Second / time.Duration(vms))
				}
				time.Sleep(10 * time.Second)
				before := store.Counts()
				time.Sleep(time.Minute)
				counts = store.Counts().Sub(before)
			})
		},
	}})
	return counts
}
