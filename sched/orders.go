package sched

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// startLoad loads a group on an upstream of this host, and reports whether an
// order was given. The budget is taken before anything is evicted.
func (p *Policy) startLoad(now time.Time, g *group, v *upstreamView) bool {
	if !p.loadable(now, g, v) {
		return false
	}
	var victim *slot
	if v.free() <= 0 {
		if victim = p.victim(now, v); victim == nil {
			return false
		}
	}
	if !p.budget.TakeLoad(now, g.model) {
		p.refused[g.model] = now
		return false
	}
	v.loading = g
	if victim == nil {
		p.loadInto(now, g, v, "free_slot")
		return true
	}
	victim.state, victim.since = slotRetiring, now
	id := p.order(now, v, Unload, victim, "least_demand")
	o := p.orders[id]
	o.load = g
	p.orders[id] = o
	return true
}

func (p *Policy) loadInto(now time.Time, g *group, v *upstreamView, rule string) {
	s := v.addSlot(g, slotLoading, now)
	s.order = p.order(now, v, Load, s, rule)
}

func (p *Policy) order(now time.Time, v *upstreamView, op Operation, s *slot, rule string) OrderID {
	p.lastOrder++
	p.orders[p.lastOrder] = openOrder{view: v, slot: s, op: op, startedAt: now}
	o := Order{ID: p.lastOrder, Upstream: v.record.Name, Operation: op, Fence: v.lease.fence, Why: Reason{Rule: rule}}
	if s != nil {
		s.order = p.lastOrder
		o.Adapter = s.group.ref
	}
	if op == SetRole {
		o.Role = v.role
	}
	if op == Unload {
		o.Before = now.Add(orderBound)
		o.Why.Alternatives = p.kept(now, v, s)
	}
	p.decide(o)
	return p.lastOrder
}

// kept names the adapters that an eviction spared.
func (p *Policy) kept(now time.Time, v *upstreamView, victim *slot) []Alternative {
	var out []Alternative
	for _, s := range v.slots {
		if s != victim && p.idle(now, s) {
			out = append(out, Alternative{Upstream: v.record.Name, Note: "keeps " + s.group.name})
		}
	}
	slices.SortFunc(out, func(a, b Alternative) int { return strings.Compare(a.Note, b.Note) })
	return out[:min(len(out), alternativesLogged)]
}

// OrderEnded implements Scheduler.
func (p *Policy) OrderEnded(now time.Time, e OrderEnd) []Decision {
	o, ok := p.orders[e.ID]
	if !ok {
		return nil
	}
	delete(p.orders, e.ID)
	if errors.Is(e.Err, upstream.ErrFenced) {
		o.view.lease.fence = 0
		o.view.lease.owner = ""
	}
	switch o.op {
	case Load:
		p.loadEnded(now, o, e.Err)
	case Unload:
		p.unloadEnded(now, o, e.Err)
	case SetRole:
		o.view.raising = 0
		if e.Err == nil {
			o.view.raised = o.view.lease.fence
		}
	}
	p.serveUpstream(now, o.view)
	return p.take(now)
}

// unloadEnded goes on with the load that the slot was freed for. After an error
// the adapter may be there or not: the next report tells.
func (p *Policy) unloadEnded(now time.Time, o openOrder, err error) {
	v := o.view
	o.slot.order = 0
	v.dropSlot(o.slot, now)
	if err != nil || !v.lease.mine() {
		delete(v.gone, o.slot.group)
		p.releaseLoad(now, v, o.load)
		return
	}
	p.loadInto(now, o.load, v, "slot_freed")
}

func (p *Policy) releaseLoad(now time.Time, v *upstreamView, g *group) {
	v.loading = nil
	p.budget.LoadEnded(now, g.model)
}

func (p *Policy) loadEnded(now time.Time, o openOrder, err error) {
	s, v := o.slot, o.view
	g := s.group
	s.order = 0
	p.releaseLoad(now, v, g)
	if err == nil {
		p.loadTime.add(now.Sub(o.startedAt))
		p.becomeResident(now, s)
		p.tellLoaded(s, p.wants[g].from)
		delete(p.wants, g)
		return
	}
	v.dropSlot(s, now)
	if errors.Is(err, upstream.ErrNoSlot) {
		v.fullUntil = now.Add(noSlotBackoff)
		return
	}
	if !errors.Is(err, upstream.ErrFenced) {
		p.loadFailed(now, g, v)
	}
}

// loadFailed keeps the adapter off the upstream for a while; others are tried
// at once. After several failures those who wait are told.
func (p *Policy) loadFailed(now time.Time, g *group, v *upstreamView) {
	backoff := min(loadFailureBackoff<<min(g.failures, 6), maxFailureBackoff)
	g.failures++
	g.retryAt[v.record.Name] = now.Add(backoff)
	w, wanted := p.wants[g]
	delete(p.wants, g)
	if wanted {
		use := wire.Use{Upstream: v.record.Name, Adapter: g.name, Requests: g.failures}
		for _, h := range w.from {
			p.send(h, &wire.UseAnswer{Failed: []wire.Use{use}})
		}
	}
	p.giveUp(now, g, backoff)
}

// remoteFailed takes an owner's word that a load has failed.
func (p *Policy) remoteFailed(now time.Time, use wire.Use) {
	g, ok := p.names[use.Adapter]
	if !ok {
		return
	}
	g.failures++
	backoff := min(loadFailureBackoff<<min(g.failures, 6), maxFailureBackoff)
	g.retryAt[use.Upstream] = now.Add(backoff)
	g.askedLoad = time.Time{}
	p.giveUp(now, g, backoff)
}

// giveUp refuses what waits for an adapter that cannot be loaded.
func (p *Policy) giveUp(now time.Time, g *group, backoff time.Duration) {
	if g.failures < failuresGivenUp {
		return
	}
	for g.queue.Len() > 0 {
		err := apierr.New(apierr.AdapterUnavailable, "%d loads have failed", g.failures).WithRetryAfter(max(backoff, minRetryAfter))
		p.drop(now, g.queue.Head(now).Value, err, "load_failed")
	}
}

func (p *Policy) tellLoaded(s *slot, hosts []string) {
	use := wire.Use{Upstream: s.view.record.Name, Adapter: s.group.name}
	for _, h := range hosts {
		p.send(h, &wire.UseAnswer{Loaded: []wire.Use{use}})
	}
}
