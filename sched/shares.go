package sched

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
)

// minBudgetRetry and maxBudgetRetry limit the delay before a host that was refused budget
// tries again. With a fixed delay, a host would always lose to the host whose request comes
// just before its own.
const (
	minBudgetRetry = 50 * time.Millisecond
	maxBudgetRetry = 400 * time.Millisecond
)

// The retry delay of an organisation is scaled by its excess, raised to excessExponent and
// limited to these bounds: with less than its share of the loads it retries sooner, with more
// than its share later.
const (
	excessExponent = 4.0
	minExcess      = 1.0 / 8
	maxExcess      = 2.5
)

// loadShares counts the loads of each organisation, so that organisations with the fewest
// loads relative to their rate are served first.
type loadShares struct {
	weights map[string]float64
	// counters are virtual counters: loads divided by weight. clock is the counter of the
	// organisation that was last served; an organisation that has been idle starts from it.
	counters map[string]float64
	clock    float64
	// recent and recentTotal are decaying counts of loads, by organisation and in total.
	recent      map[string]*decayingCount
	recentTotal decayingCount
}

func newLoadShares() loadShares {
	return loadShares{weights: map[string]float64{}, counters: map[string]float64{}, recent: map[string]*decayingCount{}}
}

// configure sets the organisations' weights: an organisation's weight is its rate divided by
// the mean rate. The rates are summed in the order of their names, so that every host computes
// the same floating-point value.
func (s *loadShares) configure(rates map[string]*record.Rate) {
	clear(s.weights)
	total := 0.0
	for _, org := range slices.Sorted(maps.Keys(rates)) {
		total += rates[org].TokensPerSecond
	}
	for org, r := range rates {
		if r.TokensPerSecond > 0 {
			s.weights[org] = r.TokensPerSecond * float64(len(rates)) / total
		}
	}
}

func (s *loadShares) weight(org string) float64 {
	if w, ok := s.weights[org]; ok {
		return w
	}
	return 1
}

// counter returns an organisation's virtual counter.
func (s *loadShares) counter(org string) float64 { return max(s.counters[org], s.clock) }

func (s *loadShares) charge(now time.Time, org string) {
	before := s.counter(org)
	s.clock = max(s.clock, s.counters[org])
	s.counters[org] = before + 1/s.weight(org)
	if s.recent[org] == nil {
		s.recent[org] = &decayingCount{}
	}
	s.recent[org].add(now, 1)
	s.recentTotal.add(now, 1)
}

// entitledShare returns the share of all loads or slots that corresponds to an organisation's
// weight.
func (s *loadShares) entitledShare(org string) float64 {
	return s.weight(org) / float64(max(len(s.weights), 1))
}

// excess returns an organisation's share of the recent loads divided by its entitled share,
// raised to excessExponent and limited to minExcess and maxExcess.
func (s *loadShares) excess(now time.Time, org string) float64 {
	total := s.recentTotal.valueAt(now)
	recent, ok := s.recent[org]
	if !ok || total == 0 {
		return minExcess
	}
	over := recent.valueAt(now) / total / s.entitledShare(org)
	return min(max(math.Pow(over, excessExponent), minExcess), maxExcess)
}

// orgSlots counts the slots held by an organisation's adapters.
type orgSlots struct {
	held int
	// total counts the slots of all organisations.
	total *int
}

func (o *orgSlots) add(n int) {
	o.held += n
	*o.total += n
}

// organisationSlots returns the organisation that owns an adapter, and its slot count.
func (p *Policy) organisationSlots(adapter string) (string, *orgSlots) {
	org := ""
	if a, ok := p.config.Adapter(adapter); ok {
		org = a.Organisation
	}
	o, ok := p.slotsByOrg[org]
	if !ok {
		o = &orgSlots{total: &p.totalSlots}
		p.slotsByOrg[org] = o
	}
	return org, o
}

// slotWeight returns the weight of the demand for a group's slot: 1, or less if the
// organisation holds more than its share of the slots.
func (p *Policy) slotWeight(g *requestGroup) float64 {
	share := float64(g.ownerSlots.held) / float64(max(p.totalSlots, 1))
	over := share / (p.shares.entitledShare(g.organisation) * slotShareSlack)
	if over <= 1 {
		return 1
	}
	return math.Pow(over, -slotWeightExponent)
}

// slotWeightExponent is how steeply the weight of a slot falls; slotShareSlack is the multiple
// of its share up to which an organisation's slots keep their full weight.
const (
	slotWeightExponent = 2.0
	slotShareSlack     = 1.25
)

// queueWeight returns an organisation's weight in the request queues.
func (p *Policy) queueWeight(org string) float64 { return p.shares.weight(org) }

// budgetRetryDelay returns a random delay before refused budget is requested again. The delay
// is shorter the longer the group has waited, unless its organisation has had more than its
// share.
func (p *Policy) budgetRetryDelay(now time.Time, d loadDemand) time.Duration {
	excess := p.shares.excess(now, d.organisation)
	if excess <= 1 {
		excess /= 1 + now.Sub(d.since).Seconds()
	}
	span := float64(maxBudgetRetry-minBudgetRetry) * excess
	return minBudgetRetry + time.Duration(p.random.Float64()*span)
}
