package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/wire"
)

// Without a leader, each host applies a share of every organisation's rate. Callers are not spread evenly over
// hosts, so that equal shares would refuse requests well inside the rate. A host's share therefore follows the
// organisation's usage through this host, relative to its total usage as reported by the leader. The shares of all
// hosts add up to the rate.
const (
	// minReportedUsage is the fraction of its limit that an organisation must have used for the leader to report
	// its usage. Below, this fraction is assumed.
	minReportedUsage = 0.25
	// maxReportedUsage is the maximum fraction that is reported.
	maxReportedUsage = 100.0
	// usageWeightedPart is the fraction of a rate that is shared by usage; the rest is shared evenly, for callers
	// that move to another host.
	usageWeightedPart = 0.75
)

// updateOrganisationShares sets this host's share of each organisation's limit for the time without a leader.
func (b *Broker) updateOrganisationShares(now time.Time, used []wire.LimitUsage) {
	if b.view.Config == nil {
		return
	}
	reported := map[string]float64{}
	for _, u := range used {
		reported[u.Organisation] = float64(u.Percent) / 100
	}
	even := 1 / float64(max(len(b.hosts), 1))
	shares := map[string]float64{}
	b.view.Config.Organisations(func(o *catalog.Organisation) {
		fleetUse := max(reported[o.Name], minReportedUsage)
		localUse := min(b.local.FleetUsedFraction(now, o.Name), fleetUse)
		shares[o.Name] = usageWeightedPart*localUse/fleetUse + (1-usageWeightedPart)*even
	})
	b.local.SetShares(shares)
}

// exhaustedCount returns the number of organisations that have exhausted their rate, as accounted for by the
// leader.
func (b *Broker) exhaustedCount(now time.Time) int {
	heartbeat := &wire.LeaderHeartbeat{}
	b.addUsage(now, heartbeat)
	return len(heartbeat.Exhausted)
}
