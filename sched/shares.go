package sched

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
)

// minBudgetRetry and maxBudgetRetry bound when a host that was refused budget
// asks again. Hosts that asked at fixed times would always lose to the host
// that asks just before them.
const (
	minBudgetRetry = 50 * time.Millisecond
	maxBudgetRetry = 400 * time.Millisecond
)

// An organisation with less than its part of the loads asks sooner, one with
// more later: by the excessExponent of its excess, within these bounds.
const (
	excessExponent = 4.0
	minExcess      = 1.0 / 8
	maxExcess      = 2.5
)

// loadShares counts the loads of each organisation, so that those with the
// fewest for their rate go first.
type loadShares struct {
	weights map[string]float64
	// served are virtual counters: loads over weight. clock is the counter of
	// the organisation that was last served, where one that was idle starts.
	counters map[string]float64
	clock    float64
	// recent and all count the loads of late.
	recent      map[string]*decayingCount
	recentTotal decayingCount
}

func newLoadShares() loadShares {
	return loadShares{weights: map[string]float64{}, counters: map[string]float64{}, recent: map[string]*decayingCount{}}
}

// configure takes the organisations' rates: an organisation's weight is its
// rate over the mean. The rates are added in the order of their names, so that
// every host comes to the same bits.
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

// of returns an organisation's counter.
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

// entitled is the part of all that an organisation's weight gives it.
func (s *loadShares) entitledShare(org string) float64 {
	return s.weight(org) / float64(max(len(s.weights), 1))
}

// excess is an organisation's part of the recent loads over the part that it is
// entitled to, raised and bounded.
func (s *loadShares) excess(now time.Time, org string) float64 {
	total := s.recentTotal.valueAt(now)
	recent, ok := s.recent[org]
	if !ok || total == 0 {
		return minExcess
	}
	over := recent.valueAt(now) / total / s.entitledShare(org)
	return min(max(math.Pow(over, excessExponent), minExcess), maxExcess)
}

// orgSlots counts the slots that an organisation's adapters hold.
type orgSlots struct {
	held int
	// all counts those of every organisation.
	total *int
}

func (o *orgSlots) add(n int) {
	o.held += n
	*o.total += n
}

// slotsOf returns the count of the organisation that owns an adapter.
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

// slotWorth is what a slot of an organisation counts: less where it holds more
// than its part.
func (p *Policy) slotWeight(g *requestGroup) float64 {
	share := float64(g.ownerSlots.held) / float64(max(p.totalSlots, 1))
	over := share / (p.shares.entitledShare(g.organisation) * slotShareSlack)
	if over <= 1 {
		return 1
	}
	return math.Pow(over, -slotWeightExponent)
}

// slotWeightExponent is how sharply a slot counts less, slotShareSlack how far above its part
// an organisation may be before it does.
const (
	slotWeightExponent = 2.0
	slotShareSlack     = 1.25
)

// weightOf is an organisation's weight in the queues.
func (p *Policy) queueWeight(org string) float64 { return p.shares.weight(org) }

// budgetRetry draws when to ask for refused budget again: sooner for what has
// waited longer, unless its organisation has had more than its part.
func (p *Policy) budgetRetryDelay(now time.Time, d loadDemand) time.Duration {
	excess := p.shares.excess(now, d.organisation)
	if excess <= 1 {
		excess /= 1 + now.Sub(d.since).Seconds()
	}
	span := float64(maxBudgetRetry-minBudgetRetry) * excess
	return minBudgetRetry + time.Duration(p.random.Float64()*span)
}
