// Package steady reads a monotonic clock that includes the time in which the machine was
// suspended. Go's own monotonic clock stops during that time.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the reading of a monotonic clock, counted from an arbitrary origin.
type Clock func() time.Duration

// Boot is the Clock that returns the time since the machine booted. It panics if the kernel has
// no CLOCK_BOOTTIME.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("steady: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
