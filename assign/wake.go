package assign

import "time"

// Wake returns when a Tick is due at the latest, and false where nothing waits
// for time to pass.
func (a *Assigner) Wake(now time.Time) (time.Time, bool) {
	w := wake{now: now}
	if len(a.waiting) > 0 {
		w.at(a.passedAt.Add(passEvery))
	}
	if a.holding {
		w.at(a.options.HoldEvictions)
	}
	for _, u := range a.upstreams {
		a.wakeFor(u, &w)
	}
	return w.due, w.set
}

// wake is the earliest of several times.
type wake struct {
	now time.Time
	due time.Time
	set bool
}

func (w *wake) at(t time.Time) {
	if !w.set || t.Before(w.due) {
		w.due, w.set = t, true
	}
}

// wakeFor adds when an upstream is to be looked at again.
func (a *Assigner) wakeFor(u *upstream, w *wake) {
	if len(a.waiting) > 0 && u.pausedUntil.After(w.now) {
		w.at(u.pausedUntil)
	}
	if u.engine == nil || !a.options.Orders {
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
	if !o.known || o.waitUntil.After(w.now) {
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
