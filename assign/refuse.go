package assign

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
)

// Bounds of waiting.
const (
	// maxWaitFraction is the part of a request's time that it may wait here.
	maxWaitFraction = 0.5
	// maxWaitWithoutOrders is how long a request waits where no upstream may serve it
	// and none can be made to.
	maxWaitWithoutOrders = 1200 * time.Millisecond
	// prefillSpeedMaxAge is how long a service's speed is taken to be as it was reckoned.
	prefillSpeedMaxAge = 100 * time.Millisecond
)

// giveUp refuses the requests that have waited as long as is of use.
func (a *Assigner) refuseExpired(now time.Time) {
	a.queues.each(func(e *requestState) {
		if now.Before(e.queueDeadline(a)) {
			return
		}
		a.refund(now, e)
		a.removeRequest(now, e)
		a.refuse(e, apierr.QueueFull, a.retryAfter(a.service(e.request.Service), now, e.request.ID.Host), "waited")
	})
}

func (e *requestState) queueDeadline(a *Assigner) time.Time {
	patience := time.Duration(maxWaitFraction * float64(e.request.Deadline.Sub(e.request.Arrived)))
	if !a.options.Orders {
		patience = min(patience, maxWaitWithoutOrders)
	}
	return e.request.Arrived.Add(patience)
}

// hopeless reports whether a new request that found no room would wait in vain.
func (a *Assigner) refusalRule(now time.Time, e *requestState) (string, bool) {
	s := a.service(e.request.Service)
	if !slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return !u.draining() }) {
		return "no_upstream", true
	}
	if now.Add(a.drainTime(s, now, e.request.ID.Host)).After(e.queueDeadline(a)) {
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
	if !s.accepts(now, host) {
		return s.hostRetryDelay(now, host)
	}
	speed := s.totalPrefillSpeed(now)
	if speed == 0 {
		return s.hostRetryDelay(now, host)
	}
	return time.Duration(float64(a.queues.promptTokens[s.name]) / speed)
}

// mayAsk reports whether a host may send requests to some upstream of the service.
func (s *service) accepts(now time.Time, host string) bool {
	return !now.Before(s.backOffUntil) ||
		slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.usable(now) && u.accepts(now, host) })
}

// readingSpeed is how many tokens of prompts the usable upstreams of a service read
// in a nanosecond together.
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

// returnsIn is the time until a host may try one of a service's upstreams again.
func (s *service) hostRetryDelay(now time.Time, host string) time.Duration {
	soonest, remains := maxKnownRetryAfter, false
	for _, u := range s.upstreams {
		if !u.draining() {
			remains = true
			soonest = min(soonest, max(u.fullUntil.Sub(now), u.pausedUntil.Sub(now), u.backOff[host].Sub(now), 0))
		}
	}
	if !remains {
		return maxRetryAfter // others may start at any time
	}
	return soonest
}

// Bounds of what a refused caller is told to wait.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxKnownRetryAfter bounds it where upstreams have said when they may be asked
	// again. Callers wait no longer for any answer.
	maxKnownRetryAfter = time.Minute
)

// returnIn says when a refused caller may find room: when what waits has been
// read, spread so that callers do not return together.
func (a *Assigner) retryAfter(s *service, now time.Time, host string) time.Duration {
	wait := max(a.drainTime(s, now, host), minRetryAfter)
	if s.accepts(now, host) {
		wait = min(wait, maxRetryAfter)
	}
	return time.Duration(float64(wait) * (1 + a.options.Random.Float64()))
}
