package scheduler

import (
	"testing"
	"time"

	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

// BenchmarkRecord measures the encoding of the records of a job and of a run, and
// reports their sizes.
func BenchmarkRecord(b *testing.B) {
	spec := placer.NewJobSpec("pianura-a.0-3-18fa2c", "team-117", placer.NewResources(1000, 2048, 0),
		placer.WithName("overnight"), placer.WithTasks(100), placer.WithEstimate(time.Minute))
	for name, r := range map[string]record{
		"accept": {Kind: recordAccept, Spec: newSpecRecord(spec), Request: "overnight-2026-12-04", Digest: 1 << 60},
		"start":  {Kind: recordStart, Job: spec.ID(), Index: 57, Attempt: 1, Worker: "pianura-a-worker-117", Incarnation: "pianura-a-worker-117-1", At: 1_790_000_000_000},
		"begun":  {Kind: recordBegun, Job: spec.ID(), Index: 57, Attempt: 1},
		"end":    {Kind: recordEnd, Job: spec.ID(), Index: 57, Attempt: 1, Result: 1, At: 1_790_000_000_000},
	} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := r.encode()
				qt.Assert(b, err, qt.IsNil)
				size = len(data)
			}
			b.ReportMetric(float64(size), "record-B")
		})
	}
}
