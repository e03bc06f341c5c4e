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
	// toldPart is the part of a limit from which on the lead tells how much is used.
	// Below, it is taken to be this much.
	toldPart = 0.25
	// mostPart bounds what is told.
	mostPart = 100.0
	// followedPart is the part of a rate that is handed out by use; the rest is handed
	// out evenly, for callers that come to another host.
	followedPart = 0.75
)

// noteUsed gives this host its part of each organisation's limit for the time without
// a lead.
func (b *Broker) noteUsed(now time.Time, used []wire.LimitUsage) {
	if b.view.Config == nil {
		return
	}
	told := map[string]float64{}
	for _, u := range used {
		told[u.Organisation] = float64(u.Percent) / 100
	}
	even := 1 / float64(max(len(b.hosts), 1))
	shares := map[string]float64{}
	b.view.Config.Organisations(func(o *catalog.Organisation) {
		all := max(told[o.Name], toldPart)
		own := min(b.local.FleetUsedFraction(now, o.Name), all)
		shares[o.Name] = followedPart*own/all + (1-followedPart)*even
	})
	b.local.SetShares(shares)
}

// exhaustedCount returns how many organisations have used up their rate, as the lead
// counts it.
func (b *Broker) exhaustedCount(now time.Time) int {
	beat := &wire.LeaderHeartbeat{}
	b.tellUsed(now, beat)
	return len(beat.Exhausted)
}
