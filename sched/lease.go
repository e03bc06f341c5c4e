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

// Times of leases.
const (
	// leaseTTL is how long a lease is valid from when its claim was sent.
	leaseTTL = 10 * time.Second
	// leaseRenew is how often a lease is renewed, leaseRetry how often one that
	// could not be had is claimed again.
	leaseRenew = 3 * time.Second
	leaseRetry = 2 * time.Second
	// leaseMargin is taken off a lease, for clocks that run at other speeds.
	leaseMargin = 500 * time.Millisecond
	// orderBound is the longest an evicting order takes.
	orderBound = time.Second
	// noticeInterval is how often a new holder tells hosts that have not
	// acknowledged it.
	noticeInterval = 200 * time.Millisecond
	// departedBound is when a host that left the host list has stopped to give
	// grants: a host that is cut off stops to serve before.
	departedBound = time.Minute
	// listAge is how old the host list may be for a lapsed holder to evict.
	listAge = 3 * time.Second
	// unlistedBound is when a host that left the host list can no longer read
	// itself in it: the list's lag, listAge and orderBound.
	unlistedBound = 15 * time.Second
	// pauseBound is the longest gap between events after which a holder still
	// trusts a lease that has lapsed.
	pauseBound = 20 * time.Second
	// stallBound is the longest gap between events that is no pause.
	stallBound = 300 * time.Millisecond
)

// groupsPerZone is the number of leases of one zone. A group of upstreams
// shares a lease, so that the cost in the table service does not grow with the
// upstreams.
const groupsPerZone = 8

// leaseResource names the lease of an upstream's group.
func leaseResource(u *record.Upstream) string {
	return fmt.Sprintf("upstreams/%s/%d", u.Zone, xxhash.Sum64String(u.Name)%groupsPerZone)
}

// leaseState is what this host knows of one lease.
type leaseState struct {
	resource string
	// views are the upstreams of the group, by name.
	views []*upstreamView
	// fence is this host's fencing number, 0 where it is not the holder. A
	// holder whose lease has lapsed keeps it until it learns of another holder.
	fence int64
	// until is when this host's lease ends on its own clock.
	until time.Time
	// since is when this host became the holder.
	since time.Time
	// highest is the highest fencing number heard of.
	highest int64
	// owner is the holder as last heard, "" where it is not known.
	owner string
	// candidate is the host that claims the lease when nobody holds it.
	candidate string
	nextClaim time.Time
	// acknowledged are the hosts that give no grant under an older number.
	acknowledged map[string]bool
	lastAck      time.Time
	nextNotice   time.Time
	// cleared says that no earlier holder's order can take effect any more.
	cleared bool
}

func (l *leaseState) mine() bool { return l.fence > 0 }

// valid reports whether nobody else can hold the lease before t.
func (l *leaseState) valid(t time.Time) bool {
	return l.mine() && t.Before(l.until)
}

func (p *Policy) leaseOf(u *record.Upstream) *leaseState {
	name := leaseResource(u)
	l, ok := p.leases[name]
	if !ok {
		l = &leaseState{resource: name}
		p.leases[name] = l
		p.leaseOrder = append(p.leaseOrder, l)
		slices.SortFunc(p.leaseOrder, func(a, b *leaseState) int { return strings.Compare(a.resource, b.resource) })
	}
	return l
}

// Members implements Scheduler.
func (p *Policy) Members(now time.Time, hosts []string) []Decision {
	p.begin(now)
	p.seeListed(now, slices.Contains(hosts, p.host))
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
	return p.take(now)
}

// seeListed notes whether this host reads itself in the host list. After a gap
// it may have been taken for gone, and replaced.
func (p *Policy) seeListed(now time.Time, listed bool) {
	if !listed {
		return
	}
	gap := now.Sub(p.listedAt)
	if gap > listAge {
		p.listedSince = now
	}
	if gap > pauseBound && !p.listedAt.IsZero() {
		p.loseLapsed(now)
	}
	p.listedAt = now
}

// loseLapsed ends the tenures that the table service no longer backs.
func (p *Policy) loseLapsed(now time.Time) {
	for _, l := range p.leaseOrder {
		if l.mine() && !l.valid(now) {
			l.lose()
		}
	}
}

