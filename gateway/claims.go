package gateway

import (
	"context"
	"maps"
	"net/http"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/outcome"
	"github.com/jasminelock/jasminelock/request"
)

// KeyClaims records idempotency keys. *outcome.Store implements it.
type KeyClaims interface {
	// Begin returns a claim, or a stored answer, or the error that answers the
	// request.
	Begin(ctx context.Context, r outcome.Request) (*outcome.Claim, *outcome.Answer, *apierr.Error)
}

// headerReplayed marks the stored answer of an earlier request.
const headerReplayed = "Idempotency-Replayed"

// maxIdempotencyKeyBytes bounds the key that a caller chose.
const maxIdempotencyKeyBytes = 255

// checkIdempotencyKey refuses a key that cannot be recorded.
func checkIdempotencyKey(h http.Header) *apierr.Error {
	values := h.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || !validToken(values[0], maxIdempotencyKeyBytes) {
		return apierr.New(apierr.InvalidRequest, "Idempotency-Key must be one value of 1 to %d printable characters", maxIdempotencyKeyBytes)
	}
	return nil
}

// begin records the request's idempotency key and tells the core how that ended.
func (x *exchange) begin(ctx context.Context, d core.Claim) {
	claim, answer, apiErr := x.server.claims.Begin(ctx, outcome.Request{
		Organisation: d.Organisation, Key: d.Key, Fingerprint: d.Fingerprint[:], Deadline: d.Deadline,
	})
	x.claim = claim
	if answer != nil {
		x.replay(answer)
	}
	x.server.runtime.Handle(core.ClaimEnded{ID: d.ID, Replayed: answer != nil, Err: apiErr})
}

// replay writes a stored answer.
func (x *exchange) replay(a *outcome.Answer) {
	x.wrote = true
	maps.Copy(x.w.Header(), a.Header)
	x.w.Header().Set(headerReplayed, "true")
	if result := x.writeWhole(a.Status, a.Body, unknownUsage); result.outcome != request.Completed {
		x.server.log.Debug("caller left while a stored answer was written")
	}
}

// keepOutcome stores the answer of a request with an idempotency key before it
// is given to the caller.
func (x *exchange) keepOutcome(ctx context.Context, status int, h http.Header, body []byte) {
	if x.claim == nil {
		return
	}
	claim := x.claim
	x.claim = nil
	if !claim.Complete(ctx, outcome.Answer{Status: status, Header: h, Body: body}) {
		x.server.log.Warn("answer given before it was stored", "request", x.ticket.ID())
	}
}

// release ends the claim of a request that has no answer.
func (x *exchange) release(err *apierr.Error) {
	if x.claim == nil {
		return
	}
	x.claim.Release(err.Ran)
	x.claim = nil
}
