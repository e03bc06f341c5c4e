package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/forward"
	"github.com/jasminelock/jasminelock/lead"
	"github.com/jasminelock/jasminelock/watch"
)

// exchange is one caller's request and what has been written of its answer.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	out     *http.ResponseController
	arrived time.Time
	ctx     context.Context

	view         *watch.View
	call         RequestInfo
	route        *catalog.Route
	organisation *catalog.Organisation
	body         []byte
	deadline     time.Time
	request      assign.Request
	ticket       *lead.Ticket

	// sent counts the upstreams that were given the request, ran those that may
	// have run it.
	sent int
	ran  int
	// grant is the current or last assignment.
	grant assign.Grant
	// wrote says that a part of the answer has been written.
	wrote       bool
	lastEventID string
	// pauses is how the events of the last attempt came.
	pauses assign.EventGaps
	// noListener says that nothing listened at the last upstream's address.
	noListener bool
	firstToken time.Duration
	// longestPause is the longest time between two events.
	longestPause time.Duration
	// grantedAfter is when the last upstream was assigned, since the arrival.
	grantedAfter time.Duration
	status       int
	reason       string
	why          string
	// failure says why the last attempt that failed did, "" for none.
	failure string
}

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("entry: the request's deadline has passed")

// serve answers the request.
func (x *exchange) serve() {
	defer x.report()
	if _, leaving := x.server.Draining(); leaving {
		x.w.Header().Set("Connection", "close")
	}
	if err := x.admit(); err != nil {
		x.fail(err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, errDeadline)
	defer cancel()
	x.ctx = ctx
	if err := x.out.SetWriteDeadline(x.deadline.Add(writeGrace)); err != nil {
		x.server.Log.Debug("no write deadline", "error", err)
	}
	defer func() { _ = x.out.SetWriteDeadline(time.Time{}) }() // the connection goes on without one
	x.ticket = x.server.Broker.NewTicket()
	defer x.server.Broker.Withdraw(x.ticket)
	x.fail(x.run())
}

// admit finds the route and the organisation, and reads the body.
func (x *exchange) admit() *apierr.Error {
	x.view = x.server.View()
	config := x.view.Config
	if config == nil {
		return apierr.New(apierr.NotReady, "").WithRetryAfter(notReadyReturn)
	}
	call, err := x.server.Codec.ParseRequest(x.r.Header)
	x.call = call
	if err != nil {
		return apierr.New(apierr.InvalidRequest, "%s", err)
	}
	path, _, _ := strings.Cut(x.uri(), "?")
	if x.route = config.Route(x.r.Host, path); x.route == nil {
		return apierr.New(apierr.UnknownRoute, "")
	}
	if err := x.authorise(config); err != nil {
		return err
	}
	if x.tooLate() {
		return apierr.New(apierr.Draining, "").WithRetryAfter(leavingReturn)
	}
	x.deadline = x.arrived.Add(x.bound())
	if err := x.readBody(config); err != nil {
		return err
	}
	x.buildRequest()
	return nil
}

// tooLate reports whether the host is leaving and may end before the request.
func (x *exchange) tooLate() bool {
	since, leaving := x.server.Draining()
	if !leaving {
		return false
	}
	if x.route.Kind == catalog.Streaming {
		return since > streamsTakenFor
	}
	return since > requestsTakenFor
}

// leavingReturn is when a caller may ask another host than the one that leaves.
const leavingReturn = 10 * time.Millisecond

// notReadyReturn is when a caller may come back to a host without a
// configuration.
const notReadyReturn = 500 * time.Millisecond

// uri returns the path and the query as the caller sent them.
func (x *exchange) uri() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

func (x *exchange) authorise(config *catalog.Config) *apierr.Error {
	if !config.NeedsKeys() {
		return nil
	}
	x.organisation = config.KeyOwner(x.call.Key)
	switch {
	case x.organisation != nil || x.route.Open:
		return nil
	case x.call.Key == "":
		return apierr.New(apierr.MissingKey, "")
	}
	return apierr.New(apierr.InvalidKey, "")
}

// bound is the longest time that the request may take.
func (x *exchange) bound() time.Duration {
	bound := longestRequest
	if x.route.Timeout > 0 {
		bound = min(bound, x.route.Timeout)
	}
	if x.call.Timeout > 0 {
		bound = min(bound, x.call.Timeout)
	}
	return bound
}

func (x *exchange) readBody(config *catalog.Config) *apierr.Error {
	limit := config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		return apierr.New(apierr.BodyTooLarge, "at most %d bytes", limit)
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	if err := x.out.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		x.server.Log.Debug("no read deadline", "error", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	_ = x.out.SetReadDeadline(time.Time{}) // set above or not supported at all
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return apierr.New(apierr.BodyTooLarge, "at most %d bytes", limit)
	case err != nil:
		return apierr.New(apierr.RequestTimeout, "")
	}
	x.body = body
	return nil
}

// buildRequest returns what decides on the request.
func (x *exchange) buildRequest() {
	r := assign.Request{
		Service: x.route.PickService(x.server.Random()), Adapter: x.call.Adapter,
		PromptTokens: x.call.PromptTokens, OutputTokens: x.call.OutputTokens, ExpectedOutput: x.call.LengthHint, PrefixBlocks: x.call.PrefixBlocks,
		Priority: x.route.Priority,
		Arrived:  x.arrived, Target: x.arrived.Add(x.route.TargetLatency), Deadline: x.deadline,
	}
	if o := x.organisation; o != nil {
		r.Organisation = o.Name
		r.Cost = o.DefaultCostTokens
		if o.HasPriority {
			r.Priority = o.Priority
		}
	}
	if x.call.HasUsage {
		r.Cost = int64(x.call.PromptTokens + x.call.OutputTokens)
	}
	caller := r.Organisation
	if x.organisation == nil {
		caller = x.call.Key
	}
	// Keys change while an organisation's requests come again.
	r.Fingerprint = x.fingerprint(x.r.Method, x.uri(), caller)
	if path, _, hasQuery := strings.Cut(x.uri(), "?"); hasQuery {
		r.Resource = x.fingerprint("", path, caller)
	}
	x.request = r
}

// fingerprint returns a hash of some texts and the body.
func (x *exchange) fingerprint(texts ...string) assign.Fingerprint {
	h := sha256.New()
	for _, text := range texts {
		_, _ = io.WriteString(h, text+"\n") // writing to a hash never fails
	}
	_, _ = h.Write(x.body)
	return assign.Fingerprint(h.Sum(nil))
}

// run has the request assigned and sent until it is answered. A nil error says
// that the answer was written whole.
func (x *exchange) run() *apierr.Error {
	for {
		x.server.Broker.RequestAssignment(x.ticket, x.request)
		grant, err := x.await()
		if err != nil {
			return err
		}
		again, err := x.attempt(grant)
		if !again {
			return err
		}
		x.request.Avoid = append(x.request.Avoid, grant.Upstream)
		x.request.Charged = x.ran > 0
	}
}

// await waits for an upstream.
func (x *exchange) await() (assign.Grant, *apierr.Error) {
	select {
	case d := <-x.ticket.Decisions():
		switch d := d.(type) {
		case assign.Grant:
			return d, nil
		case assign.Refuse:
			x.why = d.Rule
			return assign.Grant{}, x.refusal(d)
		}
	case <-x.ctx.Done():
		if x.r.Context().Err() != nil {
			return assign.Grant{}, apierr.New(apierr.CallerGone, "")
		}
	}
	return assign.Grant{}, x.timedOut()
}

// refusal is the error of a request that gets no upstream, or no other one.
func (x *exchange) refusal(d assign.Refuse) *apierr.Error {
	if x.ran > 0 || x.wrote {
		return x.failed("")
	}
	return apierr.New(d.Kind, "%s", d.Rule).WithRetryAfter(d.RetryAfter)
}

// timedOut is the error of a request whose deadline has passed.
func (x *exchange) timedOut() *apierr.Error {
	err := apierr.New(apierr.DeadlineExceeded, "")
	if x.ran > 0 {
		return err.WithRan(apierr.MayHaveRun)
	}
	return err
}

// failed is the error of a request that may have run.
func (x *exchange) failed(detail string) *apierr.Error {
	return apierr.New(apierr.UpstreamFailed, "%s", detail).WithRan(apierr.MayHaveRun)
}

// attempt sends the request to an upstream. It reports whether another one may
// be tried.
func (x *exchange) attempt(g assign.Grant) (bool, *apierr.Error) {
	x.grant, x.grantedAfter = g, time.Since(x.arrived)
	view := x.server.View()
	if err := x.stillAllowed(view.Config); err != nil {
		x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{Outcome: assign.NotSent})
		return false, err
	}
	if left, refused := x.server.Broker.Refused(&x.request); refused {
		x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{Outcome: assign.NotSent})
		x.why = lead.CrashesUpstreams
		return false, x.notRun(left)
	}
	u := view.Upstreams[g.Upstream]
	left := time.Until(x.deadline)
	switch {
	case u == nil || u.StartedAt != g.StartedAt:
		x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{Outcome: assign.Replaced})
		return x.again(assign.Replaced)
	case u.Draining || view.Evacuated.Zones[u.Zone]:
		return x.withhold("it leaves, or its availability zone is evacuated")
	case left < leastLeft:
		x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{Outcome: assign.NotSent})
		return false, x.timedOut()
	}
	if reason, withheld := x.server.Broker.DeclinesRequests(u); withheld {
		return x.withhold(reason)
	}
	x.sent++
	x.pauses = assign.EventGapsUnknown
	x.noListener = false
	outcome, said := x.exchangeWith(u, left)
	x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{
		Outcome: outcome, Feedback: said, EventGaps: x.pauses, NoListener: x.noListener,
		Succeeded: outcome == assign.Completed && x.status < http.StatusMultipleChoices,
	})
	if outcome == assign.Completed {
		return false, nil
	}
	return x.again(outcome)
}

