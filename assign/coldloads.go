package assign

import (
	"slices"
	"time"
)

// Bounds of the loads from the weight store that are under way at once.
const (
	// minColdWindow is how many are always allowed.
	minColdWindow = 4
	// initialColdLoadsPerEngine is how many are allowed for each engine at first.
	initialColdLoadsPerEngine = 0.6
	// minColdLoadTime is the least time of a load from the store. One that is faster
	// came from the memory of the engine, which a new lead does not know to have
	// held the adapter.
	minColdLoadTime = 3 * warmLoad
	// slowRoundRatio is how much longer than usual the loads of a round may take before
	// fewer are allowed.
	slowRoundRatio = 1.3
	// coldWindowDecrease and coldWindowIncrease change the bound after a round.
	coldWindowDecrease = 0.85
	coldWindowIncrease = 1.2
	// minRoundLoads is the least number of loads that are judged together.
	minRoundLoads = 4
	// baselineWindow is how long the fastest load is remembered, at least; maxBaseline is
	// what it is taken to be at the most, so that a store which is always slow is
	// not taken for one that is not asked too much.
	baselineWindow = 10 * time.Second
	maxBaseline    = coldLoad * 3 / 2
	// probeFraction is the part of the bound that is used for a round of each baselineWindow,
	// to see what a load takes when few others are under way.
	probeFraction = 0.5
)

// coldLoadLimiter bounds how many adapters are on their way from the weight store at
// once. Beyond what the store carries at full speed, more of them only hold
// places for longer. The bound grows while loads are fast and shrinks when they
// get slower, as the window of a delay-based congestion control does.
//
// A store that carries too much is slow for all, while what delays a single load
// is mostly this side of it: a poll, a lost answer, a lead that is busy. So a
// round of loads is judged by its fastest.
type coldLoadLimiter struct {
	window   float64
	inFlight map[*slot]struct{}
	// round holds how long the loads of this round took.
	roundTimes []time.Duration
	// filled says that the bound kept a load from starting in this round.
	limited  bool
	baseline windowedMin
	probe    probe
}

// probe is a round with fewer loads.
type probe struct {
	active bool
	// at is when the last one ended, from is since when the loads of this one are
	// few.
	endedAt, lowSince time.Time
}

func newColdLoadLimiter() coldLoadLimiter { return coldLoadLimiter{inFlight: map[*slot]struct{}{}} }

// engines tells how many engines there are, which sets the bound at first.
func (c *coldLoadLimiter) setEngineCount(n int) {
	if c.baseline.value() == 0 {
		c.window = max(c.window, minColdWindow, initialColdLoadsPerEngine*float64(n))
	}
}

// free reports whether another load may start.
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

// begin notes that a load has been decided on.
func (c *coldLoadLimiter) start(s *slot) { c.inFlight[s] = struct{}{} }

// forget notes that a load has ended, whichever way.
func (c *coldLoadLimiter) discard(s *slot) { delete(c.inFlight, s) }

// end takes how long a load took.
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

// probed ends a probe once a load has ended that began while there were few.
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

// judge changes the bound after a round.
func (c *coldLoadLimiter) adjustWindow() {
	switch {
	case float64(slices.Min(c.roundTimes)) > slowRoundRatio*float64(min(c.baseline.value(), maxBaseline)):
		c.window = max(minColdWindow, c.window*coldWindowDecrease)
	case c.limited:
		c.window *= coldWindowIncrease
	}
	c.roundTimes, c.limited = c.roundTimes[:0], false
}

// windowedMin remembers the least of the times seen in the last baselineWindow to twice as
// long.
type windowedMin struct {
	current, previous time.Duration
	windowStart       time.Time
}

func (f *windowedMin) add(now time.Time, took time.Duration) {
	if now.Sub(f.windowStart) >= baselineWindow {
		f.previous, f.current, f.windowStart = f.current, 0, now
	}
	if f.current == 0 || took < f.current {
		f.current = took
	}
}

// known returns the least time seen, 0 for none.
func (f *windowedMin) value() time.Duration {
	if f.previous == 0 || (f.current > 0 && f.current < f.previous) {
		return f.current
	}
	return f.previous
}
