package sched

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// Times of loads that other hosts carry out.
const (
	// loadAskRetry is how often a load whose end is not known is asked for.
	loadAskRetry = 300 * time.Millisecond
	// loadAskAge is when an owner that has not answered is given up.
	loadAskAge = time.Second
	// remoteLoadAge is when a load that was started is given up.
	remoteLoadAge = 15 * time.Second
	// loadBound is the longest that a load can run. A load whose end is not
	// known holds its place in flight for so long.
	loadBound = 2 * time.Minute
	// answerBound is when an owner that was asked for a load should have said
	// something. It gets no further asks until it does.
	answerBound = 100 * time.Millisecond
)

// remoteLoad is a load that another host was asked for. This host has taken the
// budget for it.
type remoteLoad struct {
	number       uint64
	view         *upstreamView
	owner        string
	organisation string
	requests     int
	askedAt      time.Time
	since        time.Time
	started      bool
}

// orphanLoad is the budget of a load whose end is not known.
type orphanLoad struct {
	model string
	until time.Time
}

// loadKey names a load that another host has asked for.
type loadKey struct {
	host    string
	process uint64
	number  uint64
}

// loadState is how a load that another host has asked for stands.
type loadState uint8

const (
	loadStarted loadState = iota
	loadBusy
	loadDone
	loadFailed
)

// servedLoad is kept so that a message which comes twice starts nothing: its
// budget may have been given back.
type servedLoad struct {
	state loadState
	use   wire.AdapterUse
	at    time.Time
}

// askLoad asks the owner of an upstream for a load, its budget being taken.
func (p *Policy) askLoad(now time.Time, g *group, v *upstreamView, organisation string) {
	p.lastLoad++
	g.remote = &remoteLoad{
		number: p.lastLoad, view: v, owner: p.ownerOf(v), organisation: organisation,
		requests: g.queue.Len(), askedAt: now, since: now,
	}
	p.remotes[g] = struct{}{}
	p.sendLoadAsk(g)
}

func (p *Policy) sendLoadAsk(g *group) {
	r := g.remote
	ask := p.askTo(r.owner)
	ask.Loads = append(ask.Loads, wire.AdapterUse{Upstream: r.view.record.Name, Adapter: g.name, Requests: r.requests, LoadNumber: r.number})
}

// followRemotes asks again for loads whose end is not known, and gives up those
// of owners that do not answer.
func (p *Policy) followRemotes(now time.Time) {
	for _, g := range sortedGroups(p.remotes) {
		r := g.remote
		age := now.Sub(r.since)
		switch {
		case r.started && age > remoteLoadAge, !r.started && age > loadAskAge:
			r.view.price = slotPrice{at: now, blocked: true}
			p.orphans = append(p.orphans, orphanLoad{g.model, now.Add(loadBound)})
			if !r.started {
				p.givenUp[r.owner] = struct{}{}
			}
			p.forgetRemote(g)
		case now.Sub(r.askedAt) >= loadAskRetry:
			r.askedAt = now
			p.sendLoadAsk(g)
		}
	}
	p.orphans = slices.DeleteFunc(p.orphans, func(o orphanLoad) bool {
		if now.Before(o.until) {
			return false
		}
		p.budget.LoadEnded(now, o.model)
		return true
	})
	for key, s := range p.served {
		if s.state != loadStarted && now.Sub(s.at) > loadBound {
			delete(p.served, key)
		}
	}
}

// silent reports whether an owner was asked for a load and has said nothing
// since. Each load that it is asked for may hold its budget for loadBound.
func (p *Policy) silent(now time.Time, owner string) bool {
	if _, given := p.givenUp[owner]; given {
		return true
	}
	for g := range p.remotes {
		r := g.remote
		if r.owner == owner && !r.started && now.Sub(r.since) >= answerBound {
			return true
		}
	}
	return false
}

// endRemote takes the end of a load that another host has carried out.
func (p *Policy) endRemote(now time.Time, g *group) {
	p.budget.LoadEnded(now, g.model)
	p.forgetRemote(g)
}

func (p *Policy) forgetRemote(g *group) {
	g.remote = nil
	delete(p.remotes, g)
}

