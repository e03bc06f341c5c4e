package entry

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/forward"
	"github.com/jasminelock/jasminelock/intake/callers"
	"github.com/jasminelock/jasminelock/leader"
	"github.com/jasminelock/jasminelock/throttle"
	"github.com/jasminelock/jasminelock/watch"
)

// exchange is one caller's request and the state of its response.
type exchange struct {
	server     *Server
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	arrived    time.Time
	ctx        context.Context
	// held is what the request holds of the memory for callers, nil if that is not counted.
	held *callers.Request

	view         *watch.View
	requestInfo  RequestInfo
	route        *catalog.Route
	organisation *catalog.Organisation
	body         []byte
	deadline     time.Time
	request      assign.Request
	ticket       *leader.Ticket

	// sentCount counts the attempts sent to an upstream, ranCount those that may have run.
	sentCount int
	ranCount  int
	// grant is the current assignment, or the last one.
	grant assign.Grant
	// rateLimit is the state of the rate limit under which the last decision was made.
	rateLimit throttle.State
	// headerWritten reports whether the response header has been written.
	headerWritten bool
	// closeDelimited reports whether only the end of the caller's connection marks the end of the response.
	closeDelimited bool
	stop           stopState
	lastEventID    string
	// events counts the events of the stream that were relayed, over all attempts.
	events int
	// eventGaps classifies the gaps between the events of the last attempt.
	eventGaps assign.EventGaps
	// noListener reports whether the last upstream refused the connection, unframed whether only the end of the
	// connection marked the end of its response.
	noListener bool
	unframed   bool
	// timeToFirstToken is the time from the arrival to the start of the response body.
	timeToFirstToken time.Duration
	// writes tells whether the caller is slow to read its response.
	writes callers.WriteTimes
	// maxEventGap is the longest gap between two consecutive events.
	maxEventGap time.Duration
	// timeToGrant is the time from the arrival to the last assignment.
	timeToGrant time.Duration
	status      int
	reason      string
	// rule names the rule that refused the request, "" for none. ruleDetail names what the rule refused.
	rule       string
	ruleDetail string
	// failure is why the last failed attempt failed, "" for none.
	failure string
}

// errDeadline is the context cause of a request whose deadline has passed.
var errDeadline = errors.New("entry: request deadline exceeded")

