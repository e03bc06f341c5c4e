package lead

import (
	"time"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/wire"
)

// Without a lead each host hands out a part of every organisation's rate. Callers are
// not spread evenly over hosts, so that equal parts would refuse requests which are well
// inside the rate. A host's part follows what the organisation has used through it, of
// what the lead says that it has used in all; the parts of all hosts add up to the rate.
const (
	// minReportedUsage is the part of a limit from which on the lead tells how much is used.
	// Below, it is taken to be this much.
	minReportedUsage = 0.25
	// maxReportedUsage bounds what is told.
	maxReportedUsage = 100.0
	// usageWeightedPart is the part of a rate that is handed out by use; the rest is handed
	// out evenly, for callers that come to another host.
	usageWeightedPart = 0.75
)

// noteUsed gives this host its part of each organisation's limit for the time without
// a lead.
func (b *Broker) updateOrganisationShares(now time.Time, used []wire.UsedPart) {
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
		localUse := min(b.local.FleetPart(now, o.Name), fleetUse)
		shares[o.Name] = usageWeightedPart*localUse/fleetUse + (1-usageWeightedPart)*even
	})
	b.local.SetShares(shares)
}

// exhaustedCount returns how many organisations have used up their rate, as the lead
// counts it.
func (b *Broker) exhaustedCount(now time.Time) int {
	heartbeat := &wire.LeadBeat{}
	b.addUsage(now, heartbeat)
	return len(heartbeat.Exhausted)
}
