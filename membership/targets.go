package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/wire"
)

// Heartbeats go to this many hosts of the same zone, this many of other zones, and to
// the next host on the ring, which ensures that the pairs connect all hosts.
const (
	targetsInZone     = 2
	targetsOtherZones = 2
)

// candidate is a possible target of heartbeats.
type candidate struct {
	name   string
	inZone bool
	// rank depends on the host that ranks; ringPosition is the same on all hosts.
	rank, ringPosition uint64
}

// pickTargets returns the names of the hosts to which heartbeats are sent. Each host
// ranks the others by a hash that includes its own name, so that the pairs form a
// random graph of small diameter and a host that joins or leaves changes few pairs.
func (m *Machine) pickTargets() []string {
	var candidates []candidate
	for name, e := range m.entries {
		if e == m.self || e.State == wire.HostGone {
			continue
		}
		candidates = append(candidates, candidate{
			name: name, inZone: e.Zone == m.self.Zone,
			rank: xxhash.Sum64String(m.self.Name + "\x00" + name), ringPosition: xxhash.Sum64String(name),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	var targets []string
	inZoneQuota, otherZonesQuota := targetsInZone, targetsOtherZones
	for _, c := range candidates {
		quota := &otherZonesQuota
		if c.inZone {
			quota = &inZoneQuota
		}
		if *quota > 0 {
			*quota--
			targets = append(targets, c.name)
		}
	}
	if next, ok := nextOnRing(candidates, xxhash.Sum64String(m.self.Name)); ok && !slices.Contains(targets, next) {
		targets = append(targets, next)
	}
	return targets
}

// nextOnRing returns the candidate whose ring position follows the given one, and
// whether there is any.
func nextOnRing(candidates []candidate, position uint64) (string, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	next := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.ringPosition-position, b.ringPosition-position), cmp.Compare(a.name, b.name))
	})
	return next.name, true
}
