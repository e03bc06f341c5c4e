package entry

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/forward"
	"github.com/jasminelock/jasminelock/intake"
	"github.com/jasminelock/jasminelock/intake/callers"
	"github.com/jasminelock/jasminelock/sse"
)

// Size limits of responses that are not streams.
const (
	// maxBufferedBytes is how much of a response is buffered before the first byte is
	// relayed. The remainder of a longer response is relayed as it arrives.
	maxBufferedBytes = 256 << 10
	// maxResponseBytes limits how much of a response is relayed.
	maxResponseBytes = 64 << 20
)

// errResponseTooLong reports a response body longer than maxResponseBytes.
var errResponseTooLong = errors.New("entry: response body exceeds the size limit")

// relay relays an upstream's response to the caller and returns the outcome of
// the attempt.
func (x *exchange) relay(resp *forward.Response, info ResponseInfo) assign.Outcome {
	if info.UnprovenRefusal {
		x.recordFailure("responded with status "+strconv.Itoa(resp.Status)+", but without stating that the request has not run", nil)
		resp.Discard(maxDiscardedBytes, discardTimeout)
		return assign.Failed
	}
	if info.Outcome == assign.Completed && !info.Signed {
		x.recordFailure("success without a signature", nil)
		return assign.Failed
	}
	if x.route.Kind == catalog.Streaming && info.Outcome == assign.Completed {
		if x.headerWritten && !isEventStream(resp) {
			x.recordFailure("resumed stream answered with type "+strconv.Quote(resp.Header.Get("Content-Type")), nil)
			return assign.Failed
		}
		return x.relayStream(resp)
	}
	return x.relayBuffered(resp, info)
}

