package assign

import (
	"math"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

const (
	// slowStartPart is the part of what an upstream takes while it starts slowly that it
	// is given, so that what two leads give out in the second of a change stays within
	// what crashes none.
	slowStartPart = 0.8
	// slowStartBurst is how many requests it may be given at once.
	slowStartBurst = 2
)

// slowStart bounds what an upstream is given while it takes few requests.
type slowStart struct {
	// bound is the service's, options the Assigner's, which change.
	bound   catalog.SlowStart
	options *Options
	until   time.Time
	// left is how many it may be given as of leftAt.
	left   float64
	leftAt time.Time
}

// begin has the bound hold until a time, with nothing saved up.
func (s *slowStart) begin(now, until time.Time) {
	if !now.Before(s.until) {
		s.left, s.leftAt = 0, now
	}
	s.until = until
}

// holds reports whether the upstream takes few requests now.
func (s *slowStart) holds(now time.Time) bool { return now.Before(s.until) && s.bound.RequestsPerSecond > 0 }

// refill adds this Assigner's part of what the upstream takes with time.
func (s *slowStart) refill(now time.Time) {
	perSecond := slowStartPart * s.bound.RequestsPerSecond * s.options.Share
	most := math.Min(slowStartBurst, math.Max(perSecond, 1))
	s.left = math.Min(s.left+now.Sub(s.leftAt).Seconds()*perSecond, most)
	s.leftAt = now
}

// full reports whether the upstream has been given as much as it takes.
func (s *slowStart) full(now time.Time) bool {
	if !s.holds(now) {
		return false
	}
	s.refill(now)
	return s.left < 1
}

// use counts a request that the upstream is given.
func (s *slowStart) use(now time.Time) {
	if s.holds(now) {
		s.refill(now)
		s.left--
	}
}

// noteSlowStart takes what an upstream's entry says of its start, which it did not say
// before.
func (u *upstream) noteSlowStart(now time.Time, before time.Duration) {
	if left := u.record.SlowStartRemaining; left != before {
		u.slow.begin(now, now.Add(left))
	}
}

// slowStartOf returns the bound of a service.
func (a *Assigner) slowStartOf(service string) catalog.SlowStart {
	if configured := a.config.Service(service); configured != nil {
		return configured.SlowStart
	}
	return catalog.SlowStart{}
}
