package callers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/intake/callers"
)

// A stream whose caller reads as fast as events come must be blamed on the upstream if it breaks off, one whose caller blocks
// the host must not, and the blame must end.
func TestWriteTimes_CallerIsSlow(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	for name, tc := range map[string]struct {
		write, pause time.Duration
		slow         bool
	}{
		"fast":                {time.Millisecond, 30 * time.Millisecond, false},
		"slow all the time":   {300 * time.Millisecond, time.Millisecond, true},
		"does not read":       {5 * time.Second, 0, true},
		"slow for a fifth":    {100 * time.Millisecond, 400 * time.Millisecond, false},
		"writes take no time": {0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var w callers.WriteTimes
			now := begin
			for range 100 {
				w.Record(now, now.Add(tc.write))
				now = now.Add(tc.write + tc.pause)
			}
			require.Equal(t, tc.slow, w.CallerIsSlow(now))
			require.False(t, w.CallerIsSlow(now.Add(5*time.Second)))
		})
	}
}
