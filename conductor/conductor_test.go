package conductor

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestBatchDelay checks that decisions leave most of the processor to orders, also on a VM
// on which they take long, and that updates never wait longer than maxBatchDelay.
func TestBatchDelay(t *testing.T) {
	quicktest.Check(t, batchDelay(0), quicktest.Equals, updateBatchDelay)
	quicktest.Check(t, batchDelay(time.Millisecond), quicktest.Equals, updateBatchDelay)
	quicktest.Check(t, batchDelay(10*time.Millisecond), quicktest.Equals, 40*time.Millisecond)
	quicktest.Check(t, batchDelay(time.Second), quicktest.Equals, maxBatchDelay)
}
