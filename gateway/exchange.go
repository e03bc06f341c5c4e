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

// exchange is one caller's request and what has been written of its answer.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	ticket Ticket
	// call builds the attempt's call for an upstream.
	call func(d core.Dispatch) (upstream.Call, error)
	// relay passes an answer on to the caller.
	relay func(ctx context.Context, x *exchange, a *upstream.Response) attemptResult
	// out sets deadlines on what is written and flushes it.
	out *http.ResponseController
	// claim is the recorded idempotency key, nil where there is none.
	claim *outcome.Claim
	// attemptID and upstream are the current attempt's.
	attemptID string
	upstream  string
	// promptTokens is the estimated cost of the prompt.
	promptTokens int64
	// wrote says that a part of the answer has been written.
	wrote bool
	// sse says that the answer is an event stream.
	sse bool
	// dispatchedAt is when the current attempt was dispatched.
	dispatchedAt time.Time
}

// attemptResult is how one attempt ended.
type attemptResult struct {
	outcome   request.Outcome
	notLoaded bool
	used      int64
	// connectionLost says that the connection to the upstream broke.
	connectionLost bool
}

// unknownUsage says that an upstream reported no usage.
const unknownUsage = -1

// run brings a request to the core and follows the core's decisions to the end.
// The caller's context ends when the caller has left; ctx ends with it and at
// the request's deadline.
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

// follow carries out one decision and reports whether it was the last.
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

func (x *exchange) attempt(ctx context.Context, d core.Dispatch) {
	if !d.Repeatable {
		// Cancelling the call would leave it in doubt whether it was executed.
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

// outlive returns a context that ends with ctx's deadline, not with its cancellation.
func outlive(ctx context.Context) (context.Context, context.CancelFunc) {
	at, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, at)
}

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

// started tells the core that the answer has begun.
func (x *exchange) started() {
	x.server.runtime.Handle(core.FirstByteReceived{ID: x.ticket.ID(), FirstToken: time.Since(x.dispatchedAt)})
}

// finish writes the final error, where there is one.
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
		// The status has been sent. Breaking the connection off is the only way
		// left to say that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// writeWhole writes an answer that has been read whole.
func (x *exchange) writeWhole(status int, body []byte, used int64) attemptResult {
	x.extendWrite()
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		return attemptResult{outcome: request.CallerLeft, used: used}
	}
	return attemptResult{outcome: request.Completed, used: used}
}

// extendWrite gives the caller WriteTimeout from now to take what is written.
// Where the writer has no deadlines there is nothing to extend.
func (x *exchange) extendWrite() {
	_ = x.out.SetWriteDeadline(time.Now().Add(x.server.limits.WriteTimeout))
}

// deadline returns the request's deadline and a context that ends with it.
func (s *Server) deadline(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, time.Time) {
	at := time.Now().Add(timeout)
	bounded, cancel := context.WithDeadline(ctx, at)
	return bounded, cancel, at
}

// newExchange returns an exchange with a fresh ticket.
func (s *Server) newExchange(w http.ResponseWriter) *exchange {
	return &exchange{server: s, w: w, out: http.NewResponseController(w), ticket: s.runtime.NewTicket()}
}

// newRequest returns the part of a request that every path shares.
func newRequest(t Ticket, h http.Header, deadline time.Time) core.Request {
	r := core.Request{ID: t.ID(), Deadline: deadline}
	if secret := bearer(h); secret != "" {
		r.HasKey = true
		r.KeyHash = record.HashSecret(secret)
	}
	return r
}

// fingerprint tells a request from another one of the same caller.
func fingerprint(r *http.Request, body []byte) core.Fingerprint {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s\n", r.Method, r.URL.RequestURI()) // writing to a hash never fails
	_, _ = h.Write(body)
	return core.Fingerprint(h.Sum(nil))
}
