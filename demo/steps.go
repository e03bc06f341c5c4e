package demo

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
)

// serveEveryAdapter sends a request for each adapter of each organisation, once for a
// whole answer and once for a stream.
func (r *run) serveEveryAdapter(ctx context.Context) {
	for _, o := range organisations {
		c := newCaller(o.secret)
		for _, a := range o.adapters {
			for _, stream := range []bool{false, true} {
				got, err := r.ask(ctx, c, a, stream)
				ok := err == nil && got.whole && answeredBy(got, a+"@"+firstVersion)
				r.check(ok, "%s asks %s, stream %t: %s", o.name, a, stream, outcome(got, err))
			}
		}
	}
}

// answeredBy reports whether the adapter version generated every word of the answer.
// The engine stand-in starts each word with the name of the adapter version.
func answeredBy(got reply, version string) bool {
	words := strings.Fields(got.text)
	foreign := func(w string) bool { return !strings.HasPrefix(w, version+"-") }
	return len(words) > 0 && !slices.ContainsFunc(words, foreign)
}

func outcome(got reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return got.String()
}

func refusedAs(got reply, kind apierr.Kind) bool {
	return got.code == kind.String() && got.ran == apierr.NotRun.String()
}

func (r *run) refuseForeign(ctx context.Context) {
	own, foreign := organisations[0], organisations[1].adapters[0]
	got, err := r.ask(ctx, newCaller(own.secret), foreign, false)
	r.check(err == nil && refusedAs(got, apierr.AdapterNotAllowed), "%s asks %s of another organisation: %s", own.name, foreign, outcome(got, err))
	got, err = r.ask(ctx, newCaller(""), foreign, false)
	r.check(err == nil && refusedAs(got, apierr.MissingKey), "a caller without a key asks %s: %s", foreign, outcome(got, err))
}

// callService reads the stock without a key and sends the same order twice with one
// idempotency key.
func (r *run) callService(ctx context.Context) {
	base := r.anyHost()
	got, err := newCaller("").call(ctx, http.MethodGet, base+stockRoute+"/lamp", "")
	r.check(err == nil && got.status == http.StatusOK, "anybody reads %s, an open route: %s", stockRoute, outcome(got, err))
	before := r.orders()
	got, err = newCaller(organisations[1].secret).call(ctx, http.MethodPost, base+ordersRoute, "order-1")
	r.check(err == nil && got.status == http.StatusOK, "%s places an order: %s", organisations[1].name, outcome(got, err))
	again, err := newCaller(organisations[1].secret).call(ctx, http.MethodPost, base+ordersRoute, "order-1")
	r.check(err == nil && again == got, "sent again with the same idempotency key, it gets the same answer: %s", outcome(again, err))
	executed := r.orders() - before
	r.check(executed == 1, "the service has executed the order %d time(s)", executed)
}

// orders returns the number of orders that the service has executed.
func (c *cluster) orders() int {
	count := 0
	for _, e := range c.service.Executions() {
		if e.Method == http.MethodPost {
			count++
		}
	}
	return count
}

// rollVersion makes a second version of an adapter the default. The first version
// remains available by its name.
func (r *run) rollVersion(ctx context.Context) {
	o := organisations[0]
	version := record.AdapterRef{Name: rolledAdapter, Version: secondVersion}
	revision, err := r.write(ctx, []record.Envelope{
		versionRecord(rolledAdapter, secondVersion), adapterRecord(rolledAdapter, o.name, secondVersion),
	})
	r.check(err == nil, "%s becomes the default: revision %d", version, revision)
	took, ok := r.inForce(ctx, revision)
	r.check(ok, "every host works from revision %d after %s", revision, took.Round(time.Millisecond))
	c := newCaller(o.secret)
	r.checkAnsweredBy(ctx, c, rolledAdapter, version.String())
	old := record.AdapterRef{Name: rolledAdapter, Version: firstVersion}.String()
	r.checkAnsweredBy(ctx, c, old, old)
}

func (r *run) checkAnsweredBy(ctx context.Context, c *caller, model, version string) {
	got, err := r.ask(ctx, c, model, true)
	r.check(err == nil && got.whole && answeredBy(got, version), "a request for %s: %s", model, outcome(got, err))
}

// inForce waits until every host works from the revision, and returns the time that it
// took. It returns false if the bound has passed first.
func (r *run) inForce(ctx context.Context, revision int64) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < r.bound && ctx.Err() == nil {
		behind := slices.ContainsFunc(r.hosts, func(h *host) bool { return h.daemon.Status().Revision < revision })
		if !behind {
			return time.Since(began), true
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began), false
}

