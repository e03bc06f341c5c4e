package gateway

import (
	"io"
	"net/http"
	"net/url"
	"strings"

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
	ctx, cancel, deadline := s.deadline(r.Context(), route.Timeout)
	defer cancel()
	secret := bearer(r.Header)
	x := &exchange{server: s, w: w, ticket: s.runtime.NewTicket(), relay: relayService}
	x.call = func(d core.Dispatch) (upstream.Call, error) {
		return upstream.Call{
			Method: r.Method, Path: servicePath(r.URL, secret), Header: keepHeaders(r.Header, secret),
			Body: redact(body, secret), Priority: d.Route.Priority,
		}, nil
	}
	req := newRequest(x.ticket, secret, deadline, r.Header.Get("Idempotency-Key"))
	req.Path = r.URL.Path
	req.Safe = r.Method == http.MethodGet || r.Method == http.MethodHead
	x.run(ctx, req)
}

// servicePath returns the path and query for a service, without the key.
func servicePath(u *url.URL, secret string) string {
	path := u.EscapedPath()
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return string(redact([]byte(path), secret))
}

// keepHeaders returns the allowed headers, without the key.
func keepHeaders(h http.Header, secret string) http.Header {
	kept := http.Header{}
	for _, name := range requestHeaders {
		for _, v := range h.Values(name) {
			if secret == "" || !strings.Contains(v, secret) {
				kept.Add(name, v)
			}
		}
	}
	return kept
}

// relayService passes a service's answer on as it is. Any status is the
// service's own answer, but for one that says the call was not executed.
func relayService(x *exchange, a *upstream.Answer) attemptResult {
	if a.Header.Get(upstream.HeaderNotRun) == "true" {
		return attemptResult{outcome: request.NotExecuted}
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return attemptResult{outcome: request.Lost, used: unknownUsage}
	}
	x.started()
	x.wrote = true
	for _, name := range answerHeaders {
		if v := a.Header.Get(name); v != "" {
			x.w.Header().Set(name, v)
		}
	}
	x.w.WriteHeader(a.Status)
	if _, err := x.w.Write(body); err != nil {
		return attemptResult{outcome: request.CallerLeft, used: unknownUsage}
	}
	return attemptResult{outcome: request.Completed, used: unknownUsage}
}
