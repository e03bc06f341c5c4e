package sched

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// Times of loads that other hosts carry out.
const (
	// loadRequestRetry is how often a load whose end is not known is asked for.
	loadRequestRetry = 300 * time.Millisecond
	// loadRequestTimeout is when an owner that has not answered is given up.
	loadRequestTimeout = time.Second
	// remoteLoadTimeout is when a load that was started is given up.
	remoteLoadTimeout = 15 * time.Second
	// maxLoadTime is the longest that a load can run. A load whose end is not
	// known holds its place in flight for so long.
	maxLoadTime = 2 * time.Minute
	// ownerAnswerTimeout is when an owner that was asked for a load should have said
	// something. It gets no further asks until it does.
	ownerAnswerTimeout = 100 * time.Millisecond
)

// remoteLoad is a load that another host was asked for. This host has taken the
// budget for it.
type remoteLoad struct {
	number       uint64
	view         *upstreamView
	owner        string
	organisation string
	requests     int
	requestedAt  time.Time
	stateSince   time.Time
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

// receivedLoad is kept so that a message which comes twice starts nothing: its
// budget may have been given back.
type receivedLoad struct {
	state     loadState
	use       wire.Use
	updatedAt time.Time
}

// askLoad asks the owner of an upstream for a load, its budget being taken.
func (p *Policy) requestLoad(now time.Time, g *requestGroup, v *upstreamView, organisation string) {
	p.lastLoadNumber++
	g.remote = &remoteLoad{
		number: p.lastLoadNumber, view: v, owner: p.remoteOwner(v), organisation: organisation,
		requests: g.queue.Len(), requestedAt: now, stateSince: now,
	}
	p.remoteLoads[g] = struct{}{}
	p.sendLoadRequest(g)
}

func (p *Policy) sendLoadRequest(g *requestGroup) {
	r := g.remote
	request := p.requestTo(r.owner)
	request.Loads = append(request.Loads, wire.Use{Upstream: r.view.record.Name, Adapter: g.name, Requests: r.requests, Load: r.number})
}

// followRemotes asks again for loads whose end is not known, and gives up those
// of owners that do not answer.
func (p *Policy) followRemoteLoads(now time.Time) {
	for _, g := range sortedGroups(p.remoteLoads) {
		r := g.remote
		age := now.Sub(r.stateSince)
		switch {
		case r.started && age > remoteLoadTimeout, !r.started && age > loadRequestTimeout:
			r.view.price = slotPrice{at: now, blocked: true}
			p.orphans = append(p.orphans, orphanLoad{g.model, now.Add(maxLoadTime)})
			if !r.started {
				p.unresponsiveOwners[r.owner] = struct{}{}
			}
			p.forgetRemoteLoad(g)
		case now.Sub(r.requestedAt) >= loadRequestRetry:
			r.requestedAt = now
			p.sendLoadRequest(g)
		}
	}
	p.orphans = slices.DeleteFunc(p.orphans, func(o orphanLoad) bool {
		if now.Before(o.until) {
			return false
		}
		p.budget.LoadEnded(now, o.model)
		return true
	})
	for key, s := range p.receivedLoads {
		if s.state != loadStarted && now.Sub(s.updatedAt) > maxLoadTime {
			delete(p.receivedLoads, key)
		}
	}
}

// silent reports whether an owner was asked for a load and has said nothing
// since. Each load that it is asked for may hold its budget for maxLoadTime.
func (p *Policy) ownerUnresponsive(now time.Time, owner string) bool {
	if _, unresponsive := p.unresponsiveOwners[owner]; unresponsive {
		return true
	}
	for g := range p.remoteLoads {
		r := g.remote
		if r.owner == owner && !r.started && now.Sub(r.stateSince) >= ownerAnswerTimeout {
			return true
		}
	}
	return false
}

// endRemote takes the end of a load that another host has carried out.
func (p *Policy) endRemoteLoad(now time.Time, g *requestGroup) {
	p.budget.LoadEnded(now, g.model)
	p.forgetRemoteLoad(g)
}

func (p *Policy) forgetRemoteLoad(g *requestGroup) {
	g.remote = nil
	delete(p.remoteLoads, g)
}

// onLoadAsk starts a load that another host asks for, or says how it stands.
func (p *Policy) onLoadRequest(now time.Time, key loadKey, use wire.Use, answer *wire.UseAnswer) {
	s, ok := p.receivedLoads[key]
	if !ok {
		s = &receivedLoad{use: wire.Use{Upstream: use.Upstream, Adapter: use.Adapter, Load: use.Load}, updatedAt: now}
		s.state = p.startReceivedLoad(now, key, use)
		p.receivedLoads[key] = s
	}
	s.appendTo(answer)
}

func (s *receivedLoad) appendTo(answer *wire.UseAnswer) {
	switch s.state {
	case loadStarted:
		answer.Started = append(answer.Started, s.use)
	case loadBusy:
		answer.Busy = append(answer.Busy, s.use)
	case loadDone:
		answer.Loaded = append(answer.Loaded, s.use)
	case loadFailed:
		answer.Failed = append(answer.Failed, s.use)
	}
}

// serveLoad starts a load, or joins the one that runs.
func (p *Policy) startReceivedLoad(now time.Time, key loadKey, use wire.Use) loadState {
	g, v := p.resolveUse(use)
	if g == nil || !v.lease.ownedLocally() {
		return loadBusy
	}
	g.demand.add(now, float64(use.Requests))
	g.lastUsed = now
	s := v.slots[g]
	_, known := p.config.Version(g.ref)
	switch {
	case s != nil && s.state == slotResident:
		return loadDone
	case s != nil && s.state == slotLoading && s.orderID != 0, known && p.startLoad(now, g, v, true):
		g.requestedBy = append(g.requestedBy, key)
		return loadStarted
	}
	return loadBusy
}

// remoteOf returns the group and engine of a message, nil where they are not
// known.
func (p *Policy) resolveUse(use wire.Use) (*requestGroup, *upstreamView) {
	v, ok := p.upstreams[use.Upstream]
	if !ok || v.lease == nil {
		return nil, nil
	}
	return p.groupNamed(use.Adapter, v.record.Model), v
}

// onLoadAnswers takes an owner's word on loads that this host has asked for.
func (p *Policy) onLoadAnswers(now time.Time, answer *wire.UseAnswer) {
	for _, use := range answer.Started {
		if g := p.openRemoteLoad(use); g != nil && !g.remote.started {
			g.remote.started, g.remote.stateSince = true, now
		}
	}
	for _, use := range answer.Busy {
		if g := p.openRemoteLoad(use); g != nil {
			p.onRemoteBusy(now, g)
		}
	}
	for _, use := range answer.Failed {
		if g := p.openRemoteLoad(use); g != nil {
			v := g.remote.view
			p.endRemoteLoad(now, g)
			p.backOff(now, g, v)
		}
	}
	for _, use := range answer.Loaded {
		if g := p.openRemoteLoad(use); g != nil {
			p.onRemoteLoaded(now, g)
		}
	}
}

// openLoad returns the group whose open load a message is about, nil where the
// message is late.
func (p *Policy) openRemoteLoad(use wire.Use) *requestGroup {
	g, ok := p.names[use.Adapter]
	if !ok || g.remote == nil || g.remote.number != use.Load {
		return nil
	}
	return g
}

// remoteBusy tries another upstream with the budget that was taken.
func (p *Policy) onRemoteBusy(now time.Time, g *requestGroup) {
	g.remote.view.price = slotPrice{at: now, blocked: true}
	organisation := g.remote.organisation
	p.forgetRemoteLoad(g)
	next := p.loadTarget(now, g)
	switch {
	case next == nil || g.queue.Len() == 0:
		p.budget.LoadEnded(now, g.model)
	case !next.lease.ownedLocally():
		p.requestLoad(now, g, next, organisation)
	case !p.startLoad(now, g, next, false):
		p.budget.LoadEnded(now, g.model)
	}
}

func (p *Policy) onRemoteLoaded(now time.Time, g *requestGroup) {
	v := g.remote.view
	p.loadTime.add(now.Sub(g.remote.stateSince))
	p.endRemoteLoad(now, g)
	s, ok := v.slots[g]
	if !ok {
		s = v.addSlot(g, slotLoading, now)
	}
	if s.state == slotLoading && s.orderID == 0 {
		p.becomeResident(now, s)
	}
}

// tellEnd tells the hosts that have asked for a load how it has ended.
func (p *Policy) reportLoadEnd(now time.Time, g *requestGroup, v *upstreamView, loaded bool) {
	for _, key := range g.requestedBy {
		s, ok := p.receivedLoads[key]
		if !ok || s.use.Upstream != v.record.Name {
			continue
		}
		s.updatedAt, s.state = now, loadFailed
		if loaded {
			s.state = loadDone
		}
		answer := &wire.UseAnswer{}
		s.appendTo(answer)
		p.send(key.host, answer)
	}
	g.requestedBy = nil
}
