package assign

import (
	"math"
	"time"
)

// Parts of the fleet's limits that are used, so that counts which differ a
// little between hosts and callers stay within the rest.
const (
	retryPart = 0.7
	ratePart  = 0.3
)

// freshBurst is the part of its burst that an organisation may use right after
// this Assigner has started: what was used before is not known.
const freshBurst = 0.3

// retryBudget bounds how many requests of a service are sent again.
type retryBudget struct {
	left  float64
	begun bool
}

func (b *retryBudget) begin(o Options) {
	if !b.begun {
		b.begun, b.left = true, o.Limits.RetrySlack*retryPart*o.Share/2
	}
}

// earn adds to the budget for a first attempt.
func (b *retryBudget) earn(_ time.Time, o Options) {
	b.begin(o)
	b.left = math.Min(b.left+o.Limits.RetryRatio*retryPart, o.Limits.RetrySlack*retryPart*o.Share)
}

// take uses one retry, where there is one.
func (b *retryBudget) take(_ time.Time, o Options) bool {
	b.begin(o)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// bucket holds the tokens that an organisation may use now.
type bucket struct {
	tokens float64
	at     time.Time
}

// charge counts a cost against an organisation's rate. Where it is used up, it
// returns when it is not any more.
func (a *Assigner) charge(now time.Time, organisation string, cost float64) (time.Duration, bool) {
	b, rate, ok := a.rate(now, organisation)
	if !ok {
		return 0, true
	}
	floor := -a.options.Limits.RateSlackTokens * ratePart * a.options.Share
	if b.tokens-cost < floor && b.tokens < a.burst(organisation) {
		return time.Duration((cost + floor - b.tokens) / rate * float64(time.Second)), false
	}
	b.tokens -= cost
	return 0, true
}

// Charge counts a cost that has been spent already, whatever is left.
func (a *Assigner) Charge(now time.Time, organisation string, cost int64) {
	if b, _, ok := a.rate(now, organisation); ok {
		b.tokens -= float64(cost)
	}
}

// Exhausted reports whether an organisation's rate is used up.
func (a *Assigner) Exhausted(now time.Time, organisation string) bool {
	b, _, ok := a.rate(now, organisation)
	return ok && b.tokens < -a.options.Limits.RateSlackTokens*ratePart*a.options.Share
}

func (a *Assigner) burst(organisation string) float64 {
	return a.config.Organisation(organisation).BurstTokens * a.options.Share
}

// rate returns an organisation's bucket, filled up to now, and its rate. It
// reports false for one without a limit.
func (a *Assigner) rate(now time.Time, organisation string) (*bucket, float64, bool) {
	o := a.config.Organisation(organisation)
	if o == nil || o.TokensPerSecond <= 0 {
		return nil, 0, false
	}
	rate, burst := o.TokensPerSecond*a.options.Share, o.BurstTokens*a.options.Share
	b, known := a.rates[organisation]
	if !known {
		b = &bucket{tokens: burst * freshBurst, at: now}
		a.rates[organisation] = b
	}
	b.tokens = math.Min(burst, b.tokens+now.Sub(b.at).Seconds()*rate)
	b.at = now
	return b, rate, true
}

// refund gives back the cost of a request that has not run.
func (a *Assigner) refund(now time.Time, e *entry) {
	if b, _, ok := a.rate(now, e.request.Organisation); ok {
		b.tokens += float64(e.request.Cost)
	}
}

// Bounds of what a refused caller is told to wait.
const (
	leastReturn = 300 * time.Millisecond
	mostReturn  = 2 * time.Second
)

// returnIn says when a refused caller may find room: when what waits has been
// read, spread so that callers do not return together.
func (a *Assigner) returnIn(s *service, now time.Time) time.Duration {
	wait := min(max(a.drainTime(s, now), leastReturn), mostReturn)
	return time.Duration(float64(wait) * (1 + a.options.Random.Float64()))
}
