// Package steady reads the clock that never jumps and counts the time in which the machine
// was suspended, which the runtime's monotonic clock does not.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads a steady clock with an origin of its own.
type Clock func() time.Duration

// Boot is the clock of the machine.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("steady: the kernel has no boot clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
