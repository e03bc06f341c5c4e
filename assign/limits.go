package assign

import (
	"math"
	"time"
)

// retryFraction is the part of the fleet's retries that is used, so that counts
// which differ a little between hosts and callers stay within the rest.
const retryFraction = 0.7

// retryBudget bounds how many requests of a service are sent again. It begins with
// nothing where another Assigner may have used up the fleet's budget just before.
type retryBudget struct {
	remaining   float64
	initialised bool
}

func (b *retryBudget) initialise(o Options) {
	if !b.initialised && o.First {
		b.remaining = o.Limits.RetrySlack * retryFraction * o.Share / 2
	}
	b.initialised = true
}

// earn adds to the budget for a first attempt.
func (b *retryBudget) earn(o Options) {
	b.initialise(o)
	b.remaining = math.Min(b.remaining+o.Limits.RetryRatio*retryFraction, o.Limits.RetrySlack*retryFraction*o.Share)
}

// take uses one retry, where there is one.
func (b *retryBudget) take(o Options) bool {
	b.initialise(o)
	if b.remaining < 1 {
		return false
	}
	b.remaining--
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
		return u.timeUntil(now, limit-cost), false
	}
	u.add(now, r.Arrived, cost)
	return 0, true
}

// Charge counts tokens that have been spent already, whatever is left.
func (a *Assigner) Charge(now, at time.Time, organisation string, tokens float64) {
	a.usage(organisation).add(now, at, tokens)
}

// UsedPart returns which part of its limit an organisation has used, 0 for one
// without a limit.
func (a *Assigner) UsedPart(now time.Time, organisation string) float64 {
	limit, ok := a.limit(organisation)
	if !ok || limit <= 0 {
		return 0
	}
	return a.usage(organisation).sum(now) / limit
}

// Exhausted reports whether an organisation's rate is used up.
func (a *Assigner) Exhausted(now time.Time, organisation string) bool {
	return a.UsedPart(now, organisation) >= 1
}

// FleetPart returns which part of the whole fleet's limit an organisation has used
// here.
func (a *Assigner) FleetPart(now time.Time, organisation string) float64 {
	return a.UsedPart(now, organisation) * a.share(organisation)
}

// SetShares gives organisations other parts of their limits than the usual share.
func (a *Assigner) SetShares(shares map[string]float64) { a.shares = shares }

func (a *Assigner) share(organisation string) float64 {
	if share, ok := a.shares[organisation]; ok {
		return share
	}
	return a.options.Share
}

// Recall counts tokens that an earlier Assigner has recorded. Hosts may tell of
// the same ones.
func (a *Assigner) Recall(now, at time.Time, organisation string, tokens float64) {
	a.usage(organisation).restore(now, at, tokens)
}

// RecallRate counts what an organisation may have used in a time of which
// nothing was recorded.
func (a *Assigner) RecallRate(now, from time.Time, d time.Duration, organisation string) {
	o := a.config.Organisation(organisation)
	if o == nil {
		return
	}
	perSecond := o.TokensPerSecond + o.BurstTokens/a.options.Limits.RateWindow.Seconds()
	a.usage(organisation).restore(now, from, perSecond*d.Seconds())
}

// Usage calls f for what each organisation has spent of late that has used at
// least the given part of its limit.
func (a *Assigner) Usage(now time.Time, part float64, f func(organisation string, at time.Time, tokens float64)) {
	for name, u := range a.usages {
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
	whole := (o.TokensPerSecond*l.RateWindow.Seconds()+o.BurstTokens)*(1+rateFraction*l.RateOver) + rateFraction*l.RateSlackTokens
	return whole * a.share(organisation), true
}

// rateFraction is the part of the slack in an organisation's rate that is used. The
// rest is for what is counted a little later or earlier elsewhere.
const rateFraction = 0.4

func (a *Assigner) usage(organisation string) *usage {
	u, ok := a.usages[organisation]
	if !ok {
		u = newUsage(a.options.Limits.RateWindow)
		a.usages[organisation] = u
	}
	return u
}

// refund gives back the cost of a request that has not run.
func (a *Assigner) refund(now time.Time, e *requestState) {
	if _, ok := a.limit(e.request.Organisation); ok && !e.request.Charged {
		a.usage(e.request.Organisation).add(now, e.request.Arrived, -float64(e.request.Cost))
	}
}
