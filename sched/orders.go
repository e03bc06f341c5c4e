package sched

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/upstream"
)

// startLoad loads a group on an upstream that this host owns, and reports whether an order was
// issued. The budget of the load has been taken already: by another host if remoteBudget is
// set, else by this one.
func (p *Policy) startLoad(now time.Time, g *requestGroup, v *upstreamView, remoteBudget bool) bool {
	if !p.loadable(now, g, v) {
		return false
	}
	var victim *slot
	if v.freeSlots() <= 0 {
		if victim = p.victim(now, v); victim == nil {
			return false
		}
	}
	v.loading = g
	if victim == nil {
		p.loadInto(now, g, v, remoteBudget, "free_slot")
		return true
	}
	victim.state, victim.stateSince = slotEvicting, now
	id := p.issueOrder(now, v, Unload, victim, "least_demand")
	o := p.orders[id]
	o.nextLoad, o.remoteBudget = g, remoteBudget
	p.orders[id] = o
	return true
}

func (p *Policy) loadInto(now time.Time, g *requestGroup, v *upstreamView, remoteBudget bool, rule string) {
	s := v.addSlot(g, slotLoading, now)
	s.orderID = p.issueOrder(now, v, Load, s, rule)
	o := p.orders[s.orderID]
	o.remoteBudget = remoteBudget
	p.orders[s.orderID] = o
}

func (p *Policy) issueOrder(now time.Time, v *upstreamView, op Operation, s *slot, rule string) OrderID {
	p.lastOrderID++
	p.orders[p.lastOrderID] = openOrder{view: v, slot: s, op: op, startedAt: now}
	o := Order{ID: p.lastOrderID, Upstream: v.record.Name, Operation: op, Fence: v.lease.fence, Why: Reason{Rule: rule}}
	if s != nil {
		s.orderID = p.lastOrderID
		o.Adapter = s.group.ref
	}
	if op == SetRole {
		o.Role = v.role
	}
	if op == Unload {
		o.Deadline = now.Add(evictionTimeout)
		o.Why.Alternatives = p.sparedAdapters(now, v, s)
	}
	p.emit(o)
	return p.lastOrderID
}

// sparedAdapters returns the idle adapters that were considered for eviction and kept, at most
// maxAlternatives.
func (p *Policy) sparedAdapters(now time.Time, v *upstreamView, victim *slot) []Alternative {
	var out []Alternative
	for _, s := range v.slots {
		if s != victim && p.slotIdle(now, s) {
			out = append(out, Alternative{Upstream: v.record.Name, Note: "keeps " + s.group.name})
		}
	}
	slices.SortFunc(out, func(a, b Alternative) int { return strings.Compare(a.Note, b.Note) })
	return out[:min(len(out), maxAlternatives)]
}

// OrderEnded implements Scheduler.
func (p *Policy) OrderEnded(now time.Time, e OrderEnd) []Decision {
	p.beginEvent(now)
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
		o.view.raiseOrder = 0
		if e.Err == nil {
			o.view.raisedFence = o.view.lease.fence
		}
	}
	p.serveUpstream(now, o.view)
	return p.endEvent(now)
}

// unloadEnded starts the load for which the slot was freed. After an error it is not known
// whether the adapter is still loaded: the next report shows it.
func (p *Policy) unloadEnded(now time.Time, o openOrder, err error) {
	v := o.view
	o.slot.orderID = 0
	v.removeSlot(o.slot, now)
	if err != nil || !v.lease.ownedLocally() {
		delete(v.unloadedAt, o.slot.group)
		p.releaseLoad(now, o, o.nextLoad)
		p.reportLoadEnd(now, o.nextLoad, v, false)
		return
	}
	p.loadInto(now, o.nextLoad, v, o.remoteBudget, "slot_freed")
}

// releaseLoad ends a load's reservation of the engine, and releases its budget if this host
// took it.
func (p *Policy) releaseLoad(now time.Time, o openOrder, g *requestGroup) {
	o.view.loading = nil
	if !o.remoteBudget {
		p.budget.LoadEnded(now, g.model)
	}
}

func (p *Policy) loadEnded(now time.Time, o openOrder, err error) {
	s, v := o.slot, o.view
	g := s.group
	s.orderID = 0
	p.releaseLoad(now, o, g)
	if err == nil {
		p.loadTime.add(now.Sub(o.startedAt))
		p.reportLoadEnd(now, g, v, true)
		p.becomeResident(now, s)
		return
	}
	v.removeSlot(s, now)
	p.reportLoadEnd(now, g, v, false)
	switch {
	case errors.Is(err, upstream.ErrNoSlot):
		v.noSlotUntil = now.Add(noSlotBackoff)
	case !errors.Is(err, upstream.ErrFenced):
		p.backOff(now, g, v)
	}
}

// backOff delays further loads of a group on an upstream after a failed one; other upstreams
// are tried at once. After maxLoadFailures consecutive failures the waiting requests are
// refused.
func (p *Policy) backOff(now time.Time, g *requestGroup, v *upstreamView) {
	backoff := min(loadFailureBackoff<<min(g.failures, maxBackoffDoublings), maxFailureBackoff)
	g.failures++
	g.retryAt[v.record.Name] = now.Add(backoff)
	if g.failures < maxLoadFailures {
		return
	}
	for g.queue.Len() > 0 {
		err := apierr.New(apierr.AdapterUnavailable, "%d consecutive loads of the adapter failed", g.failures).
			WithRetryAfter(max(backoff, minRetryAfter))
		p.dropWaiting(now, g.queue.Head(now).Value, err, "load_failed")
	}
}
