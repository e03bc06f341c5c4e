package host

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is what time is counted from without a clock of the machine.
var processStart = time.Now()

// sinceBoot returns the time since the machine's start, including the time for
// which it was suspended, which Go's clock leaves out.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart) // a kernel before 2.6.39
	}
	return time.Duration(now.Nano())
}
