package limit

import (
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// fence tracks whether this host may act as a leader in its view, and whether
// the leaders of the previous view may still act.
//
// A leader acts only while it has evidence, not older than fenceTTL, that its
// view is the latest: the table service's head row, or the answers of a
// majority of the view's members. The age is measured from the time the query
// was sent, on this host's clock. Once a majority of the previous view's members
// have joined the next view, no further evidence for the previous view can be
// obtained, and fenceTTL later no host acts in it. If a majority is lost for
// good, the members' answers stop counting peerTTL after the last evidence from
// the table service; writing the next view ends that evidence for the previous
// one.
type fence struct {
	validUntil time.Time
	// storeAt is when the query for the latest evidence from the table service
	// was sent.
	storeAt time.Time

	round     uint64
	sentAt    time.Time
	confirmed map[wire.LimitMember]bool

	// joined holds the members of the previous view that have joined this one.
	joined map[wire.LimitMember]bool
	// joinedHosts holds the hosts of the previous view that have joined this
	// one. A restarted host joins with another incarnation: its previous process
	// has ended and answers no more probes.
	joinedHosts map[string]bool
	majorityAt  time.Time // zero until a majority has joined
	adoptedAt   time.Time
}

// reset starts a newer view. Evidence for the previous view stays valid: it shows
// that no view later than this one existed when the query was sent.
func (f *fence) reset(now time.Time) {
	f.joined = map[wire.LimitMember]bool{}
	f.joinedHosts = map[string]bool{}
	f.majorityAt = time.Time{}
	f.adoptedAt = now
	f.confirmed = nil
}

// startRound starts a round of probes to members and returns its number.
func (f *fence) startRound(now time.Time) uint64 {
	f.round++
	f.sentAt = now
	f.confirmed = map[wire.LimitMember]bool{}
	return f.round
}

// confirmByStore records evidence from the table service, queried at sentAt.
func (f *fence) confirmByStore(sentAt time.Time) {
	f.storeAt = later(f.storeAt, sentAt)
	f.extend(sentAt)
}

func (f *fence) extend(sentAt time.Time) {
	f.validUntil = later(f.validUntil, sentAt.Add(fenceTTL))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *fence) valid(now time.Time) bool { return now.Before(f.validUntil) }

// confirm records a member's answer that it is in this view.
func (f *fence) confirm(v *view, m wire.LimitMember) {
	if f.confirmed == nil || !v.members.has(m) {
		return
	}
	f.confirmed[m] = true
	if len(f.confirmed) >= v.members.majority() && f.sentAt.Before(f.storeAt.Add(peerTTL)) {
		f.extend(f.sentAt)
	}
}

// recordJoin records that a host has joined this view or a later one.
func (f *fence) recordJoin(now time.Time, v *view, m wire.LimitMember) {
	if v.previous.has(m) {
		f.joined[m] = true
	}
	if v.previous.hasHost(m.Host) {
		f.joinedHosts[m.Host] = true
	}
	if f.majorityAt.IsZero() && len(f.joinedHosts) >= v.previous.majority() {
		f.majorityAt = now
	}
}

// previousExpired reports whether no host acts in an earlier view any more.
func (f *fence) previousExpired(now time.Time, v *view) bool {
	if len(v.previous.list) == 0 {
		return true
	}
	return !now.Before(f.previousExpiresAt())
}

// previousExpiresAt returns the time from which no host acts in an earlier view,
// if there was one.
func (f *fence) previousExpiresAt() time.Time {
	if !f.majorityAt.IsZero() {
		return f.majorityAt.Add(evidenceExpiry)
	}
	return f.adoptedAt.Add(peerTTL + peerTTL/10 + evidenceExpiry)
}

// replaceable reports whether the view may be replaced by the next one.
func (f *fence) replaceable(now time.Time, v *view) bool {
	return len(f.joined) == len(v.previous.list) || f.previousExpired(now, v)
}
