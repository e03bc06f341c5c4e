package assign

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
)

// Bounds of waiting.
const (
	// patiencePart is the part of a request's time that it may wait here.
	patiencePart = 0.5
	// idlePatience is how long a request waits where no upstream may serve it
	// and none can be made to.
	idlePatience = 1200 * time.Millisecond
	// speedFor is how long a service's speed is taken to be as it was reckoned.
	speedFor = 100 * time.Millisecond
)

// giveUp refuses the requests that have waited as long as is of use.
func (a *Assigner) giveUp(now time.Time) {
	a.queues.each(func(e *entry) {
		if now.Before(e.giveUpAt(a)) {
			return
		}
		a.refund(now, e)
		a.forget(now, e)
		a.refuse(e, apierr.QueueFull, a.returnIn(a.service(e.request.Service), now, e.request.ID.Host), "waited")
	})
}

func (e *entry) giveUpAt(a *Assigner) time.Time {
	patience := time.Duration(patiencePart * float64(e.request.Deadline.Sub(e.request.Arrived)))
	if !a.options.SendsOrders {
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
	if !s.mayAsk(now, host) {
		return s.returnsIn(now, host)
	}
	speed := s.readingSpeed(now)
	if speed == 0 {
		return s.returnsIn(now, host)
	}
	return time.Duration(float64(a.queues.tokens[s.name]) / speed)
}

// mayAsk reports whether a host may send requests to some upstream of the service.
func (s *service) mayAsk(now time.Time, host string) bool {
	return !now.Before(s.backOffUntil) ||
		slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.usable(now) && u.mayAsk(now, host) })
}

// readingSpeed is how many tokens of prompts the usable upstreams of a service read
// in a nanosecond together.
func (s *service) readingSpeed(now time.Time) float64 {
	if s.speedAt.IsZero() || now.Sub(s.speedAt) >= speedFor {
		s.speed, s.speedAt = 0, now
		for _, u := range s.upstreams {
			if u.usable(now) {
				s.speed += 1 / float64(u.prefill)
			}
		}
	}
	return s.speed
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

// Bounds of what a refused caller is told to wait.
const (
	leastReturn = 300 * time.Millisecond
	mostReturn  = 2 * time.Second
	// mostKnownReturn bounds it where upstreams have said when they may be asked
	// again. Callers wait no longer for any answer.
	mostKnownReturn = time.Minute
)

// returnIn says when a refused caller may find room: when what waits has been
// read, spread so that callers do not return together.
func (a *Assigner) returnIn(s *service, now time.Time, host string) time.Duration {
	wait := max(a.drainTime(s, now, host), leastReturn)
	if s.mayAsk(now, host) {
		wait = min(wait, mostReturn)
	}
	return time.Duration(float64(wait) * (1 + a.options.Random.Float64()))
}
