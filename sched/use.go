package sched

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// Times of use grants. A host may send an adapter's requests to an upstream
// while it holds a grant of the upstream's owner. The holder counts from when
// it asked, the owner from when it answered, so that the owner's end is later.
const (
	grantTTL = 2 * time.Second
	// grantClockMargin is added by the owner, for clocks that run at other speeds.
	grantClockMargin = 200 * time.Millisecond
	// grantRetryInterval is when an unanswered question is asked again.
	grantRetryInterval = 250 * time.Millisecond
	// grantOverdueAfter is when the upstream no longer counts as one that can serve.
	grantOverdueAfter = 600 * time.Millisecond
	// maxTransitTime is the longest a request is on its way to an upstream.
	maxTransitTime = 500 * time.Millisecond
	// maxPriceAge is how long a price is believed.
	maxPriceAge = 5 * time.Second
)

// useGrant is this host's permission to use a slot of another host's upstream.
type useGrant struct {
	validUntil time.Time
	// askedAt is when the grant was last asked for, waitingSince when it was
	// first asked for without an answer. An ask that nobody repeated is over.
	requestedAt     time.Time
	unansweredSince time.Time
	// requests counts those dispatched since the owner was last told.
	requests int
}

func (u *useGrant) overdue(now time.Time) bool {
	return !u.unansweredSince.IsZero() && now.Sub(u.unansweredSince) > grantOverdueAfter
}

// mayUse reports whether new work may be sent to a slot's upstream.
func (p *Policy) mayUse(now time.Time, s *slot) bool {
	l := s.view.lease
	switch {
	case l == nil:
		return true
	case l.ownedLocally():
		return p.mayGrant(now, s.view)
	}
	return now.Before(s.grant.validUntil)
}

// askUse asks the owner of a slot's upstream for a grant or its renewal.
func (p *Policy) requestGrant(now time.Time, s *slot) {
	owner := p.remoteOwner(s.view)
	if owner == "" || (!s.grant.requestedAt.IsZero() && now.Sub(s.grant.requestedAt) < grantRetryInterval) {
		return
	}
	if s.grant.unansweredSince.IsZero() || now.Sub(s.grant.requestedAt) > grantOverdueAfter {
		s.grant.unansweredSince = now
	}
	s.grant.requestedAt = now
	request := p.requestTo(owner)
	request.Uses = append(request.Uses, wire.Use{Upstream: s.view.record.Name, Adapter: s.group.name, Requests: s.grant.requests})
	s.grant.requests = 0
}

// ownerOf returns the other host that gives grants for an upstream, "" where
// it is this one or not known.
func (p *Policy) remoteOwner(v *upstreamView) string {
	l := v.lease
	owner := l.owner
	if owner == "" {
		owner = l.candidate
	}
	if l.ownedLocally() || owner == p.host {
		return ""
	}
	return owner
}

func (p *Policy) requestTo(owner string) *wire.UseAsk {
	request, ok := p.outgoing[owner]
	if !ok {
		request = &wire.UseAsk{}
		p.outgoing[owner] = request
	}
	return request
}

// sendAsks sends what one event has gathered, one message to each owner.
func (p *Policy) sendRequests(now time.Time) {
	if len(p.outgoing) == 0 {
		return
	}
	for _, owner := range slices.Sorted(maps.Keys(p.outgoing)) {
		request := p.outgoing[owner]
		slices.SortStableFunc(request.Uses, compareUses)
		p.lastRequestNumber++
		request.Number, request.Process = p.lastRequestNumber, p.processID
		p.unanswered[request.Number] = now
		p.send(owner, request)
	}
	clear(p.outgoing)
}

// renewUses keeps the grants of upstreams that still work for this host.
func (p *Policy) renewGrants(now time.Time) {
	for number, at := range p.unanswered {
		if now.Sub(at) > grantTTL {
			delete(p.unanswered, number)
		}
	}
	var due []*slot
	for s := range p.grantedSlots {
		switch {
		case s.inFlight == 0 && !now.Before(s.grant.validUntil):
			delete(p.grantedSlots, s)
		case s.inFlight > 0 && s.grant.validUntil.Sub(now) < grantTTL/2:
			due = append(due, s)
		}
	}
	slices.SortFunc(due, compareSlots)
	for _, s := range due {
		p.requestGrant(now, s)
	}
}

// compareUses orders the parts of a message, so that the order in which they
// came up, which may be that of a map, decides nothing.
func compareUses(a, b wire.Use) int {
	return cmp.Or(strings.Compare(a.Upstream, b.Upstream), strings.Compare(a.Adapter, b.Adapter))
}

func compareSlots(a, b *slot) int {
	if c := strings.Compare(a.view.record.Name, b.view.record.Name); c != 0 {
		return c
	}
	return strings.Compare(a.group.name, b.group.name)
}

// onUseAsk answers another host.
func (p *Policy) onUseRequest(now time.Time, from string, request *wire.UseAsk) {
	answer := &wire.UseAnswer{Number: request.Number}
	for _, use := range request.Uses {
		v, ok := p.upstreams[use.Upstream]
		if !ok || v.lease == nil || !v.lease.ownedLocally() {
			answer.NotOwned = append(answer.NotOwned, use.Upstream)
			continue
		}
		if p.grantUse(now, v, use) {
			answer.Granted = append(answer.Granted, wire.Use{Upstream: use.Upstream, Adapter: use.Adapter})
		}
	}
	for _, load := range request.Loads {
		p.onLoadRequest(now, loadKey{from, request.Process, load.Load}, load, answer)
	}
	answer.Prices = p.ownPrices(now)
	p.send(from, answer)
}

// grant lets another host use an adapter, and remembers until when it may.
func (p *Policy) grantUse(now time.Time, v *upstreamView, use wire.Use) bool {
	g := p.groupNamed(use.Adapter, v.record.Model)
	if g == nil {
		return false
	}
	g.demand.add(now, float64(use.Requests))
	g.lastUsed = now
	s, ok := v.slots[g]
	if !ok || s.state != slotResident || !p.mayUse(now, s) {
		return false
	}
	s.lastUsed = now
	s.peerGrantsUntil = now.Add(grantTTL + grantClockMargin)
	s.maybeBusyUntil = later(s.maybeBusyUntil, s.peerGrantsUntil.Add(maxTransitTime+reportLag))
	return true
}

// onUseAnswer takes an owner's answer.
func (p *Policy) onUseAnswer(now time.Time, from string, answer *wire.UseAnswer) {
	p.recordPrices(now, answer.Prices)
	for _, name := range answer.NotOwned {
		if v, ok := p.upstreams[name]; ok && v.lease != nil && v.lease.owner == from {
			v.lease.owner = ""
		}
	}
	p.onLoadAnswers(now, answer)
	sent, ok := p.unanswered[answer.Number]
	if !ok {
		return
	}
	delete(p.unanswered, answer.Number)
	for _, use := range answer.Granted {
		v, known := p.upstreams[use.Upstream]
		g := p.names[use.Adapter]
		if !known || g == nil || v.slots[g] == nil {
			continue
		}
		s := v.slots[g]
		s.grant.validUntil = later(s.grant.validUntil, sent.Add(grantTTL))
		s.grant.unansweredSince = time.Time{}
		p.grantedSlots[s] = struct{}{}
		p.serveGroup(now, g)
	}
}
