package assign

import (
	"math"
	"slices"
	"time"
)

// capacityMaxAge is the time for which the theoretical rate of a service is reused, and after which the sums over its
// upstreams are computed anew.
const capacityMaxAge = 100 * time.Millisecond

// capacityEstimate is what is known of the capacity of a service without a measurement.
type capacityEstimate struct {
	// rate is the work per time that the upstreams can do. stated is the same at the speeds and costs that are assumed of all
	// upstreams and requests: it changes with the upstreams and their limits, and not with what is learned.
	rate, stated float64
	// opensIn is the time until the first upstream may be assigned requests.
	opensIn time.Duration
	// requestTime is the mean time of a request of a plain service.
	requestTime time.Duration
	// gap is the longest time between two requests to an upstream that its own limits impose.
	gap time.Duration
}

// capacitySums holds the sums over the upstreams of a service whose capacity changes with events only, and lists the others.
// They are valid from scannedAt for capacityMaxAge, so that rounding errors do not add up.
type capacitySums struct {
	scannedAt    time.Time
	steady       int
	rate, stated float64
	requestTime  time.Duration
	// varying are the upstreams whose capacity depends on the time or on the waiting requests, changed those whose capacity
	// has to be computed again.
	varying []*upstream
	changed []*upstream
}

// upstreamCapacity is what an upstream contributes to capacitySums.
type upstreamCapacity struct {
	state        capacityState
	rate, stated float64
	requestTime  time.Duration
	// changed is set while the upstream is in capacitySums.changed.
	changed bool
}

// capacityState tells how an upstream contributes to the capacity of its service.
type capacityState uint8

const (
	noCapacity capacityState = iota
	steadyCapacity
	varyingCapacity
)

// capacity returns the theoretical capacity of a service. Limits on the number of requests count with the mean work of
// those that wait.
func (a *Assigner) capacity(now time.Time, s *service) capacityEstimate {
	l := s.line
	if !l.priorAt.IsZero() && now.Sub(l.priorAt) < capacityMaxAge {
		return l.prior
	}
	sums := &l.sums
	if sums.scannedAt.IsZero() || now.Sub(sums.scannedAt) >= capacityMaxAge {
		a.rankStats.scanned += uint64(len(s.upstreams))
		sums.scan(now, s)
	}
	a.rankStats.scanned += uint64(len(sums.changed) + len(sums.varying))
	sums.update(now)
	l.prior, l.priorAt = sums.estimate(now, l.meanWork()), now
	return l.prior
}

// meanWork returns the mean work of the waiting requests.
func (l *line) meanWork() time.Duration {
	work, count := time.Duration(0), 0
	for _, r := range l.ranks {
		work, count = work+r.work, count+r.count
	}
	if count == 0 {
		return assumedRequestTime
	}
	return work / time.Duration(count)
}

// scan computes the sums from all upstreams of a service.
func (c *capacitySums) scan(now time.Time, s *service) {
	for _, u := range c.changed {
		u.capacity.changed = false
	}
	*c = capacitySums{scannedAt: now}
	for _, u := range s.upstreams {
		u.capacity = upstreamCapacity{}
		c.count(now, u)
	}
}

// update applies the changes of upstreams, and what has changed with the time.
func (c *capacitySums) update(now time.Time) {
	for _, u := range c.changed {
		u.capacity.changed = false
		c.count(now, u)
	}
	c.changed = c.changed[:0]
	for _, u := range c.varying {
		c.count(now, u)
	}
	c.varying = slices.DeleteFunc(c.varying, func(u *upstream) bool { return u.capacity.state != varyingCapacity })
}

// count replaces what an upstream has contributed to the sums.
func (c *capacitySums) count(now time.Time, u *upstream) {
	before := u.capacity
	if before.state == steadyCapacity {
		c.add(before, -1)
	}
	u.capacity = upstreamCapacity{state: u.capacityState(now), changed: before.changed}
	switch u.capacity.state {
	case steadyCapacity:
		u.capacity.rate, u.capacity.stated, _ = u.workRate(now, assumedRequestTime)
		u.capacity.requestTime = u.requestTime
		c.add(u.capacity, 1)
	case varyingCapacity:
		if before.state != varyingCapacity {
			c.varying = append(c.varying, u)
		}
	case noCapacity:
	}
}

