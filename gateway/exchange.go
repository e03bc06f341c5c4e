package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
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
	relay func(x *exchange, a *upstream.Answer) attemptResult
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
}

// unknownUsage says that an upstream reported no usage.
const unknownUsage = -1

// run brings a request to the core and follows the core's decisions to the end.
func (x *exchange) run(ctx context.Context, r core.Request) {
	x.server.runtime.Submit(x.ticket, r)
	gone := ctx.Done()
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
		x.attempt(ctx, d)
	case core.Claim:
		x.server.runtime.Handle(core.ClaimEnded{ID: d.ID})
	case core.Finish:
		x.finish(d.Err)
		return true
	}
	return false
}

func (x *exchange) attempt(ctx context.Context, d core.Dispatch) {
	started := time.Now()
	x.dispatchedAt = started
	result := x.send(ctx, d)
	x.server.runtime.Handle(core.AttemptEnded{
		ID: x.ticket.ID(), Outcome: result.outcome, NotLoaded: result.notLoaded,
		AnswerStarted: x.wrote, UsedTokens: result.used, FirstToken: time.Since(started),
	})
}

func (x *exchange) send(ctx context.Context, d core.Dispatch) attemptResult {
	call, err := x.call(d)
	if err != nil {
		return attemptResult{outcome: request.NotExecuted}
	}
	call.Attempt = strconv.FormatUint(uint64(d.ID), 16) + "-" + strconv.Itoa(d.Attempt)
	answer, err := x.server.caller.Call(ctx, d.Upstream.URL, call)
	if err != nil {
		return attemptResult{outcome: callOutcome(ctx, err), used: unknownUsage}
	}
	defer func() { _ = answer.Body.Close() }()
	return x.relay(x, answer)
}

// started tells the core that the answer has begun.
func (x *exchange) started() {
	x.server.runtime.Handle(core.AnswerStarted{ID: x.ticket.ID(), FirstToken: time.Since(x.dispatchedAt)})
}

// finish writes the final error, where there is one.
func (x *exchange) finish(err *apierr.Error) {
	switch {
	case err == nil:
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

// deadline returns the request's deadline and a context that ends with it.
func (s *Server) deadline(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, time.Time) {
	at := time.Now().Add(timeout)
	bounded, cancel := context.WithDeadline(ctx, at)
	return bounded, cancel, at
}

// newRequest returns the part of a request that every path shares.
func newRequest(t Ticket, secret string, deadline time.Time, idempotencyKey string) core.Request {
	r := core.Request{ID: t.ID(), Deadline: deadline, IdempotencyKey: idempotencyKey}
	if secret != "" {
		r.HasKey = true
		r.KeyHash = record.HashSecret(secret)
	}
	return r
}
