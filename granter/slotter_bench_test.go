package granter

import (
	"context"
	"fmt"
	"testing"
)

// benchmarkExecutors is a data centre at the two-year size.
const benchmarkExecutors = 50

// newBench returns an owner and holders with their grants.
func newBench(b *testing.B, holders int) (*SlotAllocator, []*SlotPool) {
	b.Helper()
	var list []Executor
	for i := range benchmarkExecutors {
		list = append(list, NewExecutor(fmt.Sprint("e", i), testService, "address", testSlots, 64, false))
	}
	s, err := NewSlotAllocator(WithExecutors(func() []Executor { return list }))
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Begin(1, nil); err != nil {
		b.Fatal(err)
	}
	var all []*SlotPool
	for i := range holders {
		h, err := NewSlotPool(WithIdentity(holderName(i), 1))
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, h)
	}
	for range 5 {
		for _, h := range all {
			reportTo(b, s, h)
		}
	}
	return s, all
}

// reportTo sends one report without a network.
func reportTo(b *testing.B, s *SlotAllocator, h *SlotPool) {
	response, err := s.handle(context.Background(), h.request())
	if err != nil {
		b.Fatal(err)
	}
	h.apply(response)
}

// BenchmarkReport measures one report of a holder at both ends, without the
// network.
func BenchmarkReport(b *testing.B) {
	for _, holders := range []int{3, 9} {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			s, all := newBench(b, holders)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				reportTo(b, s, all[i%holders])
			}
		})
	}
}

// BenchmarkAcquire measures taking and giving back a slot.
func BenchmarkAcquire(b *testing.B) {
	_, all := newBench(b, 3)
	b.ReportAllocs()
	for b.Loop() {
		slot, err := all[0].Acquire(b.Context(), testService, nil)
		if err != nil {
			b.Fatal(err)
		}
		slot.Release()
	}
}
