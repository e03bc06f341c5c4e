package callers_test

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/jasminelock/jasminelock/intake"
	"github.com/jasminelock/jasminelock/intake/callers"
)

// A setting above the limit of the process was taken as it is, so that callers' connections could take the last descriptors.
// Guards against that, against a setting within the limit that is changed, and against a reduction that is not logged once.
func TestLimitsOf_DescriptorsAboveTheLimitOfTheProcess(t *testing.T) {
	var limit unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	available := int(min(limit.Cur, math.MaxInt32))
	const memoryMB = 1 << 30 // so that descriptors alone bound the connections
	for descriptors, want := range map[int]int{
		0: available, available: available, available / 2: available / 2, available + 1: available, math.MaxInt: available,
	} {
		var out bytes.Buffer
		log := hclog.New(&hclog.LoggerOptions{Output: &out})
		got, err := callers.LimitsOf(log, memoryMB, descriptors, intake.DefaultShares())
		require.NoError(t, err)
		require.Equal(t, intake.NewLimits(memoryMB<<20, want, intake.DefaultShares()), got, "%d descriptors", descriptors)
		lines := 0
		if descriptors > available {
			lines = 1
		}
		require.Equal(t, lines, strings.Count(out.String(), "above the limit of the process"), out.String())
	}
}
