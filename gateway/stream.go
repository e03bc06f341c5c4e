package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
)

// Buffers of a relayed stream.
const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxErrorBytes bounds the error body of an upstream.
	maxErrorBytes = 64 << 10
)

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
	usageField = []byte(`"usage"`)
)

// errEventTooLarge says that an event of a stream is over the bound.
var errEventTooLarge = errors.New("gateway: event too large")

// relayStream passes an engine's event stream on, event by event. The stream
// is whole only once "[DONE]" has come.
func relayStream(x *exchange, a *upstream.Answer, wantsUsage bool) attemptResult {
	if a.Status >= http.StatusBadRequest {
		body, _ := io.ReadAll(io.LimitReader(a.Body, maxErrorBytes))
		result, _ := statusOutcome(a, body)
		return result
	}
	r := bufio.NewReaderSize(a.Body, streamBufferBytes)
	used := int64(unknownUsage)
	for {
		event, err := readEvent(r)
		if err != nil {
			return cutResult(x, used)
		}
		data := eventData(event)
		if bytes.Contains(data, usageField) {
			if u := usageOf(data); u >= 0 {
				used = u
			}
			if !wantsUsage && isUsageOnly(data) {
				continue
			}
		}
		if err := x.writeEvent(event); err != nil {
			return attemptResult{outcome: request.CallerLeft, used: used}
		}
		if bytes.Equal(data, doneData) {
			return attemptResult{outcome: request.Completed, used: used}
		}
	}
}

// cutResult is the result of a stream that ended before "[DONE]".
func cutResult(x *exchange, used int64) attemptResult {
	if x.wrote {
		return attemptResult{outcome: request.Cut, used: used}
	}
	return attemptResult{outcome: request.Lost, used: used}
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
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// readEvent reads up to and including the blank line that ends an event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > maxEventBytes:
			return nil, errEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

// eventData returns the data of an event's first data line.
func eventData(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(rest)
		}
	}
	return nil
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

// isUsageOnly reports whether an event was sent only for its usage.
func isUsageOnly(data []byte) bool {
	var u usageBody
	return json.Unmarshal(data, &u) == nil && u.Usage != nil && len(u.Choices) == 0
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
