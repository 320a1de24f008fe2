package tracker

import (
	"fmt"
	"testing"
)

// BenchmarkAccessors measures reads of the list with 2,400 workers.
func BenchmarkAccessors(b *testing.B) {
	const workers, endpoints, centres = 2400, 350, 7
	tracker, err := New()
	if err != nil {
		b.Fatal(err)
	}
	var response listResponse
	for i := range workers + endpoints {
		record := vmRecord{ID: fmt.Sprint("vm", i), Role: WorkerRole, Centre: fmt.Sprint("c", i%centres), State: Live, Incarnation: 1}
		if i >= workers {
			record.Role, record.Service = EndpointRole, "prenota"
		}
		response.VMs = append(response.VMs, record)
	}
	tracker.apply(response)
	b.Run("workers of a data centre", func(b *testing.B) {
		for b.Loop() {
			tracker.Workers("c1")
		}
	})
	b.Run("endpoints of a data centre", func(b *testing.B) {
		for b.Loop() {
			tracker.Endpoints("", "c1")
		}
	})
}
