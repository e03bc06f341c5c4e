package host

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the reference time if the kernel has no CLOCK_BOOTTIME.
var processStart = time.Now()

// timeSinceBoot returns the time since the machine was started. Unlike the monotonic clock of
// package time, it includes the time during which the machine was suspended.
func timeSinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart) // a kernel older than 2.6.39
	}
	return time.Duration(now.Nano())
}
