package spread

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/wire"
)

// freshness is what a host knows of how new its configuration is.
//
// A confirmation says that the revision in force was the newest at some time.
// It comes from a read of the table service, here or on another host. Where
// none comes, either the service is down, so that nothing can be accepted and
// the last state stays true; or this host is cut off, and something may have
// been accepted. The service is taken to be down where, in every zone that the
// roster had at the last confirmation or has had since, some host has tried to
// read it lately and failed. A host that cannot hear of each zone must take
// itself to be cut off, unless it reads the platform's host list and finds no
// host of that zone there.
//
// Times are this host's own. What others tell is reckoned from when this host
// asked, so that a late answer makes the state look older, never newer.
type freshness struct {
	self        Host
	confirmedAt time.Time
	// failedAt is when this host's last read that failed was sent.
	lastFailedReadAt time.Time
	// zones are those of the roster at the last confirmation.
	zones []requiredZone
	// reports are the failed reads of other hosts, by zone.
	failedReads map[uint32]failedRead
	// listedAt is when the platform's host list was last asked for with success,
	// listed the zones that it named.
	hostListSentAt time.Time
	hostListZones  map[uint32]bool
}

// requiredZone is a zone that must be heard from.
type requiredZone struct {
	hash uint32
	// others says that the zone has hosts besides this one.
	hasOtherHosts bool
	// seenAt is when a confirmation last found the zone on the roster.
	lastConfirmedAt time.Time
}

// removedZoneRetention is how long a zone must be heard from after it has left the roster:
// it may have been cut off together with the table service.
const removedZoneRetention = time.Minute

// failedRead is a failed read.
type failedRead struct {
	origin     uint32
	readSentAt time.Time
	// revision is what the host that tried has in force.
	revision uint32
}

func newFreshness(self Host) freshness {
	return freshness{self: self, failedReads: map[uint32]failedRead{}}
}

// shortHash names a zone or host in reports.
func shortHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

func (f *freshness) recordFailedRead(sentAt time.Time) {
	if sentAt.After(f.lastFailedReadAt) {
		f.lastFailedReadAt = sentAt
	}
}

// confirmed takes that the revision in force was the newest at the given time.
func (m *Machine) recordConfirmation(now, at time.Time) {
	if !at.After(m.freshness.confirmedAt) {
		return
	}
	m.freshness.confirmedAt = at
	if now.Sub(at) < unconfirmedAfter {
		m.freshness.renewZones(now, requiredZones(m.self, m.members))
	}
}

// renewZones takes the zones of the present roster, and keeps for a while those
// that have left it.
func (f *freshness) renewZones(now time.Time, present []requiredZone) {
	for i := range present {
		present[i].lastConfirmedAt = now
	}
	old := f.zones
	f.zones = present
	for _, z := range old {
		if !z.lastConfirmedAt.IsZero() && now.Sub(z.lastConfirmedAt) < removedZoneRetention && !f.requiresZone(z.hash) {
			f.zones = append(f.zones, z)
		}
	}
}

func (f *freshness) requiresZone(hash uint32) bool {
	return slices.ContainsFunc(f.zones, func(z requiredZone) bool { return z.hash == hash })
}

// moreZones adds zones that the roster now has. Zones that it has no more stay
// until the next recent confirmation.
func (f *freshness) addZones(zones []requiredZone) {
	for _, z := range zones {
		i := slices.IndexFunc(f.zones, func(have requiredZone) bool { return have.hash == z.hash })
		if i < 0 {
			f.zones = append(f.zones, z)
			continue
		}
		f.zones[i].hasOtherHosts = f.zones[i].hasOtherHosts || z.hasOtherHosts
	}
}

// adoptZones adds zones that another host needs to hear from.
func (f *freshness) addZoneHashes(hashes []uint32) {
	for _, hash := range hashes[:min(len(hashes), maxFailedReads)] {
		f.addZones([]requiredZone{{hash: hash, hasOtherHosts: hash != shortHash(f.self.Zone)}})
	}
}

// Listed takes the zones of the platform's host list, which was asked for at
// the given time.
func (m *Machine) Listed(sentAt time.Time, zones []string) {
	f := &m.freshness
	f.hostListSentAt = sentAt
	f.hostListZones = make(map[uint32]bool, len(zones))
	for _, z := range zones {
		f.hostListZones[shortHash(z)] = true
	}
}

func requiredZones(self Host, hosts []Host) []requiredZone {
	var zones []requiredZone
	for _, h := range hosts {
		hash := shortHash(h.Zone)
		i := slices.IndexFunc(zones, func(z requiredZone) bool { return z.hash == hash })
		if i < 0 {
			i = len(zones)
			zones = append(zones, requiredZone{hash: hash})
		}
		if h.Name != self.Name {
			zones[i].hasOtherHosts = true
		}
	}
	return zones
}

