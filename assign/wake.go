package assign

import (
	"container/heap"
	"time"
)

// sweepEvery is how often every engine is looked at, whether its time has come or
// not. It bounds how long one is left alone whose alarm was missed.
const sweepEvery = 250 * time.Millisecond

// NextWakeup returns when a Tick is due at the latest, and false where nothing waits
// for time to pass.
func (a *Assigner) NextWakeup(now time.Time) (time.Time, bool) {
	a.setAlarms(now)
	w := wake{}
	if a.queues.count > 0 {
		w.at(a.passedAt.Add(passEvery))
	}
	if a.holding {
		w.at(a.options.HoldEvictions)
	}
	if len(a.alarms) > 0 {
		w.at(a.alarms[0].wakeAt)
	}
	if a.options.SendsOrders && len(a.upstreams) > 0 {
		w.at(a.sweptAt.Add(sweepEvery))
	}
	return w.due, w.set
}

// wake is the earliest of several times.
type wake struct {
	due time.Time
	set bool
}

func (w *wake) at(t time.Time) {
	if !w.set || t.Before(w.due) {
		w.due, w.set = t, true
	}
}

// touch notes that an upstream's alarm may have changed.
func (a *Assigner) touch(u *upstream) {
	if !u.touched {
		u.touched = true
		a.touched = append(a.touched, u)
	}
}

// setAlarms brings the alarms of the upstreams that were touched up to date.
func (a *Assigner) setAlarms(now time.Time) {
	for _, u := range a.touched {
		u.touched = false
		w := wake{}
		if a.upstreams[u.record.ID] == u {
			a.wakeFor(now, u, &w)
		}
		switch {
		case w.set && u.alarm > 0:
			u.wakeAt = w.due
			heap.Fix(&a.alarms, u.alarm-1)
		case w.set:
			u.wakeAt = w.due
			heap.Push(&a.alarms, u)
		case u.alarm > 0:
			heap.Remove(&a.alarms, u.alarm-1)
		}
	}
	a.touched = a.touched[:0]
}

// followDue takes up the orders of the upstreams whose alarm is due.
func (a *Assigner) followDue(now time.Time) {
	if a.options.SendsOrders && now.Sub(a.sweptAt) >= sweepEvery {
		a.sweptAt = now
		for _, u := range a.upstreams {
			a.followOrders(now, u)
		}
	}
	a.setAlarms(now)
	for len(a.alarms) > 0 && !a.alarms[0].wakeAt.After(now) {
		u := a.alarms[0]
		heap.Remove(&a.alarms, 0)
		a.followOrders(now, u)
		a.touch(u) // its next alarm is set with the next Wake
	}
}

// wakeFor adds when an upstream is to be looked at again.
func (a *Assigner) wakeFor(now time.Time, u *upstream, w *wake) {
	if u.engine == nil || !a.options.SendsOrders {
		return
	}
	o := &u.orders
	if o.inFlight != 0 {
		w.at(o.sentAt.Add(orderPatience + time.Millisecond))
		return
	}
	if o.reading {
		w.at(o.readAt)
		return
	}
	after := func(t time.Time) {
		if t.Before(o.waitUntil) {
			t = o.waitUntil
		}
		w.at(t)
	}
	if !o.known || o.waitUntil.After(now) {
		after(o.waitUntil)
	}
	if len(u.models) == 0 && !u.draining() {
		if o.model != "" {
			after(o.modelPoll)
		} else {
			after(u.service.nextModelLoad)
		}
	}
	for _, s := range u.slots {
		if s.state == slotComing || s.leaving {
			after(s.readyAt)
		}
	}
}

// alarms is a heap of upstreams by when they are to be looked at again.
type alarms []*upstream

// Len implements heap.Interface.
func (h alarms) Len() int { return len(h) }

// Less implements heap.Interface.
func (h alarms) Less(i, j int) bool { return h[i].wakeAt.Before(h[j].wakeAt) }

// Swap implements heap.Interface.
func (h alarms) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].alarm, h[j].alarm = i+1, j+1
}

// Push implements heap.Interface.
func (h *alarms) Push(x any) {
	u := x.(*upstream) //nolint:errcheck,forcetypeassert // only setAlarms pushes
	*h = append(*h, u)
	u.alarm = len(*h)
}

// Pop implements heap.Interface.
func (h *alarms) Pop() any {
	last := len(*h) - 1
	u := (*h)[last]
	*h = (*h)[:last]
	u.alarm = 0
	return u
}
