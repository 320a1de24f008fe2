package server

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEvenPart asserts that the parts of all VMs add up to the whole.
func TestEvenPart(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int64{0, 1, 8, 9, 60, 61, 400} {
		for vms := 1; vms <= 21; vms++ {
			sum := int64(0)
			for rank := range vms {
				sum += int64(evenPart(n, rank, vms))
			}
			c.Assert(sum, qt.Equals, n, qt.Commentf("%d over %d", n, vms))
		}
		c.Assert(evenPart(n, -1, 9), qt.Equals, 0)
	}
}
