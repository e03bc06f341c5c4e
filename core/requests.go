package core

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

// entry is the state of one request that has not ended.
type entry struct {
	request      Request
	machine      request.Machine
	org          string
	adapter      record.AdapterRef
	route        *record.Route
	schedRequest sched.Request
	reserved     int64
	upstream     string
	// ranBefore is the execution state of the request when the last attempt was dispatched.
	ranBefore apierr.Ran
	quota     Quota
	// retryAt is when a request that is backing off is enqueued again.
	retryAt time.Time
	// callerLeft is set once the caller has disconnected.
	callerLeft bool
	// suspect is set if the request was suspected of crashing upstreams when it was last enqueued.
	suspect bool
	// dispatchedAt is when the last attempt was dispatched.
	dispatchedAt time.Time
}

func (c *Core) onRequestEvent(now time.Time, ev requestEvent, out *decisions) {
	switch e := ev.(type) {
	case RequestArrived:
		c.onArrival(now, e.Request, out)
	case CallerLeft:
		c.onCallerLeft(now, e.ID, out)
	case FirstByteReceived:
		c.onFirstByte(e)
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
		c.deferUntil(now, e)
		return
	}
	e.suspect = c.isSuspect(now, e)
	e.machine.TransitionTo(request.Queued)
	c.applyScheduler(now, c.scheduler.Enqueue(now, e.schedRequest), out)
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
		c.complete(now, e, 0, out)
	case c.stopping:
		c.fail(now, e, apierr.New(apierr.Draining, ""), "stop", out)
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
		return // the request ends with its attempt
	}
	c.applyScheduler(now, c.scheduler.Cancel(now, id), out)
	c.fail(now, e, e.withExecution(apierr.New(apierr.CallerGone, "")), "caller_left", out)
}

// onStop ends every request that waits. The others end with their attempt, or with the claim of their idempotency key.
func (c *Core) onStop(now time.Time, out *decisions) {
	c.draining, c.stopping = true, true
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		e := c.requests[id]
		switch e.machine.State() {
		case request.Dispatched, request.Streaming, request.Claiming:
			continue
		}
		c.applyScheduler(now, c.scheduler.Cancel(now, id), out)
		c.fail(now, e, e.withExecution(apierr.New(apierr.Draining, "")), "stop", out)
	}
}

func (c *Core) onFirstByte(ev FirstByteReceived) {
	e, ok := c.requests[ev.ID]
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
	scheduled := c.scheduler.AttemptEnded(now, end)
	if a.ConnectionLost {
		c.onConnectionLost(now, e, out)
	}
	c.afterAttempt(now, e, a, out)
	c.applyScheduler(now, scheduled, out)
}

// noMemoryRule is the rule of a request that ended since there was no memory for its answer.
const noMemoryRule = "caller_memory"

func (c *Core) afterAttempt(now time.Time, e *entry, a AttemptEnded, out *decisions) {
	if a.Outcome == request.Completed {
		c.clearSuspect(now, e, out)
		c.complete(now, e, a.UsedTokens, out)
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
	rule := a.Outcome.String()
	if a.NoMemory {
		rule = noMemoryRule
	}
	c.fail(now, e, e.attemptError(now, a), rule, out)
}

// claim returns the decision that records the request's idempotency key.
func (e *entry) claim() Claim {
	return Claim{
		ID: e.request.ID, Key: e.request.IdempotencyKey, Organisation: e.org,
		Fingerprint: e.request.Fingerprint, Deadline: e.request.Deadline, Quota: e.quota,
	}
}

// complete ends a request whose complete answer was delivered.
func (c *Core) complete(now time.Time, e *entry, used int64, out *decisions) {
	c.settle(now, e, used, out)
	e.machine.TransitionTo(request.Done)
	delete(c.requests, e.request.ID)
	*out = append(*out, Finish{ID: e.request.ID, Quota: e.quota})
}

// fail ends a request with an error. A request that has not run costs nothing.
func (c *Core) fail(now time.Time, e *entry, err *apierr.Error, rule string, out *decisions) {
	if e.machine.Ran() == apierr.NotRun {
		c.settle(now, e, 0, out)
	}
	e.machine.TransitionTo(request.Failed)
	delete(c.requests, e.request.ID)
	out.finish(e, err, rule)
}

// settle replaces the reservation by the tokens used. A negative value means that the usage is
// unknown: the whole reservation stays spent.
func (c *Core) settle(now time.Time, e *entry, used int64, out *decisions) {
	if e.reserved == 0 || used < 0 {
		return
	}
	if e.route != nil && used > 0 {
		used = e.route.CostTokens
	}
	c.applyLimiter(c.limiter.Settle(now, e.org, e.reserved, used), out)
	e.reserved = 0
}

// onDispatch dispatches a request. It checks the key again, because it may have been withdrawn while
// the request waited.
func (c *Core) onDispatch(now time.Time, d sched.Dispatch, out *decisions) {
	e, ok := c.requests[d.ID]
	u, known := c.config.Upstream(d.Upstream)
	if !ok {
		return
	}
	if err := c.reauthorise(now, e); err != nil {
		c.cancelDispatch(now, d, out)
		c.fail(now, e, e.withExecution(err), "authorise", out)
		return
	}
	if !known {
		c.cancelDispatch(now, d, out)
		c.fail(now, e, e.withExecution(apierr.New(apierr.NoUpstream, "")), "upstream_removed", out)
		return
	}
	e.ranBefore = e.machine.Ran()
	e.upstream = d.Upstream
	e.dispatchedAt = now
	e.machine.TransitionTo(request.Dispatched)
	if e.machine.Attempts() == 1 {
		c.retries.credit(organisationBudget(e.org))
		c.retries.credit(upstreamBudget(e.upstream))
	}
	*out = append(*out, Dispatch{
		ID: d.ID, Upstream: u, Adapter: e.adapter, Route: e.route, Attempt: e.machine.Attempts(),
		Repeatable: e.repeatable(), Quota: e.quota, Why: d.Why,
	})
}

// cancelDispatch reports to the scheduler that a dispatch did not take place.
func (c *Core) cancelDispatch(now time.Time, d sched.Dispatch, out *decisions) {
	end := sched.AttemptEnd{ID: d.ID, Upstream: d.Upstream, Outcome: request.CallerLeft}
	c.applyScheduler(now, c.scheduler.AttemptEnded(now, end), out)
}
