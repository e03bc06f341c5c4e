package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sse"
	"github.com/jasminelock/jasminelock/upstream"
)

// maxErrorBytes is the maximum size of an upstream's error body that is read.
const maxErrorBytes = 64 << 10

var (
	doneData   = []byte("[DONE]")
	usageField = []byte(`"usage"`)
)

// streamRelay relays one engine's event stream event by event. It reads the next event only
// after the last one has been written to the caller.
type streamRelay struct {
	exchange *exchange
	// wantsUsage reports whether the caller requested usage events.
	wantsUsage bool
	// usedTokens is the usage in tokens that the engine reported, or unknownUsage.
	usedTokens int64
	// eventCount is the number of data events read, which is the offset to resume from.
	eventCount int
	// resumeCount is the number of times that the stream was resumed.
	resumeCount int
}

// relayStream relays an engine's event stream to the caller. The stream is complete only
// once "[DONE]" has arrived. An interrupted stream is resumed if the engine can.
func relayStream(ctx context.Context, x *exchange, resp *upstream.Response, wantsUsage bool) attemptResult {
	if resp.Status >= http.StatusBadRequest {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		result, _ := resultOfErrorStatus(resp, body)
		return result
	}
	relay := &streamRelay{exchange: x, wantsUsage: wantsUsage, usedTokens: unknownUsage}
	body := resp.Body
	for {
		result, err := relay.relayEvents(ctx, body)
		if err == nil {
			return result
		}
		resumedBody, ok := relay.resume(ctx)
		if !ok {
			return relay.interrupted(ctx, err)
		}
		defer func() { _ = resumedBody.Close() }()
		body = resumedBody
	}
}

// relayEvents relays events until "[DONE]" or until the caller disconnects. It returns an error if
// the stream is interrupted.
func (s *streamRelay) relayEvents(ctx context.Context, body io.Reader) (attemptResult, error) {
	reader := sse.NewReader(body)
	for {
		event, err := reader.Next()
		if err != nil {
			return attemptResult{}, err
		}
		data := sse.Field(event, "data")
		if len(data) > 0 {
			s.eventCount++
		}
		if bytes.Contains(data, usageField) && s.recordUsage(data) {
			continue
		}
		if err := s.exchange.writeEvent(event); err != nil {
			s.exchange.cancelUpstream(ctx)
			return attemptResult{outcome: request.CallerLeft, usedTokens: s.reportedOrEstimatedUsage()}, nil
		}
		if bytes.Equal(data, doneData) {
			return attemptResult{outcome: request.Completed, usedTokens: s.usedTokens}, nil
		}
	}
}

// recordUsage records the usage in an event. It reports whether the event is to be left out
// because it holds only usage, which the caller did not request.
func (s *streamRelay) recordUsage(data []byte) bool {
	var fields usageFields
	if json.Unmarshal(data, &fields) != nil || fields.Usage == nil {
		return false
	}
	s.usedTokens = fields.Usage.TotalTokens
	return !s.wantsUsage && len(fields.Choices) == 0
}

// reportedOrEstimatedUsage returns the usage in tokens that the engine reported. If the stream
// was interrupted before the report, the usage is estimated as the prompt plus one token per
// event.
func (s *streamRelay) reportedOrEstimatedUsage() int64 {
	if s.usedTokens >= 0 {
		return s.usedTokens
	}
	return s.exchange.promptTokens + int64(s.eventCount)
}

// interrupted returns the result of a stream that ended with err before "[DONE]".
func (s *streamRelay) interrupted(ctx context.Context, err error) attemptResult {
	result := failedResult(ctx, err)
	if ctx.Err() != nil {
		s.exchange.cancelUpstream(ctx)
	}
	if s.exchange.writes.CallerIsSlow(time.Now()) {
		result.connectionLost = false // an upstream cuts off a stream that is not read; it is not down
	}
	if !s.exchange.headerWritten {
		return result
	}
	result.usedTokens = s.reportedOrEstimatedUsage()
	if result.outcome == request.Lost {
		result.outcome = request.Interrupted
	}
	return result
}

// writeEvent writes one event to the caller and flushes it. Before the first event it
// writes the response header.
func (x *exchange) writeEvent(event []byte) error {
	if !x.headerWritten {
		x.reportResponseStarted()
		x.headerWritten = true
		h := x.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		x.w.WriteHeader(http.StatusOK)
	}
	x.extendWriteDeadline()
	begun := time.Now()
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	err := x.controller.Flush()
	x.writes.Record(begun, time.Now())
	return err
}

// usageFields holds the fields of a response body or stream event that report its usage.
type usageFields struct {
	Usage *struct {
		TotalTokens int64 `json:"total_tokens"`
	} `json:"usage"`
	Choices []json.RawMessage `json:"choices"`
}

// usageOf returns the usage in tokens that a response body reports, or unknownUsage.
func usageOf(data []byte) int64 {
	var fields usageFields
	if json.Unmarshal(data, &fields) != nil || fields.Usage == nil {
		return unknownUsage
	}
	return fields.Usage.TotalTokens
}

// writeErrorEvent ends a started stream with an error event, in the format that OpenAI
// client libraries raise as an error.
func writeErrorEvent(w http.ResponseWriter, e *apierr.Error) {
	raw, err := json.Marshal(e.Body())
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("data: "), raw...), "\n\n"...))
	_ = http.NewResponseController(w).Flush()
}
