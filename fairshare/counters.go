// Package fairshare orders waiting requests so that organisations share an upstream by the work done for them, not
// by the number of their requests.
//
// Each organisation has a virtual counter, which grows by the cost of every request that is served for it, divided by
// the organisation's weight. The organisation with the lowest counter is served first. An organisation that has been
// idle starts from at least the counter of the organisation served last, so that it cannot accumulate credit.
package fairshare

// Counters are the virtual counters of the members of one group: organisations, or the adapters of an organisation.
type Counters struct {
	served  map[string]float64
	waiting map[string]int
	// clock is the counter, before it was charged, of the member that was served last.
	clock float64
}

// NewCounters returns counters that are all 0.
func NewCounters() *Counters {
	return &Counters{served: map[string]float64{}, waiting: map[string]int{}}
}

// Served returns a member's counter.
func (c *Counters) Served(member string) float64 { return c.served[member] }

// Clock returns the counter from which an idle member starts.
func (c *Counters) Clock() float64 { return c.clock }

// Waiting returns how many requests of a member are waiting.
func (c *Counters) Waiting(member string) int { return c.waiting[member] }

// ActiveOrganisations returns how many members have requests waiting.
func (c *Counters) ActiveOrganisations() int { return len(c.waiting) }

// MostWaiting returns the member with the most waiting requests, and their number.
func (c *Counters) MostWaiting() (string, int) {
	best, most := "", 0
	for member, n := range c.waiting {
		if n > most || (n == most && member < best) {
			best, most = member, n
		}
	}
	return best, most
}

// AddWaiting counts a request that begins to wait.
func (c *Counters) AddWaiting(member string) {
	if c.waiting[member] == 0 {
		c.served[member] = max(c.served[member], c.clock)
	}
	c.waiting[member]++
}

// RemoveWaiting counts a request that no longer waits.
func (c *Counters) RemoveWaiting(member string) {
	c.waiting[member]--
	if c.waiting[member] == 0 {
		delete(c.waiting, member)
		c.prune()
	}
}

// Charge raises a member's counter by the cost of a request that is served.
func (c *Counters) Charge(member string, cost float64) {
	if c.waiting[member] == 0 {
		c.served[member] = max(c.served[member], c.clock)
	}
	c.clock = max(c.clock, c.served[member])
	c.served[member] += cost
}

// minKept is the number of counters up to which none is dropped.
const minKept = 64

// prune drops counters without effect: those of idle members that would start from the clock again. The amortised
// cost is constant, since the number of counters must have doubled since the waiting ones were counted.
func (c *Counters) prune() {
	if len(c.served) < minKept || len(c.served) < 2*len(c.waiting) {
		return
	}
	checked := 0
	for member, served := range c.served {
		if served <= c.clock && c.waiting[member] == 0 {
			delete(c.served, member)
		}
		if checked++; checked >= pruneSample {
			return
		}
	}
}

// pruneSample is the number of counters that are checked at once. A sample is enough, since map order is random.
const pruneSample = 8
