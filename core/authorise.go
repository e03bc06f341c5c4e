package core

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

// authorise finds the request's organisation and what it asks for, and checks
// that the one may use the other.
func (c *Core) authorise(now time.Time, e *entry) *apierr.Error {
	switch {
	case c.draining:
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
	e.work = sched.Request{
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
	e.work = sched.Request{
		ID: e.request.ID, Organisation: org, Adapter: ref, Model: adapter.Model, Priority: e.request.Priority,
		Tokens: e.request.Tokens, Prefix: e.request.Prefix, Deadline: e.request.Deadline,
	}
	return nil
}

// stillAuthorised checks the key of a request that has waited.
func (c *Core) stillAuthorised(now time.Time, e *entry) *apierr.Error {
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

// repeatable reports whether the request may be executed more than once.
// Generating text is repeatable: it changes nothing outside the engine.
func (e *entry) repeatable() bool {
	return e.route == nil || e.route.Repeatable || e.request.Safe
}

// truthful returns err with what is known of the request's execution. A kind
// that can only say "not run" gives way to one that can say more, where an
// earlier attempt may have run.
func (e *entry) truthful(err *apierr.Error) *apierr.Error {
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

// failure is the error for an attempt that ended the request.
func (e *entry) failure(now time.Time, a AttemptEnded) *apierr.Error {
	ran := e.machine.Ran()
	kind := apierr.UpstreamFailed
	switch {
	case a.Outcome == request.CallerLeft || e.callerLeft:
		kind = apierr.CallerGone
	case a.Outcome == request.Rejected:
		kind = apierr.UpstreamRejected
	case ran != apierr.NotRun && !e.repeatable():
		kind = apierr.OutcomeUnknown
	case a.AnswerStarted:
		kind = apierr.AnswerCut
	case !now.Before(e.request.Deadline):
		kind = apierr.DeadlineExceeded
	}
	return e.truthful(apierr.New(kind, "upstream %s", e.upstream))
}
