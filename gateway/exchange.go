package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/intake/callers"
	"github.com/jasminelock/jasminelock/outcome"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
)

// exchange is the state of one caller's request and its response.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	ticket Ticket
	// held is what the request holds of the memory for callers, nil if that is not counted.
	held *callers.Request
	// buildCall builds the upstream call of an attempt.
	buildCall func(d core.Dispatch) (upstream.Call, error)
	// relay writes an upstream's response to the caller.
	relay func(ctx context.Context, x *exchange, a *upstream.Response) attemptResult
	// controller sets write deadlines and flushes the response.
	controller *http.ResponseController
	// claim is the claim of the idempotency key, nil if there is none or it has ended.
	claim *outcome.Claim
	// attemptID and upstreamURL are the id and the upstream's URL of the current attempt.
	attemptID   string
	upstreamURL string
	// promptTokens is the estimated cost of the prompt in tokens.
	promptTokens int64
	// headerWritten reports whether the response header has been written.
	headerWritten bool
	// writes tells whether the caller is slow to read a stream.
	writes callers.WriteTimes
	// isStream reports whether the caller requested an event stream.
	isStream bool
	// dispatchedAt is the start time of the current attempt.
	dispatchedAt time.Time
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome request.Outcome
	// notLoaded reports whether the engine answered that it does not hold the adapter.
	notLoaded bool
	// usedTokens is the usage in tokens that the upstream reported, or unknownUsage.
	usedTokens int64
	// connectionLost reports whether the connection to the upstream was lost.
	connectionLost bool
	// noMemory reports whether this host had no memory for the response.
	noMemory bool
}

// unknownUsage is the number of used tokens if the upstream reported no usage.
const unknownUsage = -1

// run submits a request to the core and carries out the core's decisions until the last
// one. callerCtx ends when the caller disconnects; ctx ends then or at the request's
// deadline, whichever is first.
func (x *exchange) run(ctx, callerCtx context.Context, r core.Request) {
	x.server.runtime.Submit(x.ticket, r)
	callerDone := callerCtx.Done()
	for {
		select {
		case d := <-x.ticket.Decisions():
			if x.carryOut(ctx, d) {
				return
			}
		case <-callerDone:
			callerDone = nil
			x.server.runtime.Handle(core.CallerLeft{ID: x.ticket.ID()})
		}
	}
}

// carryOut carries out one decision of the core and reports whether it was the last.
func (x *exchange) carryOut(ctx context.Context, d core.Decision) bool {
	switch d := d.(type) {
	case core.Dispatch:
		x.setRateLimitHeaders(d.Quota)
		x.runAttempt(ctx, d)
	case core.Claim:
		x.setRateLimitHeaders(d.Quota)
		x.claimKey(ctx, d)
	case core.Finish:
		x.setRateLimitHeaders(d.Quota)
		x.finish(d.Err)
		return true
	}
	return false
}

// runAttempt makes one attempt on the upstream that the core chose and reports its result to
// the core.
func (x *exchange) runAttempt(ctx context.Context, d core.Dispatch) {
	if !d.Repeatable {
		// If the call were cancelled, it would be unknown whether it was executed.
		boundedCtx, cancel := withoutCancel(ctx)
		defer cancel()
		ctx = boundedCtx
	}
	ctx, cancel := x.server.untilStopped(ctx)
	defer cancel()
	startedAt := time.Now()
	x.dispatchedAt = startedAt
	result := x.send(ctx, d)
	x.server.runtime.Handle(core.AttemptEnded{
		ID: x.ticket.ID(), Outcome: result.outcome, NotLoaded: result.notLoaded, AnswerStarted: x.headerWritten,
		ConnectionLost: result.connectionLost, NoMemory: result.noMemory, UsedTokens: result.usedTokens, FirstToken: time.Since(startedAt),
	})
}

// errStopping is the context cause of an attempt that still runs when this host is about to end.
var errStopping = errors.New("gateway: this host is stopping")

// untilStopped returns a context that ends with ctx, and with errStopping when this host is about to end.
func (s *Server) untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.stopping, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// withoutCancel returns a context with ctx's deadline that is not cancelled with ctx.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// send calls the upstream and relays its response to the caller.
func (x *exchange) send(ctx context.Context, d core.Dispatch) attemptResult {
	call, err := x.buildCall(d)
	if err != nil {
		return attemptResult{outcome: request.NotExecuted}
	}
	call.Attempt = x.server.attemptPrefix + strconv.FormatUint(uint64(d.ID), 16) + "-" + strconv.Itoa(d.Attempt)
	x.attemptID = call.Attempt
	x.upstreamURL = d.Upstream.URL
	resp, err := x.server.upstreams.Call(ctx, d.Upstream.URL, call)
	if err != nil {
		return failedResult(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return x.relay(ctx, x, resp)
}

// reportResponseStarted reports the start of the response, and the time to it, to the core.
func (x *exchange) reportResponseStarted() {
	x.server.runtime.Handle(core.FirstByteReceived{ID: x.ticket.ID(), FirstToken: time.Since(x.dispatchedAt)})
}

// finish releases the claim and writes err to the caller. It does nothing if err is nil.
func (x *exchange) finish(err *apierr.Error) {
	if err == nil {
		return
	}
	x.releaseClaim(err)
	x.extendWriteDeadline()
	switch {
	case !x.headerWritten:
		writeError(x.w, err)
	case x.isStream:
		writeErrorEvent(x.w, err)
	default:
		// The status has been sent: only an aborted connection can still tell the caller
		// that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// writeResponse writes the status and a buffered body to the caller.
func (x *exchange) writeResponse(status int, body []byte, usedTokens int64) attemptResult {
	x.extendWriteDeadline()
	if len(body) > 0 {
		// Without it, a caller of HTTP/1.0 takes the end of the connection for the end of the response.
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		return attemptResult{outcome: request.CallerLeft, usedTokens: usedTokens}
	}
	return attemptResult{outcome: request.Completed, usedTokens: usedTokens}
}

// extendWriteDeadline sets the write deadline to WriteTimeout from now. The error of a
// ResponseWriter without write deadlines is ignored.
func (x *exchange) extendWriteDeadline() {
	_ = x.controller.SetWriteDeadline(time.Now().Add(x.server.limits.WriteTimeout))
}

// withDeadline returns a context that ends after timeout, its cancel function and its deadline.
func (s *Server) withDeadline(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, time.Time) {
	deadline := time.Now().Add(timeout)
	boundedCtx, cancel := context.WithDeadline(ctx, deadline)
	return boundedCtx, cancel, deadline
}

// newExchange returns an exchange with a new ticket.
func (s *Server) newExchange(w http.ResponseWriter) *exchange {
	return &exchange{server: s, w: w, controller: http.NewResponseController(w), ticket: s.runtime.NewTicket()}
}

// newRequest returns a core request with the fields common to completions and services:
// id, deadline and the hash of the API key.
func newRequest(t Ticket, h http.Header, deadline time.Time) core.Request {
	r := core.Request{ID: t.ID(), Deadline: deadline}
	if secret := callerSecret(h); secret != "" {
		r.HasKey = true
		r.KeyHash = record.HashSecret(secret)
	}
	return r
}

// fingerprint returns the SHA-256 hash of the request's method, URI and body. It detects an
// idempotency key that is reused with a different request.
func fingerprint(r *http.Request, body []byte) core.Fingerprint {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s\n", r.Method, r.URL.RequestURI()) // writing to a hash never fails
	_, _ = h.Write(body)
	return core.Fingerprint(h.Sum(nil))
}
