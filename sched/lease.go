package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// Durations and limits of leases.
const (
	// leaseTTL is how long a lease is valid, counted from when its claim was sent.
	leaseTTL = 10 * time.Second
	// leaseRenewInterval is how often a held lease is renewed. leaseRetryInterval is the delay
	// before a claim that was not granted is repeated.
	leaseRenewInterval = 3 * time.Second
	leaseRetryInterval = 2 * time.Second
	// leaseClockMargin is subtracted from a lease's validity to allow for clocks that run at
	// different speeds.
	leaseClockMargin = 500 * time.Millisecond
	// evictionTimeout is the longest time that an eviction order may take.
	evictionTimeout = time.Second
	// noticeInterval is how often a new holder announces itself to hosts that have not
	// acknowledged it.
	noticeInterval = 200 * time.Millisecond
	// departedGrantBound is the time after which a host that has left the host list gives no
	// more grants: a host that is cut off stops serving before that.
	departedGrantBound = time.Minute
	// maxListAge is the greatest age of the host list with which a holder whose lease has
	// expired may still evict.
	maxListAge = 3 * time.Second
	// departedEvictionBound is the time after which a host that has left the host list can no
	// longer find itself in it and evict: the list's lag, maxListAge and evictionTimeout.
	departedEvictionBound = 15 * time.Second
	// expiredLeaseMaxPause is the longest gap between events after which a holder may still
	// act on an expired lease.
	expiredLeaseMaxPause = 20 * time.Second
	// pauseThreshold is the longest gap between events that does not count as a pause.
	pauseThreshold = 300 * time.Millisecond
)

// leaseGroupsPerZone is the number of leases in one zone. The upstreams of a lease group share
// one lease, so that the load on the table service does not grow with the number of upstreams.
const leaseGroupsPerZone = 8

// leaseResource returns the name of the lease of an upstream's lease group.
func leaseResource(u *record.Upstream) string {
	return fmt.Sprintf("upstreams/%s/%d", u.Zone, xxhash.Sum64String(u.Name)%leaseGroupsPerZone)
}

// leaseState is this host's knowledge of one lease. The holder of a lease is the owner of the
// upstreams of its group.
type leaseState struct {
	resource string
	// views are the upstreams of the lease group, sorted by name.
	views []*upstreamView
	// fence is this host's fencing number, 0 if it is not the holder. A holder keeps it after
	// its lease has expired, until it learns of another holder.
	fence int64
	// expiresAt is when this host's lease expires by its own clock.
	expiresAt time.Time
	// heldSince is when this host became the holder.
	heldSince time.Time
	// highestFence is the highest fencing number known for the lease.
	highestFence int64
	// owner is the last known holder, "" if it is not known.
	owner string
	// candidate is the host that claims the lease when it has no holder.
	candidate   string
	nextClaimAt time.Time
	// acknowledged are the hosts that have acknowledged this holder. They give no grant under
	// a lower fencing number.
	acknowledged map[string]bool
	lastAckAt    time.Time
	nextNoticeAt time.Time
	// earlierOrdersEnded means that no order of an earlier holder can take effect any more.
	earlierOrdersEnded bool
}

func (l *leaseState) ownedLocally() bool { return l.fence > 0 }

// valid reports whether this host holds the lease and no other host can hold it before t.
func (l *leaseState) valid(t time.Time) bool {
	return l.ownedLocally() && t.Before(l.expiresAt)
}

func (p *Policy) leaseOf(u *record.Upstream) *leaseState {
	name := leaseResource(u)
	l, ok := p.leases[name]
	if !ok {
		l = &leaseState{resource: name}
		p.leases[name] = l
		p.sortedLeases = append(p.sortedLeases, l)
		slices.SortFunc(p.sortedLeases, func(a, b *leaseState) int { return strings.Compare(a.resource, b.resource) })
	}
	return l
}

// Members implements Scheduler.
func (p *Policy) Members(now time.Time, hosts []string) []Decision {
	p.beginEvent(now)
	p.recordListed(now, slices.Contains(hosts, p.host))
	if slices.Equal(hosts, p.members) {
		return nil
	}
	for _, h := range p.members {
		if !slices.Contains(hosts, h) {
			p.departed[h] = now
		}
	}
	for _, h := range hosts {
		delete(p.departed, h)
	}
	p.members = slices.Clone(hosts)
	p.chooseCandidates()
	return p.endEvent(now)
}

