package core

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

// authorise sets the request's organisation and its route or adapter, and checks that the organisation
// may use the route or adapter.
func (c *Core) authorise(now time.Time, e *entry) *apierr.Error {
	switch {
	case c.draining, !c.leavingUntil.IsZero() && e.request.Deadline.After(c.leavingUntil):
		return apierr.New(apierr.Draining, "")
	case c.config.Revision == 0:
		return apierr.New(apierr.NotReady, "")
	}
	if e.request.Model == "" {
		return c.authoriseRoute(now, e)
	}
	return c.authoriseAdapter(now, e)
}

func (c *Core) organisation(now time.Time, e *entry) (string, *apierr.Error) {
	if !e.request.HasKey {
		return "", apierr.New(apierr.MissingKey, "send it as Authorization: Bearer")
	}
	org, ok := c.config.Authorised(e.request.KeyHash)
	switch {
	case c.stale(now):
		return "", errStale()
	case !ok:
		return "", apierr.New(apierr.InvalidKey, "")
	}
	return org, nil
}

func (c *Core) authoriseRoute(now time.Time, e *entry) *apierr.Error {
	route, ok := c.config.Route(e.request.Path)
	if !ok {
		return apierr.New(apierr.UnknownRoute, "")
	}
	if !route.Open {
		org, err := c.organisation(now, e)
		if err != nil {
			return err
		}
		e.org = org
	}
	e.route = route
	e.schedRequest = sched.Request{
		ID: e.request.ID, Organisation: e.org, Pool: route.Pool, Priority: route.Priority,
		Tokens: route.CostTokens, Deadline: e.request.Deadline,
	}
	return nil
}

func (c *Core) authoriseAdapter(now time.Time, e *entry) *apierr.Error {
	org, err := c.organisation(now, e)
	if err != nil {
		return err
	}
	e.org = org
	adapter, ref, ok := c.config.Resolve(e.request.Model)
	if adapter != nil && !c.config.MayUse(org, adapter) {
		return apierr.New(apierr.AdapterNotAllowed, "%s", ref.Name).WithParam("model")
	}
	if !ok {
		return apierr.New(apierr.UnknownModel, "%s", e.request.Model).WithParam("model")
	}
	e.adapter = ref
	e.schedRequest = sched.Request{
		ID: e.request.ID, Organisation: org, Adapter: ref, Model: adapter.Model, Priority: e.request.Priority,
		Tokens: e.request.Tokens, Prefix: e.request.Prefix, Deadline: e.request.Deadline,
	}
	return nil
}

// reauthorise checks the key of a request again after the request has waited.
func (c *Core) reauthorise(now time.Time, e *entry) *apierr.Error {
	if e.route != nil && e.route.Open {
		return nil
	}
	if c.stale(now) {
		return errStale()
	}
	org, ok := c.config.Authorised(e.request.KeyHash)
	if !ok || org != e.org {
		return apierr.New(apierr.InvalidKey, "it was withdrawn while the request waited")
	}
	return nil
}

// repeatable reports whether the request may be executed more than once. Text generation is
// repeatable: it has no effect outside the engine.
func (e *entry) repeatable() bool {
	return e.route == nil || e.route.Repeatable || e.request.Safe
}

// withExecution returns err with the execution state of the request. If an earlier attempt may have
// run, an error kind that can only mean "not run" is replaced by one that allows other states.
func (e *entry) withExecution(err *apierr.Error) *apierr.Error {
	ran := e.machine.Ran()
	if err.Kind.Definition().Allows(ran) {
		return err.WithRan(ran)
	}
	kind := apierr.UpstreamFailed
	if !e.repeatable() {
		kind = apierr.OutcomeUnknown
	}
	return apierr.New(kind, "%s", err.Message()).WithRan(ran).WithRetryAfter(err.RetryAfter)
}

// attemptError returns the error for a request that ends with the given attempt.
func (e *entry) attemptError(now time.Time, a AttemptEnded) *apierr.Error {
	ran := e.machine.Ran()
	kind, detail := apierr.UpstreamFailed, "upstream "+e.upstream
	if a.NoMemory {
		detail = "this host has no memory for the answer"
	}
	switch {
	case a.Outcome == request.CallerLeft || e.callerLeft:
		kind = apierr.CallerGone
	case a.Outcome == request.Rejected:
		kind = apierr.UpstreamRejected
	case ran != apierr.NotRun && !e.repeatable():
		kind = apierr.OutcomeUnknown
	case a.AnswerStarted, a.NoMemory:
		kind = apierr.AnswerCut
	case !now.Before(e.request.Deadline):
		kind = apierr.DeadlineExceeded
	}
	return e.withExecution(apierr.New(kind, "%s", detail))
}
