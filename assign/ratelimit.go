package assign

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/throttle"
)

// UpstreamRate is the rule for refusals of requests that no upstream can take in time because of the rate limits
// that the upstreams state.
const UpstreamRate = "upstream_rate"

// queueCheckInterval is the interval at which queued requests are checked against the rate limits of upstreams.
const queueCheckInterval = 50 * time.Millisecond

// orderTokens is the number of requests of an upstream's limit that an order to it uses up, before the next order:
// the order itself and one request, so that orders leave half of the limit to requests.
const orderTokens = 2

// loadOnIdleAfter is the time without a request or an order after which a rate-limited engine is ordered to load an
// adapter that is in use.
const loadOnIdleAfter = 10 * time.Second

// minOrderRate bounds the delay between orders, in requests per second.
const minOrderRate = 0.01

// updateRateLimit applies an upstream's limit. The limiter outlives the upstream's entry in the store's list, which
// may disappear for a while.
func (a *Assigner) updateRateLimit(now time.Time, ev RateLimitUpdated) {
	l, ok := a.rateLimiters[ev.Upstream]
	if !ok {
		l = throttle.NewLimiter(now, ev.Limit, ev.Share)
		a.rateLimiters[ev.Upstream] = l
	}
	l.Update(now, ev.Limit, ev.Share)
	if u := a.incarnation(ev.Upstream); u != nil {
		u.rateLimit = l
		u.capacityChanged()
		a.invalidateWakeup(u)
	}
	a.serveWaiting(now)
}

func (a *Assigner) endRateLimit(now time.Time, key throttle.Incarnation) {
	delete(a.rateLimiters, key)
	if u := a.incarnation(key); u != nil {
		u.rateLimit = nil
		a.invalidateWakeup(u)
	}
	a.serveWaiting(now)
}

// incarnation returns an upstream if that incarnation of it is listed, else nil.
func (a *Assigner) incarnation(key throttle.Incarnation) *upstream {
	if u, ok := a.upstreams[key.ID]; ok && u.record.StartedAt == key.StartedAt {
		return u
	}
	return nil
}

// TakePermit counts a request that another Assigner has assigned to an upstream against the upstream's rate limit,
// and reports whether the limit allows it. If not, it returns the time until it does.
func (a *Assigner) TakePermit(now time.Time, key throttle.Incarnation) (time.Duration, bool) {
	l := a.rateLimiters[key]
	if wait := l.Wait(now, 1); wait > 0 {
		return wait, false
	}
	l.Take(now)
	return 0, true
}

// nextOrderAt returns the earliest time at which the engine may be sent the next order.
func (u *upstream) nextOrderAt(now time.Time) time.Time {
	at := u.orders.notBefore
	if u.rateLimit == nil {
		return at
	}
	for _, t := range []time.Time{u.orders.pacedUntil, now.Add(u.rateLimit.Wait(now, 1))} {
		if t.After(at) {
			at = t
		}
	}
	return at
}

// orderDelay returns the time for which an order to the engine delays the next one.
func (u *upstream) orderDelay(now time.Time) time.Duration {
	if u.rateLimit == nil {
		return 0
	}
	return min(time.Duration(orderTokens/max(u.rateLimit.Rate(now), minOrderRate)*float64(time.Second)), maxKnownRetryAfter)
}

// rateLimited reports whether some upstream of the service states a rate limit.
func (s *service) rateLimited() bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.rateLimit != nil })
}

// fleetRate returns the number of requests per second that the service's upstreams accept, and their combined
// state. It returns false if some upstream is available that states no limit.
func (s *service) fleetRate(now time.Time) (perSecond float64, state throttle.State, limited bool) {
	for _, u := range s.upstreams {
		if u.draining() || now.Before(u.pausedUntil) {
			continue
		}
		if u.rateLimit == nil {
			return 0, throttle.State{}, false
		}
		own := u.rateLimit.State(now)
		perSecond += u.rateLimit.Rate(now)
		state.PerSecond += own.PerSecond
		state.Share = max(state.Share, own.Share)
		state.Age = max(state.Age, own.Age)
		state.Limited = true
	}
	return perSecond, state, state.Limited
}

// rateWait returns the time until the rate limits of a service's upstreams let a request through that so many
// others go before, at most maxKnownRetryAfter. It is 0 if an upstream without a limit is available.
func (s *service) rateWait(now time.Time, ahead int) time.Duration {
	if _, _, limited := s.fleetRate(now); !limited {
		return 0
	}
	admitted := func(after time.Duration) int {
		n := 0
		for _, u := range s.upstreams {
			if !u.draining() && !now.Before(u.pausedUntil) {
				n += u.rateLimit.Admits(now, after)
			}
		}
		return n
	}
	return time.Duration(sort.Search(int(maxKnownRetryAfter/rateWaitStep), func(steps int) bool {
		return admitted(time.Duration(steps)*rateWaitStep) > ahead
	})) * rateWaitStep
}

// rateWaitStep is the precision of rateWait.
const rateWaitStep = 10 * time.Millisecond

