// Package assign decides which upstream runs each request, in which order requests wait, which requests are
// refused, and which adapters engines load and evict.
//
// It is a pure state machine: its inputs are events and the current time, its outputs are decisions. It imports no
// network, no operating system and no clock. One host of the fleet, the leader, drives an Assigner that handles
// the requests of all hosts and sends orders to engines. Every host also drives an Assigner of its own, for
// services that need no leader and for times without a leader; that Assigner sends no orders.
package assign

import (
	"encoding/hex"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/throttle"
)

// RequestID identifies a request in the fleet.
type RequestID struct {
	Host string
	// Number is the request's number within one process of the host.
	Number uint64
}

// PrefixBlock is a block of a prompt prefix that other requests may share.
type PrefixBlock struct {
	ID     string
	Tokens int
}

// Fingerprint identifies requests with the same caller, path and body.
type Fingerprint [32]byte

// String returns a prefix of the fingerprint that is long enough for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }

// Request describes a request that needs an upstream.
type Request struct {
	ID      RequestID
	Service string
	// Route is the name of the route, "" if unknown.
	Route        string
	Organisation string
	Adapter      catalog.AdapterRef
	// PromptTokens and OutputTokens are upper bounds on the tokens of the prompt and of the answer.
	PromptTokens int
	OutputTokens int
	// ExpectedOutput is the caller's estimate of the number of generated tokens, 0 if there is none.
	ExpectedOutput int
	// PrefixBlocks are the shared blocks of the prompt, in order.
	PrefixBlocks []PrefixBlock
	// Cost is the number of tokens counted against the organisation's rate.
	Cost int64
	// Priority ranks requests; 0 is the highest. RoutePriority is that of the route, which ranks the requests of
	// organisations whose own priority replaces it.
	Priority      int
	RoutePriority int
	// Zone is the availability zone of the host that submitted the request.
	Zone    string
	Arrived time.Time
	// Target is the time at which the answer, or its first event, is due.
	Target time.Time
	// FirstEventDeadline is the time at which the caller stops waiting for the first event of a stream, the zero time
	// if it waits for it until Deadline.
	FirstEventDeadline time.Time
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Avoid lists the IDs of the upstreams that have already been tried.
	Avoid []string
	// Charged is true if the cost was already counted with an earlier attempt.
	Charged bool
	// Admitted is true if the request was waiting at another Assigner, which had admitted it.
	Admitted    bool
	Fingerprint Fingerprint
	// Resource is like Fingerprint, but leaves out the method and the query, which may differ between repeats of a
	// request that crashes upstreams. It is zero if it adds no information.
	Resource Fingerprint
}

// routeRanks is the number of ranks that requests of the same priority are divided into by the priorities of their
// routes.
const routeRanks = 3

// Rank returns the rank of the request in a ranked service; 0 is served first. An organisation's priority goes before
// that of its routes, which then ranks the organisation's kinds of requests.
func (r *Request) Rank() int {
	return min(max(r.Priority, 0), maxPriority)*routeRanks + min(max(r.RoutePriority, 0), routeRanks-1)
}

// maxTokens bounds the numbers of tokens of a request, far above any context length. Sums of larger figures overflow.
const maxTokens = 1 << 30

// boundTokens bounds the numbers of tokens, which callers state.
func (r *Request) boundTokens() {
	for _, n := range []*int{&r.PromptTokens, &r.OutputTokens, &r.ExpectedOutput} {
		*n = min(max(*n, 0), maxTokens)
	}
}

// cacheTokens returns the KV cache, in tokens, that the request may use at most. An engine may crash if the requests that it
// holds exceed its memory, so that the expected output is not enough to reserve.
func (r *Request) cacheTokens() int { return r.PromptTokens + r.OutputTokens }

// retry reports whether the request has been assigned to an upstream before.
func (r *Request) retry() bool { return len(r.Avoid) > 0 }

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Completed means that the upstream answered with success.
	Completed Outcome = iota
	// Failed means that the attempt ran and that the upstream answered with a failure.
	Failed
	// Full means that the upstream rejected the request because it was full.
	Full
	// NotLoaded means that the upstream does not hold the adapter, or holds another version of it.
	NotLoaded
	// Replaced means that another upstream now has the address.
	Replaced
	// Unreachable means that no connection to the upstream could be opened.
	Unreachable
	// Lost means that the connection was interrupted; the attempt may have run.
	Lost
	// TimedOut means that the attempt was cancelled at the deadline.
	TimedOut
	// CallerLeft means that the attempt was cancelled because the caller disconnected or its host stops.
	CallerLeft
	// NotSent means that the request was not sent: the upstream refuses requests from the host, or the request
	// must not be sent to any upstream.
	NotSent
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"completed", "failed", "full", "not_loaded", "replaced", "unreachable", "lost", "timed_out", "caller_left", "withheld"}[o]
}

