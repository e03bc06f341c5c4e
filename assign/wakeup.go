package assign

import (
	"container/heap"
	"time"
)

// sweepInterval is the interval at which every engine is checked, whether its wake-up is due or not. It bounds the
// delay caused by a missed wake-up.
const sweepInterval = 250 * time.Millisecond

// NextWakeup returns the latest time at which the next Tick is due, and false if nothing depends on time.
func (a *Assigner) NextWakeup(now time.Time) (time.Time, bool) {
	a.updateWakeups(now)
	w := earliestTime{}
	if a.queues.count > 0 {
		w.include(a.lastPassAt.Add(passInterval))
	}
	if a.evictionsHeld {
		w.include(a.options.HoldEvictions)
	}
	if len(a.wakeups) > 0 {
		w.include(a.wakeups[0].wakeAt)
	}
	if a.options.SendsOrders && len(a.upstreams) > 0 {
		w.include(a.lastSweepAt.Add(sweepInterval))
	}
	return w.due, w.set
}

// earliestTime is the earliest of the included times.
type earliestTime struct {
	due time.Time
	set bool
}

func (w *earliestTime) include(t time.Time) {
	if !w.set || t.Before(w.due) {
		w.due, w.set = t, true
	}
}

// invalidateWakeup records that an upstream's wake-up time may have changed.
func (a *Assigner) invalidateWakeup(u *upstream) {
	if !u.wakeupStale {
		u.wakeupStale = true
		a.staleWakeups = append(a.staleWakeups, u)
	}
}

// updateWakeups recomputes the wake-ups of the upstreams in staleWakeups.
func (a *Assigner) updateWakeups(now time.Time) {
	for _, u := range a.staleWakeups {
		u.wakeupStale = false
		w := earliestTime{}
		if a.upstreams[u.record.ID] == u {
			a.addWakeupTimes(now, u, &w)
		}
		switch {
		case w.set && u.wakeupIndex > 0:
			u.wakeAt = w.due
			heap.Fix(&a.wakeups, u.wakeupIndex-1)
		case w.set:
			u.wakeAt = w.due
			heap.Push(&a.wakeups, u)
		case u.wakeupIndex > 0:
			heap.Remove(&a.wakeups, u.wakeupIndex-1)
		}
	}
	a.staleWakeups = a.staleWakeups[:0]
}

// runDueWakeups checks the orders of the upstreams whose wake-up is due.
func (a *Assigner) runDueWakeups(now time.Time) {
	if a.options.SendsOrders && now.Sub(a.lastSweepAt) >= sweepInterval {
		a.lastSweepAt = now
		for _, u := range a.upstreams {
			a.checkOrders(now, u)
		}
	}
	a.updateWakeups(now)
	for len(a.wakeups) > 0 && !a.wakeups[0].wakeAt.After(now) {
		u := a.wakeups[0]
		heap.Remove(&a.wakeups, 0)
		a.checkOrders(now, u)
		a.invalidateWakeup(u) // the next call of Assigner.NextWakeup computes its next wake-up
	}
}

// addWakeupTimes includes the times at which an upstream has to be checked.
func (a *Assigner) addWakeupTimes(now time.Time, u *upstream, w *earliestTime) {
	if u.engine == nil || !a.options.SendsOrders {
		return
	}
	o := &u.orders
	if o.inFlight != 0 {
		w.include(o.sentAt.Add(orderTimeout + time.Millisecond))
		return
	}
	if o.reportRequested {
		w.include(o.reportDeadline)
		return
	}
	after := func(t time.Time) {
		if earliest := u.nextOrderAt(now); t.Before(earliest) {
			t = earliest
		}
		w.include(t)
	}
	if !o.sequenceKnown || o.notBefore.After(now) {
		after(o.notBefore)
	}
	if len(u.models) == 0 && !u.draining() {
		if o.loadingModel != "" {
			after(o.modelPollAt)
		} else {
			after(u.service.nextModelLoadAt)
		}
	}
	for _, s := range u.slots {
		if s.state == slotLoading || s.evictAccepted {
			after(s.readyAt)
		}
	}
}

// wakeupHeap is a heap of upstreams, ordered by their next wake-up.
type wakeupHeap []*upstream

// Len implements heap.Interface.
func (h wakeupHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h wakeupHeap) Less(i, j int) bool { return h[i].wakeAt.Before(h[j].wakeAt) }

// Swap implements heap.Interface.
func (h wakeupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].wakeupIndex, h[j].wakeupIndex = i+1, j+1
}

// Push implements heap.Interface.
func (h *wakeupHeap) Push(x any) {
	u := x.(*upstream) //nolint:errcheck,forcetypeassert // only updateWakeups pushes
	*h = append(*h, u)
	u.wakeupIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *wakeupHeap) Pop() any {
	last := len(*h) - 1
	u := (*h)[last]
	*h = (*h)[:last]
	u.wakeupIndex = 0
	return u
}
