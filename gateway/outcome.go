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

// callOutcome says what a failed call tells of its execution.
func callOutcome(ctx context.Context, err error) request.Outcome {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return request.NotExecuted
	case errors.Is(ctx.Err(), context.Canceled):
		return request.CallerLeft
	}
	return request.Lost
}

// failedResult is the result of an attempt that ended in an error of the call.
func failedResult(ctx context.Context, err error) attemptResult {
	if errors.Is(err, errAnswerTooLarge) || errors.Is(err, sse.ErrEventTooLarge) {
		return attemptResult{outcome: request.Errored, used: unknownUsage}
	}
	r := attemptResult{outcome: callOutcome(ctx, err), used: unknownUsage}
	r.connectionLost = r.outcome == request.Lost && ctx.Err() == nil && !errors.Is(err, upstream.ErrAttemptMismatch)
	return r
}

// statusOutcome says what an engine's error status tells of the request's
// execution. ok is false for a status that starts an answer.
func statusOutcome(a *upstream.Response, body []byte) (result attemptResult, ok bool) {
	switch {
	case a.Status < http.StatusBadRequest:
		return attemptResult{}, false
	case a.Status == http.StatusNotFound:
		return attemptResult{outcome: request.NotExecuted, notLoaded: isUnknownModel(body)}, true
	case a.Header.Get(upstream.HeaderNotRun) == "true":
		return attemptResult{outcome: request.NotExecuted}, true
	case a.Status < http.StatusInternalServerError:
		return attemptResult{outcome: request.Rejected}, true
	}
	return attemptResult{outcome: request.Lost, used: unknownUsage}, true
}

// engineError is the part of an engine's error body that is read.
type engineError struct {
	Error struct {
		Type string `json:"type"`
		Code any    `json:"code"`
	} `json:"error"`
}

// isUnknownModel reports whether an engine's error says that it does not hold
// the adapter.
func isUnknownModel(body []byte) bool {
	var e engineError
	if json.Unmarshal(body, &e) != nil {
		return false
	}
	return e.Error.Type == "NotFoundError" || e.Error.Code == "model_not_found"
}