// withhold does not send the request to the upstream that it was given to.
func (x *exchange) withhold(reason string) (bool, *apierr.Error) {
	x.noteFailure("not sent: "+reason, nil)
	x.server.Broker.AttemptEnded(x.ticket, assign.AttemptEnded{Outcome: assign.NotSent})
	return x.again(assign.NotSent)
}

// stillAllowed checks the key of a request that has waited, against the
// configuration that is in force now.
func (x *exchange) stillAllowed(config *catalog.Config) *apierr.Error {
	if x.organisation == nil || x.route.Open || config == x.view.Config {
		return nil
	}
	if o := config.KeyOwner(x.call.Key); o != nil && o.Name == x.organisation.Name {
		return nil
	}
	err := apierr.New(apierr.InvalidKey, "it was withdrawn while the request waited")
	if x.ran > 0 {
		return x.failed(err.Message())
	}
	return err
}

// exchangeWith sends the request to an upstream and passes its answer on.
func (x *exchange) exchangeWith(u *catalog.Upstream, left time.Duration) (assign.Outcome, assign.UpstreamFeedback) {
	fresh := keptFor
	if !x.route.Repeatable() {
		fresh = keptForUnsafe
	}
	send := DispatchInfo{
		Upstream: u.ID, Organisation: x.request.Organisation, TimeLeft: left, AdapterVersion: x.grant.Version,
		Priority: x.request.Priority, HasPriority: x.request.Adapter.Model != "", LastEventID: x.lastEventID,
	}
	request := &forward.Request{
		Method: x.r.Method, URI: x.uri(), Host: x.r.Host, Header: x.server.Codec.UpstreamHeader(x.r.Header, send), Body: x.body,
	}
	answer, err := x.server.Pool.Do(x.ctx, u.ID, u.Address, request, fresh)
	if err != nil {
		return x.sendFailed(err), assign.UpstreamFeedback{}
	}
	defer answer.Close()
	info := x.server.Codec.ParseResponse(answer.Status, answer.Header, u.ID)
	if info.Leaving {
		x.server.Broker.UpstreamLeaving(u)
	}
	if info.Outcome.NotRun() {
		x.noteFailure("turned away: "+info.Outcome.String(), nil)
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxRejectionBytes)) // only to keep the connection
		return info.Outcome, info.Feedback
	}
	x.ran++
	return x.pass(answer, info), info.Feedback
}

