package claimer_test

import (
	"testing"
	"time"

	"filberthaven.example/claimer"
	qt "github.com/frankban/quicktest"
)

// TestRepeats checks that a warning is logged at most once a second, with the number of
// those left out, also if the clock starts at 0.
func TestRepeats(t *testing.T) {
	var r claimer.Repeats
	logged, left := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		leftOut, due := r.Next(now)
		if due {
			logged++
			left += leftOut
		}
	}
	qt.Assert(t, logged, qt.Equals, 10)
	qt.Assert(t, left, qt.Equals, 9*9)
}
