// Package catalog defines what operators configure (routes, services, organisations and their
// keys) and what upstreams report about themselves.
//
// Values are immutable once they have been built. A host holds the newest ones and passes them
// to the packages that make decisions.
package catalog

import (
	"slices"
	"time"
)

// Kind specifies whether the requests of a route may be repeated.
type Kind uint8

// The kinds.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota + 1
	// Unsafe requests may run at most once.
	Unsafe
	// Streaming requests are answered with an event stream. They may run at most
	// once, unless the route is resumable.
	Streaming
)

// String returns the name of the kind as logs show it.
func (k Kind) String() string {
	return [...]string{"unknown", "safe", "unsafe", "streaming"}[k]
}

// Route maps the requests for a host name and a path prefix to services.
type Route struct {
	Name string
	// HostName is the value of the Host header, without a port.
	HostName string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable is true if an interrupted stream can be continued on another upstream.
	Resumable bool
	// Timeout is the longest time that a caller waits for the answer, 0 for no limit.
	Timeout time.Duration
	// TargetLatency is the latency that callers expect: the time to the answer, or to the
	// first event of a stream.
	TargetLatency time.Duration
	// MaxEventGap is the largest gap between two events of a stream for which the
	// answer counts as in time, 0 if the route sets none.
	MaxEventGap time.Duration
	// FirstEventTimeout is how long callers wait for the first event of a stream, 0 if they wait for it until the
	// request's deadline.
	FirstEventTimeout time.Duration
	// MaxAttempts is the largest number of upstreams that may run one request.
	MaxAttempts int
	// Priority ranks requests: 0 is served first.
	Priority int
	// Open is true if requests need no key.
	Open     bool
	Backends []Backend
}

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service string
	// Weight is the service's share, relative to the sum over all backends.
	Weight float64
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// Engine describes the service's model engines, nil for a service without models.
	Engine *Engine
	// SlowStart limits the request rate of upstreams that have just started.
	SlowStart SlowStart
}

// SlowStart limits the request rate of an upstream for some time after its start, or when the
// upstream reports that it needs it. An upstream that receives far more requests crashes. The
// limit holds for all hosts together.
type SlowStart struct {
	// RequestsPerSecond is the limit in requests per second, 0 for no limit.
	RequestsPerSecond float64
	// Period is how long the limit lasts after a start.
	Period time.Duration
}

// Engine is the configuration of a service's model engines.
type Engine struct {
	// BatchSize is the number of requests that an engine runs concurrently.
	BatchSize int
	// CacheTokens is the capacity of an engine's KV cache in tokens.
	CacheTokens int
	// AdapterSlots is the number of adapters that an engine holds at the same time,
	// including those being loaded.
	AdapterSlots int
	// LoadsPerSecond is the rate at which the weight store delivers base models to all
	// engines together, 0 for no limit.
	LoadsPerSecond float64
	// WeightsMB is the memory of an engine for models and adapters, in megabytes.
	WeightsMB float64
	Models    []Model
	// TokensPerEvent is the number of tokens in an event of a stream, 0 if unknown.
	TokensPerEvent int
}

// Model is a base model.
type Model struct {
	Name string
	// WeightsMB is the memory that the model occupies, in megabytes.
	WeightsMB float64
	// AdapterCount is the number of adapters of the model.
	AdapterCount int
}

// Organisation owns keys. Its token rate is limited over the whole fleet.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
	// TokensPerSecond is the rate limit, 0 for no limit.
	TokensPerSecond float64
	// BurstTokens is the number of tokens that may be used at once.
	BurstTokens float64
	// DefaultCostTokens is the cost in tokens of a request that states no cost.
	DefaultCostTokens int64
}

// Limits holds the limits on callers' requests.
type Limits struct {
	MaxBodyBytes int64
}

// AdapterRef identifies an adapter of a model. An empty Adapter refers to the base model alone.
type AdapterRef struct {
	Model   string
	Adapter string
}

// Upstream is one incarnation of a server that belongs to a service.
type Upstream struct {
	// ID is the upstream's name. It may stay the same over a restart.
	ID string
	// StartedAt is the start time of the incarnation in Unix milliseconds. It distinguishes
	// incarnations with the same ID.
	StartedAt int64
	Service   string
	// Address has the form "ip:port". Another upstream may reuse it later.
	Address string
	Zone    string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Draining is true if the upstream accepts no new requests.
	Draining bool
	// SlowStartRemaining is how much longer the request rate of the upstream is limited, counted
	// from the last change of the entry, 0 if it is not limited.
	SlowStartRemaining time.Duration
	// Loaded lists the loaded models and adapters at the last change of the entry.
	Loaded []LoadedModel
}

// Models returns the sorted names of the loaded models.
func (u *Upstream) Models() []string {
	var names []string
	for _, l := range u.Loaded {
		names = append(names, l.Model)
	}
	slices.Sort(names)
	return names
}

// LoadedModel is a model that an upstream has loaded, with its loaded adapters.
type LoadedModel struct {
	Model    string
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter that an upstream has loaded.
type LoadedAdapter struct {
	Name    string
	Version int64
}

// Versions holds the newest announced version of each adapter. An adapter for which none has
// been announced is missing.
type Versions map[AdapterRef]int64
