package entry

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/intake/callers"
)

// admit resolves the route and the organisation, reads the body and builds the assignment request.
func (x *exchange) admit() *apierr.Error {
	x.view = x.server.View()
	config := x.view.Config
	switch {
	case config == nil:
		return apierr.New(apierr.NotReady, "it has no configuration").WithRetryAfter(notReadyRetryAfter)
	case !x.view.UpstreamsRead:
		return apierr.New(apierr.NotReady, "it has not read the list of upstreams").WithRetryAfter(notReadyRetryAfter)
	}
	requestInfo, err := x.server.Codec.ParseRequest(x.r.Header)
	x.requestInfo = requestInfo
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
	if !x.held.SetKey(x.requestInfo.Key) {
		return x.noMemoryError()
	}
	x.deadline = x.arrived.Add(x.maxDuration())
	if !x.server.Shutdown.Accepts(x.deadline) {
		return x.shutdownError()
	}
	if err := x.readBody(config); err != nil {
		return err
	}
	x.buildRequest()
	return nil
}

// drainingRetryAfter is the Retry-After of a draining host, short since the caller can retry on another host.
const drainingRetryAfter = 10 * time.Millisecond

// notReadyRetryAfter is the Retry-After of a host without a configuration or the list of
// upstreams.
const notReadyRetryAfter = 500 * time.Millisecond

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
	x.organisation = config.KeyOwner(x.requestInfo.Key)
	switch {
	case x.organisation != nil || x.route.Open:
		return nil
	case x.requestInfo.Key == "":
		return apierr.New(apierr.MissingKey, "")
	}
	return apierr.New(apierr.InvalidKey, "")
}

// maxDuration returns the least of maxRequestDuration, the route's timeout and the caller's.
func (x *exchange) maxDuration() time.Duration {
	limit := maxRequestDuration
	if x.route.Timeout > 0 {
		limit = min(limit, x.route.Timeout)
	}
	if x.requestInfo.Timeout > 0 {
		limit = min(limit, x.requestInfo.Timeout)
	}
	return limit
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
	if !x.setReadingBody(true) {
		return x.shutdownError()
	}
	body, err := x.held.ReadBody(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, limit)
	goesOn := x.setReadingBody(false)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, callers.ErrRefused):
		return x.noMemoryError()
	case !goesOn:
		return x.shutdownError()
	case errors.As(err, &tooLarge):
		return apierr.New(apierr.BodyTooLarge, "at most %d bytes", limit)
	case err != nil:
		return apierr.New(apierr.RequestTimeout, "")
	}
	x.body = body
	return nil
}

// noMemoryRetryAfter is the Retry-After of a request for which there is no memory. A body that has stopped gives way within
// half a second.
const noMemoryRetryAfter = 500 * time.Millisecond

// noMemoryRule is the rule by which a request is refused for which there is no memory.
const noMemoryRule = "caller_memory"

// noMemoryError returns the error for a request for which there is no memory. Its body was not read to its end, so that it
// was sent to no upstream.
func (x *exchange) noMemoryError() *apierr.Error {
	x.rule = noMemoryRule
	x.w.Header().Set("Connection", "close")
	return apierr.New(apierr.HostOverloaded, "").WithRetryAfter(noMemoryRetryAfter)
}

// buildRequest sets x.request, from which the broker assigns an upstream.
func (x *exchange) buildRequest() {
	request := assign.Request{
		Service: x.route.PickService(x.server.Random()), Route: x.route.Name, Adapter: x.requestInfo.Adapter,
		PromptTokens: x.requestInfo.PromptTokens, OutputTokens: x.requestInfo.OutputTokens,
		ExpectedOutput: x.requestInfo.LengthHint, PrefixBlocks: x.requestInfo.PrefixBlocks, Priority: x.route.Priority, RoutePriority: x.route.Priority,
		Arrived: x.arrived, Target: x.arrived.Add(x.route.TargetLatency), Deadline: x.deadline,
	}
	if x.route.FirstEventTimeout > 0 {
		request.FirstEventDeadline = x.arrived.Add(x.route.FirstEventTimeout)
	}
	if organisation := x.organisation; organisation != nil {
		request.Organisation = organisation.Name
		request.Cost = organisation.DefaultCostTokens
		if organisation.HasPriority {
			request.Priority = organisation.Priority
		}
	}
	if x.requestInfo.HasUsage {
		request.Cost = int64(x.requestInfo.PromptTokens + x.requestInfo.OutputTokens)
	}
	callerID := request.Organisation
	if x.organisation == nil {
		callerID = x.requestInfo.Key
	}
	// An organisation may repeat a request under another key, so its name identifies the caller.
	request.Fingerprint = x.fingerprint(x.r.Method, x.uri(), callerID)
	if path, _, hasQuery := strings.Cut(x.uri(), "?"); hasQuery {
		request.Resource = x.fingerprint("", path, callerID)
	}
	x.request = request
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