// FreshUntil returns until when the configuration may be taken to be in force.
func (m *Machine) FreshUntil() time.Time {
	f := &m.freshness
	until := f.confirmedAt.Add(ConfirmedFor)
	if down := f.storeDownUntil(shortRevision(m.config.Revision)); down.After(until) {
		return down
	}
	return until
}

// ConfirmedAt returns when the revision in force was last known to be the newest.
func (m *Machine) ConfirmedAt() time.Time { return m.freshness.confirmedAt }

// storeDownUntil returns until when the table service is taken to be down, for
// a host that has a revision in force. Where another host has a newer one, this
// one has missed a change.
func (f *freshness) storeDownUntil(revision uint32) time.Time {
	if f.confirmedAt.IsZero() {
		// A host that was never confirmed may still be catching up, and may not
		// know the zones yet.
		return time.Time{}
	}
	var oldest time.Time
	for i, z := range f.zones {
		at := f.lastFailedReadAt // counts where this host is the zone's only one
		if z.hasOtherHosts {
			r := f.failedReads[z.hash]
			if r.revision > revision {
				return time.Time{}
			}
			at = r.readSentAt
		}
		own := z.hash == shortHash(f.self.Zone)
		if !own && !f.hostListZones[z.hash] && f.hostListSentAt.After(at) {
			at = f.hostListSentAt
		}
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	if !oldest.After(f.confirmedAt) {
		return time.Time{}
	}
	return oldest.Add(failedReadLifetime)
}

// Stamp puts what this host knows into the answer to a heartbeat of another.
func (m *Machine) Stamp(now time.Time, to string, a *wire.Ack) {
	f := &m.freshness
	a.Revision = m.config.Revision
	if f.confirmedAt.IsZero() {
		return
	}
	a.Confirmed = true
	a.ConfirmedAgeMillis = millisRoundedUp(now.Sub(f.confirmedAt))
	if now.Sub(f.confirmedAt) < unconfirmedAfter {
		return
	}
	for _, z := range f.zones {
		a.RequiredZones = append(a.RequiredZones, z.hash)
	}
	if f.lastFailedReadAt.After(f.confirmedAt) {
		a.FailedReads = append(a.FailedReads, shortHash(f.self.Zone), shortHash(f.self.Name), millisRoundedUp(now.Sub(f.lastFailedReadAt)), shortRevision(m.config.Revision))
	}
	for _, zone := range f.failedReadZones() {
		r := f.failedReads[zone]
		if r.origin == shortHash(to) || now.Sub(r.readSentAt) > failedReadLifetime {
			continue
		}
		a.FailedReads = append(a.FailedReads, zone, r.origin, millisRoundedUp(now.Sub(r.readSentAt)), r.revision)
	}
}

func (f *freshness) failedReadZones() []uint32 {
	hashes := make([]uint32, 0, len(f.failedReads))
	for hash := range f.failedReads {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	return hashes
}

// millisRoundedUp rounds up, so that nothing looks newer than it is.
func millisRoundedUp(d time.Duration) uint32 {
	n := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(int64(n), math.MaxUint32))
}

// failedReadFields is the count of numbers of one report in an Ack, maxFailedReads
// bounds how many are read.
const (
	failedReadFields = 4
	maxFailedReads   = 256
)

// Acked takes the answer to a heartbeat that was sent at the given time.
func (m *Machine) Acked(now, sentAt time.Time, a *wire.Ack) {
	if a.Confirmed && a.Revision <= m.config.Revision && m.config.Revision > 0 {
		m.recordConfirmation(now, sentAt.Add(-time.Duration(a.ConfirmedAgeMillis)*time.Millisecond))
	}
	m.freshness.addZoneHashes(a.RequiredZones)
	for i := 0; i+failedReadFields <= min(len(a.FailedReads), maxFailedReads*failedReadFields); i += failedReadFields {
		at := sentAt.Add(-time.Duration(a.FailedReads[i+2]) * time.Millisecond)
		m.freshness.addFailedRead(a.FailedReads[i], failedRead{origin: a.FailedReads[i+1], readSentAt: at, revision: a.FailedReads[i+3]})
	}
}

func (f *freshness) addFailedRead(zone uint32, next failedRead) {
	if next.origin == shortHash(f.self.Name) {
		return
	}
	if r, ok := f.failedReads[zone]; (!ok && len(f.failedReads) < maxFailedReads) || (ok && next.readSentAt.After(r.readSentAt)) {
		f.failedReads[zone] = next
	}
}

// shortRevision is a revision in a report.
func shortRevision(revision int64) uint32 {
	return uint32(min(revision, math.MaxUint32))
}
