package assign

import (
	"math"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

const (
	// slowStartFraction is the fraction of an upstream's slow-start rate that is used, so that the requests which
	// two leaders send in the second of a leader change do not crash the upstream.
	slowStartFraction = 0.8
	// slowStartBurst is the number of requests that may be assigned at once.
	slowStartBurst = 2
)

// slowStartLimiter is a token bucket that limits the requests to an upstream during its slow start.
type slowStartLimiter struct {
	// limits are those of the service and options those of the Assigner; both may change.
	limits  catalog.SlowStart
	options *Options
	until   time.Time
	// tokens is the number of requests that may be assigned, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// begin starts the limit with an empty bucket, or extends a limit that is already active, until the given time.
func (s *slowStartLimiter) begin(now, until time.Time) {
	if !now.Before(s.until) {
		s.tokens, s.refilledAt = 0, now
	}
	s.until = until
}

// active reports whether the limit applies now.
func (s *slowStartLimiter) active(now time.Time) bool {
	return now.Before(s.until) && s.limits.RequestsPerSecond > 0
}

// refill adds the tokens of the elapsed time, for this Assigner's share of the rate.
func (s *slowStartLimiter) refill(now time.Time) {
	perSecond := slowStartFraction * s.limits.RequestsPerSecond * s.options.Share
	capacity := math.Min(slowStartBurst, math.Max(perSecond, 1))
	s.tokens = math.Min(s.tokens+now.Sub(s.refilledAt).Seconds()*perSecond, capacity)
	s.refilledAt = now
}

// exhausted reports whether the upstream has received as many requests as the limit allows.
func (s *slowStartLimiter) exhausted(now time.Time) bool {
	if !s.active(now) {
		return false
	}
	s.refill(now)
	return s.tokens < 1
}

// take counts a request that is assigned to the upstream.
func (s *slowStartLimiter) take(now time.Time) {
	if s.active(now) {
		s.refill(now)
		s.tokens--
	}
}

// updateSlowStart starts the limit if the remaining slow-start time in the upstream's record has changed from
// before.
func (u *upstream) updateSlowStart(now time.Time, before time.Duration) {
	if left := u.record.SlowStartRemaining; left != before {
		u.slowStart.begin(now, now.Add(left))
	}
}

// slowStartLimits returns the slow-start limits of a service.
func (a *Assigner) slowStartLimits(service string) catalog.SlowStart {
	if configured := a.config.Service(service); configured != nil {
		return configured.SlowStart
	}
	return catalog.SlowStart{}
}
