package assign

import (
	"math"
	"time"
)

// retryPart is the part of the fleet's retries that is used, so that counts
// which differ a little between hosts and callers stay within the rest.
const retryPart = 0.7

// retryBudget bounds how many requests of a service are sent again. It begins with
// nothing where another Assigner may have used up the fleet's budget just before.
type retryBudget struct {
	left  float64
	begun bool
}

func (b *retryBudget) begin(o Options) {
	if !b.begun && o.FirstInFleet {
		b.left = o.Limits.RetrySlack * retryPart * o.Share / 2
	}
	b.begun = true
}

// earn adds to the budget for a first attempt.
func (b *retryBudget) earn(o Options) {
	b.begin(o)
	b.left = math.Min(b.left+o.Limits.RetryRatio*retryPart, o.Limits.RetrySlack*retryPart*o.Share)
}

// take uses one retry, where there is one.
func (b *retryBudget) take(o Options) bool {
	b.begin(o)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// charge counts a cost against an organisation's rate. Where it is used up, it
// returns when it is not any more.
func (a *Assigner) charge(now time.Time, r *Request) (time.Duration, bool) {
	limit, ok := a.limit(r.Organisation)
	if !ok {
		return 0, true
	}
	u := a.usage(r.Organisation)
	cost := float64(r.Cost)
	used := u.sum(now)
	if used > 0 && used+cost > limit {
		return u.until(now, limit-cost), false
	}
	u.add(now, r.Arrived, cost)
	return 0, true
}

// RecordUsage counts tokens that have been spent already, whatever is left.
func (a *Assigner) RecordUsage(now, at time.Time, organisation string, tokens float64) {
	a.usage(organisation).add(now, at, tokens)
}

// UsedFraction returns which part of its limit an organisation has used, 0 for one
// without a limit.
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

// FleetUsedFraction returns which part of the whole fleet's limit an organisation has used
// here.
func (a *Assigner) FleetUsedFraction(now time.Time, organisation string) float64 {
	return a.UsedFraction(now, organisation) * a.share(organisation)
}

// SetShares gives organisations other parts of their limits than the usual share.
func (a *Assigner) SetShares(shares map[string]float64) { a.shares = shares }

func (a *Assigner) share(organisation string) float64 {
	if share, ok := a.shares[organisation]; ok {
		return share
	}
	return a.options.Share
}

// RestoreUsage counts tokens that an earlier Assigner has recorded. Hosts may tell of
// the same ones.
func (a *Assigner) RestoreUsage(now, at time.Time, organisation string, tokens float64) {
	a.usage(organisation).recall(now, at, tokens)
}

// RestoreEstimatedUsage counts what an organisation may have used in a time of which
// nothing was recorded.
func (a *Assigner) RestoreEstimatedUsage(now, from time.Time, d time.Duration, organisation string) {
	o := a.config.Organisation(organisation)
	if o == nil {
		return
	}
	perSecond := o.TokensPerSecond + o.BurstTokens/a.options.Limits.RateWindow.Seconds()
	a.usage(organisation).recall(now, from, perSecond*d.Seconds())
}

// EachUsage calls f for what each organisation has spent of late that has used at
// least the given part of its limit.
func (a *Assigner) EachUsage(now time.Time, part float64, f func(organisation string, at time.Time, tokens float64)) {
	for name, u := range a.rates {
		if limit, ok := a.limit(name); !ok || u.sum(now) < part*limit {
			continue
		}
		u.each(now, func(at time.Time, tokens float64) { f(name, at, tokens) })
	}
}

// limit returns what an organisation may use in a window, and reports false for
// one without a limit.
func (a *Assigner) limit(organisation string) (float64, bool) {
	o := a.config.Organisation(organisation)
	if o == nil || o.TokensPerSecond <= 0 {
		return 0, false
	}
	l := &a.options.Limits
	whole := (o.TokensPerSecond*l.RateWindow.Seconds()+o.BurstTokens)*(1+ratePart*l.RateTolerance) + ratePart*l.RateSlackTokens
	return whole * a.share(organisation), true
}

// ratePart is the part of the slack in an organisation's rate that is used. The
// rest is for what is counted a little later or earlier elsewhere.
const ratePart = 0.4

func (a *Assigner) usage(organisation string) *usage {
	u, ok := a.rates[organisation]
	if !ok {
		u = newUsage(a.options.Limits.RateWindow)
		a.rates[organisation] = u
	}
	return u
}

// refund gives back the cost of a request that has not run.
func (a *Assigner) refund(now time.Time, e *entry) {
	if _, ok := a.limit(e.request.Organisation); ok && !e.request.Charged {
		a.usage(e.request.Organisation).add(now, e.request.Arrived, -float64(e.request.Cost))
	}
}