// recordListed records whether this host finds itself in the host list. After a gap, other
// hosts may have treated it as departed and replaced it as a holder.
func (p *Policy) recordListed(now time.Time, listed bool) {
	if !listed {
		return
	}
	gap := now.Sub(p.listedAt)
	if gap > maxListAge {
		p.listedSince = now
	}
	if gap > expiredLeaseMaxPause && !p.listedAt.IsZero() {
		p.loseExpired(now)
	}
	p.listedAt = now
}

// loseExpired gives up the leases that have expired.
func (p *Policy) loseExpired(now time.Time) {
	for _, l := range p.sortedLeases {
		if l.ownedLocally() && !l.valid(now) {
			l.lose()
		}
	}
}

// chooseCandidates sets each lease's candidate to the host that ranks first by rendezvous
// hashing. Hosts with different host lists may both claim a lease: the table service grants it
// to one of them.
func (p *Policy) chooseCandidates() {
	for _, l := range p.sortedLeases {
		l.candidate = p.host
		if len(p.members) > 0 {
			l.candidate = slices.MaxFunc(p.members, func(a, b string) int {
				return cmp.Compare(rank(l.resource, a), rank(l.resource, b))
			})
		}
	}
}

func rank(resource, host string) uint64 {
	return xxhash.Sum64String(resource + "|" + host)
}

// maintainLeases renews the leases that this host holds and claims those for which it is the
// candidate.
func (p *Policy) maintainLeases(now time.Time) {
	for _, l := range p.sortedLeases {
		if !now.Before(l.nextClaimAt) && (l.ownedLocally() || l.candidate == p.host) {
			l.nextClaimAt = now.Add(leaseRetryInterval)
			p.emit(ClaimLease{Resource: l.resource, TTL: leaseTTL, Fence: l.fence})
		}
		if l.ownedLocally() {
			p.sendOwnerNotices(now, l)
		}
	}
	p.raiseFences(now)
}

// LeaseUpdated implements Scheduler.
func (p *Policy) LeaseUpdated(now time.Time, r LeaseResult) []Decision {
	p.beginEvent(now)
	l, ok := p.leases[r.Resource]
	switch {
	case !ok:
	case r.Granted:
		p.onGranted(now, l, r)
	case r.Holder != "" && r.Holder != p.host:
		// If the table service does not answer, the result names no holder and changes
		// nothing.
		l.lose()
		l.owner = r.Holder
	}
	return p.endEvent(now)
}

func (p *Policy) onGranted(now time.Time, l *leaseState, r LeaseResult) {
	if r.Fence < l.highestFence {
		return // a late result of an earlier claim
	}
	if r.Fence != l.fence {
		l.fence, l.heldSince = r.Fence, now
		l.acknowledged = map[string]bool{p.host: true}
		l.lastAckAt = now
		l.nextNoticeAt = now
		l.earlierOrdersEnded = false
	}
	l.highestFence, l.owner = r.Fence, p.host
	l.expiresAt = later(l.expiresAt, r.SentAt.Add(r.TTL-leaseClockMargin))
	l.nextClaimAt = r.SentAt.Add(leaseRenewInterval)
	p.sendOwnerNotices(now, l)
	p.raiseFences(now)
	for _, g := range p.sortedPendingGroups() {
		p.serveGroup(now, g)
	}
}

// sendOwnerNotices announces this holder to the hosts that have not acknowledged it.
func (p *Policy) sendOwnerNotices(now time.Time, l *leaseState) {
	if now.Before(l.nextNoticeAt) {
		return
	}
	l.nextNoticeAt = now.Add(noticeInterval)
	for _, h := range p.members {
		if !l.acknowledged[h] {
			p.send(h, &wire.OwnerNotice{Resource: l.resource, Fence: l.fence})
		}
	}
}

func (p *Policy) onOwnerNotice(now time.Time, from string, m *wire.OwnerNotice) {
	l, ok := p.leases[m.Resource]
	if !ok || m.Fence < l.highestFence {
		return
	}
	if m.Fence > l.fence {
		l.lose()
	}
	l.highestFence, l.owner = m.Fence, from
	if p.hasOpenEviction(l) {
		return // acknowledged on a later notice, once the eviction has ended
	}
	p.send(from, &wire.OwnerAck{Resource: m.Resource, Fence: m.Fence})
	for _, g := range p.sortedPendingGroups() {
		p.serveGroup(now, g)
	}
}

