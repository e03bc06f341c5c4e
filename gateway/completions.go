package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
)

// HeaderRequestPriority lets a caller mark a request as work that may wait.
const HeaderRequestPriority = "X-Request-Priority"

// completions serves /v1/chat/completions and /v1/completions.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	raw, apiErr := s.readBody(w, r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	parsed, apiErr := parseCompletion(raw)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	ctx, cancel, deadline := s.deadline(r.Context(), s.limits.RequestTimeout)
	defer cancel()
	secret := bearer(r.Header)
	x := &exchange{server: s, w: w, ticket: s.runtime.NewTicket(), sse: parsed.Stream}
	x.call = func(d core.Dispatch) (upstream.Call, error) {
		body, err := parsed.body(d.Adapter.String())
		header := http.Header{"Content-Type": {"application/json"}}
		return upstream.Call{
			Method: http.MethodPost, Path: r.URL.Path, Header: header,
			Body: redact(body, secret), Priority: priorityOf(r.Header),
		}, err
	}
	x.relay = relayWhole
	if parsed.Stream {
		wantsUsage := parsed.wantsUsage()
		x.relay = func(x *exchange, a *upstream.Answer) attemptResult { return relayStream(x, a, wantsUsage) }
	}
	req := newRequest(x.ticket, secret, deadline, r.Header.Get("Idempotency-Key"))
	req.Model = parsed.Model
	req.Tokens = parsed.tokens
	req.Prefix = parsed.prefix
	req.Priority = priorityOf(r.Header)
	x.run(ctx, req)
}

func priorityOf(h http.Header) record.Priority {
	if h.Get(HeaderRequestPriority) == record.PriorityBatch.String() {
		return record.PriorityBatch
	}
	return record.PriorityPrompt
}

// redacted stands in the place of a caller's key in whatever is passed on.
const redacted = "[redacted]"

// redact replaces the caller's key in what is passed on to an upstream.
func redact(body []byte, secret string) []byte {
	if secret == "" {
		return body
	}
	return bytes.ReplaceAll(body, []byte(secret), []byte(redacted))
}

// maxAnswerBytes bounds an answer that is held whole before it is passed on.
const maxAnswerBytes = 16 << 20

// relayWhole reads an engine's whole answer and then writes it, so that an
// attempt which breaks off midway can be made again.
func relayWhole(x *exchange, a *upstream.Answer) attemptResult {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return attemptResult{outcome: request.Lost, used: unknownUsage}
	}
	if result, failed := statusOutcome(a, body); failed {
		return result
	}
	x.started()
	x.wrote = true
	x.w.Header().Set("Content-Type", a.Header.Get("Content-Type"))
	x.w.WriteHeader(a.Status)
	if _, err := x.w.Write(body); err != nil {
		return attemptResult{outcome: request.CallerLeft, used: usageOf(body)}
	}
	return attemptResult{outcome: request.Completed, used: usageOf(body)}
}
