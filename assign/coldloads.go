package assign

import (
	"slices"
	"time"
)

// Bounds of the loads from the weight store that are under way at once.
const (
	// leastCold is how many are always allowed.
	leastCold = 4
	// coldPerEngine is how many are allowed for each engine at first.
	coldPerEngine = 0.6
	// leastStoreLoad is the least time of a load from the store. One that is faster
	// came from the memory of the engine, which a new lead does not know to have
	// held the adapter.
	leastStoreLoad = 3 * warmLoad
	// slowCold is how much longer than usual the loads of a round may take before
	// fewer are allowed.
	slowCold = 1.3
	// coldShrink and coldGrow change the bound after a round.
	coldShrink = 0.85
	coldGrow   = 1.2
	// coldRound is the least number of loads that are judged together.
	coldRound = 4
	// usualFor is how long the fastest load is remembered, at least; usualAtMost is
	// what it is taken to be at the most, so that a store which is always slow is
	// not taken for one that is not asked too much.
	usualFor    = 10 * time.Second
	usualAtMost = coldLoad * 3 / 2
	// probePart is the part of the bound that is used for a round of each usualFor,
	// to see what a load takes when few others are under way.
	probePart = 0.5
)

// coldLoads bounds how many adapters are on their way from the weight store at
// once. Beyond what the store carries at full speed, more of them only hold
// places for longer. The bound grows while loads are fast and shrinks when they
// get slower, as the window of a delay-based congestion control does.
//
// A store that carries too much is slow for all, while what delays a single load
// is mostly this side of it: a poll, a lost answer, a lead that is busy. So a
// round of loads is judged by its fastest.
type coldLoads struct {
	window float64
	flying map[*slot]struct{}
	// round holds how long the loads of this round took.
	round []time.Duration
	// filled says that the bound kept a load from starting in this round.
	filled bool
	usual  fastest
	probe  probe
}

// probe is a round with fewer loads.
type probe struct {
	on bool
	// at is when the last one ended, from is since when the loads of this one are
	// few.
	at, from time.Time
}

func newColdLoads() coldLoads { return coldLoads{flying: map[*slot]struct{}{}} }

// engines tells how many engines there are, which sets the bound at first.
func (c *coldLoads) engines(n int) {
	if c.usual.known() == 0 {
		c.window = max(c.window, leastCold, coldPerEngine*float64(n))
	}
}

// free reports whether another load may start.
func (c *coldLoads) free() bool {
	if float64(len(c.flying)) < c.limit() {
		return true
	}
	c.filled = true
	return false
}

func (c *coldLoads) limit() float64 {
	if c.probe.on {
		return max(leastCold, c.window*probePart)
	}
	return c.window
}

// begin notes that a load has been decided on.
func (c *coldLoads) begin(s *slot) { c.flying[s] = struct{}{} }

// forget notes that a load has ended, whichever way.
func (c *coldLoads) forget(s *slot) { delete(c.flying, s) }

// end takes how long a load took.
func (c *coldLoads) end(now time.Time, s *slot, took time.Duration) {
	if _, ok := c.flying[s]; !ok || !s.cold || took < leastStoreLoad {
		return
	}
	c.usual.see(now, took)
	if c.probe.on {
		c.probed(now, s)
		return
	}
	c.round = append(c.round, took)
	if len(c.round) >= max(coldRound, int(c.window)) {
		c.judge()
		c.probe.on = now.Sub(c.probe.at) >= usualFor && c.window > leastCold
		c.probe.from = time.Time{}
	}
}

// probed ends a probe once a load has ended that began while there were few.
func (c *coldLoads) probed(now time.Time, s *slot) {
	switch {
	case c.probe.from.IsZero():
		if float64(len(c.flying)) <= c.limit() {
			c.probe.from = now
		}
	case !s.orderedAt.Before(c.probe.from):
		c.probe = probe{at: now}
	}
}

// judge changes the bound after a round.
func (c *coldLoads) judge() {
	switch {
	case float64(slices.Min(c.round)) > slowCold*float64(min(c.usual.known(), usualAtMost)):
		c.window = max(leastCold, c.window*coldShrink)
	case c.filled:
		c.window *= coldGrow
	}
	c.round, c.filled = c.round[:0], false
}

// fastest remembers the least of the times seen in the last usualFor to twice as
// long.
type fastest struct {
	now, before time.Duration
	since       time.Time
}

func (f *fastest) see(now time.Time, took time.Duration) {
	if now.Sub(f.since) >= usualFor {
		f.before, f.now, f.since = f.now, 0, now
	}
	if f.now == 0 || took < f.now {
		f.now = took
	}
}

// known returns the least time seen, 0 for none.
func (f *fastest) known() time.Duration {
	if f.before == 0 || (f.now > 0 && f.now < f.before) {
		return f.now
	}
	return f.before
}
