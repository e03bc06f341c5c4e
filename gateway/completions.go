package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/intake"
	"github.com/jasminelock/jasminelock/intake/callers"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/upstream"
)

// HeaderRequestPriority is the request header that sets a request's priority. The value
// "batch" marks a request that may wait; any other value means "prompt".
const HeaderRequestPriority = "X-Request-Priority"

// completions serves /v1/chat/completions and /v1/completions.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	rawBody, apiErr := s.readBody(w, r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	held := callers.FromContext(r.Context())
	if !held.Reserve(intake.Body, parsedBytes(rawBody)) {
		writeError(w, noMemoryError(w))
		return
	}
	parsed, apiErr := parseCompletion(rawBody)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	ctx, cancel, deadline := s.withDeadline(r.Context(), s.limits.RequestTimeout)
	defer cancel()
	keyRedactor := newRedactor(r.Header)
	x := s.newExchange(w)
	x.held = held
	x.isStream = parsed.Stream
	x.promptTokens = parsed.promptTokens
	x.buildCall = func(d core.Dispatch) (upstream.Call, error) {
		body, err := parsed.engineBody(d.Adapter.String())
		header := http.Header{"Content-Type": {"application/json"}}
		return upstream.Call{
			Method: http.MethodPost, Path: r.URL.Path, Header: header,
			Body: keyRedactor.redact(body), Priority: priorityOf(r.Header),
		}, err
	}
	x.relay = relayBuffered
	if parsed.Stream {
		wantsUsage := parsed.wantsUsage()
		x.relay = func(ctx context.Context, x *exchange, resp *upstream.Response) attemptResult {
			return relayStream(ctx, x, resp, wantsUsage)
		}
	}
	req := newRequest(x.ticket, r.Header, deadline)
	req.Fingerprint = fingerprint(r, rawBody)
	req.Model = parsed.Model
	req.Tokens = parsed.tokens
	req.Prefix = parsed.prefixHash
	req.Priority = priorityOf(r.Header)
	x.run(ctx, r.Context(), req)
}

// What a completion request takes in memory besides its bytes as read.
const (
	// parsedCopies is how many times its bytes are copied: its fields, its prompt, and the body for the engine, which is built
	// with twice its size.
	parsedCopies = 4
	// fieldBytes is the memory of a field besides its bytes, in a map that grows by doubling, and elementBytes that of an
	// element of a list of prompts. A body of many short fields takes ten times its size.
	fieldBytes   = 160
	elementBytes = 32
)

// parsedBytes returns the most memory that a completion request takes besides its bytes as read.
func parsedBytes(raw []byte) int64 {
	fields, elements := bytes.Count(raw, []byte(`":`)), bytes.Count(raw, []byte(","))
	return parsedCopies*int64(len(raw)) + fieldBytes*int64(fields) + elementBytes*int64(elements)
}

// ordinaryOverheadBytes is the memory of a completion besides its body and the copies of it: its state, its head of 32 KB, and a
// thousand fields.
const ordinaryOverheadBytes = 512 << 10

// LargestRequestBytes returns the memory that a completion with the largest body takes.
func LargestRequestBytes(maxBody int64) int64 {
	return (1+parsedCopies)*maxBody + ordinaryOverheadBytes
}

// priorityOf returns the priority that the request header sets, PriorityPrompt by default.
func priorityOf(h http.Header) record.Priority {
	if h.Get(HeaderRequestPriority) == record.PriorityBatch.String() {
		return record.PriorityBatch
	}
	return record.PriorityPrompt
}

// maxResponseBytes is the maximum size of a response that is buffered before it is relayed.
const maxResponseBytes = 16 << 20

// errResponseTooLarge is returned for a response larger than maxResponseBytes.
var errResponseTooLarge = errors.New("gateway: upstream response exceeds the size limit")

// errNoMemory is returned for a response for which this host has no memory.
var errNoMemory = errors.New("gateway: no memory for the upstream's response")

// readResponse reads the whole response body. It returns errResponseTooLarge or errNoMemory if that cannot be held.
func (x *exchange) readResponse(resp *upstream.Response) ([]byte, error) {
	x.held.ReleaseAll(intake.Response) // of an earlier attempt
	body, err := callers.Read(x.held, intake.Response, resp.Body, -1, maxResponseBytes)
	switch {
	case err == nil:
		return nil, errResponseTooLarge
	case errors.Is(err, callers.ErrRefused):
		return nil, errNoMemory
	case errors.Is(err, io.EOF):
		return body, nil
	}
	return nil, err
}

// relayBuffered reads an engine's whole response before it writes the first byte to the
// caller, so that an attempt that is interrupted midway can be retried.
func relayBuffered(ctx context.Context, x *exchange, resp *upstream.Response) attemptResult {
	body, err := x.readResponse(resp)
	if errors.Is(err, errNoMemory) {
		if result, failed := resultOfErrorStatus(resp, nil); failed {
			return result // the status tells what became of the request
		}
	}
	if err != nil {
		return failedResult(ctx, err)
	}
	if result, failed := resultOfErrorStatus(resp, body); failed {
		return result
	}
	x.reportResponseStarted()
	x.headerWritten = true
	x.w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	return x.writeResponse(resp.Status, body, usageOf(body))
}
