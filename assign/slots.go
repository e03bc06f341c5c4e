package assign

import (
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// slotState is where an adapter stands on an engine.
type slotState uint8

const (
	// slotQueued adapters wait for their load order to be sent.
	slotQueued slotState = iota
	// slotLoading adapters are on their way.
	slotLoading
	slotResident
	// slotEvicting adapters are to be dropped.
	slotEvicting
)

// slot is one adapter on one engine.
type slot struct {
	upstream *upstream
	ref      catalog.AdapterRef
	version  int64
	state    slotState
	// claims counts the requests that run on the adapter or wait for it here.
	claims   int
	lastUsed time.Time
	// readyAt is when a load is expected to have ended, or the engine to be asked
	// again whether the adapter has left.
	readyAt time.Time
	// orderedAt is when the load was accepted.
	orderedAt time.Time
	// cold says that the load comes from the weight store.
	cold bool
	// leaving says that the engine has accepted an order to drop the adapter, which
	// it does once nothing runs on it.
	evictAccepted bool
	// leaveAt is when it accepted that.
	evictAcceptedAt time.Time
}

// What is assumed of loads. The times are those that the users' deployments state
// for an adapter; they order the ways to serve a request and say when to ask first
// whether a load has ended, and are not learned.
const (
	// coldLoad is a load from the weight store, warmLoad one of an adapter that
	// the engine held recently, a tenth of it.
	coldLoad = 260 * time.Millisecond
	warmLoad = 30 * time.Millisecond
	// maxPendingLoads is how many adapters may be on their way to an engine at once, by
	// the platform's protocol.
	maxPendingLoads = 4
	// maxWarm is how many recently held adapters an engine is taken to keep. It is
	// below what the users' engines keep, so that few are taken for warm in vain.
	maxWarm = 32
)

// loadTime estimates a load of an adapter.
func (u *upstream) loadTime(name string) time.Duration {
	if u.isWarm(name) {
		return warmLoad
	}
	return coldLoad
}

// isWarm reports whether the engine held an adapter recently, so that it loads
// fast.
func (u *upstream) isWarm(name string) bool {
	_, ok := u.warm[name]
	return ok
}

// addSlot notes an adapter on the engine.
func (u *upstream) addSlot(now time.Time, ref catalog.AdapterRef, state slotState) *slot {
	s := &slot{upstream: u, ref: ref, state: state, lastUsed: now}
	u.slots[ref.Adapter] = s
	u.adapterIndex.add(s)
	return s
}

// holdSlot returns the slot of an adapter, which is added as resident where
// there is none.
func (u *upstream) ensureSlot(now time.Time, ref catalog.AdapterRef) *slot {
	if s, ok := u.slots[ref.Adapter]; ok {
		return s
	}
	return u.addSlot(now, ref, slotResident)
}

// dropSlot notes that an adapter has left the engine.
func (u *upstream) removeSlot(now time.Time, s *slot) {
	if u.slots[s.ref.Adapter] == s {
		delete(u.slots, s.ref.Adapter)
		u.adapterIndex.remove(s)
		u.coldLoads.discard(s)
	}
	if s.state == slotEvicting || s.state == slotResident {
		u.markWarm(now, s.ref.Adapter)
	}
}

// keepWarm notes that the engine held an adapter recently. The one held longest
// ago gives way.
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

// trustEntry takes the adapters that the upstream's own entry lists.
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

// victim returns the idle adapter that is asked for least, nil where none is
// idle or may be dropped.
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

// hasIdle reports whether an adapter could be dropped.
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

// coming counts the adapters on their way or about to be.
func (u *upstream) pendingLoads() int {
	n := 0
	for _, s := range u.slots {
		if s.state == slotLoading || s.state == slotQueued {
			n++
		}
	}
	return n
}

// leave notes that the engine has accepted, once more, to drop the adapter.
func (s *slot) acceptEvict(now time.Time) {
	if !s.evictAccepted {
		s.evictAccepted, s.evictAcceptedAt = true, now
	}
	s.readyAt = now.Add(pollInterval)
	if now.Sub(s.evictAcceptedAt) > evictTimeout {
		s.readyAt = now.Add(slowEvictPollInterval)
	}
}

// leavingSoon counts the adapters whose places are about to be free.
func (u *upstream) recentEvicts(now time.Time) int {
	n := 0
	for _, s := range u.slots {
		if s.evictAccepted && now.Sub(s.evictAcceptedAt) <= evictTimeout {
			n++
		}
	}
	return n
}

// hasRoom reports whether another adapter may be loaded, if need be in place of
// an idle one.
func (a *Assigner) hasRoom(u *upstream) bool {
	if u.pendingLoads() >= maxPendingLoads {
		return false
	}
	return u.keptSlots() < u.engine.AdapterSlots || a.hasEvictable(u)
}

// endHold lets adapters be dropped, once all hosts have told what runs.
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
