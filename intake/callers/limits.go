package callers

import (
	"math"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"github.com/jasminelock/jasminelock/intake"
)

// operatorLimits are the limits of operators' connections and of those of the platform's checks.
var operatorLimits = intake.Limits{Bytes: 4 << 20, Connections: 64, PerConnection: 1 << 20, PerKey: 4 << 20}

// NewOperatorGate returns a gate for the listeners of operators and of the platform's checks, so that callers which find them
// take little memory there, and those that take the memory for callers do not take theirs.
func NewOperatorGate() *Gate { return NewGate(operatorLimits) }

// LimitsOf returns the limits of this process, given its memory in megabytes and its number of descriptors. 0 stands for half of
// the machine's memory, and for the process's own limit (RLIMIT_NOFILE). More descriptors than that limit are logged and reduced
// to it: connections would be admitted that take the last descriptors from upstreams, the store and other hosts.
func LimitsOf(log hclog.Logger, memoryMB, descriptors int, s intake.Shares) (intake.Limits, error) {
	memory := int64(memoryMB) << 20
	if memory == 0 {
		var info unix.Sysinfo_t
		if err := unix.Sysinfo(&info); err != nil {
			return intake.Limits{}, err
		}
		memory = int64(info.Totalram) * int64(info.Unit) / 2
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return intake.Limits{}, err
	}
	available := int(min(limit.Cur, math.MaxInt32))
	if descriptors > available {
		log.Warn("setting descriptors is above the limit of the process (RLIMIT_NOFILE), which is used instead",
			"descriptors", descriptors, "limit", available)
	}
	if descriptors == 0 || descriptors > available {
		descriptors = available
	}
	return intake.NewLimits(memory, descriptors, s), nil
}
