package assign

import "time"

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
	// slowCold is how much longer than the fastest a load may take before fewer
	// are allowed.
	slowCold = 1.3
	// coldShrink is by how many the bound falls with a slow load.
	coldShrink = 0.5
)

// coldLoads bounds how many adapters are on their way from the weight store at
// once. Beyond what the store carries at full speed, more of them only hold
// places for longer. The bound grows while loads are fast and shrinks when they
// get slower, as the window of a delay-based congestion control does.
type coldLoads struct {
	window  float64
	fastest time.Duration
	flying  map[*slot]struct{}
}

func newColdLoads() coldLoads { return coldLoads{flying: map[*slot]struct{}{}} }

// engines tells how many engines there are, which sets the bound at first.
func (c *coldLoads) engines(n int) {
	if c.fastest == 0 {
		c.window = max(c.window, leastCold, coldPerEngine*float64(n))
	}
}

// free reports whether another load may start.
func (c *coldLoads) free() bool { return float64(len(c.flying)) < c.window }

// begin notes that a load has been decided on.
func (c *coldLoads) begin(s *slot) { c.flying[s] = struct{}{} }

// forget notes that a load has ended, whichever way.
func (c *coldLoads) forget(s *slot) { delete(c.flying, s) }

// end takes how long a load took.
func (c *coldLoads) end(s *slot, took time.Duration) {
	if _, ok := c.flying[s]; !ok || !s.cold || took < leastStoreLoad {
		return
	}
	if c.fastest == 0 || took < c.fastest {
		c.fastest = took
	}
	if float64(took) > slowCold*float64(c.fastest) {
		c.window = max(leastCold, c.window-coldShrink)
		return
	}
	c.window += 1 / c.window
}