// serve handles the request from its admission to its log line. HasMemory is false if there is no memory for it.
func (x *exchange) serve(hasMemory bool) {
	defer x.logResult()
	if !hasMemory {
		x.writeError(x.noMemoryError())
		return
	}
	stoppable, release := x.followShutdown(x.r.Context())
	defer release()
	if err := x.admit(); err != nil {
		x.writeError(err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(stoppable, x.deadline, errDeadline)
	defer cancel()
	x.ctx = ctx
	if err := x.controller.SetWriteDeadline(x.deadline.Add(writeGrace)); err != nil {
		x.server.Log.Debug("write deadline of the connection not set", "error", err)
	}
	defer func() { _ = x.controller.SetWriteDeadline(time.Time{}) }() // for the connection's next request
	x.ticket = x.server.Broker.NewTicket()
	defer x.server.Broker.Withdraw(x.ticket)
	err := x.run()
	if err == nil {
		x.completeCloseDelimited()
	}
	x.writeError(err)
}

// run has the request assigned and sent until it ends. It returns nil if a complete response was written.
func (x *exchange) run() *apierr.Error {
	for {
		if x.outlastsShutdown() {
			return x.shutdownError()
		}
		x.server.Broker.RequestAssignment(x.ticket, x.request)
		grant, err := x.awaitDecision()
		if err != nil {
			return err
		}
		retry, err := x.attempt(grant)
		if !retry {
			return err
		}
		x.request.Avoid = append(x.request.Avoid, grant.Upstream)
		x.request.Charged = x.ranCount > 0
	}
}

// awaitDecision waits for the broker's decision, the deadline, the caller's disconnection, or the moment of the host's
// shutdown from which the request could not be served to its end.
func (x *exchange) awaitDecision() (assign.Grant, *apierr.Error) {
	longRefused := x.server.Shutdown.LongRefused().Done()
	for {
		select {
		case decision := <-x.ticket.Decisions():
			return x.applyDecision(decision)
		case <-x.ctx.Done():
			return assign.Grant{}, x.cancelledError()
		case <-longRefused:
			if x.outlastsShutdown() {
				return assign.Grant{}, x.shutdownError()
			}
			longRefused = nil
		}
	}
}

// applyDecision returns the grant of a decision, or the error for a refusal.
func (x *exchange) applyDecision(decision assign.Decision) (assign.Grant, *apierr.Error) {
	switch decision := decision.(type) {
	case assign.Grant:
		return decision, nil
	case assign.Refuse:
		x.rule, x.ruleDetail, x.rateLimit = decision.Rule, decision.Detail, decision.RateLimit
		return assign.Grant{}, x.refusalError(decision)
	}
	return assign.Grant{}, apierr.New(apierr.Internal, "decision of type %T", decision)
}

// refusalError returns the error for a request that the broker refused, at its first attempt or a later one.
func (x *exchange) refusalError(refusal assign.Refuse) *apierr.Error {
	if x.ranCount > 0 || x.headerWritten {
		return x.upstreamFailedError("")
	}
	detail := refusal.Rule
	if refusal.Detail != "" {
		detail += ": " + refusal.Detail
	}
	return apierr.New(refusal.Kind, "%s", detail).WithRetryAfter(refusal.RetryAfter)
}

// cancelledError returns the error for a request whose context has ended.
func (x *exchange) cancelledError() *apierr.Error {
	switch {
	case x.r.Context().Err() != nil:
		return apierr.New(apierr.CallerGone, "")
	case errors.Is(context.Cause(x.ctx), errStopping):
		return x.shutdownError()
	}
	return x.timeoutError()
}

// cancelledOutcome returns the outcome of an attempt that was cancelled by the end of the request's context.
func (x *exchange) cancelledOutcome() assign.Outcome {
	if x.r.Context().Err() != nil || errors.Is(context.Cause(x.ctx), errStopping) {
		return assign.CallerLeft
	}
	return assign.TimedOut
}

// timeoutError returns the error for a request whose deadline has passed.
func (x *exchange) timeoutError() *apierr.Error {
	err := apierr.New(apierr.DeadlineExceeded, "")
	if x.ranCount > 0 {
		return err.WithRan(apierr.MayHaveRun)
	}
	return err
}

// upstreamFailedError returns the error for a request that may have run.
func (x *exchange) upstreamFailedError(detail string) *apierr.Error {
	return apierr.New(apierr.UpstreamFailed, "%s", detail).WithRan(apierr.MayHaveRun)
}

// attempt sends the request to the assigned upstream if that is still allowed. It reports whether to try
// another upstream; if not, it returns the error for the caller, nil after a complete response.
func (x *exchange) attempt(grant assign.Grant) (bool, *apierr.Error) {
	x.grant, x.timeToGrant, x.rateLimit = grant, time.Since(x.arrived), grant.RateLimit
	view := x.server.View()
	if err := x.recheckKey(view.Config); err != nil {
		x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{Outcome: assign.NotSent})
		return false, err
	}
	if refusal, refused := x.server.Broker.Refused(&x.request); refused {
		x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{Outcome: assign.NotSent})
		x.rule, x.ruleDetail = refusal.Rule, refusal.Detail
		return false, x.refusalError(refusal)
	}
	u := view.Upstreams[grant.Upstream]
	timeLeft := time.Until(x.deadline)
	switch {
	case u == nil || u.StartedAt != grant.StartedAt:
		x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{Outcome: assign.Replaced})
		return x.retryOrError(assign.Replaced)
	case u.Draining || view.Evacuated.Zones[u.Zone]:
		return x.skipUpstream("the upstream is draining, or its availability zone is evacuated", 0)
	case timeLeft < minTimeLeft:
		x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{Outcome: assign.NotSent})
		return false, x.timeoutError()
	}
	if reason, declines := x.server.Broker.DeclinesRequests(u); declines {
		return x.skipUpstream(reason, 0)
	}
	if reason, backOff, admitted := x.server.Broker.RateLimitAdmits(x.ticket, u); !admitted {
		return x.skipUpstream(reason, backOff)
	}
	x.sentCount++
	x.eventGaps = assign.EventGapsUnknown
	x.noListener, x.unframed = false, false
	outcome, feedback := x.sendTo(u, timeLeft)
	x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{
		Outcome: outcome, Feedback: feedback, EventGaps: x.eventGaps, NoListener: x.noListener, Unframed: x.unframed,
		Succeeded: outcome == assign.Completed && x.status < http.StatusMultipleChoices,
	})
	if outcome == assign.Lost {
		x.server.checkListener(u)
	}
	if outcome == assign.Completed {
		return false, nil
	}
	return x.retryOrError(outcome)
}

// skipUpstream ends the assignment without sending the request to the upstream. This host is not assigned the
// upstream again for backOff.
func (x *exchange) skipUpstream(reason string, backOff time.Duration) (bool, *apierr.Error) {
	x.recordFailure("not sent: "+reason, nil)
	x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{Outcome: assign.NotSent, Feedback: assign.UpstreamFeedback{BackOff: backOff}})
	return x.retryOrError(assign.NotSent)
}

