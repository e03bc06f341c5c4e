package core

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

// reservations are the token reservations whose verdict another host has to give.
type reservations struct {
	pending map[limit.Ticket]pendingReservation
	// resolved holds the verdicts that arrived while the current event was handled.
	resolved []limit.Resolved
}

// pendingReservation is the reservation of a request that waits for tokens. It keeps the organisation
// and the amount, because the request may end before the verdict.
type pendingReservation struct {
	requestID sched.RequestID
	org       string
	tokens    int64
}

// applyLimiter converts the limiter's decisions into decisions of the core and queues its verdicts.
func (c *Core) applyLimiter(from []limit.Decision, out *decisions) {
	for _, d := range from {
		if r, ok := d.(limit.Resolved); ok {
			c.reservations.resolved = append(c.reservations.resolved, r)
		}
	}
	out.addLimiter(from)
}

// applyResolved applies the queued verdicts. Each may cause further ones.
func (c *Core) applyResolved(now time.Time, out *decisions) {
	for len(c.reservations.resolved) > 0 {
		r := c.reservations.resolved[0]
		c.reservations.resolved = c.reservations.resolved[1:]
		if c.budget.onResolved(now, r) {
			c.applyScheduler(now, c.scheduler.Tick(now), out)
		} else {
			c.onReservationResolved(now, r, out)
		}
		c.applyLimiter(c.budget.takePending(), out)
	}
}

// onReservationResolved continues a request that has waited for tokens. If the request has ended, its
// tokens are returned.
func (c *Core) onReservationResolved(now time.Time, r limit.Resolved, out *decisions) {
	p, ok := c.reservations.pending[r.Ticket]
	if !ok {
		return
	}
	delete(c.reservations.pending, r.Ticket)
	e, active := c.requests[p.requestID]
	switch {
	case active:
		c.applyRateVerdict(now, e, p.tokens, r.Verdict, out)
	case r.Verdict.OK:
		c.applyLimiter(c.limiter.Settle(now, p.org, p.tokens, 0), out)
	}
}

// reserve reserves the request's tokens. If the limiter has to wait for another host, the request
// continues in onReservationResolved. Open routes belong to no organisation and are not counted.
func (c *Core) reserve(now time.Time, e *entry, out *decisions) {
	tokens := e.request.Tokens
	if e.route != nil {
		tokens = e.route.CostTokens
	}
	if e.org == "" || tokens == 0 {
		c.admit(now, e, out)
		return
	}
	v, messages := c.limiter.Reserve(now, e.org, tokens)
	c.applyLimiter(messages, out)
	if v.Pending {
		c.requests[e.request.ID] = e
		c.reservations.pending[v.Ticket] = pendingReservation{requestID: e.request.ID, org: e.org, tokens: tokens}
		return
	}
	c.applyRateVerdict(now, e, tokens, v, out)
}

// applyRateVerdict admits or refuses a request according to the limiter's verdict.
func (c *Core) applyRateVerdict(now time.Time, e *entry, tokens int64, v limit.Verdict, out *decisions) {
	e.quota = quotaOf(v)
	if v.OK {
		e.reserved = tokens
		c.admit(now, e, out)
		return
	}
	delete(c.requests, e.request.ID)
	e.machine.TransitionTo(request.Failed)
	out.finish(e, rateError(tokens, v), "rate")
}

// rateError returns the error for a refusal. RateLimited is used only if the limiter knows that the
// rate is exhausted; otherwise the error is RateUnknown.
func rateError(tokens int64, v limit.Verdict) *apierr.Error {
	switch {
	case v.OverBurst:
		return apierr.New(apierr.CostOverBurst, "the request costs up to %d tokens, the burst is %d tokens", tokens, v.Limit)
	case !v.Exhausted:
		return apierr.New(apierr.RateUnknown, "").WithRetryAfter(v.RetryAfter)
	}
	return apierr.New(apierr.RateLimited, "the request costs up to %d tokens", tokens).WithRetryAfter(v.RetryAfter)
}

// admit continues a request whose tokens are reserved.
func (c *Core) admit(now time.Time, e *entry, out *decisions) {
	e.machine.TransitionTo(request.Reserved)
	c.requests[e.request.ID] = e
	if e.request.IdempotencyKey != "" && !e.repeatable() {
		e.machine.TransitionTo(request.Claiming)
		*out = append(*out, e.claim())
		return
	}
	c.enqueue(now, e, out)
}
