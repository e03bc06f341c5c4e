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

// checkAdapters sends a request for each adapter of each organisation, once for a
// whole answer and once for a stream.
func (r *run) checkAdapters(ctx context.Context) {
	for _, o := range organisations {
		c := newCaller(o.secret)
		for _, a := range o.adapters {
			for _, stream := range []bool{false, true} {
				got, err := r.locateAndChat(ctx, c, a, stream)
				ok := err == nil && got.complete && answeredBy(got, a+"@"+firstVersion)
				r.check(ok, "%s asks %s, stream %t: %s", o.name, a, stream, describe(got, err))
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

func describe(got reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return got.String()
}

func isRefusal(got reply, kind apierr.Kind) bool {
	return got.code == kind.String() && got.ran == apierr.NotRun.String()
}

func (r *run) checkForeignAdapter(ctx context.Context) {
	own, foreign := organisations[0], organisations[1].adapters[0]
	got, err := r.locateAndChat(ctx, newCaller(own.secret), foreign, false)
	r.check(err == nil && isRefusal(got, apierr.AdapterNotAllowed), "%s asks %s of another organisation: %s", own.name, foreign, describe(got, err))
	got, err = r.locateAndChat(ctx, newCaller(""), foreign, false)
	r.check(err == nil && isRefusal(got, apierr.MissingKey), "a caller without a key asks %s: %s", foreign, describe(got, err))
}

// callService reads the stock without a key and sends the same order twice with one
// idempotency key.
func (r *run) callService(ctx context.Context) {
	base := r.anyHost()
	got, err := newCaller("").call(ctx, http.MethodGet, base+stockRoute+"/lamp", "")
	r.check(err == nil && got.status == http.StatusOK, "anybody reads %s, an open route: %s", stockRoute, describe(got, err))
	before := r.orders()
	got, err = newCaller(organisations[1].secret).call(ctx, http.MethodPost, base+ordersRoute, "order-1")
	r.check(err == nil && got.status == http.StatusOK, "%s places an order: %s", organisations[1].name, describe(got, err))
	again, err := newCaller(organisations[1].secret).call(ctx, http.MethodPost, base+ordersRoute, "order-1")
	r.check(err == nil && again == got, "sent again with the same idempotency key, it gets the same answer: %s", describe(again, err))
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

// updateDefaultVersion makes a second version of an adapter the default. The first version
// remains available by its name.
func (r *run) updateDefaultVersion(ctx context.Context) {
	o := organisations[0]
	version := record.AdapterRef{Name: updatedAdapter, Version: secondVersion}
	revision, err := r.writeRecords(ctx, []record.Envelope{
		versionRecord(updatedAdapter, secondVersion), adapterRecord(updatedAdapter, o.name, secondVersion),
	})
	r.check(err == nil, "%s becomes the default: revision %d", version, revision)
	took, ok := r.waitInForce(ctx, revision)
	r.check(ok, "every host works from revision %d after %s", revision, took.Round(time.Millisecond))
	c := newCaller(o.secret)
	r.checkAnsweredBy(ctx, c, updatedAdapter, version.String())
	old := record.AdapterRef{Name: updatedAdapter, Version: firstVersion}.String()
	r.checkAnsweredBy(ctx, c, old, old)
}

func (r *run) checkAnsweredBy(ctx context.Context, c *caller, model, version string) {
	got, err := r.locateAndChat(ctx, c, model, true)
	r.check(err == nil && got.complete && answeredBy(got, version), "a request for %s: %s", model, describe(got, err))
}

// waitInForce waits until every host works from the revision, and returns the time that it
// took. It returns false if the bound has passed first.
func (r *run) waitInForce(ctx context.Context, revision int64) (time.Duration, bool) {
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
	_, err := r.writeRecords(ctx, []record.Envelope{keyRecord(temporaryKeyName, organisations[0].name, temporaryKey, true)})
	r.check(err == nil, "the temporary key is withdrawn")
	began := time.Now()
	for _, h := range r.hosts {
		got := r.waitRefused(ctx, c, h, began)
		r.check(isRefusal(got, apierr.InvalidKey), "host %s refuses the connected caller after %s: %s", h.name, time.Since(began).Round(time.Millisecond), got)
	}
}

func (r *run) waitRefused(ctx context.Context, c *caller, h *host, began time.Time) reply {
	for {
		got, err := c.chat(ctx, h.daemon.CallerURL(), organisations[0].adapters[1], false)
		if err == nil && got.code != "" || time.Since(began) > r.bound || ctx.Err() != nil {
			return got
		}
		time.Sleep(pollInterval)
	}
}

// drainStreams is the number of streams that run while a host is drained.
const drainStreams = 8

// drainHost drains the last host while streams run on it, and removes it from r.hosts.
func (r *run) drainHost(ctx context.Context) {
	leaving := r.hosts[len(r.hosts)-1]
	o := organisations[1]
	replies := make([]reply, drainStreams)
	errs := make([]error, drainStreams)
	var group sync.WaitGroup
	for i := range drainStreams {
		group.Go(func() {
			replies[i], errs[i] = newCaller(o.secret).chat(ctx, leaving.daemon.CallerURL(), o.adapters[0], true)
		})
	}
	r.waitBusy(ctx, leaving)
	r.printLine("host %s is drained with %d requests in flight", leaving.name, leaving.daemon.Status().InFlight)
	leaving.daemon.Drain()
	group.Wait()
	completed := 0
	for i, got := range replies {
		if errs[i] == nil && got.complete && answeredBy(got, o.adapters[0]+"@"+firstVersion) {
			completed++
		}
	}
	r.check(completed == drainStreams, "%d of %d streams came to their regular end", completed, drainStreams)
	select {
	case <-leaving.stopped:
		r.check(leaving.err == nil, "host %s has stopped by itself and cut no request", leaving.name)
	case <-time.After(drainTimeout):
		r.check(false, "host %s has stopped by itself", leaving.name)
	}
	r.hosts = r.hosts[:len(r.hosts)-1]
	r.check(r.waitUnlisted(ctx, leaving), "locate no longer names host %s", leaving.name)
	got, err := r.locateAndChat(ctx, newCaller(o.secret), o.adapters[0], true)
	r.check(err == nil && got.complete, "%s is served by another host: %s", o.name, describe(got, err))
}

// waitBusy waits until the host has drainStreams requests in flight, at most for the
// bound.
func (r *run) waitBusy(ctx context.Context, h *host) {
	began := time.Now()
	for h.daemon.Status().InFlight < drainStreams && time.Since(began) < r.bound && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

func (r *run) waitUnlisted(ctx context.Context, h *host) bool {
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

// checkNoKeyLeaks checks that no request sent to an upstream contains a caller's key.
func (r *run) checkNoKeyLeaks(context.Context) {
	requests, leaks := 0, 0
	scan := func(parts ...string) {
		requests++
		if strings.Contains(strings.Join(parts, "\n"), record.SecretPrefix) {
			leaks++
		}
	}
	for _, e := range r.engines {
		for _, x := range e.Executions() {
			scan(x.URL, x.Body, headerText(x.Header))
		}
	}
	for _, x := range r.service.Executions() {
		scan(x.URL, x.Body, headerText(x.Header))
	}
	r.check(leaks == 0 && requests > 0, "no key in any of the %d requests that the upstreams were sent", requests)
}

func headerText(h http.Header) string {
	var b strings.Builder
	_ = h.Write(&b) // a strings.Builder never fails
	return b.String()
}