// recheckKey checks the key of a request that has waited against the current configuration.
func (x *exchange) recheckKey(config *catalog.Config) *apierr.Error {
	if x.organisation == nil || x.route.Open || config == x.view.Config {
		return nil
	}
	if owner := config.KeyOwner(x.requestInfo.Key); owner != nil && owner.Name == x.organisation.Name {
		return nil
	}
	err := apierr.New(apierr.InvalidKey, "it was withdrawn while the request waited")
	if x.ranCount > 0 {
		return x.upstreamFailedError(err.Message())
	}
	return err
}

// sendTo sends the request to an upstream and relays the response.
func (x *exchange) sendTo(u *catalog.Upstream, timeLeft time.Duration) (assign.Outcome, assign.UpstreamFeedback) {
	maxIdle := maxIdleTime
	switch {
	case x.requestInfo.AttemptID == "":
		maxIdle = 0 // a repeated response could not be told from the response to this request
	case !x.route.Repeatable():
		maxIdle = maxIdleTimeUnsafe
	}
	dispatch := DispatchInfo{
		Upstream: u.ID, Organisation: x.request.Organisation, TimeLeft: timeLeft, AdapterVersion: x.grant.Version,
		Priority: x.request.Priority, HasPriority: x.request.Adapter.Model != "", LastEventID: x.lastEventID,
	}
	upstreamRequest := &forward.Request{
		Method: x.r.Method, URI: x.uri(), Host: x.r.Host, Header: x.server.Codec.UpstreamHeader(x.r.Header, dispatch), Body: x.body,
	}
	sentAt := time.Now()
	resp, err := x.server.Pool.Do(x.ctx, u.ID, u.Address, upstreamRequest, maxIdle)
	if err != nil {
		return x.sendOutcome(err), assign.UpstreamFeedback{}
	}
	defer resp.Close()
	info := x.server.Codec.ParseResponse(resp.Status, resp.Header, u.ID)
	if info.Leaving {
		x.server.Broker.UpstreamLeaving(u)
	}
	x.server.Broker.RateLimitStated(u, sentAt, info.RateLimit)
	x.server.Broker.LoadStated(x.ticket, info.Feedback.Load)
	if info.Outcome.NotRun() {
		x.recordFailure("rejected: "+info.Outcome.String(), nil)
		resp.Discard(maxDiscardedBytes, discardTimeout)
		return info.Outcome, info.Feedback
	}
	x.ranCount++
	x.unframed = resp.Unframed()
	outcome := x.relay(resp, info)
	if outcome == assign.Completed {
		info.Feedback.OutputTokens = x.outputTokens()
	}
	return outcome, info.Feedback
}

// Limits of what is read of a body that is not relayed, so that the connection can be reused. What follows the attempt
// waits for it.
const (
	maxDiscardedBytes = 4 << 10
	discardTimeout    = 50 * time.Millisecond
)

// sendOutcome returns the outcome of an attempt that got no response header.
func (x *exchange) sendOutcome(err error) assign.Outcome {
	x.recordFailure("no response", err)
	x.noListener = errors.Is(err, syscall.ECONNREFUSED)
	if errors.Is(err, forward.ErrNotSent) {
		if x.ctx.Err() != nil {
			return assign.CallerLeft
		}
		return assign.Unreachable
	}
	x.ranCount++
	if x.ctx.Err() != nil {
		return x.cancelledOutcome()
	}
	return assign.Lost
}

// retryOrError reports whether to try another upstream after an outcome, or returns the error for the caller.
func (x *exchange) retryOrError(outcome assign.Outcome) (bool, *apierr.Error) {
	switch {
	case x.ctx.Err() != nil:
		return false, x.cancelledError()
	case x.headerWritten && !x.resumable():
		return false, x.upstreamFailedError("")
	case outcome.NotRun():
		if x.sentCount-x.ranCount <= maxRejections {
			return true, nil
		}
		return false, x.notRunError(rejectedRetryAfter)
	case x.route.Repeatable() && x.ranCount < x.route.MaxAttempts:
		return true, nil
	}
	return false, x.upstreamFailedError(outcome.String())
}

// notRunError returns the error for a request that was rejected or may not be sent.
func (x *exchange) notRunError(retryAfter time.Duration) *apierr.Error {
	if x.ranCount > 0 {
		return x.upstreamFailedError("")
	}
	return apierr.New(apierr.NoUpstream, "").WithRetryAfter(retryAfter)
}

// rejectedRetryAfter is the Retry-After of a request that was rejected by every upstream that was tried.
const rejectedRetryAfter = 300 * time.Millisecond

func (x *exchange) resumable() bool {
	return x.route.Kind == catalog.Streaming && x.route.Resumable
}
