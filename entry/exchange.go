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

// exchange is one caller's request and the state of its response.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	out     *http.ResponseController
	arrived time.Time
	ctx     context.Context

	view         *watch.View
	call         Call
	route        *catalog.Route
	organisation *catalog.Organisation
	body         []byte
	deadline     time.Time
	request      assign.Request
	ticket       *lead.Ticket

	// sent counts the attempts sent to an upstream, ran those that may have run.
	sent int
	ran  int
	// grant is the current assignment, or the last one.
	grant assign.Grant
	// wrote reports whether the response header has been written.
	wrote       bool
	lastEventID string
	// pauses classifies the gaps between the events of the last attempt.
	pauses assign.Pauses
	// noListener reports whether the last upstream refused the connection.
	noListener bool
	// firstToken is the time from the arrival to the start of the response body.
	firstToken time.Duration
	// longestPause is the longest gap between two consecutive events.
	longestPause time.Duration
	// grantedAfter is the time from the arrival to the last assignment.
	grantedAfter time.Duration
	status       int
	reason       string
	// why names the rule that refused the request, "" for none.
	why string
	// failure is why the last failed attempt failed, "" for none.
	failure string
}

// errDeadline is the context cause of a request whose deadline has passed.
var errDeadline = errors.New("entry: request deadline exceeded")

// serve handles the request from its admission to its log line.
func (x *exchange) serve() {
	defer x.report()
	if _, leaving := x.server.Leaving(); leaving {
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
		x.server.Log.Debug("write deadline of the connection not set", "error", err)
	}
	defer func() { _ = x.out.SetWriteDeadline(time.Time{}) }() // for the connection's next request
	x.ticket = x.server.Broker.NewTicket()
	defer x.server.Broker.Withdraw(x.ticket)
	x.fail(x.run())
}

