package assign

import (
	"math"
	"time"
)

// retryFraction is the fraction of the fleet's retry limit that is used. The rest covers small differences between
// the counts of hosts and of callers.
const retryFraction = 0.7

// retryBudget bounds the retries of a service. It starts empty if another Assigner may have used up the fleet's
// budget just before.
type retryBudget struct {
	remaining   float64
	initialised bool
}

func (b *retryBudget) initialise(o Options) {
	if !b.initialised && o.FirstInFleet {
		b.remaining = o.Limits.RetrySlack * retryFraction * o.Share / 2
	}
	b.initialised = true
}

// earn adds the budget that a first attempt contributes.
func (b *retryBudget) earn(o Options) {
	b.initialise(o)
	b.remaining = math.Min(b.remaining+o.Limits.RetryRatio*retryFraction, o.Limits.RetrySlack*retryFraction*o.Share)
}

// take uses one retry and reports false if none is left.
func (b *retryBudget) take(o Options) bool {
	b.initialise(o)
	if b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}

// charge counts a request's cost against its organisation's rate. If the rate is used up, it returns the time
// until the cost fits, and false.
func (a *Assigner) charge(now time.Time, r *Request) (time.Duration, bool) {
	limit, ok := a.limit(r.Organisation)
	if !ok {
		return 0, true
	}
	u := a.usage(r.Organisation)
	cost := float64(r.Cost)
	used := u.sum(now)
	if used > 0 && used+cost > limit {
		return u.timeUntil(now, limit-cost), false
	}
	if wait, ok := a.smoothRate(now, r, u); !ok {
		return wait, false
	}
	u.add(now, r.Arrived, cost)
	return 0, true
}

// smoothRate applies an organisation's rate and burst as a token bucket, in addition to the limit on the whole window.
// Without it, an organisation that sends several times its rate uses up the window's tokens within seconds, at the expense
// of the others, and is then refused everything, also what its rate allows. It returns the time until the cost fits, and
// false if it does not fit now.
func (a *Assigner) smoothRate(now time.Time, r *Request, u *usage) (time.Duration, bool) {
	o := a.config.Organisation(r.Organisation)
	if s := a.service(r.Service); !s.ranked(&a.options) || o == nil {
		return 0, true
	}
	l, share := &a.options.Limits, a.share(r.Organisation)
	slack := rateFraction * (l.RateTolerance*(o.TokensPerSecond*l.RateWindow.Seconds()+o.BurstTokens) + l.RateSlackTokens)
	size, perSecond := (o.BurstTokens+slack)*share, o.TokensPerSecond*share
	missing := min(float64(r.Cost), size) - u.bucketLevel(now, perSecond, size)
	if missing <= 0 {
		return 0, true
	}
	return time.Duration(missing / perSecond * float64(time.Second)), false
}

// RecordUsage counts tokens that have already been spent, regardless of the limit.
func (a *Assigner) RecordUsage(now, at time.Time, organisation string, tokens float64) {
	a.usage(organisation).add(now, at, tokens)
}

// UsedFraction returns the fraction of its limit that an organisation has used, 0 without a limit.
func (a *Assigner) UsedFraction(now time.Time, organisation string) float64 {
	limit, ok := a.limit(organisation)
	if !ok || limit <= 0 {
		return 0
	}
	return a.usage(organisation).sum(now) / limit
}

// Exhausted reports whether an organisation's rate is used up.
func (a *Assigner) Exhausted(now time.Time, organisation string) bool {
	return a.UsedFraction(now, organisation) >= 1
}

// FleetUsedFraction returns the fraction of the whole fleet's limit that an organisation has used through this
// Assigner.
func (a *Assigner) FleetUsedFraction(now time.Time, organisation string) float64 {
	return a.UsedFraction(now, organisation) * a.share(organisation)
}

// SetShares sets, per organisation, shares of the limit that replace the usual share.
func (a *Assigner) SetShares(shares map[string]float64) { a.shares = shares }

func (a *Assigner) share(organisation string) float64 {
	if share, ok := a.shares[organisation]; ok {
		return share
	}
	return a.options.Share
}

// RestoreUsage counts tokens that an earlier Assigner has recorded. Hosts may report the same tokens again.
func (a *Assigner) RestoreUsage(now, at time.Time, organisation string, tokens float64) {
	a.usage(organisation).restore(now, at, tokens)
}

// RestoreEstimatedUsage counts the tokens that an organisation may have used in a period without records.
func (a *Assigner) RestoreEstimatedUsage(now, from time.Time, d time.Duration, organisation string) {
	o := a.config.Organisation(organisation)
	if o == nil {
		return
	}
	perSecond := o.TokensPerSecond + o.BurstTokens/a.options.Limits.RateWindow.Seconds()
	a.usage(organisation).restore(now, from, perSecond*d.Seconds())
}

// EachUsage calls f for the recent usage of each organisation that has used at least the given fraction of its limit.
func (a *Assigner) EachUsage(now time.Time, minFraction float64, f func(organisation string, at time.Time, tokens float64)) {
	for name, u := range a.usages {
		if limit, ok := a.limit(name); !ok || u.sum(now) < minFraction*limit {
			continue
		}
		u.each(now, func(at time.Time, tokens float64) { f(name, at, tokens) })
	}
}

// limit returns the tokens that an organisation may use in a window, and false if it has no limit.
func (a *Assigner) limit(organisation string) (float64, bool) {
	o := a.config.Organisation(organisation)
	if o == nil || o.TokensPerSecond <= 0 {
		return 0, false
	}
	l := &a.options.Limits
	total := (o.TokensPerSecond*l.RateWindow.Seconds()+o.BurstTokens)*(1+rateFraction*l.RateTolerance) + rateFraction*l.RateSlackTokens
	return total * a.share(organisation), true
}

// rateFraction is the fraction of the slack in an organisation's rate that is used. The rest covers tokens that
// are counted a little earlier or later elsewhere.
const rateFraction = 0.4

func (a *Assigner) usage(organisation string) *usage {
	u, ok := a.usages[organisation]
	if !ok {
		u = newUsage(a.options.Limits.RateWindow)
		a.usages[organisation] = u
	}
	return u
}

// refund returns the cost of a request that has not run.
func (a *Assigner) refund(now time.Time, e *requestState) {
	if _, ok := a.limit(e.request.Organisation); ok && !e.request.Charged {
		a.usage(e.request.Organisation).add(now, e.request.Arrived, -float64(e.request.Cost))
	}
}
