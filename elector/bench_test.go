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

// BenchmarkTakeover measures, in a bubble with answers after 3 ms, the time from
// an owner's death to its successor's election.
func BenchmarkTakeover(b *testing.B) {
	measure(b, func(owner *node) { owner.cancel() })
}

// BenchmarkHandOver measures the time from a planned stop to the successor's
// election.
func BenchmarkHandOver(b *testing.B) {
	measure(b, func(owner *node) {
		owner.Leave()
		_ = owner.Resign(context.Background(), shard)
	})
}

// measure reports the mean and the longest time over 100 phases of the renewals.
func measure(b *testing.B, end func(*node)) {
	for range b.N {
		var sum, longest time.Duration
		const phases = 100
		for phase := range phases {
			took := succession(time.Duration(phase)*10*time.Millisecond, end)
			sum += took
			longest = max(longest, took)
		}
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(sum.Seconds()*1000/phases, "ms/mean")
		b.ReportMetric(longest.Seconds()*1000, "ms/longest")
	}
}

// succession returns the time from an owner's end to the next one's election.
func succession(phase time.Duration, end func(*node)) time.Duration {
	var took time.Duration
	// A bubble needs a test to belong to.
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "succession", F: func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := emulator.NewStore()
				store.SetFaults(emulator.Slow(3 * time.Millisecond))
				nodes := trio(c, store, shard)
				time.Sleep(10*time.Second + phase)
				owner := soleOwner(c, nodes, shard)
				begun := time.Now()
				end(owner)
				time.Sleep(10 * time.Second)
				took = soleOwner(c, others(nodes, owner), shard).since(shard).Sub(begun)
			})
		},
	}})
	return took
}

// BenchmarkIdle measures the calls a second of entry VMs that only keep their
// records and copies, with answers after 3 ms.
func BenchmarkIdle(b *testing.B) {
	for _, vms := range []int{9, 30} {
		b.Run(fmt.Sprint(vms, " vms"), func(b *testing.B) {
			for range b.N {
				counts := idle(vms)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(counts.Writes())/60, "writes/s")
				b.ReportMetric(float64(counts.Reads()+counts.Watches())/60, "reads/s")
			}
		})
	}
}

// idle returns the calls of a minute.
func idle(vms int) emulator.Counts {
	var counts emulator.Counts
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "idle", F: func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := emulator.NewStore()
				store.SetFaults(emulator.Slow(3 * time.Millisecond))
				for vm := range vms {
					start(c, store, fmt.Sprint("vm", vm), 1, shard)
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
