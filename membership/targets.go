package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/wire"
)

// Heartbeats go to this many hosts of the own zone, of other zones, and to the
// next host on the ring, which makes sure that the pairs connect all hosts.
const (
	targetsInZone     = 2
	targetsOtherZones = 2
)

// candidate is a host that heartbeats may be sent to.
type candidate struct {
	name   string
	inZone bool
	// rank is this host's own, position the same for all hosts.
	rank, ringPosition uint64
}

// pickTargets chooses the hosts to send heartbeats to. Each host ranks the
// others by its own hash, so that the pairs form a random graph of few hops,
// and a host that comes or goes changes few pairs.
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

// nextOnRing returns the host whose position follows the given one.
func nextOnRing(candidates []candidate, position uint64) (string, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	next := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.ringPosition-position, b.ringPosition-position), cmp.Compare(a.name, b.name))
	})
	return next.name, true
}