func (c *capacitySums) add(u upstreamCapacity, sign int) {
	c.steady += sign
	c.rate += float64(sign) * u.rate
	c.stated += float64(sign) * u.stated
	c.requestTime += time.Duration(sign) * u.requestTime
}

// estimate returns the capacity of the service, given the mean work of the waiting requests.
func (c *capacitySums) estimate(now time.Time, meanWork time.Duration) capacityEstimate {
	e := capacityEstimate{rate: c.rate, stated: c.stated, requestTime: c.requestTime, opensIn: maxKnownRetryAfter}
	if c.steady > 0 {
		e.opensIn = 0
	}
	paused := func(u *upstream) bool { return now.Before(u.pausedUntil) }
	// If all upstreams are paused after failures, they are used nevertheless.
	allPaused := c.steady == 0 && !slices.ContainsFunc(c.varying, func(u *upstream) bool { return !paused(u) })
	present := c.steady
	for _, u := range c.varying {
		if paused(u) && !allPaused {
			continue
		}
		present++
		e.requestTime += u.requestTime
		e.opensIn = min(e.opensIn, max(u.fullUntil.Sub(now), 0))
		rate, stated, gap := u.workRate(now, meanWork)
		e.rate += rate
		e.stated += stated
		e.gap = max(e.gap, gap)
	}
	e.requestTime /= time.Duration(max(present, 1))
	return e
}

// capacityState returns how the upstream contributes to the capacity of its service.
func (u *upstream) capacityState(now time.Time) capacityState {
	switch {
	case u.draining():
		return noCapacity
	case u.rateLimit != nil || u.slowStart.active(now) || now.Before(u.pausedUntil) || now.Before(u.fullUntil):
		return varyingCapacity
	}
	return steadyCapacity
}

// capacityChanged records that the capacity of the upstream has changed by an event.
func (u *upstream) capacityChanged() {
	if l := u.service.line; l != nil && !u.dropped && !u.capacity.changed {
		u.capacity.changed = true
		l.sums.changed = append(l.sums.changed, u)
	}
}

// invalidateCapacity has the theoretical capacity of all services computed again when it is needed next, from what has
// changed.
func (a *Assigner) invalidateCapacity() {
	for _, s := range a.services {
		if s.line != nil {
			s.line.priorAt = time.Time{}
		}
	}
}

// resetCapacity has the theoretical capacity of all services computed from all upstreams when it is needed next.
func (a *Assigner) resetCapacity() {
	a.invalidateCapacity()
	for _, s := range a.services {
		if s.line != nil {
			s.line.sums.scannedAt = time.Time{}
		}
	}
}

// maxGap bounds the time between two requests to an upstream that is taken into account.
const maxGap = time.Second

// workRate returns the theoretical rate of work of an upstream, the rate without what is learned, and the time between two
// requests that its own limits impose.
func (u *upstream) workRate(now time.Time, meanWork time.Duration) (rate, stated float64, gap time.Duration) {
	rate, stated = float64(assumedPrefillPerToken)/float64(max(u.prefillPerToken, 1)), 1
	limit := math.Inf(1)
	if u.engine == nil {
		stated = float64(max(u.record.Slots, 1))
		rate = stated * float64(assumedRequestTime) / float64(max(u.requestTime, 1))
	}
	if u.rateLimit != nil {
		limit = u.rateLimit.Rate(now)
	}
	if u.slowStart.active(now) {
		limit = min(limit, slowStartFraction*u.slowStart.limits.RequestsPerSecond*u.slowStart.options.Share)
	}
	gap = time.Duration(float64(time.Second) / max(limit, 1/maxGap.Seconds()))
	if math.IsInf(limit, 1) {
		gap = 0
	}
	return min(rate, limit*meanWork.Seconds()), min(stated, limit*assumedRequestTime.Seconds()), gap
}
