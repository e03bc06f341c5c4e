package record

import "time"

// Organisation is a customer of the operators and the owner of keys, rates and adapters.
type Organisation struct {
	Name string
	// DisplayName is shown to operators only.
	DisplayName string
	// Suspended causes every key of the organisation to be refused.
	Suspended bool
}

// Key is a caller's key. Only the hash of its secret is stored.
type Key struct {
	// Name is the key's public identifier.
	Name string
	// Organisation owns the key.
	Organisation string
	// Hash is the SHA-256 of the secret.
	Hash KeyHash
	// Withdrawn causes the key to be refused.
	Withdrawn bool
}

// Rate is an organisation's rate limit in tokens, over all hosts together.
type Rate struct {
	// Organisation is also the record's name.
	Organisation string
	// TokensPerSecond is the sustained rate.
	TokensPerSecond float64
	// BurstTokens is the largest amount above the sustained rate.
	BurstTokens int64
}

// Model is a base model for adapters.
type Model struct {
	Name string
	// MaxContextTokens is the maximum length of a prompt together with its answer.
	MaxContextTokens int64
	// LoadsPerSecond is the number of adapter loads per second that the weight store allows for this
	// model over the whole fleet. 0 means no limit.
	LoadsPerSecond float64
	// LoadsInFlight is the number of loads, over the whole fleet, that can run at once without slowing
	// one another down. 0 means no limit.
	LoadsInFlight int64
}

// Adapter is a LoRA adapter of one organisation.
type Adapter struct {
	Name         string
	Organisation string
	Model        string
	// DefaultVersion is the version used for a request that names none.
	DefaultVersion string
	// Public adapters may be used by every organisation.
	Public bool
}

// Version is one version of an adapter. Its name in requests and on upstreams is "adapter@version".
type Version struct {
	Adapter string
	Version string
	// Source is the adapter's name in the weight store.
	Source string
}

// UpstreamClass distinguishes engines from plain services.
type UpstreamClass string

// The classes of upstream.
const (
	ClassEngine  UpstreamClass = "engine"
	ClassService UpstreamClass = "service"
)

// Upstream is one replica of a model engine or of a plain service.
type Upstream struct {
	Name  string
	Class UpstreamClass
	// URL is the base address, "http://ip:port".
	URL  string
	Zone string
	// Model is the base model of an engine.
	Model string
	// Pool groups the replicas of a plain service.
	Pool string
	// AdapterSlots is the number of adapters that an engine can hold at once.
	AdapterSlots int
	// MaxBatch is the number of requests that the upstream can run at once.
	MaxBatch int
	// ChecksFence is set if the engine refuses orders with an old fencing number.
	ChecksFence bool
	// Leaving upstreams receive no new requests.
	Leaving bool
}

// Priority is a request's class.
type Priority uint8

// The priority classes, most urgent first.
const (
	// PriorityPrompt is for requests with a user waiting for the answer.
	PriorityPrompt Priority = iota
	// PriorityBatch is for requests that may be delayed but must complete.
	PriorityBatch
)

// String returns the name used in records and logs.
func (p Priority) String() string {
	if p == PriorityBatch {
		return "batch"
	}
	return "prompt"
}

// Route routes a path prefix to a pool of plain services.
type Route struct {
	Name string
	// Prefix is the path prefix, such as "/stock".
	Prefix string
	Pool   string
	// Open routes need no key.
	Open bool
	// Repeatable is set if every call may be executed more than once. Otherwise only GET and HEAD
	// calls may be.
	Repeatable bool
	// CostTokens is the cost of one call, charged to the organisation's rate.
	CostTokens int64
	// Timeout is the time limit of one call.
	Timeout time.Duration
	// Priority is the class of the route's calls.
	Priority Priority
}
