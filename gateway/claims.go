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

// KeyClaims records idempotency keys in the outcome store. *outcome.Store implements it.
type KeyClaims interface {
	// Begin claims the request's idempotency key. It returns exactly one of: the claim,
	// the stored response of an earlier request with this key, or the error to respond with.
	Begin(ctx context.Context, r outcome.Request) (*outcome.Claim, *outcome.Answer, *apierr.Error)
}

// headerIdempotencyReplayed is the response header that marks a stored response of an earlier request.
const headerIdempotencyReplayed = "Idempotency-Replayed"

// maxIdempotencyKeyBytes is the maximum length of an idempotency key in bytes.
const maxIdempotencyKeyBytes = 255

// checkIdempotencyKey returns an InvalidRequest error if the header has several
// idempotency keys or one that is empty, too long or not printable.
func checkIdempotencyKey(h http.Header) *apierr.Error {
	values := h.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || !validToken(values[0], maxIdempotencyKeyBytes) {
		return apierr.New(apierr.InvalidRequest,
			"header Idempotency-Key must have one value of 1 to %d printable ASCII characters without spaces", maxIdempotencyKeyBytes)
	}
	return nil
}

// claimKey claims the request's idempotency key and reports the result to the core.
func (x *exchange) claimKey(ctx context.Context, d core.Claim) {
	ctx, cancel := x.server.untilStopped(ctx)
	defer cancel()
	claim, stored, apiErr := x.server.keyClaims.Begin(ctx, outcome.Request{
		Organisation: d.Organisation, Key: d.Key, Fingerprint: d.Fingerprint[:], Deadline: d.Deadline,
	})
	x.claim = claim
	if stored != nil {
		x.writeStoredResponse(stored)
	}
	x.server.runtime.Handle(core.ClaimEnded{ID: d.ID, Replayed: stored != nil, Err: apiErr})
}

// writeStoredResponse writes the stored response of an earlier request to the caller.
func (x *exchange) writeStoredResponse(stored *outcome.Answer) {
	x.headerWritten = true
	maps.Copy(x.w.Header(), stored.Header)
	x.w.Header().Set(headerIdempotencyReplayed, "true")
	if result := x.writeResponse(stored.Status, stored.Body, unknownUsage); result.outcome != request.Completed {
		x.server.log.Debug("caller disconnected while a stored response was being written")
	}
}

// storeResponse stores the response of a request with an idempotency key. It is called
// before the response is sent to the caller.
func (x *exchange) storeResponse(ctx context.Context, status int, header http.Header, body []byte) {
	if x.claim == nil {
		return
	}
	claim := x.claim
	x.claim = nil
	if !claim.Complete(ctx, outcome.Answer{Status: status, Header: header, Body: body}) {
		x.server.log.Warn("response not confirmed as stored; sending it to the caller", "request", x.ticket.ID())
	}
}

// releaseClaim ends the claim of a request that failed without a response to store.
func (x *exchange) releaseClaim(err *apierr.Error) {
	if x.claim == nil {
		return
	}
	x.claim.Release(err.Ran)
	x.claim = nil
}
