package spread

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// freshness is what a host knows about the age of its configuration.
//
// A confirmation states that the revision in force was the newest at some time.
// It comes from a read of the table service by this host or another one. Without
// confirmations there are two cases. Either the service is down: no change can be
// accepted, so the last configuration stays valid. Or this host is partitioned:
// changes may have been accepted without its knowledge. The service counts as down
// if, in every required zone, some host recently tried to read it and failed. The
// required zones are those that the member list had at the last confirmation or has
// had since. A host without a failed read from each of them must assume that it is
// partitioned, unless the platform's host list names no host of the missing zones.
//
// All times are by this host's clock. The ages that other hosts send are subtracted
// from the time when this host sent its heartbeat, so that a late answer makes the
// configuration look older, never newer.
type freshness struct {
	self        Host
	confirmedAt time.Time
	// lastFailedReadAt is when the last failed read of this host was sent.
	lastFailedReadAt time.Time
	// zones are the required zones.
	zones []requiredZone
	// failedReads holds the newest failed read of another host, by hash of the zone.
	failedReads map[uint32]failedRead
	// hostListSentAt is when the last successful request for the platform's host list
	// was sent; hostListZones has the hashes of the zones that it named.
	hostListSentAt time.Time
	hostListZones  map[uint32]bool
}

// requiredZone is a zone from which a failed read is needed before the table service
// counts as down.
type requiredZone struct {
	hash uint32
	// hasOtherHosts is true if the zone has hosts other than this one.
	hasOtherHosts bool
	// lastConfirmedAt is the time of the last confirmation at which the zone was on the
	// member list; zero if there was none.
	lastConfirmedAt time.Time
}

// removedZoneRetention is how long a zone stays required after it has left the
// member list: it may have been partitioned together with the table service.
const removedZoneRetention = time.Minute

// failedRead is a failed read of the table service by another host.
type failedRead struct {
	origin     uint32
	readSentAt time.Time
	// revision is the revision in force on the host that failed to read.
	revision uint32
}

func newFreshness(self Host) freshness {
	return freshness{self: self, failedReads: map[uint32]failedRead{}}
}

// shortHash returns the hash that identifies a zone or host in an Ack.
func shortHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

func (f *freshness) recordFailedRead(sentAt time.Time) {
	if sentAt.After(f.lastFailedReadAt) {
		f.lastFailedReadAt = sentAt
	}
}

// recordConfirmation records that the revision in force was the newest at time at.
func (m *Machine) recordConfirmation(now, at time.Time) {
	if !at.After(m.freshness.confirmedAt) {
		return
	}
	m.freshness.confirmedAt = at
	if now.Sub(at) < unconfirmedAfter {
		m.freshness.renewZones(now, requiredZones(m.self, m.members))
	}
}

// renewZones sets the required zones to those of the present member list, and
// retains zones that have left it for removedZoneRetention.
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

// addZones adds zones to the required ones. Zones that have left the member list
// stay at least until the next recent confirmation.
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

// addZoneHashes adds the required zones of another host.
func (f *freshness) addZoneHashes(hashes []uint32) {
	for _, hash := range hashes[:min(len(hashes), maxFailedReads)] {
		f.addZones([]requiredZone{{hash: hash, hasOtherHosts: hash != shortHash(f.self.Zone)}})
	}
}

// SetHostListZones sets the zones that the platform's host list names. The request for the
// list was sent at sentAt.
func (m *Machine) SetHostListZones(sentAt time.Time, zones []string) {
	f := &m.freshness
	f.hostListSentAt = sentAt
	f.hostListZones = make(map[uint32]bool, len(zones))
	for _, z := range zones {
		f.hostListZones[shortHash(z)] = true
	}
}

// requiredZones returns the zones of the given hosts.
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

// FreshUntil returns the time until which the configuration may be taken as current.
func (m *Machine) FreshUntil() time.Time {
	f := &m.freshness
	until := f.confirmedAt.Add(ConfirmationLifetime)
	if down := f.storeDownUntil(shortRevision(m.config.Revision)); down.After(until) {
		return down
	}
	return until
}

// ConfirmedAt returns the last time at which the revision in force was known to be
// the newest.
func (m *Machine) ConfirmedAt() time.Time { return m.freshness.confirmedAt }

// storeDownUntil returns the time until which the table service counts as down, for
// a host with the given revision in force. It returns the zero time if the service
// does not count as down, or if another host has a newer revision, which means that
// this host has missed a change.
func (f *freshness) storeDownUntil(revision uint32) time.Time {
	if f.confirmedAt.IsZero() {
		// Without any confirmation, this host may still be catching up, and may not know
		// all zones yet.
		return time.Time{}
	}
	var oldest time.Time
	for i, z := range f.zones {
		at := f.lastFailedReadAt // used if this host is the only one of the zone
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

// FillAck fills in the revision, confirmation, required zones and failed reads of an
// Ack, which answers the heartbeat of host to.
func (m *Machine) FillAck(now time.Time, to string, a *wire.Ack) {
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
		a.FailedReads = append(a.FailedReads, shortHash(f.self.Zone), shortHash(f.self.Name),
			millisRoundedUp(now.Sub(f.lastFailedReadAt)), shortRevision(m.config.Revision))
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

// millisRoundedUp returns d in milliseconds, rounded up, so that nothing looks newer
// than it is.
func millisRoundedUp(d time.Duration) uint32 {
	n := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(int64(n), math.MaxUint32))
}

// failedReadFields is the number of integers that encode one failed read in an Ack.
// maxFailedReads bounds the failed reads and required zones taken from one Ack, and
// the failed reads that are stored.
const (
	failedReadFields = 4
	maxFailedReads   = 256
)

// HandleAck handles the Ack for a heartbeat that was sent at sentAt.
func (m *Machine) HandleAck(now, sentAt time.Time, a *wire.Ack) {
	if a.Confirmed && a.Revision <= m.config.Revision && m.config.Revision > 0 {
		m.recordConfirmation(now, sentAt.Add(-time.Duration(a.ConfirmedAgeMillis)*time.Millisecond))
	}
	m.freshness.addZoneHashes(a.RequiredZones)
	for i := 0; i+failedReadFields <= min(len(a.FailedReads), maxFailedReads*failedReadFields); i += failedReadFields {
		at := sentAt.Add(-time.Duration(a.FailedReads[i+2]) * time.Millisecond)
		m.freshness.addFailedRead(a.FailedReads[i],
			failedRead{origin: a.FailedReads[i+1], readSentAt: at, revision: a.FailedReads[i+3]})
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

// Fields of a short revision of an era above 0.
const (
	shortEraFlag    = 1 << 31
	shortEraShift   = 21
	maxShortEra     = shortEraFlag>>shortEraShift - 1
	maxShortVersion = 1<<shortEraShift - 1
)

// shortRevision returns a revision as encoded in an Ack. The order of revisions is
// kept; those above a field's maximum are equal.
func shortRevision(revision store.Position) uint32 {
	era, version := store.EraOf(revision), store.VersionOf(revision)
	if era == 0 {
		return uint32(min(version, shortEraFlag-1))
	}
	return uint32(shortEraFlag | min(era, maxShortEra)<<shortEraShift | min(version, maxShortVersion))
}
