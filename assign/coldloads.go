package assign

import (
	"slices"
	"time"
)

// Bounds on concurrent loads from the weight store (cold loads).
const (
	// minColdWindow is the number of cold loads that are always allowed.
	minColdWindow = 4
	// initialColdLoadsPerEngine sets the initial window, per engine.
	initialColdLoadsPerEngine = 0.6
	// minColdLoadTime is the shortest duration of a cold load. A faster load came from the memory of the engine: a
	// new leader does not know which adapters engines held before.
	minColdLoadTime = 3 * warmLoad
	// slowRoundRatio is the ratio of load time to baseline above which a round counts as slow and the window
	// shrinks.
	slowRoundRatio = 1.3
	// coldWindowDecrease and coldWindowIncrease are the factors by which the window changes after a round.
	coldWindowDecrease = 0.85
	coldWindowIncrease = 1.2
	// minRoundLoads is the minimum number of loads in a round.
	minRoundLoads = 4
	// baselineWindow is the minimum time for which the fastest load is remembered. maxBaseline caps the baseline,
	// so that a store that is always slow is still recognised as overloaded.
	baselineWindow = 10 * time.Second
	maxBaseline    = coldLoad * 3 / 2
	// probeFraction is the fraction of the window that is used during a probe, which takes place once per
	// baselineWindow and measures the load time with few concurrent loads.
	probeFraction = 0.5
)

// coldLoadLimiter bounds the number of adapters that are loaded from the weight store at once. More loads than the
// store can serve at full speed only occupy slots for longer. The window grows while loads are fast and shrinks
// when they get slower, as in delay-based congestion control.
//
// An overloaded store slows down all loads, while a single load is mostly delayed on this side of the store: by a
// poll, a lost answer or a busy leader. A round of loads is therefore judged by its fastest load.
type coldLoadLimiter struct {
	window   float64
	inFlight map[*slot]struct{}
	// roundTimes holds the durations of the loads of the current round.
	roundTimes []time.Duration
	// limited is true if the window prevented a load from starting in the current round.
	limited  bool
	baseline windowedMin
	probe    probe
}

// probe is a period with a reduced number of concurrent loads, to measure the baseline.
type probe struct {
	active bool
	// endedAt is the end of the last probe; lowSince is the time from which the number of loads has been within
	// the reduced limit of the present probe.
	endedAt, lowSince time.Time
}

func newColdLoadLimiter() coldLoadLimiter { return coldLoadLimiter{inFlight: map[*slot]struct{}{}} }

// setEngineCount raises the initial window to suit the number of engines. It has no effect once a load has been
// measured.
func (c *coldLoadLimiter) setEngineCount(n int) {
	if c.baseline.value() == 0 {
		c.window = max(c.window, minColdWindow, initialColdLoadsPerEngine*float64(n))
	}
}

// mayStart reports whether another load may start.
func (c *coldLoadLimiter) mayStart() bool {
	if float64(len(c.inFlight)) < c.limit() {
		return true
	}
	c.limited = true
	return false
}

func (c *coldLoadLimiter) limit() float64 {
	if c.probe.active {
		return max(minColdWindow, c.window*probeFraction)
	}
	return c.window
}

// start records that a load has been decided on.
func (c *coldLoadLimiter) start(s *slot) { c.inFlight[s] = struct{}{} }

// discard records that a load has ended, successfully or not.
func (c *coldLoadLimiter) discard(s *slot) { delete(c.inFlight, s) }

// complete records the duration of a successful load.
func (c *coldLoadLimiter) complete(now time.Time, s *slot, took time.Duration) {
	if _, ok := c.inFlight[s]; !ok || !s.cold || took < minColdLoadTime {
		return
	}
	c.baseline.add(now, took)
	if c.probe.active {
		c.updateProbe(now, s)
		return
	}
	c.roundTimes = append(c.roundTimes, took)
	if len(c.roundTimes) >= max(minRoundLoads, int(c.window)) {
		c.adjustWindow()
		c.probe.active = now.Sub(c.probe.endedAt) >= baselineWindow && c.window > minColdWindow
		c.probe.lowSince = time.Time{}
	}
}

// updateProbe ends the probe once a load has completed that was ordered while few loads were in flight.
func (c *coldLoadLimiter) updateProbe(now time.Time, s *slot) {
	switch {
	case c.probe.lowSince.IsZero():
		if float64(len(c.inFlight)) <= c.limit() {
			c.probe.lowSince = now
		}
	case !s.orderedAt.Before(c.probe.lowSince):
		c.probe = probe{endedAt: now}
	}
}

// adjustWindow adapts the window after a round.
func (c *coldLoadLimiter) adjustWindow() {
	switch {
	case float64(slices.Min(c.roundTimes)) > slowRoundRatio*float64(min(c.baseline.value(), maxBaseline)):
		c.window = max(minColdWindow, c.window*coldWindowDecrease)
	case c.limited:
		c.window *= coldWindowIncrease
	}
	c.roundTimes, c.limited = c.roundTimes[:0], false
}

// windowedMin is the minimum of the durations of the last baselineWindow to twice that time.
type windowedMin struct {
	current, previous time.Duration
	windowStart       time.Time
}

func (m *windowedMin) add(now time.Time, took time.Duration) {
	if now.Sub(m.windowStart) >= baselineWindow {
		m.previous, m.current, m.windowStart = m.current, 0, now
	}
	if m.current == 0 || took < m.current {
		m.current = took
	}
}

// value returns the minimum, 0 if there is none.
func (m *windowedMin) value() time.Duration {
	if m.previous == 0 || (m.current > 0 && m.current < m.previous) {
		return m.current
	}
	return m.previous
}
