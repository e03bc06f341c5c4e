// Package locate decides which hosts a caller should use.
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

// AnswerTTL is how long a caller may keep an answer. A leaving host serves new
// requests for longer than that.
const AnswerTTL = 15 * time.Second

// Bounds of an answer.
const (
	// MaxChoices is the most hosts of one answer.
	MaxChoices = 4
	// nearChoices of them may be of one zone, so that an answer outlives a zone.
	nearChoices = MaxChoices - 1
)

// A host is overloaded where it works on more than overloadFactor times the
// mean of the hosts whose load is known, and overloadSlack requests more.
const (
	overloadFactor = 2
	overloadSlack  = 16
)

// Host is a host that callers may be sent to.
type Host struct {
	Name string
	Zone string
	URL  string
	// Load is the number of requests it works on, or membership.LoadUnknown.
	Load int
}

// FromMembers returns the hosts of the roster that callers may be sent to.
// Those that are not ready, leave, or cannot be reached by some host are left
// out.
func FromMembers(members []membership.Member) []Host {
	hosts := make([]Host, 0, len(members))
	for _, m := range members {
		if m.State == wire.HostLive && !m.Suspected {
			hosts = append(hosts, Host{Name: m.Name, Zone: m.Zone, URL: m.CallerURL, Load: m.Load})
		}
	}
	return hosts
}

// FromHostList returns the hosts of the platform's list that are not leaving.
// It serves hosts without links to others.
func FromHostList(listed []store.Host) []Host {
	hosts := make([]Host, 0, len(listed))
	for _, h := range listed {
		if !h.Leaving {
			hosts = append(hosts, Host{Name: h.Name, Zone: h.Zone, URL: h.CallerURL, Load: membership.LoadUnknown})
		}
	}
	return hosts
}

// Query is a caller's question.
type Query struct {
	// Model is the adapter that the caller will ask for, "" where it is not known.
	Model string
	// Organisation is the caller's, "" where it is not known. It counts only
	// where Model is not known.
	Organisation string
	// Zone is the caller's zone, "" where it is not known.
	Zone string
	// RandomKey is a random number. It spreads callers who name neither a model nor
	// an organisation.
	RandomKey uint64
}

// affinity is what callers have in common who should meet on few hosts.
func (q Query) affinity() uint64 {
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

// ranked is a host with what orders it.
type ranked struct {
	Host
	overloaded bool
	far        bool
	weight     uint64
}

// Decide returns the hosts to use, best first, at most MaxChoices. The same
// model gives the same order on every host with the same roster, and the hosts
// of one zone share the models evenly, so that the callers of a host that goes
// spread over the others.
func Decide(hosts []Host, q Query) []Choice {
	limit := overload(hosts)
	affinity := q.affinity()
	all := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, ranked{
			Host: h, overloaded: h.Load > limit, far: q.Zone != "" && q.Zone != h.Zone,
			weight: weight(affinity, h.Name),
		})
	}
	slices.SortFunc(all, compare)
	return choose(all)
}

// overload returns the load above which a host is overloaded.
func overload(hosts []Host) int {
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

// compare puts hosts that are not overloaded first, then those of the caller's
// zone, then the heavier.
func compare(a, b ranked) int {
	return cmp.Or(
		compareBool(a.overloaded, b.overloaded),
		compareBool(a.far, b.far),
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

// choose takes the first hosts, and one of another zone where the first are all
// of one.
func choose(all []ranked) []Choice {
	choices := make([]Choice, 0, MaxChoices)
	for _, h := range all[:min(len(all), nearChoices)] {
		choices = append(choices, Choice{Host: h.Name, URL: h.URL, Zone: h.Zone})
	}
	if len(all) <= nearChoices {
		return choices
	}
	rest := all[nearChoices:]
	last := rest[0]
	oneZone := !slices.ContainsFunc(choices, func(c Choice) bool { return c.Zone != choices[0].Zone })
	if i := slices.IndexFunc(rest, func(h ranked) bool { return h.Zone != choices[0].Zone }); oneZone && i >= 0 {
		last = rest[i]
	}
	return append(choices, Choice{Host: last.Name, URL: last.URL, Zone: last.Zone})
}

// weight is the rendezvous hash of a host for an affinity.
func weight(affinity uint64, host string) uint64 {
	h := affinity ^ xxhash.Sum64String(host)
	// The finishing steps of a mixing hash: xor alone would keep the order of
	// two hosts for most affinities.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