// maxRejectionBytes bounds the body of a rejection that is read.
const maxRejectionBytes = 4 << 10

// sendFailed returns the outcome of a request that got no answer.
func (x *exchange) sendFailed(err error) assign.Outcome {
	x.noteFailure("no answer", err)
	x.noListener = errors.Is(err, syscall.ECONNREFUSED)
	if errors.Is(err, forward.ErrNotSent) {
		if x.ctx.Err() != nil {
			return assign.CallerLeft
		}
		return assign.Unreachable
	}
	x.ran++
	switch {
	case x.r.Context().Err() != nil:
		return assign.CallerLeft
	case x.ctx.Err() != nil:
		return assign.TimedOut
	}
	return assign.Lost
}

// again decides whether another upstream is tried after an attempt, and returns
// the request's error where none is.
func (x *exchange) again(o assign.Outcome) (bool, *apierr.Error) {
	switch {
	case x.r.Context().Err() != nil:
		return false, apierr.New(apierr.CallerGone, "")
	case x.ctx.Err() != nil:
		return false, x.timedOut()
	case x.wrote && !x.resumable():
		return false, x.failed("")
	case o.NotRun():
		if x.sent-x.ran <= maxRejections {
			return true, nil
		}
		return false, x.notRun(turnedAwayReturn)
	case x.route.Repeatable() && x.ran < x.route.MaxAttempts:
		return true, nil
	}
	return false, x.failed(o.String())
}

// notRun is the error of a request that upstreams have turned away, or that is sent to
// none any more. Its caller may come back after the time given.
func (x *exchange) notRun(back time.Duration) *apierr.Error {
	if x.ran > 0 {
		return x.failed("")
	}
	return apierr.New(apierr.NoUpstream, "").WithRetryAfter(back)
}

// turnedAwayReturn is when a caller may come back whose request was turned away
// by every upstream that was tried.
const turnedAwayReturn = 300 * time.Millisecond

func (x *exchange) resumable() bool {
	return x.route.Kind == catalog.Streaming && x.route.Resumable
}
