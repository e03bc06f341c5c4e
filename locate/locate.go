// Package locate selects the hosts that a caller should use.
package locate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/membership"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// AnswerTTL is how long a caller may cache an answer. A leaving host accepts new
// requests for longer than that.
const AnswerTTL = 15 * time.Second

// Bounds of an answer.
const (
	// MaxChoices is the most hosts in one answer.
	MaxChoices = 4
	// maxNearChoices is the most hosts in one answer that share a zone, if a host of
	// another zone exists, so that an answer stays useful when a zone fails.
	maxNearChoices = MaxChoices - 1
)

// A host is overloaded if its load exceeds overloadFactor times the mean load of
// the hosts whose load is known, plus overloadSlack requests.
const (
	overloadFactor = 2
	overloadSlack  = 16
)

// Host is a host that callers may be sent to.
type Host struct {
	Name string
	Zone string
	URL  string
	// Load is the number of requests in progress, or membership.LoadUnknown.
	Load int
}

// FromMembers returns the hosts of the member list that callers may be sent to.
// Hosts that are not ready, are leaving, or cannot be reached by some host are
// left out.
func FromMembers(members []membership.Member) []Host {
	hosts := make([]Host, 0, len(members))
	for _, m := range members {
		if m.State == wire.HostLive && !m.Suspected {
			hosts = append(hosts, Host{Name: m.Name, Zone: m.Zone, URL: m.CallerURL, Load: m.Load})
		}
	}
	return hosts
}

// FromHostList returns the hosts of the platform's list that are not leaving. It
// is for hosts without links to other hosts.
func FromHostList(listed []store.Host) []Host {
	hosts := make([]Host, 0, len(listed))
	for _, h := range listed {
		if !h.Leaving {
			hosts = append(hosts, Host{Name: h.Name, Zone: h.Zone, URL: h.CallerURL, Load: membership.LoadUnknown})
		}
	}
	return hosts
}

// Query is a caller's query for hosts.
type Query struct {
	// Model is the adapter that the caller will request, or "" if unknown.
	Model string
	// Organisation is the caller's organisation, or "" if unknown. It is used only
	// if Model is unknown.
	Organisation string
	// Zone is the caller's zone, or "" if unknown.
	Zone string
	// RandomKey is a random number that spreads callers without a model and an
	// organisation over the hosts.
	RandomKey uint64
}

// affinityKey returns the key shared by callers that should use the same few hosts.
func (q Query) affinityKey() uint64 {
	switch {
	case q.Model != "":
		return xxhash.Sum64String("model\x00" + q.Model)
	case q.Organisation != "":
		return xxhash.Sum64String("organisation\x00" + q.Organisation)
	}
	return q.RandomKey
}

// Choice is one host of an answer.
type Choice struct {
	Host string `json:"host"`
	URL  string `json:"url"`
	Zone string `json:"zone"`
}

// rankedHost is a host with its sort keys.
type rankedHost struct {
	Host
	overloaded bool
	otherZone  bool
	weight     uint64
}

// Decide returns the hosts to use, best first, at most MaxChoices. The same model
// gives the same order on every host with the same member list. The hosts of one
// zone share the models evenly, so that the callers of a host that leaves spread
// over the others.
func Decide(hosts []Host, q Query) []Choice {
	limit := overloadLimit(hosts)
	affinity := q.affinityKey()
	candidates := make([]rankedHost, 0, len(hosts))
	for _, h := range hosts {
		candidates = append(candidates, rankedHost{
			Host: h, overloaded: h.Load > limit, otherZone: q.Zone != "" && q.Zone != h.Zone,
			weight: weight(affinity, h.Name),
		})
	}
	slices.SortFunc(candidates, compare)
	return choose(candidates)
}

// overloadLimit returns the load above which a host is overloaded.
func overloadLimit(hosts []Host) int {
	sum, known := 0, 0
	for _, h := range hosts {
		if h.Load != membership.LoadUnknown {
			sum += h.Load
			known++
		}
	}
	if known == 0 {
		return overloadSlack
	}
	return overloadFactor*sum/known + overloadSlack
}

// compare orders hosts that are not overloaded first, then hosts of the caller's
// zone, then by descending weight.
func compare(a, b rankedHost) int {
	return cmp.Or(
		compareBool(a.overloaded, b.overloaded),
		compareBool(a.otherZone, b.otherZone),
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.Name, b.Name),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// choose returns the first MaxChoices candidates. If the first maxNearChoices share
// a zone, the last choice is the first candidate of another zone, if there is one.
func choose(candidates []rankedHost) []Choice {
	choices := make([]Choice, 0, MaxChoices)
	for _, h := range candidates[:min(len(candidates), maxNearChoices)] {
		choices = append(choices, Choice{Host: h.Name, URL: h.URL, Zone: h.Zone})
	}
	if len(candidates) <= maxNearChoices {
		return choices
	}
	rest := candidates[maxNearChoices:]
	last := rest[0]
	oneZone := !slices.ContainsFunc(choices, func(c Choice) bool { return c.Zone != choices[0].Zone })
	if i := slices.IndexFunc(rest, func(h rankedHost) bool { return h.Zone != choices[0].Zone }); oneZone && i >= 0 {
		last = rest[i]
	}
	return append(choices, Choice{Host: last.Name, URL: last.URL, Zone: last.Zone})
}

// weight returns the rendezvous hash of a host for an affinity.
func weight(affinity uint64, host string) uint64 {
	h := affinity ^ xxhash.Sum64String(host)
	// The finaliser of MurmurHash3: xor alone would keep the order of two hosts
	// for most affinities.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
