package assign

import (
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

const (
	// hotCopyLoad is the fraction of an engine's time from which an adapter whose copies use it gets another copy. Above
	// it, in a trial with 36 adapters on 12 engines, requests for hot adapters waited for one another; below it, loads
	// doubled and times to first token hardly fell.
	hotCopyLoad = 0.2
	// copyWindowFraction is the fraction of the window for cold loads that copies of held adapters may use. Requests that
	// wait for their adapter go first.
	copyWindowFraction = 0.5
	// minVictimRatio is the ratio of the demand per copy of an adapter to that of the adapter that another copy of it would
	// evict. Below it, adapters would evict one another in turn.
	minVictimRatio = 4
)

// recordCopyLoad counts the prefill time of a request that was assigned to a copy of an adapter.
func (s *slot) recordCopyLoad(now time.Time, prefill time.Duration) {
	s.load.halfLife = prefillHalfLife
	s.load.add(now, prefill.Seconds())
}

// copyHotAdapter loads another copy of an adapter whose copies use more than hotCopyLoad of their engines' time, before
// requests queue for it. Waiting for the queue would cost its requests the time of the load.
func (a *Assigner) copyHotAdapter(now time.Time, s *service, e *requestState) {
	ref := e.request.Adapter
	if ref.Adapter == "" || !a.options.SendsOrders || !s.ranked(&a.options) {
		return
	}
	load, copies := 0.0, 0
	holders, total := a.copiesOf(s, ref)
	for _, held := range holders {
		switch {
		case held.upstream.service != s:
		case held.state == slotQueued || held.state == slotLoading:
			return // one at a time, since the load on each falls with the number of copies
		case held.state == slotResident && held.upstream.usable(now) && a.isCurrent(held):
			load += held.load.rate(now)
			copies++
		}
	}
	if copies == 0 || load < hotCopyLoad*float64(copies) {
		return
	}
	if u := a.bestForCopy(now, s, e, copies*total/len(holders)); u != nil {
		a.startLoad(now, u, ref)
	}
}

// copiesOf returns the slots of an adapter, of a widely held one a sample that includes the slot that was added last, and
// the number of all its slots.
func (a *Assigner) copiesOf(s *service, ref catalog.AdapterRef) (slots []*slot, total int) {
	wide, ok := a.adapterIndex.wide[serviceAdapter{s, ref}]
	if !ok {
		slots = a.adapterIndex.slots[ref]
		return slots, len(slots)
	}
	slots = a.sampleSlots(wide.slots)
	if wide.lastAdded != nil {
		slots[0] = wide.lastAdded
	}
	return slots, len(wide.slots)
}

// bestForCopy returns the engine on which a further copy of a request's adapter would serve requests first, nil if none
// has room for it.
func (a *Assigner) bestForCopy(now time.Time, s *service, e *requestState, copies int) *upstream {
	ref := e.request.Adapter
	work := time.Duration(typicalPromptTokens) * assumedPrefillPerToken
	var best *upstream
	var bestCost time.Duration
	for _, u := range a.candidates(s, e) {
		if _, held := u.slots[ref.Adapter]; held || !u.usable(now) || !u.models[ref.Model] || !u.orders.sequenceKnown {
			continue
		}
		if !a.hasRoomForCopy(now, u, ref, copies) {
			continue
		}
		cost := u.timeFor(now, u.remainingPrefill(now)+work) + u.loadTime(ref.Adapter) + time.Duration(u.pendingLoads())*warmLoad
		if best == nil || cost < bestCost || (cost == bestCost && u.record.ID < best.record.ID) {
			best, bestCost = u, cost
		}
	}
	return best
}

// hasRoomForCopy reports whether a load from the weight store may start that no request waits for.
func (c *coldLoadLimiter) hasRoomForCopy() bool {
	return float64(len(c.inFlight)) < copyWindowFraction*c.limit()
}

// hasRoomForCopy reports whether an engine may load a further copy of an adapter, if necessary by evicting one with far
// less demand.
func (a *Assigner) hasRoomForCopy(now time.Time, u *upstream, ref catalog.AdapterRef, copies int) bool {
	if !a.hasRoom(u) || (!u.isWarm(ref.Adapter) && !a.coldLoads.hasRoomForCopy()) {
		return false
	}
	if u.keptSlots() < u.engine.AdapterSlots {
		return true
	}
	victim := a.victim(now, u)
	victimDemand := a.demandOf(now, victim.ref) / float64(max(len(a.adapterIndex.slots[victim.ref]), 1))
	return a.demandOf(now, ref)/float64(copies) >= minVictimRatio*victimDemand
}
