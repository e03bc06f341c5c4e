package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
)

// errStopping is the context cause of a request that has not ended when the host stops.
var errStopping = errors.New("entry: the host is stopping")

// stopState decides between the begin of a response and its replacement by an error when the host stops.
type stopState struct {
	mu sync.Mutex
	// responseBegun is set when the response header is about to be written, stopped when the host has given up the
	// request. Only one of them is ever set.
	responseBegun, stopped bool
	// readingBody is set while the body of the caller's request is being read.
	readingBody bool
}

// followShutdown returns a context that ends with ctx, and with errStopping when the host gives up the request: when all
// requests without a response must be answered, or when the responses that still run are aborted. Release must be called at
// the end of the request.
func (x *exchange) followShutdown(ctx context.Context) (stoppable context.Context, release func()) {
	stoppable, cancel := context.WithCancelCause(ctx)
	stopAnswer := context.AfterFunc(x.server.Shutdown.AnswersDue(), func() { x.stopUnanswered(cancel) })
	stopAbort := context.AfterFunc(x.server.Shutdown.Aborted(), func() { cancel(errStopping) })
	return stoppable, func() {
		stopAnswer()
		stopAbort()
		cancel(nil)
	}
}

// stopUnanswered gives up the request unless its response has begun, and cancels its context.
func (x *exchange) stopUnanswered(cancel context.CancelCauseFunc) {
	x.stop.mu.Lock()
	defer x.stop.mu.Unlock()
	if x.stop.responseBegun {
		return
	}
	x.stop.stopped = true
	cancel(errStopping)
	if x.stop.readingBody {
		_ = x.controller.SetReadDeadline(time.Now()) // fails only where deadlines are unsupported
	}
}

// beginResponse reports whether the response may be written, which it may not once the host has given up the request.
func (x *exchange) beginResponse() bool {
	x.stop.mu.Lock()
	defer x.stop.mu.Unlock()
	x.stop.responseBegun = !x.stop.stopped
	return x.stop.responseBegun
}

// setReadingBody sets the read deadline of the caller's connection while the body is being read, and removes it afterwards.
// It reports false if the host has given up the request.
func (x *exchange) setReadingBody(reading bool) bool {
	x.stop.mu.Lock()
	defer x.stop.mu.Unlock()
	x.stop.readingBody = reading
	deadline := time.Time{}
	if reading {
		deadline = time.Now().Add(bodyReadTimeout)
	}
	if err := x.controller.SetReadDeadline(deadline); err != nil {
		x.server.Log.Debug("read deadline of the connection not set", "error", err)
	}
	return !x.stop.stopped
}

// outlastsShutdown reports whether the request may no longer be sent, since it could outlast the host's shutdown. A stream
// that has begun may be, since it would be interrupted otherwise.
func (x *exchange) outlastsShutdown() bool {
	s := x.server.Shutdown
	return !x.headerWritten && s.LongRefused().Err() != nil && s.MayOutlast(x.deadline)
}

// shutdownError returns the error for a request that the host cannot serve to its end before it stops.
func (x *exchange) shutdownError() *apierr.Error {
	switch {
	case x.ranCount == 0:
		return apierr.New(apierr.Draining, "").WithRetryAfter(drainingRetryAfter)
	case x.route.Repeatable():
		return apierr.New(apierr.AnswerCut, "this host is stopping").WithRan(apierr.MayHaveRun)
	}
	return apierr.New(apierr.OutcomeUnknown, "this host is stopping").WithRan(apierr.MayHaveRun)
}