// NotRun reports whether it is certain that the upstream has not run the request.
func (o Outcome) NotRun() bool {
	return o == Full || o == NotLoaded || o == Replaced || o == Unreachable || o == NotSent
}

// Event is an input of an Assigner. The types of this file are the complete list.
type Event interface{ isEvent() }

// ConfigUpdated reports a new operator configuration.
type ConfigUpdated struct{ Config *catalog.Config }

// VersionsUpdated reports the newest announced versions of adapters.
type VersionsUpdated struct{ Versions catalog.Versions }

// EvacuationsUpdated reports the complete set of availability zones whose upstreams receive no new requests until
// further notice. Running requests continue.
type EvacuationsUpdated struct{ Zones map[string]bool }

// UpstreamsUpdated reports all available upstreams, by ID.
type UpstreamsUpdated struct{ Upstreams map[string]*catalog.Upstream }

// RequestSubmitted submits a request that needs an upstream.
type RequestSubmitted struct{ Request Request }

// RequestAdopted reports a request that another Assigner has assigned to an upstream.
type RequestAdopted struct {
	Request           Request
	Upstream          string
	FirstByteReceived bool
}

// RequestWithdrawn reports that a queued request is no longer wanted.
type RequestWithdrawn struct{ ID RequestID }

// FirstByteReceived reports that the first byte of an answer's body has been received.
type FirstByteReceived struct{ ID RequestID }

// LoadStated reports the load that an upstream stated in the header of an answer.
type LoadStated struct {
	// ID is the request that was answered. Upstream and StartedAt identify the upstream if the request was assigned by
	// another Assigner.
	ID        RequestID
	Upstream  string
	StartedAt int64
	Load      Load
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	ID        RequestID
	Outcome   Outcome
	Feedback  UpstreamFeedback
	EventGaps EventGaps
	// Succeeded is true if the answer was successful and complete. Outcome is Completed also for an answer in
	// which the upstream reported a failure of its own, if that answer was passed to the caller.
	Succeeded bool
	// NoListener is true if nothing listens at the upstream's address.
	NoListener bool
	// Unframed is true if only the end of the connection marked the end of the answer, as the upstream's own end
	// would have.
	Unframed bool
}

// UpstreamFeedback is what an upstream reported about itself with an answer.
type UpstreamFeedback struct {
	// Load is the upstream's own count of its requests, nil if it reported none.
	Load *Load
	// OutputTokens is the number of tokens of a complete answer, 0 if unknown.
	OutputTokens int
	// BackOff is the time for which the upstream accepts no further request from the host that sent this one.
	BackOff time.Duration
}

// UpstreamLeaving reports that an upstream has announced its departure to a host. The store's list may show this
// later.
type UpstreamLeaving struct {
	Upstream  string
	StartedAt int64
}

// Load is an upstream's own count of its requests.
type Load struct {
	Running int
	Waiting int
	// Pace is the time that work takes on the upstream at this moment, relative to the usual: larger is slower. It is 0
	// if the upstream does not state it.
	Pace float64
}

// RateLimitUpdated reports the rate limit of an upstream, and the share of it that the Assigner may use. The limit
// stays until RateLimitEnded, also while the upstream is not listed.
type RateLimitUpdated struct {
	Upstream throttle.Incarnation
	Limit    throttle.Limit
	Share    float64
}

// RateLimitEnded reports that an upstream has no rate limit any more.
type RateLimitEnded struct{ Upstream throttle.Incarnation }

// HostLost reports that a host has gone, and its requests with it.
type HostLost struct{ Host string }

// OrderEnded reports the result of an order.
type OrderEnded struct {
	Upstream  string
	StartedAt int64
	Order     uint64
	Result    OrderResult
}

// OrderResult is an engine's answer to an order.
type OrderResult uint8

