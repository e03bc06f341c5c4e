package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
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
	// call builds the upstream call of an attempt.
	call func(d core.Dispatch) (upstream.Call, error)
	// relay writes an upstream's response to the caller.
	relay func(ctx context.Context, x *exchange, a *upstream.Answer) attemptResult
	// out sets write deadlines and flushes the response.
	out *http.ResponseController
	// claim is the claim of the idempotency key, nil if there is none or it has ended.
	claim *outcome.Claim
	// attemptID and upstream are the id and the upstream's URL of the current attempt.
	attemptID string
	upstream  string
	// promptTokens is the estimated cost of the prompt in tokens.
	promptTokens int64
	// wrote reports whether the response header has been written.
	wrote bool
	// sse reports whether the caller requested an event stream.
	sse bool
	// dispatchedAt is the start time of the current attempt.
	dispatchedAt time.Time
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome request.Outcome
	// notLoaded reports whether the engine answered that it does not hold the adapter.
	notLoaded bool
	// used is the usage in tokens that the upstream reported, or unknownUsage.
	used int64
	// connectionLost reports whether the connection to the upstream was lost.
	connectionLost bool
}

// unknownUsage is the number of used tokens if the upstream reported no usage.
const unknownUsage = -1

// run submits a request to the core and carries out the core's decisions until the last
// one. The context caller ends when the caller disconnects; ctx ends then or at the
// request's deadline, whichever is first.
func (x *exchange) run(ctx, caller context.Context, r core.Request) {
	x.server.runtime.Submit(x.ticket, r)
	gone := caller.Done()
	for {
		select {
		case d := <-x.ticket.Decisions():
			if x.follow(ctx, d) {
				return
			}
		case <-gone:
			gone = nil
			x.server.runtime.Handle(core.CallerLeft{ID: x.ticket.ID()})
		}
	}
}

// follow carries out one decision of the core and reports whether it was the last.
func (x *exchange) follow(ctx context.Context, d core.Decision) bool {
	switch d := d.(type) {
	case core.Dispatch:
		x.tellQuota(d.Quota)
		x.attempt(ctx, d)
	case core.Claim:
		x.tellQuota(d.Quota)
		x.begin(ctx, d)
	case core.Finish:
		x.tellQuota(d.Quota)
		x.finish(d.Err)
		return true
	}
	return false
}

// attempt makes one attempt on the upstream that the core chose and reports its result to
// the core.
func (x *exchange) attempt(ctx context.Context, d core.Dispatch) {
	if !d.Repeatable {
		// If the call were cancelled, it would be unknown whether it was executed.
		bounded, cancel := outlive(ctx)
		defer cancel()
		ctx = bounded
	}
	started := time.Now()
	x.dispatchedAt = started
	result := x.send(ctx, d)
	x.server.runtime.Handle(core.AttemptEnded{
		ID: x.ticket.ID(), Outcome: result.outcome, NotLoaded: result.notLoaded, AnswerStarted: x.wrote,
		ConnectionLost: result.connectionLost, UsedTokens: result.used, FirstToken: time.Since(started),
	})
}

// outlive returns a context with ctx's deadline that is not cancelled with ctx.
func outlive(ctx context.Context) (context.Context, context.CancelFunc) {
	at, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, at)
}

// send calls the upstream and relays its response to the caller.
func (x *exchange) send(ctx context.Context, d core.Dispatch) attemptResult {
	call, err := x.call(d)
	if err != nil {
		return attemptResult{outcome: request.NotExecuted}
	}
	call.Attempt = x.server.attemptPrefix + strconv.FormatUint(uint64(d.ID), 16) + "-" + strconv.Itoa(d.Attempt)
	x.attemptID = call.Attempt
	x.upstream = d.Upstream.URL
	answer, err := x.server.caller.Call(ctx, d.Upstream.URL, call)
	if err != nil {
		return failedResult(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	return x.relay(ctx, x, answer)
}

// started reports the start of the response, and the time to it, to the core.
func (x *exchange) started() {
	x.server.runtime.Handle(core.AnswerStarted{ID: x.ticket.ID(), FirstToken: time.Since(x.dispatchedAt)})
}

// finish releases the claim and writes err to the caller. It does nothing if err is nil.
func (x *exchange) finish(err *apierr.Error) {
	if err == nil {
		return
	}
	x.release(err)
	x.extendWrite()
	switch {
	case !x.wrote:
		writeError(x.w, err)
	case x.sse:
		writeErrorEvent(x.w, err)
	default:
		// The status has been sent: only an aborted connection can still tell the caller
		// that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// writeWhole writes the status and a buffered body to the caller.
func (x *exchange) writeWhole(status int, body []byte, used int64) attemptResult {
	x.extendWrite()
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		return attemptResult{outcome: request.CallerLeft, used: used}
	}
	return attemptResult{outcome: request.Completed, used: used}
}

// extendWrite sets the write deadline to WriteTimeout from now. The error of a
// ResponseWriter without write deadlines is ignored.
func (x *exchange) extendWrite() {
	_ = x.out.SetWriteDeadline(time.Now().Add(x.server.limits.WriteTimeout))
}

// deadline returns a context that ends after timeout, its cancel function and its deadline.
func (s *Server) deadline(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, time.Time) {
	at := time.Now().Add(timeout)
	bounded, cancel := context.WithDeadline(ctx, at)
	return bounded, cancel, at
}

// newExchange returns an exchange with a new ticket.
func (s *Server) newExchange(w http.ResponseWriter) *exchange {
	return &exchange{server: s, w: w, out: http.NewResponseController(w), ticket: s.runtime.NewTicket()}
}

// newRequest returns a core request with the fields common to completions and services:
// id, deadline and the hash of the API key.
func newRequest(t Ticket, h http.Header, deadline time.Time) core.Request {
	r := core.Request{ID: t.ID(), Deadline: deadline}
	if secret := bearer(h); secret != "" {
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
