package assign

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the half-life of the measured rate of work. priorTime is the time for which the theoretical rate
	// counts in it. With 250 ms, an engine that is 5% faster than assumed was still taken to be 1% too slow after a second
	// of a full queue, so that a request too many was displaced.
	rateHalfLife = 3 * time.Second
	priorTime    = 100 * time.Millisecond
)

// workRate measures the work per time that a service begins while requests wait for capacity, from one assignment of a
// request to the next: what was assigned before requests waited delays the first one.
type workRate struct {
	work, busy float64
	at         time.Time
	// last is the work that was begun last while requests waited, at lastAt. It counts as it is done, since the rate would
	// otherwise vary by one request with the time since that was begun, and with it the number of requests that one event
	// displaces.
	last   float64
	lastAt time.Time
	// unmeasured is the part of busy in which requests have waited and none has been assigned since.
	unmeasured float64
	// saturated is set while waiting requests lack capacity, as of the last pass.
	saturated bool
}

// advance counts the time since the last call.
func (r *workRate) advance(now time.Time) {
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	r.work *= decay
	r.busy *= decay
	r.unmeasured *= decay
	if r.saturated && !r.at.IsZero() {
		r.busy += elapsed.Seconds()
		if r.last == 0 {
			r.unmeasured += elapsed.Seconds()
		}
	}
	r.at = now
}

// served counts work that is begun.
func (r *workRate) served(now time.Time, work time.Duration) {
	r.advance(now)
	if !r.saturated {
		return
	}
	r.busy -= r.unmeasured
	r.unmeasured = 0
	r.work += r.last * meanDecay(now.Sub(r.lastAt))
	r.last, r.lastAt = work.Seconds(), now
}

// setSaturated states whether waiting requests lack capacity.
func (r *workRate) setSaturated(now time.Time, saturated bool, prior float64) {
	r.advance(now)
	if r.saturated && !saturated {
		r.work += r.inProgress(now, prior)
		r.last, r.unmeasured = 0, 0
	}
	r.saturated = saturated
}

// untilNext returns the expected time until the work that was begun last has been done, so that more can begin.
func (r *workRate) untilNext(now time.Time, prior float64) time.Duration {
	if r.last == 0 {
		return 0
	}
	return max(time.Duration(r.last/r.estimate(now, prior)*float64(time.Second))-now.Sub(r.lastAt), 0)
}

// inProgress returns the part of the last work that has been done.
func (r *workRate) inProgress(now time.Time, prior float64) float64 {
	if r.last == 0 {
		return 0
	}
	rate := (r.work + prior*priorTime.Seconds()) / max(r.busy-now.Sub(r.lastAt).Seconds()+priorTime.Seconds(), priorTime.Seconds())
	elapsed := now.Sub(r.lastAt)
	return min(rate*elapsed.Seconds(), r.last) * meanDecay(elapsed)
}

// meanDecay returns the mean weight, now, of what was measured over the given time up to now.
func meanDecay(elapsed time.Duration) float64 {
	x := math.Ln2 * float64(elapsed) / float64(rateHalfLife)
	if x < 1e-6 {
		return 1
	}
	return -math.Expm1(-x) / x
}

// estimate returns the rate of work, given the theoretical rate. At first, upstreams may still be busy with what another
// Assigner has assigned to them, up to maxBacklog. That they begin nothing then is no measurement.
func (r *workRate) estimate(now time.Time, prior float64) float64 {
	r.advance(now)
	if r.work == 0 && r.last == 0 && r.busy < maxBacklog.Seconds() {
		return max(prior, minRate)
	}
	return max((r.work+r.inProgress(now, prior)+prior*priorTime.Seconds())/(r.busy+priorTime.Seconds()), minRate)
}
