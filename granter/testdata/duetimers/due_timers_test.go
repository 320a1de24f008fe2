// Package duetimers shows a fault of the Go runtime (go1.26.8, linux/amd64) that
// crashes tests under testing/synctest with -race: in a bubble, all timers run with
// one race context, the bubble's. A goroutine that receives from a timer that is
// already due runs it itself, so that two processors can use that context at once.
// See unlockAndRun and maybeRunChan in the runtime's time.go.
package duetimers

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestDueTimers crashes with -race and at least two processors; it passes with
// -cpu 1 and without -race.
func TestDueTimers(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 10_000 {
					<-time.NewTimer(0).C
				}
			})
		}
		group.Wait()
	})
}
