package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/record"
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
	secrets := newRedactor(r.Header)
	x := s.newExchange(w)
	x.sse = parsed.Stream
	x.promptTokens = parsed.promptTokens
	x.call = func(d core.Dispatch) (upstream.Call, error) {
		body, err := parsed.body(d.Adapter.String())
		header := http.Header{"Content-Type": {"application/json"}}
		return upstream.Call{
			Method: http.MethodPost, Path: r.URL.Path, Header: header,
			Body: secrets.redact(body), Priority: priorityOf(r.Header),
		}, err
	}
	x.relay = relayWhole
	if parsed.Stream {
		wantsUsage := parsed.wantsUsage()
		x.relay = func(ctx context.Context, x *exchange, a *upstream.Response) attemptResult {
			return relayStream(ctx, x, a, wantsUsage)
		}
	}
	req := newRequest(x.ticket, r.Header, deadline)
	req.Fingerprint = fingerprint(r, raw)
	req.Model = parsed.Model
	req.Tokens = parsed.tokens
	req.Prefix = parsed.prefix
	req.Priority = priorityOf(r.Header)
	x.run(ctx, r.Context(), req)
}

func priorityOf(h http.Header) record.Priority {
	if h.Get(HeaderRequestPriority) == record.PriorityBatch.String() {
		return record.PriorityBatch
	}
	return record.PriorityPrompt
}

// maxAnswerBytes bounds an answer that is held whole before it is passed on.
const maxAnswerBytes = 16 << 20

// errAnswerTooLarge says that an answer is over maxAnswerBytes.
var errAnswerTooLarge = errors.New("gateway: the answer is too large")

// readAnswer reads an answer that is passed on whole.
func readAnswer(a *upstream.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return body, err
}

// relayWhole reads an engine's whole answer and then writes it, so that an
// attempt which breaks off midway can be made again.
func relayWhole(ctx context.Context, x *exchange, a *upstream.Response) attemptResult {
	body, err := readAnswer(a)
	if err != nil {
		return failedResult(ctx, err)
	}
	if result, failed := statusOutcome(a, body); failed {
		return result
	}
	x.started()
	x.wrote = true
	x.w.Header().Set("Content-Type", a.Header.Get("Content-Type"))
	return x.writeWhole(a.Status, body, usageOf(body))
}
