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
	failedAt time.Time
	// zones are those of the roster at the last confirmation.
	zones []zoneNeed
	// reports are the failed reads of other hosts, by zone.
	reports map[uint32]report
	// listedAt is when the platform's host list was last asked for with success,
	// listed the zones that it named.
	listedAt time.Time
	listed   map[uint32]bool
}

// zoneNeed is a zone that must be heard from.
type zoneNeed struct {
	hash uint32
	// others says that the zone has hosts besides this one.
	others bool
	// seenAt is when a confirmation last found the zone on the roster.
	seenAt time.Time
}

// zoneKeep is how long a zone must be heard from after it has left the roster:
// it may have been cut off together with the table service.
const zoneKeep = time.Minute

// report is a failed read.
type report struct {
	origin uint32
	at     time.Time
	// revision is what the host that tried has in force.
	revision uint32
}

func newFreshness(self Host) freshness {
	return freshness{self: self, reports: map[uint32]report{}}
}

// shortHash names a zone or host in reports.
func shortHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

func (f *freshness) readFailed(sentAt time.Time) {
	if sentAt.After(f.failedAt) {
		f.failedAt = sentAt
	}
}

// confirmed takes that the revision in force was the newest at the given time.
func (m *Machine) confirmed(now, at time.Time) {
	if !at.After(m.fresh.confirmedAt) {
		return
	}
	m.fresh.confirmedAt = at
	if now.Sub(at) < searchAfter {
		m.fresh.renewZones(now, needs(m.self, m.members))
	}
}

// renewZones takes the zones of the present roster, and keeps for a while those
// that have left it.
func (f *freshness) renewZones(now time.Time, present []zoneNeed) {
	for i := range present {
		present[i].seenAt = now
	}
	old := f.zones
	f.zones = present
	for _, z := range old {
		if !z.seenAt.IsZero() && now.Sub(z.seenAt) < zoneKeep && !f.needsZone(z.hash) {
			f.zones = append(f.zones, z)
		}
	}
}

func (f *freshness) needsZone(hash uint32) bool {
	return slices.ContainsFunc(f.zones, func(z zoneNeed) bool { return z.hash == hash })
}

// moreZones adds zones that the roster now has. Zones that it has no more stay
// until the next recent confirmation.
func (f *freshness) moreZones(zones []zoneNeed) {
	for _, z := range zones {
		i := slices.IndexFunc(f.zones, func(have zoneNeed) bool { return have.hash == z.hash })
		if i < 0 {
			f.zones = append(f.zones, z)
			continue
		}
		f.zones[i].others = f.zones[i].others || z.others
	}
}

// adoptZones adds zones that another host needs to hear from.
func (f *freshness) adoptZones(hashes []uint32) {
	for _, hash := range hashes[:min(len(hashes), maxReports)] {
		f.moreZones([]zoneNeed{{hash: hash, others: hash != shortHash(f.self.Zone)}})
	}
}

// SetHostListZones takes the zones of the platform's host list, which was asked for at
// the given time.
func (m *Machine) SetHostListZones(sentAt time.Time, zones []string) {
	f := &m.fresh
	f.listedAt = sentAt
	f.listed = make(map[uint32]bool, len(zones))
	for _, z := range zones {
		f.listed[shortHash(z)] = true
	}
}

func needs(self Host, hosts []Host) []zoneNeed {
	var zones []zoneNeed
	for _, h := range hosts {
		hash := shortHash(h.Zone)
		i := slices.IndexFunc(zones, func(z zoneNeed) bool { return z.hash == hash })
		if i < 0 {
			i = len(zones)
			zones = append(zones, zoneNeed{hash: hash})
		}
		if h.Name != self.Name {
			zones[i].others = true
		}
	}
	return zones
}

// FreshUntil returns until when the configuration may be taken to be in force.
func (m *Machine) FreshUntil() time.Time {
	f := &m.fresh
	until := f.confirmedAt.Add(ConfirmationLifetime)
	if down := f.storeDownUntil(shortRevision(m.config.Revision)); down.After(until) {
		return down
	}
	return until
}

// ConfirmedAt returns when the revision in force was last known to be the newest.
func (m *Machine) ConfirmedAt() time.Time { return m.fresh.confirmedAt }

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
		at := f.failedAt // counts where this host is the zone's only one
		if z.others {
			r := f.reports[z.hash]
			if r.revision > revision {
				return time.Time{}
			}
			at = r.at
		}
		own := z.hash == shortHash(f.self.Zone)
		if !own && !f.listed[z.hash] && f.listedAt.After(at) {
			at = f.listedAt
		}
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	if !oldest.After(f.confirmedAt) {
		return time.Time{}
	}
	return oldest.Add(reportFor)
}

// FillAck puts what this host knows into the answer to a heartbeat of another.
func (m *Machine) FillAck(now time.Time, to string, a *wire.Ack) {
	f := &m.fresh
	a.Revision = m.config.Revision
	if f.confirmedAt.IsZero() {
		return
	}
	a.Confirmed = true
	a.ConfirmedAgeMillis = millis(now.Sub(f.confirmedAt))
	if now.Sub(f.confirmedAt) < searchAfter {
		return
	}
	for _, z := range f.zones {
		a.RequiredZones = append(a.RequiredZones, z.hash)
	}
	if f.failedAt.After(f.confirmedAt) {
		a.FailedReads = append(a.FailedReads, shortHash(f.self.Zone), shortHash(f.self.Name), millis(now.Sub(f.failedAt)), shortRevision(m.config.Revision))
	}
	for _, zone := range f.reportedZones() {
		r := f.reports[zone]
		if r.origin == shortHash(to) || now.Sub(r.at) > reportFor {
			continue
		}
		a.FailedReads = append(a.FailedReads, zone, r.origin, millis(now.Sub(r.at)), r.revision)
	}
}

func (f *freshness) reportedZones() []uint32 {
	zones := make([]uint32, 0, len(f.reports))
	for zone := range f.reports {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

// millis rounds up, so that nothing looks newer than it is.
func millis(d time.Duration) uint32 {
	n := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(int64(n), math.MaxUint32))
}

// reportFields is the count of numbers of one report in an Ack, maxReports
// bounds how many are read.
const (
	reportFields = 4
	maxReports   = 256
)

// HandleAck takes the answer to a heartbeat that was sent at the given time.
func (m *Machine) HandleAck(now, sentAt time.Time, a *wire.Ack) {
	if a.Confirmed && a.Revision <= m.config.Revision && m.config.Revision > 0 {
		m.confirmed(now, sentAt.Add(-time.Duration(a.ConfirmedAgeMillis)*time.Millisecond))
	}
	m.fresh.adoptZones(a.RequiredZones)
	for i := 0; i+reportFields <= min(len(a.FailedReads), maxReports*reportFields); i += reportFields {
		at := sentAt.Add(-time.Duration(a.FailedReads[i+2]) * time.Millisecond)
		m.fresh.reported(a.FailedReads[i], report{origin: a.FailedReads[i+1], at: at, revision: a.FailedReads[i+3]})
	}
}

func (f *freshness) reported(zone uint32, next report) {
	if next.origin == shortHash(f.self.Name) {
		return
	}
	if r, ok := f.reports[zone]; (!ok && len(f.reports) < maxReports) || (ok && next.at.After(r.at)) {
		f.reports[zone] = next
	}
}

// shortRevision is a revision in a report.
func shortRevision(revision int64) uint32 {
	return uint32(min(revision, math.MaxUint32))
}
