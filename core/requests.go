package core

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

// entry is one request that has not ended.
type entry struct {
	request  Request
	machine  request.Machine
	org      string
	adapter  record.AdapterRef
	route    *record.Route
	work     sched.Request
	reserved int64
	upstream string
	// ranBefore is what was known of execution when the attempt was dispatched.
	ranBefore apierr.Ran
	quota     Quota
	// retryAt is when a request that is backing off is enqueued again.
	retryAt time.Time
	// callerLeft says that nobody waits for the answer any more.
	callerLeft bool
	// suspect requests were suspected of crashing upstreams when last enqueued.
	suspect bool
	// dispatchedAt is when the last attempt began.
	dispatchedAt time.Time
}

func (c *Core) onRequestEvent(now time.Time, ev requestEvent, out *decisions) {
	switch e := ev.(type) {
	case RequestArrived:
		c.onArrival(now, e.Request, out)
	case CallerLeft:
		c.onCallerLeft(now, e.ID, out)
	case FirstByteReceived:
		c.onAnswerStarted(e)
	case AttemptEnded:
		c.onAttemptEnded(now, e, out)
	case ClaimEnded:
		c.onClaimEnded(now, e, out)
	}
}

func (c *Core) onArrival(now time.Time, r Request, out *decisions) {
	e := &entry{request: r}
	if err := c.authorise(now, e); err != nil {
		e.machine.TransitionTo(request.Failed)
		out.finish(e, err, "authorise")
		return
	}
	e.machine.TransitionTo(request.Authorised)
	if err := c.checkQuarantine(now, e); err != nil {
		e.machine.TransitionTo(request.Failed)
		out.finish(e, err, "quarantine")
		return
	}
	c.reserve(now, e, out)
}

func (c *Core) enqueue(now time.Time, e *entry, out *decisions) {
	if e.machine.State() != request.BackingOff && c.mustWait(now, e) {
		c.putOff(now, e)
		return
	}
	e.suspect = c.isSuspect(now, e)
	e.machine.TransitionTo(request.Queued)
	c.onScheduled(now, c.scheduler.Enqueue(now, e.work), out)
}

func (c *Core) onClaimEnded(now time.Time, end ClaimEnded, out *decisions) {
	e, ok := c.requests[end.ID]
	if !ok || e.machine.State() != request.Claiming {
		return
	}
	switch {
	case end.Err != nil:
		c.fail(now, e, end.Err, "claim", out)
	case end.Replayed:
		c.done(now, e, 0, out)
	default:
		c.enqueue(now, e, out)
	}
}

func (c *Core) onCallerLeft(now time.Time, id sched.RequestID, out *decisions) {
	e, ok := c.requests[id]
	if !ok {
		return
	}
	if e.machine.State() == request.Dispatched || e.machine.State() == request.Streaming {
		e.callerLeft = true
		return // the attempt ends by itself
	}
	c.onScheduled(now, c.scheduler.Cancel(now, id), out)
	c.fail(now, e, e.truthful(apierr.New(apierr.CallerGone, "")), "caller_left", out)
}

func (c *Core) onAnswerStarted(a FirstByteReceived) {
	e, ok := c.requests[a.ID]
	if ok && e.machine.State() == request.Dispatched {
		e.machine.TransitionTo(request.Streaming)
	}
}

func (c *Core) onAttemptEnded(now time.Time, a AttemptEnded, out *decisions) {
	e, ok := c.requests[a.ID]
	if !ok || (e.machine.State() != request.Dispatched && e.machine.State() != request.Streaming) {
		return
	}
	a.AnswerStarted = a.AnswerStarted || e.machine.State() == request.Streaming
	e.machine.AttemptEnded(a.Outcome, e.ranBefore)
	end := sched.AttemptEnd{ID: a.ID, Upstream: e.upstream, Outcome: a.Outcome, NotLoaded: a.NotLoaded, FirstToken: a.FirstToken}
	freed := c.scheduler.AttemptEnded(now, end)
	if a.ConnectionLost {
		c.onConnectionLost(now, e, out)
	}
	c.afterAttempt(now, e, a, out)
	c.onScheduled(now, freed, out)
}