func (p *Policy) onOwnerAck(now time.Time, from string, m *wire.OwnerAck) {
	l, ok := p.leases[m.Resource]
	if !ok || m.Fence != l.fence || l.acknowledged[from] {
		return
	}
	l.acknowledged[from] = true
	l.lastAckAt = now
}

// earlierHoldersStopped reports whether every earlier holder has stopped acting. This holds if
// this process has run for at least bound, each listed host has acknowledged this holder, and
// each departed host either has acknowledged it or left the host list at least bound ago. With
// fencing number 1 there is no earlier holder.
func (p *Policy) earlierHoldersStopped(now time.Time, l *leaseState, bound time.Duration) bool {
	if l.fence == 1 {
		return true
	}
	if now.Sub(p.startedAt) < bound {
		return false
	}
	for _, h := range p.members {
		if !l.acknowledged[h] {
			return false
		}
	}
	for h, at := range p.departed {
		if !l.acknowledged[h] && now.Sub(at) < bound {
			return false
		}
	}
	return true
}

// earlierGrantsExpired reports whether every grant of an earlier holder has expired.
func (p *Policy) earlierGrantsExpired(now time.Time, l *leaseState) bool {
	if l.fence == 1 {
		return true
	}
	return now.After(l.lastAckAt.Add(grantTTL+grantClockMargin+maxTransitTime)) &&
		p.earlierHoldersStopped(now, l, departedGrantBound)
}

// mayGrant reports whether this host decides which hosts use an engine: it holds the lease,
// and no order of an earlier holder can take effect.
func (p *Policy) mayGrant(now time.Time, v *upstreamView) bool {
	l := v.lease
	switch {
	case !l.ownedLocally():
		return false
	case l.fence == 1:
		return true
	case v.record.ChecksFence:
		return v.raisedFence == l.fence
	}
	l.earlierOrdersEnded = l.earlierOrdersEnded || p.earlierHoldersStopped(now, l, departedEvictionBound)
	return l.earlierOrdersEnded
}

// mayEvict reports whether this host may order an engine to unload an adapter now. An engine
// that checks fencing numbers refuses orders of a replaced holder. Other engines may be given
// an order while the lease is valid, or as long as this host has been in the host list without
// a gap: a new holder grants nothing until each listed host has acknowledged it.
func (p *Policy) mayEvict(now time.Time, v *upstreamView) bool {
	l := v.lease
	if !p.mayGrant(now, v) || !v.usable(now) || !p.earlierGrantsExpired(now, l) {
		return false
	}
	return v.record.ChecksFence || l.valid(now.Add(evictionTimeout)) || p.listedSinceExpiry(now, l)
}

// listedSinceExpiry reports whether this host has continuously found itself in the host list
// since its lease was last valid.
func (p *Policy) listedSinceExpiry(now time.Time, l *leaseState) bool {
	return now.Sub(p.listedAt) <= maxListAge && !p.listedSince.After(l.expiresAt)
}

// beginEvent starts the handling of an event. After a long pause an expired lease is given up,
// because it may have a new holder that has already waited long enough to evict.
func (p *Policy) beginEvent(now time.Time) {
	gap := now.Sub(p.lastEventAt)
	if p.lastEventAt.IsZero() {
		gap = 0
	}
	if gap > pauseThreshold {
		p.resumedAt = now
	}
	if gap > expiredLeaseMaxPause {
		p.loseExpired(now)
	}
	p.lastEventAt = now
}

// lose records that this host no longer holds the lease.
func (l *leaseState) lose() {
	l.fence = 0
	l.expiresAt = time.Time{}
}

// hasOpenEviction reports whether an eviction order of this host under the lease is open.
func (p *Policy) hasOpenEviction(l *leaseState) bool {
	for _, o := range p.orders {
		if o.op == Unload && o.view.lease == l {
			return true
		}
	}
	return false
}

// raiseFences sends this host's fencing number to the engines that check it, so that no order
// of an earlier holder can affect an adapter for which this host gives grants.
func (p *Policy) raiseFences(now time.Time) {
	for _, l := range p.sortedLeases {
		if l.fence <= 1 {
			continue
		}
		for _, v := range l.views {
			if v.record.ChecksFence && v.raisedFence != l.fence && v.raiseOrder == 0 && v.usable(now) {
				v.raiseOrder = p.issueOrder(now, v, SetRole, nil, "raise_fence")
			}
		}
	}
}
