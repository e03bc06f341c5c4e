package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/throttle"
)

// Stats is a summary of a broker's state.
type Stats struct {
	// Waiting is the number of requests that wait for this host's Assigners.
	Waiting int
	// Leading is 1 if this host leads, else 0.
	Leading int
	// Fence is the fencing token of the current leader, 0 if there is none.
	Fence int64
	// LeaderAge is the time since the leader's last message, 0 if there is no leader or this host leads.
	LeaderAge time.Duration
	// ExhaustedOrganisations is the number of organisations that have exhausted their rate, as far as this host knows.
	ExhaustedOrganisations int
	// OldestReportAge is the age of the oldest engine report that the leader holds, 0 on other hosts.
	OldestReportAge time.Duration
	// Suspected is the number of requests and parts of prompts with interrupted attempts. Quarantined and
	// QuarantinedParts are the numbers of requests and of parts that this host refuses because they crash upstreams.
	Suspected        int
	Quarantined      int
	QuarantinedParts int
	// RateLimits is the number of upstreams that state a rate limit, as far as this host knows.
	// RequestsPerSecond is the sum of these limits, OwnRequestsPerSecond the part of it that this host hands out, and
	// OldestRateLimitAge the greatest time since one of them was heard of.
	RateLimits           int
	RequestsPerSecond    float64
	OwnRequestsPerSecond float64
	OldestRateLimitAge   time.Duration
	// StoreEra is the era of the store, 0 if it states none. LeaseReclaims is the number of times that this host, as the
	// leader, has claimed its lease again in a new era.
	StoreEra      int64
	LeaseReclaims int64
}

// OrganisationShares returns what organisations get of the ranked services whose requests this host assigns.
func (b *Broker) OrganisationShares() []assign.OrganisationShare {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	shares := b.local.OrganisationShares(now)
	if b.leading != nil {
		shares = append(shares, b.leading.OrganisationShares(now)...)
	}
	return shares
}

// Stats returns a summary of the broker's state.
func (b *Broker) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	s := Stats{Waiting: b.local.Waiting(), ExhaustedOrganisations: len(b.exhausted), StoreEra: b.era.number, LeaseReclaims: b.era.reclaims}
	s.Suspected = b.ledger.CountSuspects(now)
	for _, r := range b.refusals(now) {
		if _, isPart := r.Key.Part(); isPart {
			s.QuarantinedParts++
		} else {
			s.Quarantined++
		}
	}
	b.rateLimits.table.Each(func(key throttle.Incarnation, l throttle.Limit) {
		share := b.rateLimitShare(key.ID)
		if b.leading != nil {
			share = throttle.LeaderShare
		}
		s.RateLimits++
		s.RequestsPerSecond += l.PerSecond
		s.OwnRequestsPerSecond += share * l.PerSecond
		s.OldestRateLimitAge = max(s.OldestRateLimitAge, now.Sub(l.HeardAt))
	})
	switch {
	case b.leading != nil:
		leading := b.leading.Stats(now)
		s.Leading, s.Waiting, s.OldestReportAge = 1, s.Waiting+leading.Waiting, leading.OldestReport
		s.Fence, s.ExhaustedOrganisations = b.leader.fence, b.exhaustedCount(now)
	case b.leader.host != "":
		s.Fence, s.LeaderAge = b.leader.fence, now.Sub(b.leader.heardAt)
	}
	return s
}
