package sched

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/wire"
)

// Durations and limits of loads that other hosts run.
const (
	// loadRequestRetry is how often a load request is repeated while the load's result is not
	// known.
	loadRequestRetry = 300 * time.Millisecond
	// loadRequestTimeout is the time after which a load request to an owner that has not
	// answered is abandoned.
	loadRequestTimeout = time.Second
	// remoteLoadTimeout is the time after which a started load is abandoned.
	remoteLoadTimeout = 15 * time.Second
	// maxLoadTime is the longest time that a load can run. A load whose result is not known
	// keeps its in-flight place of the budget for that long.
	maxLoadTime = 2 * time.Minute
	// ownerAnswerTimeout is the time after which an owner that has not answered a load request
	// is sent no further ones until it answers.
	ownerAnswerTimeout = 100 * time.Millisecond
)

// remoteLoad is a load that was requested from another host. This host has taken the budget
// for it.
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

// orphanLoad is the budget of an abandoned load whose result is not known. It is released at
// until.
type orphanLoad struct {
	model string
	until time.Time
}

// loadKey identifies a load that another host has requested.
type loadKey struct {
	host    string
	process uint64
	number  uint64
}

// loadState is the state of a load that another host has requested.
type loadState uint8

const (
	loadStarted loadState = iota
	loadBusy
	loadDone
	loadFailed
)

// receivedLoad is a load that another host has requested. It is kept after its end so that a
// duplicate of the request starts no second load: the requester may have released the budget.
type receivedLoad struct {
	state     loadState
	use       wire.AdapterUse
	updatedAt time.Time
}

// requestLoad asks the owner of an upstream to load a group. The budget has been taken.
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
	request.Loads = append(request.Loads, wire.AdapterUse{
		Upstream: r.view.record.Name, Adapter: g.name, Requests: r.requests, LoadNumber: r.number,
	})
}

// followRemoteLoads repeats the requests for loads whose result is not known, abandons those
// that have timed out, and releases the budget of abandoned loads after maxLoadTime.
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

// ownerUnresponsive reports whether an owner was sent a load request and has not answered
// since. Every load requested from such an owner could hold its budget for maxLoadTime.
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

// endRemoteLoad ends a load that another host has run, and releases its budget.
func (p *Policy) endRemoteLoad(now time.Time, g *requestGroup) {
	p.budget.LoadEnded(now, g.model)
	p.forgetRemoteLoad(g)
}

func (p *Policy) forgetRemoteLoad(g *requestGroup) {
	g.remote = nil
	delete(p.remoteLoads, g)
}

// onLoadRequest starts a load that another host requests, or adds its state to the answer if
// it is known already.
func (p *Policy) onLoadRequest(now time.Time, key loadKey, use wire.AdapterUse, answer *wire.UseAnswer) {
	s, ok := p.receivedLoads[key]
	if !ok {
		s = &receivedLoad{use: wire.AdapterUse{Upstream: use.Upstream, Adapter: use.Adapter, LoadNumber: use.LoadNumber}, updatedAt: now}
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
		answer.NotStarted = append(answer.NotStarted, s.use)
	case loadDone:
		answer.Loaded = append(answer.Loaded, s.use)
	case loadFailed:
		answer.Failed = append(answer.Failed, s.use)
	}
}

// startReceivedLoad starts a load, or joins the one that is running.
func (p *Policy) startReceivedLoad(now time.Time, key loadKey, use wire.AdapterUse) loadState {
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

// resolveUse returns the group and the engine that a message refers to, nil if they are not
// known.
func (p *Policy) resolveUse(use wire.AdapterUse) (*requestGroup, *upstreamView) {
	v, ok := p.upstreams[use.Upstream]
	if !ok || v.lease == nil {
		return nil, nil
	}
	return p.groupNamed(use.Adapter, v.record.Model), v
}

// onLoadAnswers handles an owner's answers to this host's load requests.
func (p *Policy) onLoadAnswers(now time.Time, answer *wire.UseAnswer) {
	for _, use := range answer.Started {
		if g := p.openRemoteLoad(use); g != nil && !g.remote.started {
			g.remote.started, g.remote.stateSince = true, now
		}
	}
	for _, use := range answer.NotStarted {
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

// openRemoteLoad returns the group whose open load an answer refers to, nil if the answer is
// out of date.
func (p *Policy) openRemoteLoad(use wire.AdapterUse) *requestGroup {
	g, ok := p.names[use.Adapter]
	if !ok || g.remote == nil || g.remote.number != use.LoadNumber {
		return nil
	}
	return g
}

// onRemoteBusy tries another upstream with the same budget after an owner has refused a load.
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

// reportLoadEnd sends the result of a load to the hosts that have requested it.
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
