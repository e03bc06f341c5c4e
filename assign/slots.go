package assign

import (
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// slotState is the state of an adapter on an engine.
type slotState uint8

const (
	// slotQueued means that the load order has not been sent yet.
	slotQueued slotState = iota
	// slotLoading means that the engine is loading the adapter.
	slotLoading
	slotResident
	// slotEvicting means that the adapter is to be evicted.
	slotEvicting
)

// slot is one adapter on one engine.
type slot struct {
	upstream *upstream
	ref      catalog.AdapterRef
	version  int64
	state    slotState
	// zone is the availability zone under which adapterIndex lists the slot, if its adapter is widely held.
	zone string
	// claims counts the requests that run on the adapter or are queued for it on this engine.
	claims   int
	lastUsed time.Time
	// load is the fraction of the engine's time that requests for the adapter use, if requests are assigned by work.
	load decayingRate
	// readyAt is the time at which a load is expected to have ended, or at which the engine is polled again for the
	// end of an eviction.
	readyAt time.Time
	// orderedAt is the time at which the engine accepted the load.
	orderedAt time.Time
	// cold is true if the adapter is loaded from the weight store.
	cold bool
	// evictAccepted is true if the engine has accepted an order to drop the adapter. The engine drops the adapter
	// once no request uses it.
	evictAccepted bool
	// evictAcceptedAt is the time at which the engine first accepted that order.
	evictAcceptedAt time.Time
	// evictsUsed is true while the adapter, which was in use, makes way for a more urgent request.
	evictsUsed bool
}

// Assumptions about loads. The times are those that users' deployments state for an adapter. They rank the ways to
// serve a request and set the time of the first poll for the end of a load; they are not learned.
const (
	// coldLoad is the duration of a load from the weight store. warmLoad is the duration for an adapter that the
	// engine held recently, about a tenth of coldLoad.
	coldLoad = 260 * time.Millisecond
	warmLoad = 30 * time.Millisecond
	// maxPendingLoads is the number of adapters that an engine may be loading at once, as set by the platform's
	// protocol.
	maxPendingLoads = 4
	// maxWarm is the number of recently held adapters that an engine is assumed to keep. It is below the number
	// that users' engines keep, so that few adapters are wrongly assumed to be warm.
	maxWarm = 32
)

// loadTime returns the expected duration of a load of an adapter.
func (u *upstream) loadTime(name string) time.Duration {
	if u.isWarm(name) {
		return warmLoad
	}
	return coldLoad
}

// isWarm reports whether the engine held an adapter recently, so that it loads fast.
func (u *upstream) isWarm(name string) bool {
	_, ok := u.warm[name]
	return ok
}

// addSlot adds an adapter to the engine's slots.
func (u *upstream) addSlot(now time.Time, ref catalog.AdapterRef, state slotState) *slot {
	s := &slot{upstream: u, ref: ref, state: state, lastUsed: now}
	u.slots[ref.Adapter] = s
	u.adapterIndex.add(s)
	return s
}

// ensureSlot returns the slot of an adapter and adds a resident one if there is none.
func (u *upstream) ensureSlot(now time.Time, ref catalog.AdapterRef) *slot {
	if s, ok := u.slots[ref.Adapter]; ok {
		return s
	}
	return u.addSlot(now, ref, slotResident)
}

// removeSlot records that an adapter is no longer on the engine.
func (u *upstream) removeSlot(now time.Time, s *slot) {
	if u.slots[s.ref.Adapter] == s {
		delete(u.slots, s.ref.Adapter)
		u.adapterIndex.remove(s)
		u.coldLoads.discard(s)
		u.evictedUsed(s)
	}
	if s.state == slotEvicting || s.state == slotResident {
		u.markWarm(now, s.ref.Adapter)
	}
}

// markWarm records that the engine held an adapter recently. Above maxWarm, the adapter that was held longest ago
// is dropped.
func (u *upstream) markWarm(now time.Time, name string) {
	u.warm[name] = now
	if len(u.warm) <= maxWarm {
		return
	}
	oldest := name
	for other, at := range u.warm {
		if at.Before(u.warm[oldest]) {
			oldest = other
		}
	}
	delete(u.warm, oldest)
}

// syncFromRecord updates the slots and models to match the upstream's own record.
func (u *upstream) syncFromRecord(now time.Time) {
	if u.engine == nil {
		return
	}
	clear(u.models)
	listed := map[string]bool{}
	for _, l := range u.record.Loaded {
		u.models[l.Model] = true
		for _, a := range l.Adapters {
			listed[a.Name] = true
			s := u.ensureSlot(now, catalog.AdapterRef{Model: l.Model, Adapter: a.Name})
			s.version = a.Version
		}
	}
	for name, s := range u.slots {
		if !listed[name] && s.claims == 0 {
			u.removeSlot(now, s)
		}
	}
}

// victim returns the idle adapter with the lowest demand per copy, nil if none is idle or evictions are held.
func (a *Assigner) victim(now time.Time, u *upstream) *slot {
	if a.evictionsHeld {
		return nil
	}
	var least *slot
	var leastDemand float64
	for _, s := range u.slots {
		if s.state != slotResident || s.claims > 0 {
			continue
		}
		demand := a.demandOf(now, s.ref) / float64(max(len(a.adapterIndex.slots[s.ref]), 1))
		if least == nil || demand < leastDemand || (demand == leastDemand && s.ref.Adapter < least.ref.Adapter) {
			least, leastDemand = s, demand
		}
	}
	return least
}

const (
	// evictUsedAfter is the time for which a request must have waited, and no load have begun in its service, before an
	// adapter in use makes way for it. While slots become free by themselves, an adapter that is being evicted costs more
	// than it gains.
	evictUsedAfter = 250 * time.Millisecond
	// maxEvictingUsed is the fraction of a service's slots that may be making way for urgent requests at once, one slot at
	// least. An adapter that is being evicted serves nobody: with 250 urgent requests without a slot and no bound, callers
	// of 60 engines with 5 slots each were served much worse.
	maxEvictingUsed = 0.05
)

// lessUrgentSlot returns an adapter on an engine without room that makes way for a queued request of a ranked service,
// since all requests that use it or wait for it are of less urgent ranks; of several, the one whose requests are expected
// to end first, and the time until then. It returns nil if there is none.
func (a *Assigner) lessUrgentSlot(now time.Time, u *upstream, e *requestState) (*slot, time.Duration) {
	if e.waiting == nil || a.evictionsHeld || now.Sub(e.submittedAt) < evictUsedAfter ||
		now.Sub(u.service.lastLoadAt) < evictUsedAfter || u.pendingLoads() >= maxPendingLoads || !u.mayEvictUsed() {
		return nil, 0
	}
	rank := e.waiting.CurrentRank()
	ends, urgent := a.slotEnds(now, u, rank)
	var first *slot
	for _, s := range u.slots {
		if s.state != slotResident || urgent[s] || !a.keptByLessUrgent(u, s, rank) {
			continue
		}
		if first == nil || ends[s] < ends[first] || (ends[s] == ends[first] && s.ref.Adapter < first.ref.Adapter) {
			first = s
		}
	}
	return first, ends[first]
}

// slotEnds returns the expected time until the requests that run on each slot of an engine end, and the slots that
// requests of the given rank or more urgent ones use.
func (a *Assigner) slotEnds(now time.Time, u *upstream, rank int) (ends map[*slot]time.Duration, urgent map[*slot]bool) {
	ends, urgent = map[*slot]time.Duration{}, map[*slot]bool{}
	for _, e := range u.running {
		if e.slot != nil {
			ends[e.slot] = max(ends[e.slot], a.expectedEnd(now, u, e))
			urgent[e.slot] = urgent[e.slot] || e.request.Rank() <= rank
		}
	}
	return ends, urgent
}

// mayEvictUsed reports whether another adapter in use may make way on an engine: one on each at once, and
// maxEvictingUsed of the slots of the service.
func (u *upstream) mayEvictUsed() bool {
	limit := max(int(maxEvictingUsed*float64(u.engine.AdapterSlots*len(u.service.upstreams))), 1)
	if u.service.evictingUsed >= limit {
		return false
	}
	for _, s := range u.slots {
		if s.evictsUsed {
			return false
		}
	}
	return true
}

// evictUsed has an adapter in use make way for a more urgent request.
func (u *upstream) evictUsed(s *slot) {
	s.state, s.evictsUsed = slotEvicting, true
	u.service.evictingUsed++
}

// evictedUsed records that a slot no longer makes way: it has become free, or its engine is gone.
func (u *upstream) evictedUsed(s *slot) {
	if s.evictsUsed {
		s.evictsUsed = false
		u.service.evictingUsed--
	}
}

// expectedEnd returns the expected time until a request that runs on an engine ends.
func (a *Assigner) expectedEnd(now time.Time, u *upstream, e *requestState) time.Duration {
	total := u.timeFor(now, u.prefillWork(e.prefillAhead+e.prefillTokens)) + time.Duration(a.expectedTokensOf(e))*u.tokenTime(now)
	return max(total-now.Sub(e.grantedAt), fractionOf(total, minRemainingFraction))
}

// keptByLessUrgent reports whether waiting requests of less urgent ranks than the given one would keep an adapter in its
// slot. Without them, the slot becomes free by itself once its requests have ended.
func (a *Assigner) keptByLessUrgent(u *upstream, s *slot, rank int) bool {
	q, ok := a.queues.byKey[queueKey{u.record.Service, s.ref}]
	return ok && q.ordered != nil && q.ordered.FirstRank() > rank
}

// hasEvictable reports whether an adapter may be evicted.
func (a *Assigner) hasEvictable(u *upstream) bool {
	if a.evictionsHeld {
		return false
	}
	for _, s := range u.slots {
		if s.state == slotResident && s.claims == 0 {
			return true
		}
	}
	return false
}

// pendingLoads counts the adapters that are being loaded or queued for loading.
func (u *upstream) pendingLoads() int {
	n := 0
	for _, s := range u.slots {
		if s.state == slotLoading || s.state == slotQueued {
			n++
		}
	}
	return n
}

// acceptEvict records that the engine has accepted the order to drop the adapter, for the first time or again.
func (s *slot) acceptEvict(now time.Time) {
	if !s.evictAccepted {
		s.evictAccepted, s.evictAcceptedAt = true, now
	}
	s.readyAt = now.Add(pollInterval)
	if now.Sub(s.evictAcceptedAt) > evictTimeout {
		s.readyAt = now.Add(slowEvictPollInterval)
	}
}

// recentEvicts counts the adapters whose slots are expected to become free soon.
func (u *upstream) recentEvicts(now time.Time) int {
	n := 0
	for _, s := range u.slots {
		if s.evictAccepted && now.Sub(s.evictAcceptedAt) <= evictTimeout {
			n++
		}
	}
	return n
}

// hasRoom reports whether another adapter may be loaded, if necessary by evicting an idle one.
func (a *Assigner) hasRoom(u *upstream) bool {
	if u.pendingLoads() >= maxPendingLoads {
		return false
	}
	return u.keptSlots() < u.engine.AdapterSlots || a.hasEvictable(u)
}

// allowEvictions ends the hold on evictions, once all hosts have reported their running requests.
func (a *Assigner) allowEvictions(now time.Time) {
	if !a.evictionsHeld {
		return
	}
	a.evictionsHeld = false
	a.retireOldVersions(now)
	for _, u := range a.upstreams {
		a.sendNext(now, u)
	}
	a.serveWaiting(now)
}
