package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/forward"
	"github.com/jasminelock/jasminelock/sse"
)

// Size limits of responses that are not streams.
const (
	// heldBytes is how much of a response is buffered before the first byte is
	// relayed. The remainder of a longer response is relayed as it arrives.
	heldBytes = 256 << 10
	// maxAnswerBytes limits how much of a response is relayed.
	maxAnswerBytes = 64 << 20
)

// errAnswerTooLong reports a response body longer than maxAnswerBytes.
var errAnswerTooLong = errors.New("entry: response body exceeds the size limit")

// pass relays an upstream's response to the caller and returns the outcome of
// the attempt.
func (x *exchange) pass(a *forward.Answer, info AnswerInfo) assign.Outcome {
	if info.Outcome == assign.Completed && !info.Signed {
		x.noteFailure("success without a signature", nil)
		return assign.Failed
	}
	if x.route.Kind == catalog.Streaming && info.Outcome == assign.Completed {
		return x.passStream(a)
	}
	return x.passWhole(a, info)
}

// passWhole buffers a response of up to heldBytes before relaying it, so that
// an interrupted response can still be replaced by that of another upstream.
func (x *exchange) passWhole(a *forward.Answer, info AnswerInfo) assign.Outcome {
	body, err := io.ReadAll(io.LimitReader(a, heldBytes))
	if err != nil {
		return x.broken(err)
	}
	if info.Outcome == assign.Failed {
		x.noteFailure("responded with status "+strconv.Itoa(a.Status), nil)
	}
	if info.Outcome == assign.Failed && (x.mayTryAnother() || x.wrote) {
		return assign.Failed
	}
	x.writeHeader(a)
	if _, err := x.w.Write(body); err != nil {
		return assign.CallerLeft
	}
	x.firstToken = time.Since(x.arrived)
	if len(body) == heldBytes {
		return x.passRest(a)
	}
	// An error response that is not retried is the caller's response, so the attempt has completed.
	return assign.Completed
}

// passRest relays the part of a response that follows the buffered heldBytes.
func (x *exchange) passRest(a *forward.Answer) assign.Outcome {
	buf := make([]byte, 32<<10)
	for passed := 0; passed < maxAnswerBytes; {
		n, err := a.Read(buf)
		passed += n
		if _, writeErr := x.w.Write(buf[:n]); writeErr != nil {
			return assign.CallerLeft
		}
		switch {
		case errors.Is(err, io.EOF):
			return assign.Completed
		case err != nil:
			return x.broken(err)
		}
	}
	return x.broken(errAnswerTooLong)
}

// mayTryAnother reports whether another attempt is allowed after a failure.
func (x *exchange) mayTryAnother() bool {
	return x.route.Repeatable() && x.ran < x.route.MaxAttempts && x.ctx.Err() == nil
}

// broken returns the outcome of a response whose body could not be read to its
// end, and records the failure unless the caller left or the deadline passed.
func (x *exchange) broken(err error) assign.Outcome {
	switch {
	case x.r.Context().Err() != nil:
		return assign.CallerLeft
	case x.ctx.Err() != nil:
		return assign.TimedOut
	}
	x.noteFailure("response interrupted", err)
	return assign.Lost
}

func (x *exchange) writeHeader(a *forward.Answer) {
	h := x.w.Header()
	for name, values := range x.server.Codec.Passed(a.Header) {
		h[name] = values
	}
	x.w.WriteHeader(a.Status)
	x.status, x.wrote = a.Status, true
}

// passStream relays an event stream, complete events only. A partial event of an
// interrupted stream is dropped, because the upstream that resumes the stream
// sends that event again.
func (x *exchange) passStream(a *forward.Answer) assign.Outcome {
	events := sse.NewReader(a)
	for first := true; ; first = false {
		asked := time.Now()
		event, err := events.Next()
		if !first {
			x.notePause(time.Since(asked))
		}
		if errors.Is(err, io.EOF) && !first {
			return assign.Completed
		}
		if err != nil {
			return x.broken(err)
		}
		if first {
			x.begin(a)
		}
		if id := sse.Field(event, "id"); len(id) > 0 {
			x.lastEventID = string(id)
		}
		if _, err := x.w.Write(event); err != nil {
			return assign.CallerLeft
		}
		if events.More() {
			continue
		}
		if err := x.out.Flush(); err != nil {
			return assign.CallerLeft
		}
	}
}

