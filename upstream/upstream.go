// Package upstream defines the interfaces to upstreams, which are model engines and plain
// services, and implements them with an HTTP client.
package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jasminelock/jasminelock/record"
)

// HTTP headers between a host and an upstream.
const (
	// HeaderAttempt is the id of an attempt. The upstream repeats it in the response, so
	// that the host detects the late or misrouted response of another attempt.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderFence is the fencing number of an order.
	HeaderFence = "X-Fencing-Number"
	// HeaderPriority is the priority of a request, "prompt" or "batch".
	HeaderPriority = "X-Request-Priority"
	// HeaderNotRun is "true" in the error response of an upstream to a request that it did
	// not execute.
	HeaderNotRun = "X-Not-Run"
)

// StreamPath returns the path of an attempt's stream on an engine. GET resumes the stream
// after the number of events in the query parameter "after"; DELETE cancels it.
func StreamPath(attempt string) string { return "/v1/streams/" + attempt }

// Call is the HTTP request of one attempt.
type Call struct {
	// Attempt is the id of the attempt.
	Attempt string
	Method  string
	// Path is the path and query on the upstream.
	Path string
	// Header holds the headers to send: the caller's headers that are on the allow-list, or
	// those that the host sets itself.
	Header   http.Header
	Body     []byte
	Priority record.Priority
	// NewConnection sends the call on a new connection. The upstream may close an idle connection
	// at the moment when a call is sent on it, and then it is unknown whether the call was
	// executed.
	NewConnection bool
}

// Response is an upstream's response to a call. The receiver must close Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Errors of calls and orders. After any other error of a call it is unknown whether the call
// was executed.
var (
	// ErrNotSent means that no byte of the call reached the upstream.
	ErrNotSent = errors.New("upstream: the call was not sent")
	// ErrAttemptMismatch means that the response has the id of another attempt. It is unknown
	// whether the call was executed.
	ErrAttemptMismatch = errors.New("upstream: the response belongs to another attempt")
	// ErrFenced means that the engine has seen a higher fencing number than the order's.
	ErrFenced = errors.New("upstream: the order's fencing number is too old")
	// ErrNoSlot means that the engine has no free adapter slot.
	ErrNoSlot = errors.New("upstream: no free adapter slot")
)

// Caller sends calls to upstreams.
type Caller interface {
	// Call sends one attempt to the upstream with the base URL and returns when the header
	// of the response has arrived.
	Call(ctx context.Context, base string, call Call) (*Response, error)
}

// AdapterState is the state of one adapter in an engine's report.
type AdapterState struct {
	// Name is "adapter@version".
	Name string `json:"name"`
	// Running and Waiting are the numbers of the adapter's running and queued requests in
	// the engine.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Loading is true until the engine can serve the adapter.
	Loading bool `json:"loading,omitempty"`
}

// Report is an upstream's report of its load. It may be out of date.
type Report struct {
	// Incarnation changes when the upstream restarts.
	Incarnation string `json:"incarnation"`
	// Sequence is the number of the report within an incarnation.
	Sequence int64 `json:"sequence"`
	// Running and Waiting are the numbers of running and queued requests in the upstream.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVFree is the free fraction of the KV cache, 0 to 1.
	KVFree   float64        `json:"kv_free"`
	Adapters []AdapterState `json:"adapters,omitempty"`
	// Role is "mixed", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// CacheEvent reports that a prefix was stored in or removed from an engine's cache. A gap
// in Sequence means that events were lost.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Adapter  string `json:"adapter"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// LoadOrder is an order to an engine to load an adapter version.
type LoadOrder struct {
	// Name is "adapter@version", the model name under which the engine serves it.
	Name string
	// Source is the name of the weights in the weight store.
	Source string
	// Fence is the fencing number of the sender's lease.
	Fence int64
}

// Controller sends orders to engines and reads their reports. base is the upstream's base
// URL and fence the fencing number of the sender's lease.
type Controller interface {
	// Report reads the upstream's load report.
	Report(ctx context.Context, base string) (Report, error)
	// CacheEvents reads the cache events after the given sequence number.
	CacheEvents(ctx context.Context, base string, after int64) ([]CacheEvent, error)
	// Load orders the engine to load an adapter version and returns when it can serve it.
	Load(ctx context.Context, base string, order LoadOrder) error
	// Unload orders the engine to unload an adapter version.
	Unload(ctx context.Context, base, name string, fence int64) error
	// SetRole orders the engine to change its role.
	SetRole(ctx context.Context, base, role string, fence int64) error
}

// ReportInterval is the interval at which a host reads an upstream's load report.
const ReportInterval = 250 * time.Millisecond