// onLoadAsk starts a load that another host asks for, or says how it stands.
func (p *Policy) onLoadAsk(now time.Time, key loadKey, use wire.AdapterUse, answer *wire.UseAnswer) {
	s, ok := p.served[key]
	if !ok {
		s = &servedLoad{use: wire.AdapterUse{Upstream: use.Upstream, Adapter: use.Adapter, LoadNumber: use.LoadNumber}, at: now}
		s.state = p.serveLoad(now, key, use)
		p.served[key] = s
	}
	s.addTo(answer)
}

func (s *servedLoad) addTo(answer *wire.UseAnswer) {
	switch s.state {
	case loadStarted:
		answer.Started = append(answer.Started, s.use)
	case loadBusy:
		answer.NotStarted = append(answer.NotStarted, s.use)
	case loadDone:
		answer.Loaded = append(answer.Loaded, s.use)
	case loadFailed:
		answer.Failed = append(answer.Failed, s.use)
	}
}

// serveLoad starts a load, or joins the one that runs.
func (p *Policy) serveLoad(now time.Time, key loadKey, use wire.AdapterUse) loadState {
	g, v := p.remoteOf(use)
	if g == nil || !v.lease.mine() {
		return loadBusy
	}
	g.demand.add(now, float64(use.Requests))
	g.lastUsed = now
	s := v.slots[g]
	_, known := p.config.Version(g.ref)
	switch {
	case s != nil && s.state == slotResident:
		return loadDone
	case s != nil && s.state == slotLoading && s.order != 0, known && p.startLoad(now, g, v, true):
		g.askedBy = append(g.askedBy, key)
		return loadStarted
	}
	return loadBusy
}

// remoteOf returns the group and engine of a message, nil where they are not
// known.
func (p *Policy) remoteOf(use wire.AdapterUse) (*group, *upstreamView) {
	v, ok := p.upstreams[use.Upstream]
	if !ok || v.lease == nil {
		return nil, nil
	}
	return p.groupNamed(use.Adapter, v.record.Model), v
}

// onLoadAnswers takes an owner's word on loads that this host has asked for.
func (p *Policy) onLoadAnswers(now time.Time, answer *wire.UseAnswer) {
	for _, use := range answer.Started {
		if g := p.openLoad(use); g != nil && !g.remote.started {
			g.remote.started, g.remote.since = true, now
		}
	}
	for _, use := range answer.NotStarted {
		if g := p.openLoad(use); g != nil {
			p.remoteBusy(now, g)
		}
	}
	for _, use := range answer.Failed {
		if g := p.openLoad(use); g != nil {
			v := g.remote.view
			p.endRemote(now, g)
			p.backOff(now, g, v)
		}
	}
	for _, use := range answer.Loaded {
		if g := p.openLoad(use); g != nil {
			p.remoteLoaded(now, g)
		}
	}
}

// openLoad returns the group whose open load a message is about, nil where the
// message is late.
func (p *Policy) openLoad(use wire.AdapterUse) *group {
	g, ok := p.names[use.Adapter]
	if !ok || g.remote == nil || g.remote.number != use.LoadNumber {
		return nil
	}
	return g
}

// remoteBusy tries another upstream with the budget that was taken.
func (p *Policy) remoteBusy(now time.Time, g *group) {
	g.remote.view.price = slotPrice{at: now, blocked: true}
	organisation := g.remote.organisation
	p.forgetRemote(g)
	next := p.target(now, g)
	switch {
	case next == nil || g.queue.Len() == 0:
		p.budget.LoadEnded(now, g.model)
	case !next.lease.mine():
		p.askLoad(now, g, next, organisation)
	case !p.startLoad(now, g, next, false):
		p.budget.LoadEnded(now, g.model)
	}
}

func (p *Policy) remoteLoaded(now time.Time, g *group) {
	v := g.remote.view
	p.loadTime.add(now.Sub(g.remote.since))
	p.endRemote(now, g)
	s, ok := v.slots[g]
	if !ok {
		s = v.addSlot(g, slotLoading, now)
	}
	if s.state == slotLoading && s.order == 0 {
		p.becomeResident(now, s)
	}
}

// tellEnd tells the hosts that have asked for a load how it has ended.
func (p *Policy) tellEnd(now time.Time, g *group, v *upstreamView, loaded bool) {
	for _, key := range g.askedBy {
		s, ok := p.served[key]
		if !ok || s.use.Upstream != v.record.Name {
			continue
		}
		s.at, s.state = now, loadFailed
		if loaded {
			s.state = loadDone
		}
		answer := &wire.UseAnswer{}
		s.addTo(answer)
		p.send(key.host, answer)
	}
	g.askedBy = nil
}
