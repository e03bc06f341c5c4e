// Package entry serves callers on the users' platform: it finds a request's
// route and organisation, has an upstream assigned to it, sends it there and
// passes the answer on.
package entry

import (
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/forward"
	"github.com/jasminelock/jasminelock/lead"
	"github.com/jasminelock/jasminelock/watch"
)

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	// AttemptID is the caller's id of this request. Upstreams repeat it.
	AttemptID string
	// Key is the caller's key, "" where there was none.
	Key     string
	Adapter catalog.AdapterRef
	// PromptTokens and OutputTokens bound what is read and made, where HasUsage
	// is set.
	PromptTokens int
	OutputTokens int
	HasUsage     bool
	// LengthHint is the caller's estimate of the tokens made, 0 where it gives none.
	LengthHint int
	PrefixBlocks      []assign.PrefixBlock
	// Timeout is how long the caller waits, 0 where it does not say.
	Timeout time.Duration
	// LastEventID is the last event that the caller has of a stream.
	LastEventID string
}

// DispatchInfo is what an upstream is told besides the caller's headers.
type DispatchInfo struct {
	// Upstream must be the one that takes the request.
	Upstream     string
	Organisation string
	// TimeLeft is the time until the caller stops waiting.
	TimeLeft time.Duration
	// AdapterVersion must be the adapter's, 0 for any.
	AdapterVersion int64
	// Priority ranks the request, where Ranked is set; 0 goes first.
	Priority int
	HasPriority   bool
	// LastEventID is the last event that was passed on, to go on after it.
	LastEventID string
}

// ResponseInfo is what an answer says of the attempt.
type ResponseInfo struct {
	// Signed says that the upstream has vouched for the answer.
	Signed  bool
	Outcome assign.Outcome
	Feedback    assign.UpstreamFeedback
	// Leaving says that the upstream leaves and takes no new requests.
	Leaving bool
}

// Codec translates headers.
type Codec interface {
	// ParseRequest reads what a caller's request says of itself.
	ParseRequest(h http.Header) (RequestInfo, error)
	// UpstreamHeader returns the header that an upstream is sent.
	UpstreamHeader(in http.Header, s DispatchInfo) http.Header
	// ParseResponse reads what an upstream's answer says.
	ParseResponse(status int, h http.Header, upstream string) ResponseInfo
	// CallerHeader returns the header that the caller is given of an upstream's.
	CallerHeader(h http.Header) http.Header
	// FormatRetryAfter writes a time to come back after.
	FormatRetryAfter(d time.Duration) string
	// AttemptIDHeader names the header that answers repeat.
	AttemptIDHeader() string
}

// Options are what a Server is made of.
type Options struct {
	Log    hclog.Logger
	Codec  Codec
	Broker *lead.Broker
	Pool   *forward.Pool
	View   func() *watch.View
	// Draining returns for how long the host has been leaving, and false where it
	// is not.
	Draining func() (time.Duration, bool)
	// Random returns a number in [0, 1).
	Random func() float64
	// Observe takes how each request ended.
	Observe func(Result)
}

// Result is how a request ended.
type Result struct {
	Route string
	// Status is the HTTP status told, 499 where the caller has left.
	Status int
	// Reason is the closed error kind, "" for an upstream's own answer.
	Reason string
	// Rule names what decided that it gets no upstream, "" where it got one.
	Rule string
	// Failure says why the last attempt that failed did, "" for none.
	Failure string
	Duration    time.Duration
	// TimeToFirstToken is when the answer's body began, 0 where it did not.
	TimeToFirstToken time.Duration
	Attempts   int
	// Tokens are those counted against the organisation's rate, 0 for a request
	// that was sent to no upstream.
	Tokens int64
}

// Server serves callers.
type Server struct{ Options }

// New returns a server.
func New(o Options) *Server { return &Server{o} }

// Bounds of a request.
const (
	// longestRequest bounds a request whose caller and route state no bound.
	longestRequest = 60 * time.Second
	// bodyTimeout bounds how long a request's body may take to arrive.
	bodyTimeout = 10 * time.Second
	// defaultBodyBytes bounds a body where the configuration does not.
	defaultBodyBytes = 4 << 20
	// writeGrace is how long after its deadline a request may still be written to.
	writeGrace = 2 * time.Second
	// maxRejections is how many upstreams may turn a request away that they have
	// not run.
	maxRejections = 2
	// leastLeft is the time below which a request is not sent any more.
	leastLeft = 15 * time.Millisecond
	// keptFor and keptForUnsafe are how long an idle connection may have been
	// idle when it is used again. One that the upstream is about to close leaves
	// it open whether a request ran.
	keptFor       = 8 * time.Second
	keptForUnsafe = 1500 * time.Millisecond
)

// Bounds of what is taken while the host is leaving. The platform excuses the
// end of a request that was taken up to 3 s after the signal and still runs at
// the end; what is taken later must be over by then.
const (
	streamsTakenFor  = 2500 * time.Millisecond
	requestsTakenFor = 5 * time.Second
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{server: s, w: w, r: r, arrived: time.Now(), out: http.NewResponseController(w)}
	x.serve()
}