// isEventStream reports whether a response states that its body is an event stream.
func isEventStream(resp *forward.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// relayBuffered buffers up to maxBufferedBytes of a response before relaying it, so
// that an interrupted response can still be replaced by that of another upstream.
func (x *exchange) relayBuffered(resp *forward.Response, info ResponseInfo) assign.Outcome {
	body, err := callers.Read(x.held, intake.Replaceable, resp, resp.ContentLength, maxBufferedBytes)
	complete := errors.Is(err, io.EOF)
	// What there is no memory for is relayed as it arrives.
	if err != nil && !complete && !errors.Is(err, callers.ErrRefused) {
		return x.interrupted(err)
	}
	if info.Outcome == assign.Failed {
		x.recordFailure("responded with status "+strconv.Itoa(resp.Status), nil)
	}
	if info.Outcome == assign.Failed && (x.canRetry() || x.headerWritten) {
		return assign.Failed
	}
	length := resp.ContentLength
	if complete {
		length = int64(len(body))
	}
	if !x.writeHeader(resp, length) {
		return x.cancelledOutcome()
	}
	writeStart := time.Now()
	if _, err := x.w.Write(body); err != nil {
		return assign.CallerLeft
	}
	x.writes.Record(writeStart, time.Now())
	x.timeToFirstToken = time.Since(x.arrived)
	if !complete {
		x.held.ReleaseAll(intake.Replaceable)
		return x.relayRemainder(resp)
	}
	// An error response that is not retried is the caller's response, so the attempt has completed.
	return assign.Completed
}

// relayRemainder relays the part of a response that follows the buffered maxBufferedBytes.
func (x *exchange) relayRemainder(resp *forward.Response) assign.Outcome {
	buf := make([]byte, 32<<10)
	for relayed := 0; relayed < maxResponseBytes; {
		n, err := resp.Read(buf)
		relayed += n
		writeStart := time.Now()
		if _, writeErr := x.w.Write(buf[:n]); writeErr != nil {
			return assign.CallerLeft
		}
		x.writes.Record(writeStart, time.Now())
		switch {
		case errors.Is(err, io.EOF):
			return assign.Completed
		case err != nil:
			return x.interrupted(err)
		}
	}
	return x.interrupted(errResponseTooLong)
}

// canRetry reports whether another attempt is allowed after a failure.
func (x *exchange) canRetry() bool {
	return x.route.Repeatable() && x.ranCount < x.route.MaxAttempts && x.ctx.Err() == nil
}

// interrupted returns the outcome of a response whose body could not be read to its
// end, and records the failure unless the caller left or the deadline passed. An upstream
// interrupts a response that is not read; this is no failure of the upstream.
func (x *exchange) interrupted(err error) assign.Outcome {
	if x.ctx.Err() != nil {
		return x.cancelledOutcome()
	}
	if x.writes.CallerIsSlow(time.Now()) {
		x.recordFailure("response interrupted after the caller was slow to read", err)
		return assign.CallerLeft
	}
	x.recordFailure("response interrupted", err)
	return assign.Lost
}

// writeHeader writes the response header. Length is that of the body, -1 if it is not known. It reports false, and writes
// nothing, if the host has given up the request.
func (x *exchange) writeHeader(resp *forward.Response, length int64) bool {
	if !x.beginResponse() {
		return false
	}
	h := x.w.Header()
	for name, values := range x.server.Codec.CallerHeader(resp.Header) {
		h[name] = values
	}
	x.askToReconnect(h)
	switch {
	case !hasBody(x.r.Method, resp.Status):
	case length >= 0:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case !x.r.ProtoAtLeast(1, 1):
		x.closeDelimited = true
		x.held.ResetOnClose(true)
	}
	x.w.WriteHeader(resp.Status)
	x.status, x.headerWritten = resp.Status, true
	if !x.resumable() {
		x.body = nil // no attempt follows
		x.held.ReleaseAll(intake.Body)
	}
	return true
}

// hasBody reports whether the response to a request can have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// completeCloseDelimited marks the end of a response that only the end of its connection marks, since its caller speaks HTTP/1.0 and
// the length was not known.
func (x *exchange) completeCloseDelimited() {
	if !x.closeDelimited {
		return
	}
	if err := x.controller.Flush(); err == nil {
		x.held.ResetOnClose(false)
	}
}

// askToReconnect tells the caller of a host that is stopping, or that has too many connections, not to reuse the connection.
func (x *exchange) askToReconnect(h http.Header) {
	if x.server.Shutdown.InProgress() || x.held.MustClose() {
		h.Set("Connection", "close")
	}
}

// relayStream relays an event stream, complete events only. A partial event of an
// interrupted stream is dropped, because the upstream that resumes the stream
// sends that event again.
func (x *exchange) relayStream(resp *forward.Response) assign.Outcome {
	events := sse.NewReader(resp)
	for first := true; ; first = false {
		waitStart := time.Now()
		event, err := events.Next()
		if !first {
			x.recordEventGap(time.Since(waitStart))
		}
		if errors.Is(err, io.EOF) && !first {
			return assign.Completed
		}
		if err != nil {
			return x.interrupted(err)
		}
		id := string(sse.Field(event, "id"))
		if first && x.headerWritten && !follows(id, x.lastEventID) {
			x.recordFailure("resumed stream goes on at event "+strconv.Quote(id)+" after "+strconv.Quote(x.lastEventID), nil)
			return assign.Failed
		}
		if first && !x.startStream(resp) {
			return x.cancelledOutcome()
		}
		if id != "" {
			x.lastEventID = id
		}
		x.events++
		writeStart := time.Now()
		if _, err := x.w.Write(event); err != nil {
			return assign.CallerLeft
		}
		if events.HasBufferedEvent() {
			x.writes.Record(writeStart, time.Now())
			continue
		}
		if err := x.controller.Flush(); err != nil {
			return assign.CallerLeft
		}
		x.writes.Record(writeStart, time.Now())
	}
}

// outputTokens returns the number of tokens of a complete stream, 0 if unknown: the events of another stream's beginning
// were relayed before this request, or the service does not state the tokens per event.
func (x *exchange) outputTokens() int {
	service := x.view.Config.Service(x.request.Service)
	if x.requestInfo.LastEventID != "" || service == nil || service.Engine == nil {
		return 0
	}
	return x.events * service.Engine.TokensPerEvent
}

// follows reports whether a stream that was interrupted after the event with the id last may go on with the event with the
// given id. IDs that are no numbers are not compared.
func follows(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || number > lastNumber
}

// recordEventGap records the gap between two consecutive events of a stream.
func (x *exchange) recordEventGap(gap time.Duration) {
	x.maxEventGap = max(x.maxEventGap, gap)
	switch {
	case x.route.MaxEventGap <= 0 || x.eventGaps == assign.EventGapsOverLimit:
	case gap > x.route.MaxEventGap:
		x.eventGaps = assign.EventGapsOverLimit
	default:
		x.eventGaps = assign.EventGapsWithinLimit
	}
}

// startStream reports the first event of an attempt to the broker, and writes the
// response header unless an earlier attempt of the request has written it. It reports
// false if the host has given up the request.
func (x *exchange) startStream(resp *forward.Response) bool {
	x.server.Broker.FirstByteReceived(x.ticket)
	if x.headerWritten {
		return true
	}
	x.timeToFirstToken = time.Since(x.arrived)
	return x.writeHeader(resp, -1) // others may continue the stream
}

// writeError sends err to the caller. Once the response header has been written, it
// aborts the connection instead. A nil err does nothing.
func (x *exchange) writeError(err *apierr.Error) {
	if err == nil {
		return
	}
	x.reason = err.Kind.String()
	if err.Kind == apierr.CallerGone {
		x.status = apierr.StatusCallerGone
		panic(http.ErrAbortHandler)
	}
	if x.headerWritten {
		// The status has been sent. Aborting the connection is the only way left
		// to signal that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	x.status = err.Kind.Definition().Status
	raw, marshalErr := json.Marshal(err.Body())
	if marshalErr != nil {
		x.server.Log.Error("error response not encoded; sending no body", "error", marshalErr)
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	if id := x.requestInfo.AttemptID; id != "" {
		h.Set(x.server.Codec.AttemptIDHeader(), id)
	}
	if err.RetryAfter > 0 {
		h.Set("Retry-After", x.server.Codec.FormatRetryAfter(err.RetryAfter))
	}
	x.askToReconnect(h)
	x.held.LimitDiscard()
	x.w.WriteHeader(x.status)
	if _, writeErr := x.w.Write(raw); writeErr != nil {
		x.server.Log.Debug("error response not written to the caller", "request", x.requestInfo.AttemptID, "error", writeErr)
	}
}

// maxFailureBytes limits the failure text of a log line.
const maxFailureBytes = 160

// recordFailure records why the last attempt failed, for the request's log line.
func (x *exchange) recordFailure(reason string, err error) {
	x.failure = x.grant.Upstream + ": " + reason
	if err != nil {
		x.failure += ": " + err.Error()
	}
	x.failure = x.failure[:min(len(x.failure), maxFailureBytes)]
}

// logResult logs the result of the request and passes it to the observer.
func (x *exchange) logResult() {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	duration := time.Since(x.arrived)
	level := hclog.Info
	if x.status >= http.StatusBadRequest && x.status != apierr.StatusCallerGone {
		level = hclog.Warn // logged in full even when routine lines are summarised
	}
	fields := []any{
		"request", x.requestInfo.AttemptID, "route", route, "organisation", x.request.Organisation,
		"adapter", x.request.Adapter.Adapter, "status", x.status, "reason", x.reason, "rule", x.rule,
		"upstream", x.grant.Upstream, "assigned_by", x.grant.Rule, "granted_ms", x.timeToGrant.Milliseconds(),
		"expected_ms", x.grant.Expected.Milliseconds(),
		"sent", x.sentCount, "ran", x.ranCount, "failure", x.failure, "first_ms", x.timeToFirstToken.Milliseconds(),
		"pause_ms", x.maxEventGap.Milliseconds(), "took_ms", duration.Milliseconds(),
	}
	if x.rateLimit.Limited {
		fields = append(fields, "rate_limit", x.rateLimit.PerSecond, "rate_share", x.rateLimit.Share, "rate_age_ms", x.rateLimit.Age.Milliseconds())
	}
	if x.failure != "" || x.rule != "" {
		// Identical for all repeats of a request by the same caller, on every host.
		fields = append(fields, "fingerprint", x.request.Fingerprint.String())
		if x.request.Resource != (assign.Fingerprint{}) {
			fields = append(fields, "resource", x.request.Resource.String())
		}
		if x.ruleDetail != "" {
			fields = append(fields, "rule_detail", x.ruleDetail)
		}
		if len(x.request.PrefixBlocks) > 0 {
			fields = append(fields, "prompt_parts", promptParts(x.request.PrefixBlocks))
		}
	}
	x.server.Log.Log(level, "request", fields...)
	tokens := int64(0)
	if x.sentCount > 0 {
		tokens = x.request.Cost
	}
	x.server.Observe(Result{
		Route: route, Status: x.status, Reason: x.reason, Rule: x.rule, Failure: x.failure, Duration: duration,
		TimeToFirstToken: x.timeToFirstToken, Attempts: x.sentCount, Tokens: tokens,
		Rank: x.request.Priority, Queued: x.grant.Ranked, Held: x.grant.Held, Turn: x.grant.Turn,
	})
}

// maxLoggedParts limits the parts of a prompt in a log line, maxLoggedPartBytes the ID of each.
const (
	maxLoggedParts     = 8
	maxLoggedPartBytes = 32
)

// promptParts returns the IDs of the parts of a prompt that other requests may share, for the log.
func promptParts(blocks []assign.PrefixBlock) string {
	var ids []string
	for _, block := range blocks[:min(len(blocks), maxLoggedParts)] {
		ids = append(ids, block.ID[:min(len(block.ID), maxLoggedPartBytes)])
	}
	return strings.Join(ids, ",")
}