// notePause records the gap d between two consecutive events of a stream.
func (x *exchange) notePause(d time.Duration) {
	x.longestPause = max(x.longestPause, d)
	switch {
	case x.route.LongestPause <= 0 || x.pauses == assign.PausesLong:
	case d > x.route.LongestPause:
		x.pauses = assign.PausesLong
	default:
		x.pauses = assign.PausesShort
	}
}

// begin reports the first event of an attempt to the broker, and writes the
// response header unless an earlier attempt of the request has written it.
func (x *exchange) begin(a *forward.Answer) {
	x.server.Broker.Started(x.ticket)
	if !x.wrote {
		x.firstToken = time.Since(x.arrived)
		x.writeHeader(a)
	}
}

// fail sends err to the caller. Once the response header has been written, it
// aborts the connection instead. A nil err does nothing.
func (x *exchange) fail(err *apierr.Error) {
	if err == nil {
		return
	}
	x.reason = err.Kind.String()
	if err.Kind == apierr.CallerGone {
		x.status = apierr.StatusCallerGone
		panic(http.ErrAbortHandler)
	}
	if x.wrote {
		// The status has been sent. Aborting the connection is the only way left
		// to signal that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	x.status = err.Kind.Answer().Status
	raw, marshalErr := json.Marshal(err.Body())
	if marshalErr != nil {
		x.server.Log.Error("error response not encoded; sending no body", "error", marshalErr)
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	if id := x.call.AttemptID; id != "" {
		h.Set(x.server.Codec.Echo(), id)
	}
	if err.RetryAfter > 0 {
		h.Set("Retry-After", x.server.Codec.RetryAfter(err.RetryAfter))
	}
	x.w.WriteHeader(x.status)
	if _, writeErr := x.w.Write(raw); writeErr != nil {
		x.server.Log.Debug("error response not written to the caller", "request", x.call.AttemptID, "error", writeErr)
	}
}

// maxFailureBytes limits the failure text of a log line.
const maxFailureBytes = 160

// noteFailure records why the last attempt failed, for the request's log line.
func (x *exchange) noteFailure(what string, err error) {
	x.failure = x.grant.Upstream + ": " + what
	if err != nil {
		x.failure += ": " + err.Error()
	}
	x.failure = x.failure[:min(len(x.failure), maxFailureBytes)]
}

// report logs the result of the request and passes it to the observer.
func (x *exchange) report() {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	took := time.Since(x.arrived)
	level := hclog.Info
	if x.status >= http.StatusBadRequest && x.status != apierr.StatusCallerGone {
		level = hclog.Warn // logged in full even when routine lines are summarised
	}
	fields := []any{
		"request", x.call.AttemptID, "route", route, "organisation", x.request.Organisation,
		"adapter", x.request.Adapter.Adapter, "status", x.status, "reason", x.reason, "rule", x.why, "upstream", x.grant.Upstream,
		"assigned_by", x.grant.Why, "granted_ms", x.grantedAfter.Milliseconds(), "expected_ms", x.grant.Expected.Milliseconds(),
		"sent", x.sent, "ran", x.ran, "failure", x.failure, "first_ms", x.firstToken.Milliseconds(),
		"pause_ms", x.longestPause.Milliseconds(), "took_ms", took.Milliseconds(),
	}
	if x.failure != "" || x.why != "" {
		// Identical for all repeats of a request by the same caller, on every host.
		fields = append(fields, "fingerprint", x.request.Fingerprint.String())
		if x.request.Resource != (assign.Fingerprint{}) {
			fields = append(fields, "resource", x.request.Resource.String())
		}
	}
	x.server.Log.Log(level, "request", fields...)
	tokens := int64(0)
	if x.sent > 0 {
		tokens = x.request.Cost
	}
	x.server.Observe(Result{
		Route: route, Status: x.status, Reason: x.reason, Rule: x.why, Failure: x.failure, Took: took, FirstToken: x.firstToken, Attempts: x.sent,
		Tokens: tokens,
	})
}
