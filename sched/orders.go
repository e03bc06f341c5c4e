package sched

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/upstream"
)

// startLoad loads a group on an upstream of this host, and reports whether an
// order was given. The budget has been taken, by another host where paid is set.
func (p *Policy) startLoad(now time.Time, g *group, v *upstreamView, paid bool) bool {
	if !p.loadable(now, g, v) {
		return false
	}
	var victim *slot
	if v.free() <= 0 {
		if victim = p.victim(now, v); victim == nil {
			return false
		}
	}
	v.loading = g
	if victim == nil {
		p.loadInto(now, g, v, paid, "free_slot")
		return true
	}
	victim.state, victim.since = slotRetiring, now
	id := p.order(now, v, Unload, victim, "least_demand")
	o := p.orders[id]
	o.load, o.paid = g, paid
	p.orders[id] = o
	return true
}

func (p *Policy) loadInto(now time.Time, g *group, v *upstreamView, paid bool, rule string) {
	s := v.addSlot(g, slotLoading, now)
	s.order = p.order(now, v, Load, s, rule)
	o := p.orders[s.order]
	o.paid = paid
	p.orders[s.order] = o
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
		o.Deadline = now.Add(orderBound)
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
	p.begin(now)
	o, ok := p.orders[e.ID]
	if !ok {
		return nil
	}
	delete(p.orders, e.ID)
	if errors.Is(e.Err, upstream.ErrFenced) {
		o.view.lease.lose()
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
		p.releaseLoad(now, o, o.load)
		p.tellEnd(now, o.load, v, false)
		return
	}
	p.loadInto(now, o.load, v, o.paid, "slot_freed")
}

// releaseLoad ends a load's claim on the engine and gives its budget back.
func (p *Policy) releaseLoad(now time.Time, o openOrder, g *group) {
	o.view.loading = nil
	if !o.paid {
		p.budget.LoadEnded(now, g.model)
	}
}

func (p *Policy) loadEnded(now time.Time, o openOrder, err error) {
	s, v := o.slot, o.view
	g := s.group
	s.order = 0
	p.releaseLoad(now, o, g)
	if err == nil {
		p.loadTime.add(now.Sub(o.startedAt))
		p.tellEnd(now, g, v, true)
		p.becomeResident(now, s)
		return
	}
	v.dropSlot(s, now)
	p.tellEnd(now, g, v, false)
	switch {
	case errors.Is(err, upstream.ErrNoSlot):
		v.fullUntil = now.Add(noSlotBackoff)
	case !errors.Is(err, upstream.ErrFenced):
		p.backOff(now, g, v)
	}
}

// backOff keeps an adapter whose load has failed off the upstream for a while;
// others are tried at once. After several failures those who wait are told.
func (p *Policy) backOff(now time.Time, g *group, v *upstreamView) {
	backoff := min(loadFailureBackoff<<min(g.failures, maxDoublings), maxFailureBackoff)
	g.failures++
	g.retryAt[v.record.Name] = now.Add(backoff)
	if g.failures < failuresGivenUp {
		return
	}
	for g.queue.Len() > 0 {
		err := apierr.New(apierr.AdapterUnavailable, "%d loads have failed", g.failures).WithRetryAfter(max(backoff, minRetryAfter))
		p.drop(now, g.queue.Head(now).Value, err, "load_failed")
	}
}
