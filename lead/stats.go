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
	// LeadAge is how long ago the lead was last heard of, 0 where there is none
	// or this host leads.
	LeadAge time.Duration
	// Limited counts the organisations whose rate is used up, as far as this host
	// knows.
	Limited int
	// OldestReport is the greatest age of what an engine has told the lead, 0 on
	// other hosts.
	OldestReport time.Duration
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
	s := Stats{Waiting: b.local.Waiting(), Limited: len(b.exhausted)}
	s.Suspected, s.Quarantined = b.ledger.Count(now)
	switch {
	case b.leading != nil:
		leading := b.leading.Stats(now)
		s.Leading, s.Waiting, s.OldestReport = 1, s.Waiting+leading.Waiting, leading.OldestReport
		s.Fence, s.Limited = b.leader.fence, b.exhaustedCount(now)
	case b.leader.host != "":
		s.Fence, s.LeadAge = b.leader.fence, now.Sub(b.leader.heardAt)
	}
	return s
}
