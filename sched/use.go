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
	useTTL = 2 * time.Second
	// useMargin is added by the owner, for clocks that run at other speeds.
	useMargin = 200 * time.Millisecond
	// useRetry is when an unanswered question is asked again.
	useRetry = 250 * time.Millisecond
	// useOverdue is when the upstream no longer counts as one that can serve.
	useOverdue = 600 * time.Millisecond
	// transitBound is the longest a request is on its way to an upstream.
	transitBound = 500 * time.Millisecond
	// priceAge is how long a price is believed.
	priceAge = 5 * time.Second
)

// useGrant is this host's permission to use a slot of another host's upstream.
type useGrant struct {
	until time.Time
	// askedAt is when the grant was last asked for, waitingSince when it was
	// first asked for without an answer. An ask that nobody repeated is over.
	askedAt      time.Time
	waitingSince time.Time
	// requests counts those dispatched since the owner was last told.
	requests int
}

func (u *useGrant) overdue(now time.Time) bool {
	return !u.waitingSince.IsZero() && now.Sub(u.waitingSince) > useOverdue
}

// mayUse reports whether new work may be sent to a slot's upstream.
func (p *Policy) mayUse(now time.Time, s *slot) bool {
	l := s.view.lease
	switch {
	case l == nil:
		return true
	case l.mine():
		return p.mayGrant(now, s.view)
	}
	return now.Before(s.use.until)
}

// askUse asks the owner of a slot's upstream for a grant or its renewal.
func (p *Policy) askUse(now time.Time, s *slot) {
	owner := p.ownerOf(s.view)
	if owner == "" || (!s.use.askedAt.IsZero() && now.Sub(s.use.askedAt) < useRetry) {
		return
	}
	if s.use.waitingSince.IsZero() || now.Sub(s.use.askedAt) > useOverdue {
		s.use.waitingSince = now
	}
	s.use.askedAt = now
	ask := p.askTo(owner)
	ask.Uses = append(ask.Uses, wire.AdapterUse{Upstream: s.view.record.Name, Adapter: s.group.name, Requests: s.use.requests})
	s.use.requests = 0
}

// ownerOf returns the other host that gives grants for an upstream, "" where
// it is this one or not known.
func (p *Policy) ownerOf(v *upstreamView) string {
	l := v.lease
	owner := l.owner
	if owner == "" {
		owner = l.candidate
	}
	if l.mine() || owner == p.host {
		return ""
	}
	return owner
}

func (p *Policy) askTo(owner string) *wire.UseRequest {
	ask, ok := p.asks[owner]
	if !ok {
		ask = &wire.UseRequest{}
		p.asks[owner] = ask
	}
	return ask
}

// sendAsks sends what one event has gathered, one message to each owner.
func (p *Policy) sendAsks(now time.Time) {
	if len(p.asks) == 0 {
		return
	}
	for _, owner := range slices.Sorted(maps.Keys(p.asks)) {
		ask := p.asks[owner]
		slices.SortStableFunc(ask.Uses, compareUses)
		p.lastAsk++
		ask.Number, ask.Process = p.lastAsk, p.process
		p.asked[ask.Number] = now
		p.send(owner, ask)
	}
	clear(p.asks)
}

// renewUses keeps the grants of upstreams that still work for this host.
func (p *Policy) renewUses(now time.Time) {
	for number, at := range p.asked {
		if now.Sub(at) > useTTL {
			delete(p.asked, number)
		}
	}
	var due []*slot
	for s := range p.held {
		switch {
		case s.inFlight == 0 && !now.Before(s.use.until):
			delete(p.held, s)
		case s.inFlight > 0 && s.use.until.Sub(now) < useTTL/2:
			due = append(due, s)
		}
	}
	slices.SortFunc(due, compareSlots)
	for _, s := range due {
		p.askUse(now, s)
	}
}

// compareUses orders the parts of a message, so that the order in which they
// came up, which may be that of a map, decides nothing.
func compareUses(a, b wire.AdapterUse) int {
	return cmp.Or(strings.Compare(a.Upstream, b.Upstream), strings.Compare(a.Adapter, b.Adapter))
}

func compareSlots(a, b *slot) int {
	if c := strings.Compare(a.view.record.Name, b.view.record.Name); c != 0 {
		return c
	}
	return strings.Compare(a.group.name, b.group.name)
}

// onUseAsk answers another host.
func (p *Policy) onUseAsk(now time.Time, from string, ask *wire.UseRequest) {
	answer := &wire.UseAnswer{Number: ask.Number}
	for _, use := range ask.Uses {
		v, ok := p.upstreams[use.Upstream]
		if !ok || v.lease == nil || !v.lease.mine() {
			answer.NotOwned = append(answer.NotOwned, use.Upstream)
			continue
		}
		if p.grant(now, v, use) {
			answer.Granted = append(answer.Granted, wire.AdapterUse{Upstream: use.Upstream, Adapter: use.Adapter})
		}
	}
	for _, load := range ask.Loads {
		p.onLoadAsk(now, loadKey{from, ask.Process, load.LoadNumber}, load, answer)
	}
	answer.Prices = p.ownPrices(now)
	p.send(from, answer)
}

// grant lets another host use an adapter, and remembers until when it may.
func (p *Policy) grant(now time.Time, v *upstreamView, use wire.AdapterUse) bool {
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
	s.grantedUntil = now.Add(useTTL + useMargin)
	s.doubtUntil = later(s.doubtUntil, s.grantedUntil.Add(transitBound+reportLag))
	return true
}

// onUseAnswer takes an owner's answer.
func (p *Policy) onUseAnswer(now time.Time, from string, answer *wire.UseAnswer) {
	p.takePrices(now, answer.Prices)
	for _, name := range answer.NotOwned {
		if v, ok := p.upstreams[name]; ok && v.lease != nil && v.lease.owner == from {
			v.lease.owner = ""
		}
	}
	p.onLoadAnswers(now, answer)
	sent, ok := p.asked[answer.Number]
	if !ok {
		return
	}
	delete(p.asked, answer.Number)
	for _, use := range answer.Granted {
		v, known := p.upstreams[use.Upstream]
		g := p.names[use.Adapter]
		if !known || g == nil || v.slots[g] == nil {
			continue
		}
		s := v.slots[g]
		s.use.until = later(s.use.until, sent.Add(useTTL))
		s.use.waitingSince = time.Time{}
		p.held[s] = struct{}{}
		p.serveGroup(now, g)
	}
}
