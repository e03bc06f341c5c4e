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

// Bounds of an answer that is no stream.
const (
	// heldBytes is the longest answer that is read whole before it is passed on. A
	// longer one is passed on as it comes.
	heldBytes = 256 << 10
	// maxAnswerBytes bounds what is passed on.
	maxAnswerBytes = 64 << 20
)

// errAnswerTooLong says that an answer is over the bound.
var errAnswerTooLong = errors.New("entry: the answer is too long")

// pass passes an upstream's answer on and returns how the attempt ended.
func (x *exchange) pass(a *forward.Response, info ResponseInfo) assign.Outcome {
	if info.Outcome == assign.Completed && !info.Signed {
		x.noteFailure("success without a signature", nil)
		return assign.Failed
	}
	if x.route.Kind == catalog.Streaming && info.Outcome == assign.Completed {
		return x.passStream(a)
	}
	return x.passWhole(a, info)
}

// passWhole reads an answer to its end before it is passed on, so that one that
// breaks off can still be replaced, unless it is long.
func (x *exchange) passWhole(a *forward.Response, info ResponseInfo) assign.Outcome {
	body, err := io.ReadAll(io.LimitReader(a, heldBytes))
	if err != nil {
		return x.broken(err)
	}
	if info.Outcome == assign.Failed {
		x.noteFailure("answered "+strconv.Itoa(a.Status), nil)
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
	// A failure that the upstream vouches for is the caller's answer.
	return assign.Completed
}

// passRest passes on what comes after the part of an answer that was held.
func (x *exchange) passRest(a *forward.Response) assign.Outcome {
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

// mayTryAnother reports whether a failure may be followed by another attempt.
func (x *exchange) mayTryAnother() bool {
	return x.route.Repeatable() && x.ran < x.route.MaxAttempts && x.ctx.Err() == nil
}

// broken returns the outcome of an answer that broke off.
func (x *exchange) broken(err error) assign.Outcome {
	switch {
	case x.r.Context().Err() != nil:
		return assign.CallerLeft
	case x.ctx.Err() != nil:
		return assign.TimedOut
	}
	x.noteFailure("answer broke off", err)
	return assign.Lost
}

func (x *exchange) writeHeader(a *forward.Response) {
	h := x.w.Header()
	for name, values := range x.server.Codec.CallerHeader(a.Header) {
		h[name] = values
	}
	x.w.WriteHeader(a.Status)
	x.status, x.wrote = a.Status, true
}

// passStream passes a stream on, whole events at a time. Of a stream that
// breaks off, nothing is passed on that another upstream would send again.
func (x *exchange) passStream(a *forward.Response) assign.Outcome {
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

// notePause notes how long the next event of a stream was waited for.
func (x *exchange) notePause(d time.Duration) {
	x.longestPause = max(x.longestPause, d)
	switch {
	case x.route.MaxEventGap <= 0 || x.pauses == assign.EventGapsOverLimit:
	case d > x.route.MaxEventGap:
		x.pauses = assign.EventGapsOverLimit
	default:
		x.pauses = assign.EventGapsWithinLimit
	}
}

// begin writes the header of a stream's first upstream.
func (x *exchange) begin(a *forward.Response) {
	x.server.Broker.FirstByteReceived(x.ticket)
	if !x.wrote {
		x.firstToken = time.Since(x.arrived)
		x.writeHeader(a)
	}
}

// fail tells the caller that there is no answer, or no whole one.
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
		// The status has been sent. Breaking the connection off is the only way
		// left to say that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	x.status = err.Kind.Answer().Status
	raw, marshalErr := json.Marshal(err.Body())
	if marshalErr != nil {
		x.server.Log.Error("error not written", "error", marshalErr)
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	if id := x.call.AttemptID; id != "" {
		h.Set(x.server.Codec.AttemptIDHeader(), id)
	}
	if err.RetryAfter > 0 {
		h.Set("Retry-After", x.server.Codec.FormatRetryAfter(err.RetryAfter))
	}
	x.w.WriteHeader(x.status)
	if _, writeErr := x.w.Write(raw); writeErr != nil {
		x.server.Log.Debug("error not taken by the caller", "request", x.call.AttemptID, "error", writeErr)
	}
}

// maxFailureBytes bounds what a log line says of an attempt's failure.
const maxFailureBytes = 160

// noteFailure keeps why the last attempt failed, for the request's log line.
func (x *exchange) noteFailure(what string, err error) {
	x.failure = x.grant.Upstream + ": " + what
	if err != nil {
		x.failure += ": " + err.Error()
	}
	x.failure = x.failure[:min(len(x.failure), maxFailureBytes)]
}

// report logs how the request ended.
func (x *exchange) report() {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	took := time.Since(x.arrived)
	level := hclog.Info
	if x.status >= http.StatusBadRequest && x.status != apierr.StatusCallerGone {
		level = hclog.Warn // kept where routine lines are summed up
	}
	fields := []any{
		"request", x.call.AttemptID, "route", route, "organisation", x.request.Organisation,
		"adapter", x.request.Adapter.Adapter, "status", x.status, "reason", x.reason, "rule", x.why, "upstream", x.grant.Upstream,
		"assigned_by", x.grant.Rule, "granted_ms", x.grantedAfter.Milliseconds(), "expected_ms", x.grant.Expected.Milliseconds(),
		"sent", x.sent, "ran", x.ran, "failure", x.failure, "first_ms", x.firstToken.Milliseconds(),
		"pause_ms", x.longestPause.Milliseconds(), "took_ms", took.Milliseconds(),
	}
	if x.failure != "" || x.why != "" {
		// The same for every attempt of a caller at the same request, on every host.
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
		Route: route, Status: x.status, Reason: x.reason, Rule: x.why, Failure: x.failure, Duration: took, TimeToFirstToken: x.firstToken, Attempts: x.sent,
		Tokens: tokens,
	})
}
