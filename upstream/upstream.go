// Package upstream holds the interfaces towards model engines and plain
// services, and their HTTP client.
package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jasminelock/jasminelock/record"
)

// Headers spoken between a host and an upstream.
const (
	// HeaderAttempt carries the id of one attempt. The upstream echoes it, so
	// that a late or crossed answer is told apart.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderFence carries the fencing number of an order.
	HeaderFence = "X-Fencing-Number"
	// HeaderPriority carries the class of a request, "prompt" or "batch".
	HeaderPriority = "X-Request-Priority"
	// HeaderNotRun is set to "true" by an upstream on an error answer to a
	// request that it did not execute.
	HeaderNotRun = "X-Not-Run"
)

// StreamPath is where an engine resumes a stream, by GET with the number of
// events already received in "after", and cancels it, by DELETE.
func StreamPath(attempt string) string { return "/v1/streams/" + attempt }

// Call is one attempt of a request.
type Call struct {
	// Attempt is the attempt's id.
	Attempt string
	Method  string
	// Path is the path and query on the upstream.
	Path string
	// Header holds what was kept of the caller's headers by the allow-list.
	Header   http.Header
	Body     []byte
	Priority record.Priority
	// NewConnection asks for a connection of its own. One that was kept open may have
	// been closed by the upstream meanwhile, which leaves it unknown whether a
	// call sent on it was executed.
	NewConnection bool
}

// Response is an upstream's answer to a call. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Errors of a call. Any other error leaves it unknown whether the call ran.
var (
	// ErrNotSent says that no byte of the call has reached the upstream.
	ErrNotSent = errors.New("upstream: the call was not sent")
	// ErrAttemptMismatch says that the answer belongs to another attempt.
	ErrAttemptMismatch = errors.New("upstream: the answer belongs to another attempt")
	// ErrFenced says that the order's fencing number is too old.
	ErrFenced = errors.New("upstream: the order's fencing number is too old")
	// ErrNoSlot says that the engine has no free adapter slot.
	ErrNoSlot = errors.New("upstream: no free adapter slot")
)

// Caller runs calls on upstreams.
type Caller interface {
	// Call sends one attempt and returns when the answer's header has arrived.
	Call(ctx context.Context, base string, call Call) (*Response, error)
}

// AdapterState is one adapter in an engine's report.
type AdapterState struct {
	// Name is "adapter@version".
	Name string `json:"name"`
	// Running and Waiting count the adapter's requests inside the engine.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Loading is set until the adapter can serve.
	Loading bool `json:"loading,omitempty"`
}

// Report is what an upstream says of its load. It may be late.
type Report struct {
	// Incarnation changes when the upstream restarts.
	Incarnation string `json:"incarnation"`
	// Sequence counts reports within an incarnation.
	Sequence int64 `json:"sequence"`
	// Running and Waiting count requests inside the upstream.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVFree is the free share of the KV cache, 0 to 1.
	KVFree   float64        `json:"kv_free"`
	Adapters []AdapterState `json:"adapters,omitempty"`
	// Role is "mixed", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// CacheEvent tells of a prefix that entered or left an engine's cache.
// A jump in Sequence is a gap: events were lost.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Adapter  string `json:"adapter"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// LoadOrder asks an engine to load an adapter version.
type LoadOrder struct {
	// Name is "adapter@version", under which the engine then serves it.
	Name string
	// Source is the name in the weight store.
	Source string
	// Fence is the fencing number of the sender's lease.
	Fence int64
}

// Controller gives orders to engines and reads their reports.
type Controller interface {
	// Report reads the upstream's load.
	Report(ctx context.Context, base string) (Report, error)
	// CacheEvents reads events after the given sequence number.
	CacheEvents(ctx context.Context, base string, after int64) ([]CacheEvent, error)
	// Load orders a load and returns when the adapter can serve.
	Load(ctx context.Context, base string, order LoadOrder) error
	// Unload orders that an adapter version be dropped.
	Unload(ctx context.Context, base, name string, fence int64) error
	// SetRole orders a change of role.
	SetRole(ctx context.Context, base, role string, fence int64) error
}

// ReportInterval is how often a host reads an upstream's load.
const ReportInterval = 250 * time.Millisecond