// queuedBefore counts the queued requests of a service that go before a request under the rate limits of the service's
// upstreams, all of them if e is nil. Requests that wait for their adapter to be loaded are left out.
func (a *Assigner) queuedBefore(now time.Time, s *service, e *requestState) int {
	n := 0
	a.queues.each(func(other *requestState) {
		if other != e && other.request.Service == s.name && a.heldAdapter(s, other) && (e == nil || compareWaiting(now, other, e) < 0) {
			n++
		}
	})
	return n
}

// heldAdapter reports whether an upstream of the service holds the adapter of a request.
func (a *Assigner) heldAdapter(s *service, e *requestState) bool {
	return e.request.Adapter.Adapter == "" || slices.ContainsFunc(a.adapterIndex.slots[e.request.Adapter], func(held *slot) bool {
		return held.upstream.service == s && held.state == slotResident
	})
}

// exhaustedHolder returns the slot of a request's adapter on an engine that could serve the request but for its rate
// limit, nil if there is none. A claim on it keeps the adapter from being evicted before the limit lets the request
// through.
func (a *Assigner) exhaustedHolder(now time.Time, s *service, e *requestState) *slot {
	for _, held := range a.adapterIndex.slots[e.request.Adapter] {
		u := held.upstream
		if u.service == s && held.state == slotResident && a.isCurrent(held) && !u.draining() && u.rateLimit.Exhausted(now) {
			return held
		}
	}
	return nil
}

// loadOnIdle has a rate-limited engine that has long been idle load an adapter that is in use on another engine.
// Requests for it then find out whether the limit still holds.
func (a *Assigner) loadOnIdle(now time.Time, s *service, ref catalog.AdapterRef) {
	if len(a.rateLimiters) == 0 || ref.Adapter == "" || !a.options.SendsOrders {
		return
	}
	for _, u := range s.upstreams {
		_, held := u.slots[ref.Adapter]
		if u.rateLimit.Idle(now) >= loadOnIdleAfter && !held && u.usable(now) && u.models[ref.Model] && u.orders.sequenceKnown && a.hasRoom(u) {
			a.startLoad(now, u, ref)
			return
		}
	}
}

// takeTurn lets a new request compete with the queued ones for what the rate limits of the service's upstreams
// allow, so that it does not overtake more urgent ones. It reports whether the request was assigned.
func (a *Assigner) takeTurn(now time.Time, s *service, e *requestState) bool {
	if a.queues.count == 0 || len(a.rateLimiters) == 0 || !s.rateLimited() {
		return false
	}
	a.enqueue(now, e)
	e.queue.sort(now)
	for _, u := range s.upstreams {
		if u.rateLimit != nil {
			a.serveOn(now, u)
		}
	}
	if e.upstream != nil {
		return true
	}
	a.queues.remove(e)
	return false
}

// refuseUnservable refuses the queued requests that the rate limits of their service's upstreams do not let through
// in time any more, because more urgent ones have arrived or a limit has changed.
func (a *Assigner) refuseUnservable(now time.Time) {
	if a.queues.unranked == 0 || len(a.rateLimiters) == 0 || now.Sub(a.lastQueueCheck) < queueCheckInterval {
		return
	}
	a.lastQueueCheck = now
	queued := map[string][]*requestState{}
	a.queues.each(func(e *requestState) {
		if e.waiting == nil {
			queued[e.request.Service] = append(queued[e.request.Service], e)
		}
	})
	for name, waiting := range queued {
		s := a.service(name)
		if _, _, limited := s.fleetRate(now); !limited {
			continue
		}
		slices.SortFunc(waiting, func(x, y *requestState) int { return compareWaiting(now, x, y) })
		ahead := 0
		for _, e := range waiting {
			if !a.heldAdapter(s, e) {
				continue
			}
			if now.Add(s.rateWait(now, ahead)).Before(e.queueDeadline(a)) {
				ahead++
				continue
			}
			a.refund(now, e)
			a.removeRequest(now, e)
			a.refuse(now, e, apierr.QueueFull, a.retryAfter(now, e), UpstreamRate)
		}
	}
}

// rateRetryAfter returns the time after which a refused caller may return to a service whose upstreams all state rate
// limits. Callers that can return before their deadline each get a turn after the one before, at the rate at which the
// upstreams accept requests. The others are spread over as much time as each of them had.
func (a *Assigner) rateRetryAfter(now time.Time, s *service, e *requestState, perSecond float64) time.Duration {
	turn := now.Add(max(s.rateWait(now, a.queuedBefore(now, s, nil)), minRetryAfter))
	step := time.Duration(math.Min(1/perSecond, maxKnownRetryAfter.Seconds()) * float64(time.Second))
	if next := s.lastReturn.Add(step); turn.Before(next) {
		turn = next
	}
	spread := step
	if turn.After(e.request.Deadline) {
		spread = max(e.request.Deadline.Sub(now), step)
	} else {
		s.lastReturn = turn
	}
	wait := turn.Sub(now) + time.Duration(a.options.Random.Float64()*float64(spread))
	return min(wait, maxKnownRetryAfter)
}