// chooseCandidates gives each lease the host that ranks first by rendezvous
// hashing. Hosts that see different lists may both claim: the table service
// grants one of them.
func (p *Policy) chooseCandidates() {
	for _, l := range p.leaseOrder {
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

// keepLeases renews what this host holds, and claims what it should hold.
func (p *Policy) keepLeases(now time.Time) {
	for _, l := range p.leaseOrder {
		if !now.Before(l.nextClaim) && (l.mine() || l.candidate == p.host) {
			l.nextClaim = now.Add(leaseRetry)
			p.decide(ClaimLease{Resource: l.resource, TTL: leaseTTL, Fence: l.fence})
		}
		if l.mine() {
			p.notify(now, l)
		}
	}
	p.raiseFences(now)
}

// LeaseUpdated implements Scheduler.
func (p *Policy) LeaseUpdated(now time.Time, r LeaseResult) []Decision {
	p.begin(now)
	l, ok := p.leases[r.Resource]
	switch {
	case !ok:
	case r.Granted:
		p.onGranted(now, l, r)
	case r.Holder != "" && r.Holder != p.host:
		// A store that does not answer names no holder: nothing is learned.
		l.lose()
		l.owner = r.Holder
	}
	return p.take(now)
}

func (p *Policy) onGranted(now time.Time, l *leaseState, r LeaseResult) {
	if r.Fence < l.highest {
		return // an answer that came late
	}
	if r.Fence != l.fence {
		l.fence, l.since = r.Fence, now
		l.acknowledged = map[string]bool{p.host: true}
		l.lastAck = now
		l.nextNotice = now
		l.cleared = false
	}
	l.highest, l.owner = r.Fence, p.host
	l.until = later(l.until, r.SentAt.Add(r.TTL-leaseMargin))
	l.nextClaim = r.SentAt.Add(leaseRenew)
	p.notify(now, l)
	p.raiseFences(now)
	for _, g := range p.sortedHungry() {
		p.serveGroup(now, g)
	}
}

// notify tells the hosts that have not acknowledged this holder.
func (p *Policy) notify(now time.Time, l *leaseState) {
	if now.Before(l.nextNotice) {
		return
	}
	l.nextNotice = now.Add(noticeInterval)
	for _, h := range p.members {
		if !l.acknowledged[h] {
			p.send(h, &wire.OwnerNotice{Resource: l.resource, Fence: l.fence})
		}
	}
}

func (p *Policy) onOwnerNotice(now time.Time, from string, m *wire.OwnerNotice) {
	l, ok := p.leases[m.Resource]
	if !ok || m.Fence < l.highest {
		return
	}
	if m.Fence > l.fence {
		l.lose()
	}
	l.highest, l.owner = m.Fence, from
	if p.evicting(l) {
		return // the notice comes again
	}
	p.send(from, &wire.OwnerAck{Resource: m.Resource, Fence: m.Fence})
	for _, g := range p.sortedHungry() {
		p.serveGroup(now, g)
	}
}

func (p *Policy) onOwnerAck(now time.Time, from string, m *wire.OwnerAck) {
	l, ok := p.leases[m.Resource]
	if !ok || m.Fence != l.fence || l.acknowledged[from] {
		return
	}
	l.acknowledged[from] = true
	l.lastAck = now
}

// replaced reports whether every earlier holder has stopped: each listed host
// has acknowledged this one, and those that have left did so a bound ago. The
// first holder has none before it.
func (p *Policy) replaced(now time.Time, l *leaseState, bound time.Duration) bool {
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

// settled reports whether every grant of an earlier holder has run out.
func (p *Policy) settled(now time.Time, l *leaseState) bool {
	if l.fence == 1 {
		return true
	}
	return now.After(l.lastAck.Add(useTTL+useMargin+transitBound)) && p.replaced(now, l, departedBound)
}

// mayGrant reports whether this host decides who uses an engine: it holds the
// lease, and no earlier holder's order can take effect.
func (p *Policy) mayGrant(now time.Time, v *upstreamView) bool {
	l := v.lease
	switch {
	case !l.mine():
		return false
	case l.fence == 1:
		return true
	case v.record.ChecksFence:
		return v.raised == l.fence
	}
	l.cleared = l.cleared || p.replaced(now, l, unlistedBound)
	return l.cleared
}

// mayEvict reports whether this host may order an engine to drop an adapter
// now. An engine that checks fencing numbers refuses the order of a holder that
// has been replaced. Any other may be given it while the lease is valid, or as
// long as this host has been listed without a gap: a new holder grants nothing
// until each listed host has acknowledged it.
func (p *Policy) mayEvict(now time.Time, v *upstreamView) bool {
	l := v.lease
	if !p.mayGrant(now, v) || !v.usable(now) || !p.settled(now, l) {
		return false
	}
	return v.record.ChecksFence || l.valid(now.Add(orderBound)) || p.listedThroughout(now, l)
}

// listedThroughout reports whether this host has read itself in the host list
// ever since its lease was last valid.
func (p *Policy) listedThroughout(now time.Time, l *leaseState) bool {
	return now.Sub(p.listedAt) <= listAge && !p.listedSince.After(l.until)
}

// begin starts an event. After a pause, a lapsed lease may have a new holder
// that has waited long enough to evict.
func (p *Policy) begin(now time.Time) {
	gap := now.Sub(p.lastEvent)
	if p.lastEvent.IsZero() {
		gap = 0
	}
	if gap > stallBound {
		p.stalledAt = now
	}
	if gap > pauseBound {
		p.loseLapsed(now)
	}
	p.lastEvent = now
}

// lose ends this host's tenure.
func (l *leaseState) lose() {
	l.fence = 0
	l.until = time.Time{}
}

// evicting reports whether an evicting order of this host is open.
func (p *Policy) evicting(l *leaseState) bool {
	for _, o := range p.orders {
		if o.op == Unload && o.view.lease == l {
			return true
		}
	}
	return false
}

// raiseFences makes engines that check fencing numbers know this host's, so
// that nothing an earlier holder orders can touch what this one grants.
func (p *Policy) raiseFences(now time.Time) {
	for _, l := range p.leaseOrder {
		if l.fence <= 1 {
			continue
		}
		for _, v := range l.views {
			if v.record.ChecksFence && v.raised != l.fence && v.raising == 0 && v.usable(now) {
				v.raising = p.order(now, v, SetRole, nil, "raise_fence")
			}
		}
	}
}