// admit resolves the route and the organisation, reads the body and builds the assignment request.
func (x *exchange) admit() *apierr.Error {
	x.view = x.server.View()
	config := x.view.Config
	if config == nil {
		return apierr.New(apierr.NotReady, "").WithRetryAfter(notReadyReturn)
	}
	call, err := x.server.Codec.Call(x.r.Header)
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

// tooLate reports whether the host has been draining for so long that it may stop before the request ends.
func (x *exchange) tooLate() bool {
	since, leaving := x.server.Leaving()
	if !leaving {
		return false
	}
	if x.route.Kind == catalog.Streaming {
		return since > streamsTakenFor
	}
	return since > requestsTakenFor
}

// leavingReturn is the Retry-After of a draining host, short since the caller can retry on another host.
const leavingReturn = 10 * time.Millisecond

// notReadyReturn is the Retry-After of a host without a configuration.
const notReadyReturn = 500 * time.Millisecond

// uri returns the path and the query exactly as the caller sent them.
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

// bound returns the least of longestRequest, the route's timeout and the caller's.
func (x *exchange) bound() time.Duration {
	bound := longestRequest
	if x.route.Timeout > 0 {
		bound = min(bound, x.route.Timeout)
	}
	if x.call.Patience > 0 {
		bound = min(bound, x.call.Patience)
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
		x.server.Log.Debug("read deadline of the connection not set", "error", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	_ = x.out.SetReadDeadline(time.Time{}) // fails only where deadlines are unsupported
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

// buildRequest sets x.request, from which the broker assigns an upstream.
func (x *exchange) buildRequest() {
	r := assign.Request{
		Service: x.route.Pick(x.server.Draw()), Adapter: x.call.Adapter,
		PromptTokens: x.call.PromptTokens, OutputTokens: x.call.OutputTokens, ExpectedOutput: x.call.LengthHint, Parts: x.call.Parts,
		Priority: x.route.Priority,
		Arrived:  x.arrived, Target: x.arrived.Add(x.route.Target), Deadline: x.deadline,
	}
	if o := x.organisation; o != nil {
		r.Organisation = o.Name
		r.Cost = o.PlainTokens
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
	// An organisation may repeat a request under another key, so its name identifies the caller.
	r.Fingerprint = x.fingerprint(x.r.Method, x.uri(), caller)
	if path, _, hasQuery := strings.Cut(x.uri(), "?"); hasQuery {
		r.Resource = x.fingerprint("", path, caller)
	}
	x.request = r
}

// fingerprint returns the SHA-256 hash of the texts and the body.
func (x *exchange) fingerprint(texts ...string) assign.Fingerprint {
	h := sha256.New()
	for _, text := range texts {
		_, _ = io.WriteString(h, text+"\n") // writing to a hash never fails
	}
	_, _ = h.Write(x.body)
	return assign.Fingerprint(h.Sum(nil))
}

// run has the request assigned and sent until it ends. It returns nil if a complete response was written.
func (x *exchange) run() *apierr.Error {
	for {
		x.server.Broker.Ask(x.ticket, x.request)
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

// await waits for the broker's decision, the deadline or the caller's disconnection.
func (x *exchange) await() (assign.Grant, *apierr.Error) {
	select {
	case d := <-x.ticket.Decisions():
		switch d := d.(type) {
		case assign.Grant:
			return d, nil
		case assign.Refuse:
			x.why = d.Why
			return assign.Grant{}, x.refusal(d)
		}
	case <-x.ctx.Done():
		if x.r.Context().Err() != nil {
			return assign.Grant{}, apierr.New(apierr.CallerGone, "")
		}
	}
	return assign.Grant{}, x.timedOut()
}

// refusal returns the error for a request that was refused an upstream, at its first attempt or a later one.
func (x *exchange) refusal(d assign.Refuse) *apierr.Error {
	if x.ran > 0 || x.wrote {
		return x.failed("")
	}
	return apierr.New(d.Kind, "%s", d.Why).WithRetryAfter(d.RetryAfter)
}

// timedOut returns the error for a request whose deadline has passed.
func (x *exchange) timedOut() *apierr.Error {
	err := apierr.New(apierr.DeadlineExceeded, "")
	if x.ran > 0 {
		return err.WithRan(apierr.MayHaveRun)
	}
	return err
}

// failed returns the error for a request that may have run.
func (x *exchange) failed(detail string) *apierr.Error {
	return apierr.New(apierr.UpstreamFailed, "%s", detail).WithRan(apierr.MayHaveRun)
}

// attempt sends the request to the assigned upstream if that is still allowed. It reports whether to try
// another upstream; if not, it returns the error for the caller, nil after a complete response.
func (x *exchange) attempt(g assign.Grant) (bool, *apierr.Error) {
	x.grant, x.grantedAfter = g, time.Since(x.arrived)
	view := x.server.View()
	if err := x.stillAllowed(view.Config); err != nil {
		x.server.Broker.Ended(x.ticket, assign.Ended{Outcome: assign.Withheld})
		return false, err
	}
	if left, refused := x.server.Broker.Refused(&x.request); refused {
		x.server.Broker.Ended(x.ticket, assign.Ended{Outcome: assign.Withheld})
		x.why = lead.CrashesUpstreams
		return false, x.notRun(left)
	}
	u := view.Upstreams[g.Upstream]
	left := time.Until(x.deadline)
	switch {
	case u == nil || u.Born != g.Born:
		x.server.Broker.Ended(x.ticket, assign.Ended{Outcome: assign.Replaced})
		return x.again(assign.Replaced)
	case u.Draining || view.Evacuated.Zones[u.Zone]:
		return x.withhold("the upstream is draining, or its availability zone is evacuated")
	case left < leastLeft:
		x.server.Broker.Ended(x.ticket, assign.Ended{Outcome: assign.Withheld})
		return false, x.timedOut()
	}
	if reason, withheld := x.server.Broker.Withheld(u); withheld {
		return x.withhold(reason)
	}
	x.sent++
	x.pauses = assign.PausesUnknown
	x.noListener = false
	outcome, said := x.exchangeWith(u, left)
	x.server.Broker.Ended(x.ticket, assign.Ended{
		Outcome: outcome, Said: said, Pauses: x.pauses, NoListener: x.noListener,
		Succeeded: outcome == assign.Completed && x.status < http.StatusMultipleChoices,
	})
	if outcome == assign.Completed {
		return false, nil
	}
	return x.again(outcome)
}

// withhold ends the assignment without sending the request to the upstream.
func (x *exchange) withhold(reason string) (bool, *apierr.Error) {
	x.noteFailure("not sent: "+reason, nil)
	x.server.Broker.Ended(x.ticket, assign.Ended{Outcome: assign.Withheld})
	return x.again(assign.Withheld)
}

// stillAllowed checks the key of a request that has waited against the current configuration.
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

// exchangeWith sends the request to an upstream and relays the response.
func (x *exchange) exchangeWith(u *catalog.Upstream, left time.Duration) (assign.Outcome, assign.Said) {
	fresh := keptFor
	if !x.route.Repeatable() {
		fresh = keptForUnsafe
	}
	send := Send{
		Upstream: u.ID, Organisation: x.request.Organisation, Left: left, Version: x.grant.Version,
		Priority: x.request.Priority, Ranked: x.request.Adapter.Model != "", LastEventID: x.lastEventID,
	}
	request := &forward.Request{
		Method: x.r.Method, URI: x.uri(), Host: x.r.Host, Header: x.server.Codec.Outgoing(x.r.Header, send), Body: x.body,
	}
	answer, err := x.server.Pool.Do(x.ctx, u.ID, u.Address, request, fresh)
	if err != nil {
		return x.sendFailed(err), assign.Said{}
	}
	defer answer.Close()
	info := x.server.Codec.Answer(answer.Status, answer.Header, u.ID)
	if info.Leaving {
		x.server.Broker.Leaving(u)
	}
	if info.Outcome.NotRun() {
		x.noteFailure("rejected: "+info.Outcome.String(), nil)
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxRejectionBytes)) // lets the connection be reused
		return info.Outcome, info.Said
	}
	x.ran++
	return x.pass(answer, info), info.Said
}

// maxRejectionBytes limits how much of a rejection's body is read.
const maxRejectionBytes = 4 << 10

// sendFailed returns the outcome of an attempt that got no response header.
func (x *exchange) sendFailed(err error) assign.Outcome {
	x.noteFailure("no response", err)
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

// again reports whether to try another upstream after outcome o, or returns the error for the caller.
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

// notRun returns the error for a request that was rejected or may not be sent; it can be retried after back.
func (x *exchange) notRun(back time.Duration) *apierr.Error {
	if x.ran > 0 {
		return x.failed("")
	}
	return apierr.New(apierr.NoUpstream, "").WithRetryAfter(back)
}

// turnedAwayReturn is the Retry-After of a request that was rejected by every upstream that was tried.
const turnedAwayReturn = 300 * time.Millisecond

func (x *exchange) resumable() bool {
	return x.route.Kind == catalog.Streaming && x.route.Resumable
}
