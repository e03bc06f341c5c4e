package assign

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
)

// Bounds on the waiting time of requests.
const (
	// maxWaitFraction is the fraction of the time between a request's arrival and its deadline that it may be
	// queued.
	maxWaitFraction = 0.5
	// maxWaitWithoutOrders bounds the waiting time where no orders are sent, so that no upstream can be made ready
	// for the request.
	maxWaitWithoutOrders = 1200 * time.Millisecond
	// prefillSpeedMaxAge is the time for which a service's computed prefill speed is reused.
	prefillSpeedMaxAge = 100 * time.Millisecond
)

// refuseExpired refuses the requests that have been queued for as long as they may be.
func (a *Assigner) refuseExpired(now time.Time) {
	if a.queues.unranked == 0 {
		return
	}
	a.queues.each(func(e *requestState) {
		if e.waiting != nil || now.Before(e.queueDeadline(a)) {
			return
		}
		a.refund(now, e)
		a.removeRequest(now, e)
		a.refuse(now, e, apierr.QueueFull, a.retryAfter(now, e), "waited")
	})
}

func (e *requestState) queueDeadline(a *Assigner) time.Time {
	maxWait := time.Duration(maxWaitFraction * float64(e.request.Deadline.Sub(e.request.Arrived)))
	if !a.options.SendsOrders {
		maxWait = min(maxWait, maxWaitWithoutOrders)
	}
	return e.request.Arrived.Add(maxWait)
}

// refusalRule reports whether a new request that could not be assigned would wait in vain, and the rule for its
// refusal.
func (a *Assigner) refusalRule(now time.Time, e *requestState) (string, bool) {
	s := a.service(e.request.Service)
	if !s.hasUpstream() {
		return "no_upstream", true
	}
	if _, _, limited := s.fleetRate(now); limited && !now.Add(s.rateWait(now, a.queuedBefore(now, s, e))).Before(e.queueDeadline(a)) {
		return UpstreamRate, true
	}
	if now.Add(a.drainTime(s, now, e.request.ID.Host)).After(e.queueDeadline(a)) {
		return "queue_full", true
	}
	return "", false
}

func (a *Assigner) anyUsable(now time.Time, s *service) bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.usable(now) })
}

// drainTime is the expected time until the prompts of all queued requests of a service have been prefilled or, if
// no upstream accepts requests from the host, until one does.
func (a *Assigner) drainTime(s *service, now time.Time, host string) time.Duration {
	if !s.accepts(now, host) {
		return s.hostRetryDelay(now, host)
	}
	speed := s.totalPrefillSpeed(now)
	if speed == 0 {
		return s.hostRetryDelay(now, host)
	}
	return time.Duration(float64(a.queues.promptTokens[s.name]) / speed)
}

// accepts reports whether some upstream of the service accepts requests from a host.
func (s *service) accepts(now time.Time, host string) bool {
	return !now.Before(s.backOffUntil) ||
		slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.usable(now) && u.accepts(now, host) })
}

// totalPrefillSpeed is the combined prefill speed of the usable upstreams of a service, in tokens per nanosecond.
func (s *service) totalPrefillSpeed(now time.Time) float64 {
	if s.prefillSpeedAt.IsZero() || now.Sub(s.prefillSpeedAt) >= prefillSpeedMaxAge {
		s.prefillSpeed, s.prefillSpeedAt = 0, now
		for _, u := range s.upstreams {
			if u.usable(now) {
				s.prefillSpeed += 1 / float64(u.prefillPerToken)
			}
		}
	}
	return s.prefillSpeed
}

// hostRetryDelay is the time until a host may try one of the service's upstreams again.
func (s *service) hostRetryDelay(now time.Time, host string) time.Duration {
	soonest, available := maxKnownRetryAfter, false
	for _, u := range s.upstreams {
		if !u.draining() {
			available = true
			soonest = min(soonest, max(u.fullUntil.Sub(now), u.pausedUntil.Sub(now), u.backOff[host].Sub(now), 0))
		}
	}
	if !available {
		return maxRetryAfter // others may start at any time
	}
	return soonest
}

// Bounds on the Retry-After time of refusals.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxKnownRetryAfter is the upper bound where upstreams have reported when they will accept requests again. No
	// caller waits longer than this for an answer.
	maxKnownRetryAfter = time.Minute
)

// retryAfter returns the time after which a refused caller may find room: the drain time, randomised so that
// callers do not return together, or the caller's turn under the rate limits of the service's upstreams.
func (a *Assigner) retryAfter(now time.Time, e *requestState) time.Duration {
	s, host := a.service(e.request.Service), e.request.ID.Host
	if perSecond, _, limited := s.fleetRate(now); limited && perSecond > 0 {
		return a.rateRetryAfter(now, s, e, perSecond)
	}
	wait := max(a.drainTime(s, now, host), minRetryAfter)
	if s.accepts(now, host) {
		wait = min(wait, maxRetryAfter)
	}
	return time.Duration(float64(wait) * (1 + a.options.Random.Float64()))
}
