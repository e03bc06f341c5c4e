package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sse"
	"github.com/jasminelock/jasminelock/upstream"
)

// maxErrorBytes bounds the error body of an upstream.
const maxErrorBytes = 64 << 10

var (
	doneData   = []byte("[DONE]")
	usageField = []byte(`"usage"`)
)

// streamRelay passes one engine's event stream on, event by event. It reads no
// further event before the last one was taken by the caller.
type streamRelay struct {
	exchange   *exchange
	wantsUsage bool
	// used is the usage that the engine reported.
	used int64
	// events counts the data events read, which is the offset to resume at.
	events int
	// resumes counts the times that the stream was resumed.
	resumes int
}

// relayStream passes an engine's event stream on. The stream is whole only once
// "[DONE]" has come. One that breaks off is resumed where the engine can.
func relayStream(ctx context.Context, x *exchange, a *upstream.Response, wantsUsage bool) attemptResult {
	if a.Status >= http.StatusBadRequest {
		body, _ := io.ReadAll(io.LimitReader(a.Body, maxErrorBytes))
		result, _ := statusOutcome(a, body)
		return result
	}
	relay := &streamRelay{exchange: x, wantsUsage: wantsUsage, used: unknownUsage}
	body := a.Body
	for {
		result, err := relay.pass(ctx, body)
		if err == nil {
			return result
		}
		next, ok := relay.resume(ctx)
		if !ok {
			return relay.cut(ctx, err)
		}
		defer func() { _ = next.Close() }()
		body = next
	}
}

// pass passes events on until the stream ends. An error says that it broke off.
func (s *streamRelay) pass(ctx context.Context, body io.Reader) (attemptResult, error) {
	reader := sse.NewReader(body)
	for {
		event, err := reader.Next()
		if err != nil {
			return attemptResult{}, err
		}
		data := sse.Field(event, "data")
		if len(data) > 0 {
			s.events++
		}
		if bytes.Contains(data, usageField) && s.onUsage(data) {
			continue
		}
		if err := s.exchange.writeEvent(event); err != nil {
			s.exchange.cancelUpstream(ctx)
			return attemptResult{outcome: request.CallerLeft, used: s.usage()}, nil
		}
		if bytes.Equal(data, doneData) {
			return attemptResult{outcome: request.Completed, used: s.used}, nil
		}
	}
}

// onUsage notes the usage of an event and reports whether the caller, who did
// not ask for usage, is to be spared the event.
func (s *streamRelay) onUsage(data []byte) bool {
	var u usageBody
	if json.Unmarshal(data, &u) != nil || u.Usage == nil {
		return false
	}
	s.used = u.Usage.TotalTokens
	return !s.wantsUsage && len(u.Choices) == 0
}

// usage returns the usage that the engine reported. Where the stream was cut
// before that, it is estimated: the prompt and a token for each event.
func (s *streamRelay) usage() int64 {
	if s.used >= 0 {
		return s.used
	}
	return s.exchange.promptTokens + int64(s.events)
}

// cut is the result of a stream that ended before "[DONE]".
func (s *streamRelay) cut(ctx context.Context, err error) attemptResult {
	result := failedResult(ctx, err)
	if result.outcome == request.CallerLeft || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.exchange.cancelUpstream(ctx)
	}
	if !s.exchange.wrote {
		return result
	}
	result.used = s.usage()
	if result.outcome == request.Lost {
		result.outcome = request.Interrupted
	}
	return result
}

// writeEvent writes one event and passes it on at once.
func (x *exchange) writeEvent(event []byte) error {
	if !x.wrote {
		x.started()
		x.wrote = true
		h := x.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		x.w.WriteHeader(http.StatusOK)
	}
	x.extendWrite()
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	return x.out.Flush()
}

// usageBody is the part of an answer that tells what it cost.
type usageBody struct {
	Usage *struct {
		TotalTokens int64 `json:"total_tokens"`
	} `json:"usage"`
	Choices []json.RawMessage `json:"choices"`
}

// usageOf returns the tokens that an answer cost, or unknownUsage.
func usageOf(data []byte) int64 {
	var u usageBody
	if json.Unmarshal(data, &u) != nil || u.Usage == nil {
		return unknownUsage
	}
	return u.Usage.TotalTokens
}

// writeErrorEvent ends a stream that has begun with an error, in the shape
// that OpenAI client libraries raise.
func writeErrorEvent(w http.ResponseWriter, e *apierr.Error) {
	raw, err := json.Marshal(e.Body())
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("data: "), raw...), "\n\n"...))
	_ = http.NewResponseController(w).Flush()
}
