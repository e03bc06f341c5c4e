// Package catalog holds what operators have configured and what upstreams say
// of themselves: routes, services, organisations and their keys, upstreams.
//
// Values are immutable once they have been built. A host holds the newest one
// and hands it to whoever decides.
package catalog

import (
	"slices"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota + 1
	// Unsafe requests may run once at the most.
	Unsafe
	// Streaming requests are answered by an event stream. They may run once at
	// the most, unless the route is resumable.
	Streaming
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"unknown", "safe", "unsafe", "streaming"}[k]
}

// Route sends the requests of a host name and a path prefix to services.
type Route struct {
	Name string
	// HostName is the value of the Host header, without a port.
	HostName string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams can be continued on another upstream.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting. 0 is no bound.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, that
	// callers expect.
	TargetLatency time.Duration
	// MaxEventGap is how long two events of a stream may be apart for the answer to
	// be in time, 0 where the route does not say.
	MaxEventGap time.Duration
	// MaxAttempts is how many upstreams may run one request.
	MaxAttempts int
	// Priority ranks requests; 0 goes first.
	Priority int
	// Open routes need no key.
	Open     bool
	Backends []Backend
}

// Backend is a service that a route sends a part of its requests to.
type Backend struct {
	Service string
	// Weight is the service's part among those of all backends.
	Weight float64
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Service is a group of upstreams that can stand in for one another.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
	// SlowStart bounds what upstreams take that have just started.
	SlowStart SlowStart
}

// SlowStart bounds what an upstream takes for a while after a start, or when it says so.
// One that gets much more crashes. The bound is that of all hosts together.
type SlowStart struct {
	// RequestsPerSecond is how many requests it takes in a second, 0 for any number.
	RequestsPerSecond float64
	// Period is how long it lasts after a start.
	Period time.Duration
}

// Engine is what is configured of a service's model engines.
type Engine struct {
	// BatchSize is how many requests an engine runs at once.
	BatchSize int
	// CacheTokens is how many tokens the KV cache holds.
	CacheTokens int
	// AdapterSlots is how many adapters an engine holds at once, those on their
	// way to it included.
	AdapterSlots int
	// LoadsPerSecond is how many base models the weight store gives out over
	// all engines, 0 for no bound.
	LoadsPerSecond float64
	// WeightsMB is the memory for models and adapters, in megabytes.
	WeightsMB float64
	Models    []Model
}

// Model is a base model.
type Model struct {
	Name string
	// WeightsMB is the memory that the model takes, in megabytes.
	WeightsMB float64
	// AdapterCount is how many adapters the model has.
	AdapterCount int
}

// Organisation owns keys and is held to a rate over the whole fleet.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the route's where it is set.
	Priority    int
	HasPriority bool
	// TokensPerSecond is the rate, 0 for none.
	TokensPerSecond float64
	// BurstTokens is what may be used at once.
	BurstTokens float64
	// DefaultCostTokens is the cost of a request that states none.
	DefaultCostTokens int64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// AdapterRef names an adapter of a model. An empty Adapter is the model alone.
type AdapterRef struct {
	Model   string
	Adapter string
}

// Upstream is one incarnation of a server of a service.
type Upstream struct {
	// ID is the upstream's name. It may be the same after a restart.
	ID string
	// StartedAt tells incarnations of one ID apart, in Unix milliseconds.
	StartedAt    int64
	Service string
	// Address is "ip:port". It may be used again by another upstream.
	Address string
	Zone    string
	// Slots is how many requests run at once.
	Slots int
	// Draining upstreams take no new requests.
	Draining bool
	// SlowStartRemaining is for how much longer the upstream takes few requests, as of the last
	// change of the entry, 0 where it takes any number.
	SlowStartRemaining time.Duration
	// Loaded lists the models and adapters held, as of the last change of the entry.
	Loaded []LoadedModel
}

// Models names the models held, in order.
func (u *Upstream) Models() []string {
	var names []string
	for _, l := range u.Loaded {
		names = append(names, l.Model)
	}
	slices.Sort(names)
	return names
}

// LoadedModel is a model that an upstream holds, with its adapters.
type LoadedModel struct {
	Model    string
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter that an upstream holds.
type LoadedAdapter struct {
	Name    string
	Version int64
}

// Versions holds the newest announced version of each adapter. An adapter that
// is missing has had no announcement.
type Versions map[AdapterRef]int64
