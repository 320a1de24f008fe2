package conductor

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestPace tells a VM that has become slow from workers that are out of reach and
// from a single freeze.
func TestPace(t *testing.T) {
	const usual, timeout = 8 * time.Millisecond, 800 * time.Millisecond
	for _, test := range []struct {
		name string
		took func(n int) time.Duration
		want bool
	}{
		{"sound", func(int) time.Duration { return usual }, false},
		{"slow", func(int) time.Duration { return 300 * time.Millisecond }, true},
		{"a third of the workers out of reach", func(n int) time.Duration { return []time.Duration{usual, usual, timeout}[n%3] }, false},
		{"frozen once", func(n int) time.Duration { return usual + time.Duration(n/90)*4*time.Second }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p pace
			slow := false
			for n := range 100 {
				slow = p.note(test.took(n)) || slow
			}
			quicktest.Assert(t, slow, quicktest.Equals, test.want)
		})
	}
}
