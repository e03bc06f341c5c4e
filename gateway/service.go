package gateway

import (
	"context"
	"maps"
	"net/http"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
)

// requestHeaders are the caller's headers that an upstream may see. All others,
// and with them whatever may hold a key, stay here.
var requestHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-None-Match", "If-Modified-Since"}

// answerHeaders are the headers of a plain service's answer that are passed on.
var answerHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After"}

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
	ctx, cancel, deadline := s.deadline(r.Context(), route.Timeout)
	defer cancel()
	secrets := newRedactor(r.Header)
	x := s.newExchange(w)
	x.relay = relayService
	x.call = func(d core.Dispatch) (upstream.Call, error) {
		return upstream.Call{
			Method: r.Method, Path: secrets.path(r.URL), Header: secrets.headers(r.Header),
			Body: secrets.redact(body), Priority: d.Route.Priority, NewConnection: !d.Repeatable,
		}, nil
	}
	req := newRequest(x.ticket, r.Header, deadline)
	req.IdempotencyKey = r.Header.Get(headerIdempotencyKey)
	req.Fingerprint = fingerprint(r, body)
	req.Path = r.URL.Path
	req.Safe = r.Method == http.MethodGet || r.Method == http.MethodHead
	x.run(ctx, r.Context(), req)
}

// relayService passes a service's answer on as it is. Any status is the
// service's own answer, but for one that says the call was not executed.
func relayService(ctx context.Context, x *exchange, a *upstream.Response) attemptResult {
	if a.Header.Get(upstream.HeaderNotRun) == "true" {
		return attemptResult{outcome: request.NotExecuted}
	}
	body, err := readAnswer(a)
	if err != nil {
		return failedResult(ctx, err)
	}
	x.started()
	kept := http.Header{}
	for _, name := range answerHeaders {
		if v := a.Header.Get(name); v != "" {
			kept.Set(name, v)
		}
	}
	x.keepOutcome(ctx, a.Status, kept, body)
	x.wrote = true
	maps.Copy(x.w.Header(), kept)
	return x.writeWhole(a.Status, body, unknownUsage)
}
