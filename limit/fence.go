package limit

import (
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// fence says whether this host may act as a lead in its view, and whether the
// hosts that led before still may.
//
// A lead acts only while it has evidence, not older than fenceTTL, that its
// view is the latest: the table service's head row, or the answers of a
// majority of the view's members. The age counts from when the question was
// sent, on this host's clock. Once a majority of the previous view's members
// have joined the next, no further evidence for the previous one can be had,
// and fenceTTL later nobody acts in it. Should a majority be lost for good, the
// answers of members stop counting peerTTL after the last evidence of the table
// service, which the next view's first row ends.
type fence struct {
	validUntil time.Time
	// storeAt is when the last evidence of the table service was asked for.
	storeAt time.Time

	round     uint64
	sentAt    time.Time
	confirmed map[wire.LimitMember]bool

	// joined are the members of the previous view that have joined this one.
	joined map[wire.LimitMember]bool
	// votes are their hosts. A host that has restarted joins with another
	// incarnation: the run before it has ended and answers no more questions.
	votes      map[string]bool
	majorityAt time.Time // zero until a majority has joined
	adoptedAt  time.Time
}

// reset begins a newer view. Evidence for the view before stays: it shows that
// no view later than this one was there when it was asked for.
func (f *fence) reset(now time.Time) {
	f.joined = map[wire.LimitMember]bool{}
	f.votes = map[string]bool{}
	f.majorityAt = time.Time{}
	f.adoptedAt = now
	f.confirmed = nil
}

// startRound begins a round of questions to members.
func (f *fence) startRound(now time.Time) uint64 {
	f.round++
	f.sentAt = now
	f.confirmed = map[wire.LimitMember]bool{}
	return f.round
}

// provenByStore takes evidence of the table service, asked for at sentAt.
func (f *fence) provenByStore(sentAt time.Time) {
	f.storeAt = later(f.storeAt, sentAt)
	f.proven(sentAt)
}

func (f *fence) proven(sentAt time.Time) {
	f.validUntil = later(f.validUntil, sentAt.Add(fenceTTL))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *fence) valid(now time.Time) bool { return now.Before(f.validUntil) }

// confirm takes a member's answer that it is in this view.
func (f *fence) confirm(v *view, m wire.LimitMember) {
	if f.confirmed == nil || !v.members.has(m) {
		return
	}
	f.confirmed[m] = true
	if len(f.confirmed) >= v.members.majority() && f.sentAt.Before(f.storeAt.Add(peerTTL)) {
		f.proven(f.sentAt)
	}
}

// join notes that a host has joined this view or a later one.
func (f *fence) join(now time.Time, v *view, m wire.LimitMember) {
	if v.previous.has(m) {
		f.joined[m] = true
	}
	if v.previous.hasHost(m.Host) {
		f.votes[m.Host] = true
	}
	if f.majorityAt.IsZero() && len(f.votes) >= v.previous.majority() {
		f.majorityAt = now
	}
}

// void says that no host acts in an earlier view any more.
func (f *fence) void(now time.Time, v *view) bool {
	if len(v.previous.list) == 0 {
		return true
	}
	return !now.Before(f.voidAt())
}

// voidAt is when no host acts in an earlier view any more, if there was one.
func (f *fence) voidAt() time.Time {
	if !f.majorityAt.IsZero() {
		return f.majorityAt.Add(voidAfter)
	}
	return f.adoptedAt.Add(peerTTL + peerTTL/10 + voidAfter)
}

// settled says that the view may be replaced by a next one.
func (f *fence) settled(now time.Time, v *view) bool {
	return len(f.joined) == len(v.previous.list) || f.void(now, v)
}
