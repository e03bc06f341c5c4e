package core

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

// waiting are the reservations that another host is being asked for.
type waiting struct {
	tickets map[limit.Ticket]waitingRequest
	// resolved are verdicts that have come while an event was handled.
	resolved []limit.Resolved
}

// waitingRequest is a request that waits for tokens. It may end meanwhile, so
// that what was asked for is kept here as well.
type waitingRequest struct {
	id     sched.RequestID
	org    string
	tokens int64
}

// limited takes the limiter's decisions.
func (c *Core) limited(from []limit.Decision, out *decisions) {
	for _, d := range from {
		if r, ok := d.(limit.Resolved); ok {
			c.waiting.resolved = append(c.waiting.resolved, r)
		}
	}
	out.limited(from)
}

// onResolved takes the verdicts that have come. Each may bring further ones.
func (c *Core) onResolved(now time.Time, out *decisions) {
	for len(c.waiting.resolved) > 0 {
		r := c.waiting.resolved[0]
		c.waiting.resolved = c.waiting.resolved[1:]
		if c.budget.resolved(now, r) {
			c.onScheduled(now, c.scheduler.Tick(now), out)
		} else {
			c.onVerdict(now, r, out)
		}
		c.limited(c.budget.take(), out)
	}
}

// onVerdict goes on with a request that has waited for tokens. Those of one that
// has ended go back.
func (c *Core) onVerdict(now time.Time, r limit.Resolved, out *decisions) {
	w, ok := c.waiting.tickets[r.Ticket]
	if !ok {
		return
	}
	delete(c.waiting.tickets, r.Ticket)
	e, alive := c.requests[w.id]
	switch {
	case alive:
		c.decideRate(now, e, w.tokens, r.Verdict, out)
	case r.Verdict.OK:
		c.limited(c.limiter.Settle(now, w.org, w.tokens, 0), out)
	}
}

// reserve sets the request's tokens aside, at once or when another host has
// answered. Open routes belong to no organisation and are not counted.
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
	c.limited(messages, out)
	if v.Pending {
		c.requests[e.request.ID] = e
		c.waiting.tickets[v.Ticket] = waitingRequest{id: e.request.ID, org: e.org, tokens: tokens}
		return
	}
	c.decideRate(now, e, tokens, v, out)
}

// decideRate admits or refuses a request by the limiter's verdict.
func (c *Core) decideRate(now time.Time, e *entry, tokens int64, v limit.Verdict, out *decisions) {
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

// rateError is the refusal for a verdict. Only a limiter that has looked says
// that the rate is used up.
func rateError(tokens int64, v limit.Verdict) *apierr.Error {
	switch {
	case v.OverBurst:
		return apierr.New(apierr.CostOverBurst, "%d tokens asked for, burst %d", tokens, v.Limit)
	case !v.Exhausted:
		return apierr.New(apierr.RateUnknown, "").WithRetryAfter(v.RetryAfter)
	}
	return apierr.New(apierr.RateLimited, "%d tokens asked for", tokens).WithRetryAfter(v.RetryAfter)
}

// admit goes on with a request whose tokens are set aside.
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
