package sched

import (
	"time"

	"github.com/jasminelock/jasminelock/record"
)

// budgetRetryLow and budgetRetryHigh bound when a host that was refused budget
// asks again. Hosts that asked at fixed times would always lose to the host
// that asks just before them.
const (
	budgetRetryLow  = 50 * time.Millisecond
	budgetRetryHigh = 400 * time.Millisecond
)

// An organisation with less than its part of the loads asks sooner, one with
// more later, by no more than this factor.
const shareFactor = 4.0

// loadShares counts the loads of each organisation, so that those with the
// fewest for their rate go first.
type loadShares struct {
	weights map[string]float64
	// served are virtual counters: loads over weight. clock is the counter of
	// the organisation that was last served, where one that was idle starts.
	served map[string]float64
	clock  float64
	// recent and all count the loads of late.
	recent map[string]*decayed
	all    decayed
}

func newLoadShares() loadShares {
	return loadShares{weights: map[string]float64{}, served: map[string]float64{}, recent: map[string]*decayed{}}
}

// configure takes the organisations' rates: an organisation's weight is its
// rate over the mean.
func (s *loadShares) configure(rates map[string]*record.Rate) {
	clear(s.weights)
	total := 0.0
	for _, r := range rates {
		total += r.TokensPerSecond
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
func (s *loadShares) of(org string) float64 { return max(s.served[org], s.clock) }

func (s *loadShares) charge(now time.Time, org string) {
	before := s.of(org)
	s.clock = max(s.clock, s.served[org])
	s.served[org] = before + 1/s.weight(org)
	if s.recent[org] == nil {
		s.recent[org] = &decayed{}
	}
	s.recent[org].add(now, 1)
	s.all.add(now, 1)
}

// excess is an organisation's part of the recent loads over the part that its
// weight gives it, within the bounds of shareFactor.
func (s *loadShares) excess(now time.Time, org string) float64 {
	all := s.all.read(now)
	recent, ok := s.recent[org]
	if !ok || all == 0 {
		return 1 / shareFactor
	}
	part := recent.read(now) / all
	entitled := s.weight(org) / float64(max(len(s.weights), 1))
	return min(max(part/entitled, 1/shareFactor), shareFactor)
}

// weightOf is an organisation's weight in the queues.
func (p *Policy) weightOf(org string) float64 { return p.loads.weight(org) }

// budgetRetry draws when to ask for refused budget again.
func (p *Policy) budgetRetry(now time.Time, org string) time.Duration {
	span := float64(budgetRetryHigh - budgetRetryLow)
	return budgetRetryLow + time.Duration(p.random.Float64()*span*p.loads.excess(now, org))
}
