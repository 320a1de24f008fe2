package claimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time of a monotonic clock that includes suspended time, unlike that
// of the Go runtime: a lease keeps running while a VM is suspended.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boot-time clock not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
