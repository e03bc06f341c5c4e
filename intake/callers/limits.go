package callers

import (
	"math"

	"golang.org/x/sys/unix"

	"github.com/jasminelock/jasminelock/intake"
)

// operatorLimits are the limits of operators' connections and of those of the platform's checks.
var operatorLimits = intake.Limits{Bytes: 4 << 20, Connections: 64, PerConnection: 1 << 20, PerKey: 4 << 20}

// NewOperatorGate returns a gate for the listeners of operators and of the platform's checks, so that callers which find them
// take little memory there, and those that take the memory for callers do not take theirs.
func NewOperatorGate() *Gate { return NewGate(operatorLimits) }

// LimitsOf returns the limits of this process, given its memory in megabytes and its number of descriptors. 0 stands for half of
// the machine's memory, and for the process's own limit (RLIMIT_NOFILE).
func LimitsOf(memoryMB, descriptors int, s intake.Shares) (intake.Limits, error) {
	memory := int64(memoryMB) << 20
	if memory == 0 {
		var info unix.Sysinfo_t
		if err := unix.Sysinfo(&info); err != nil {
			return intake.Limits{}, err
		}
		memory = int64(info.Totalram) * int64(info.Unit) / 2
	}
	if descriptors == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return intake.Limits{}, err
		}
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return intake.NewLimits(memory, descriptors, s), nil
}
