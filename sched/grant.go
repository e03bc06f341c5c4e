package sched

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// Durations of use grants. A host may send an adapter's requests to an upstream while it holds
// a grant from the upstream's owner. The requesting host counts a grant's validity from when
// it sent the request, the owner from when it answered, so that the grant ends later at the
// owner.
const (
	grantTTL = 2 * time.Second
	// grantClockMargin is added by the owner to allow for clocks that run at different speeds.
	grantClockMargin = 200 * time.Millisecond
	// grantRetryInterval is the delay before an unanswered grant request is repeated.
	grantRetryInterval = 250 * time.Millisecond
	// grantOverdueAfter is the time without an answer after which the slot no longer counts as
	// one that can serve.
	grantOverdueAfter = 600 * time.Millisecond
	// maxTransitTime is the longest time that a request takes to reach an upstream.
	maxTransitTime = 500 * time.Millisecond
	// maxPriceAge is the age up to which a reported price is used.
	maxPriceAge = 5 * time.Second
)

// useGrant is this host's permission to use a slot of another host's upstream.
type useGrant struct {
	validUntil time.Time
	// requestedAt is when the grant was last requested, unansweredSince when it was first
	// requested without an answer. A request that has not been repeated for grantOverdueAfter
	// is abandoned, and the next one starts anew.
	requestedAt     time.Time
	unansweredSince time.Time
	// requests counts the requests dispatched since the last report to the owner.
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

// requestGrant requests a grant or its renewal from the owner of a slot's upstream.
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
	request.Uses = append(request.Uses, wire.AdapterUse{
		Upstream: s.view.record.Name, Adapter: s.group.name, Requests: s.grant.requests,
	})
	s.grant.requests = 0
}

// remoteOwner returns the other host that gives grants for an upstream, "" if it is this host
// or not known.
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

func (p *Policy) requestTo(owner string) *wire.UseRequest {
	request, ok := p.outgoing[owner]
	if !ok {
		request = &wire.UseRequest{}
		p.outgoing[owner] = request
	}
	return request
}

// sendRequests sends the requests collected during one event, one message to each owner.
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

// renewGrants renews the grants of slots with requests of this host in flight.
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

// compareUses orders the entries of a message, so that the message does not depend on the
// iteration order of a map.
func compareUses(a, b wire.AdapterUse) int {
	return cmp.Or(strings.Compare(a.Upstream, b.Upstream), strings.Compare(a.Adapter, b.Adapter))
}

func compareSlots(a, b *slot) int {
	if c := strings.Compare(a.view.record.Name, b.view.record.Name); c != 0 {
		return c
	}
	return strings.Compare(a.group.name, b.group.name)
}

// onUseRequest answers another host's request for grants and loads.
func (p *Policy) onUseRequest(now time.Time, from string, request *wire.UseRequest) {
	answer := &wire.UseAnswer{Number: request.Number}
	for _, use := range request.Uses {
		v, ok := p.upstreams[use.Upstream]
		if !ok || v.lease == nil || !v.lease.ownedLocally() {
			answer.NotOwned = append(answer.NotOwned, use.Upstream)
			continue
		}
		if p.grantUse(now, v, use) {
			answer.Granted = append(answer.Granted, wire.AdapterUse{Upstream: use.Upstream, Adapter: use.Adapter})
		}
	}
	for _, load := range request.Loads {
		p.onLoadRequest(now, loadKey{from, request.Process, load.LoadNumber}, load, answer)
	}
	answer.Prices = p.ownPrices(now)
	p.send(from, answer)
}

// grantUse grants another host the use of an adapter, and records when the grant expires.
func (p *Policy) grantUse(now time.Time, v *upstreamView, use wire.AdapterUse) bool {
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

// onUseAnswer handles an owner's answer.
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