// withdrawKey withdraws the key of a caller that is connected to every host.
func (r *run) withdrawKey(ctx context.Context) {
	c := newCaller(temporaryKey)
	for _, h := range r.hosts {
		got, err := c.chat(ctx, h.daemon.CallerURL(), organisations[0].adapters[1], false)
		r.check(err == nil && got.status == http.StatusOK, "the temporary key works on host %s", h.name)
	}
	_, err := r.write(ctx, []record.Envelope{keyRecord(temporaryKeyName, organisations[0].name, temporaryKey, true)})
	r.check(err == nil, "the temporary key is withdrawn")
	began := time.Now()
	for _, h := range r.hosts {
		got := r.untilRefused(ctx, c, h, began)
		r.check(refusedAs(got, apierr.InvalidKey), "host %s refuses the connected caller after %s: %s", h.name, time.Since(began).Round(time.Millisecond), got)
	}
}

func (r *run) untilRefused(ctx context.Context, c *caller, h *host, began time.Time) reply {
	for {
		got, err := c.chat(ctx, h.daemon.CallerURL(), organisations[0].adapters[1], false)
		if err == nil && got.code != "" || time.Since(began) > r.bound || ctx.Err() != nil {
			return got
		}
		time.Sleep(pollInterval)
	}
}

// streamsInDrain is the number of streams that run while a host is drained.
const streamsInDrain = 8

// drainHost drains the last host while streams run on it, and removes it from r.hosts.
func (r *run) drainHost(ctx context.Context) {
	leaving := r.hosts[len(r.hosts)-1]
	o := organisations[1]
	replies := make([]reply, streamsInDrain)
	errs := make([]error, streamsInDrain)
	var group sync.WaitGroup
	for i := range streamsInDrain {
		group.Go(func() {
			replies[i], errs[i] = newCaller(o.secret).chat(ctx, leaving.daemon.CallerURL(), o.adapters[0], true)
		})
	}
	r.untilBusy(ctx, leaving)
	r.say("host %s is drained with %d requests in flight", leaving.name, leaving.daemon.Status().InFlight)
	leaving.daemon.Drain()
	group.Wait()
	whole := 0
	for i, got := range replies {
		if errs[i] == nil && got.whole && answeredBy(got, o.adapters[0]+"@"+firstVersion) {
			whole++
		}
	}
	r.check(whole == streamsInDrain, "%d of %d streams came to their regular end", whole, streamsInDrain)
	select {
	case <-leaving.stopped:
		r.check(leaving.err == nil, "host %s has stopped by itself and cut no request", leaving.name)
	case <-time.After(drainTimeout):
		r.check(false, "host %s has stopped by itself", leaving.name)
	}
	r.hosts = r.hosts[:len(r.hosts)-1]
	r.check(r.unlisted(ctx, leaving), "locate no longer names host %s", leaving.name)
	got, err := r.ask(ctx, newCaller(o.secret), o.adapters[0], true)
	r.check(err == nil && got.whole, "%s is served by another host: %s", o.name, outcome(got, err))
}

// untilBusy waits until the host has streamsInDrain requests in flight, at most for the
// bound.
func (r *run) untilBusy(ctx context.Context, h *host) {
	began := time.Now()
	for h.daemon.Status().InFlight < streamsInDrain && time.Since(began) < r.bound && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

func (r *run) unlisted(ctx context.Context, h *host) bool {
	began := time.Now()
	for time.Since(began) < r.bound {
		answer, err := newCaller("").locate(ctx, r.anyHost(), "", "")
		if err != nil {
			return false
		}
		named := false
		for _, choice := range answer.Hosts {
			named = named || choice.Host == h.name
		}
		if !named {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// searchForKeys checks that no request sent to an upstream contains a caller's key.
func (r *run) searchForKeys(context.Context) {
	requests, leaks := 0, 0
	seen := func(parts ...string) {
		requests++
		if strings.Contains(strings.Join(parts, "\n"), record.SecretPrefix) {
			leaks++
		}
	}
	for _, e := range r.engines {
		for _, x := range e.Executions() {
			seen(x.URL, x.Body, headerText(x.Header))
		}
	}
	for _, x := range r.service.Executions() {
		seen(x.URL, x.Body, headerText(x.Header))
	}
	r.check(leaks == 0 && requests > 0, "no key in any of the %d requests that the upstreams were sent", requests)
}

func headerText(h http.Header) string {
	var b strings.Builder
	_ = h.Write(&b) // a strings.Builder never fails
	return b.String()
}