// The results of an order.
const (
	// OrderSatisfied means that the engine is in the ordered state.
	OrderSatisfied OrderResult = iota
	// OrderAccepted means that the engine is carrying out the order.
	OrderAccepted
	// OrderConflict means that the sequence number does not match, or that the engine is busy with another order.
	OrderConflict
	// OrderFenced means that another lease holder has sent orders since.
	OrderFenced
	// OrderInvalid means that the engine does not know the model or adapter of the order.
	OrderInvalid
	// OrderMisdirected means that another upstream now has the address.
	OrderMisdirected
	// OrderUnanswered means that no answer was received; the order may still be carried out, now or later.
	OrderUnanswered
)

// String returns the result's name in logs.
func (r OrderResult) String() string {
	return [...]string{"holds", "accepted", "conflict", "fenced", "invalid", "misdirected", "unanswered"}[r]
}

// HostsReported reports that every host has reported its running requests.
type HostsReported struct{}

// ReportReceived delivers an engine's report. Report is nil if it could not be read.
type ReportReceived struct {
	Upstream  string
	StartedAt int64
	Report    *Report
}

// Report is the state of an engine, as returned by the engine on request.
type Report struct {
	// Sequence is the number of orders accepted since the engine's start.
	Sequence int64
	Loaded   []catalog.LoadedModel
	// Loading lists the adapters that the engine is loading.
	Loading []catalog.LoadedModel
}

// Tick reports that time has passed.
type Tick struct{}

func (ConfigUpdated) isEvent()      {}
func (VersionsUpdated) isEvent()    {}
func (EvacuationsUpdated) isEvent() {}
func (UpstreamsUpdated) isEvent()   {}
func (RequestSubmitted) isEvent()   {}
func (RequestAdopted) isEvent()     {}
func (RequestWithdrawn) isEvent()   {}
func (FirstByteReceived) isEvent()  {}
func (AttemptEnded) isEvent()       {}
func (LoadStated) isEvent()         {}
func (UpstreamLeaving) isEvent()    {}
func (RateLimitUpdated) isEvent()   {}
func (RateLimitEnded) isEvent()     {}
func (HostLost) isEvent()           {}
func (OrderEnded) isEvent()         {}
func (ReportReceived) isEvent()     {}
func (HostsReported) isEvent()      {}
func (Tick) isEvent()               {}

// Decision is an output of an Assigner. The types below are the complete list.
type Decision interface{ isDecision() }

// Grant assigns a request to an upstream.
type Grant struct {
	ID        RequestID
	Upstream  string
	StartedAt int64
	// Version is the version of the adapter on the upstream, 0 if unknown.
	Version int64
	// Rule is the rule that led to the decision, for logs.
	Rule string
	// Expected is the expected time to the first token.
	Expected time.Duration
	// RateLimit is the state of the upstream's rate limit after this assignment.
	RateLimit throttle.State
	// Held is the time from the submission of the request to this decision. Turn is the estimate of it at admission, for a
	// request that was queued in a ranked service; it is valid if Ranked is set.
	Held   time.Duration
	Turn   time.Duration
	Ranked bool
}

// Refuse ends a request that has not been assigned to an upstream, or is not assigned again.
type Refuse struct {
	ID         RequestID
	Kind       apierr.Kind
	RetryAfter time.Duration
	// Rule is the rule that led to the decision, for logs. Detail names what it refused, "" if that is plain.
	Rule   string
	Detail string
	// RateLimit is the combined state of the rate limits of the service's upstreams, if all have one.
	RateLimit throttle.State
}

// Order asks an engine to load or to evict an adapter.
type Order struct {
	Number   uint64
	Upstream *catalog.Upstream
	Evict    bool
	Adapter  catalog.AdapterRef
	// Version is the version to load, 0 for the newest.
	Version int64
	// Sequence is the number of orders that the engine must have accepted before this one.
	Sequence int64
	// Fence is the fencing token of the lease under which the order is sent.
	Fence int64
}

// ReadReport asks for an engine's report.
type ReadReport struct{ Upstream *catalog.Upstream }

// StepDown reports that another leader has sent orders.
type StepDown struct{}

func (Grant) isDecision()      {}
func (Refuse) isDecision()     {}
func (Order) isDecision()      {}
func (ReadReport) isDecision() {}
func (StepDown) isDecision()   {}
