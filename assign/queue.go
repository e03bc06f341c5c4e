package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
)

// Bounds of waiting.
const (
	// servedAtOnce is how many waiting requests are looked at after an event.
	servedAtOnce = 48
	// passEvery is how often all waiting requests are looked at.
	passEvery = 10 * time.Millisecond
	// patiencePart is the part of a request's time that it may wait here.
	patiencePart = 0.5
	// idlePatience is how long a request waits where no upstream may serve it
	// and none can be made to.
	idlePatience = 1200 * time.Millisecond
)

// serveWaiting gives waiting requests to upstreams that have room, those that
// can still be in time first, then by priority and arrival. All are looked at
// anew only every passEvery.
func (a *Assigner) serveWaiting(now time.Time) {
	if len(a.waiting) == 0 || now.Sub(a.passedAt) < passEvery {
		return
	}
	a.passedAt = now
	slices.SortStableFunc(a.waiting, func(x, y *entry) int {
		return cmp.Or(
			cmp.Compare(late(now, x), late(now, y)),
			cmp.Compare(x.request.Priority, y.request.Priority),
			x.request.Arrived.Compare(y.request.Arrived),
		)
	})
	kept := a.waiting[:0:0]
	for i, e := range a.waiting {
		if i >= servedAtOnce || !a.place(now, e) {
			kept = append(kept, e)
		}
	}
	a.waiting = kept
}

// serveOn gives waiting requests to an upstream that may have room now, in the
// order of the last look at all of them.
func (a *Assigner) serveOn(now time.Time, u *upstream) {
	if len(a.waiting) == 0 || !u.usable(now) {
		return
	}
	kept := a.waiting[:0:0]
	for i, e := range a.waiting {
		if i >= servedAtOnce || !a.placeOn(now, e, u) {
			kept = append(kept, e)
		}
	}
	a.waiting = kept
}

// placeOn gives a waiting request to an upstream that has its adapter and room.
func (a *Assigner) placeOn(now time.Time, e *entry, u *upstream) bool {
	if e.request.Service != u.service.name || !u.mayAsk(now, e.request.ID.Host) || slices.Contains(e.request.Avoid, u.record.ID) {
		return false
	}
	o, ok := a.option(now, u, e, true)
	if !ok || !o.grant || o.load {
		return false
	}
	a.give(now, e, o)
	return true
}

// late is 1 for a request whose first token cannot come in time any more.
func late(now time.Time, e *entry) int {
	if now.After(e.request.Target) {
		return 1
	}
	return 0
}

// giveUp refuses the requests that have waited as long as is of use.
func (a *Assigner) giveUp(now time.Time) {
	kept := a.waiting[:0:0]
	for _, e := range a.waiting {
		if now.Before(e.giveUpAt(a)) {
			kept = append(kept, e)
			continue
		}
		a.refund(now, e)
		a.detach(e)
		delete(a.requests, e.request.ID)
		a.refuse(e, apierr.QueueFull, a.returnIn(a.service(e.request.Service), now, e.request.ID.Host), "waited")
	}
	a.waiting = kept
}

func (e *entry) giveUpAt(a *Assigner) time.Time {
	patience := time.Duration(patiencePart * float64(e.request.Deadline.Sub(e.request.Arrived)))
	if !a.options.Orders {
		patience = min(patience, idlePatience)
	}
	return e.request.Arrived.Add(patience)
}

// hopeless reports whether a new request that found no room would wait in vain.
func (a *Assigner) hopeless(now time.Time, e *entry) (string, bool) {
	s := a.service(e.request.Service)
	if !slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return !u.draining() }) {
		return "no_upstream", true
	}
	if now.Add(a.drainTime(s, now, e.request.ID.Host)).After(e.giveUpAt(a)) {
		return "queue_full", true
	}
	return "", false
}

func (a *Assigner) anyUsable(now time.Time, s *service) bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.usable(now) })
}

// drainTime is the expected time until a service has read the prompts of all
// requests that wait for it, or may be asked again by the host.
func (a *Assigner) drainTime(s *service, now time.Time, host string) time.Duration {
	tokens, rate := 0, 0.0
	for _, e := range a.waiting {
		if e.request.Service == s.name {
			tokens += e.request.PromptTokens
		}
	}
	for _, u := range s.upstreams {
		if u.usable(now) && u.mayAsk(now, host) {
			rate += 1 / float64(u.prefill)
		}
	}
	if rate == 0 {
		return s.returnsIn(now, host)
	}
	return time.Duration(float64(tokens) / rate)
}

// returnsIn is the time until a host may try one of a service's upstreams again.
func (s *service) returnsIn(now time.Time, host string) time.Duration {
	soonest, remains := mostKnownReturn, false
	for _, u := range s.upstreams {
		if !u.draining() {
			remains = true
			soonest = min(soonest, max(u.fullUntil.Sub(now), u.pausedUntil.Sub(now), u.backOff[host].Sub(now), 0))
		}
	}
	if !remains {
		return mostReturn // others may start at any time
	}
	return soonest
}
