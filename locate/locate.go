// Package locate decides which hosts a caller should use.
package locate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminelock/jasminelock/platform"
)

// KeepFor is how long a caller may keep an answer.
const KeepFor = 20 * time.Second

// Query is a caller's question.
type Query struct {
	// Model is the adapter that the caller will ask for, "" where it is not known.
	Model string
	// Zone is the caller's zone, "" where it is not known.
	Zone string
}

// Choice is one host of an answer.
type Choice struct {
	Host string `json:"host"`
	URL  string `json:"url"`
	Zone string `json:"zone"`
}

// Decide returns the hosts to use, best first. The same model gives the same
// order on every host with the same list, so that an adapter's callers meet on
// few hosts. Leaving hosts are left out.
func Decide(hosts []platform.Host, q Query) []Choice {
	live := make([]platform.Host, 0, len(hosts))
	for _, h := range hosts {
		if !h.Leaving {
			live = append(live, h)
		}
	}
	slices.SortFunc(live, func(a, b platform.Host) int {
		return cmp.Or(
			cmp.Compare(zoneRank(q, a), zoneRank(q, b)),
			cmp.Compare(weight(q, b), weight(q, a)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	choices := make([]Choice, 0, len(live))
	for _, h := range live {
		choices = append(choices, Choice{Host: h.Name, URL: h.CallerURL, Zone: h.Zone})
	}
	return choices
}

// zoneRank puts the caller's zone first.
func zoneRank(q Query, h platform.Host) int {
	if q.Zone == "" || q.Zone == h.Zone {
		return 0
	}
	return 1
}

// weight is the rendezvous hash of a host for a model.
func weight(q Query, h platform.Host) uint64 {
	return xxhash.Sum64String(q.Model + "\x00" + h.Name)
}
