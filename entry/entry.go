// Package entry is the HTTP front end for callers on the users' platform. It
// resolves the route and the organisation of a request, obtains an upstream from
// the broker, forwards the request to that upstream and relays the response.
package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/drain"
	"github.com/jasminelock/jasminelock/forward"
	"github.com/jasminelock/jasminelock/intake/callers"
	"github.com/jasminelock/jasminelock/leader"
	"github.com/jasminelock/jasminelock/throttle"
	"github.com/jasminelock/jasminelock/watch"
)

// RequestInfo holds what the headers of a caller's request state.
type RequestInfo struct {
	// AttemptID is the id that the caller gave this request. Upstreams echo it in
	// their responses.
	AttemptID string
	// Key is the caller's API key, "" if the request carries none.
	Key     string
	Adapter catalog.AdapterRef
	// PromptTokens and OutputTokens are upper bounds of the tokens in the prompt
	// and in the output. They are valid only if HasUsage is set.
	PromptTokens int
	OutputTokens int
	HasUsage     bool
	// LengthHint is the caller's estimate of the output tokens, 0 if not stated.
	LengthHint int
	// PrefixBlocks are the blocks of the prompt that other requests may share, in order.
	PrefixBlocks []assign.PrefixBlock
	// Timeout is the caller's timeout for the request, 0 if not stated.
	Timeout time.Duration
	// LastEventID is the id of the last stream event that the caller received.
	LastEventID string
}

// DispatchInfo holds the values that are sent to an upstream in addition to the
// caller's headers.
type DispatchInfo struct {
	// Upstream is the ID of the upstream that is expected to serve the request.
	Upstream     string
	Organisation string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// AdapterVersion is the adapter version that is required, 0 for any.
	AdapterVersion int64
	// Priority is the rank of the request, 0 being the highest. It is sent only if
	// HasPriority is set.
	Priority    int
	HasPriority bool
	// LastEventID is the id of the last event relayed to the caller. The upstream
	// resumes the stream after it.
	LastEventID string
}

// ResponseInfo is what the status and header of a response state of the attempt.
type ResponseInfo struct {
	// Signed reports whether the response carries the upstream's signature.
	Signed  bool
	Outcome assign.Outcome
	// UnprovenRefusal reports whether callers would take the status as a promise that the request has not run,
	// although the upstream does not state that. Such a response must not be relayed.
	UnprovenRefusal bool
	// Feedback is the feedback of the upstream on its own load.
	Feedback assign.UpstreamFeedback
	// Leaving reports whether the upstream is leaving and takes no new requests.
	Leaving bool
	// RateLimit is what the response states about the request rate that the upstream accepts.
	RateLimit throttle.Statement
}

// Codec translates the headers of requests and responses.
type Codec interface {
	// ParseRequest parses the header of a caller's request. It returns an error if a
	// value is malformed.
	ParseRequest(h http.Header) (RequestInfo, error)
	// UpstreamHeader returns the request header for an upstream, given the caller's.
	UpstreamHeader(in http.Header, s DispatchInfo) http.Header
	// ParseResponse interprets the status and header of a response of an upstream.
	ParseResponse(status int, h http.Header, upstream string) ResponseInfo
	// CallerHeader returns the response header for the caller, given the upstream's.
	CallerHeader(h http.Header) http.Header
	// FormatRetryAfter formats d as the value of a Retry-After header.
	FormatRetryAfter(d time.Duration) string
	// AttemptIDHeader returns the name of the header with the attempt id, which responses
	// echo.
	AttemptIDHeader() string
}

// Options configure a Server.
type Options struct {
	Log    hclog.Logger
	Codec  Codec
	Broker *leader.Broker
	Pool   *forward.Pool
	// View returns the current view of the platform's tables.
	View func() *watch.View
	// Shutdown is the graceful shutdown of the host.
	Shutdown *drain.Shutdown
	// Random returns a random number in [0, 1).
	Random func() float64
	// Observe is called with the result of each request.
	Observe func(Result)
}

// Result describes a request that has ended.
type Result struct {
	Route string
	// Status is the HTTP status sent, 499 if the caller disconnected.
	Status int
	// Reason is the kind of the error sent by this host, one of a closed list. It
	// is "" if the upstream's response was relayed.
	Reason string
	// Rule names the rule by which the request was refused instead of being sent to
	// an upstream, "" if it was not refused.
	Rule string
	// Rank is the priority of the request, 0 being the highest. Queued is set if the last assignment was made from the
	// queue of a ranked service, Held after the time for which the request had waited there, and Turn the time that was
	// expected at its admission.
	Rank   int
	Queued bool
	Held   time.Duration
	Turn   time.Duration
	// Failure is the reason of the last failed attempt, "" if none failed.
	Failure string
	// Duration is the time from the arrival to the end of the request.
	Duration time.Duration
	// TimeToFirstToken is the time from the arrival to the start of the response body, 0
	// if no body was relayed.
	TimeToFirstToken time.Duration
	// Attempts is how many times the request was sent to an upstream.
	Attempts int
	// Tokens is the cost charged to the organisation's rate, 0 for a request that
	// was sent to no upstream.
	Tokens int64
}

// Server is the HTTP handler for callers.
type Server struct {
	Options
	listeners listenerChecks
	running   atomic.Int64
}

// New returns a server with the given options.
func New(o Options) *Server {
	return &Server{Options: o, listeners: listenerChecks{checkedAt: map[string]time.Time{}}}
}

// Limits of a request.
const (
	// maxRequestDuration is the maximum duration of a request. The route and the
	// caller can only lower it.
	maxRequestDuration = 60 * time.Second
	// bodyReadTimeout is the time allowed for reading a request's body.
	bodyReadTimeout = 10 * time.Second
	// defaultBodyBytes is the maximum body size if the configuration sets none.
	defaultBodyBytes = 4 << 20
	// writeGrace is how long after a request's deadline its response may still be
	// written.
	writeGrace = 2 * time.Second
	// maxRejections is how many upstreams may reject a request without running it.
	// One more rejection fails the request.
	maxRejections = 2
	// minTimeLeft is the minimum time before the deadline at which a request is
	// still sent to an upstream.
	minTimeLeft = 15 * time.Millisecond
	// maxIdleTime and maxIdleTimeUnsafe are the longest idle times after which a
	// connection to an upstream is reused, for requests that may be repeated and
	// for those that may not. If the upstream closes the connection at that
	// moment, it is unknown whether the request ran.
	maxIdleTime       = 8 * time.Second
	maxIdleTimeUnsafe = 1500 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	x := &exchange{server: s, w: w, r: r, arrived: time.Now(), controller: http.NewResponseController(w)}
	var err error
	x.held, err = callers.Begin(r)
	defer x.held.End()
	x.serve(err == nil)
}

// Running returns the number of requests that have not ended.
func (s *Server) Running() int { return int(s.running.Load()) }
