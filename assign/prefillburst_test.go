package assign

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// setEventGapLimit sets the maximum event gap of the routes to allowed, and the prefill time after which the
// simulated streams are late to seen.
func (w *simulation) setEventGapLimit(allowed, lateAfter time.Duration) {
	w.maxPrefillBurst, w.eventGaps = lateAfter, map[EventGaps]int{}
	w.config = catalog.NewConfig(catalog.ConfigParts{
		Version:  2,
		Services: []catalog.Service{*w.config.Service("s"), *w.config.Service("plain")},
		Routes: []catalog.Route{{
			Name: "r", HostName: "h", Prefix: "/", Kind: catalog.Streaming, MaxEventGap: allowed, Backends: []catalog.Backend{{Service: "s", Weight: 1}},
		}},
	})
	w.startLeader()
}

// overLimitShare generates a load that the engines can just serve and returns the fraction of streams with a gap
// over the limit, without the first seconds.
func (w *simulation) overLimitShare(interval time.Duration) float64 {
	w.run(50 * time.Millisecond)
	number := uint64(1)
	submitFor := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			w.submit(number, "a"+strconv.Itoa(int(number%5)))
			number++
			w.run(interval)
		}
	}
	submitFor(4 * time.Second)
	clear(w.eventGaps)
	submitFor(10 * time.Second)
	return float64(w.eventGaps[EventGapsOverLimit]) / float64(w.eventGaps[EventGapsOverLimit]+w.eventGaps[EventGapsWithinLimit])
}

// Long prompts arrive nearly as fast as the engines can prefill them, while the engines also generate tokens for
// other streams. Events are late if prompts are prefilled back to back for too long. Once that has been observed,
// the engines must get decode windows.
func TestPrefillBurst_LimitsEventGaps(t *testing.T) {
	w := newSimulation(t, 1, 2, 6)
	w.setEventGapLimit(500*time.Millisecond, 500*time.Millisecond)
	share := w.overLimitShare(48 * time.Millisecond)
	require.Less(t, share, 0.15)
	require.Greater(t, len(w.granted), 250, "the engines are in use")
}

// The same load runs on engines whose events hold so few tokens that none is late. Their prefill is not limited.
func TestPrefillBurst_NoLimitWithoutLongGaps(t *testing.T) {
	w := newSimulation(t, 1, 2, 6)
	w.setEventGapLimit(500*time.Millisecond, time.Hour)
	require.Zero(t, w.overLimitShare(48*time.Millisecond))
	for _, u := range w.assigner.upstreams {
		require.Zero(t, u.burst.limit)
	}
}

// The limit of an engine follows the event gaps of its streams, within bounds.
func TestPrefillBurst_LimitFollowsEventGaps(t *testing.T) {
	now := time.Unix(0, 0)
	u := &upstream{maxEventGap: 500 * time.Millisecond, streams: 1}
	u.recordPrefill(now, 10*time.Second)
	u.pendingPrefillTokens = 1
	require.True(t, u.mayPrefill(now, time.Second), "no stream has had a long gap")
	u.recordEventGaps(now, EventGapsOverLimit)
	require.Equal(t, 425*time.Millisecond, u.burst.limit)
	u.recordEventGaps(now, EventGapsOverLimit)
	require.Equal(t, 425*time.Millisecond, u.burst.limit, "one burst delays many streams")
	require.False(t, u.mayPrefill(now, time.Millisecond))
	for range 10 {
		now = now.Add(burstDecreaseInterval)
		u.recordEventGaps(now, EventGapsOverLimit)
	}
	require.Equal(t, 250*time.Millisecond, u.burst.limit)
	for range 5000 {
		u.recordEventGaps(now, EventGapsWithinLimit)
	}
	require.Equal(t, 2500*time.Millisecond, u.burst.limit)
	u.pendingPrefillTokens = 0
	u.burst.idleSince = now
	require.False(t, u.mayPrefill(now, time.Second), "no decode window yet")
	require.True(t, u.mayPrefill(now.Add(decodeWindow), time.Hour), "one prompt is always allowed")
}
