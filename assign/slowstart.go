package assign

import (
	"math"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

const (
	// slowStartFraction is the part of what an upstream takes while it starts slowly that it
	// is given, so that what two leads give out in the second of a change stays within
	// what crashes none.
	slowStartFraction = 0.8
	// slowStartBurst is how many requests it may be given at once.
	slowStartBurst = 2
)

// slowStartLimiter bounds what an upstream is given while it takes few requests.
type slowStartLimiter struct {
	// bound is the service's, options the Assigner's, which change.
	limits  catalog.SlowStart
	options *Options
	until   time.Time
	// left is how many it may be given as of leftAt.
	tokens     float64
	refilledAt time.Time
}

// begin has the bound hold until a time, with nothing saved up.
func (s *slowStartLimiter) begin(now, until time.Time) {
	if !now.Before(s.until) {
		s.tokens, s.refilledAt = 0, now
	}
	s.until = until
}

// holds reports whether the upstream takes few requests now.
func (s *slowStartLimiter) active(now time.Time) bool {
	return now.Before(s.until) && s.limits.PerSecond > 0
}

// refill adds this Assigner's part of what the upstream takes with time.
func (s *slowStartLimiter) refill(now time.Time) {
	perSecond := slowStartFraction * s.limits.PerSecond * s.options.Share
	most := math.Min(slowStartBurst, math.Max(perSecond, 1))
	s.tokens = math.Min(s.tokens+now.Sub(s.refilledAt).Seconds()*perSecond, most)
	s.refilledAt = now
}

// full reports whether the upstream has been given as much as it takes.
func (s *slowStartLimiter) exhausted(now time.Time) bool {
	if !s.active(now) {
		return false
	}
	s.refill(now)
	return s.tokens < 1
}

// use counts a request that the upstream is given.
func (s *slowStartLimiter) take(now time.Time) {
	if s.active(now) {
		s.refill(now)
		s.tokens--
	}
}

// noteSlowStart takes what an upstream's entry says of its start, which it did not say
// before.
func (u *upstream) updateSlowStart(now time.Time, before time.Duration) {
	if left := u.record.SlowStart; left != before {
		u.slowStart.begin(now, now.Add(left))
	}
}

// slowStartOf returns the bound of a service.
func (a *Assigner) slowStartLimits(service string) catalog.SlowStart {
	if configured := a.config.Service(service); configured != nil {
		return configured.SlowStart
	}
	return catalog.SlowStart{}
}
