package assign

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// OrganisationShare is what an organisation gets of a ranked service.
type OrganisationShare struct {
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	// Waiting is the number of waiting requests, WaitingWork their expected work in seconds.
	Waiting     int     `json:"waiting"`
	WaitingWork float64 `json:"waiting_work_s"`
	// WorkShare is the organisation's share of the work that was begun recently, WeightShare its share of the weights of
	// all organisations listed for the service.
	WorkShare   float64 `json:"work_share"`
	WeightShare float64 `json:"weight_share"`
}

// OrganisationShares returns what each organisation that has sent requests recently gets of each ranked service.
func (a *Assigner) OrganisationShares(now time.Time) []OrganisationShare {
	var all []OrganisationShare
	for _, s := range a.services {
		if s.line != nil {
			all = append(all, s.line.organisationShares(now)...)
		}
	}
	slices.SortFunc(all, func(x, y OrganisationShare) int {
		return cmp.Or(strings.Compare(x.Service, y.Service), strings.Compare(x.Organisation, y.Organisation))
	})
	return all
}

func (l *line) organisationShares(now time.Time) []OrganisationShare {
	byName := map[string]*OrganisationShare{}
	work, weight := 0.0, 0.0
	for _, r := range l.ranks {
		for _, acct := range r.list {
			share, ok := byName[acct.organisation]
			if !ok {
				share = &OrganisationShare{Service: l.service.name, Organisation: acct.organisation, WeightShare: l.weights.of(acct.organisation)}
				byName[acct.organisation] = share
				weight += share.WeightShare
			}
			done := acct.done.rate(now)
			share.Waiting += acct.count
			share.WaitingWork += acct.work.Seconds()
			share.WorkShare += done
			work += done
		}
	}
	shares := make([]OrganisationShare, 0, len(byName))
	for _, share := range byName {
		share.WeightShare /= weight
		if work > 0 {
			share.WorkShare /= work
		}
		shares = append(shares, *share)
	}
	return shares
}
