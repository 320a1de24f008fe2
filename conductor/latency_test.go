package conductor

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestLatencyWindow checks that a VM counts as slow if it always is, but not because a
// minority of workers is unreachable or the VM froze once.
func TestLatencyWindow(t *testing.T) {
	const usual, timeout = 8 * time.Millisecond, 800 * time.Millisecond
	for _, test := range []struct {
		name    string
		latency func(n int) time.Duration
		want    bool
	}{
		{"sound", func(int) time.Duration { return usual }, false},
		{"slow", func(int) time.Duration { return 300 * time.Millisecond }, true},
		{"a third of the workers unreachable", func(n int) time.Duration { return []time.Duration{usual, usual, timeout}[n%3] }, false},
		{"frozen once", func(n int) time.Duration { return usual + time.Duration(n/90)*4*time.Second }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var w latencyWindow
			slow := false
			for n := range 100 {
				slow = w.add(test.latency(n)) || slow
			}
			quicktest.Assert(t, slow, quicktest.Equals, test.want)
		})
	}
}
