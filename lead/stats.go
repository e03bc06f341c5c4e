package lead

import "time"

// Stats is a summary of what a broker holds.
type Stats struct {
	// Waiting counts the requests that wait for this host's decision.
	Waiting int
	// Leading is 1 where this host leads.
	Leading int
	// Fence is the fencing token of the lead that is followed, 0 for none.
	Fence int64
	// LeaderAge is how long ago the lead was last heard of, 0 where there is none
	// or this host leads.
	LeaderAge time.Duration
	// ExhaustedOrganisations counts the organisations whose rate is used up, as far as this host
	// knows.
	ExhaustedOrganisations int
	// OldestReportAge is the greatest age of what an engine has told the lead, 0 on
	// other hosts.
	OldestReportAge time.Duration
	// Suspected counts the requests whose attempts have broken off, Quarantined those of
	// them that are refused since they crash upstreams.
	Suspected   int
	Quarantined int
}

// Stats returns a summary.
func (b *Broker) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	s := Stats{Waiting: b.local.Waiting(), ExhaustedOrganisations: len(b.exhausted)}
	s.Suspected, s.Quarantined = b.ledger.Count(now)
	switch {
	case b.leading != nil:
		leading := b.leading.Stats(now)
		s.Leading, s.Waiting, s.OldestReportAge = 1, s.Waiting+leading.Waiting, leading.OldestReport
		s.Fence, s.ExhaustedOrganisations = b.lead.fence, b.exhaustedCount(now)
	case b.lead.host != "":
		s.Fence, s.LeaderAge = b.lead.fence, now.Sub(b.lead.heardAt)
	}
	return s
}
