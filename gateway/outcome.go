package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sse"
	"github.com/jasminelock/jasminelock/upstream"
)

// outcomeOfError returns the outcome of a call that failed with err: not executed if nothing
// was sent, CallerLeft if the caller cancelled it, otherwise Lost, also if this host cancelled it.
func outcomeOfError(ctx context.Context, err error) request.Outcome {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return request.NotExecuted
	case errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errStopping):
		return request.CallerLeft
	}
	return request.Lost
}

// failedResult returns the result of an attempt whose call or response body failed with err.
func failedResult(ctx context.Context, err error) attemptResult {
	if errors.Is(err, errResponseTooLarge) || errors.Is(err, sse.ErrEventTooLarge) {
		return attemptResult{outcome: request.Errored, usedTokens: unknownUsage}
	}
	if errors.Is(err, errNoMemory) {
		return attemptResult{outcome: request.Errored, noMemory: true, usedTokens: unknownUsage}
	}
	r := attemptResult{outcome: outcomeOfError(ctx, err), usedTokens: unknownUsage}
	r.connectionLost = r.outcome == request.Lost && ctx.Err() == nil && !errors.Is(err, upstream.ErrAttemptMismatch)
	return r
}

// resultOfErrorStatus returns the result of an attempt that the engine answered with an error
// status. ok is false if the status is no error (below 400).
func resultOfErrorStatus(resp *upstream.Response, body []byte) (result attemptResult, ok bool) {
	switch {
	case resp.Status < http.StatusBadRequest:
		return attemptResult{}, false
	case resp.Status == http.StatusNotFound:
		return attemptResult{outcome: request.NotExecuted, notLoaded: isUnknownModel(body)}, true
	case resp.Header.Get(upstream.HeaderNotRun) == "true":
		return attemptResult{outcome: request.NotExecuted}, true
	case isInvalidRequest(resp.Status):
		return attemptResult{outcome: request.Rejected}, true
	}
	return attemptResult{outcome: request.Lost, usedTokens: unknownUsage}, true
}

// isInvalidRequest reports whether an engine's status means that the request is not valid, so that the engine has not run
// it. Other client errors, such as 408 and 429, depend on the engine's state, and may follow a run.
func isInvalidRequest(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusMethodNotAllowed, http.StatusNotAcceptable,
		http.StatusLengthRequired, http.StatusRequestEntityTooLarge, http.StatusRequestURITooLong, http.StatusUnsupportedMediaType,
		http.StatusUnprocessableEntity, http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return false
}

// engineError holds the fields of an engine's error body that the gateway uses.
type engineError struct {
	Error struct {
		Type string `json:"type"`
		Code any    `json:"code"`
	} `json:"error"`
}

// isUnknownModel reports whether an engine's error body means that the engine does not hold
// the adapter.
func isUnknownModel(body []byte) bool {
	var e engineError
	if json.Unmarshal(body, &e) != nil {
		return false
	}
	return e.Error.Type == "NotFoundError" || e.Error.Code == "model_not_found"
}