func (c *Core) afterAttempt(now time.Time, e *entry, a AttemptEnded, out *decisions) {
	if a.Outcome == request.Completed {
		c.clearSuspect(now, e, out)
		c.done(now, e, a.UsedTokens, out)
		return
	}
	if c.mayRetry(now, e, a) {
		c.retry(now, e, a, out)
		return
	}
	executed := a.Outcome != request.NotExecuted && a.Outcome != request.Rejected
	if executed && a.UsedTokens >= 0 {
		c.settle(now, e, a.UsedTokens, out)
	}
	c.fail(now, e, e.failure(now, a), a.Outcome.String(), out)
}

// claim asks for the request's idempotency key to be recorded.
func (e *entry) claim() Claim {
	return Claim{
		ID: e.request.ID, Key: e.request.IdempotencyKey, Organisation: e.org,
		Fingerprint: e.request.Fingerprint, Deadline: e.request.Deadline, Quota: e.quota,
	}
}

// done ends a request whose whole answer was given.
func (c *Core) done(now time.Time, e *entry, used int64, out *decisions) {
	c.settle(now, e, used, out)
	e.machine.TransitionTo(request.Done)
	delete(c.requests, e.request.ID)
	*out = append(*out, Finish{ID: e.request.ID, Quota: e.quota})
}

// fail ends a request with an error. What has not run costs nothing.
func (c *Core) fail(now time.Time, e *entry, err *apierr.Error, rule string, out *decisions) {
	if e.machine.Ran() == apierr.NotRun {
		c.settle(now, e, 0, out)
	}
	e.machine.TransitionTo(request.Failed)
	delete(c.requests, e.request.ID)
	out.finish(e, err, rule)
}

// settle replaces the reservation by what was used. A negative used means that
// it is not known: the whole reservation stays spent.
func (c *Core) settle(now time.Time, e *entry, used int64, out *decisions) {
	if e.reserved == 0 || used < 0 {
		return
	}
	if e.route != nil && used > 0 {
		used = e.route.CostTokens
	}
	c.limited(c.limiter.Settle(now, e.org, e.reserved, used), out)
	e.reserved = 0
}

// onDispatch checks the key again, since it may have been withdrawn while the
// request waited.
func (c *Core) onDispatch(now time.Time, d sched.Dispatch, out *decisions) {
	e, ok := c.requests[d.ID]
	u, known := c.config.Upstream(d.Upstream)
	if !ok {
		return
	}
	if err := c.stillAuthorised(now, e); err != nil {
		c.undispatch(now, d, out)
		c.fail(now, e, e.truthful(err), "authorise", out)
		return
	}
	if !known {
		c.undispatch(now, d, out)
		c.fail(now, e, e.truthful(apierr.New(apierr.NoUpstream, "")), "upstream_removed", out)
		return
	}
	e.ranBefore = e.machine.Ran()
	e.upstream = d.Upstream
	e.dispatchedAt = now
	e.machine.TransitionTo(request.Dispatched)
	if e.machine.Attempts() == 1 {
		c.retries.earn(organisationBudget(e.org))
		c.retries.earn(upstreamBudget(e.upstream))
	}
	*out = append(*out, Dispatch{
		ID: d.ID, Upstream: u, Adapter: e.adapter, Route: e.route, Attempt: e.machine.Attempts(),
		Repeatable: e.repeatable(), Quota: e.quota, Why: d.Why,
	})
}

// undispatch tells the scheduler that a dispatch did not take place.
func (c *Core) undispatch(now time.Time, d sched.Dispatch, out *decisions) {
	end := sched.AttemptEnd{ID: d.ID, Upstream: d.Upstream, Outcome: request.CallerLeft}
	c.onScheduled(now, c.scheduler.AttemptEnded(now, end), out)
}
