package granter

import (
	"context"
	"fmt"
	"testing"
)

// benchmarkExecutors is the number of executors expected in a data centre in
// two years.
const benchmarkExecutors = 50

// startBenchmark returns an allocator, and pools that have applied their grants.
func startBenchmark(b *testing.B, holders int) (*SlotAllocator, []*SlotPool) {
	b.Helper()
	var executors []Executor
	for i := range benchmarkExecutors {
		executors = append(executors, NewExecutor(fmt.Sprint("e", i), testService, "address", testSlots, 64, false))
	}
	allocator, err := NewSlotAllocator(WithExecutors(func() []Executor { return executors }))
	if err != nil {
		b.Fatal(err)
	}
	if err := allocator.Begin(1, nil); err != nil {
		b.Fatal(err)
	}
	var pools []*SlotPool
	for i := range holders {
		pool, err := NewSlotPool(WithIdentity(holderName(i), 1))
		if err != nil {
			b.Fatal(err)
		}
		pools = append(pools, pool)
	}
	for range 5 {
		for _, pool := range pools {
			reportTo(b, allocator, pool)
		}
	}
	return allocator, pools
}

// reportTo passes a pool's report to the allocator and the response back to the
// pool, without a network.
func reportTo(b *testing.B, allocator *SlotAllocator, pool *SlotPool) {
	response, err := allocator.onReport(context.Background(), pool.newRequest())
	if err != nil {
		b.Fatal(err)
	}
	pool.apply(response)
}

// BenchmarkReport measures one report in the pool and in the allocator, without
// a network.
func BenchmarkReport(b *testing.B) {
	for _, holders := range []int{3, 9} {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			allocator, pools := startBenchmark(b, holders)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				reportTo(b, allocator, pools[i%holders])
			}
		})
	}
}

// BenchmarkAcquire measures acquiring and releasing a slot.
func BenchmarkAcquire(b *testing.B) {
	_, pools := startBenchmark(b, 3)
	b.ReportAllocs()
	for b.Loop() {
		slot, err := pools[0].Acquire(b.Context(), testService, nil)
		if err != nil {
			b.Fatal(err)
		}
		slot.Release()
	}
}
