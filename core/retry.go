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

// Bounds on attempts after the first one.
const (
	// MaxAttempts bounds how often one request is given to an upstream.
	MaxAttempts = 3
	// RetryFraction is how many retries each first attempt adds to the budgets
	// of its organisation and of its upstream.
	RetryFraction = 0.1
	// RetryReserve is the most retries that a budget can hold, and what it
	// starts with.
	RetryReserve = 10
	// backoffFirst and backoffMost bound the wait before a retry.
	backoffFirst = 25 * time.Millisecond
	backoffMost  = time.Second
)

// retryBudget keeps retries to a fraction of first attempts, so that an outage
// is not multiplied.
type retryBudget struct {
	left map[string]float64
}

func newRetryBudget() retryBudget {
	return retryBudget{left: map[string]float64{}}
}

func (b *retryBudget) get(name string) float64 {
	if left, ok := b.left[name]; ok {
		return left
	}
	return RetryReserve
}

// earn adds to the budget for a first attempt.
func (b *retryBudget) earn(name string) {
	b.left[name] = math.Min(RetryReserve, b.get(name)+RetryFraction)
}

// take uses one retry of both budgets, or none of either.
func (b *retryBudget) take(first, second string) bool {
	if b.get(first) < 1 || b.get(second) < 1 {
		return false
	}
	b.left[first] = b.get(first) - 1
	b.left[second] = b.get(second) - 1
	return true
}

// The prefixes keep an organisation's budget from an upstream's of the same name.
func organisationBudget(name string) string { return "organisation/" + name }
func upstreamBudget(name string) string     { return "upstream/" + name }

// forget drops the budgets whose owner the configuration no longer has.
func (b *retryBudget) forget(known func(budget string) bool) {
	for name := range b.left {
		if !known(name) {
			delete(b.left, name)
		}
	}
}

// ownsRetryBudget reports whether a budget's owner is in the configuration.
func (c *Core) ownsRetryBudget(budget string) bool {
	kind, name, _ := strings.Cut(budget, "/")
	if kind == "organisation" {
		_, ok := c.config.Organisation(name)
		return ok || name == ""
	}
	_, ok := c.config.Upstream(name)
	return ok
}

// backoff returns the wait before the attempt after the given one: doubled with
// each, and drawn from the upper half so that retries do not come together.
func backoff(random *rand.Rand, attempts int) time.Duration {
	most := min(backoffFirst<<min(attempts-1, 10), backoffMost)
	half := most / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}

// mayRetry reports whether an attempt that has ended may be followed by
// another. A try at an engine that did not hold the adapter costs next to
// nothing and is not taken from the budgets.
func (c *Core) mayRetry(now time.Time, e *entry, a AttemptEnded) bool {
	switch {
	case a.Outcome == request.CallerLeft, a.Outcome == request.Rejected, a.Outcome == request.Errored:
		return false
	case e.callerLeft, e.machine.Attempts() >= MaxAttempts, !now.Before(e.request.Deadline):
		return false
	case !e.machine.MayRetry(e.repeatable(), a.AnswerStarted):
		return false
	}
	return a.NotLoaded || c.retries.take(organisationBudget(e.org), upstreamBudget(e.upstream))
}

// retry puts the request off until its wait has passed. An engine that did not
// hold the adapter has cost nothing, so that there is nothing to wait for.
func (c *Core) retry(now time.Time, e *entry, a AttemptEnded, out *decisions) {
	if a.NotLoaded {
		c.enqueue(now, e, out)
		return
	}
	e.work.Avoid = append(e.work.Avoid, e.upstream)
	if !c.hasOther(e) {
		e.work.Avoid = nil
	}
	c.putOff(now.Add(backoff(c.random, e.machine.Attempts())), e)
}

// putOff lets a request wait until the given time at the least.
func (c *Core) putOff(until time.Time, e *entry) {
	e.machine.TransitionTo(request.BackingOff)
	e.retryAt = until
	c.backingOff = append(c.backingOff, e.request.ID)
}

// hasOther reports whether the configuration has an upstream for the request
// that has not failed it.
func (c *Core) hasOther(e *entry) bool {
	for name, u := range c.config.Upstreams() {
		serves := u.Class == record.ClassEngine && u.Model == e.work.Model
		if e.work.Pool != "" {
			serves = u.Class == record.ClassService && u.Pool == e.work.Pool
		}
		if serves && !u.Leaving && !slices.Contains(e.work.Avoid, name) {
			return true
		}
	}
	return false
}

// resume enqueues the requests whose wait has passed, in the order in which
// they began to wait.
func (c *Core) resume(now time.Time, out *decisions) {
	waiting := c.backingOff
	c.backingOff = nil
	var still []sched.RequestID
	c.refuseSuspects(now, waiting, out)
	for _, id := range waiting {
		e, ok := c.requests[id]
		switch {
		case !ok || e.machine.State() != request.BackingOff:
		case now.Before(e.retryAt), c.mustWait(now, e):
			still = append(still, id)
		default:
			c.enqueue(now, e, out)
		}
	}
	c.backingOff = append(still, c.backingOff...)
}
