package core

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

// Bounds on the attempts after the first one.
const (
	// MaxAttempts bounds how often one request is dispatched.
	MaxAttempts = 3
	// RetryFraction is the number of retries that each first attempt adds to the budgets of its
	// organisation and of its upstream.
	RetryFraction = 0.1
	// RetryReserve is the capacity and the initial value of a budget, in retries.
	RetryReserve = 10
	// backoffBase and backoffMax bound the wait before a retry.
	backoffBase = 25 * time.Millisecond
	backoffMax  = time.Second
)

// retryBudget limits retries to a fraction of the first attempts, so that they do not multiply the
// load during an outage.
type retryBudget struct {
	balances map[string]float64
}

func newRetryBudget() retryBudget {
	return retryBudget{balances: map[string]float64{}}
}

func (b *retryBudget) balance(name string) float64 {
	if remaining, ok := b.balances[name]; ok {
		return remaining
	}
	return RetryReserve
}

// credit adds RetryFraction to the budget for a first attempt.
func (b *retryBudget) credit(name string) {
	b.balances[name] = math.Min(RetryReserve, b.balance(name)+RetryFraction)
}

// spend takes one retry from both budgets, or from neither if one of them has none left.
func (b *retryBudget) spend(first, second string) bool {
	if b.balance(first) < 1 || b.balance(second) < 1 {
		return false
	}
	b.balances[first] = b.balance(first) - 1
	b.balances[second] = b.balance(second) - 1
	return true
}

// The prefixes separate an organisation's budget from that of an upstream with the same name.
func organisationBudget(name string) string { return "organisation/" + name }
func upstreamBudget(name string) string     { return "upstream/" + name }

// prune removes the budgets whose owner is no longer in the configuration.
func (b *retryBudget) prune(known func(budget string) bool) {
	for name := range b.balances {
		if !known(name) {
			delete(b.balances, name)
		}
	}
}

// ownsRetryBudget reports whether the owner of a budget is in the configuration.
func (c *Core) ownsRetryBudget(budget string) bool {
	kind, name, _ := strings.Cut(budget, "/")
	if kind == "organisation" {
		_, ok := c.config.Organisation(name)
		return ok || name == ""
	}
	_, ok := c.config.Upstream(name)
	return ok
}

// backoff returns the wait after the given number of attempts. It doubles with each attempt up to
// backoffMax; the result is drawn from the upper half, so that retries are spread out.
func backoff(random *rand.Rand, attempts int) time.Duration {
	limit := min(backoffBase<<min(attempts-1, 10), backoffMax)
	half := limit / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}

// mayRetry reports whether another attempt may follow one that has ended. An attempt at an engine that
// did not have the adapter loaded costs almost nothing and is not taken from the budgets.
func (c *Core) mayRetry(now time.Time, e *entry, a AttemptEnded) bool {
	switch {
	case a.NoMemory: // there is none for the next answer either, and the upstream would run the request for nothing
		return false
	case c.stopping, a.Outcome == request.CallerLeft, a.Outcome == request.Rejected, a.Outcome == request.Errored:
		return false
	case e.callerLeft, e.machine.Attempts() >= MaxAttempts, !now.Before(e.request.Deadline):
		return false
	case !e.machine.MayRetry(e.repeatable(), a.AnswerStarted):
		return false
	}
	return a.NotLoaded || c.retries.spend(organisationBudget(e.org), upstreamBudget(e.upstream))
}

// retry defers the request until its backoff has passed. After an attempt at an engine that did not
// have the adapter loaded, it is enqueued at once: that attempt put no load on the engine.
func (c *Core) retry(now time.Time, e *entry, a AttemptEnded, out *decisions) {
	if a.NotLoaded {
		c.enqueue(now, e, out)
		return
	}
	e.schedRequest.Avoid = append(e.schedRequest.Avoid, e.upstream)
	if !c.hasAlternative(e) {
		e.schedRequest.Avoid = nil
	}
	c.deferUntil(now.Add(backoff(c.random, e.machine.Attempts())), e)
}

// deferUntil makes a request back off until the given time or later.
func (c *Core) deferUntil(until time.Time, e *entry) {
	e.machine.TransitionTo(request.BackingOff)
	e.retryAt = until
	c.backingOff = append(c.backingOff, e.request.ID)
}

// hasAlternative reports whether the configuration has an upstream for the request that is not in its
// list of upstreams to avoid.
func (c *Core) hasAlternative(e *entry) bool {
	for name, u := range c.config.Upstreams() {
		serves := u.Class == record.ClassEngine && u.Model == e.schedRequest.Model
		if e.schedRequest.Pool != "" {
			serves = u.Class == record.ClassService && u.Pool == e.schedRequest.Pool
		}
		if serves && !u.Leaving && !slices.Contains(e.schedRequest.Avoid, name) {
			return true
		}
	}
	return false
}

// resumeBackingOff enqueues the requests whose backoff has passed, in the order in which they began to
// back off.
func (c *Core) resumeBackingOff(now time.Time, out *decisions) {
	ids := c.backingOff
	c.backingOff = nil
	var remaining []sched.RequestID
	c.failIneligible(now, ids, out)
	for _, id := range ids {
		e, ok := c.requests[id]
		switch {
		case !ok || e.machine.State() != request.BackingOff:
		case now.Before(e.retryAt), c.mustWait(now, e):
			remaining = append(remaining, id)
		default:
			c.enqueue(now, e, out)
		}
	}
	c.backingOff = append(remaining, c.backingOff...)
}
