package record

import "time"

// Organisation is a customer of the operators. Keys, rates and adapters belong
// to organisations.
type Organisation struct {
	Name string
	// DisplayName is shown to operators only.
	DisplayName string
	// Suspended refuses every key of the organisation.
	Suspended bool
}

// Key is a caller's key. Only the hash of its secret is kept.
type Key struct {
	// Name is the key's public identifier.
	Name string
	// Organisation owns the key.
	Organisation string
	// Hash is the SHA-256 of the secret.
	Hash KeyHash
	// Withdrawn refuses the key.
	Withdrawn bool
}

// Rate is an organisation's limit, counted in tokens over all hosts together.
type Rate struct {
	// Organisation is also the record's name.
	Organisation string
	// TokensPerSecond is the sustained rate.
	TokensPerSecond float64
	// BurstTokens is the largest amount above the sustained rate.
	BurstTokens int64
}

// Model is a base model that adapters are made for.
type Model struct {
	Name string
	// MaxContextTokens bounds a prompt together with its answer.
	MaxContextTokens int64
	// LoadsPerSecond is how many adapter loads a second the weight store gives
	// the whole fleet for this model. 0 means no bound.
	LoadsPerSecond float64
	// LoadsInFlight is how many loads may run at once before they slow one
	// another down, over the whole fleet. 0 means no bound.
	LoadsInFlight int64
}

// Adapter is a LoRA adapter of one organisation.
type Adapter struct {
	Name         string
	Organisation string
	Model        string
	// DefaultVersion is served where a request names no version.
	DefaultVersion string
	// Public adapters may be used by every organisation.
	Public bool
}

// Version is one version of an adapter, "adapter@version" being its name in
// requests and on upstreams.
type Version struct {
	Adapter string
	Version string
	// Source is the adapter's name in the weight store.
	Source string
}

// UpstreamClass tells engines from plain services.
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
	// AdapterSlots is how many adapters an engine holds at once.
	AdapterSlots int
	// MaxBatch is how many requests an engine runs at once.
	MaxBatch int
	// ChecksFence says whether the engine refuses an old fencing number.
	ChecksFence bool
	// Leaving upstreams get no new work.
	Leaving bool
}

// Priority is a request's class.
type Priority uint8

// The priority classes, most urgent first.
const (
	// PriorityPrompt work is answered while somebody waits.
	PriorityPrompt Priority = iota
	// PriorityBatch work may wait but must arrive.
	PriorityBatch
)

// String returns the name used in records and logs.
func (p Priority) String() string {
	if p == PriorityBatch {
		return "batch"
	}
	return "prompt"
}

// Route sends a path prefix to a pool of plain services.
type Route struct {
	Name string
	// Prefix is the path prefix, such as "/stock".
	Prefix string
	Pool   string
	// Open routes need no key.
	Open bool
	// Repeatable says that every call may be run more than once. Where it is
	// false, only GET and HEAD may be.
	Repeatable bool
	// CostTokens is what one call takes from the organisation's rate.
	CostTokens int64
	// Timeout bounds one call.
	Timeout time.Duration
	// Priority is the class of the route's calls.
	Priority Priority
}
