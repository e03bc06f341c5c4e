package sched

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// Times of loads that other hosts carry out.
const (
	// loadAskRetry is when an unanswered question for a load is asked again.
	loadAskRetry = 250 * time.Millisecond
	// loadAskAge is when an owner that has not answered is given up.
	loadAskAge = time.Second
	// remoteLoadAge is when a started load that no report shows is given up.
	remoteLoadAge = 5 * time.Second
	// loadBound is the longest that a load can run. A load whose end is not
	// known holds its place in flight for so long.
	loadBound = 2 * time.Minute
)

// remoteLoad is a load that another host was asked for. This host has taken the
// budget for it.
type remoteLoad struct {
	view         *upstreamView
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

// loadAsk is the last message of a process that asked for loads.
type loadAsk struct {
	process uint64
	number  uint64
}

// askLoad asks the owner of an upstream for a load, its budget being taken.
func (p *Policy) askLoad(now time.Time, g *group, v *upstreamView, organisation string) {
	g.remote = &remoteLoad{view: v, organisation: organisation, requests: g.queue.Len(), askedAt: now, since: now}
	p.remotes[g] = struct{}{}
	p.sendLoadAsk(g)
}

func (p *Policy) sendLoadAsk(g *group) {
	owner := p.ownerOf(g.remote.view)
	if owner == "" {
		return
	}
	ask := p.askTo(owner)
	ask.Loads = append(ask.Loads, wire.Use{Upstream: g.remote.view.record.Name, Adapter: g.name, Requests: g.remote.requests})
}

// followRemotes asks again for loads that have not been answered, and gives up
// those of owners that do not answer.
func (p *Policy) followRemotes(now time.Time) {
	for _, g := range sortedGroups(p.remotes) {
		r := g.remote
		age := now.Sub(r.since)
		switch {
		case r.started && age > remoteLoadAge, !r.started && age > loadAskAge:
			r.view.price = slotPrice{at: now, blocked: true}
			p.orphan(now, g)
		case !r.started && now.Sub(r.askedAt) >= loadAskRetry:
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
}

// orphan forgets a load, and keeps its place in flight until it must have ended.
func (p *Policy) orphan(now time.Time, g *group) {
	p.orphans = append(p.orphans, orphanLoad{g.model, now.Add(loadBound)})
	p.forgetRemote(g)
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

// onLoadAsks starts the loads that another host asks for. A message that was
// delivered twice or was overtaken starts nothing: its budget may be spent.
func (p *Policy) onLoadAsks(now time.Time, from string, ask *wire.UseAsk, answer *wire.UseAnswer) {
	if len(ask.Loads) == 0 {
		return
	}
	seen := p.seenLoads[from]
	if seen.process == ask.Process && ask.Number <= seen.number {
		return
	}
	p.seenLoads[from] = loadAsk{ask.Process, ask.Number}
	for _, load := range ask.Loads {
		p.onLoadAsk(now, from, load, answer)
	}
}

func (p *Policy) onLoadAsk(now time.Time, from string, load wire.Use, answer *wire.UseAnswer) {
	use := wire.Use{Upstream: load.Upstream, Adapter: load.Adapter}
	v, ok := p.upstreams[load.Upstream]
	if !ok || v.lease == nil || !v.lease.mine() {
		answer.NotOwned = append(answer.NotOwned, load.Upstream)
		answer.Busy = append(answer.Busy, use)
		return
	}
	g := p.groupNamed(load.Adapter, v.record.Model)
	if g == nil {
		answer.Busy = append(answer.Busy, use)
		return
	}
	g.demand.add(now, float64(load.Requests))
	g.lastUsed = now
	_, known := p.config.Version(g.ref)
	s := v.slots[g]
	switch {
	case s != nil && s.state == slotResident:
		answer.Loaded = append(answer.Loaded, use)
	case s != nil && s.state == slotLoading, known && p.startLoad(now, g, v, true):
		if !slices.Contains(g.tellHosts, from) {
			g.tellHosts = append(g.tellHosts, from)
		}
		answer.Started = append(answer.Started, use)
	default:
		answer.Busy = append(answer.Busy, use)
	}
}

// remoteOf returns the group and upstream of an answer, where they are known.
func (p *Policy) remoteOf(use wire.Use) (*group, *upstreamView) {
	v, ok := p.upstreams[use.Upstream]
	if !ok || v.lease == nil {
		return nil, nil
	}
	return p.groupNamed(use.Adapter, v.record.Model), v
}

func (p *Policy) remoteStarted(now time.Time, use wire.Use) {
	g, v := p.remoteOf(use)
	if g == nil || g.remote == nil || g.remote.view != v || g.remote.started {
		return
	}
	g.remote.started = true
	g.remote.since = now
}

// remoteBusy tries another upstream with the budget that was taken.
func (p *Policy) remoteBusy(now time.Time, use wire.Use) {
	g, v := p.remoteOf(use)
	if g == nil || g.remote == nil || g.remote.view != v || g.remote.started {
		return
	}
	v.price = slotPrice{at: now, blocked: true}
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

// remoteLoaded takes an owner's word that an adapter can be used.
func (p *Policy) remoteLoaded(now time.Time, use wire.Use) {
	g, v := p.remoteOf(use)
	if g == nil {
		return
	}
	s, ok := v.slots[g]
	if !ok {
		s = v.addSlot(g, slotLoading, now)
	}
	if s.state == slotLoading && s.order == 0 {
		if g.remote != nil && g.remote.view == v {
			p.loadTime.add(now.Sub(g.remote.since))
		}
		p.becomeResident(now, s)
	}
}

// remoteFailed takes an owner's word that a load has failed.
func (p *Policy) remoteFailed(now time.Time, use wire.Use) {
	g, v := p.remoteOf(use)
	if g == nil || g.remote == nil || g.remote.view != v {
		return
	}
	p.endRemote(now, g)
	p.backOff(now, g, v)
}

// tellEnd tells the hosts that have asked for a load how it has ended.
func (p *Policy) tellEnd(g *group, v *upstreamView, loaded bool) {
	uses := []wire.Use{{Upstream: v.record.Name, Adapter: g.name}}
	for _, h := range g.tellHosts {
		if loaded {
			p.send(h, &wire.UseAnswer{Loaded: uses})
		} else {
			p.send(h, &wire.UseAnswer{Failed: uses})
		}
	}
	g.tellHosts = nil
}
