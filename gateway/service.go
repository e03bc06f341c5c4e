package gateway

import (
	"context"
	"maps"
	"net/http"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/intake/callers"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
)

// forwardedRequestHeaders is the allow-list of request headers that are forwarded to an upstream. It
// leaves out every header that may contain a key.
var forwardedRequestHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-None-Match", "If-Modified-Since"}

// forwardedResponseHeaders is the allow-list of a plain service's response headers that are forwarded
// to the caller.
var forwardedResponseHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After"}

// service serves the routes of plain services.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	route, ok := s.board.Config.Snapshot().Route(r.URL.Path)
	if !ok {
		writeError(w, apierr.New(apierr.UnknownRoute, ""))
		return
	}
	body, apiErr := s.readBody(w, r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	if apiErr := checkIdempotencyKey(r.Header); apiErr != nil {
		writeError(w, apiErr)
		return
	}
	ctx, cancel, deadline := s.withDeadline(r.Context(), route.Timeout)
	defer cancel()
	keyRedactor := newRedactor(r.Header)
	x := s.newExchange(w)
	x.held = callers.FromContext(r.Context())
	x.relay = relayService
	x.buildCall = func(d core.Dispatch) (upstream.Call, error) {
		return upstream.Call{
			Method: r.Method, Path: keyRedactor.redactedPath(r.URL), Header: keyRedactor.forwardedHeaders(r.Header),
			Body: keyRedactor.redact(body), Priority: d.Route.Priority, NewConnection: !d.Repeatable,
		}, nil
	}
	req := newRequest(x.ticket, r.Header, deadline)
	req.IdempotencyKey = r.Header.Get(headerIdempotencyKey)
	req.Fingerprint = fingerprint(r, body)
	req.Path = r.URL.Path
	req.Safe = r.Method == http.MethodGet || r.Method == http.MethodHead
	x.run(ctx, r.Context(), req)
}

// relayService relays a service's response to the caller. Any status counts as the
// service's own response, except if a header marks the call as not executed.
func relayService(ctx context.Context, x *exchange, resp *upstream.Response) attemptResult {
	if resp.Header.Get(upstream.HeaderNotRun) == "true" {
		return attemptResult{outcome: request.NotExecuted}
	}
	body, err := x.readResponse(resp)
	if err != nil {
		result := failedResult(ctx, err)
		if result.noMemory && resp.Status >= http.StatusBadRequest {
			result.outcome = request.Lost // a service that reports an error may have run the request or not
		}
		return result
	}
	x.reportResponseStarted()
	kept := http.Header{}
	for _, name := range forwardedResponseHeaders {
		if v := resp.Header.Get(name); v != "" {
			kept.Set(name, v)
		}
	}
	x.storeResponse(ctx, resp.Status, kept, body)
	x.headerWritten = true
	maps.Copy(x.w.Header(), kept)
	return x.writeResponse(resp.Status, body, unknownUsage)
}
