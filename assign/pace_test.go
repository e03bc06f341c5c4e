package assign

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// withPauses has the routes of a world allow a pause between events.
func (w *world) withPauses(allowed, seen time.Duration) {
	w.longestPause, w.pauses = seen, map[EventGaps]int{}
	w.config = catalog.NewConfig(catalog.ConfigParts{
		Version:  2,
		Services: []catalog.Service{*w.config.Service("s"), *w.config.Service("plain")},
		Routes: []catalog.Route{{
			Name: "r", HostName: "h", Prefix: "/", Kind: catalog.Streaming, MaxEventGap: allowed, Backends: []catalog.Backend{{Service: "s", Weight: 1}},
		}},
	})
	w.lead()
}

// longShare plays a load that engines can just carry and returns the part of the
// streams with a long pause, after the first seconds.
func (w *world) longShare(asked time.Duration) float64 {
	w.run(50 * time.Millisecond)
	number := uint64(1)
	play := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			w.ask(number, "a"+strconv.Itoa(int(number%5)))
			number++
			w.run(asked)
		}
	}
	play(4 * time.Second)
	clear(w.pauses)
	play(10 * time.Second)
	return float64(w.pauses[EventGapsOverLimit]) / float64(w.pauses[EventGapsOverLimit]+w.pauses[EventGapsWithinLimit])
}

// Pattern: long prompts are asked for nearly as fast as engines read, which also make
// the tokens of other streams. Events of these are late where prompts are read one
// after another for too long; the engine is given rests once that has shown.
func TestStreamsAreNotHeldUpByPrompts(t *testing.T) {
	w := newWorld(t, 1, 2, 6)
	w.withPauses(500*time.Millisecond, 500*time.Millisecond)
	share := w.longShare(48 * time.Millisecond)
	require.Less(t, share, 0.15)
	require.Greater(t, len(w.granted), 250, "the engines are used")
}

// Pattern: the same load on engines whose events hold so few tokens that none is
// late. They get no rests.
func TestEnginesWhoseEventsAreInTimeAreNotSlowedDown(t *testing.T) {
	w := newWorld(t, 1, 2, 6)
	w.withPauses(500*time.Millisecond, time.Hour)
	require.Zero(t, w.longShare(48*time.Millisecond))
	for _, u := range w.assigner.upstreams {
		require.Zero(t, u.stretch.limit)
	}
}

// The bound of an engine follows what its streams see, within limits.
func TestTheStretchFollowsPauses(t *testing.T) {
	now := time.Unix(0, 0)
	u := &upstream{longestPause: 500 * time.Millisecond, streams: 1}
	u.noteReading(now, 10*time.Second)
	u.unstarted = 1
	require.True(t, u.mayRead(now, time.Second), "no stream has had a long pause")
	u.notePauses(now, EventGapsOverLimit)
	require.Equal(t, 425*time.Millisecond, u.stretch.limit)
	u.notePauses(now, EventGapsOverLimit)
	require.Equal(t, 425*time.Millisecond, u.stretch.limit, "one stretch delays many streams")
	require.False(t, u.mayRead(now, time.Millisecond))
	for range 10 {
		now = now.Add(stretchEvery)
		u.notePauses(now, EventGapsOverLimit)
	}
	require.Equal(t, 250*time.Millisecond, u.stretch.limit)
	for range 5000 {
		u.notePauses(now, EventGapsWithinLimit)
	}
	require.Equal(t, 2500*time.Millisecond, u.stretch.limit)
	u.unstarted = 0
	u.stretch.idleSince = now
	require.False(t, u.mayRead(now, time.Second), "it has not rested")
	require.True(t, u.mayRead(now.Add(restTime), time.Hour), "one prompt is always read")
}
